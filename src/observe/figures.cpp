#include "observe/figures.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace burlfall {
namespace {

constexpr size_t kMaxNameBytes = 64;
constexpr size_t kMaxDynamicSeries = 256;  // besides those created at the start
constexpr size_t kMaxFixedSeries = 8192;   // series created at the start; about 4 MB
constexpr uint32_t kMaxIdleFlushes = 60;   // flushes without activity after which a series is released
constexpr size_t kMaxQueuedBytes = 64 * 1024 - 1;
constexpr std::string_view kNone = "-";
constexpr std::string_view kOther = "other";
constexpr std::array<const char*, kFigures> kNames = {"requests", "served",   "throttled", "failed",
                                                      "left",     "attempts", "limited",   "denied"};

// Appends `name` with all characters that a tag can't hold replaced by underscores. Statsd has no escaping,
// so any character that could end a tag is replaced. Influx can escape its three special characters (see
// Escaped()); only backslashes, which could undo the escape, and non-printable bytes are replaced.
void AppendSanitized(std::string& out, std::string_view name, bool influx) {
  for (char c : name.substr(0, kMaxNameBytes)) {
    bool word = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
                std::string_view("-_./+~").find(c) != std::string_view::npos;
    bool plain = word || (influx && c >= ' ' && c < 127 && c != '\\');
    out += plain ? c : '_';
  }
}

std::string Escaped(std::string_view name) {
  std::string out;
  for (char c : name) {
    if (c == ',' || c == '=' || c == ' ') out += '\\';
    out += c;
  }
  return out;
}

}  // namespace

Figures::Figures(Machine& machine, const FiguresSettings& settings, const meadowslip::Settings& names,
                 LineSink& errors, Counters& counters)
    : settings_(settings),
      counters_(counters),
      own_sink_(settings.collector
                    ? LineSink(machine.scheduler(), machine.network().DatagramWriterTo(*settings.collector))
                    : LineSink(machine.scheduler(), machine.files(), settings.target)),
      out_(settings.target == "stderr" ? errors : own_sink_),
      tick_(machine.scheduler()) {
  for (const auto& c : names.classes) classes_.push_back(c.name);
  const size_t classes = classes_.size() + 1;
  // Limits memory with many tenants: beyond kMaxFixedSeries pairs, only active pairs have a series.
  const bool all_fixed = classes * (names.tenants.size() + 2) <= kMaxFixedSeries;
  const size_t fixed_count =
      all_fixed ? classes * (names.tenants.size() + 2) : std::max(kMaxFixedSeries, 2 * classes);
  series_.reserve(fixed_count + kMaxDynamicSeries);
  // The fixed series: clients with made-up tenant names can't use them up.
  for (size_t c = 0; c < classes; ++c) {
    const int cls = c < classes_.size() ? static_cast<int>(c) : -1;
    if (all_fixed) {
      for (const auto& t : names.tenants) SeriesOf(cls, &t.name);
    }
    SeriesOf(cls, nullptr);
    const std::string other(kOther);
    SeriesOf(cls, &other);
  }
  for (SeriesState& one : series_) one.fixed = true;
  by_key_.reserve(series_.capacity());
  free_.reserve(series_.capacity());
  key_.reserve(2 * kMaxNameBytes);
}

void Figures::Start() {
  task_ = Run();
  task_.Start();
}

Task<> Figures::Run() {
  Micros next = tick_.scheduler().Now() + settings_.flush;
  while (true) {
    co_await tick_.Wait(next);
    Flush();
    next = std::max(next + settings_.flush, tick_.scheduler().Now());
  }
}

Figures::Series Figures::SeriesOf(int request_class, const std::string* tenant) {
  if (request_class < 0 || static_cast<size_t>(request_class) >= classes_.size()) request_class = -1;
  key_.assign(std::to_string(request_class)).append("/");
  const size_t start = key_.size();
  AppendSanitized(key_, tenant == nullptr || tenant->empty() ? kNone : std::string_view(*tenant),
                  settings_.influx);
  auto it = by_key_.find(key_);
  if (it != by_key_.end()) return it->second;
  if (free_.empty() && series_.size() == series_.capacity()) {
    key_.erase(start).append(kOther);
    return by_key_.at(key_);
  }
  return CreateSeries(key_, request_class, std::string_view(key_).substr(start));
}

Figures::Series Figures::CreateSeries(std::string key, int request_class, std::string_view tenant) {
  std::string name;
  AppendSanitized(name,
                  request_class < 0 ? kOther : std::string_view(classes_[static_cast<size_t>(request_class)]),
                  settings_.influx);
  Series series = static_cast<Series>(series_.size());
  if (free_.empty()) {
    series_.emplace_back();
  } else {
    series = free_.back();
    free_.pop_back();
    series_[series] = SeriesState();
  }
  SeriesState& one = series_[series];
  one.used = true;
  one.key = std::move(key);
  one.tags = settings_.influx ? ",class=" + Escaped(name) + ",tenant=" + Escaped(tenant)
                              : "|#class:" + name + ",tenant:" + std::string(tenant);
  by_key_.emplace(one.key, series);
  return series;
}

