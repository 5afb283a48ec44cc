#include "lab/judge/traces.h"

#include <algorithm>
#include <map>
#include <set>

#include "lab/judge/find.h"
#include "lab/judge/text.h"

namespace burlfall::lab {
namespace {

constexpr std::size_t kMaxOtherEvents = 4096;  // events of nodes, balancers and faults
constexpr std::size_t kMaxLines = 60;          // of one timeline
constexpr Micros kReorderWindow = kSecond;     // by which events in the ring may be out of order
constexpr Micros kContextBefore =
    10 * kSecond;  // events of the query's nodes and balancers are included from this long before it
constexpr Micros kContextAfter = 100 * kMs;  // until this long after its end

constexpr const char* kEndTexts[] = {
    "served",
    "refused",
    "failed",
    "the link broke, the balancer alive",
    "the link broke, the balancer dead",
    "never reached a balancer",
    "left",
};
constexpr const char* kAttemptEndTexts[] = {"answered 200", "answered 500", "turned away, never ran",
                                            "answered, corrupted", "dropped"};
constexpr const char* kChangeTexts[] = {"started", "draining", "died", "overloaded"};
constexpr const char* kStateTexts[] = {"gone", "ready", "draining"};

std::string Name(const std::vector<std::string>& names, int number, const char* kind) {
  const std::string* name = Find(names, number);
  return name == nullptr ? Format("%s %d", kind, number) : *name;
}

template <typename T>
std::vector<std::string> NamesOf(const std::vector<T>& all) {
  std::vector<std::string> names;
  for (const T& one : all) names.push_back(one.name);
  return names;
}

}  // namespace

struct TraceStore::Scope {
  std::set<TraceId> traces;
  std::map<uint64_t, int> attempts;  // attempt -> node
  std::set<int> nodes;
  std::set<int> balancers;
  Micros due = kNever;  // of the first try, or the first event that is still kept
  Micros until = 0;
};

TraceStore::TraceStore(const Facts& facts)
    : nodes_(NamesOf(facts.nodes)),
      balancers_(NamesOf(facts.balancers)),
      classes_(NamesOf(facts.settings.classes)),
      tenants_(NamesOf(facts.settings.tenants)),
      faults_(NamesOf(facts.faults)),
      query_events_(std::max<std::size_t>(facts.trace_events, 1)),
      other_events_(kMaxOtherEvents) {}

TraceStore::Event& TraceStore::Ring::Push() {
  if (events.size() < capacity) return events.emplace_back();
  Event& event = events[next];
  next = (next + 1) % capacity;
  event = Event();
  return event;
}

std::vector<const TraceStore::Event*> TraceStore::Ring::From(Micros since) const {
  std::vector<const Event*> recent;
  for (std::size_t step = 1; step <= events.size(); ++step) {
    const Event& event = events[(next + events.size() - step) % events.size()];
    if (event.at < since) break;
    recent.push_back(&event);
  }
  std::reverse(recent.begin(), recent.end());
  return recent;
}

void TraceStore::Due(const Try& one) {
  Event& event = query_events_.Push();
  event.what = EventKind::kDue;
  event.at = one.due;
  event.trace = one.trace;
  event.other = one.first;
  event.attempt = static_cast<uint64_t>(one.tenant);
  event.value = one.give_up_at;
  event.node = one.cls;
  event.balancer = one.balancer;
  event.number = one.number;
}

void TraceStore::Written(TraceId trace, Micros at) {
  Event& event = query_events_.Push();
  event.what = EventKind::kWritten;
  event.at = at;
  event.trace = trace;
}

void TraceStore::Ended(TraceId trace, Micros at, End how, int status, const Mark& mark, Micros refused_for) {
  Event& event = query_events_.Push();
  event.what = EventKind::kEnded;
  event.at = at;
  event.trace = trace;
  event.attempt = mark.attempt;
  event.other = mark.trace;
  event.value = refused_for;
  event.node = mark.node;
  event.number = status;
  event.how = static_cast<uint8_t>(how);
}

void TraceStore::Arrived(const ArrivedAttempt& attempt) {
  Event& event = query_events_.Push();
  event.what = EventKind::kArrived;
  event.at = attempt.at;
  event.trace = attempt.trace;
  event.attempt = attempt.attempt;
  event.other = attempt.link;
  event.value = attempt.first_byte_at;
  event.node = attempt.node;
  event.balancer = attempt.balancer;
  event.number = static_cast<int32_t>(std::min(attempt.work_us, 2e9));
}

void TraceStore::Ran(uint64_t attempt, Micros at, bool effect) {
  Event& event = query_events_.Push();
  event.what = EventKind::kRan;
  event.at = at;
  event.attempt = attempt;
  event.how = effect ? 1 : 0;
}

void TraceStore::AttemptEnded(uint64_t attempt, Micros at, AttemptEnd how) {
  Event& event = query_events_.Push();
  event.what = EventKind::kAttemptEnded;
  event.at = at;
  event.attempt = attempt;
  event.how = static_cast<uint8_t>(how);
}

void TraceStore::LinkEnded(uint64_t attempt, Micros at) {
  Event& event = query_events_.Push();
  event.what = EventKind::kLinkEnded;
  event.at = at;
  event.attempt = attempt;
}

void TraceStore::NodeChanged(int node, NodeChange change, Micros at, const std::vector<double>&) {
  Event& event = other_events_.Push();
  event.what = EventKind::kNodeChanged;
  event.at = at;
  event.node = node;
  event.how = static_cast<uint8_t>(change);
}

void TraceStore::NodeStateSent(int balancer, int node, meadowslip::BackendState state, Micros started_at,
                               Micros at) {
  Event& event = other_events_.Push();
  event.what = EventKind::kNodeStateSent;
  event.at = at;
  event.node = node;
  event.balancer = balancer;
  event.value = started_at;
  event.how = static_cast<uint8_t>(state);
}

void TraceStore::BalancerUp(int balancer, Micros at) {
  Event& event = other_events_.Push();
  event.what = EventKind::kUp;
  event.at = at;
  event.balancer = balancer;
}

void TraceStore::BalancerDown(int balancer, Micros at, bool planned) {
  Event& event = other_events_.Push();
  event.what = EventKind::kDown;
  event.at = at;
  event.balancer = balancer;
  event.how = planned ? 1 : 0;
}

void TraceStore::FaultBegan(int action, Micros at) {
  Event& event = other_events_.Push();
  event.what = EventKind::kFaultBegan;
  event.at = at;
  event.number = action;
}

void TraceStore::FaultEnded(int action, Micros at) {
  Event& event = other_events_.Push();
  event.what = EventKind::kFaultEnded;
  event.at = at;
  event.number = action;
}

std::vector<std::string> TraceStore::Timeline(TraceId trace, Micros since) const {
  const std::vector<const Event*> recent = query_events_.From(since - kReorderWindow);
  TraceId first = trace;
  for (const Event* event : recent) {
    if (event->what == EventKind::kDue && event->trace == trace) first = event->other;
  }
  Scope scope;
  scope.traces = {trace, first};
  std::vector<const Event*> own;
  for (const Event* event : recent) {
    if (event->what == EventKind::kDue && event->other == first) scope.traces.insert(event->trace);
    const bool by_trace = event->what <= EventKind::kArrived;
    if (by_trace ? !scope.traces.contains(event->trace) : !scope.attempts.contains(event->attempt)) continue;
    if (event->what == EventKind::kArrived) {
      scope.attempts.emplace(event->attempt, event->node);
      scope.nodes.insert(event->node);
    }
    if (event->balancer >= 0) scope.balancers.insert(event->balancer);
    scope.due = std::min(scope.due, event->at);
    scope.until = std::max(scope.until, event->at);
    own.push_back(event);
  }
  if (own.empty()) return {};

  for (const Event* event : other_events_.From(0)) {
    if (event->at < scope.due - kContextBefore || event->at > scope.until + kContextAfter) continue;
    if (event->node >= 0 && !scope.nodes.contains(event->node)) continue;
    if (event->balancer >= 0 && !scope.balancers.contains(event->balancer)) continue;
    own.push_back(event);
  }
  std::stable_sort(own.begin(), own.end(), [](const Event* a, const Event* b) { return a->at < b->at; });
  std::vector<std::string> lines;
  for (const Event* event : own) {
    if (lines.size() == kMaxLines) {
      lines.push_back("and " + std::to_string(own.size() - kMaxLines) + " more");
      break;
    }
    lines.push_back(Line(*event, scope));
  }
  return lines;
}

std::string TraceStore::Line(const Event& event, const Scope& scope) const {
  const Micros from = scope.due;
  const auto sent_to = scope.attempts.find(event.attempt);
  const int number = event.node < 0 && sent_to != scope.attempts.end() ? sent_to->second : event.node;
  const std::string node = Name(nodes_, number, "node");
  const std::string balancer = Name(balancers_, event.balancer, "balancer");
  const unsigned long long attempt = event.attempt;
  std::string who = "client";
  std::string what;
  switch (event.what) {
    case EventKind::kDue:
      what = Format("try %d (%s) of a %s for %s is due, to %s; gives up at %+.1f ms", event.number,
                    HexOf(event.trace).c_str(), Name(classes_, event.node, "class").c_str(),
                    Name(tenants_, static_cast<int>(event.attempt), "tenant").c_str(), balancer.c_str(),
                    Ms(event.value - from));
      break;
    case EventKind::kWritten:
      what = "completely written: taken";
      break;
    case EventKind::kEnded:
      what = Format("%s, status %d", kEndTexts[event.how], event.number);
      if (event.other != 0) {
        what += Format(", marked %s by %s, attempt %llu", HexOf(event.other).c_str(), node.c_str(), attempt);
      }
      if (event.value != 0) what += Format(", Retry-After %.0f ms", Ms(event.value));
      break;
    case EventKind::kArrived:
      who = node;
      what = Format("attempt %llu arrived from %s, first byte at %+.3f ms, link %llu, work %.1f ms", attempt,
                    balancer.c_str(), Ms(event.value - from), static_cast<unsigned long long>(event.other),
                    Ms(event.number));
      break;
    case EventKind::kRan:
      who = node;
      what =
          Format("attempt %llu began%s", attempt, event.how != 0 ? "" : ", its effect dropped as a repeat");
      break;
    case EventKind::kAttemptEnded:
      who = node;
      what = Format("attempt %llu: %s", attempt, kAttemptEndTexts[event.how]);
      break;
    case EventKind::kLinkEnded:
      who = node;
      what = Format("attempt %llu: link ended by the balancer", attempt);
      break;
    case EventKind::kNodeChanged:
      who = node;
      what = kChangeTexts[event.how];
      break;
    case EventKind::kNodeStateSent:
      who = "discovery";
      what = Format("told %s that %s is %s", balancer.c_str(), node.c_str(), kStateTexts[event.how]);
      if (event.value != 0) what += Format(", started at %+.0f ms", Ms(event.value - from));
      break;
    case EventKind::kUp:
      who = balancer;
      what = "up";
      break;
    case EventKind::kDown:
      who = balancer;
      what = event.how != 0 ? "ended, as planned" : "killed or crashed";
      break;
    case EventKind::kFaultBegan:
    case EventKind::kFaultEnded:
      who = "script";
      what = Format("fault %d (%s) %s", event.number, Name(faults_, event.number, "fault").c_str(),
                    event.what == EventKind::kFaultBegan ? "begins" : "ends");
      break;
  }
  return Format("%+11.3f ms  %-12s ", Ms(event.at - from), who.c_str()) + what;
}

}  // namespace burlfall::lab
