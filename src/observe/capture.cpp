#include "observe/capture.h"

#include <algorithm>
#include <charconv>
#include <system_error>
#include <utility>

namespace burlfall {
namespace {

constexpr size_t kKb = 1024;
constexpr size_t kSegments = 8;
constexpr size_t kMostText = 64;         // of what a client made up
constexpr size_t kDumpPiece = 16 * kKb;  // formatted in one turn
constexpr Micros kDumpPause = 5 * kMs;   // where standard error is full
constexpr Micros kWriteEvery = 100 * kMs;
constexpr size_t kMostPending = 64 * kKb;
constexpr Micros kPause = 1 * kSecond;  // after an error, and where the module's state has no room
constexpr std::string_view kNobody = "-";
constexpr std::string_view kEnding = ".jsonl";

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
      prefix_("capture-"),
      tick_(scheduler_),
      dump_tick_(scheduler_) {
  for (char c : config.name) {  // balancers may share the folder
    bool plain = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_';
    prefix_ += plain ? c : '_';
  }
  prefix_ += '-';
  if (to_files()) {
    pending_.reserve(2 * kMostPending);
  } else {
    for (size_t i = 0; i <= kSegments; ++i) {
      spare_.emplace_back().reserve(settings_.memory_kb * kKb / kSegments + kKb);
    }
  }
}

void Capture::Start() {
  if (!to_files()) return;
  writing_ = WriteFiles();
  writing_.Start();
}

// ---- What is recorded -------------------------------------------------------------------------------------

void Capture::OnList(Micros now, const meadowslip::BackendList& list) {
  Record record;
  record.kind = Record::Kind::kList;
  record.at = now;
  record.list = names_.version();
  record.how = list.kind;
  for (const meadowslip::BackendEntry& e : list.entries) {
    record.servers.push_back({e, names_.NameOf(e.id)});
  }
  Enter(record);
}

void Capture::OnQuery(Micros now, const meadowslip::Request& request, const Labels& labels) {
  Record record;
  record.kind = Record::Kind::kQuery;
  record.at = now;
  record.request = request;
  Name(record, labels);
  Enter(record);
}

void Capture::OnResult(Micros now, const meadowslip::AttemptResult& result) {
  Record record;
  record.kind = Record::Kind::kResult;
  record.at = now;
  record.result = result;
  Enter(record);
}

void Capture::OnClientLeft(Micros now, meadowslip::RequestId id) {
  Record record;
  record.kind = Record::Kind::kLeft;
  record.at = now;
  record.request.id = id;
  Enter(record);
}

void Capture::OnStream(Micros now, meadowslip::RequestId id, int attempt) {
  Record record;
  record.kind = Record::Kind::kStream;
  record.at = now;
  record.request.id = id;
  record.result.attempt = attempt;
  Enter(record);
}

void Capture::OnTimer(Micros now, uint64_t timer) {
  Record record;
  record.kind = Record::Kind::kTimer;
  record.at = now;
  record.timer = timer;
  Enter(record);
}

void Capture::Chose(Record::Choice did, meadowslip::RequestId id, const meadowslip::Request* request,
                    const Labels* labels, meadowslip::BackendId backend, int attempt, Micros span) {
  if (!open_) return;
  Record record;
  record.kind = Record::Kind::kDecision;
  record.at = now_;
  record.did = did;
  record.list = names_.version();
  if (request != nullptr) {
    record.request = *request;
    Name(record, *labels);
  } else {
    record.request.request_class = record.request.tenant = -1;
  }
  record.request.id = id;
  record.backend = backend;
  if (did == Record::Choice::kSend) record.chose = names_.NameOf(backend);
  record.result.attempt = attempt;
  record.span = span;
  Append(record);
}

// The names as they came, where the settings don't have them at the numbers that the module was told.
void Capture::Name(Record& record, const Labels& labels) const {
  if (labels.trace != nullptr) record.trace = std::string_view(*labels.trace).substr(0, kMostText);
  record.cls = std::string_view(labels.odd_class).substr(0, kMostText);
  const auto& tenants = config_.settings.tenants;
  const auto no = static_cast<size_t>(record.request.tenant);
  if (labels.tenant == nullptr || labels.tenant->empty()) {
    record.tenant = kNobody;
  } else if (no >= tenants.size() || *labels.tenant != tenants[no].name) {
    record.tenant = std::string_view(*labels.tenant).substr(0, kMostText);
  }
}

// ---- The ring --------------------------------------------------------------------------------------------

// A new segment begins only here, between two events: the state that it begins with is that of the module
// now.
void Capture::Enter(const Record& record) {
  now_ = record.at;
  if (!open_ && (now_ < paused_until_ || !Begin(now_))) {
    ++counters_.capture_dropped;
    return;
  }
  if (to_files()) {
    const size_t before = pending_.size();
    Append(record);
    const size_t most = settings_.file_kb * kKb;
    if (file_bytes_ + pending_.size() <= most - most / 16) return;  // the rest is for what is chosen
    pending_.resize(before);
  } else if (segments_.back().size() < std::max(settings_.memory_kb * kKb / kSegments, 2 * head_)) {
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
  total_ += segment.size() - before;
  while (total_ > settings_.memory_kb * kKb && segments_.size() > 1) DropFront();
  if (total_ > settings_.memory_kb * kKb) Pause(now_);  // one event alone, with the state before it
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

// Without records there is nothing that later ones could follow: a new segment begins where they go on.
void Capture::Pause(Micros now) {
  open_ = false;
  paused_until_ = now + kPause;
  while (!segments_.empty()) DropFront();
}

void Capture::DropFront() {
  total_ -= segments_.front().size();
  if (spare_.size() <= kSegments) {
    segments_.front().clear();
    spare_.push_back(std::move(segments_.front()));
  }
  segments_.pop_front();
}

bool Capture::BeginSegment(const Record& start, const Record& checkpoint) {
  if (spare_.empty()) DropFront();
  segments_.push_back(std::move(spare_.back()));
  spare_.pop_back();
  last_at_ = 0;
  AppendBytes(segments_.back(), last_at_, start);
  AppendBytes(segments_.back(), last_at_, checkpoint);
  head_ = segments_.back().size();
  total_ += head_;
  while (total_ > settings_.memory_kb * kKb && segments_.size() > 1) DropFront();
  return head_ <= settings_.memory_kb * kKb / 2;
}

// ---- The dump --------------------------------------------------------------------------------------------

void Capture::Dump() {
  if (to_files()) {
    WritePending();
  } else if (!dumping_.Done()) {
    log_.Tell<"capture_busy">();
  } else {
    dump_.assign(segments_.begin(), segments_.end());  // the ring goes on meanwhile
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
    co_await dump_tick_.Wait(step == Step::kLater ? now + kDumpPause : now);  // the others' turn
  }
}

// Formats a piece of whole lines and hands it on.
Capture::Step Capture::DumpStep() {
  while (dump_text_.size() < kDumpPiece && dump_segment_ < dump_.size()) {
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
  const Outlet::Taken taken = dump_text_.empty() ? Outlet::Taken::kYes : log_.outlet().Offer(dump_text_);
  if (taken == Outlet::Taken::kLater) return Step::kLater;
  dump_text_.clear();
  if (taken == Outlet::Taken::kYes && dump_segment_ < dump_.size()) return Step::kMore;
  dump_ = std::vector<std::string>();
  dump_text_ = std::string();
  return Step::kDone;
}

void Capture::Finish(Micros patience) {
  if (to_files()) WritePending();
  const Micros until = scheduler_.Now() + patience;
  while (!dump_.empty() && scheduler_.Now() < until) {
    if (DumpStep() == Step::kLater) log_.outlet().AwaitRoom(20 * kMs);
  }
}

// ---- Files -----------------------------------------------------------------------------------------------

Task<> Capture::WriteFiles() {
  while (true) {
    co_await tick_.Wait(scheduler_.Now() + kWriteEvery);
    WritePending();
  }
}

std::string Capture::FileName(uint64_t number) const {
  std::string digits = std::to_string(number);
  if (digits.size() < 6) digits.insert(0, 6 - digits.size(), '0');
  return settings_.dir + "/" + prefix_ + digits + std::string(kEnding);
}

std::vector<uint64_t> Capture::FileNumbers() const {
  std::vector<uint64_t> numbers;
  for (const std::string& name : files_.List(settings_.dir)) {
    if (!name.starts_with(prefix_) || !name.ends_with(kEnding)) continue;
    uint64_t number = 0;
    const char* last = name.data() + name.size() - kEnding.size();
    auto [stop, wrong] = std::from_chars(name.data() + prefix_.size(), last, number);
    if (wrong == std::errc() && stop == last) numbers.push_back(number);
  }
  std::sort(numbers.begin(), numbers.end());
  return numbers;
}

// The files of an earlier start stay until the ring comes round to them: the newest of them may be what is
// wanted.
bool Capture::BeginFile(const Record& start, const Record& checkpoint) {
  if (file_ && !WritePending()) return false;
  std::string head;
  AppendJson(head, start, config_.settings);
  AppendJson(head, checkpoint, config_.settings);
  if (head.size() > settings_.file_kb * kKb / 2) return false;  // and the files that are there stay
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
  if (file_ && !pending_.empty()) disk_told_ = false;  // the next trouble is another one
  file_bytes_ += pending_.size();
  pending_.clear();
  return true;
}

// The file ends here, maybe within a line; the next one begins with the module's state again.
void Capture::DiskError(const std::string& what, const std::string& why) {
  ++counters_.capture_errors;
  if (!std::exchange(disk_told_, true)) {
    log_.Tell<"capture_disk_error">(what, why);
  }
  file_.reset();
  pending_.clear();
  Pause(scheduler_.Now());
}

}  // namespace burlfall