void Figures::Closed(Series series, Figure how, Micros took) {
  SeriesState& one = series_[series];
  Add(series, how);
  --one.open;
  const double ms = static_cast<double>(took) / kMs;
  one.min = one.timed == 0 ? ms : std::min(one.min, ms);
  one.max = one.timed == 0 ? ms : std::max(one.max, ms);
  one.sum += ms;
  size_t at = one.timed++;
  if (at >= kSamples) {  // reservoir sampling: all times are retained with the same probability
    random_ = random_ * 6364136223846793005u + 1442695040888963407u;
    at = (random_ >> 33) % one.timed;
  }
  if (at < kSamples) one.times[at] = static_cast<float>(ms);
}

// ---- A flush ---------------------------------------------------------------------------------------------

void Figures::Flush() {
  for (size_t i = 0; i < series_.size(); ++i) {
    SeriesState& one = series_[i];
    if (!one.used) continue;
    const bool active = one.timed > 0 || one.open > 0 || one.open_written > 0 ||
                        std::any_of(one.counts.begin(), one.counts.end(), [](uint32_t n) { return n > 0; });
    if (active) Write(one);
    one.idle = active ? 0 : one.idle + 1;
    if (one.fixed || one.idle < kMaxIdleFlushes) continue;
    by_key_.erase(one.key);
    one.used = false;
    free_.push_back(static_cast<Series>(i));
  }
  if (unreported_ > 0) Count("figures_dropped", "", std::exchange(unreported_, 0));
  Send();
}

void Figures::Finish(Micros timeout) {
  const Micros deadline = tick_.scheduler().Now() + timeout;
  Flush();
  while (!queue_.empty() && tick_.scheduler().Now() < deadline) {
    out_.AwaitRoom(20 * kMs);
    Send();
  }
}

void Figures::Write(SeriesState& one) {
  for (size_t f = 0; f < kFigures; ++f) {
    if (one.counts[f] > 0) Count(kNames[f], one.tags, one.counts[f]);
  }
  one.counts.fill(0);
  Gauge(one);
  Times(one);
}

void Figures::Count(const char* name, const std::string& tags, uint64_t n) {
  char line[64];
  if (settings_.influx) {
    std::snprintf(line, sizeof line, " count=%llui", static_cast<unsigned long long>(n));
    Line(std::string("burlfall_") + name + tags + line);
  } else {
    std::snprintf(line, sizeof line, ":%llu|c", static_cast<unsigned long long>(n));
    Line(std::string("burlfall.") + name + line + tags);
  }
}

// Writes the number of open requests until it is 0; the first 0 is written too.
void Figures::Gauge(SeriesState& one) {
  if (one.open == 0 && one.open_written == 0) return;
  const std::string n = std::to_string(one.open);
  Line(settings_.influx ? "burlfall_open" + one.tags + " value=" + n + "i"
                        : "burlfall.open:" + n + "|g" + one.tags);
  one.open_written = one.open;
}

// Statsd needs each time; if only a sample was retained, each line has the sample rate. Influx gets the
// aggregates.
void Figures::Times(SeriesState& one) {
  if (one.timed == 0) return;
  char line[160];
  if (settings_.influx) {
    std::snprintf(line, sizeof line, " count=%ui,sum=%.3f,min=%.3f,max=%.3f,mean=%.3f", one.timed, one.sum,
                  one.min, one.max, one.sum / one.timed);
    Line("burlfall_request_time" + one.tags + line);
  } else {
    const size_t n = std::min<size_t>(one.timed, kSamples);
    char rate[32] = "";
    if (n < one.timed) std::snprintf(rate, sizeof rate, "|@%.6g", static_cast<double>(n) / one.timed);
    for (size_t i = 0; i < n; ++i) {
      std::snprintf(line, sizeof line, "burlfall.request_time:%.3f|ms%s", static_cast<double>(one.times[i]),
                    rate);
      Line(line + one.tags);
    }
  }
  one.timed = 0;
  one.sum = 0;
}

// ---- Output queue ----------------------------------------------------------------------------------------

void Figures::Line(std::string_view line, uint64_t figures) {
  const size_t max_bytes = settings_.batch_bytes;
  if (line.size() + 1 > max_bytes) return Dropped(figures);
  if (queue_.empty() || queue_.back().text.size() + line.size() + 1 > max_bytes) {
    Send();  // sends the full batch now: one flush may produce more than the queue can hold
    queue_.emplace_back();
  }
  Batch& batch = queue_.back();
  batch.text.append(line).append("\n");
  batch.figures += figures;
  queued_bytes_ += line.size() + 1;
  // The sink may hold one more batch, written in part.
  while (queued_bytes_ + max_bytes > kMaxQueuedBytes && queue_.size() > 1) {
    Dropped(queue_.front().figures);
    queued_bytes_ -= queue_.front().text.size();
    queue_.pop_front();
  }
}

void Figures::Dropped(uint64_t figures) {
  unreported_ += figures;
  counters_.figures_dropped += figures;
}

void Figures::Send() {
  while (!queue_.empty()) {
    const Batch& batch = queue_.front();
    LineSink::Result result = out_.TryWrite(batch.text);
    if (result == LineSink::Result::kNoRoom) return;
    if (result == LineSink::Result::kFailed) Dropped(batch.figures);
    queued_bytes_ -= batch.text.size();
    queue_.pop_front();
  }
}

}  // namespace burlfall
