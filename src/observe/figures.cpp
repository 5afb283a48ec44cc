#include "observe/figures.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace burlfall {
namespace {

constexpr size_t kMostName = 64;
constexpr size_t kMostSeries = 256;  // besides those of the settings' own names
constexpr size_t kMostOwn = 8192;    // pairs of these that have a place from the start: some 4 MB
constexpr uint32_t kForget = 60;     // flushes after which a tenant that says nothing makes room
constexpr size_t kMostWaiting = 64 * 1024 - 1;
constexpr std::string_view kNone = "-";
constexpr std::string_view kOther = "other";
constexpr std::array<const char*, kFigures> kNames = {"requests", "served",   "throttled", "failed",
                                                      "left",     "attempts", "limited",   "denied"};

// What a tag may hold. Statsd has no way to escape: what could end a tag becomes an underscore. Influx has
// one, for its own three signs; a backslash, which could undo that, and all that is no plain text go the same
// way.
void Clean(std::string& out, std::string_view name, bool influx) {
  for (char c : name.substr(0, kMostName)) {
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
                 Outlet& errors, Counters& counters)
    : settings_(settings),
      counters_(counters),
      own_(settings.collector
               ? Outlet(machine.scheduler(), machine.network().DatagramWriterTo(*settings.collector))
               : Outlet(machine.scheduler(), machine.files(), settings.target)),
      out_(settings.target == "stderr" ? errors : own_),
      tick_(machine.scheduler()) {
  for (const auto& c : names.classes) classes_.push_back(c.name);
  const size_t classes = classes_.size() + 1;
  // Guards the memory where there are many tenants: beyond so many pairs each has its place while it asks.
  const bool all = classes * (names.tenants.size() + 2) <= kMostOwn;
  const size_t own = all ? classes * (names.tenants.size() + 2) : std::max(kMostOwn, 2 * classes);
  all_.reserve(own + kMostSeries);
  // Those that always have a place: clients with made-up names must not use theirs up.
  for (size_t c = 0; c < classes; ++c) {
    const int cls = c < classes_.size() ? static_cast<int>(c) : -1;
    if (all) {
      for (const auto& t : names.tenants) Of(cls, &t.name);
    }
    Of(cls, nullptr);
    const std::string other(kOther);
    Of(cls, &other);
  }
  for (One& one : all_) one.fixed = true;
  by_key_.reserve(all_.capacity());
  free_.reserve(all_.capacity());
  key_.reserve(2 * kMostName);
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

Figures::Series Figures::Of(int request_class, const std::string* tenant) {
  if (request_class < 0 || static_cast<size_t>(request_class) >= classes_.size()) request_class = -1;
  key_.assign(std::to_string(request_class)).append("/");
  const size_t start = key_.size();
  Clean(key_, tenant == nullptr || tenant->empty() ? kNone : std::string_view(*tenant), settings_.influx);
  auto it = by_key_.find(key_);
  if (it != by_key_.end()) return it->second;
  if (free_.empty() && all_.size() == all_.capacity()) {
    key_.erase(start).append(kOther);
    return by_key_.at(key_);
  }
  return Place(key_, request_class, std::string_view(key_).substr(start));
}

Figures::Series Figures::Place(std::string key, int request_class, std::string_view tenant) {
  std::string name;
  Clean(name, request_class < 0 ? kOther : std::string_view(classes_[static_cast<size_t>(request_class)]),
        settings_.influx);
  Series series = static_cast<Series>(all_.size());
  if (free_.empty()) {
    all_.emplace_back();
  } else {
    series = free_.back();
    free_.pop_back();
    all_[series] = One();
  }
  One& one = all_[series];
  one.used = true;
  one.key = std::move(key);
  one.tags = settings_.influx ? ",class=" + Escaped(name) + ",tenant=" + Escaped(tenant)
                              : "|#class:" + name + ",tenant:" + std::string(tenant);
  by_key_.emplace(one.key, series);
  return series;
}

void Figures::Closed(Series series, Figure how, Micros took) {
  One& one = all_[series];
  Add(series, how);
  --one.open;
  const double ms = static_cast<double>(took) / kMs;
  one.least = one.timed == 0 ? ms : std::min(one.least, ms);
  one.most = one.timed == 0 ? ms : std::max(one.most, ms);
  one.sum += ms;
  size_t at = one.timed++;
  if (at >= kSamples) {  // each of them all has the same chance to stay
    random_ = random_ * 6364136223846793005u + 1442695040888963407u;
    at = (random_ >> 33) % one.timed;
  }
  if (at < kSamples) one.times[at] = static_cast<float>(ms);
}

// ---- A flush ---------------------------------------------------------------------------------------------

void Figures::Flush() {
  for (size_t i = 0; i < all_.size(); ++i) {
    One& one = all_[i];
    if (!one.used) continue;
    const bool news = one.timed > 0 || one.open > 0 || one.open_told > 0 ||
                      std::any_of(one.counts.begin(), one.counts.end(), [](uint32_t n) { return n > 0; });
    if (news) Write(one);
    one.idle = news ? 0 : one.idle + 1;
    if (one.fixed || one.idle < kForget) continue;
    by_key_.erase(one.key);
    one.used = false;
    free_.push_back(static_cast<Series>(i));
  }
  if (untold_ > 0) Count("figures_dropped", "", std::exchange(untold_, 0));
  Send();
}

void Figures::Finish(Micros patience) {
  const Micros until = tick_.scheduler().Now() + patience;
  Flush();
  while (!waiting_.empty() && tick_.scheduler().Now() < until) {
    out_.AwaitRoom(20 * kMs);
    Send();
  }
}

void Figures::Write(One& one) {
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

// Told until it is back at nothing, and that once more.
void Figures::Gauge(One& one) {
  if (one.open == 0 && one.open_told == 0) return;
  const std::string n = std::to_string(one.open);
  Line(settings_.influx ? "burlfall_open" + one.tags + " value=" + n + "i"
                        : "burlfall.open:" + n + "|g" + one.tags);
  one.open_told = one.open;
}

// Statsd wants each time; of many, those drawn say for how many they stand. Influx has fields for the whole.
void Figures::Times(One& one) {
  if (one.timed == 0) return;
  char line[160];
  if (settings_.influx) {
    std::snprintf(line, sizeof line, " count=%ui,sum=%.3f,min=%.3f,max=%.3f,mean=%.3f", one.timed, one.sum,
                  one.least, one.most, one.sum / one.timed);
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

// ---- On their way ----------------------------------------------------------------------------------------

void Figures::Line(std::string_view line, uint64_t figures) {
  const size_t most = settings_.batch_bytes;
  if (line.size() + 1 > most) return Dropped(figures);
  if (waiting_.empty() || waiting_.back().text.size() + line.size() + 1 > most) {
    Send();  // what is full goes now: one flush may have more to say than there is room to wait
    waiting_.emplace_back();
  }
  Batch& batch = waiting_.back();
  batch.text.append(line).append("\n");
  batch.figures += figures;
  waiting_bytes_ += line.size() + 1;
  // One batch more may be in the outlet, taken in part.
  while (waiting_bytes_ + most > kMostWaiting && waiting_.size() > 1) {
    Dropped(waiting_.front().figures);
    waiting_bytes_ -= waiting_.front().text.size();
    waiting_.pop_front();
  }
}

void Figures::Dropped(uint64_t figures) {
  untold_ += figures;
  counters_.figures_dropped += figures;
}

void Figures::Send() {
  while (!waiting_.empty()) {
    const Batch& batch = waiting_.front();
    Outlet::Taken taken = out_.Offer(batch.text);
    if (taken == Outlet::Taken::kLater) return;
    if (taken == Outlet::Taken::kNo) Dropped(batch.figures);
    waiting_bytes_ -= batch.text.size();
    waiting_.pop_front();
  }
}

}  // namespace burlfall
