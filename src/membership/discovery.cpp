#include "membership/discovery.h"

#include <algorithm>
#include <system_error>
#include <utility>

#include "codec/http.h"
#include "codec/words.h"
#include "config/platform.h"

namespace burlfall {
namespace {

constexpr Micros kConnectPatience = 1500 * kMs;
constexpr Micros kLeastPause = 150 * kMs;  // a watch goes on if the next call comes within 200 ms
constexpr Micros kStoodInLine = 500 * kMs;
// Lists may come indented, and name thousands of nodes; what is larger is no list.
constexpr size_t kLargestList = 2 << 20;
constexpr Micros kPacedLate = 1500 * kMs;     // after the wait of a paced watch
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
      clock_({!config.settings.must_subscribe, config.settings.must_ask_within, config.settings.drain_grace}),
      asked_(scheduler_) {}

// Where lists are pushed nobody asks to follow, and what the service has counts from the first moment on.
void Discovery::Start(std::optional<uint64_t> has) {
  started_ = true;
  has_ = has;
  if (!config_.settings.must_subscribe) following_ = true;
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
// told of the new place in one moment, so where calls are paced this one goes in its turn there. Before the
// start there is nobody yet who could take a list: that goes to where the configuration says by then.
void Discovery::Again() {
  if (!started_) return;
  watch_ = Task<>();
  link_.reset();
  following_ = true;
  clock_.Anew(scheduler_.Now());
  if (pace_ != nullptr) pace_->BeginAnew(scheduler_.Now(), machine_.RandomUnit());
  Start({});  // another service may count its versions otherwise
}

// Who has no list to send by can break no rule.
bool Discovery::Bound() const { return pace_ == nullptr || pace_->phase() != start::StartPhase::kWithout; }

// Where calls are paced: after one that failed no later than the clock says.
Micros Discovery::TurnAt() const {
  return Bound() ? std::min(pace_->next_at(), clock_.ask_at()) : pace_->next_at();
}

// Until somebody asks, or the clock does; and where calls are paced, until there is a turn.
Task<> Discovery::AwaitTurn() {
  while (!following_ && scheduler_.Now() < clock_.ask_at()) co_await asked_.Wait(clock_.ask_at());
  following_ = true;
  while (pace_ != nullptr && scheduler_.Now() < TurnAt()) co_await asked_.Wait(TurnAt());
}

// A watch begins with the version that the group has: the service then tells what has changed since, and has
// one call in its line where the whole list first and a watch after it are two. What is told between these
// two would count as told, with no call open that could take it.
Task<> Discovery::Watch() {
  bool opens = true;
  while (true) {
    co_await AwaitTurn();
    const Micros wait = pace_ != nullptr ? pace_->watch_wait() : clock_.wait();
    const Micros called_at = scheduler_.Now();
    const bool watch = has_.has_value();
    std::string path = platform::kHostsPath;
    if (watch) path += "?index=" + std::to_string(*has_) + "&wait=" + std::to_string(wait / kMs);
    if (pace_ != nullptr) pace_->Called(called_at, watch);
    clock_.Called(called_at, watch);
    ++counters_.list_calls;
    const Micros patience = pace_ != nullptr && watch ? wait + kPacedLate
                            : Bound()                 ? clock_.patience(watch, opens)
                                                      : pace_->patience();
    Answer answer = co_await Ask(std::move(path), patience);
    if (!answer.list) {
      opens = true;
      link_.reset();
      following_ = false;  // before anyone hears of it, who may ask again at once
      // What broke off, or says what is no list, may be a service that was begun anew: its whole list then.
      if (pace_ != nullptr || answer.how == ListCallEnd::kDown) has_.reset();
      Settle(answer, called_at, false);
      told_(nullptr, answer.why);
      continue;
    }
    const HostList& list = *answer.list;
    const bool news = !watch || *has_ != list.version;
    opens = !watch;
    Settle(answer, called_at, news);
    // A service that counts from further back has lost its way: its changes are no changes of what is known.
    const bool backwards = watch && !list.full && list.version < *has_;
    has_ = list.version;
    if (backwards) has_.reset();
    if (!backwards) told_(&list, answer.why);
    // Guards discovery, which is shared and slow, against a watch that is answered at once with no news, or
    // each time with what is older than its whole list.
    const Micros pause_ends = called_at + kLeastPause;
    while ((!news || backwards) && scheduler_.Now() < pause_ends) co_await asked_.Wait(pause_ends);
  }
}

// What keeps time hears of each call's end before anybody else.
void Discovery::Settle(const Answer& answer, Micros called_at, bool news) {
  const Micros now = scheduler_.Now();
  clock_.Ended(now, answer.how, answer.retry_after, machine_.RandomUnit());
  if (pace_ == nullptr) return;
  start::CallEnd how = start::CallEnd::kDown;
  if (answer.list) how = news ? start::CallEnd::kNews : start::CallEnd::kNothing;
  if (answer.how == ListCallEnd::kSilent) how = start::CallEnd::kNoAnswer;
  // A refusal after a while in line is for the line, and not for what is broken.
  if (answer.how == ListCallEnd::kBusy && (answer.waited || answer.retry_after > 0))
    how = start::CallEnd::kBusy;
  pace_->Ended(now, how, now - called_at, answer.retry_after, machine_.RandomUnit());
}

// One call.
Task<Discovery::Answer> Discovery::Ask(std::string path, Micros patience) {
  const Micros called_at = scheduler_.Now(), until = called_at + patience;
  Answer answer;
  if (!link_ || !link_->IsIdle()) {
    link_.reset();
    answer.why = "no connection";
    NoConnection ours;
    link_ = network_.Connect(config_.discovery, ours);
    if (!link_) co_return answer;
    // Guards the drain rule where this process stood still: queries that came meanwhile wait in the same line
    // as the word that was told before them.
    link_->SetHighPriority();
    const Micros up_by = std::min(until, scheduler_.Now() + kConnectPatience);
    bool connected = co_await Connected(*link_, up_by);
    if (!connected && scheduler_.Now() >= up_by) answer.how = ListCallEnd::kSilent;
    if (!connected) co_return answer;
  }
  std::string call = "GET " + path + " HTTP/1.1\r\nHost: " + config_.discovery.text + "\r\n\r\n";
  answer.why = "the connection broke";
  bool written = co_await WriteAll(*link_, call, until);
  if (!written) co_return answer;
  HttpParser parser(HttpParser::Kind::kResponse, kLargestList, kLargestList);
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
        answer.how = ListCallEnd::kSilent;
        co_return answer;
      }
    } else {
      if (io == Io::kBroken || parser.OnPeerClosed() != Parsed::kDone) co_return answer;
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
    answer.waited = scheduler_.Now() - called_at >= kStoodInLine;
    if (message.status == 503 || message.status == 429) answer.how = ListCallEnd::kBusy;
    co_return answer;
  }
  try {
    answer.list = ParseHostList(message.body, config_.settings);
    answer.how = ListCallEnd::kHeard;
  } catch (const BadConfig& e) {  // an answer that can't be read is a call that failed
    answer.why = e.what();
  }
  co_return answer;
}

}  // namespace burlfall
