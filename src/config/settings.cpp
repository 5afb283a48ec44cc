#include "config/settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iomanip>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace meadowslip {
namespace {

// Values by path, with typed access; errors name the key.
class PathValues {
 public:
  explicit PathValues(std::string_view text) {
    while (!text.empty()) {
      size_t end = std::min(text.find('\n'), text.size());
      std::string_view line = text.substr(0, end);
      text.remove_prefix(std::min(end + 1, text.size()));
      if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
      if (line.empty()) continue;
      size_t eq = line.find('=');
      if (eq == std::string_view::npos) {
        throw BadInput("settings: a line without '=': " + std::string(line.substr(0, 60)));
      }
      values_[std::string(line.substr(0, eq))] = std::string(line.substr(eq + 1));
    }
  }
  double Number(const std::string& key, double fallback, double low = 0, double high = 4e18,
                const char* expected = "a number") const {
    const std::string* s = Find(key);
    if (s == nullptr) return fallback;
    double value = 0;
    auto [end, error] = std::from_chars(s->data(), s->data() + s->size(), value);
    if (error != std::errc() || end != s->data() + s->size() || !(value >= low && value <= high)) {
      Refuse(key, Range(expected, low, high), *s);
    }
    return value;
  }
  double Share(const std::string& key, double fallback) const { return Number(key, fallback, 0, 1); }
  Micros Time(const std::string& key, Micros fallback, Micros low = 0) const {
    return static_cast<Micros>(
        Number(key, static_cast<double>(fallback), static_cast<double>(low), 4e15, "microseconds"));
  }
  int Count(const std::string& key, int fallback, int low = 0, int high = 65535) const {
    const double value = Number(key, fallback, low, high, "a whole number");
    if (value != std::floor(value)) Refuse(key, Range("a whole number", low, high), *Find(key));
    return static_cast<int>(value);
  }
  bool Flag(const std::string& key, bool fallback) const {
    const std::string* s = Find(key);
    if (s == nullptr) return fallback;
    if (*s != "true" && *s != "false") Refuse(key, "true or false", *s);
    return *s == "true";
  }
  // Returns the index of the value in `words`.
  int Word(const std::string& key, int fallback, const std::vector<std::string_view>& words) const {
    const std::string* s = Find(key);
    if (s == nullptr) return fallback;
    auto it = std::find(words.begin(), words.end(), *s);
    if (it == words.end()) {
      std::string expected;
      for (size_t i = 0; i < words.size(); ++i) {
        expected.append(i == 0 ? "" : i + 1 < words.size() ? ", " : " or ").append(words[i]);
      }
      Refuse(key, expected, *s);
    }
    return static_cast<int>(it - words.begin());
  }
  // Refuses a value that is not an object. Otherwise the keys expected below it would be missing, the value
  // ignored as an unknown key, and the deployment left without its classes or rules.
  void Object(const std::string& key) const {
    const std::string* s = Find(key);
    if (s != nullptr && !s->empty()) Refuse(key, "an object", *s);
  }
  int Objects(const std::string& key) const {
    const std::string* s = Find(key);
    if (s != nullptr && !s->empty()) Refuse(key, "a list of objects", *s);
    if (HasKeysBelow(key) && Find(key + ".count") == nullptr) Refuse(key, "a list of objects", "an object");
    const int n = Count(key + ".count", 0);
    for (int i = 0; i < n; ++i) Object(key + "." + std::to_string(i));
    return n;
  }
  std::string_view Names(const std::string& key) const {
    if (HasKeysBelow(key)) Refuse(key, "a list of names", "objects");
    return Text(key);
  }
  std::string_view Text(const std::string& key) const {
    const std::string* s = Find(key);
    return s == nullptr ? std::string_view() : std::string_view(*s);
  }

 private:
  const std::string* Find(const std::string& key) const {
    auto it = values_.find(key);
    return it == values_.end() ? nullptr : &it->second;
  }
  bool HasKeysBelow(const std::string& key) const {
    const auto it = values_.lower_bound(key + ".");
    return it != values_.end() && it->first.starts_with(key + ".");
  }
  static std::string Range(const char* what, double low, double high) {
    std::ostringstream range;
    range << std::setprecision(10) << what << " from " << low << " to " << high;
    return range.str();
  }
  [[noreturn]] static void Refuse(const std::string& key, const std::string& expected,
                                  const std::string& found) {
    throw BadInput("settings." + key + ": expected " + expected + ", found " + found.substr(0, 60));
  }
  std::map<std::string, std::string> values_;
};

std::vector<std::string> Words(std::string_view list) {
  std::vector<std::string> words;
  while (!list.empty()) {
    size_t end = std::min(list.find(','), list.size());
    words.emplace_back(list.substr(0, end));
    list.remove_prefix(std::min(end + 1, list.size()));
  }
  return words;
}

LoadField ToField(std::string_view word) {
  if (word == "rif") return LoadField::kInFlight;
  if (word == "q") return LoadField::kQueue;
  if (word == "busy") return LoadField::kUtilisation;
  if (word == "lat_ms") return LoadField::kLatencyMs;
  return LoadField::kOther;
}

}  // namespace

