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
constexpr Micros kLeastPause = 150 * kMs;  // a watch continues if the next call comes within 200 ms
constexpr Micros kStoodInLine = 500 * kMs;
// Lists may be indented and name thousands of nodes. A larger answer is rejected.
constexpr size_t kLargestList = 2 << 20;
constexpr Micros kPacedLate = 1500 * kMs;     // after the wait that a paced watch requested
constexpr double kLongestRetryAfter = 86400;  // s

// Seconds, integer or decimal; 0 if the header is missing or unreadable. Dates are ignored, because the
// local clock may not match the service's.
Micros RetryAfter(const HttpMessage& answer) {
  const std::string* text = answer.Find(platform::kRetryAfter);
  if (text == nullptr) return 0;
  return static_cast<Micros>(std::min(PositiveSeconds(*text), kLongestRetryAfter) *
                             static_cast<double>(kSecond));
}

}  // namespace

Discovery::Discovery(Machine& machine, const Config& config, Counters& counters, Told told,
                     start::CallPacer* pace)
    : scheduler_(machine.scheduler()),
      network_(machine.network()),
      machine_(machine),
      config_(config),
      counters_(counters),
      told_(std::move(told)),
      pace_(pace),
      clock_({!config.settings.must_subscribe, config.settings.must_ask_within, config.settings.drain_grace}),
      asked_(scheduler_) {}

// With pushed lists nobody calls Follow(), and whatever the service has counts as delivered from the first
// moment.
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

// Abandons the current call, which may still wait for long, and calls the new address. Guards the drain
// rule: a drain is announced by the new service only, and the module, which assumes that it receives all
// changes, would not ask. All balancers may get the new address at the same moment, so a paced call waits
// for its turn. Before Start() nothing is to be done: the first call uses the address that the configuration
// names then.
void Discovery::Again() {
  if (!started_) return;
  watch_ = Task<>();
  link_.reset();
  following_ = true;
  clock_.Anew(scheduler_.Now());
  if (pace_ != nullptr) pace_->Restart(scheduler_.Now(), machine_.Draw());
  Start({});  // another service may number its versions differently
}

// Whether the rule on asking applies: a balancer without a list cannot break it.
bool Discovery::Bound() const { return pace_ == nullptr || pace_->phase() != start::StartPhase::kNoList; }

// Earliest time of the next paced call; after a failed call no later than the list clock says.
Micros Discovery::TurnAt() const {
  return Bound() ? std::min(pace_->next_at(), clock_.ask_at()) : pace_->next_at();
}

// Waits until Follow() is called or the list clock is due and, with pacing, until the pacer allows a call.
Task<> Discovery::AwaitTurn() {
  while (!following_ && scheduler_.Now() < clock_.ask_at()) co_await asked_.Wait(clock_.ask_at());
  following_ = true;
  while (pace_ != nullptr && scheduler_.Now() < TurnAt()) co_await asked_.Wait(TurnAt());
}

// A watch starts from the version that the group has. The service then reports the changes since that
// version, and one call waits in its queue instead of two (full list, then watch). Between such two calls no
// call would be open to receive a change, but the change would count as delivered.
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
                                                      : pace_->call_timeout();
    Answer answer = co_await Ask(std::move(path), patience);
    if (!answer.list) {
      opens = true;
      link_.reset();
      following_ = false;  // set before the callback, which may call Follow() again at once
      // After a broken connection or an invalid answer the service may have restarted, so its full list is
      // fetched.
      if (pace_ != nullptr || answer.how == ListCallEnd::kDown) has_.reset();
      Settle(answer, called_at, false);
      told_(nullptr, answer.why);
      continue;
    }
    const HostList& list = *answer.list;
    const bool news = !watch || *has_ != list.version;
    opens = !watch;
    Settle(answer, called_at, news);
    // A lower version means that the service lost its state: its changes do not apply to the known list.
    const bool backwards = watch && !list.full && list.version < *has_;
    has_ = list.version;
    if (backwards) has_.reset();
    if (!backwards) told_(&list, answer.why);
    // Limits the load on discovery, which is shared and slow, when watches are answered at once without
    // changes, or always with changes older than its full list.
    const Micros pause_ends = called_at + kLeastPause;
    while ((!news || backwards) && scheduler_.Now() < pause_ends) co_await asked_.Wait(pause_ends);
  }
}

// Reports the end of a call to the clock and the pacer, before any callback.
void Discovery::Settle(const Answer& answer, Micros called_at, bool news) {
  const Micros now = scheduler_.Now();
  clock_.Ended(now, answer.how, answer.retry_after, machine_.Draw());
  if (pace_ == nullptr) return;
  start::CallOutcome how = start::CallOutcome::kDown;
  if (answer.list) how = news ? start::CallOutcome::kChanged : start::CallOutcome::kUnchanged;
  if (answer.how == ListCallEnd::kSilent) how = start::CallOutcome::kNoAnswer;
  // A call that was rejected after waiting in the queue indicates overload, not a broken service.
  if (answer.how == ListCallEnd::kBusy && (answer.waited || answer.retry_after > 0))
    how = start::CallOutcome::kBusy;
  pace_->Ended(now, how, now - called_at, answer.retry_after, machine_.Draw());
}

// Performs one call.
Task<Discovery::Answer> Discovery::Ask(std::string path, Micros patience) {
  const Micros called_at = scheduler_.Now(), until = called_at + patience;
  Answer answer;
  if (!link_ || !link_->Quiet()) {
    link_.reset();
    answer.why = "no connection";
    NoConnection ours;
    link_ = network_.Connect(config_.discovery, ours);
    if (!link_) co_return answer;
    // Guards the drain rule after this process was suspended: queries that arrived meanwhile are in the same
    // event queue as an earlier announcement of a drain, which must be processed first.
    link_->GoFirst();
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
  } catch (const BadConfig& e) {  // an unreadable answer counts as a failed call
    answer.why = e.what();
  }
  co_return answer;
}

}  // namespace burlfall
