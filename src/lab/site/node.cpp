#include "lab/site/node.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <functional>
#include <string_view>
#include <system_error>
#include <utility>

#include "codec/words.h"
#include "config/platform.h"
#include "lab/site/mark.h"

namespace burlfall::lab {
namespace {

constexpr std::string_view kNeverRanLine = "X-Never-Ran: 1\r\n";
constexpr double kMaxDuration = 3600.0 * kSecond;

std::string_view FirstPathSegment(std::string_view target) {
  target.remove_prefix(1);
  return target.substr(0, target.find_first_of("/?"));
}

// Parses a key, a hexadecimal number; of any other text, returns the hash.
uint64_t KeyOf(std::string_view text) {
  if (text.empty()) return 0;
  uint64_t key = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), key, 16);
  if (error == std::errc() && end == text.data() + text.size()) return key;
  return std::hash<std::string_view>()(text);
}

// Parses a duration such as "480m" (milliseconds) or "1500u" (microseconds); without a unit it is in
// microseconds. Returns a negative number if the text is missing or malformed.
double ParseDuration(const std::string* text) {
  if (text == nullptr) return -1;
  double number = -1;
  const char* end = text->data() + text->size();
  auto [unit, error] = std::from_chars(text->data(), end, number);
  if (error != std::errc() || !std::isfinite(number) || end - unit > 1) return -1;
  if (unit != end && *unit != 'm' && *unit != 'u') return -1;
  return std::min(number * (unit != end && *unit == 'm' ? kMs : 1), kMaxDuration);
}

NodeModel::Rules RulesFor(const NodeSite& site, size_t balancers) {
  NodeModel::Rules rules = site.rules;
  rules.balancers = static_cast<int>(balancers);
  return rules;
}

}  // namespace

struct Node::NodeLink : Link {
  uint64_t attempt = 0;  // the current attempt; 0: none
  ConnectionFault fault = ConnectionFault::kNone;
};

Node::Node(NodeSite& site, int number, const NodePlan& plan, const NodeGroup& group,
           const std::vector<Address>& at, uint64_t seed)
    : StandIn(site.machine, {site.idle_close, site.read_timeout, plan.links}, at),
      site_(site),
      number_(number),
      plan_(plan),
      model_(plan, group, site.repeats, RulesFor(site, at.size()), seed),
      random_(seed, "links of " + plan.name),
      model_changed_(site.machine.scheduler()) {
  model_task_ = RunModel();
  model_task_.Start();
}

Node::~Node() = default;

void Node::Start(bool cold) {
  Die();
  reset_share_ = corrupted_share_ = 0;
  crashed_ = false;
  const Micros now = machine_.Now();
  model_.Start(now, cold);
  Open();
  site_.witness.NodeChanged(number_, NodeChange::kStarted, now, {});
}

void Node::Die() {
  if (!open()) return;
  if (!crashed_) site_.witness.NodeChanged(number_, NodeChange::kDied, machine_.Now(), {});
  crashed_ = false;
  model_.Stop();
  DropQueries();
  CloseAll();
}

void Node::DropQueries() {
  const Micros now = machine_.Now();
  for (const auto& [attempt, held] : held_) site_.witness.AttemptEnded(attempt, now, AttemptEnd::kDropped);
  held_.clear();
}

void Node::Drain() {
  model_.Drain(machine_.Now(), effects_);
  Apply();
  site_.witness.NodeChanged(number_, NodeChange::kDraining, machine_.Now(), {});
}

void Node::Silence(bool on) {
  model_.Silence(machine_.Now(), on, effects_);
  Apply();
}

void Node::FailFast(double share) {
  model_.FailFast(machine_.Now(), share, effects_);
  Apply();
}

void Node::SetSpeed(double part) {
  model_.SetSpeed(machine_.Now(), part, effects_);
  Apply();
}

void Node::SetResetShare(double share) { reset_share_ = share; }