Settings ParseSettings(std::string_view text) {
  PathValues in(text);
  for (const char* group : {"Caps", "Rules", "Report", "Prices"}) in.Object(group);
  Settings s;
  s.nodes = in.Count("Balancers", 1, 1);
  s.node_index = in.Count("SlotNo", 0);
  s.own_zone = in.Count("MyZone", 0);
  for (int i = 0, n = in.Objects("Categories"); i < n; ++i) {
    std::string at = "Categories." + std::to_string(i) + ".";
    RequestClass c;
    c.idempotency = static_cast<Idempotency>(in.Word(at + "Effect", 2, {"pure", "token", "side_effect"}));
    c.group = static_cast<DedupGroup>(in.Word(at + "Group", 0, {"all", "zone", "cell"}));
    c.dedup_window = in.Time(at + "DedupWindow", 0);
    c.aim = in.Time(at + "Slo", 1000000, 1);
    c.deadline = in.Time(at + "HardLimit", c.aim, 1);
    c.worth = in.Number(at + "Worth", 1);
    c.late_share = in.Share(at + "LateShare", 0);
    c.stream = in.Flag(at + "Stream", false);
    c.name = in.Text(at + "Name");
    s.classes.push_back(c);
  }
  for (int i = 0, n = in.Objects("Realms"); i < n; ++i) {
    std::string at = "Realms." + std::to_string(i) + ".";
    s.tenants.push_back(
        {in.Number(at + "QuotaPerS", 0), in.Number(at + "Share", 0), std::string(in.Text(at + "Name"))});
  }
  s.over_share_worth = in.Share("OverShareWorth", 1);
  s.may_cancel = in.Flag("Caps.Cancel", false);
  s.may_probe = in.Flag("Caps.MayProbe", false);
  s.second_copies = in.Flag("Caps.SecondCopies", false);
  s.retry_after = in.Flag("Caps.RetryAfter", false);
  s.max_retry_after = in.Time("Caps.MaxRetryAfter", 0);
  s.max_attempts = in.Count("Caps.SendCap", 1, 1);
  s.answer_slack = in.Time("Rules.AnswerSlack", 0);
  s.drain_grace = in.Time("Rules.DrainGrace", 0);
  s.gone_binds = !in.Flag("Rules.SoftRemoval", false);
  s.must_ask_within = in.Time("Rules.MustAskIn", 10000000);
  s.overload_factor = in.Number("Rules.OverloadFactor", s.overload_factor);
  // 0 means at once (Fall) or warm from the start (WarmAfter); 1 us, the smallest time, has the same effect.
  s.overload_window = std::max<Micros>(1, in.Time("Rules.Fall", s.overload_window));
  s.start_capacity = in.Share("Rules.StartCapacity", s.start_capacity);
  s.warm_after = std::max<Micros>(1, in.Time("Rules.WarmAfter", s.warm_after));
  s.must_subscribe = in.Word("MembershipMode", 0, {"automatic", "subscribe"}) == 1;
  s.advertised_sizes = in.Word("Weights", 0, {"silent", "nominal", "rough", "live"}) != 0;
  s.report_mode = static_cast<ReportMode>(in.Word("Report.How", 0, {"silent", "piggyback", "pull"}));
  for (const std::string& column : Words(in.Names("Report.Columns"))) {
    s.report_fields.push_back(ToField(column));
  }
  s.cross_zone_price = in.Number("Prices.CrossZone", 0);
  s.probe_price = in.Number("Prices.Probe", 0);
  s.resolution = in.Time("Resolution", 1000);
  s.zones = Words(in.Names("Zones"));
  s.kinds = Words(in.Names("MachineTypes"));
  s.keepalive = in.Time("Caps.Keepalive", s.keepalive);
  s.connect_timeout = in.Time("Caps.ConnectTimeout", s.connect_timeout, 1);
  s.open_cap = in.Count("Caps.OpenCap", s.open_cap, 1, 100000000);
  return s;
}

}  // namespace meadowslip
