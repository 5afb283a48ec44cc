#include "membership/discovery.h"

#include <algorithm>
#include <system_error>
#include <utility>

#include "codec/http.h"
#include "codec/words.h"
#include "config/platform.h"

namespace burlfall {
namespace {

// A watch that hears nothing for longer than it asked to wait has lost discovery: a machine that was cut off
// gives no sign. The wait is half of the time within which the deployment wants to be asked.
constexpr Micros kLongestWait = 20 * kSecond;
constexpr Micros kAnswerPatience = 1500 * kMs;
constexpr Micros kLeastPause = 150 * kMs;     // a watch goes on if the next call comes within 200 ms
constexpr Micros kCallPatience = 2500 * kMs;  // for a call that does not wait: discovery handles them in turn
constexpr Micros kStoodInLine = 500 * kMs;  // a refusal after it is for the line, and not for what is broken
constexpr double kLongestRetryAfter = 86400;  // s

// Seconds, whole or decimal; 0: none that can be read. A date says nothing that our clock could be trusted
// with.
Micros RetryAfter(const HttpMessage& answer) {
  const std::string* text = answer.Find(platform::kRetryAfter);
  if (text == nullptr) return 0;
  return static_cast<Micros>(std::min(PositiveSeconds(*text), kLongestRetryAfter) *
                             static_cast<double>(kSecond));
}

}  // namespace

Discovery::Discovery(Machine& machine, const Config& config, Counters& counters, Told told,
                     start::Asking* pace)
    : scheduler_(machine.scheduler()),
      network_(machine.network()),
      machine_(machine),
      config_(config),
      counters_(counters),
      told_(std::move(told)),
      pace_(pace),
      asked_(scheduler_) {}

void Discovery::Start() {
  watch_ = Watch();
  watch_.Start();
}

void Discovery::Follow() {
  if (following_) return;
  following_ = true;
  asked_.Notify();
}

// Ends the call at hand, which may wait for long yet. Guards the drain rule: word of a drain comes from the
// new place alone, and the module believes that it is told of all, so it would not ask. All balancers may be
// told of the new place in one moment, so where calls are paced this one goes in its turn there.
void Discovery::Again() {
  watch_ = Task<>();
  link_.reset();
  following_ = true;
  if (pace_ != nullptr) pace_->BeginAnew(scheduler_.Now(), machine_.Draw());
  Start();
}

Task<> Discovery::Watch() {
  const Micros usual = std::min(kLongestWait, std::max(kSecond, config_.settings.must_ask_within / 2));
  uint64_t version = 0;
  bool fresh = true;  // the first call of a watch asks for the whole list, which is answered at once
  while (true) {
    while (!following_) co_await asked_.Wait();
    while (pace_ != nullptr && scheduler_.Now() < pace_->next_at()) co_await asked_.Wait(pace_->next_at());
    const Micros wait = pace_ != nullptr ? pace_->watch_wait() : usual;
    const Micros called_at = scheduler_.Now();
    std::string path = platform::kHostsPath;
    if (!fresh) path += "?index=" + std::to_string(version) + "&wait=" + std::to_string(wait / kMs);
    if (pace_ != nullptr) pace_->Called(called_at, !fresh);
    ++counters_.list_calls;
    Answer answer = co_await Ask(std::move(path), !fresh             ? wait + kAnswerPatience
                                                  : pace_ != nullptr ? pace_->patience()
                                                                     : kCallPatience);
    const Micros now = scheduler_.Now();
    if (answer.list) {
      const bool news = version != answer.list->version, first = fresh;
      fresh = false;
      version = answer.list->version;
      if (pace_ != nullptr) {
        const start::CallEnd how = first || news ? start::CallEnd::kNews : start::CallEnd::kNothing;
        pace_->Ended(now, how, now - called_at, 0, machine_.Draw());
      }
      told_(&*answer.list, answer.why);
      // Guards discovery, which is shared and slow, against a watch that is answered at once with no news.
      const Micros pause_ends = called_at + kLeastPause;
      while (!news && scheduler_.Now() < pause_ends) co_await asked_.Wait(pause_ends);
    } else {
      fresh = true;
      link_.reset();
      following_ = false;  // before anyone hears of it, who may ask again at once
      if (pace_ != nullptr)
        pace_->Ended(now, answer.how, now - called_at, answer.retry_after, machine_.Draw());
      told_(nullptr, answer.why);
    }
  }
}

// One call.
Task<Discovery::Answer> Discovery::Ask(std::string path, Micros patience) {
  const Micros called_at = scheduler_.Now(), until = called_at + patience;
  Answer answer;
  if (!link_ || !link_->Quiet()) {
    link_.reset();
    answer.why = "no connection";
    NoConnection ours;
    link_ = network_.Connect(config_.discovery, ours);
    if (!link_) co_return answer;
    // Guards the drain rule where this process stood still: queries that came meanwhile wait in the same line
    // as the word that was told before them.
    link_->GoFirst();
    const Micros up_by = std::min(until, scheduler_.Now() + kAnswerPatience);
    bool connected = co_await Connected(*link_, up_by);
    if (!connected && scheduler_.Now() >= up_by) answer.how = start::CallEnd::kNoAnswer;
    if (!connected) co_return answer;
  }
  std::string call = "GET " + path + " HTTP/1.1\r\nHost: " + config_.discovery.text + "\r\n\r\n";
  answer.why = "the connection broke";
  bool written = co_await WriteAll(*link_, call, until);
  if (!written) co_return answer;
  HttpParser parser(HttpParser::Kind::kResponse);
  std::string in;
  Parsed parsed = Parsed::kMore;
  while (parsed == Parsed::kMore) {
    Io io = link_->Read(in);
    if (io == Io::kSome) {
      parsed = parser.Feed(in);
    } else if (io == Io::kLater) {
      bool notified = co_await link_->Wait(until);
      if (!notified) {
        answer.why = "no answer in time";
        answer.how = start::CallEnd::kNoAnswer;
        co_return answer;
      }
    } else {
      if (io == Io::kBroken || parser.Closed() != Parsed::kDone) co_return answer;
      parsed = Parsed::kDone;
    }
  }
  answer.why = "no HTTP answer";
  if (parsed != Parsed::kDone) co_return answer;
  HttpMessage message = parser.Take();
  if (!message.keep_alive) link_.reset();
  answer.why = "status " + std::to_string(message.status);
  if (message.status != 200) {
    answer.retry_after = RetryAfter(message);
    const bool waited = scheduler_.Now() - called_at >= kStoodInLine;
    const bool busy = message.status == 503 || message.status == 429;
    if (busy && (waited || answer.retry_after > 0)) answer.how = start::CallEnd::kBusy;
    co_return answer;
  }
  try {
    answer.list = ParseHostList(message.body, config_.settings);
  } catch (const BadConfig& e) {  // an answer that can't be read is a call that failed
    answer.why = e.what();
  }
  co_return answer;
}

}  // namespace burlfall
