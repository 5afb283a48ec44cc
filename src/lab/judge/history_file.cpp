#include "lab/judge/history_file.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "config/platform_config.h"
#include "config/settings.h"
#include "lab/judge/run_checker.h"
#include "lab/judge/text.h"
#include "lab/witness/null_observer.h"
#include "lab/witness/observer_list.h"

namespace burlfall::lab {
namespace {

using Json = nlohmann::ordered_json;
using meadowslip::BackendState;
using meadowslip::Settings;

// How far the time of an event may lie before that of an earlier line: events of different ends may be out of
// order, and the lab may have been late. Beyond this a history is rejected because its time goes back.
constexpr Micros kMaxReordering = 2 * kSecond;
constexpr Micros kMaxTime = 1000LL * 366 * 86400 * kSecond;

// ---- Names of enumerators --------------------------------------------------------------------------------

template <typename Enum, std::size_t n>
using EnumNames = std::array<std::pair<Enum, std::string_view>, n>;

constexpr EnumNames<End, 7> kEnds = {{{End::kServed, "served"},
                                      {End::kRefused, "refused"},
                                      {End::kFailed, "failed"},
                                      {End::kBroken, "broken"},
                                      {End::kLost, "lost"},
                                      {End::kUnreached, "unreached"},
                                      {End::kLeft, "left"}}};
constexpr EnumNames<AttemptEnd, 5> kAttemptEnds = {{{AttemptEnd::kAnswered, "answered"},
                                                    {AttemptEnd::kError, "error"},
                                                    {AttemptEnd::kRejected, "turned_away"},
                                                    {AttemptEnd::kCorrupted, "spoilt"},
                                                    {AttemptEnd::kDropped, "dropped"}}};
constexpr EnumNames<NodeChange, 4> kChanges = {{{NodeChange::kStarted, "started"},
                                                {NodeChange::kDraining, "draining"},
                                                {NodeChange::kDied, "died"},
                                                {NodeChange::kOverloaded, "fell"}}};
constexpr EnumNames<BackendState, 3> kStates = {
    {{BackendState::kReady, "ready"}, {BackendState::kDraining, "draining"}, {BackendState::kGone, "gone"}}};

template <typename Enum, std::size_t n>
std::string_view NameOf(const EnumNames<Enum, n>& words, Enum value) {
  return std::find_if(words.begin(), words.end(), [&](auto& one) { return one.first == value; })->second;
}

// ---- Settings in the platform's format -------------------------------------------------------------------

// Returns the settings as ParseSettings() reads them, without names of zones and kinds, which have no effect.
Json SettingsOf(const Settings& s) {
  Json classes = Json::array();
  for (const meadowslip::RequestClass& c : s.classes) {
    constexpr std::array kEffects = {"pure", "token", "side_effect"};
    constexpr std::array kGroups = {"all", "zone", "cell"};
    classes.push_back({{"Name", c.name},
                       {"Effect", kEffects[static_cast<std::size_t>(c.idempotency)]},
                       {"Group", kGroups[static_cast<std::size_t>(c.group)]},
                       {"DedupWindow", c.dedup_window},
                       {"Slo", c.aim},
                       {"HardLimit", c.deadline},
                       {"Worth", c.worth},
                       {"LateShare", c.late_share},
                       {"Stream", c.stream}});
  }
  Json tenants = Json::array();
  for (const meadowslip::Tenant& t : s.tenants) {
    tenants.push_back({{"Name", t.name}, {"QuotaPerS", t.quota_per_s}, {"Share", t.share}});
  }
  return {{"Balancers", s.nodes},
          {"Categories", classes},
          {"Realms", tenants},
          {"OverShareWorth", s.over_share_worth},
          {"Caps",
           {{"Cancel", s.may_cancel},
            {"SecondCopies", s.second_copies},
            {"SendCap", s.max_attempts},
            {"RetryAfter", s.retry_after},
            {"MaxRetryAfter", s.max_retry_after}}},
          {"Rules",
           {{"AnswerSlack", s.answer_slack},
            {"DrainGrace", s.drain_grace},
            {"SoftRemoval", !s.gone_binds},
            {"MustAskIn", s.must_ask_within},
            {"OverloadFactor", s.overload_factor},
            {"Fall", s.overload_window},
            {"StartCapacity", s.start_capacity},
            {"WarmAfter", s.warm_after}}}};
}

Json ParticipantsOf(const std::vector<Facts::Participant>& places) {
  Json all = Json::array();
  for (const Facts::Participant& place : places) {
    all.push_back({{"name", place.name}, {"zone", place.zone}, {"cell", place.cell}});
  }
  return all;
}

Json HeaderOf(const Facts& facts) {
  Json faults = Json::array();
  for (const Facts::Fault& fault : facts.faults) {
    faults.push_back(
        {{"name", fault.name}, {"kind", TraitsOf(fault.kind).kind_name}, {"targets", fault.targets}});
  }
  Json head = {{"history", kHistoryVersion},
               {"experiment", facts.experiment},
               {"subject", facts.subject},
               {"seed", HexOf(facts.seed)},
               {"begins_at", facts.begins_at},
               {"length", facts.length},
               {"settle", facts.settle},
               {"judge_after", facts.check_after},
               {"balancers", ParticipantsOf(facts.balancers)},
               {"nodes", ParticipantsOf(facts.nodes)},
               {"faults", faults},
               {"settings", SettingsOf(facts.settings)}};
  if (facts.pushed) head["pushed"] = true;
  return head;
}

// ---- Reading ---------------------------------------------------------------------------------------------

class Rejected : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Reads the fields of one line: each is read once, and unread fields are an error.
class Fields {
 public:
  explicit Fields(const Json& of) : of_(of) {
    if (!of.is_object()) throw Rejected("not an object");
  }
  const Json& Any(const char* name) {
    const auto it = of_.find(name);
    if (it == of_.end()) throw Rejected(std::string(name) + " is missing");
    ++taken_;
    return *it;
  }
  bool Has(const char* name) const { return of_.contains(name); }
  int64_t Number(const char* name, int64_t low, int64_t high) {
    const Json& value = Any(name);
    if (!value.is_number_integer()) Wrong(name, "a whole number");
    // A number above the signed range would wrap around.
    if (value.is_number_unsigned() && value.get<uint64_t>() > uint64_t{INT64_MAX})
      Wrong(name, "a smaller number");
    const auto number = value.get<int64_t>();
    if (number < low || number > high) {
      Wrong(name, "a number from " + std::to_string(low) + " to " + std::to_string(high));
    }
    return number;
  }
  int Place(const char* name, std::size_t count, int low = 0) {
    return static_cast<int>(Number(name, low, static_cast<int64_t>(count) - 1));
  }
  int64_t Span(const char* name) { return Number(name, 0, kMaxTime); }
  double Real(const char* name) {
    const Json& value = Any(name);
    if (!value.is_number() || !std::isfinite(value.get<double>())) Wrong(name, "a number");
    return value.get<double>();
  }
  bool Flag(const char* name) {
    const Json& value = Any(name);
    if (!value.is_boolean()) Wrong(name, "true or false");
    return value.get<bool>();
  }
  std::string Text(const char* name) {
    const Json& value = Any(name);
    if (!value.is_string()) Wrong(name, "a text");
    return value.get<std::string>();
  }
  uint64_t Hex(const char* name) {
    const std::string text = Text(name);
    uint64_t number = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, 16);
    if (text.size() != 16 || error != std::errc() || end != text.data() + text.size()) {
      Wrong(name, "16 hexadecimal digits");
    }
    return number;
  }
  template <typename Enum, std::size_t n>
  Enum EnumValue(const char* name, const EnumNames<Enum, n>& words) {
    const std::string text = Text(name);
    const auto it = std::find_if(words.begin(), words.end(), [&](auto& one) { return one.second == text; });
    if (it == words.end()) Wrong(name, "a known word, and not " + text);
    return it->first;
  }
  void ExpectNothingLeft() const {
    if (taken_ != of_.size()) throw Rejected("a field that this event has not");
  }

