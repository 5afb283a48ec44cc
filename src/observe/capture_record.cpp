#include "observe/capture_record.h"

#include <simdjson.h>

#include <algorithm>
#include <array>
#include <bit>
#include <charconv>
#include <cmath>
#include <limits>
#include <type_traits>

#include "codec/base64.h"

namespace burlfall {
namespace {

using meadowslip::Micros;
using simdjson::dom::element;

constexpr std::array<std::string_view, 9> kKinds = {"start", "checkpoint", "list",     "query", "result",
                                                    "left",  "timer",      "decision", "stream"};
constexpr std::array<std::string_view, 5> kChoices = {"send", "refuse", "fail", "cancel", "ask"};
constexpr std::array<std::string_view, 4> kListKinds = {"changes", "full", "cached", "failed"};
constexpr std::array<std::string_view, 3> kStates = {"Gone", "Ready", "Terminating"};
constexpr std::array<std::string_view, 8> kOutcomes = {
    "ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "moot"};
constexpr int kMaxNumber = 65535;  // largest number of a zone, cell or kind of machine

// ---- Field lists, shared by all formats ------------------------------------------------------------------

template <typename Form>
void ServerFields(Form& f, Record::Server& s, bool name_only) {
  f.Text("id", s.name);
  f.Number("backend", s.entry.id);
  if (name_only) return;
  f.Word("state", s.entry.state, kStates);
  f.Small("zone", s.entry.zone);
  f.Small("cell", s.entry.cell);
  f.Small("machine", s.entry.kind);
  f.Number("started_us", s.entry.started_at);
  f.Number("weight", s.entry.size);
}

template <typename Form>
void QueryNames(Form& f, Record& r) {
  f.Text("trace", r.trace);
  f.Text("class", r.class_name);
  f.Text("tenant", r.tenant);
  f.Number("class_no", r.request.request_class);
  f.Number("tenant_no", r.request.tenant);
}

// A capture without a format number has format 1, which did not record it.
template <typename Form>
void FormatField(Form& f, Record& r) {
  constexpr const char* kKey = "format";
  if constexpr (requires { f.Has(kKey); }) {
    r.format = 1;
    if (!f.Has(kKey)) return;
  }
  f.Number(kKey, r.format);
}

template <typename Form>
void Fields(Form& f, Record& r) {
  switch (r.kind) {
    case Record::Kind::kStart:
      f.Text("balancer", r.balancer);
      f.Text("version", r.version);
      FormatField(f, r);
      f.Hex("seed", r.seed);
      f.Json("settings", r.settings);
      break;
    case Record::Kind::kCheckpoint:
      f.Number("list", r.list);
      f.Servers("servers", r.servers, true);
      f.Bytes("state", r.state);
      break;
    case Record::Kind::kList:
      f.Number("list", r.list);
      f.Word("how", r.list_kind, kListKinds);
      f.Servers("servers", r.servers, false);
      break;
    case Record::Kind::kQuery:
      QueryNames(f, r);
      f.Number("id", r.request.id);
      f.Number("give_up_us", r.request.give_up_at);
      f.Flag("second_try", r.request.client_retry);
      f.Number("estimate_us", r.request.estimate);
      break;
    case Record::Kind::kResult:
      f.Number("id", r.result.id);
      f.Number("attempt", r.result.attempt);
      f.Word("outcome", r.result.outcome, kOutcomes);
      f.Flag("closed", r.result.closed);
      f.Number("backend", r.result.backend);
      f.Number("elapsed_us", r.result.elapsed);
      break;
    case Record::Kind::kStream:
      f.Number("id", r.request.id);
      f.Number("attempt", r.result.attempt);
      break;
    case Record::Kind::kLeft:
      f.Number("id", r.request.id);
      break;
    case Record::Kind::kTimer:
      f.Number("timer", r.timer);
      break;
    case Record::Kind::kDecision:
      QueryNames(f, r);
      f.Number("list", r.list);
      f.Text("chose", r.backend_name);
      f.Word("did", r.choice, kChoices);
      f.Number("id", r.request.id);
      f.Number("backend", r.backend);
      f.Number("attempt", r.result.attempt);
      f.Number("span_us", r.span);
      break;
  }
}

// ---- Binary format ---------------------------------------------------------------------------------------

struct BytesOut {
  std::string& out;

  void Bits(uint64_t value) {
    for (; value >= 0x80; value >>= 7) out += static_cast<char>(value | 0x80);
    out += static_cast<char>(value);
  }
  template <typename T>
  void Number(const char*, T value) {
    if constexpr (std::is_floating_point_v<T>) {
      Bits(std::bit_cast<uint64_t>(static_cast<double>(value)));
    } else {
      const auto wide = static_cast<int64_t>(value);
      Bits(static_cast<uint64_t>(wide) << 1 ^ static_cast<uint64_t>(wide >> 63));
    }
  }
  void Small(const char* key, int value) { Number(key, value); }
  void Hex(const char*, uint64_t value) { Bits(value); }
  void Flag(const char*, bool value) { out += value ? '\1' : '\0'; }
  void Text(const char*, std::string_view text) {
    Bits(text.size());
    out += text;
  }
  void Json(const char* key, std::string_view text) { Text(key, text); }
  void Bytes(const char* key, std::string_view text) { Text(key, text); }
  template <typename Enum, size_t n>
  void Word(const char*, Enum value, const std::array<std::string_view, n>&) {
    out += static_cast<char>(value);
  }
  void Servers(const char*, std::vector<Record::Server>& all, bool names_only) {
    Bits(all.size());
    for (Record::Server& s : all) ServerFields(*this, s, names_only);
  }
};

struct BytesIn {
  std::string_view& in;

  uint64_t Byte() {
    const auto byte = static_cast<unsigned char>(in.front());
    in.remove_prefix(1);
    return byte;
  }
  uint64_t Bits() {
    uint64_t value = 0;
    for (int shift = 0;; shift += 7) {
      const uint64_t byte = Byte();
      value |= (byte & 0x7f) << shift;
      if (byte < 0x80) return value;
    }
  }
  template <typename T>
  void Number(const char*, T& value) {
    const uint64_t bits = Bits();
    if constexpr (std::is_floating_point_v<T>) {
      value = std::bit_cast<double>(bits);
    } else {
      value = static_cast<T>(static_cast<int64_t>(bits >> 1 ^ (0 - (bits & 1))));
    }
  }
  void Small(const char* key, int& value) { Number(key, value); }
  void Hex(const char*, uint64_t& value) { value = Bits(); }
  void Flag(const char*, bool& value) { value = Byte() != 0; }
  void Text(const char*, std::string_view& text) {
    const size_t n = Bits();
    text = in.substr(0, n);
    in.remove_prefix(n);
  }
  void Json(const char* key, std::string_view& text) { Text(key, text); }
  void Bytes(const char* key, std::string_view& text) { Text(key, text); }
  template <typename Enum, size_t n>
  void Word(const char*, Enum& value, const std::array<std::string_view, n>&) {
    value = static_cast<Enum>(Byte());
  }
  void Servers(const char*, std::vector<Record::Server>& all, bool names_only) {
    all.resize(Bits());
    for (Record::Server& s : all) ServerFields(*this, s, names_only);
  }
};

// ---- JSON lines ------------------------------------------------------------------------------------------

struct JsonOut {
  std::string& out;

  void Key(const char* key) {
    if (out.back() != '{') out += ',';
    out.append("\"").append(key).append("\":");
  }
  template <typename T>
  void Number(const char* key, T value) {
    char digits[32];
    Key(key);
    out.append(digits, std::to_chars(digits, digits + sizeof digits, value).ptr);
  }
  void Small(const char* key, int value) { Number(key, value); }
  void Hex(const char* key, uint64_t value) {
    char digits[17];
    std::string_view text(digits,
                          static_cast<size_t>(std::to_chars(digits, digits + 16, value, 16).ptr - digits));
    Text(key, text);
  }
  void Flag(const char* key, bool value) {
    Key(key);
    out += value ? "true" : "false";
  }
  // Always gives valid JSON on one line, whatever clients send. A byte that is not printable ASCII is written
  // as the code point of the same number.
  void Text(const char* key, std::string_view text) {
    constexpr char kHex[] = "0123456789abcdef";
    Key(key);
    out += '"';
    for (char c : text) {
      const auto byte = static_cast<unsigned char>(c);
      if (byte < ' ' || byte > 126) {
        out.append("\\u00").append(1, kHex[byte >> 4]).append(1, kHex[byte & 15]);
      } else {
        if (c == '"' || c == '\\') out += '\\';
        out += c;
      }
    }
    out += '"';
  }
  void Json(const char* key, std::string_view text) {
    Key(key);
    out += text;
  }
  void Bytes(const char* key, std::string_view text) { Text(key, Base64Url(text)); }
  template <typename Enum, size_t n>
  void Word(const char* key, Enum value, const std::array<std::string_view, n>& words) {
    Text(key, words[static_cast<size_t>(value)]);
  }
  void Servers(const char* key, std::vector<Record::Server>& all, bool names_only) {
    Key(key);
    out += '[';
    for (Record::Server& s : all) {
      out += out.back() == '[' ? "{" : ",{";
      ServerFields(*this, s, names_only);
      out += '}';
    }
    out += ']';
  }
};

struct JsonIn {
  simdjson::dom::object in;
  std::string& settings_buffer;
  std::string& state_buffer;

  bool Has(const char* key) { return in[key].error() == simdjson::SUCCESS; }
  template <typename T>
  T Get(const char* key) {
    T value{};
    if (in[key].get(value)) throw BadRecord(std::string("no \"") + key + "\", or one that can't be");
    return value;
  }
  template <typename T>
  void Number(const char* key, T& value) {
    if constexpr (std::is_floating_point_v<T>) {
      value = Get<double>(key);
    } else if constexpr (std::is_same_v<T, uint64_t>) {
      value = Get<uint64_t>(key);
    } else {
      const int64_t wide = Get<int64_t>(key);
      value = static_cast<T>(wide);
      if (static_cast<int64_t>(value) != wide) throw BadRecord(std::string(key) + ": out of range");
    }
  }
  void Small(const char* key, int& value) {
    Number(key, value);
    if (value < 0 || value > kMaxNumber) throw BadRecord(std::string(key) + ": out of range");
  }
  void Hex(const char* key, uint64_t& value) {
    const auto text = Get<std::string_view>(key);
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (error != std::errc() || end != text.data() + text.size()) {
      throw BadRecord(std::string(key) + ": no hexadecimal number");
    }
  }
  void Flag(const char* key, bool& value) { value = Get<bool>(key); }
  void Text(const char* key, std::string_view& text) { text = Get<std::string_view>(key); }
  void Json(const char* key, std::string_view& text) {
    text = settings_buffer = simdjson::minify(Get<element>(key));
  }
  void Bytes(const char* key, std::string_view& text) {
    auto bytes = FromBase64Url(Get<std::string_view>(key));
    if (!bytes) throw BadRecord(std::string(key) + ": not base64url");
    text = state_buffer = std::move(*bytes);
  }
  template <typename Enum, size_t n>
  void Word(const char* key, Enum& value, const std::array<std::string_view, n>& words) {
    auto it = std::find(words.begin(), words.end(), Get<std::string_view>(key));
    if (it == words.end()) throw BadRecord(std::string(key) + ": unknown word");
    value = static_cast<Enum>(it - words.begin());
  }
  void Servers(const char* key, std::vector<Record::Server>& all, bool names_only) {
    for (element e : Get<simdjson::dom::array>(key)) {
      simdjson::dom::object one;
      if (e.get(one)) throw BadRecord(std::string(key) + ": no objects");
      JsonIn part{one, settings_buffer, state_buffer};
      ServerFields(part, all.emplace_back(), names_only);
    }
  }
};

template <typename Named>
std::string_view NameAt(const std::vector<Named>& all, int at) {
  return at >= 0 && at < std::ssize(all) ? std::string_view(all[static_cast<size_t>(at)].name)
                                         : std::string_view();
}

}  // namespace

void AppendBytes(std::string& out, Micros& last_at, const Record& record) {
  BytesOut form{out};
  out += static_cast<char>(record.kind);
  form.Number("", record.at - last_at);
  last_at = record.at;
  Fields(form, const_cast<Record&>(record));  // BytesOut does not modify the record
}

Record TakeBytes(std::string_view& in, Micros& last_at) {
  BytesIn form{in};
  Record record;
  record.kind = static_cast<Record::Kind>(form.Byte());
  form.Number("", record.at);
  record.at = last_at += record.at;
  Fields(form, record);
  return record;
}

void AppendJson(std::string& out, Record record, const meadowslip::Settings& settings) {
  if (record.class_name.empty()) record.class_name = NameAt(settings.classes, record.request.request_class);
  if (record.tenant.empty()) record.tenant = NameAt(settings.tenants, record.request.tenant);
  JsonOut form{out};
  out += '{';
  form.Number("t", record.at / 1000);
  form.Number("us", record.at % 1000);
  form.Word("kind", record.kind, kKinds);
  Fields(form, record);
  out += "}\n";
}

struct RecordReader::Parts {
  simdjson::dom::parser parser;
  simdjson::padded_string line;
  std::string settings;
  std::string state;
};

RecordReader::RecordReader() : parts_(std::make_unique<Parts>()) {}
RecordReader::~RecordReader() = default;

Record RecordReader::Read(std::string_view line) {
  parts_->line = simdjson::padded_string(line);
  simdjson::dom::object root;
  if (parts_->parser.parse(parts_->line).get(root)) throw BadRecord("no JSON object", BadRecord::Why::kJson);
  JsonIn form{root, parts_->settings, parts_->state};
  Record record;
  std::string_view kind;
  if (root["kind"].get(kind)) {
    const bool event = root["event"].get(kind) == simdjson::SUCCESS;
    throw BadRecord("a record without a kind", event ? BadRecord::Why::kEvent : BadRecord::Why::kKind);
  }
  auto it = std::find(kKinds.begin(), kKinds.end(), kind);
  if (it == kKinds.end())
    throw BadRecord("unknown record kind " + std::string(kind.substr(0, 40)), BadRecord::Why::kKind);
  record.kind = static_cast<Record::Kind>(it - kKinds.begin());
  const auto ms = form.Get<int64_t>("t"), us = form.Get<int64_t>("us");
  if (ms < 0 || ms > int64_t{1} << 50 || us < 0 || us > 999) throw BadRecord("a time that can't be");
  record.at = ms * 1000 + us;
  Fields(form, record);
  return record;
}

}  // namespace burlfall
