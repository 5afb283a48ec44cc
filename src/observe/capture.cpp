#include "observe/capture.h"

#include <algorithm>
#include <charconv>
#include <system_error>
#include <utility>

namespace burlfall {
namespace {

constexpr size_t kKb = 1024;
constexpr size_t kSegmentCount = 8;
constexpr size_t kMaxTextBytes = 64;          // bytes of each name that a client sent
constexpr size_t kDumpChunkBytes = 16 * kKb;  // bytes formatted before other tasks run
constexpr Micros kDumpRetryDelay = 5 * kMs;   // before the next try when standard error is full
constexpr Micros kWriteInterval = 100 * kMs;
constexpr size_t kMaxPendingBytes = 64 * kKb;
constexpr Micros kRetryDelay = 1 * kSecond;  // after a write error, or when the module's state does not fit
constexpr std::string_view kNoTenant = "-";
constexpr std::string_view kFileSuffix = ".jsonl";

}  // namespace

Capture::Capture(Machine& machine, const CaptureSettings& settings, const Config& config,
                 const ServerNames& names, State state, Log& log, Counters& counters)
    : scheduler_(machine.scheduler()),
      files_(machine.files()),
      settings_(settings),
      config_(config),
      names_(names),
      state_(std::move(state)),
      log_(log),
      counters_(counters),
      file_prefix_("capture-"),
      tick_(scheduler_),
      dump_tick_(scheduler_) {
  // Several balancers may share the folder, so the balancer's name is part of the file name.
  for (char c : config.name) {
    bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_';
    file_prefix_ += plain ? c : '_';
  }
  file_prefix_ += '-';
  if (to_files()) {
    pending_.reserve(2 * kMaxPendingBytes);
  } else {
    for (size_t i = 0; i <= kSegmentCount; ++i) {
      free_segments_.emplace_back().reserve(settings_.memory_kb * kKb / kSegmentCount + kKb);
    }
  }
}

void Capture::Start() {
  if (!to_files()) return;
  writing_ = WriteFiles();
  writing_.Start();
}

// ---- Recorded events -------------------------------------------------------------------------------------

void Capture::OnList(Micros now, const meadowslip::BackendList& list) {
  Record record;
  record.kind = Record::Kind::kList;
  record.at = now;
  record.list = names_.version();
  record.list_kind = list.kind;
  for (const meadowslip::BackendEntry& e : list.entries) {
    record.servers.push_back({e, names_.NameOf(e.id)});
  }
  RecordEvent(record);
}

void Capture::OnQuery(Micros now, const meadowslip::Request& request, const Labels& labels) {
  Record record;
  record.kind = Record::Kind::kQuery;
  record.at = now;
  record.request = request;
  AddNames(record, labels);
  RecordEvent(record);
}

void Capture::OnResult(Micros now, const meadowslip::AttemptResult& result) {
  Record record;
  record.kind = Record::Kind::kResult;
  record.at = now;
  record.result = result;
  RecordEvent(record);
}

void Capture::OnClientLeft(Micros now, meadowslip::RequestId id) {
  Record record;
  record.kind = Record::Kind::kLeft;
  record.at = now;
  record.request.id = id;
  RecordEvent(record);
}

void Capture::OnStream(Micros now, meadowslip::RequestId id, int attempt) {
  Record record;
  record.kind = Record::Kind::kStream;
  record.at = now;
  record.request.id = id;
  record.result.attempt = attempt;
  RecordEvent(record);
}

void Capture::OnTimer(Micros now, uint64_t timer) {
  Record record;
  record.kind = Record::Kind::kTimer;
  record.at = now;
  record.timer = timer;
  RecordEvent(record);
}

void Capture::OnDecision(Record::Choice choice, meadowslip::RequestId id, const meadowslip::Request* request,
                         const Labels* labels, meadowslip::BackendId backend, int attempt, Micros span) {
  if (!open_) return;
  Record record;
  record.kind = Record::Kind::kDecision;
  record.at = now_;
  record.choice = choice;
  record.list = names_.version();
  if (request != nullptr) {
    record.request = *request;
    AddNames(record, *labels);
  } else {
    record.request.request_class = record.request.tenant = -1;
  }
  record.request.id = id;
  record.backend = backend;
  if (choice == Record::Choice::kSend) record.backend_name = names_.NameOf(backend);
  record.result.attempt = attempt;
  record.span = span;
  Append(record);
}

// Records the names as the client sent them. A tenant's name is left out when the settings have it at the
// number that the module received.
void Capture::AddNames(Record& record, const Labels& labels) const {
  if (labels.trace != nullptr) record.trace = std::string_view(*labels.trace).substr(0, kMaxTextBytes);
  record.class_name = std::string_view(labels.unknown_class).substr(0, kMaxTextBytes);
  const auto& tenants = config_.settings.tenants;
  const auto no = static_cast<size_t>(record.request.tenant);
  if (labels.tenant == nullptr || labels.tenant->empty()) {
    record.tenant = kNoTenant;
  } else if (no >= tenants.size() || *labels.tenant != tenants[no].name) {
    record.tenant = std::string_view(*labels.tenant).substr(0, kMaxTextBytes);
  }
}

// ---- The ring --------------------------------------------------------------------------------------------

// A new segment begins only here, between two events, because it starts with the module's current state.
void Capture::RecordEvent(const Record& record) {
  now_ = record.at;
  if (!open_ && (now_ < paused_until_ || !Begin(now_))) {
    ++counters_.capture_dropped;
    return;
  }
  if (to_files()) {
    const size_t before = pending_.size();
    Append(record);
    const size_t max_bytes = settings_.file_kb * kKb;
    if (file_bytes_ + pending_.size() <= max_bytes - max_bytes / 16)
      return;  // the last sixteenth is for the decisions
    pending_.resize(before);
  } else if (segments_.back().size() < std::max(settings_.memory_kb * kKb / kSegmentCount, 2 * head_bytes_)) {
    return Append(record);
  }
  if (Begin(now_)) {
    Append(record);
  } else {
    ++counters_.capture_dropped;
  }
}

void Capture::Append(const Record& record) {
  if (to_files()) return AppendJson(pending_, record, config_.settings);
  std::string& segment = segments_.back();
  const size_t before = segment.size();
  AppendBytes(segment, last_at_, record);
  total_bytes_ += segment.size() - before;
  while (total_bytes_ > settings_.memory_kb * kKb && segments_.size() > 1) DropOldestSegment();
  if (total_bytes_ > settings_.memory_kb * kKb)
    Pause(now_);  // a single event and the state before it exceed the limit
}

bool Capture::Begin(Micros now) {
  Record start;
  start.kind = Record::Kind::kStart;
  start.at = now;
  start.balancer = config_.name;
  start.version = BURLFALL_VERSION;
  start.seed = config_.seed;
  start.settings = config_.settings_json;
  Record checkpoint;
  checkpoint.kind = Record::Kind::kCheckpoint;
  checkpoint.at = now;
  checkpoint.list = names_.version();
  for (const auto& [id, name] : names_.AllNames()) {
    Record::Server server;
    server.entry.id = id;
    server.name = name;
    checkpoint.servers.push_back(server);
  }
  const std::string state = state_();
  checkpoint.state = state;
  open_ = to_files() ? BeginFile(start, checkpoint) : BeginSegment(start, checkpoint);
  if (!open_) Pause(now);
  return open_;
}

// Drops all segments: records after a gap can't be replayed, so recording resumes with a new segment.
void Capture::Pause(Micros now) {
  open_ = false;
  paused_until_ = now + kRetryDelay;
  while (!segments_.empty()) DropOldestSegment();
}

void Capture::DropOldestSegment() {
  total_bytes_ -= segments_.front().size();
  if (free_segments_.size() <= kSegmentCount) {
    segments_.front().clear();
    free_segments_.push_back(std::move(segments_.front()));
  }
  segments_.pop_front();
}

bool Capture::BeginSegment(const Record& start, const Record& checkpoint) {
  if (free_segments_.empty()) DropOldestSegment();
  segments_.push_back(std::move(free_segments_.back()));
  free_segments_.pop_back();
  last_at_ = 0;
  AppendBytes(segments_.back(), last_at_, start);
  AppendBytes(segments_.back(), last_at_, checkpoint);
  head_bytes_ = segments_.back().size();
  total_bytes_ += head_bytes_;
  while (total_bytes_ > settings_.memory_kb * kKb && segments_.size() > 1) DropOldestSegment();
  return head_bytes_ <= settings_.memory_kb * kKb / 2;
}

// ---- The dump --------------------------------------------------------------------------------------------

void Capture::Dump() {
  if (to_files()) {
    WritePending();
  } else if (!dumping_.Done()) {
    log_.Emit<"capture_busy">();
  } else {
    dump_.assign(segments_.begin(), segments_.end());  // a copy, because recording continues
    dump_segment_ = dump_offset_ = 0;
    dump_at_ = 0;
    dumping_ = WriteDump();
    dumping_.Start();
  }
}

Task<> Capture::WriteDump() {
  while (true) {
    const Step step = DumpStep();
    if (step == Step::kDone) break;
    const Micros now = scheduler_.Now();
    co_await dump_tick_.Wait(step == Step::kLater ? now + kDumpRetryDelay : now);  // lets other tasks run
  }
}

// Formats one chunk of complete lines and writes it to standard error.
Capture::Step Capture::DumpStep() {
  while (dump_text_.size() < kDumpChunkBytes && dump_segment_ < dump_.size()) {
    std::string_view left = std::string_view(dump_[dump_segment_]).substr(dump_offset_);
    if (left.empty()) {
      dump_[dump_segment_++] = std::string();
      dump_offset_ = 0;
      dump_at_ = 0;
      continue;
    }
    const size_t before = left.size();
    const Record record = TakeBytes(left, dump_at_);
    AppendJson(dump_text_, record, config_.settings);
    dump_offset_ += before - left.size();
  }
  const LineSink::Result result =
      dump_text_.empty() ? LineSink::Result::kWritten : log_.sink().TryWrite(dump_text_);
  if (result == LineSink::Result::kNoRoom) return Step::kLater;
  dump_text_.clear();
  if (result == LineSink::Result::kWritten && dump_segment_ < dump_.size()) return Step::kMore;
  dump_ = std::vector<std::string>();
  dump_text_ = std::string();
  return Step::kDone;
}

void Capture::Finish(Micros timeout) {
  if (to_files()) WritePending();
  const Micros deadline = scheduler_.Now() + timeout;
  while (!dump_.empty() && scheduler_.Now() < deadline) {
    if (DumpStep() == Step::kLater) log_.sink().AwaitRoom(20 * kMs);
  }
}

// ---- Files -----------------------------------------------------------------------------------------------

Task<> Capture::WriteFiles() {
  while (true) {
    co_await tick_.Wait(scheduler_.Now() + kWriteInterval);
    WritePending();
  }
}

std::string Capture::FileName(uint64_t number) const {
  std::string digits = std::to_string(number);
  if (digits.size() < 6) digits.insert(0, 6 - digits.size(), '0');
  return settings_.dir + "/" + file_prefix_ + digits + std::string(kFileSuffix);
}

std::vector<uint64_t> Capture::FileNumbers() const {
  std::vector<uint64_t> numbers;
  for (const std::string& name : files_.List(settings_.dir)) {
    if (!name.starts_with(file_prefix_) || !name.ends_with(kFileSuffix)) continue;
    uint64_t number = 0;
    const char* last = name.data() + name.size() - kFileSuffix.size();
    auto [stop, wrong] = std::from_chars(name.data() + file_prefix_.size(), last, number);
    if (wrong == std::errc() && stop == last) numbers.push_back(number);
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

// Files of an earlier start are removed only when the ring reaches them: the newest of them may show why the
// process ended.
bool Capture::BeginFile(const Record& start, const Record& checkpoint) {
  if (file_ && !WritePending()) return false;
  std::string head;
  AppendJson(head, start, config_.settings);
  AppendJson(head, checkpoint, config_.settings);
  if (head.size() > settings_.file_kb * kKb / 2) return false;  // existing files are not removed
  files_.MakeFolder(settings_.dir);
  std::vector<uint64_t> numbers = FileNumbers();
  file_number_ = std::max(file_number_, numbers.empty() ? 0 : numbers.back()) + 1;
  for (size_t i = 0; i + settings_.files <= numbers.size(); ++i) {
    files_.Remove(FileName(numbers[i]));
  }
  const std::string name = FileName(file_number_);
  std::string why;
  file_ = files_.Write(name, Files::Open::kNew, why);
  if (!file_) {
    DiskError(name, why);
    return false;
  }
  file_bytes_ = 0;
  pending_ = std::move(head);
  return true;
}

bool Capture::WritePending() {
  std::string_view left = pending_;
  if (file_ && file_->Write(left) != Io::kSome) {
    DiskError(FileName(file_number_), file_->ErrorText());
    return false;
  }
  if (file_ && !pending_.empty()) disk_error_logged_ = false;  // a later error is logged again
  file_bytes_ += pending_.size();
  pending_.clear();
  return true;
}

// Closes the file, whose last line may be truncated. The next file begins with the module's state.
void Capture::DiskError(const std::string& what, const std::string& why) {
  ++counters_.capture_errors;
  if (!std::exchange(disk_error_logged_, true)) {
    log_.Emit<"capture_disk_error">(what, why);
  }
  file_.reset();
  pending_.clear();
  Pause(scheduler_.Now());
}

}  // namespace burlfall