void Node::SetCorruptedShare(double share) { corrupted_share_ = share; }

std::unique_ptr<StandIn::Link> Node::NewLink() { return std::make_unique<NodeLink>(); }

void Node::OnConnected(Link& link) {
  if (link.over_limit) return;  // rejected before the handshake
  const Micros now = machine_.Now();
  site_.witness.HandshakeAt(number_, link.endpoint->balancer, now);
  model_.Handshake(now, link.endpoint->balancer, link.number, effects_);
  Apply();
}

Task<bool> Node::Handle(Link& link, HttpMessage query) {
  auto& here = static_cast<NodeLink&>(link);
  const int status = Receive(here, query);
  if (status != 0) Answer(link, status, "", "");
  if (here.fault == ConnectionFault::kReset) {
    OnPeerClosed(link);
    link.stream->Reset();
    co_return false;
  }
  if (!link.out.empty()) co_return true;
  const bool answered = co_await AwaitAnswer(link);
  co_return answered;
}

// Passes the query to the model and returns 0, or returns the status to answer with.
int Node::Receive(NodeLink& link, const HttpMessage& query) {
  const std::string* trace_text = query.Find(platform::kTraceId);
  const TraceId trace = trace_text != nullptr ? ReadTrace(*trace_text) : 0;
  const double hint = ParseDuration(query.Find(platform::kSizeHint));
  std::string name;
  Unescaped(FirstPathSegment(query.target), name);
  auto named = std::find_if(site_.classes.begin(), site_.classes.end(),
                            [&](const ClassSpec& one) { return one.name == name; });
  NodeQuery one;
  if (named != site_.classes.end()) one.cls = static_cast<int>(named - site_.classes.begin());
  WorkInfo info;
  const bool known = trace != 0 && site_.work_of && site_.work_of(trace, info);
  if ((known && info.cls >= 0 && info.cls != one.cls) || (!known && site_.work_of && hint < 0)) {
    ++unexpected_queries_;
    site_.witness.UnexpectedRequest(number_, link.endpoint->balancer, machine_.Now());
    return trace_text != nullptr ? 400 : 404;
  }
  const Micros now = machine_.Now();
  one.attempt = ++site_.attempts;
  one.balancer = link.endpoint->balancer;
  one.key = KeyOf(ParameterOf(query.target, "user"));
  if (const std::string* key = query.Find(platform::kIdempotencyKey)) one.idempotency_key = *key;
  one.work_us = known ? info.work_us : std::max(0.0, hint);
  const double expires = ParseDuration(query.Find(platform::kExpiresIn));
  if (expires >= 0) one.expires_at = link.first_byte_at + static_cast<Micros>(expires);
  one.link = link.number;
  one.link_over_limit = link.over_limit;
  link.attempt = one.attempt;
  link.fault = reset_share_ > 0 && random_.Chance(reset_share_)           ? ConnectionFault::kReset
               : corrupted_share_ > 0 && random_.Chance(corrupted_share_) ? ConnectionFault::kCorrupt
                                                                          : ConnectionFault::kNone;
  held_[one.attempt] = {&link, trace};
  const uint64_t site_link = static_cast<uint64_t>(number_) << 40 | link.number;
  site_.witness.Arrived(
      {one.attempt, trace, number_, one.balancer, link.first_byte_at, now, site_link, one.work_us});
  model_.Submit(now, std::move(one), effects_);
  Apply();
  return 0;
}

// Carries out the effects of the model's last event.
void Node::Apply() {
  for (const NodeModel::Effect& effect : effects_) {
    if (effect.type == NodeModel::EffectType::kProcessing) {
      site_.witness.Ran(effect.attempt, machine_.Now(), !effect.repeat);
    } else if (effect.type == NodeModel::EffectType::kCrashed) {
      site_.witness.NodeChanged(number_, NodeChange::kOverloaded, machine_.Now(), effect.work_by_balancer);
      // RunModel() closes the links later, because this call may come from the task of one of them.
      crashed_ = true;
      model_changed_.Notify();
    } else {
      Conclude(effect);
    }
  }
  effects_.clear();
  if (model_.NextAt() < next_tick_at_) model_changed_.Notify();
}

