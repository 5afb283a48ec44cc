// Guards against second answers. A server may send an answer twice, the second copy some milliseconds after
// the first. HTTP/1.1 answers don't name their query: a copy that arrives while the next query is open would
// be taken for its answer, and each later answer on that link for the answer to the query after it.
//
// A link that has been idle for kSecondAnswerWindow, with no byte received, has no copy left to carry. It
// may be reused sooner if a copy of any recent answer would be recognized, because the server's answers
// differ from one another.
#ifndef BURLFALL_UPSTREAM_SECOND_ANSWERS_H_
#define BURLFALL_UPSTREAM_SECOND_ANSWERS_H_

#include <cstddef>
#include <optional>
#include <vector>

#include "codec/http.h"
#include "io/time.h"

namespace burlfall {

// Time after an answer within which a second copy of it is expected.
constexpr Micros kSecondAnswerWindow = 50 * kMs;

using AnswerDigest = std::optional<size_t>;

// The digest of an answer; nullopt if other answers are likely to equal it: those without a body, and
// refusals and errors.
AnswerDigest DigestOf(const HttpMessage& answer);

// The answers of one link within kSecondAnswerWindow.
class RecentAnswers {
 public:
  void Note(AnswerDigest digest, Micros now);
  void Expire(Micros now);
  // Whether a second copy of each of these answers would be recognized.
  bool Recognizable(Micros now) const { return now >= unrecognizable_until_; }
  // Whether `digest` is that of one of these answers, as of the last Expire().
  bool Contains(AnswerDigest digest) const;

 private:
  struct Answer {
    size_t digest;
    Micros at;
  };
  std::vector<Answer> answers_;
  Micros unrecognizable_until_ = 0;
};

// What is known of one server's answers, over all its links.
class ServerAnswers {
 public:
  void Note(AnswerDigest digest, Micros now);  // an answer to a query
  void NoteUnsolicited(Micros now);            // it sent bytes that no query asked for
  // Whether an answer that equals an earlier one is most likely a second copy.
  bool AllDiffer(Micros now) const { return have_differed_ && !Suspected(now); }
  // Whether it has recently repeated an answer or sent an unsolicited byte.
  bool Suspected(Micros now) const { return now < suspected_until_; }

 private:
  AnswerDigest last_;
  bool have_differed_ = false;
  Micros suspected_until_ = 0;
};

}  // namespace burlfall

#endif  // BURLFALL_UPSTREAM_SECOND_ANSWERS_H_
