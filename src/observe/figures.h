// Figures are the metrics per class and tenant, written as statsd or influx text. They are accumulated
// between flushes; text is formatted only at a flush.
#ifndef BURLFALL_OBSERVE_FIGURES_H_
#define BURLFALL_OBSERVE_FIGURES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "config/properties.h"
#include "io/machine.h"
#include "meadowslip/balancer.h"
#include "observe/counters.h"
#include "observe/line_sink.h"

namespace burlfall {

enum class Figure { kRequests, kServed, kThrottled, kFailed, kLeft, kAttempts, kLimited, kDenied };
constexpr size_t kFigures = 8;

class Figures {
 public:
  using Series = uint32_t;  // index of one pair of class and tenant

  // `errors` is standard error, shared with the log; it is used if the settings' target is "stderr".
  Figures(Machine& machine, const FiguresSettings& settings, const meadowslip::Settings& names,
          LineSink& errors, Counters& counters);
  void Start();

  // Returns the series of a class and tenant. Clients choose tenants' names freely: a name is truncated and
  // sanitized and, if there are too many series, counted as `other`. Nullptr or an empty name is `-`.
  Series SeriesOf(int request_class, const std::string* tenant);
  void Add(Series series, Figure figure) { ++series_[series].counts[static_cast<size_t>(figure)]; }
  // A request begins. Closed() ends it, with its outcome and how long it took.
  void Opened(Series series) { ++series_[series].open; }
  void Closed(Series series, Figure how, Micros took);

  void Flush();
  void Finish(Micros timeout);  // flushes for the last time; blocks for at most `timeout`
  void Reopen() { own_sink_.Reopen(); }

 private:
  static constexpr size_t kSamples = 32;
  struct SeriesState {
    std::string tags;  // in the syntax of the format
    std::string key;
    std::array<uint32_t, kFigures> counts{};
    std::array<float, kSamples> times{};  // ms; a uniform sample of all since the last flush
    uint32_t timed = 0;
    double sum = 0;
    double min = 0;
    double max = 0;
    uint32_t open = 0;
    uint32_t open_written = 0;
    uint32_t idle = 0;  // consecutive flushes without activity
    bool used = false;
    bool fixed = false;  // created at the start, never reused for another pair
  };
  struct Batch {
    std::string text;
    uint64_t figures = 0;
  };

  Task<> Run();
  Series CreateSeries(std::string key, int request_class, std::string_view tenant);
  void Write(SeriesState& one);
  void Count(const char* name, const std::string& tags, uint64_t n);
  void Gauge(SeriesState& one);
  void Times(SeriesState& one);
  void Line(std::string_view line, uint64_t figures = 1);
  void Dropped(uint64_t figures);
  void Send();

  FiguresSettings settings_;
  std::vector<std::string> classes_;
  Counters& counters_;
  LineSink own_sink_;
  LineSink& out_;
  std::vector<SeriesState> series_;
  std::vector<Series> free_;
  std::unordered_map<std::string, Series> by_key_;
  std::string key_;  // scratch buffer of SeriesOf()
  std::deque<Batch> queue_;
  size_t queued_bytes_ = 0;
  uint64_t unreported_ = 0;  // dropped, and not yet reported as figures_dropped
  uint64_t random_ = 1;
  Event tick_;
  Task<> task_;  // the task comes last: what it uses must outlive it
};

}  // namespace burlfall

#endif  // BURLFALL_OBSERVE_FIGURES_H_