 private:
  [[noreturn]] static void Wrong(const char* name, const std::string& wanted) {
    throw Rejected(std::string(name) + ": " + wanted + " was expected");
  }
  const Json& of_;
  std::size_t taken_ = 0;
};

std::vector<Facts::Participant> ReadParticipants(const Json& all) {
  std::vector<Facts::Participant> places;
  for (const Json& one : all) {
    Fields in(one);
    Facts::Participant& place = places.emplace_back();
    place.name = in.Text("name");
    place.zone = in.Place("zone", 1 << 20);
    place.cell = in.Place("cell", 1 << 20);
    in.ExpectNothingLeft();
  }
  return places;
}

std::optional<FaultKind> KindOf(const std::string& word) {
  for (int kind = 0; kind < static_cast<int>(AllFaults().size()); ++kind) {
    if (TraitsOf(static_cast<FaultKind>(kind)).kind_name == word) return static_cast<FaultKind>(kind);
  }
  return {};
}

Facts ReadHeader(const Json& json) {
  Fields in(json);
  if (!in.Has("history")) throw Rejected("not the first line of a history");
  const int64_t version = in.Number("history", 0, INT32_MAX);
  if (version != kHistoryVersion) {
    throw Rejected("version " + std::to_string(version) + " of histories; this is " +
                   std::to_string(kHistoryVersion));
  }
  Facts facts;
  facts.experiment = in.Text("experiment");
  facts.subject = in.Text("subject");
  facts.seed = in.Hex("seed");
  facts.begins_at = in.Span("begins_at");
  facts.length = in.Span("length");
  facts.settle = in.Span("settle");
  facts.check_after = in.Span("judge_after");
  facts.pushed = in.Has("pushed") && in.Flag("pushed");
  facts.balancers = ReadParticipants(in.Any("balancers"));
  facts.nodes = ReadParticipants(in.Any("nodes"));
  for (const Json& one : in.Any("faults")) {
    Fields fault(one);
    Facts::Fault& read = facts.faults.emplace_back();
    read.name = fault.Text("name");
    const std::optional<FaultKind> kind = KindOf(fault.Text("kind"));
    if (!kind) throw Rejected("kind: a known fault was expected");
    read.kind = *kind;
    for (const Json& target : fault.Any("targets")) {
      if (!target.is_number_integer()) throw Rejected("targets: whole numbers were expected");
      read.targets.push_back(target.get<int>());
    }
    fault.ExpectNothingLeft();
  }
  try {
    facts.settings = meadowslip::ParseSettings(FlattenSettings(in.Any("settings").dump()));
  } catch (const std::exception& e) {  // from either of the two calls
    throw Rejected(e.what());
  }
  in.ExpectNothingLeft();
  return facts;
}

}  // namespace

