// Structured logging: events with stable names and fields, written as text or as JSON lines through spdlog to
// a LineSink. The events are defined in a table (events.h); an event that is not in it does not compile.
//
// Nothing here blocks, except Finish(). Lines for which standard error has no room are buffered up to a
// limit, then dropped and counted; once there is room again, one event reports how many were dropped.
#ifndef BURLFALL_OBSERVE_LOG_H_
#define BURLFALL_OBSERVE_LOG_H_

#include <algorithm>
#include <array>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>

#include "io/scheduler.h"
#include "observe/counters.h"
#include "observe/events.h"
#include "observe/line_sink.h"

namespace burlfall {

enum class LogFormat { kText, kJson };
std::optional<LogFormat> ReadLogFormat(std::string_view word);  // "text" or "json"

// The value of a field. Texts and counters are not owned; they are used only while the event is written.
class LogValue {
 public:
  template <std::integral Number>
  LogValue(Number number) {  // NOLINT: implicit conversion is intended
    if constexpr (std::signed_integral<Number>) {
      value_ = static_cast<int64_t>(number);
    } else {
      value_ = static_cast<uint64_t>(number);
    }
  }
  LogValue(std::string_view text) : value_(text) {}          // NOLINT
  LogValue(const Counters& counters) : value_(&counters) {}  // NOLINT

  template <typename Value>
  static constexpr LogField::Type TypeOf() {
    if constexpr (std::is_same_v<Value, Counters>) return LogField::Type::kCounters;
    return std::integral<Value> ? LogField::Type::kNumber : LogField::Type::kText;
  }
  bool blank() const;  // 0, or an empty text
  void AppendText(std::string& out) const;
  void AppendJson(std::string& out) const;

 private:
  std::variant<int64_t, uint64_t, std::string_view, const Counters*> value_;
};

// The name of an event as a template argument, as in Emit<"serving">.
template <size_t n>
struct LogName {
  constexpr LogName(const char (&text)[n]) { std::copy_n(text, n, chars.data()); }  // NOLINT
  constexpr std::string_view view() const { return {chars.data(), n - 1}; }
  std::array<char, n> chars{};
};

class Log {
 public:
  // `sink` and `counters` must outlive it.
  Log(Scheduler& clock, LineSink& sink, LogFormat format, Counters& counters);
  ~Log();

  // Logs an event of the table, with the values of its fields in the table's order. A tool may pass a table
  // of its own.
  template <LogName name, const auto& table = events::kAll, typename... Values>
  void Emit(const Values&... values) {
    constexpr size_t at = EventAt(table, name.view());
    static_assert(at < std::size(table), "the table of events has none of this name");
    constexpr const LogEvent& event = table[at];
    constexpr std::array<LogField::Type, sizeof...(Values)> types = {
        LogValue::TypeOf<std::remove_cvref_t<Values>>()...};
    static_assert(Fits(event, types), "not the fields that the table of events names");
    const std::array<LogValue, sizeof...(Values)> log_values = {LogValue(values)...};
    WriteEvent(event, log_values);
  }

  // For other lines on the same standard error: figures and the dump of the capture.
  LineSink& sink() { return sink_; }
  // Writes the last lines; blocks for at most `timeout`. Returns false if some could not be written.
  bool Finish(Micros timeout);

 private:
  struct Writer;  // hides spdlog from other files

  void WriteEvent(const LogEvent& event, std::span<const LogValue> values);
  void ReportDropped();
  Task<> FlushBuffered();

  LineSink& sink_;
  Counters& counters_;
  const LogFormat format_;
  std::unique_ptr<Writer> writer_;
  uint64_t unreported_ = 0;  // lines that were dropped and not yet reported
  std::string line_;
  Event buffered_;
  Task<> flush_task_;  // the task comes last: what it uses must outlive it
};

}  // namespace burlfall

#endif  // BURLFALL_OBSERVE_LOG_H_
