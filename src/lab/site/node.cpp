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
constexpr double kMostMicros = 3600.0 * kSecond;

std::string_view FirstPart(std::string_view target) {
  target.remove_prefix(1);
  return target.substr(0, target.find_first_of("/?"));
}

// A key is a number in hexadecimal; any other text is as good as its hash.
uint64_t KeyOf(std::string_view text) {
  if (text.empty()) return 0;
  uint64_t key = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), key, 16);
  if (error == std::errc() && end == text.data() + text.size()) return key;
  return std::hash<std::string_view>()(text);
}

// "480m" or "1500u", or without a unit in microseconds; below 0: it says nothing.
double Span(const std::string* text) {
  if (text == nullptr) return -1;
  double number = -1;
  const char* end = text->data() + text->size();
  auto [unit, error] = std::from_chars(text->data(), end, number);
  if (error != std::errc() || !std::isfinite(number) || end - unit > 1) return -1;
  if (unit != end && *unit != 'm' && *unit != 'u') return -1;
  return std::min(number * (unit != end && *unit == 'm' ? kMs : 1), kMostMicros);
}

NodeModel::Rules RulesFor(const NodeSite& site, size_t balancers) {
  NodeModel::Rules rules = site.rules;
  rules.balancers = static_cast<int>(balancers);
  return rules;
}

}  // namespace

struct Node::NodeLink : Link {
  uint64_t attempt = 0;  // at hand; 0: none
  Doom doom = Doom::kNone;
};

Node::Node(NodeSite& site, int number, const NodePlan& plan, const NodeGroup& group,
           const std::vector<Address>& at, uint64_t seed)
    : StandIn(site.machine, {site.idle_close, site.read_patience, plan.links}, at),
      site_(site),
      number_(number),
      plan_(plan),
      model_(plan, group, site.repeats, RulesFor(site, at.size()), seed),
      draws_(seed, "links of " + plan.name),
      model_moves_(site.machine.scheduler()) {
  tending_ = Tend();
  tending_.Start();
}

Node::~Node() = default;

void Node::Start(bool cold) {
  Die();
  reset_share_ = spoil_share_ = 0;
  fell_ = false;
  const Micros now = machine_.Now();
  model_.Start(now, cold);
  Open();
  site_.witness.NodeChanged(number_, NodeChange::kStarted, now, {});
}

void Node::Die() {
  if (!open()) return;
  if (!fell_) site_.witness.NodeChanged(number_, NodeChange::kDied, machine_.Now(), {});
  fell_ = false;
  model_.Stop();
  DropAll();
  Shut();
}

