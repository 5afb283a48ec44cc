#include "observe/log.h"

#include <simdjson.h>
#include <spdlog/logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/sink.h>

#include <chrono>

namespace burlfall {
namespace {

constexpr Micros kRetryInterval = 100 * kMs;  // between attempts to write buffered lines

// Replaces control characters, so that text from files or peers can't break the line.
void AppendOneLine(std::string& out, std::string_view text) {
  for (char c : text) out += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
}

// Always gives valid JSON. If `text` is not UTF-8, each byte above 127 is written as the code point of the
// same number.
void AppendQuoted(std::string& out, std::string_view text) {
  constexpr char kHex[] = "0123456789abcdef";
  const bool utf8 = simdjson::validate_utf8(text.data(), text.size());
  out += '"';
  for (char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < ' ' || byte == 127 || (byte > 127 && !utf8)) {
      out.append("\\u00").append(1, kHex[byte >> 4]).append(1, kHex[byte & 15]);
    } else {
      if (c == '"' || c == '\\') out += '\\';
      out += c;
    }
  }
  out += '"';
}

std::string TextOf(const LogEvent& event, std::span<const LogValue> values) {
  const std::span<const LogField> fields = event.fields();
  std::string out;
  size_t bracket = 0;
  bool omit = false;
  for (size_t at = 0; at < event.text.size(); ++at) {
    switch (const char c = event.text[at]) {
      case '[':
        bracket = out.size();
        omit = false;
        break;
      case ']':
        if (omit) out.resize(bracket);
        break;
      case '{': {
        const size_t end = event.text.find('}', at);
        const std::string_view name = event.text.substr(at + 1, end - at - 1);
        for (size_t i = 0; i < fields.size(); ++i) {
          if (fields[i].name != name) continue;
          values[i].AppendText(out);
          omit = omit || values[i].blank();
        }
        at = end;
        break;
      }
      default:
        out += c;
    }
  }
  return out;
}

// Without the braces: the pattern of the logger adds them, and the level and the time.
std::string JsonOf(const LogEvent& event, std::span<const LogValue> values) {
  std::string out = "\"event\":\"";
  out.append(event.name).append("\"");
  const std::span<const LogField> fields = event.fields();
  for (size_t i = 0; i < fields.size(); ++i) {
    out.append(",\"").append(fields[i].name).append("\":");
    values[i].AppendJson(out);
  }
  return out;
}

spdlog::level::level_enum LevelOf(LogLevel level) {
  switch (level) {
    case LogLevel::kInfo:
      return spdlog::level::info;
    case LogLevel::kWarning:
      return spdlog::level::warn;
    default:
      return spdlog::level::err;
  }
}

class SpdlogSink final : public spdlog::sinks::sink {
 public:
  explicit SpdlogSink(LineSink& lines) : sink_(lines) {}
  void log(const spdlog::details::log_msg& message) override {
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    sink_.WriteOrBuffer({line.data(), line.size()});
  }
  void flush() override {}
  void set_pattern(const std::string& pattern) override {
    set_formatter(std::make_unique<spdlog::pattern_formatter>(pattern, spdlog::pattern_time_type::utc));
  }
  void set_formatter(std::unique_ptr<spdlog::formatter> formatter) override {
    formatter_ = std::move(formatter);
  }

 private:
  LineSink& sink_;
  std::unique_ptr<spdlog::formatter> formatter_;
};

}  // namespace

std::optional<LogFormat> ReadLogFormat(std::string_view word) {
  if (word == "text") return LogFormat::kText;
  if (word == "json") return LogFormat::kJson;
  return {};
}

bool LogValue::blank() const {
  if (const auto* text = std::get_if<std::string_view>(&value_)) return text->empty();
  if (const auto* number = std::get_if<int64_t>(&value_)) return *number == 0;
  if (const auto* number = std::get_if<uint64_t>(&value_)) return *number == 0;
  return false;
}

