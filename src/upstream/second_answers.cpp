#include "upstream/second_answers.h"

#include <algorithm>
#include <functional>
#include <string_view>

namespace burlfall {
namespace {

// For so long after a repeated answer or an unsolicited byte, a server's links are reused only when quiet.
constexpr Micros kSuspicionPeriod = 600 * kSecond;

// A link with more answers than that within kSecondAnswerWindow becomes quiet before its next reuse.
constexpr size_t kMaxRecentAnswers = 16;

}  // namespace

AnswerDigest DigestOf(const HttpMessage& answer) {
  if (answer.status != 200 || answer.body.empty()) return std::nullopt;
  return std::hash<std::string_view>()(answer.body);
}

void RecentAnswers::Note(AnswerDigest digest, Micros now) {
  Expire(now);
  if (digest && answers_.size() < kMaxRecentAnswers) {
    answers_.push_back({*digest, now});
  } else {
    unrecognizable_until_ = now + kSecondAnswerWindow;
  }
}

void RecentAnswers::Expire(Micros now) {
  std::erase_if(answers_, [now](const Answer& answer) { return now - answer.at >= kSecondAnswerWindow; });
}

bool RecentAnswers::Contains(AnswerDigest digest) const {
  return std::any_of(answers_.begin(), answers_.end(),
                     [digest](const Answer& answer) { return digest == answer.digest; });
}

void ServerAnswers::Note(AnswerDigest digest, Micros now) {
  if (!digest) return;
  if (last_ && *last_ == *digest) {
    NoteUnsolicited(now);
  } else {
    have_differed_ |= last_.has_value();
  }
  last_ = digest;
}

void ServerAnswers::NoteUnsolicited(Micros now) { suspected_until_ = now + kSuspicionPeriod; }

}  // namespace burlfall
