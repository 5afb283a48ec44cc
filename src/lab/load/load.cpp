#include "lab/load/load.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "lab/site/mark.h"

namespace burlfall::lab {
namespace {

constexpr size_t kMostAnswer = 256 << 20;
constexpr Micros kConnectFor = 2 * kSecond;  // before the start, for all connections to come up
constexpr Micros kReconnectEvery = 10 * kMs;
constexpr size_t kIdDigits = 16;
constexpr int kMostAtOnce = 256;

}  // namespace

struct Load::Link : HttpLink {
  Link(Load& load, std::unique_ptr<Stream> stream, size_t in)
      : HttpLink(load, std::move(stream), kMostAnswer), slot(in) {}
  const size_t slot;
  Micros due = 0;      // of the query at hand
  uint64_t query = 0;  // its number; 0: none
};

Load::Load(Machine& machine, LoadPlan plan, Tell tell)
    : machine_(machine),
      plan_(std::move(plan)),
      tell_(std::move(tell)),
      closed_(plan_.rate_per_s <= 0),
      gaps_(plan_.seed, "load/gaps"),
      ids_(plan_.seed, "load/ids"),
      query_(plan_.query),
      links_(static_cast<size_t>(plan_.connections)),
      wake_(machine.scheduler()) {
  const size_t length = std::strlen(LoadPlan::kId);
  for (size_t at = 0; (at = query_.find(LoadPlan::kId, at)) != std::string::npos;) {
    id_at_.push_back(at);
    query_.replace(at, length, kIdDigits, '0');
  }
  for (size_t slot = links_.size(); slot > 0; --slot) missing_.push_back(slot - 1);
}

Load::~Load() = default;

Task<> Load::Run() {
  co_await Connect();
  starts_at_ = machine_.Now();
  counts_from_ = starts_at_ + plan_.warm_up;
  ends_at_ = counts_from_ + plan_.duration;
  Micros due = NextDue();
  Micros tells_at = starts_at_ + kSecond;
  while (true) {
    buried_.clear();
    Refill();
    const Micros now = machine_.Now();
    Expire(now);
    if (closed_) {
      while (!free_.empty() && now < ends_at_) Send(now);
    }
    for (int n = 0; !closed_ && due <= now && due < ends_at_ && n < kMostAtOnce; ++n) {
      Take(due, now);
      due = NextDue();
    }
    if (tell_ && now >= tells_at) {
      result_.took = std::max<Micros>(0, now - counts_from_);
      tell_(now - starts_at_, result_);
      tells_at += kSecond;
    }
    const bool more = closed_ ? now < ends_at_ : due < ends_at_;
    if (!more && open_ == 0 && waiting_.empty()) break;
    Micros until = !more ? kNever : closed_ ? ends_at_ : due;
    if (!timeouts_.empty()) until = std::min(until, timeouts_.front().at);
    if (!waiting_.empty()) until = std::min(until, waiting_.front() + plan_.timeout);
    if (!missing_.empty()) until = std::min(until, now + kReconnectEvery);
    if (tell_) until = std::min(until, tells_at);
    co_await wake_.Wait(until);
  }
  result_.took = std::max(ends_at_, last_at_) - counts_from_;
}

// All connections, as far as they come up soon.
Task<> Load::Connect() {
  const Micros until = machine_.Now() + kConnectFor;
  while (!All() && machine_.Now() < until) {
    Refill();
    if (!All()) co_await wake_.Wait(machine_.Now() + kReconnectEvery);
  }
}

Micros Load::NextDue() {
  if (closed_) return kNever;
  const double mean = kSecond / plan_.rate_per_s;
  next_ += plan_.even ? mean : gaps_.Exponential(mean);
  return starts_at_ + static_cast<Micros>(next_);
}

// ---- Queries ---------------------------------------------------------------------------------------------

void Load::Take(Micros due, Micros now) {
  if (Counts(due)) {
    result_.late.Add(now - due);
    if (now - due > LoadResult::kLate) ++result_.late_sends;
    ++result_.queries;
  }
  if (free_.empty()) {
    waiting_.push_back(due);
  } else {
    Send(due);
  }
}

// By the link that was used last.
void Load::Send(Micros due) {
  Link& link = *free_.back();
  free_.pop_back();
  if (!id_at_.empty()) {
    id_.clear();
    AppendTrace(id_, ids_.Next());
    for (size_t at : id_at_) query_.replace(at, kIdDigits, id_);
  }
  if (link.Send(query_) == HttpLink::Sent::kBroken) {
    Bury(link);
    if (!closed_) waiting_.push_front(due);
    wake_.Notify();
    return;
  }
  if (closed_ && Counts(due)) ++result_.queries;
  link.due = due;
  link.query = ++sent_;
  ++open_;
  timeouts_.push_back({due + plan_.timeout, link.slot, link.query});
}

void Load::Over(Link& link) {
  link.query = 0;
  --open_;
  if (Counts(link.due)) last_at_ = machine_.Now();
  if (open_ == 0) wake_.Notify();
}

void Load::Expire(Micros now) {
  for (; !timeouts_.empty() && timeouts_.front().at <= now; timeouts_.pop_front()) {
    Link* link = links_[timeouts_.front().slot].get();
    if (link == nullptr || link->query != timeouts_.front().query) continue;
    if (Counts(link->due)) ++result_.timed_out;
    Over(*link);
    Bury(*link);
  }
  for (; !waiting_.empty() && waiting_.front() + plan_.timeout <= now; waiting_.pop_front()) {
    if (Counts(waiting_.front())) ++result_.timed_out;
  }
}

// ---- Links -----------------------------------------------------------------------------------------------

void Load::Refill() {
  for (size_t n = missing_.size(); n > 0; --n) {
    const size_t slot = missing_.back();
    NoConnection why = NoConnection::kRefused;
    std::unique_ptr<Stream> stream = machine_.network().Connect(plan_.to, why);
    if (!stream) {
      ++result_.connects_failed;
      return;
    }
    ++result_.connects;
    missing_.pop_back();
    links_[slot] = std::make_unique<Link>(*this, std::move(stream), slot);
    links_[slot]->Start();
  }
}

// Takes the next query, if one waits.
void Load::Free(Link& link) {
  free_.push_back(&link);
  const Micros now = machine_.Now();
  if (closed_ && now < ends_at_ && starts_at_ != kNever) {
    Send(now);
  } else if (!waiting_.empty()) {
    const Micros due = waiting_.front();
    waiting_.pop_front();
    Send(due);
  } else if (starts_at_ == kNever && All()) {
    wake_.Notify();
  }
}

// Nothing is destroyed here: it may be its own coroutine that runs.
void Load::Bury(Link& link) {
  link.Close();
  std::erase(free_, &link);
  missing_.push_back(link.slot);
  buried_.push_back(std::move(links_[link.slot]));
}

void Load::CameUp(HttpLink& link) { Free(static_cast<Link&>(link)); }

void Load::Answered(HttpLink& from, HttpMessage answer) {
  auto& link = static_cast<Link&>(from);
  if (Counts(link.due)) {
    result_.latency.Add(machine_.Now() - link.due);
    ++result_.answers[answer.status];
  }
  Over(link);
  if (answer.keep_alive) {
    Free(link);
  } else {
    Bury(link);
    wake_.Notify();
  }
}

void Load::Ended(HttpLink& ended, HttpLink::Gone how) {
  auto& link = static_cast<Link&>(ended);
  if (how == HttpLink::Gone::kNeverUp) {
    ++result_.connects_failed;
  } else {
    wake_.Notify();  // another is opened at once; where none comes up, after a while
  }
  if (link.query != 0) {
    if (Counts(link.due)) ++(how == HttpLink::Gone::kGarbled ? result_.garbled : result_.broken);
    Over(link);
  }
  Bury(link);
}

}  // namespace burlfall::lab