void Node::DropAll() {
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

void Node::Slow(double part) {
  model_.Slow(machine_.Now(), part, effects_);
  Apply();
}

void Node::ResetUnder(double share) { reset_share_ = share; }

void Node::Spoil(double share) { spoil_share_ = share; }

std::unique_ptr<StandIn::Link> Node::NewLink() { return std::make_unique<NodeLink>(); }

void Node::CameUp(Link& link) {
  if (link.surplus) return;  // turned away before any handshake
  const Micros now = machine_.Now();
  site_.witness.HandshakeAt(number_, link.gate->balancer, now);
  model_.Handshake(now, link.gate->balancer, link.number, effects_);
  Apply();
}

Task<bool> Node::Handle(Link& link, HttpMessage query) {
  auto& here = static_cast<NodeLink&>(link);
  const int status = Receive(here, query);
  if (status != 0) Answer(link, status, "", "");
  if (here.doom == Doom::kReset) {
    LeftBy(link);
    link.stream->Reset();
    co_return false;
  }
  if (!link.out.empty()) co_return true;
  const bool answered = co_await AwaitAnswer(link);
  co_return answered;
}

// Hands it to the model; else the status to answer with.
int Node::Receive(NodeLink& link, const HttpMessage& query) {
  const std::string* trace_text = query.Find(platform::kTraceId);
  const TraceId trace = trace_text != nullptr ? ReadTrace(*trace_text) : 0;
  const double hint = Span(query.Find(platform::kSizeHint));
  std::string name;
  Unescaped(FirstPart(query.target), name);
  auto named = std::find_if(site_.classes.begin(), site_.classes.end(),
                            [&](const ClassSpec& one) { return one.name == name; });
  NodeQuery one;
  if (named != site_.classes.end()) one.cls = static_cast<int>(named - site_.classes.begin());
  WorkInfo info;
  const bool known = trace != 0 && site_.work_of && site_.work_of(trace, info);
  if ((known && info.cls >= 0 && info.cls != one.cls) || (!known && site_.work_of && hint < 0)) {
    ++strange_;
    site_.witness.UnexpectedRequest(number_, link.gate->balancer, machine_.Now());
    return trace_text != nullptr ? 400 : 404;
  }
  const Micros now = machine_.Now();
  one.attempt = ++site_.attempts;
  one.balancer = link.gate->balancer;
  one.key = KeyOf(ParameterOf(query.target, "user"));
  if (const std::string* key = query.Find(platform::kIdempotencyKey)) one.idempotency_key = *key;
  one.work_us = known ? info.work_us : std::max(0.0, hint);
  const double expires = Span(query.Find(platform::kExpiresIn));
  if (expires >= 0) one.over_at = link.first_byte_at + static_cast<Micros>(expires);
  one.link = link.number;
  one.no_room = link.surplus;
  link.attempt = one.attempt;
  link.doom = reset_share_ > 0 && draws_.Chance(reset_share_)   ? Doom::kReset
              : spoil_share_ > 0 && draws_.Chance(spoil_share_) ? Doom::kSpoil
                                                                : Doom::kNone;
  held_[one.attempt] = {&link, trace};
  const uint64_t site_link = static_cast<uint64_t>(number_) << 40 | link.number;
  site_.witness.Arrived(
      {one.attempt, trace, number_, one.balancer, link.first_byte_at, now, site_link, one.work_us});
  model_.Take(now, std::move(one), effects_);
  Apply();
  return 0;
}

// What came of the model's last event.
void Node::Apply() {
  for (const NodeModel::Effect& effect : effects_) {
    if (effect.did == NodeModel::Did::kBegan) {
      site_.witness.Ran(effect.attempt, machine_.Now(), !effect.repeat);
    } else if (effect.did == NodeModel::Did::kFell) {
      site_.witness.NodeChanged(number_, NodeChange::kOverloaded, machine_.Now(), effect.pushed_by);
      // The links end in a turn of their own: this may be one of theirs.
      fell_ = true;
      model_moves_.Notify();
    } else {
      Conclude(effect);
    }
  }
  effects_.clear();
  if (model_.NextAt() < tended_at_) model_moves_.Notify();
}

void Node::Conclude(const NodeModel::Effect& effect) {
  auto it = held_.find(effect.attempt);
  if (it == held_.end()) return;
  NodeLink* link = it->second.link;
  const Mark mark{it->second.trace, number_, effect.attempt};
  held_.erase(it);
  const bool heard = link != nullptr && !link->silent && link->doom != Doom::kReset;
  AttemptEnd how = AttemptEnd::kDropped;
  if (heard && effect.did == NodeModel::Did::kServed) {
    how = link->doom == Doom::kSpoil ? AttemptEnd::kCorrupted : AttemptEnd::kAnswered;
    std::string body;
    AppendMark(body, mark, site_.body_bytes);
    Answer(*link, 200, "", body);
    if (how == AttemptEnd::kCorrupted) Spoiled(*link, mark);
    if (how == AttemptEnd::kAnswered) last_mark_ = mark;
  } else if (heard && effect.did == NodeModel::Did::kError) {
    how = AttemptEnd::kError;
    Answer(*link, 500, "", "");
  } else if (heard) {
    how = AttemptEnd::kRejected;
    Answer(*link, effect.did == NodeModel::Did::kOver ? 504 : 503, kNeverRanLine, "");
  }
  site_.witness.AttemptEnded(effect.attempt, machine_.Now(), how);
  if (link == nullptr) return;
  link->attempt = 0;
  Wake(*link);
}

// Makes of the good answer in `out` a bad one.
void Node::Spoiled(NodeLink& link, const Mark& mark) {
  std::string& out = link.out;
  const int kind = draws_.Below(3);
  if (kind == 0 && last_mark_.trace != 0 && last_mark_.trace != mark.trace) {
    std::string body;
    AppendMark(body, last_mark_, site_.body_bytes);
    Answer(link, 200, "", body);
  } else if (kind == 1) {
    // Its body's end is missing, and the link's end follows.
    out.resize(out.size() - 1 - static_cast<size_t>(draws_.Below(16)));
    link.last = true;
  } else {
    // Any byte of it may be another, of its head as of its body; the first always is.
    out[0] = static_cast<char>(out[0] + 1 + draws_.Below(255));
    for (char& c : out) {
      if (draws_.Chance(0.05)) c = static_cast<char>(draws_.Next());
    }
    link.last = true;
  }
}

// The balancer waits no more, and an attempt that it has given up so is out no more.
void Node::LeftBy(Link& link) {
  const uint64_t attempt = static_cast<NodeLink&>(link).attempt;
  auto it = held_.find(attempt);
  if (it == held_.end() || it->second.link == nullptr) return;
  it->second.link = nullptr;
  site_.witness.LinkEnded(attempt, machine_.Now());
}

void Node::Lost(Link& link) {
  LeftBy(link);
  const uint64_t attempt = std::exchange(static_cast<NodeLink&>(link).attempt, 0);
  if (!held_.contains(attempt)) return;
  const bool dropped = model_.GivenUp(machine_.Now(), attempt, effects_);
  if (dropped) {
    held_.erase(attempt);
    site_.witness.AttemptEnded(attempt, machine_.Now(), AttemptEnd::kDropped);
  }
  Apply();
}

Task<> Node::Tend() {
  while (true) {
    tended_at_ = model_.NextAt();
    co_await model_moves_.Wait(tended_at_);
    // Die() doesn't end this task, so it may be called from here.
    if (fell_) Die();
    tended_at_ = 0;  // it is looked after anew anyway
    model_.Tick(machine_.Now(), effects_);
    Apply();
  }
}

}  // namespace burlfall::lab