// ---- The writer ------------------------------------------------------------------------------------------

struct HistoryWriter::Line {
  Micros at;
  const char* event;
  Json more = Json::object();
};

HistoryWriter::HistoryWriter(const Facts& facts, LineSink sink)
    : begins_at_(facts.begins_at), sink_(std::move(sink)), last_at_(facts.begins_at) {
  sink_(HeaderOf(facts).dump() + "\n");
}

// Times are relative to the start of the run, which is easier to read.
void HistoryWriter::WriteEvent(const Line& line) {
  if (over_) return;
  last_at_ = line.at;
  ++events_;
  Json json = {{"at", line.at - begins_at_}, {"event", line.event}};
  json.update(line.more);
  sink_(json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n");
}

void HistoryWriter::End(Micros at) {
  WriteEvent({at, "end", {{"events", events_}}});
  over_ = true;
}

void HistoryWriter::Due(const Try& one) {
  WriteEvent({one.due,
              "due",
              {{"trace", HexOf(one.trace)},
               {"first", HexOf(one.first)},
               {"number", one.number},
               {"class", one.cls},
               {"tenant", one.tenant},
               {"zone", one.zone},
               {"balancer", one.balancer},
               {"key", HexOf(one.key)},
               {"give_up_at", one.give_up_at - begins_at_},
               {"aim_at", one.aim_at - begins_at_},
               {"worth", one.worth},
               {"within_share", one.within_share}}});
}
void HistoryWriter::Written(TraceId trace, Micros at) {
  WriteEvent({at, "written", {{"trace", HexOf(trace)}}});
}
void HistoryWriter::Ended(TraceId trace, Micros at, lab::End how, int status, const Mark& mark,
                          Micros refused_for) {
  Json more = {{"trace", HexOf(trace)}, {"how", NameOf(kEnds, how)}};
  if (status != 0) more["status"] = status;
  if (mark.trace != 0) {
    more["mark"] = {{"trace", HexOf(mark.trace)}, {"node", mark.node}, {"attempt", mark.attempt}};
  }
  if (refused_for != 0) more["refused_for"] = refused_for;
  WriteEvent({at, "ended", std::move(more)});
}
void HistoryWriter::SentLate(Micros late_by) { WriteEvent({last_at_, "sent_late", {{"by", late_by}}}); }
void HistoryWriter::Arrived(const ArrivedAttempt& a) {
  WriteEvent({a.at,
              "arrived",
              {{"attempt", a.attempt},
               {"trace", HexOf(a.trace)},
               {"node", a.node},
               {"balancer", a.balancer},
               {"first_byte_at", a.first_byte_at - begins_at_},
               {"link", HexOf(a.link)},
               {"work_us", a.work_us}}});
}
void HistoryWriter::Ran(uint64_t attempt, Micros at, bool effect) {
  WriteEvent({at, "ran", {{"attempt", attempt}, {"effect", effect}}});
}
void HistoryWriter::AttemptEnded(uint64_t attempt, Micros at, AttemptEnd how) {
  WriteEvent({at, "answered", {{"attempt", attempt}, {"how", NameOf(kAttemptEnds, how)}}});
}
void HistoryWriter::LinkEnded(uint64_t attempt, Micros at) {
  WriteEvent({at, "link_ended", {{"attempt", attempt}}});
}
void HistoryWriter::HandshakeAt(int node, int balancer, Micros at) {
  WriteEvent({at, "handshake", {{"node", node}, {"balancer", balancer}}});
}
void HistoryWriter::NodeChanged(int node, NodeChange change, Micros at,
                                const std::vector<double>& work_by_balancer) {
  Json more = {{"node", node}, {"change", NameOf(kChanges, change)}};
  if (!work_by_balancer.empty()) more["pushed_by"] = work_by_balancer;
  WriteEvent({at, "node", std::move(more)});
}
void HistoryWriter::UnexpectedRequest(int node, int balancer, Micros at) {
  WriteEvent({at, "strange", {{"node", node}, {"balancer", balancer}}});
}
void HistoryWriter::Listed(int node, BackendState state, Micros started_at, Micros at) {
  WriteEvent({at, "listed", {{"node", node}, {"state", NameOf(kStates, state)}, {"started_at", started_at}}});
}
void HistoryWriter::NodeStateSent(int balancer, int node, BackendState state, Micros started_at, Micros at) {
  WriteEvent({at,
              "told",
              {{"balancer", balancer},
               {"node", node},
               {"state", NameOf(kStates, state)},
               {"started_at", started_at}}});
}
void HistoryWriter::ListRequested(int balancer, Micros at, bool watching) {
  WriteEvent({at, "asked", {{"balancer", balancer}, {"watching", watching}}});
}
void HistoryWriter::ListRequestFailed(int balancer, Micros at) {
  WriteEvent({at, "ask_failed", {{"balancer", balancer}}});
}
void HistoryWriter::ManualDrain(int balancer, int node, bool out, Micros at) {
  WriteEvent({at, "by_hand", {{"balancer", balancer}, {"node", node}, {"out", out}}});
}
void HistoryWriter::BalancerUp(int balancer, Micros at) { WriteEvent({at, "up", {{"balancer", balancer}}}); }
void HistoryWriter::BalancerDown(int balancer, Micros at, bool planned) {
  WriteEvent({at, "down", {{"balancer", balancer}, {"planned", planned}}});
}
void HistoryWriter::FaultBegan(int action, Micros at) {
  WriteEvent({at, "fault_began", {{"action", action}}});
}
void HistoryWriter::FaultEnded(int action, Micros at) {
  WriteEvent({at, "fault_ended", {{"action", action}}});
}

// ---- The reader ------------------------------------------------------------------------------------------

namespace {

// Replays one event after the other and rejects impossible ones.
class EventReplayer {
 public:
  EventReplayer(const Facts& facts, Observer& to) : facts_(facts), to_(to), latest_(facts.begins_at) {}

  bool over() const { return over_; }
  Micros ended_at() const { return ended_at_; }

  void Replay(const Json& json) {
    if (over_) throw Rejected("something behind the end");
    Fields in(json);
    const Micros at = facts_.begins_at + in.Number("at", -kMaxTime, kMaxTime);
    const std::string event = in.Text("event");
    // A try that is sent once more keeps its due time, which may lie far back.
    if (event != "due" && at < latest_ - kMaxReordering) throw Rejected("a time that goes back");
    latest_ = std::max(latest_, at);
    ReplayEvent(event, at, in);
    ++events_;
  }

 private:
  void ReplayEvent(const std::string& event, Micros at, Fields& in) {
    const auto at_end = [&](auto notify) {
      in.ExpectNothingLeft();
      notify();
    };
    const auto node = [&] { return in.Place("node", facts_.nodes.size()); };
    const auto balancer = [&] { return in.Place("balancer", facts_.balancers.size()); };
    const auto action = [&] { return in.Place("action", facts_.faults.size()); };
    if (event == "due") {
      return ReplayDue(at, in);
    } else if (event == "written") {
      const TraceId trace = KnownTry(in, at);
      at_end([&] { to_.Written(trace, at); });
    } else if (event == "ended") {
      const TraceId trace = KnownTry(in, at);
      const End how = in.EnumValue("how", kEnds);
      const auto status = in.Has("status") ? static_cast<int>(in.Number("status", 100, 999)) : 0;
      const Mark mark = in.Has("mark") ? ReadMark(in.Any("mark")) : Mark();
      const Micros refused_for = in.Has("refused_for") ? in.Span("refused_for") : 0;
      at_end([&] { to_.Ended(trace, at, how, status, mark, refused_for); });
    } else if (event == "sent_late") {
      const Micros by = in.Number("by", -kMaxTime, kMaxTime);
      at_end([&] { to_.SentLate(by); });
    } else if (event == "arrived") {
      ArrivedAttempt seen;
      seen.attempt = static_cast<uint64_t>(in.Number("attempt", 1, INT64_MAX));
      seen.trace = in.Hex("trace");  // may be unknown: then the balancer made it up
      seen.node = node();
      seen.balancer = balancer();
      seen.first_byte_at = facts_.begins_at + in.Number("first_byte_at", -kMaxTime, kMaxTime);
      seen.at = at;
      seen.link = in.Hex("link");
      seen.work_us = in.Real("work_us");
      if (seen.first_byte_at > at) throw Rejected("an attempt that was whole before it began");
      if (!attempts_.emplace(seen.attempt, seen.first_byte_at).second)
        throw Rejected("an attempt came twice");
      at_end([&] { to_.Arrived(seen); });
    } else if (event == "ran") {
      const uint64_t attempt = KnownAttempt(in, at);
      const bool effect = in.Flag("effect");
      at_end([&] { to_.Ran(attempt, at, effect); });
    } else if (event == "answered") {
      const uint64_t attempt = KnownAttempt(in, at);
      const AttemptEnd how = in.EnumValue("how", kAttemptEnds);
      at_end([&] { to_.AttemptEnded(attempt, at, how); });
    } else if (event == "link_ended") {
      const uint64_t attempt = KnownAttempt(in, at);
      at_end([&] { to_.LinkEnded(attempt, at); });
    } else if (event == "handshake") {
      const int n = node(), b = balancer();
      at_end([&] { to_.HandshakeAt(n, b, at); });
    } else if (event == "node") {
      const int n = node();
      const NodeChange change = in.EnumValue("change", kChanges);
      std::vector<double> work_by_balancer;
      if (in.Has("pushed_by")) {
        for (const Json& one : in.Any("pushed_by")) {
          if (!one.is_number()) throw Rejected("pushed_by: numbers were expected");
          work_by_balancer.push_back(one.get<double>());
        }
      }
      at_end([&] { to_.NodeChanged(n, change, at, work_by_balancer); });
    } else if (event == "strange") {
      const int n = node(), b = balancer();
      at_end([&] { to_.UnexpectedRequest(n, b, at); });
    } else if (event == "listed") {
      const int n = node();
      const BackendState state = in.EnumValue("state", kStates);
      const Micros started_at = in.Span("started_at");
      at_end([&] { to_.Listed(n, state, started_at, at); });
    } else if (event == "told") {
      const int b = balancer(), n = node();
      const BackendState state = in.EnumValue("state", kStates);
      const Micros started_at = in.Span("started_at");
      at_end([&] { to_.NodeStateSent(b, n, state, started_at, at); });
    } else if (event == "asked") {
      const int b = balancer();
      const bool watching = in.Flag("watching");
      at_end([&] { to_.ListRequested(b, at, watching); });
    } else if (event == "ask_failed") {
      const int b = balancer();
      at_end([&] { to_.ListRequestFailed(b, at); });
    } else if (event == "by_hand") {
      const int b = balancer(), n = node();
      const bool out = in.Flag("out");
      at_end([&] { to_.ManualDrain(b, n, out, at); });
    } else if (event == "up") {
      const int b = balancer();
      at_end([&] { to_.BalancerUp(b, at); });
    } else if (event == "down") {
      const int b = balancer();
      const bool planned = in.Flag("planned");
      at_end([&] { to_.BalancerDown(b, at, planned); });
    } else if (event == "fault_began") {
      const int a = action();
      at_end([&] { to_.FaultBegan(a, at); });
    } else if (event == "fault_ended") {
      const int a = action();
      at_end([&] { to_.FaultEnded(a, at); });
    } else if (event == "end") {
      const auto events = in.Number("events", 0, INT64_MAX);
      if (static_cast<uint64_t>(events) != events_) {
        throw Rejected(Format("%lld events were expected, %llu have come", static_cast<long long>(events),
                              static_cast<unsigned long long>(events_)));
      }
      at_end([&] { ended_at_ = at; });
      over_ = true;
    } else {
      throw Rejected("an unknown event: " + event);
    }
  }

  void ReplayDue(Micros at, Fields& in) {
    Try one;
    one.trace = in.Hex("trace");
    one.first = in.Hex("first");
    one.number = in.Place("number", 1 << 20);
    one.cls = in.Place("class", facts_.settings.classes.size());
    one.tenant = in.Place("tenant", std::max<std::size_t>(1, facts_.settings.tenants.size()));
    one.zone = in.Place("zone", 1 << 20);
    one.balancer = in.Place("balancer", facts_.balancers.size(), -1);
    one.key = in.Hex("key");
    one.due = at;
    one.give_up_at = facts_.begins_at + in.Number("give_up_at", -kMaxTime, kMaxTime);
    one.aim_at = facts_.begins_at + in.Number("aim_at", -kMaxTime, kMaxTime);
    one.worth = in.Real("worth");
    one.within_share = in.Flag("within_share");
    in.ExpectNothingLeft();
    const bool again = tries_.contains(one.trace);
    if (!again && at < latest_ - kMaxReordering) throw Rejected("a time that goes back");
    if (one.trace == 0) throw Rejected("a query without a trace");
    if (one.trace != one.first && !tries_.contains(one.first)) throw Rejected("an unknown query's retry");
    tries_.emplace(one.trace, at);
    to_.Due(one);
  }

  TraceId KnownTry(Fields& in, Micros at) {
    const TraceId trace = in.Hex("trace");
    const auto it = tries_.find(trace);
    if (it == tries_.end()) throw Rejected("an unknown query");
    if (at < it->second) throw Rejected("a time that goes back: the query was not due yet");
    return trace;
  }
  uint64_t KnownAttempt(Fields& in, Micros at) {
    const auto attempt = static_cast<uint64_t>(in.Number("attempt", 1, INT64_MAX));
    const auto it = attempts_.find(attempt);
    if (it == attempts_.end()) throw Rejected("an unknown attempt");
    if (at < it->second) throw Rejected("a time that goes back: the attempt had not begun yet");
    return attempt;
  }
  Mark ReadMark(const Json& json) {
    Fields in(json);
    Mark mark;
    mark.trace = in.Hex("trace");
    mark.node = static_cast<int>(in.Number("node", INT32_MIN, INT32_MAX));
    mark.attempt = static_cast<uint64_t>(in.Number("attempt", 0, INT64_MAX));
    in.ExpectNothingLeft();
    return mark;
  }

  const Facts facts_;
  Observer& to_;
  Micros latest_;
  Micros ended_at_ = 0;
  bool over_ = false;
  uint64_t events_ = 0;
  std::unordered_map<TraceId, Micros> tries_;      // due times by trace
  std::unordered_map<uint64_t, Micros> attempts_;  // start times by attempt
};

}  // namespace

bool HistoryReader::Read(std::string_view text) {
  std::optional<EventReplayer> replayer;
  parse_error.line = 0;
  try {
    while (!text.empty()) {
      ++parse_error.line;
      const std::size_t eol = text.find('\n');
      if (eol == std::string_view::npos) throw Rejected("a line that is cut short");
      const Json json = Json::parse(text.substr(0, eol), nullptr, false);
      text.remove_prefix(eol + 1);
      if (json.is_discarded()) throw Rejected("not a line of JSON");
      if (!replayer) {
        const Facts facts = ReadHeader(json);
        replayer.emplace(facts, on_header(facts));
      } else {
        before_event(parse_error.line);
        replayer->Replay(json);
      }
    }
    if (!replayer || !replayer->over()) throw Rejected("it ends before its end");
  } catch (const Rejected& e) {
    parse_error.why = e.what();
    return false;
  }
  ended_at = replayer->ended_at();
  return true;
}

namespace {

// Records the line of each event, to find the one that violated a rule.
class EventIndex final : public NullObserver {
 public:
  void Before(std::size_t line) { line_ = line; }

  std::size_t Find(const Facts& facts, const Finding& finding) const {
    const auto at = facts.begins_at + static_cast<Micros>(std::llround(finding.at_s * kSecond));
    std::size_t last = 0;
    for (const IndexedEvent& seen : all_) {
      const bool about = !finding.trace.empty() ? HexOf(seen.trace) == finding.trace
                                                : Named(facts.balancers, seen.balancer, finding.balancer) &&
                                                      Named(facts.nodes, seen.node, finding.node);
      if (!about) continue;
      if (seen.at == at || seen.began_at == at) return seen.line;
      if (seen.at <= at) last = seen.line;
    }
    return last;
  }

  void Due(const Try& one) override { Record({one.due, one.trace, one.balancer}); }
  void Written(TraceId trace, Micros at) override { Record({at, trace}); }
  void Ended(TraceId trace, Micros at, End, int, const Mark&, Micros) override { Record({at, trace}); }
  void Arrived(const ArrivedAttempt& seen) override {
    Record({seen.at, seen.trace, seen.balancer, seen.node, seen.first_byte_at});
  }
  void NodeChanged(int node, NodeChange, Micros at, const std::vector<double>&) override {
    Record({at, 0, -1, node});
  }
  void UnexpectedRequest(int node, int balancer, Micros at) override { Record({at, 0, balancer, node}); }
  void BalancerDown(int balancer, Micros at, bool) override { Record({at, 0, balancer}); }

 private:
  struct IndexedEvent {
    Micros at = 0;
    TraceId trace = 0;
    int balancer = -1;
    int node = -1;
    Micros began_at = kNever;
    std::size_t line = 0;
  };
  void Record(IndexedEvent seen) {
    seen.line = line_;
    all_.push_back(seen);
  }
  static bool Named(const std::vector<Facts::Participant>& places, int number, const std::string& name) {
    return number < 0 ? name.empty() : places[static_cast<std::size_t>(number)].name == name;
  }

  std::size_t line_ = 0;
  std::vector<IndexedEvent> all_;
};

}  // namespace

std::optional<CheckedHistory> CheckHistory(std::string_view text, HistoryError& parse_error) {
  std::optional<Facts> facts;
  std::unique_ptr<RunChecker> judge;
  EventIndex index;
  ObserverList both;
  both.Add(index);
  HistoryReader reader;
  reader.on_header = [&](const Facts& read) -> Observer& {
    facts = read;
    judge = std::make_unique<RunChecker>(read);
    both.Add(*judge);
    return both;
  };
  reader.before_event = [&](std::size_t line) { index.Before(line); };
  if (!reader.Read(text)) {
    parse_error = reader.parse_error;
    return {};
  }
  CheckedHistory judged;
  judged.verdict = judge->Finish(reader.ended_at);
  for (const RuleResult& rule : judged.verdict.rules) {
    for (const Finding& finding : rule.findings) {
      judged.broken.push_back({rule.rule, finding, index.Find(*facts, finding)});
    }
  }
  return judged;
}

}  // namespace burlfall::lab
