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
#include "lab/judge/judge.h"
#include "lab/judge/text.h"
#include "lab/witness/quiet_witness.h"
#include "lab/witness/witnesses.h"

namespace burlfall::lab {
namespace {

using Json = nlohmann::ordered_json;
using meadowslip::BackendState;
using meadowslip::Settings;

// By which an event may come after a later one of another end, and a query's after it was due: the lab may
// have been late. Beyond it a history goes back in time.
constexpr Micros kCross = 2 * kSecond;
constexpr Micros kMostTime = 1000LL * 366 * 86400 * kSecond;

// ---- Words for what is counted off in the code -----------------------------------------------------------

template <typename Enum, std::size_t n>
using Words = std::array<std::pair<Enum, std::string_view>, n>;

constexpr Words<End, 7> kEnds = {{{End::kServed, "served"},
                                  {End::kRefused, "refused"},
                                  {End::kFailed, "failed"},
                                  {End::kBroken, "broken"},
                                  {End::kLost, "lost"},
                                  {End::kUnreached, "unreached"},
                                  {End::kLeft, "left"}}};
constexpr Words<AtNode, 5> kAtNode = {{{AtNode::kAnswered, "answered"},
                                       {AtNode::kError, "error"},
                                       {AtNode::kTurnedAway, "turned_away"},
                                       {AtNode::kSpoilt, "spoilt"},
                                       {AtNode::kDropped, "dropped"}}};
constexpr Words<NodeChange, 4> kChanges = {{{NodeChange::kStarted, "started"},
                                            {NodeChange::kDraining, "draining"},
                                            {NodeChange::kDied, "died"},
                                            {NodeChange::kFell, "fell"}}};
constexpr Words<BackendState, 3> kStates = {
    {{BackendState::kReady, "ready"}, {BackendState::kDraining, "draining"}, {BackendState::kGone, "gone"}}};

template <typename Enum, std::size_t n>
std::string_view WordOf(const Words<Enum, n>& words, Enum value) {
  return std::find_if(words.begin(), words.end(), [&](auto& one) { return one.first == value; })->second;
}

// ---- The settings, in the platform's form ----------------------------------------------------------------

// What ParseSettings() reads again. Names of zones and kinds decide nothing and are left out.
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

Json PlacesOf(const std::vector<Facts::Place>& places) {
  Json all = Json::array();
  for (const Facts::Place& place : places) {
    all.push_back({{"name", place.name}, {"zone", place.zone}, {"cell", place.cell}});
  }
  return all;
}

Json HeadOf(const Facts& facts) {
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
               {"judge_after", facts.judge_after},
               {"balancers", PlacesOf(facts.balancers)},
               {"nodes", PlacesOf(facts.nodes)},
               {"faults", faults},
               {"settings", SettingsOf(facts.settings)}};
  if (facts.pushed) head["pushed"] = true;
  return head;
}

// ---- Reading ---------------------------------------------------------------------------------------------

class Refused : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One line's fields: each is taken once, and none may be left.
class Fields {
 public:
  explicit Fields(const Json& of) : of_(of) {
    if (!of.is_object()) throw Refused("not an object");
  }
  const Json& Any(const char* name) {
    const auto it = of_.find(name);
    if (it == of_.end()) throw Refused(std::string(name) + " is missing");
    ++taken_;
    return *it;
  }
  bool Has(const char* name) const { return of_.contains(name); }
  int64_t Number(const char* name, int64_t low, int64_t high) {
    const Json& value = Any(name);
    if (!value.is_number_integer()) Wrong(name, "a whole number");
    // One beyond what is signed would wrap round.
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
  int64_t Span(const char* name) { return Number(name, 0, kMostTime); }
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
  Enum Word(const char* name, const Words<Enum, n>& words) {
    const std::string text = Text(name);
    const auto it = std::find_if(words.begin(), words.end(), [&](auto& one) { return one.second == text; });
    if (it == words.end()) Wrong(name, "a known word, and not " + text);
    return it->first;
  }
  void NothingLeft() const {
    if (taken_ != of_.size()) throw Refused("a field that this event has not");
  }

 private:
  [[noreturn]] static void Wrong(const char* name, const std::string& wanted) {
    throw Refused(std::string(name) + ": " + wanted + " was expected");
  }
  const Json& of_;
  std::size_t taken_ = 0;
};

std::vector<Facts::Place> ReadPlaces(const Json& all) {
  std::vector<Facts::Place> places;
  for (const Json& one : all) {
    Fields in(one);
    Facts::Place& place = places.emplace_back();
    place.name = in.Text("name");
    place.zone = in.Place("zone", 1 << 20);
    place.cell = in.Place("cell", 1 << 20);
    in.NothingLeft();
  }
  return places;
}

std::optional<FaultKind> KindOf(const std::string& word) {
  for (int kind = 0; kind < static_cast<int>(AllFaults().size()); ++kind) {
    if (TraitsOf(static_cast<FaultKind>(kind)).kind_name == word) return static_cast<FaultKind>(kind);
  }
  return {};
}

Facts ReadHead(const Json& json) {
  Fields in(json);
  if (!in.Has("history")) throw Refused("not the first line of a history");
  const int64_t version = in.Number("history", 0, INT32_MAX);
  if (version != kHistoryVersion) {
    throw Refused("version " + std::to_string(version) + " of histories; this is " +
                  std::to_string(kHistoryVersion));
  }
  Facts facts;
  facts.experiment = in.Text("experiment");
  facts.subject = in.Text("subject");
  facts.seed = in.Hex("seed");
  facts.begins_at = in.Span("begins_at");
  facts.length = in.Span("length");
  facts.settle = in.Span("settle");
  facts.judge_after = in.Span("judge_after");
  facts.pushed = in.Has("pushed") && in.Flag("pushed");
  facts.balancers = ReadPlaces(in.Any("balancers"));
  facts.nodes = ReadPlaces(in.Any("nodes"));
  for (const Json& one : in.Any("faults")) {
    Fields fault(one);
    Facts::Fault& read = facts.faults.emplace_back();
    read.name = fault.Text("name");
    const std::optional<FaultKind> kind = KindOf(fault.Text("kind"));
    if (!kind) throw Refused("kind: a known fault was expected");
    read.kind = *kind;
    for (const Json& target : fault.Any("targets")) {
      if (!target.is_number_integer()) throw Refused("targets: whole numbers were expected");
      read.targets.push_back(target.get<int>());
    }
    fault.NothingLeft();
  }
  try {
    facts.settings = meadowslip::ParseSettings(FlattenSettings(in.Any("settings").dump()));
  } catch (const std::exception& e) {  // of either of the two, in plain words
    throw Refused(e.what());
  }
  in.NothingLeft();
  return facts;
}

}  // namespace

// ---- The writer ------------------------------------------------------------------------------------------

struct HistoryWriter::Line {
  Micros at;
  const char* event;
  Json more = Json::object();
};

HistoryWriter::HistoryWriter(const Facts& facts, Take take)
    : begins_at_(facts.begins_at), take_(std::move(take)), last_at_(facts.begins_at) {
  take_(HeadOf(facts).dump() + "\n");
}

// Times are from the run's begin: a person reads them so.
void HistoryWriter::Say(const Line& line) {
  if (over_) return;
  last_at_ = line.at;
  ++events_;
  Json json = {{"at", line.at - begins_at_}, {"event", line.event}};
  json.update(line.more);
  take_(json.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n");
}

void HistoryWriter::End(Micros at) {
  Say({at, "end", {{"events", events_}}});
  over_ = true;
}

void HistoryWriter::Due(const Try& one) {
  Say({one.due,
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
void HistoryWriter::Written(TraceId trace, Micros at) { Say({at, "written", {{"trace", HexOf(trace)}}}); }
void HistoryWriter::Ended(TraceId trace, Micros at, lab::End how, int status, const Mark& mark,
                          Micros refused_for) {
  Json more = {{"trace", HexOf(trace)}, {"how", WordOf(kEnds, how)}};
  if (status != 0) more["status"] = status;
  if (mark.trace != 0) {
    more["mark"] = {{"trace", HexOf(mark.trace)}, {"node", mark.node}, {"attempt", mark.attempt}};
  }
  if (refused_for != 0) more["refused_for"] = refused_for;
  Say({at, "ended", std::move(more)});
}
void HistoryWriter::SentLate(Micros late_by) { Say({last_at_, "sent_late", {{"by", late_by}}}); }
void HistoryWriter::Arrived(const AttemptSeen& a) {
  Say({a.at,
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
  Say({at, "ran", {{"attempt", attempt}, {"effect", effect}}});
}
void HistoryWriter::AnsweredAtNode(uint64_t attempt, Micros at, AtNode how) {
  Say({at, "answered", {{"attempt", attempt}, {"how", WordOf(kAtNode, how)}}});
}
void HistoryWriter::LinkEnded(uint64_t attempt, Micros at) {
  Say({at, "link_ended", {{"attempt", attempt}}});
}
void HistoryWriter::HandshakeAt(int node, int balancer, Micros at) {
  Say({at, "handshake", {{"node", node}, {"balancer", balancer}}});
}
void HistoryWriter::NodeChanged(int node, NodeChange change, Micros at,
                                const std::vector<double>& pushed_by) {
  Json more = {{"node", node}, {"change", WordOf(kChanges, change)}};
  if (!pushed_by.empty()) more["pushed_by"] = pushed_by;
  Say({at, "node", std::move(more)});
}
void HistoryWriter::Strange(int node, int balancer, Micros at) {
  Say({at, "strange", {{"node", node}, {"balancer", balancer}}});
}
void HistoryWriter::Listed(int node, BackendState state, Micros started_at, Micros at) {
  Say({at, "listed", {{"node", node}, {"state", WordOf(kStates, state)}, {"started_at", started_at}}});
}
void HistoryWriter::Told(int balancer, int node, BackendState state, Micros started_at, Micros at) {
  Say({at,
       "told",
       {{"balancer", balancer},
        {"node", node},
        {"state", WordOf(kStates, state)},
        {"started_at", started_at}}});
}
void HistoryWriter::Asked(int balancer, Micros at, bool watching) {
  Say({at, "asked", {{"balancer", balancer}, {"watching", watching}}});
}
void HistoryWriter::AskFailed(int balancer, Micros at) { Say({at, "ask_failed", {{"balancer", balancer}}}); }
void HistoryWriter::ByHand(int balancer, int node, bool out, Micros at) {
  Say({at, "by_hand", {{"balancer", balancer}, {"node", node}, {"out", out}}});
}
void HistoryWriter::BalancerUp(int balancer, Micros at) { Say({at, "up", {{"balancer", balancer}}}); }
void HistoryWriter::BalancerDown(int balancer, Micros at, bool planned) {
  Say({at, "down", {{"balancer", balancer}, {"planned", planned}}});
}
void HistoryWriter::FaultBegan(int action, Micros at) { Say({at, "fault_began", {{"action", action}}}); }
void HistoryWriter::FaultEnded(int action, Micros at) { Say({at, "fault_ended", {{"action", action}}}); }

// ---- The reader ------------------------------------------------------------------------------------------

namespace {

// Tells one event after the other, and refuses what can't be.
class Teller {
 public:
  Teller(const Facts& facts, Witness& to) : facts_(facts), to_(to), latest_(facts.begins_at) {}

  bool over() const { return over_; }
  Micros ended_at() const { return ended_at_; }

  void Tell(const Json& json) {
    if (over_) throw Refused("something behind the end");
    Fields in(json);
    const Micros at = facts_.begins_at + in.Number("at", -kMostTime, kMostTime);
    const std::string event = in.Text("event");
    // A try that goes out once more is due when it was due.
    if (event != "due" && at < latest_ - kCross) throw Refused("a time that goes back");
    latest_ = std::max(latest_, at);
    TellOne(event, at, in);
    ++events_;
  }

 private:
  void TellOne(const std::string& event, Micros at, Fields& in) {
    const auto at_end = [&](auto tell) {
      in.NothingLeft();
      tell();
    };
    const auto node = [&] { return in.Place("node", facts_.nodes.size()); };
    const auto balancer = [&] { return in.Place("balancer", facts_.balancers.size()); };
    const auto action = [&] { return in.Place("action", facts_.faults.size()); };
    if (event == "due") {
      return TellDue(at, in);
    } else if (event == "written") {
      const TraceId trace = KnownTry(in, at);
      at_end([&] { to_.Written(trace, at); });
    } else if (event == "ended") {
      const TraceId trace = KnownTry(in, at);
      const End how = in.Word("how", kEnds);
      const auto status = in.Has("status") ? static_cast<int>(in.Number("status", 100, 999)) : 0;
      const Mark mark = in.Has("mark") ? ReadMark(in.Any("mark")) : Mark();
      const Micros refused_for = in.Has("refused_for") ? in.Span("refused_for") : 0;
      at_end([&] { to_.Ended(trace, at, how, status, mark, refused_for); });
    } else if (event == "sent_late") {
      const Micros by = in.Number("by", -kMostTime, kMostTime);
      at_end([&] { to_.SentLate(by); });
    } else if (event == "arrived") {
      AttemptSeen seen;
      seen.attempt = static_cast<uint64_t>(in.Number("attempt", 1, INT64_MAX));
      seen.trace = in.Hex("trace");  // of no known query, too: the balancer made that up
      seen.node = node();
      seen.balancer = balancer();
      seen.first_byte_at = facts_.begins_at + in.Number("first_byte_at", -kMostTime, kMostTime);
      seen.at = at;
      seen.link = in.Hex("link");
      seen.work_us = in.Real("work_us");
      if (seen.first_byte_at > at) throw Refused("an attempt that was whole before it began");
      if (!attempts_.emplace(seen.attempt, seen.first_byte_at).second) throw Refused("an attempt came twice");
      at_end([&] { to_.Arrived(seen); });
    } else if (event == "ran") {
      const uint64_t attempt = KnownAttempt(in, at);
      const bool effect = in.Flag("effect");
      at_end([&] { to_.Ran(attempt, at, effect); });
    } else if (event == "answered") {
      const uint64_t attempt = KnownAttempt(in, at);
      const AtNode how = in.Word("how", kAtNode);
      at_end([&] { to_.AnsweredAtNode(attempt, at, how); });
    } else if (event == "link_ended") {
      const uint64_t attempt = KnownAttempt(in, at);
      at_end([&] { to_.LinkEnded(attempt, at); });
    } else if (event == "handshake") {
      const int n = node(), b = balancer();
      at_end([&] { to_.HandshakeAt(n, b, at); });
    } else if (event == "node") {
      const int n = node();
      const NodeChange change = in.Word("change", kChanges);
      std::vector<double> pushed_by;
      if (in.Has("pushed_by")) {
        for (const Json& one : in.Any("pushed_by")) {
          if (!one.is_number()) throw Refused("pushed_by: numbers were expected");
          pushed_by.push_back(one.get<double>());
        }
      }
      at_end([&] { to_.NodeChanged(n, change, at, pushed_by); });
    } else if (event == "strange") {
      const int n = node(), b = balancer();
      at_end([&] { to_.Strange(n, b, at); });
    } else if (event == "listed") {
      const int n = node();
      const BackendState state = in.Word("state", kStates);
      const Micros started_at = in.Span("started_at");
      at_end([&] { to_.Listed(n, state, started_at, at); });
    } else if (event == "told") {
      const int b = balancer(), n = node();
      const BackendState state = in.Word("state", kStates);
      const Micros started_at = in.Span("started_at");
      at_end([&] { to_.Told(b, n, state, started_at, at); });
    } else if (event == "asked") {
      const int b = balancer();
      const bool watching = in.Flag("watching");
      at_end([&] { to_.Asked(b, at, watching); });
    } else if (event == "ask_failed") {
      const int b = balancer();
      at_end([&] { to_.AskFailed(b, at); });
    } else if (event == "by_hand") {
      const int b = balancer(), n = node();
      const bool out = in.Flag("out");
      at_end([&] { to_.ByHand(b, n, out, at); });
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
        throw Refused(Format("%lld events were expected, %llu have come", static_cast<long long>(events),
                             static_cast<unsigned long long>(events_)));
      }
      at_end([&] { ended_at_ = at; });
      over_ = true;
    } else {
      throw Refused("an unknown event: " + event);
    }
  }

  void TellDue(Micros at, Fields& in) {
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
    one.give_up_at = facts_.begins_at + in.Number("give_up_at", -kMostTime, kMostTime);
    one.aim_at = facts_.begins_at + in.Number("aim_at", -kMostTime, kMostTime);
    one.worth = in.Real("worth");
    one.within_share = in.Flag("within_share");
    in.NothingLeft();
    const bool again = tries_.contains(one.trace);
    if (!again && at < latest_ - kCross) throw Refused("a time that goes back");
    if (one.trace == 0) throw Refused("a query without a trace");
    if (one.trace != one.first && !tries_.contains(one.first)) throw Refused("an unknown query's retry");
    tries_.emplace(one.trace, at);
    to_.Due(one);
  }

  TraceId KnownTry(Fields& in, Micros at) {
    const TraceId trace = in.Hex("trace");
    const auto it = tries_.find(trace);
    if (it == tries_.end()) throw Refused("an unknown query");
    if (at < it->second) throw Refused("a time that goes back: the query was not due yet");
    return trace;
  }
  uint64_t KnownAttempt(Fields& in, Micros at) {
    const auto attempt = static_cast<uint64_t>(in.Number("attempt", 1, INT64_MAX));
    const auto it = attempts_.find(attempt);
    if (it == attempts_.end()) throw Refused("an unknown attempt");
    if (at < it->second) throw Refused("a time that goes back: the attempt had not begun yet");
    return attempt;
  }
  Mark ReadMark(const Json& json) {
    Fields in(json);
    Mark mark;
    mark.trace = in.Hex("trace");
    mark.node = static_cast<int>(in.Number("node", INT32_MIN, INT32_MAX));
    mark.attempt = static_cast<uint64_t>(in.Number("attempt", 0, INT64_MAX));
    in.NothingLeft();
    return mark;
  }

  const Facts facts_;
  Witness& to_;
  Micros latest_;
  Micros ended_at_ = 0;
  bool over_ = false;
  uint64_t events_ = 0;
  std::unordered_map<TraceId, Micros> tries_;      // and when they were due
  std::unordered_map<uint64_t, Micros> attempts_;  // and when they began
};

}  // namespace

bool HistoryReader::Read(std::string_view text) {
  std::optional<Teller> teller;
  bad.line = 0;
  try {
    while (!text.empty()) {
      ++bad.line;
      const std::size_t eol = text.find('\n');
      if (eol == std::string_view::npos) throw Refused("a line that is cut short");
      const Json json = Json::parse(text.substr(0, eol), nullptr, false);
      text.remove_prefix(eol + 1);
      if (json.is_discarded()) throw Refused("not a line of JSON");
      if (!teller) {
        const Facts facts = ReadHead(json);
        teller.emplace(facts, begin(facts));
      } else {
        before(bad.line);
        teller->Tell(json);
      }
    }
    if (!teller || !teller->over()) throw Refused("it ends before its end");
  } catch (const Refused& e) {
    bad.why = e.what();
    return false;
  }
  ended_at = teller->ended_at();
  return true;
}

namespace {

// Where in a history each event stands, for those who look for what broke a rule.
class Index final : public QuietWitness {
 public:
  void Before(std::size_t line) { line_ = line; }

  std::size_t Find(const Facts& facts, const Finding& finding) const {
    const auto at = facts.begins_at + static_cast<Micros>(std::llround(finding.at_s * kSecond));
    std::size_t last = 0;
    for (const Seen& seen : all_) {
      const bool about = !finding.trace.empty() ? HexOf(seen.trace) == finding.trace
                                                : Named(facts.balancers, seen.balancer, finding.balancer) &&
                                                      Named(facts.nodes, seen.node, finding.node);
      if (!about) continue;
      if (seen.at == at || seen.began_at == at) return seen.line;
      if (seen.at <= at) last = seen.line;
    }
    return last;
  }

  void Due(const Try& one) override { Note({one.due, one.trace, one.balancer}); }
  void Written(TraceId trace, Micros at) override { Note({at, trace}); }
  void Ended(TraceId trace, Micros at, End, int, const Mark&, Micros) override { Note({at, trace}); }
  void Arrived(const AttemptSeen& seen) override {
    Note({seen.at, seen.trace, seen.balancer, seen.node, seen.first_byte_at});
  }
  void NodeChanged(int node, NodeChange, Micros at, const std::vector<double>&) override {
    Note({at, 0, -1, node});
  }
  void Strange(int node, int balancer, Micros at) override { Note({at, 0, balancer, node}); }
  void BalancerDown(int balancer, Micros at, bool) override { Note({at, 0, balancer}); }

 private:
  struct Seen {
    Micros at = 0;
    TraceId trace = 0;
    int balancer = -1;
    int node = -1;
    Micros began_at = kNever;
    std::size_t line = 0;
  };
  void Note(Seen seen) {
    seen.line = line_;
    all_.push_back(seen);
  }
  static bool Named(const std::vector<Facts::Place>& places, int number, const std::string& name) {
    return number < 0 ? name.empty() : places[static_cast<std::size_t>(number)].name == name;
  }

  std::size_t line_ = 0;
  std::vector<Seen> all_;
};

}  // namespace

std::optional<JudgedHistory> JudgeHistory(std::string_view text, BadLine& bad) {
  std::optional<Facts> facts;
  std::unique_ptr<Judge> judge;
  Index index;
  Witnesses both;
  both.Add(index);
  HistoryReader reader;
  reader.begin = [&](const Facts& read) -> Witness& {
    facts = read;
    judge = std::make_unique<Judge>(read);
    both.Add(*judge);
    return both;
  };
  reader.before = [&](std::size_t line) { index.Before(line); };
  if (!reader.Read(text)) {
    bad = reader.bad;
    return {};
  }
  JudgedHistory judged;
  judged.verdict = judge->Finish(reader.ended_at);
  for (const RuleResult& rule : judged.verdict.rules) {
    for (const Finding& finding : rule.findings) {
      judged.broken.push_back({rule.rule, finding, index.Find(*facts, finding)});
    }
  }
  return judged;
}

}  // namespace burlfall::lab