void Node::Conclude(const NodeModel::Effect& effect) {
  auto it = held_.find(effect.attempt);
  if (it == held_.end()) return;
  NodeLink* link = it->second.link;
  const Mark mark{it->second.trace, number_, effect.attempt};
  held_.erase(it);
  const bool answerable = link != nullptr && !link->silent && link->fault != ConnectionFault::kReset;
  AttemptEnd how = AttemptEnd::kDropped;
  if (answerable && effect.type == NodeModel::EffectType::kServed) {
    how = link->fault == ConnectionFault::kCorrupt ? AttemptEnd::kCorrupted : AttemptEnd::kAnswered;
    std::string body;
    AppendMark(body, mark, site_.body_bytes);
    Answer(*link, 200, "", body);
    if (how == AttemptEnd::kCorrupted) CorruptAnswer(*link, mark);
    if (how == AttemptEnd::kAnswered) last_mark_ = mark;
  } else if (answerable && effect.type == NodeModel::EffectType::kError) {
    how = AttemptEnd::kError;
    Answer(*link, 500, "", "");
  } else if (answerable) {
    how = AttemptEnd::kRejected;
    Answer(*link, effect.type == NodeModel::EffectType::kExpired ? 504 : 503, kNeverRanLine, "");
  }
  site_.witness.AttemptEnded(effect.attempt, machine_.Now(), how);
  if (link == nullptr) return;
  link->attempt = 0;
  Wake(*link);
}

// Corrupts the correct answer in `out`.
void Node::CorruptAnswer(NodeLink& link, const Mark& mark) {
  std::string& out = link.out;
  const int kind = random_.Below(3);
  if (kind == 0 && last_mark_.trace != 0 && last_mark_.trace != mark.trace) {
    std::string body;
    AppendMark(body, last_mark_, site_.body_bytes);
    Answer(link, 200, "", body);
  } else if (kind == 1) {
    // Truncates the body and closes the link afterwards.
    out.resize(out.size() - 1 - static_cast<size_t>(random_.Below(16)));
    link.last = true;
  } else {
    // Changes random bytes of head and body; the first byte is always changed.
    out[0] = static_cast<char>(out[0] + 1 + random_.Below(255));
    for (char& c : out) {
      if (random_.Chance(0.05)) c = static_cast<char>(random_.Next());
    }
    link.last = true;
  }
}

// The balancer has closed the link, and with it given up the attempt, which is no longer outstanding.
void Node::OnPeerClosed(Link& link) {
  const uint64_t attempt = static_cast<NodeLink&>(link).attempt;
  auto it = held_.find(attempt);
  if (it == held_.end() || it->second.link == nullptr) return;
  it->second.link = nullptr;
  site_.witness.LinkEnded(attempt, machine_.Now());
}

void Node::OnClosed(Link& link) {
  OnPeerClosed(link);
  const uint64_t attempt = std::exchange(static_cast<NodeLink&>(link).attempt, 0);
  if (!held_.contains(attempt)) return;
  const bool dropped = model_.Cancel(machine_.Now(), attempt, effects_);
  if (dropped) {
    held_.erase(attempt);
    site_.witness.AttemptEnded(attempt, machine_.Now(), AttemptEnd::kDropped);
  }
  Apply();
}

Task<> Node::RunModel() {
  while (true) {
    next_tick_at_ = model_.NextAt();
    co_await model_changed_.Wait(next_tick_at_);
    // Die() does not end this task, so calling it here is safe.
    if (crashed_) Die();
    next_tick_at_ = 0;  // Apply() need not wake this task, which is about to update the time
    model_.Tick(machine_.Now(), effects_);
    Apply();
  }
}

}  // namespace burlfall::lab
