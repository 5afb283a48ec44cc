#include "membership/discovery.h"

#include <algorithm>
#include <system_error>
#include <utility>

#include "codec/http.h"
#include "codec/words.h"
#include "config/platform.h"

namespace burlfall {
namespace {

constexpr Micros kConnectTimeout = 1500 * kMs;
constexpr Micros kMinPause = 150 * kMs;  // a watch continues if the next call comes within 200 ms
constexpr Micros kMinQueueTime = 500 * kMs;
// Lists may be indented and name thousands of nodes. A larger answer is rejected.
constexpr size_t kMaxListBytes = 2 << 20;
constexpr Micros kPacedTimeoutMargin = 1500 * kMs;  // after the wait that a paced watch requested
constexpr double kMaxRetryAfterSeconds = 86400;     // s

// Seconds, integer or decimal; 0 if the header is missing or unreadable. Dates are ignored, because the
// local clock may not match the service's.
Micros RetryAfter(const HttpMessage& answer) {
  const std::string* text = answer.Find(platform::kRetryAfter);
  if (text == nullptr) return 0;
  return static_cast<Micros>(std::min(PositiveSeconds(*text), kMaxRetryAfterSeconds) *
                             static_cast<double>(kSecond));
}

}  // namespace

Discovery::Discovery(Machine& machine, const Config& config, Counters& counters, OnUpdate on_update,
                     start::CallPacer* pacer)
    : scheduler_(machine.scheduler()),
      network_(machine.network()),
      machine_(machine),
      config_(config),
      counters_(counters),
      on_update_(std::move(on_update)),
      pacer_(pacer),
      clock_({!config.settings.must_subscribe, config.settings.must_ask_within, config.settings.drain_grace}),
      follow_requested_(scheduler_) {}

// With pushed lists nobody calls Follow(), and whatever the service has counts as delivered from the first
// moment.
void Discovery::Start(std::optional<uint64_t> known_version) {
  started_ = true;
  known_version_ = known_version;
  if (!config_.settings.must_subscribe) following_ = true;
  watch_ = Watch();
  watch_.Start();
}

void Discovery::Follow() {
  if (following_) return;
  following_ = true;
  follow_requested_.Notify();
}

// Abandons the current call, which may still wait for long, and calls the new address. Guards the drain
// rule: a drain is announced by the new service only, and the module, which assumes that it receives all
// changes, would not ask. All balancers may get the new address at the same moment, so a paced call waits
// for its turn. Before Start() nothing is to be done: the first call uses the address that the configuration
// names then.
void Discovery::Reconnect() {
  if (!started_) return;
  watch_ = Task<>();
  link_.reset();
  following_ = true;
  clock_.Reset(scheduler_.Now());
  if (pacer_ != nullptr) pacer_->Restart(scheduler_.Now(), machine_.RandomUnit());
  Start({});  // another service may number its versions differently
}

// Whether the rule on asking applies: a balancer without a list cannot break it.
bool Discovery::ClockApplies() const {
  return pacer_ == nullptr || pacer_->phase() != start::StartPhase::kNoList;
}

// Earliest time of the next paced call; after a failed call no later than the list clock says.
Micros Discovery::NextPacedCallAt() const {
  return ClockApplies() ? std::min(pacer_->next_at(), clock_.next_call_at()) : pacer_->next_at();
}

// Waits until Follow() is called or the list clock is due and, with pacing, until the pacer allows a call.
Task<> Discovery::WaitForNextCall() {
  while (!following_ && scheduler_.Now() < clock_.next_call_at())
    co_await follow_requested_.Wait(clock_.next_call_at());
  following_ = true;
  while (pacer_ != nullptr && scheduler_.Now() < NextPacedCallAt())
    co_await follow_requested_.Wait(NextPacedCallAt());
}

// A watch starts from the version that the group has. The service then reports the changes since that
// version, and one call waits in its queue instead of two (full list, then watch). Between such two calls no
// call would be open to receive a change, but the change would count as delivered.
Task<> Discovery::Watch() {
  bool opens_watch = true;
  while (true) {
    co_await WaitForNextCall();
    const Micros wait = pacer_ != nullptr ? pacer_->watch_wait() : clock_.wait();
    const Micros called_at = scheduler_.Now();
    const bool watch = known_version_.has_value();
    std::string path = platform::kHostsPath;
    if (watch) path += "?index=" + std::to_string(*known_version_) + "&wait=" + std::to_string(wait / kMs);
    if (pacer_ != nullptr) pacer_->Called(called_at, watch);
    clock_.Called(called_at, watch);
    ++counters_.list_calls;
    const Micros timeout = pacer_ != nullptr && watch ? wait + kPacedTimeoutMargin
                           : ClockApplies()           ? clock_.timeout(watch, opens_watch)
                                                      : pacer_->call_timeout();
    Answer answer = co_await Call(std::move(path), timeout);
    if (!answer.list) {
      opens_watch = true;
      link_.reset();
      following_ = false;  // set before the callback, which may call Follow() again at once
      // After a broken connection or an invalid answer the service may have restarted, so its full list is
      // fetched.
      if (pacer_ != nullptr || answer.how == ListCallOutcome::kDown) known_version_.reset();
      RecordOutcome(answer, called_at, false);
      on_update_(nullptr, answer.why);
      continue;
    }
    const HostList& list = *answer.list;
    const bool changed = !watch || *known_version_ != list.version;
    opens_watch = !watch;
    RecordOutcome(answer, called_at, changed);
    // A lower version means that the service lost its state: its changes do not apply to the known list.
    const bool version_decreased = watch && !list.full && list.version < *known_version_;
    known_version_ = list.version;
    if (version_decreased) known_version_.reset();
    if (!version_decreased) on_update_(&list, answer.why);
    // Limits the load on discovery, which is shared and slow, when watches are answered at once without
    // changes, or always with changes older than its full list.
    const Micros pause_ends = called_at + kMinPause;
    while ((!changed || version_decreased) && scheduler_.Now() < pause_ends)
      co_await follow_requested_.Wait(pause_ends);
  }
}

// Reports the end of a call to the clock and the pacer, before any callback.
void Discovery::RecordOutcome(const Answer& answer, Micros called_at, bool changed) {
  const Micros now = scheduler_.Now();
  clock_.Ended(now, answer.how, answer.retry_after, machine_.RandomUnit());
  if (pacer_ == nullptr) return;
  start::CallOutcome how = start::CallOutcome::kDown;
  if (answer.list) how = changed ? start::CallOutcome::kChanged : start::CallOutcome::kUnchanged;
  if (answer.how == ListCallOutcome::kSilent) how = start::CallOutcome::kNoAnswer;
  // A call that was rejected after waiting in the queue indicates overload, not a broken service.
  if (answer.how == ListCallOutcome::kBusy && (answer.was_queued || answer.retry_after > 0))
    how = start::CallOutcome::kBusy;
  pacer_->Ended(now, how, now - called_at, answer.retry_after, machine_.RandomUnit());
}

// Performs one call.
Task<Discovery::Answer> Discovery::Call(std::string path, Micros timeout) {
  const Micros called_at = scheduler_.Now(), until = called_at + timeout;
  Answer answer;
  if (!link_ || !link_->IsIdle()) {
    link_.reset();
    answer.why = "no connection";
    NoConnection no_connection;
    link_ = network_.Connect(config_.discovery, no_connection);
    if (!link_) co_return answer;
    // Guards the drain rule after this process was suspended: queries that arrived meanwhile are in the same
    // event queue as an earlier announcement of a drain, which must be processed first.
    link_->SetHighPriority();
    const Micros connect_by = std::min(until, scheduler_.Now() + kConnectTimeout);
    bool connected = co_await Connected(*link_, connect_by);
    if (!connected && scheduler_.Now() >= connect_by) answer.how = ListCallOutcome::kSilent;
    if (!connected) co_return answer;
  }
  std::string request = "GET " + path + " HTTP/1.1\r\nHost: " + config_.discovery.text + "\r\n\r\n";
  answer.why = "the connection broke";
  bool written = co_await WriteAll(*link_, request, until);
  if (!written) co_return answer;
  HttpParser parser(HttpParser::Kind::kResponse, kMaxListBytes, kMaxListBytes);
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
        answer.how = ListCallOutcome::kSilent;
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
    answer.was_queued = scheduler_.Now() - called_at >= kMinQueueTime;
    if (message.status == 503 || message.status == 429) answer.how = ListCallOutcome::kBusy;
    co_return answer;
  }
  try {
    answer.list = ParseHostList(message.body, config_.settings);
    answer.how = ListCallOutcome::kAnswered;
  } catch (const BadConfig& e) {  // an unreadable answer counts as a failed call
    answer.why = e.what();
  }
  co_return answer;
}

}  // namespace burlfall
