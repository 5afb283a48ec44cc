// Tests that checking a history gives the same verdict as checking the run itself. For each rule there is a
// history that differs from a valid one only by violating this rule, and the check must find the violation.
#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>

#include "lab/judge/history_file.h"
#include "lab/witness/observer_list.h"
#include "stage.h"

namespace burlfall::lab {
namespace {

using Json = nlohmann::ordered_json;
using meadowslip::BackendState;

// Four nodes, of which the last is in no list; one attempt at a time; repeats of keyed queries are dropped
// only within a zone.
Facts HistoryFacts() {
  Facts facts = StageFacts();
  facts.nodes.push_back({"n4", 0, 3});
  facts.settings.second_copies = false;
  facts.settings.classes[kCharge].group = meadowslip::DedupGroup::kZone;
  return facts;
}

// Reports the events of a run without violations to an observer. Queries are identified by their trace,
// attempts by their number.
struct Script {
  const Facts& facts;
  Observer& to;

  Micros At(double ms) const { return facts.begins_at + static_cast<Micros>(ms * kMs); }
  void Ask(TraceId trace, int cls, double ms) {
    Try one;
    one.trace = one.first = trace;
    one.cls = cls;
    one.due = At(ms);
    one.give_up_at = At(ms + 1000);
    one.aim_at = At(ms + 300);
    one.worth = 1.1;
    to.Due(one);
    to.SentLate(12);
    to.Written(trace, At(ms));
  }
  void Send(TraceId trace, uint64_t attempt, int node, double ms, double until_ms, AttemptEnd how) {
    to.Arrived({attempt, trace, node, 0, At(ms), At(ms), 7, 1000.5});
    if (how == AttemptEnd::kAnswered) to.Ran(attempt, At(ms), true);
    to.AttemptEnded(attempt, At(until_ms), how);
  }
  void Serve(TraceId trace, uint64_t attempt, int node, double ms) {
    to.Ended(trace, At(ms), End::kServed, 200, {trace, node, attempt}, 0);
  }