void LogValue::AppendText(std::string& out) const {
  if (const auto* text = std::get_if<std::string_view>(&value_)) {
    AppendOneLine(out, *text);
  } else if (const auto* counters = std::get_if<const Counters*>(&value_)) {
    out += (*counters)->Text();
  } else {
    AppendJson(out);
  }
}

void LogValue::AppendJson(std::string& out) const {
  if (const auto* text = std::get_if<std::string_view>(&value_)) {
    AppendQuoted(out, *text);
  } else if (const auto* counters = std::get_if<const Counters*>(&value_)) {
    char before = '{';
    for (const auto& [name, count] : (*counters)->All()) {
      out.append(1, std::exchange(before, ',')).append("\"").append(name).append("\":");
      out += std::to_string(count);
    }
    out += '}';
  } else if (const auto* number = std::get_if<int64_t>(&value_)) {
    out += std::to_string(*number);
  } else {
    out += std::to_string(std::get<uint64_t>(value_));
  }
}

// Uses spdlog without its registry, threads and clock: the logger and the sink are our own, and each message
// carries its time.
struct Log::Writer {
  Writer(Scheduler& writer_clock, LineSink& sink, LogFormat format)
      : clock(writer_clock), logger("burlfall", std::make_shared<SpdlogSink>(sink)) {
    logger.set_pattern(format == LogFormat::kJson ? R"({%v,"level":"%l","t":%E%e})" : "burlfall: %v",
                       spdlog::pattern_time_type::utc);
    // The default handler would write to standard error and may block.
    logger.set_error_handler([](const std::string&) {});
  }
  void Write(LogLevel level, std::string_view text) {
    const auto now =
        std::chrono::duration_cast<spdlog::log_clock::duration>(std::chrono::microseconds(clock.Now()));
    logger.log(spdlog::log_clock::time_point(now), spdlog::source_loc{}, LevelOf(level),
               spdlog::string_view_t(text.data(), text.size()));
  }

  Scheduler& clock;
  spdlog::logger logger;
};

Log::Log(Scheduler& clock, LineSink& sink, LogFormat format, Counters& counters)
    : sink_(sink),
      counters_(counters),
      format_(format),
      writer_(std::make_unique<Writer>(clock, sink, format)),
      buffered_(clock) {
  flush_task_ = FlushBuffered();
  flush_task_.Start();
}

Log::~Log() = default;

void Log::WriteEvent(const LogEvent& event, std::span<const LogValue> values) {
  const uint64_t dropped_before = sink_.dropped();
  writer_->Write(event.level, format_ == LogFormat::kJson ? JsonOf(event, values) : TextOf(event, values));
  const uint64_t lost = sink_.dropped() - dropped_before;
  unreported_ += lost;
  counters_.log_dropped += lost;
  if (sink_.has_buffered()) {
    buffered_.Notify();
  } else if (unreported_ > 0 && lost == 0) {
    ReportDropped();
  }
}

void Log::ReportDropped() { Emit<"log_dropped">(std::exchange(unreported_, 0)); }

// Writes buffered lines and reports dropped ones as soon as there is room, not only with the next event.
Task<> Log::FlushBuffered() {
  while (true) {
    co_await buffered_.Wait();
    while (sink_.has_buffered()) {
      co_await buffered_.Wait(buffered_.scheduler().Now() + kRetryInterval);
      const LineSink::Result result = sink_.Flush();
      if (result == LineSink::Result::kWritten && unreported_ > 0) ReportDropped();
      if (result == LineSink::Result::kFailed) break;  // the output can't be written any more
    }
  }
}

bool Log::Finish(Micros timeout) {
  const Micros deadline = buffered_.scheduler().Now() + timeout;
  if (!sink_.Drain(timeout)) return false;
  if (unreported_ > 0) ReportDropped();
  return sink_.Drain(std::max<Micros>(0, deadline - buffered_.scheduler().Now()));
}

}  // namespace burlfall
