#include "lab/judge/result.h"

#include <concepts>
#include <limits>
#include <nlohmann/json.hpp>
#include <type_traits>

namespace burlfall::lab {
namespace {

using Json = nlohmann::ordered_json;

struct RuleText {
  std::string_view name;
  std::string_view text;
};

constexpr RuleText kRuleTexts[kRules] = {
    {"answer_lost",
     "Each query that a balancer has taken gets a final answer, unless the balancer is killed."},
    {"answer_late", "The answer is whole no later than the slack after the client's deadline."},
    {"answer_foreign", "A query is served with what a node answered to an attempt of this try."},
    {"answered_twice", "A query gets one answer."},
    {"sent_after_end", "Nothing is sent to a node for a try that has ended, or that no client made."},
    {"effect_repeated", "The effect of a query happens once."},
    {"sent_again",
     "While an attempt may have run, an unsafe query is not sent again, and a keyed one only "
     "where and while nodes drop a repeat."},
    {"refusal_untrue", "A query is refused only where trying again is harmless."},
    {"copies",
     "No two attempts of a try are out at once, where copies are not allowed or the query is unsafe."},
    {"draining",
     "Nothing new goes to a node once the grace is over after word that it drains, is gone or is out by "
     "hand."},
    {"cold_node", "No cold node falls over by what balancers send it that know of its start."},
    {"too_many_attempts", "A try has no more attempts than the settings allow."},
    {"crashed", "A balancer ends only when it is told to, or killed by the script."},
    {"unlisted", "Nothing goes to a node that no list has named to this balancer since its start."},
    {"made_up", "Nothing comes to a node that no client has made: there are no probes."},
};

// The list of fields. `f` is called for each field with its name, the field, its unit and its meaning.
template <typename F>
void Fields(F& f, Finding& v) {
  f("query", v.query, "hex", "trace of the query's first try; empty where it is about no query");
  f("trace", v.trace, "hex", "trace of the try that is concerned");
  f("balancer", v.balancer, "", "its name");
  f("node", v.node, "", "the node's name, where one is concerned");
  f("at_s", v.at_s, "s", "when, from the run's begin");
  f("why", v.why, "", "what happened and what would have been right");
  f("story", v.story, "", "the events of the query, one a line, by time from when its first try was due");
}

template <typename F>
void Fields(F& f, RuleResult& v) {
  f("rule", v.rule, "", "its name");
  f("asks", v.asks, "", "what it asks for");
  f("broken", v.broken, "times", "how often it was broken");
  f("findings", v.findings, "", "the first of these");
}

template <typename F>
void Fields(F& f, Outcomes& v) {
  f("asked", v.asked, "queries", "all that were due, each with its retries counted once");
  f("in_time", v.in_time, "queries", "served within the aim, counted from the first try");
  f("late", v.late, "queries", "served later");
  f("refused", v.refused, "queries", "whose last try was refused");
  f("failed", v.failed, "queries", "whose last try failed, or was served with what no node made for it");
  f("lost", v.lost, "queries",
    "whose last try got no answer, or was in the hands of a balancer that was killed");
  f("left", v.left, "queries", "whose client left before an answer");
  f("unreached", v.unreached, "queries", "whose last try no balancer took");
}

template <typename F>
void Fields(F& f, Ends& v) {
  f("served", v.served, "tries", "200, whole");
  f("refused", v.refused, "tries", "429 or 503, whole");
  f("failed", v.failed, "tries", "any other answer, or one that a node cut short");
  f("broken", v.broken, "tries", "the balancer ended the link without a whole answer");
  f("lost", v.lost, "tries", "the balancer was killed with it in hand");
  f("unreached", v.unreached, "tries",
    "never written whole to a link that a balancer's machine had accepted");
  f("left", v.left, "tries", "the client closed first");
  f("left_unanswered", v.left_unanswered, "tries", "of those that left, at their deadline or after it");
  f("untold", v.untold, "tries", "the lab never told how they ended");
}

template <typename F>
void Fields(F& f, Bin& v) {
  f("number", v.number, "", "of the bin; -1 and 931: beyond the axis");
  f("count", v.count, "queries", "in it");
}

template <typename F>
void Fields(F& f, Latency& v) {
  f("served", v.served, "queries", "that were served, in time or late");
  f("mean_ms", v.mean_ms, "ms", "their mean; exact");
  f("p50_ms", v.p50_ms, "ms", "half took no longer; within 1%, as all that follow");
  f("p90_ms", v.p90_ms, "ms", "of ten, nine took no longer");
  f("p95_ms", v.p95_ms, "ms", "of twenty, nineteen");
  f("p99_ms", v.p99_ms, "ms", "of 100, 99");
  f("p999_ms", v.p999_ms, "ms", "of 1,000, 999");
  f("most_ms", v.most_ms, "ms", "the longest; exact");
  f("bins", v.bins, "",
    "the histogram: bin n holds times from 10 us x 1.02^n to 1.02 times that; empty ones "
    "are left out");
}

template <typename F>
void Fields(F& f, Service& v) {
  f("combined", v.combined, "share", "the four below by their weights");
  f("whole", v.whole, "share", "worth served in time over worth asked");
  f("worst_ten_seconds", v.worst_ten_seconds, "share", "the same in the worst ten seconds, in steps of one");
  f("worst_ten_seconds_at_s", v.worst_ten_seconds_at_s, "s", "where these begin");
  f("worst_class", v.worst_class, "share", "the same of the worst-served class");
  f("worst_class_name", v.worst_class_name, "", "which that is");
  f("worst_tenant", v.worst_tenant, "share",
    "the same of the worst-served tenant within its share; the whole "
    "where there are no tenants");
  f("worst_tenant_name", v.worst_tenant_name, "", "which that is");
}

template <typename F>
void Fields(F& f, GroupResult& v) {
  f("name", v.name, "", "its name");
  f("service", v.service, "share", "worth served in time over worth asked; 1 where nothing was asked");
  f("worth_asked", v.worth_asked, "worth", "worth of a class times work in microseconds on a standard core");
  f("worth_in_time", v.worth_in_time, "worth", "of it, served within the aim");
  f("outcomes", v.outcomes, "", "what became of its queries");
  f("latency", v.latency, "", "of its queries");
}

template <typename F>
void Fields(F& f, Effort& v) {
  f("attempts", v.attempts, "attempts", "that arrived whole at nodes, of queries that count");
  f("attempts_per_query", v.attempts_per_query, "", "attempts over queries asked");
  f("tries_per_query", v.tries_per_query, "", "the clients' tries over queries asked");
  f("copies", v.copies, "attempts", "sent while an earlier one of the same try was out");
  f("cross_zone", v.cross_zone, "attempts", "sent to a node of another zone than the balancer's");
  f("handshakes", v.handshakes, "links", "opened to nodes, over the whole run");
  f("work_begun_ms", v.work_begun_ms, "ms", "work of all attempts that nodes began, on a standard core");
  f("work_wasted_share", v.work_wasted_share, "share",
    "of it, that of attempts whose answer reached no client");
  f("late_fail_share", v.late_fail_share, "share",
    "of the worth asked: not served, and its end came after the aim");
  f("held_back", v.held_back, "tries",
    "refused or failed after over half of their time, or never answered, "
    "without any attempt");
}

template <typename F>
void Fields(F& f, NodeResult& v) {
  f("name", v.name, "", "its name");
  f("zone", v.zone, "", "number of its zone");
  f("attempts", v.attempts, "attempts", "that arrived whole");
  f("answered", v.answered, "attempts", "answered with 200");
  f("errors", v.errors, "attempts", "answered with 500");
  f("turned_away", v.turned_away, "attempts", "answered with 503 or 504, never ran");
  f("dropped", v.dropped, "attempts", "without an answer");
  f("handshakes", v.handshakes, "links", "opened to it");
  f("starts", v.starts, "times", "it started during the run");
  f("fell", v.fell, "times", "it fell over, whoever pushed it");
}

template <typename F>
void Fields(F& f, BalancerResult& v) {
  f("name", v.name, "", "its name");
  f("zone", v.zone, "", "number of its zone");
  f("taken", v.taken, "tries", "written whole to its links");
  f("attempts", v.attempts, "attempts", "that arrived whole from it");
  f("planned_ends", v.planned_ends, "times", "it ended after SIGTERM");
  f("kills", v.kills, "times", "the script killed it");
  f("crashes", v.crashes, "times", "it ended otherwise");
}

template <typename F>
void Fields(F& f, FaultResult& v) {
  f("name", v.name, "", "its kind");
  f("action", v.action, "", "number of the action in the script");
  f("began_s", v.began_s, "s", "from the run's begin");
  f("ended_s", v.ended_s, "s", "the same; the run's end where it lasted till then");
  f("targets", v.targets, "", "numbers of nodes, balancers or zones");
}

template <typename F>
void Fields(F& f, LabResult& v) {
  f("sends", v.sends, "tries", "that the lab's clients sent");
  f("late_sends", v.late_sends, "tries", "sent over 5 ms later than they were due");
  f("late_share", v.late_share, "share", "late over all");
  f("late_p99_ms", v.late_p99_ms, "ms", "of 100 sends, 99 were no later");
  f("late_most_ms", v.late_most_ms, "ms", "the latest");
  f("too_late", v.too_late, "", "over 1% were late: the run says nothing");
  f("strays", v.strays, "events", "about a query or an attempt that was over, or that nobody had told of");
  f("site_repeats", v.site_repeats, "queries",
    "keyed ones whose effect nodes repeated though the balancer kept "
    "the rules: a fault of the stand-in");
}

template <typename F>
void Fields(F& f, Series& v) {
  f("asked", v.asked, "queries", "whose first try was due in this second, those of the settle time too");
  f("in_time", v.in_time, "queries", "of those asked in this second; so are all to `p99_ms`");
  f("late", v.late, "queries", "as in `outcomes`");
  f("refused", v.refused, "queries", "as in `outcomes`");
  f("failed", v.failed, "queries", "as in `outcomes`");
  f("lost", v.lost, "queries", "as in `outcomes`");
  f("left", v.left, "queries", "as in `outcomes`");
  f("unreached", v.unreached, "queries", "as in `outcomes`");
  f("service", v.service, "share", "worth served in time over worth asked; 1 where nothing was asked");
  f("p50_ms", v.p50_ms, "ms", "latency; 0 where none was served");
  f("p99_ms", v.p99_ms, "ms", "latency");
  f("sends", v.sends, "attempts", "that arrived at nodes in this second");
  f("attempts_by_node", v.attempts_by_node, "attempts", "the same, a list for each node");
  f("in_flight_by_node", v.in_flight_by_node, "attempts",
    "most that were out at once in this second, a list "
    "for each node");
}

template <typename F>
void Fields(F& f, ProcessResult& v) {
  f("balancer", v.balancer, "", "whose process it was");
  f("began_s", v.began_s, "s", "when it was started");
  f("served_s", v.served_s, "s", "when it served; -1: never");
  f("listed_s", v.listed_s, "s", "when the list service had written it its first list; -1: never");
  f("calls", v.calls, "calls", "that it made at the list service up to then");
}

template <typename F>
void Fields(F& f, FleetResult& v) {
  f("lives", v.lives, "processes",
    "of balancers that were started and not ended by the script without a list");
  f("listed", v.listed, "processes", "of these that got a list");
  f("listed_within_s", v.listed_within_s, "s",
    "from the fleet's `from_s`, or from a later start, until the last of them had it");
  f("calls_each", v.calls_each, "calls",
    "that one of them made until it had its list, on average, from then on");
  f("most_calls_each", v.most_calls_each, "calls", "the most that one of them made");
  f("most_calls_per_s", v.most_calls_per_s, "calls", "at the service in its busiest second after the first");
  f("most_handshakes", v.most_handshakes, "connections", "that the busiest node took in its worst second");
  f("fell", v.fell, "nodes", "that were pushed over");
  f("missed", v.missed, "", "what the fleet's goals asked for and did not get, a line each");
  f("each", v.each, "", "the processes, by their start");
  f("list_calls", v.list_calls, "calls per second", "at the list service, for the whole list");
  f("watch_calls", v.watch_calls, "calls per second", "that wait for news");
  f("answers", v.answers, "answers per second", "with a list, changes, or word that there are none");
  f("refusals", v.refusals, "answers per second", "503, a reset, or nothing usable");
  f("without_list", v.without_list, "processes",
    "that ran at the second's end and had no list from the service");
  f("busiest_handshakes", v.busiest_handshakes, "connections per second",
    "at the node that took most of them");
}

template <typename F>
void Fields(F& f, Verdict& v) {
  f("schema", v.schema, "", "version of this page's list");
  f("experiment", v.experiment, "", "its name");
  f("subject", v.subject, "", "what was tried: a version, a branch");
  f("seed", v.seed, "", "of the script");
  f("begins_at_us", v.begins_at_us, "us", "when the run began, Unix time");
  f("length_s", v.length_s, "s", "of the run, until the last query was due");
  f("settle_s", v.settle_s, "s", "at its start that counts for rules and `series` alone");
  f("verdict", v.verdict, "", "`kept`, `broken`, or `none` where the lab was too late to say");
  f("rules_kept", v.rules_kept, "", "no rule was broken, whether or not the lab was late");
  f("rules", v.rules, "", "each rule");
  f("service", v.service, "", "what the clients got");
  f("outcomes", v.outcomes, "", "what became of the queries");
  f("ends", v.ends, "", "how single tries ended");
  f("latency", v.latency, "", "of all classes");
  f("classes", v.classes, "", "each class");
  f("tenants", v.tenants, "", "each tenant, within its share");
  f("effort", v.effort, "", "what it took");
  f("nodes", v.nodes, "", "each node, spares last");
  f("balancers", v.balancers, "", "each balancer");
  f("faults", v.faults, "", "what the script did, by time");
  f("lab", v.lab, "", "how well the lab itself did");
  f("series", v.series, "", "lists with one value a second");
  f("fleet", v.fleet, "", "the balancers together, from outside");
}

template <typename T>
concept Scalar = std::is_arithmetic_v<T> || std::same_as<T, std::string>;

struct Writer {
  template <typename T>
  void operator()(const char* name, T& value, const char*, const char*) {
    json[name] = Put(value);
  }
  template <typename T>
  static Json Put(T& value) {
    if constexpr (Scalar<T>) {
      return value;
    } else {
      Writer inner;
      Fields(inner, value);
      return std::move(inner.json);
    }
  }
  template <typename T>
  static Json Put(std::vector<T>& all) {
    Json list = Json::array();
    for (T& one : all) list.push_back(Put(one));
    return list;
  }
  Json json = Json::object();
};

struct Reader {
  template <typename T>
  void operator()(const char* name, T& value, const char*, const char*) {
    if (!error.empty()) return;
    const auto it = json.find(name);
    const std::string inner = path.empty() ? name : path + "." + name;
    if (it == json.end()) {
      error = inner + ": missing";
    } else {
      Get(*it, value, inner);
    }
  }
  template <typename T>
  void Get(const Json& from, T& value, const std::string& at) {
    if constexpr (std::same_as<T, bool>) {
      if (Expect(from.is_boolean(), at, "true or false")) value = from.get<bool>();
    } else if constexpr (std::same_as<T, std::string>) {
      if (Expect(from.is_string(), at, "a text")) value = from.get<std::string>();
    } else if constexpr (std::floating_point<T>) {
      if (Expect(from.is_number(), at, "a number")) value = from.get<T>();
    } else if constexpr (std::unsigned_integral<T>) {
      if (Expect(from.is_number_unsigned(), at, "a whole number from 0")) value = from.get<T>();
    } else if constexpr (std::signed_integral<T>) {
      if (Expect(from.is_number_integer(), at, "a whole number")) value = from.get<T>();
    } else if (Expect(from.is_object(), at, "an object")) {
      Reader inner{from, at, ""};
      Fields(inner, value);
      error = inner.error;
    }
  }
  template <typename T>
  void Get(const Json& from, std::vector<T>& all, const std::string& at) {
    if (!Expect(from.is_array(), at, "a list")) return;
    all.clear();
    for (const Json& one : from) {
      const std::string inner = at + "[" + std::to_string(all.size()) + "]";
      Get(one, all.emplace_back(), inner);
      if (!error.empty()) return;
    }
  }
  bool Expect(bool right, const std::string& at, const char* what) {
    if (!right) error = at + ": " + what + " was expected";
    return right;
  }
  const Json& json;
  std::string path;
  std::string error;
};

// Builds the rows of the reference page; the fields of a list's entries follow the list.
struct Lister {
  template <typename T>
  void operator()(const char* name, T& value, const char* unit, const char* meaning) {
    const std::string at = path.empty() ? name : path + "." + name;
    rows += "| `" + at + Brackets(value) + "` | " + Type(value) + " | " + unit + " | " + meaning + " |\n";
    Inner(value, at + Brackets(value));
  }
  template <typename T>
  static std::string Brackets(const T&) {
    return "";
  }
  template <typename T>
  static std::string Brackets(const std::vector<T>&) {
    return "[]" + Brackets(T());
  }
  template <typename T>
  static std::string Type(const T&) {
    if constexpr (std::same_as<T, bool>) return "bool";
    if constexpr (std::same_as<T, std::string>) return "text";
    if constexpr (std::floating_point<T>) return "number";
    if constexpr (std::integral<T>) return "whole number";
    return "object";
  }
  template <typename T>
  static std::string Type(const std::vector<T>&) {
    return Type(T());
  }
  template <typename T>
  void Inner(T& value, const std::string& at) {
    if constexpr (!Scalar<T>) {
      Lister inner{at, ""};
      Fields(inner, value);
      rows += inner.rows;
    }
  }
  template <typename T>
  void Inner(std::vector<T>&, const std::string& at) {
    T one = T();
    Inner(one, at);
  }
  std::string path;
  std::string rows;
};

}  // namespace

std::string_view NameOf(Rule rule) { return kRuleTexts[static_cast<int>(rule)].name; }
std::string_view TextOf(Rule rule) { return kRuleTexts[static_cast<int>(rule)].text; }

Json ToJson(const Verdict& verdict) {
  Verdict copy = verdict;  // Fields() needs a mutable value, as it also serves reading
  return Writer::Put(copy);
}

bool FromJson(const Json& json, Verdict& verdict, std::string& error) {
  Verdict read;
  Reader reader{json, "", ""};
  if (!json.is_object()) {
    reader.error = "an object was expected";
  } else if (json.contains("schema") && json["schema"] != kResultSchema) {
    reader.error = "schema: " + std::to_string(kResultSchema) + " was expected";
  } else {
    Fields(reader, read);
  }
  error = reader.error;
  if (!error.empty()) return false;
  verdict = std::move(read);
  return true;
}

std::string ResultReference() {
  std::string text =
      "# result.json\n\n"
      "What a run of the lab came to. Made from the list of fields in `src/lab/judge/result.cpp`; a test "
      "holds the "
      "two\n"
      "together. Schema version " +
      std::to_string(kResultSchema) +
      ": a reader refuses any other, and passes over fields that it does not know.\n\n"
      "All fields are always there. `[]` stands for each entry of a list. Times are from the run's begin "
      "unless\n"
      "they say otherwise.\n\n"
      "| field | type | unit | meaning |\n| --- | --- | --- | --- |\n";
  Verdict verdict;
  Lister lister;
  Fields(lister, verdict);
  text += lister.rows;
  text += "\n## Rules\n\n| rule | asks for |\n| --- | --- |\n";
  for (const RuleText& words : kRuleTexts) {
    text.append("| `").append(words.name).append("` | ").append(words.text).append(" |\n");
  }
  return text;
}

}  // namespace burlfall::lab