  void Play() {
    for (int balancer : {0, 1}) {
      to.BalancerUp(balancer, At(0));
      for (int node : {0, 1, 2}) to.NodeStateSent(balancer, node, BackendState::kReady, 0, At(0));
      to.ListRequested(balancer, At(1), true);
    }
    Ask(1, kRead, 100);
    Send(1, 1, 0, 101, 220, AttemptEnd::kAnswered);
    Serve(1, 1, 0, 221);
    Ask(2, kRelease, 300);
    Send(2, 2, 0, 301, 310, AttemptEnd::kRejected);
    Send(2, 3, 1, 311, 350, AttemptEnd::kAnswered);
    Serve(2, 3, 1, 351);
    Ask(3, kCharge, 400);
    Send(3, 4, 0, 401, 410, AttemptEnd::kError);
    Send(3, 5, 1, 411, 450, AttemptEnd::kAnswered);
    Serve(3, 5, 1, 451);
    Ask(4, kRelease, 500);
    Send(4, 6, 0, 501, 520, AttemptEnd::kDropped);
    to.Ended(4, At(521), End::kFailed, 502, {}, 0);
    Ask(5, kRead, 600);
    for (uint64_t n : {7, 8, 9}) {
      const double ms = 601 + 10 * static_cast<double>(n - 7);
      Send(5, n, static_cast<int>(n) % 2, ms, ms + 5, AttemptEnd::kError);
    }
    to.Ended(5, At(640), End::kRefused, 503, {}, 250 * kMs);
    to.NodeStateSent(0, 2, BackendState::kDraining, 0, At(2000));
    Ask(6, kRead, 3000);
    Send(6, 10, 0, 3001, 3020, AttemptEnd::kAnswered);
    Serve(6, 10, 0, 3021);
    to.ManualDrain(0, 1, true, At(4000));
    Ask(7, kRead, 5000);
    Send(7, 11, 0, 5001, 5020, AttemptEnd::kAnswered);
    Serve(7, 11, 0, 5021);
    to.NodeChanged(1, NodeChange::kDied, At(5500), {});
    to.NodeChanged(1, NodeChange::kStarted, At(6000), {});
    to.ManualDrain(0, 1, false, At(6050));
    to.Listed(1, BackendState::kReady, At(6000), At(6090));
    to.NodeStateSent(0, 1, BackendState::kReady, At(6000), At(6100));
    to.HandshakeAt(1, 0, At(6200));
    to.FaultBegan(1, At(7000));
    to.FaultEnded(1, At(7500));
    to.BalancerDown(1, At(8000), true);
    to.ListRequestFailed(0, At(8100));
    to.ListRequested(0, At(8200), true);
  }
  double ends_ms = 30'000;
};

using Lines = std::vector<Json>;

Lines ValidHistory() {
  const Facts facts = HistoryFacts();
  Lines lines;
  HistoryWriter writer(facts, [&](std::string_view line) { lines.push_back(Json::parse(line)); });
  Script script{facts, writer};
  script.Play();
  writer.End(script.At(script.ends_ms));
  return lines;
}

std::string TextOf(Lines lines) {
  lines.back()["events"] = lines.size() - 2;
  std::string text;
  for (const Json& line : lines) text += line.dump() + "\n";
  return text;
}

bool Contains(const Json& line, const Json& wanted) {
  return std::all_of(wanted.items().begin(), wanted.items().end(), [&](const auto& one) {
    return line.contains(one.key()) && line[one.key()] == one.value();
  });
}
std::size_t IndexOf(const Lines& lines, const Json& wanted) {
  const auto it =
      std::find_if(lines.begin(), lines.end(), [&](auto& line) { return Contains(line, wanted); });
  EXPECT_NE(it, lines.end()) << wanted;
  return static_cast<std::size_t>(it - lines.begin());
}
Json& LineOf(Lines& lines, const Json& wanted) { return lines[IndexOf(lines, wanted)]; }
void Insert(Lines& lines, const Json& after, const std::vector<Json>& more) {
  lines.insert(lines.begin() + static_cast<std::ptrdiff_t>(IndexOf(lines, after)) + 1, more.begin(),
               more.end());
}
std::string Trace(TraceId trace) { return HexOf(trace); }
Json EndedEvent(TraceId trace) { return {{"event", "ended"}, {"trace", Trace(trace)}}; }
Json NodeStateEvent(int node, const char* state, int64_t at) {
  return {{"at", at},     {"event", "told"}, {"balancer", 0},
          {"node", node}, {"state", state},  {"started_at", 0}};
}
std::vector<Json> ExtraAttempt(int attempt, TraceId trace, int node, int64_t at) {
  return {{{"at", at},
           {"event", "arrived"},
           {"attempt", attempt},
           {"trace", Trace(trace)},
           {"node", node},
           {"balancer", 0},
           {"first_byte_at", at},
           {"link", Trace(1)},
           {"work_us", 1.0}},
          {{"at", at + 1000}, {"event", "link_ended"}, {"attempt", attempt}}};
}
// Moves an attempt, and all events of it, to another node.
void MoveAttempt(Lines& lines, uint64_t attempt, int node) {
  LineOf(lines, {{"event", "arrived"}, {"attempt", attempt}})["node"] = node;
  for (Json& line : lines) {
    if (line.contains("mark") && line["mark"]["attempt"] == attempt) line["mark"]["node"] = node;
  }
}

std::set<std::string> ViolatedRules(const std::string& text) {
  HistoryError bad;
  const std::optional<CheckedHistory> checked = CheckHistory(text, bad);
  EXPECT_TRUE(checked) << bad.line << ": " << bad.why;
  std::set<std::string> rules;
  if (!checked) return rules;
  EXPECT_EQ(checked->verdict.rules_kept, checked->broken.empty());
  for (const CheckedHistory::LocatedFinding& one : checked->broken) rules.insert(one.rule);
  return rules;
}

TEST(History, CheckingAHistoryGivesTheVerdictOfTheRun) {
  const Facts facts = HistoryFacts();
  RunChecker judge(facts);
  std::string text;
  HistoryWriter writer(facts, [&](std::string_view line) { text += line; });
  ObserverList both;
  both.Add(judge);
  both.Add(writer);
  Script script{facts, both};
  script.Play();
  writer.End(script.At(script.ends_ms));
  const Verdict live = judge.Finish(script.At(script.ends_ms));
  EXPECT_EQ(live.verdict, "kept");
  EXPECT_EQ(live.outcomes.asked, 7u);
  HistoryError bad;
  const std::optional<CheckedHistory> again = CheckHistory(text, bad);
  ASSERT_TRUE(again) << bad.line << ": " << bad.why;
  EXPECT_EQ(ToJson(again->verdict), ToJson(live));
}

struct RuleMutation {
  const char* rule;
  std::function<void(Lines&)> make;
};

std::vector<RuleMutation> RuleMutations() {
  return {
      {"answer_lost",
       [](Lines& l) {
         Json& end = LineOf(l, EndedEvent(1));
         end = {{"at", end["at"]}, {"event", "ended"}, {"trace", Trace(1)}, {"how", "broken"}};
       }},
      {"answer_lost",
       [](Lines& l) { l.erase(l.begin() + static_cast<std::ptrdiff_t>(IndexOf(l, EndedEvent(6)))); }},
      {"answer_late", [](Lines& l) { LineOf(l, EndedEvent(1))["at"] = 1171 * kMs; }},
      {"answered_twice", [](Lines& l) { Insert(l, EndedEvent(1), {LineOf(l, EndedEvent(1))}); }},
      {"answer_foreign", [](Lines& l) { LineOf(l, EndedEvent(1))["mark"]["attempt"] = 99; }},
      {"answer_foreign", [](Lines& l) { LineOf(l, EndedEvent(1)).erase("mark"); }},
      {"sent_after_end", [](Lines& l) { Insert(l, EndedEvent(1), ExtraAttempt(50, 1, 1, 400 * kMs)); }},
      {"sent_after_end", [](Lines& l) { Insert(l, EndedEvent(1), ExtraAttempt(50, 0xabc, 1, 400 * kMs)); }},
      {"sent_again",
       [](Lines& l) {
         LineOf(l, {{"event", "answered"}, {"attempt", 2}})["how"] = "error";
       }},
      {"sent_again",  // after the window within which nodes drop a repeat
       [](Lines& l) {
         for (Json& line : l) {
           const bool of_it = line.value("attempt", 0) == 5 || Contains(line, EndedEvent(3));
           if (!of_it) continue;
           line["at"] = line["at"].get<int64_t>() + 545 * kMs;
           if (line.contains("first_byte_at")) line["first_byte_at"] = line["at"];
         }
       }},
      {"sent_again", [](Lines& l) { MoveAttempt(l, 5, 2); }},  // to a zone where the repeat is not dropped
      {"effect_repeated",
       [](Lines& l) {
         Insert(l, {{"event", "arrived"}, {"attempt", 2}},
                {{{"at", 302 * kMs}, {"event", "ran"}, {"attempt", 2}, {"effect", true}}});
       }},
      {"refusal_untrue",
       [](Lines& l) {
         LineOf(l, EndedEvent(4))["how"] = "refused";
         LineOf(l, EndedEvent(4))["status"] = 503;
       }},
      {"copies",
       [](Lines& l) {
         Insert(l, {{"event", "ran"}, {"attempt", 1}}, ExtraAttempt(50, 1, 1, 110 * kMs));
       }},
      {"too_many_attempts",
       [](Lines& l) {
         Insert(l, {{"event", "answered"}, {"attempt", 9}}, ExtraAttempt(50, 5, 0, 630 * kMs));
       }},
      {"draining", [](Lines& l) { MoveAttempt(l, 10, 2); }},
      {"draining",  // the node is gone
       [](Lines& l) {
         Insert(l, EndedEvent(5), {NodeStateEvent(0, "gone", 2000 * kMs)});
         Insert(l, EndedEvent(6), {NodeStateEvent(0, "ready", 3500 * kMs)});
       }},
      {"draining", [](Lines& l) { MoveAttempt(l, 11, 1); }},  // drained manually
      {"cold_node",
       [](Lines& l) {
         Insert(l, {{"event", "handshake"}},
                {{{"at", 6900 * kMs},
                  {"event", "node"},
                  {"node", 1},
                  {"change", "fell"},
                  {"pushed_by", {9.5, 0.5}}}});
       }},
      {"unlisted", [](Lines& l) { MoveAttempt(l, 1, 3); }},
      {"made_up",
       [](Lines& l) {
         Insert(l, EndedEvent(1), {{{"at", 230 * kMs}, {"event", "strange"}, {"node", 0}, {"balancer", 0}}});
       }},
      {"crashed",
       [](Lines& l) {
         Insert(l, {{"event", "asked"}, {"at", 8200 * kMs}},
                {{{"at", 9000 * kMs}, {"event", "down"}, {"balancer", 0}, {"planned", false}}});
       }},
  };
}

TEST(History, EachRuleHasAHistoryThatViolatesOnlyIt) {
  EXPECT_EQ(ViolatedRules(TextOf(ValidHistory())), std::set<std::string>());
  std::set<std::string> seen;
  for (const RuleMutation& mutation : RuleMutations()) {
    Lines lines = ValidHistory();
    mutation.make(lines);
    EXPECT_EQ(ViolatedRules(TextOf(lines)), std::set<std::string>{mutation.rule}) << TextOf(lines);
    seen.insert(mutation.rule);
  }
  EXPECT_EQ(seen.size(), static_cast<std::size_t>(kRules)) << "a rule without a history that breaks it";
}

TEST(History, AViolationIsReportedWithItsTimeAndLine) {
  Lines lines = ValidHistory();
  LineOf(lines, {{"event", "answered"}, {"attempt", 2}})["how"] = "error";
  HistoryError bad;
  const std::optional<CheckedHistory> checked = CheckHistory(TextOf(lines), bad);
  ASSERT_TRUE(checked);
  ASSERT_EQ(checked->broken.size(), 1u);
  EXPECT_EQ(checked->broken[0].line, IndexOf(lines, {{"event", "arrived"}, {"attempt", 3}}) + 1);
  EXPECT_DOUBLE_EQ(checked->broken[0].finding.at_s, 0.311);
  EXPECT_EQ(checked->broken[0].finding.trace, Trace(2));
}

TEST(History, AMalformedHistoryIsRejectedWithItsLine) {
  const auto expect_rejected = [](const std::string& text, std::size_t line, const std::string& why) {
    HistoryError bad;
    EXPECT_FALSE(CheckHistory(text, bad)) << why;
    EXPECT_EQ(bad.line, line) << why;
    EXPECT_NE(bad.why.find(why), std::string::npos) << bad.why;
  };
  const Lines valid = ValidHistory();
  const std::string text = TextOf(valid);
  const std::size_t count = valid.size();
  expect_rejected("", 0, "it ends before its end");
  expect_rejected(text.substr(0, text.size() - 1), count, "cut short");
  expect_rejected(text.substr(0, text.rfind('\n', text.size() - 2) + 1), count - 1, "it ends before its end");
  expect_rejected(text + "{}\n", count + 1, "behind the end");
  const auto edited = [&](const Json& at, const std::function<void(Json&)>& edit, const std::string& why) {
    Lines lines = valid;
    edit(LineOf(lines, at));
    expect_rejected(TextOf(lines), IndexOf(lines, at) + 1, why);
  };
  const Json first = {{"history", 1}};
  edited(
      first, [](Json& line) { line["nodes"][0]["zone"] = -1; }, "zone");
  edited(
      first, [](Json& line) { line["settings"]["Caps"]["SendCap"] = "many"; }, "SendCap");
  const Json sent = {{"event", "arrived"}, {"attempt", 3}};
  edited(
      sent, [](Json& line) { line["node"] = 4; }, "node");
  edited(
      sent, [](Json& line) { line["first_byte_at"] = 400 * kMs; }, "before it began");
  edited(
      sent, [](Json& line) { line["colour"] = "red"; }, "a field that this event has not");
  edited(
      sent, [](Json& line) { line.erase("work_us"); }, "work_us is missing");
  edited(
      sent, [](Json& line) { line["trace"] = "2"; }, "hexadecimal");
  edited(
      {{"event", "due"}, {"trace", Trace(2)}}, [](Json& line) { line["class"] = 3; }, "class");
  edited(
      {{"event", "answered"}, {"attempt", 2}}, [](Json& line) { line["how"] = "well"; }, "how");
  Lines lines = valid;
  lines[0]["history"] = 2;
  expect_rejected(TextOf(lines), 1, "version 2");
  lines = valid;
  lines[3]["event"] = "guessed";
  expect_rejected(TextOf(lines), 4, "an unknown event: guessed");
  lines = valid;
  const std::size_t end = IndexOf(lines, EndedEvent(2));
  lines[end]["trace"] = Trace(77);
  expect_rejected(TextOf(lines), end + 1, "an unknown query");
  lines = valid;
  lines[end]["at"] = 200 * kMs;
  expect_rejected(TextOf(lines), end + 1, "a time that goes back");
  lines = valid;
  const std::size_t late = IndexOf(lines, {{"event", "by_hand"}, {"out", false}});
  lines[late]["at"] = 100 * kMs;
  expect_rejected(TextOf(lines), late + 1, "a time that goes back");
  lines = valid;
  const std::size_t ran = IndexOf(lines, {{"event", "ran"}, {"attempt", 3}});
  lines[ran]["attempt"] = 300;
  expect_rejected(TextOf(lines), ran + 1, "an unknown attempt");
  std::string torn = text;
  torn.insert(text.find('\n') + 1, "{\"at\":1,\n");
  expect_rejected(torn, 2, "not a line of JSON");
}

}  // namespace
}  // namespace burlfall::lab
