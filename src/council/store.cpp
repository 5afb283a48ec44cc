#include "council/store.h"

#include <algorithm>
#include <utility>

#include "consensus/wire.h"
#include "council/packing.h"

namespace burlfall::council {
namespace {

constexpr std::string_view kMagic = "bfd1";
constexpr char kVote = 'v', kSnapshot = 's', kLog = 'l';
constexpr size_t kHeaderBytes = kMagic.size() + 1 + 8 + 4;  // magic, kind, checksum, length of the payload
constexpr size_t kRecordHeaderBytes =
    4 + 4 + 8;  // length of the body, check of that length, checksum of the body
constexpr size_t kMaxNameBytes = 256;
constexpr size_t kMaxEntryBytes = 16 << 20;
constexpr size_t kMaxFileBytes = 1 << 30;

void AppendLength(std::string& to, size_t length) {
  for (int byte = 0; byte < 4; ++byte) to += static_cast<char>(length >> (8 * byte) & 0xff);
}

size_t ReadLength(std::string_view from) {
  size_t length = 0;
  for (size_t byte = 4; byte-- > 0;) length = length << 8 | static_cast<unsigned char>(from[byte]);
  return length;
}

// The length's complement, 32 bits.
size_t LengthCheck(size_t length) { return ~length & 0xffffffff; }

// The length has a check of its own, so that a flipped bit in it is not mistaken for an incomplete last
// record.
std::string EncodeRecord(const consensus::Entry& entry) {
  const std::string body = consensus::EncodeEntry(entry);
  std::string out;
  AppendLength(out, body.size());
  AppendLength(out, LengthCheck(body.size()));
  AppendChecksum(out, Checksum(body));
  return out += body;
}

bool AllZero(std::string_view bytes) {
  return std::ranges::all_of(bytes, [](char c) { return c == 0; });
}

}  // namespace

const char* NameOf(StoreFault fault) {
  switch (fault) {
    case StoreFault::kNone:
      return "none";
    case StoreFault::kUnusable:
      return "unusable";
    case StoreFault::kDamaged:
      return "damaged";
    case StoreFault::kOtherVoter:
      return "another voter's";
    case StoreFault::kMixedDisks:
      return "of two disks";
    case StoreFault::kMissing:
      return "missing";
  }
  return "";
}

std::string Store::AddHeader(char kind, std::string_view body) const {
  const std::string payload = ArrayWriter(3).Add(name_).Add(disk_).Add(body).ToBytes();
  std::string out(kMagic);
  out += kind;
  AppendChecksum(out, Checksum(payload));
  AppendLength(out, payload.size());
  return out += payload;
}

std::optional<std::string> Store::ReadBody(char kind, const std::string& path, const std::string& text,
                                           Opened& opened) {
  auto fail = [&](StoreFault fault, const std::string& reason) {
    opened.fault = fault;
    opened.reason = path + ": " + reason;
    return std::nullopt;
  };
  if (text.size() < kHeaderBytes || !text.starts_with(kMagic) || text[kMagic.size()] != kind)
    return fail(StoreFault::kDamaged, "its header is invalid");
  const size_t length = ReadLength(std::string_view(text).substr(kMagic.size() + 9));
  if (length > text.size() - kHeaderBytes) return fail(StoreFault::kDamaged, "it is truncated");
  const std::string_view payload = std::string_view(text).substr(kHeaderBytes, length);
  if (Checksum(payload) != ReadChecksum(std::string_view(text).substr(kMagic.size() + 1)))
    return fail(StoreFault::kDamaged, "its checksum is wrong");
  try {
    ArrayReader reader(payload);
    const std::string name = reader.Bytes(kMaxNameBytes);
    const uint64_t disk = reader.Number();
    std::string body = reader.Bytes(kMaxFileBytes);
    if (name != name_) return fail(StoreFault::kOtherVoter, "it belongs to voter '" + name + "'");
    if (disk_ != 0 && disk != disk_)
      return fail(StoreFault::kMixedDisks, "it names another disk than the vote file");
    disk_ = disk;
    if (kind == kLog) log_header_bytes_ = kHeaderBytes + length;
    return body;
  } catch (const FormatError&) {
    return fail(StoreFault::kDamaged, "it is malformed");
  }
}

Store::Opened Store::Open(Files& files, const std::string& folder, uint64_t new_disk) {
  Opened opened;
  if (!files.IsWritableFolder(folder, opened.reason)) {
    opened.fault = StoreFault::kUnusable;
    opened.reason = folder + ": " + opened.reason;
    disk_ = std::max<uint64_t>(new_disk, 1);
    return opened;
  }
  const std::optional<std::string> vote = files.Read(PathOf(".vote")),
                                   snapshot = files.Read(PathOf(".snapshot")),
                                   log = files.Read(PathOf(".log"));
  if (!vote && !snapshot && !log) {
    opened.empty = true;
    disk_ = std::max<uint64_t>(new_disk, 1);
    return opened;
  }
  if (!vote || !snapshot || !log) {
    opened.fault = StoreFault::kMissing;
    opened.reason = PathOf(!vote ? ".vote" : !snapshot ? ".snapshot" : ".log") + ": it is missing";
    disk_ = std::max<uint64_t>(new_disk, 1);
    return opened;
  }
  try {
    if (const auto body = ReadBody(kVote, PathOf(".vote"), *vote, opened)) {
      ArrayReader reader(*body);
      opened.state.term = reader.Number();
      const bool voted = reader.Number() == 1;
      consensus::VoterId id;
      id.name = reader.Bytes(kMaxNameBytes);
      id.disk = reader.Number();
      if (voted) opened.state.vote = id;
    }
    if (opened.fault == StoreFault::kNone) {
      if (const auto body = ReadBody(kSnapshot, PathOf(".snapshot"), *snapshot, opened)) {
        ArrayReader reader(*body);
        consensus::Snapshot& loaded = opened.state.snapshot;
        loaded.index = reader.Number();
        loaded.term = reader.Number();
        loaded.log_time = static_cast<Micros>(reader.Number());
        const auto voters = consensus::DecodeVoters(reader.Bytes(kMaxEntryBytes));
        if (!voters) throw FormatError{};
        loaded.voters = *voters;
        loaded.data = reader.Bytes(kMaxFileBytes);
      }
    }
  } catch (const FormatError&) {
    opened.fault = StoreFault::kDamaged;
    opened.reason = stem_ + ": malformed";
  }
  if (opened.fault == StoreFault::kNone && ReadBody(kLog, PathOf(".log"), *log, opened))
    ReadLog(*log, opened);
  if (disk_ == 0) disk_ = std::max<uint64_t>(new_disk, 1);
  return opened;
}

void Store::ReadLog(const std::string& text, Opened& opened) {
  auto fail = [&](const char* reason) {
    opened.fault = StoreFault::kDamaged;
    opened.reason = PathOf(".log") + ": " + reason;
  };
  std::string_view rest = std::string_view(text).substr(log_header_bytes_);
  uint64_t last = 0;
  while (!rest.empty()) {
    // Only zeros up to the end: the file system extended the file, but the data was not written.
    if (rest.size() < kRecordHeaderBytes || AllZero(rest)) break;
    const size_t length = ReadLength(rest);
    if (length > kMaxEntryBytes || ReadLength(rest.substr(4)) != LengthCheck(length))
      return fail("a record's length is wrong");
    if (rest.size() - kRecordHeaderBytes < length) break;
    const std::string_view body = rest.substr(kRecordHeaderBytes, length);
    if (Checksum(body) != ReadChecksum(rest.substr(8))) {
      // The last record may be only partly written (zeros at its end): then it was never flushed.
      if (AllZero(body.substr(length - std::min<size_t>(length, 16))) &&
          AllZero(rest.substr(kRecordHeaderBytes + length)))
        break;
      return fail("a record's checksum is wrong");
    }
    std::optional<consensus::Entry> entry = consensus::DecodeEntry(body);
    if (!entry || (last != 0 && entry->index != last + 1)) return fail("a record is out of order");
    last = entry->index;
    if (records_.empty()) first_index_ = entry->index;
    records_.emplace_back(rest.substr(0, kRecordHeaderBytes + length));
    opened.state.log.push_back(std::move(*entry));
    rest.remove_prefix(kRecordHeaderBytes + length);
  }
  opened.truncated_bytes = rest.size();
  log_bytes_ = text.size() - rest.size();
  log_exists_ = true;
  const consensus::Snapshot& snapshot = opened.state.snapshot;
  std::vector<consensus::Entry>& log_entries = opened.state.log;
  if (log_entries.empty()) return;
  if (log_entries.front().index > snapshot.index + 1) return fail("entries after the snapshot are missing");
  // The leader's snapshot replaced a log that conflicts with it, and power failed between the two file
  // writes.
  const uint64_t at = snapshot.index - log_entries.front().index;
  if (snapshot.index >= log_entries.front().index && at < log_entries.size() &&
      log_entries[at].term != snapshot.term)
    log_entries.clear();
  if (!log_entries.empty() && log_entries.back().index < snapshot.index) log_entries.clear();
  if (log_entries.empty()) {
    records_.clear();
    rewrite_log_ = true;
  }
}

DurableWrite Store::VoteFile(const consensus::DiskWrite::TermVote& term_and_vote) const {
  const consensus::VoterId vote = term_and_vote.vote.value_or(consensus::VoterId());
  const std::string body = ArrayWriter(4)
                               .Add(term_and_vote.term)
                               .Add(term_and_vote.vote ? 1 : 0)
                               .Add(vote.name)
                               .Add(vote.disk)
                               .ToBytes();
  return {PathOf(".vote"), {}, AddHeader(kVote, body)};
}

DurableWrite Store::SnapshotFile(const consensus::Snapshot& snapshot) const {
  const std::string body = ArrayWriter(5)
                               .Add(snapshot.index)
                               .Add(snapshot.term)
                               .Add(static_cast<uint64_t>(snapshot.log_time))
                               .Add(consensus::EncodeVoters(snapshot.voters))
                               .Add(snapshot.data)
                               .ToBytes();
  return {PathOf(".snapshot"), {}, AddHeader(kSnapshot, body)};
}

DurableWrite Store::LogFile() {
  DurableWrite write{PathOf(".log"), {}, AddHeader(kLog, "")};
  log_header_bytes_ = write.bytes.size();
  for (const std::string& record : records_) write.bytes += record;
  log_bytes_ = write.bytes.size();
  log_exists_ = true;
  return write;
}

std::vector<DurableWrite> Store::WriteAll(const consensus::PersistentState& state) {
  records_.clear();
  first_index_ = state.log.empty() ? 0 : state.log.front().index;
  for (const consensus::Entry& entry : state.log) records_.push_back(EncodeRecord(entry));
  return {SnapshotFile(state.snapshot), LogFile(), VoteFile({state.term, state.vote})};
}

std::vector<DurableWrite> Store::WriteNext(const consensus::DiskWrite& write) {
  std::vector<DurableWrite> out;
  if (write.term_vote) out.push_back(VoteFile(*write.term_vote));
  if (write.snapshot) out.push_back(SnapshotFile(*write.snapshot));
  // A new voter's first write creates all three files.
  const bool first = !log_exists_;
  if (first && !write.term_vote) out.push_back(VoteFile({}));
  if (first && !write.snapshot) out.push_back(SnapshotFile({}));
  bool rewrite = first || std::exchange(rewrite_log_, false);
  if (write.snapshot && write.keep_from > first_index_ && !records_.empty()) {
    const uint64_t drop = std::min<uint64_t>(write.keep_from - first_index_, records_.size());
    records_.erase(records_.begin(), records_.begin() + static_cast<std::ptrdiff_t>(drop));
    first_index_ += drop;
    rewrite = true;
  }
  std::string appended;
  uint64_t at = log_bytes_;
  if (write.replace_from != 0) {
    while (!records_.empty() && first_index_ + records_.size() > write.replace_from) {
      at -= records_.back().size();
      records_.pop_back();
    }
    if (records_.empty())
      first_index_ = write.entries.empty() ? write.replace_from : write.entries.front().index;
    for (const consensus::Entry& entry : write.entries) {
      records_.push_back(EncodeRecord(entry));
      appended += records_.back();
    }
  }
  if (rewrite) {
    out.push_back(LogFile());
  } else if (write.replace_from != 0) {
    log_bytes_ = at + appended.size();
    out.push_back({PathOf(".log"), at, std::move(appended)});
  }
  return out;
}

}  // namespace burlfall::council
