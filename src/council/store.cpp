#include "council/store.h"

#include <algorithm>
#include <utility>

#include "consensus/wire.h"
#include "council/packing.h"

namespace burlfall::council {
namespace {

constexpr std::string_view kMagic = "bfd1";
constexpr char kVote = 'v', kSnapshot = 's', kLog = 'l';
constexpr size_t kHead = kMagic.size() + 1 + 8 + 4;  // magic, kind, checksum, the body's length
constexpr size_t kRecordHead = 4 + 4 + 8;  // the body's length, a check of that, the body's checksum
constexpr size_t kLongestName = 256;
constexpr size_t kLargestEntry = 16 << 20;
constexpr size_t kLargestFile = 1 << 30;

void PutLength(std::string& to, size_t length) {
  for (int byte = 0; byte < 4; ++byte) to += static_cast<char>(length >> (8 * byte) & 0xff);
}

size_t TakeLength(std::string_view from) {
  size_t length = 0;
  for (size_t byte = 4; byte-- > 0;) length = length << 8 | static_cast<unsigned char>(from[byte]);
  return length;
}

size_t CheckOf(size_t length) { return ~length & 0xffffffff; }

// The length has a check of its own: a flipped bit in it is told from a record that the file ends within.
std::string Record(const consensus::Entry& entry) {
  const std::string body = consensus::EncodeEntry(entry);
  std::string out;
  PutLength(out, body.size());
  PutLength(out, CheckOf(body.size()));
  PutSum(out, SumOf(body));
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
    case StoreFault::kOther:
      return "another voter's";
    case StoreFault::kMixed:
      return "of two disks";
    case StoreFault::kMissing:
      return "missing";
  }
  return "";
}

std::string Store::Headed(char kind, std::string_view body) const {
  const std::string inner = Packed(3).Add(name_).Add(disk_).Add(body).Take();
  std::string out(kMagic);
  out += kind;
  PutSum(out, SumOf(inner));
  PutLength(out, inner.size());
  return out += inner;
}

std::optional<std::string> Store::Body(char kind, const std::string& path, const std::string& text,
                                       Opened& opened) {
  auto fail = [&](StoreFault fault, const std::string& why) {
    opened.fault = fault;
    opened.why = path + ": " + why;
    return std::nullopt;
  };
  if (text.size() < kHead || !text.starts_with(kMagic) || text[kMagic.size()] != kind)
    return fail(StoreFault::kDamaged, "its head is not what was written");
  const size_t length = TakeLength(std::string_view(text).substr(kMagic.size() + 9));
  if (length > text.size() - kHead) return fail(StoreFault::kDamaged, "it ends too early");
  const std::string_view inner = std::string_view(text).substr(kHead, length);
  if (SumOf(inner) != TakeSum(std::string_view(text).substr(kMagic.size() + 1)))
    return fail(StoreFault::kDamaged, "its checksum is wrong");
  try {
    Unpacked from(inner);
    const std::string name = from.Bytes(kLongestName);
    const uint64_t disk = from.Number();
    std::string body = from.Bytes(kLargestFile);
    if (name != name_) return fail(StoreFault::kOther, "it is the voter " + name + "'s");
    if (disk_ != 0 && disk != disk_) return fail(StoreFault::kMixed, "it is of another disk than the vote");
    disk_ = disk;
    if (kind == kLog) log_head_ = kHead + length;
    return body;
  } catch (const Slip&) {
    return fail(StoreFault::kDamaged, "it is malformed");
  }
}

Store::Opened Store::Open(Files& files, const std::string& folder, uint64_t draw) {
  Opened opened;
  if (!files.IsWritableFolder(folder, opened.why)) {
    opened.fault = StoreFault::kUnusable;
    opened.why = folder + ": " + opened.why;
    disk_ = std::max<uint64_t>(draw, 1);
    return opened;
  }
  const std::optional<std::string> vote = files.Read(Path(".vote")), snapshot = files.Read(Path(".snapshot")),
                                   log = files.Read(Path(".log"));
  if (!vote && !snapshot && !log) {
    opened.empty = true;
    disk_ = std::max<uint64_t>(draw, 1);
    return opened;
  }
  if (!vote || !snapshot || !log) {
    opened.fault = StoreFault::kMissing;
    opened.why = Path(!vote ? ".vote" : !snapshot ? ".snapshot" : ".log") + ": it is gone";
    disk_ = std::max<uint64_t>(draw, 1);
    return opened;
  }
  try {
    if (const auto body = Body(kVote, Path(".vote"), *vote, opened)) {
      Unpacked from(*body);
      opened.held.term = from.Number();
      const bool voted = from.Number() == 1;
      consensus::VoterId id;
      id.name = from.Bytes(kLongestName);
      id.disk = from.Number();
      if (voted) opened.held.vote = id;
    }
    if (opened.fault == StoreFault::kNone) {
      if (const auto body = Body(kSnapshot, Path(".snapshot"), *snapshot, opened)) {
        Unpacked from(*body);
        consensus::Snapshot& held = opened.held.snapshot;
        held.index = from.Number();
        held.term = from.Number();
        held.log_time = static_cast<Micros>(from.Number());
        const auto voters = consensus::DecodeVoters(from.Bytes(kLargestEntry));
        if (!voters) throw Slip{};
        held.voters = *voters;
        held.data = from.Bytes(kLargestFile);
      }
    }
  } catch (const Slip&) {
    opened.fault = StoreFault::kDamaged;
    opened.why = stem_ + ": malformed";
  }
  if (opened.fault == StoreFault::kNone && Body(kLog, Path(".log"), *log, opened)) ReadLog(*log, opened);
  if (disk_ == 0) disk_ = std::max<uint64_t>(draw, 1);
  return opened;
}

void Store::ReadLog(const std::string& text, Opened& opened) {
  auto fail = [&](const char* why) {
    opened.fault = StoreFault::kDamaged;
    opened.why = Path(".log") + ": " + why;
  };
  std::string_view rest = std::string_view(text).substr(log_head_);
  uint64_t last = 0;
  while (!rest.empty()) {
    // Zeros to the end: the system made the file longer and its bytes never came.
    if (rest.size() < kRecordHead || AllZero(rest)) break;
    const size_t length = TakeLength(rest);
    if (length > kLargestEntry || TakeLength(rest.substr(4)) != CheckOf(length))
      return fail("a record's length is wrong");
    if (rest.size() - kRecordHead < length) break;
    const std::string_view body = rest.substr(kRecordHead, length);
    if (SumOf(body) != TakeSum(rest.substr(8))) {
      // The last one's bytes may have come in part, and then it was never flushed.
      if (AllZero(body.substr(length - std::min<size_t>(length, 16))) &&
          AllZero(rest.substr(kRecordHead + length)))
        break;
      return fail("a record's checksum is wrong");
    }
    std::optional<consensus::Entry> entry = consensus::DecodeEntry(body);
    if (!entry || (last != 0 && entry->index != last + 1)) return fail("a record is out of its order");
    last = entry->index;
    if (records_.empty()) first_ = entry->index;
    records_.emplace_back(rest.substr(0, kRecordHead + length));
    opened.held.log.push_back(std::move(*entry));
    rest.remove_prefix(kRecordHead + length);
  }
  opened.cut = rest.size();
  log_bytes_ = text.size() - rest.size();
  log_there_ = true;
  const consensus::Snapshot& snapshot = opened.held.snapshot;
  std::vector<consensus::Entry>& held = opened.held.log;
  if (held.empty()) return;
  if (held.front().index > snapshot.index + 1) return fail("entries behind the snapshot are gone");
  // A snapshot from the leader took the place of a log that went another way, and the power went between.
  const uint64_t at = snapshot.index - held.front().index;
  if (snapshot.index >= held.front().index && at < held.size() && held[at].term != snapshot.term)
    held.clear();
  if (!held.empty() && held.back().index < snapshot.index) held.clear();
  if (held.empty()) {
    records_.clear();
    rewrite_log_ = true;
  }
}

DurableWrite Store::Promise(const consensus::DiskWrite::TermVote& promise) const {
  const consensus::VoterId vote = promise.vote.value_or(consensus::VoterId());
  const std::string body =
      Packed(4).Add(promise.term).Add(promise.vote ? 1 : 0).Add(vote.name).Add(vote.disk).Take();
  return {Path(".vote"), {}, Headed(kVote, body)};
}

DurableWrite Store::SnapshotFile(const consensus::Snapshot& snapshot) const {
  const std::string body = Packed(5)
                               .Add(snapshot.index)
                               .Add(snapshot.term)
                               .Add(static_cast<uint64_t>(snapshot.log_time))
                               .Add(consensus::EncodeVoters(snapshot.voters))
                               .Add(snapshot.data)
                               .Take();
  return {Path(".snapshot"), {}, Headed(kSnapshot, body)};
}

DurableWrite Store::LogFile() {
  DurableWrite write{Path(".log"), {}, Headed(kLog, "")};
  log_head_ = write.bytes.size();
  for (const std::string& record : records_) write.bytes += record;
  log_bytes_ = write.bytes.size();
  log_there_ = true;
  return write;
}

std::vector<DurableWrite> Store::Whole(const consensus::PersistentState& held) {
  records_.clear();
  first_ = held.log.empty() ? 0 : held.log.front().index;
  for (const consensus::Entry& entry : held.log) records_.push_back(Record(entry));
  return {SnapshotFile(held.snapshot), LogFile(), Promise({held.term, held.vote})};
}

std::vector<DurableWrite> Store::Next(const consensus::DiskWrite& write) {
  std::vector<DurableWrite> out;
  if (write.term_vote) out.push_back(Promise(*write.term_vote));
  if (write.snapshot) out.push_back(SnapshotFile(*write.snapshot));
  // A new voter's first write: all its files are there from then on.
  const bool first = !log_there_;
  if (first && !write.term_vote) out.push_back(Promise({}));
  if (first && !write.snapshot) out.push_back(SnapshotFile({}));
  bool anew = first || std::exchange(rewrite_log_, false);
  if (write.snapshot && write.keep_from > first_ && !records_.empty()) {
    const uint64_t drop = std::min<uint64_t>(write.keep_from - first_, records_.size());
    records_.erase(records_.begin(), records_.begin() + static_cast<std::ptrdiff_t>(drop));
    first_ += drop;
    anew = true;
  }
  std::string more;
  uint64_t at = log_bytes_;
  if (write.replace_from != 0) {
    while (!records_.empty() && first_ + records_.size() > write.replace_from) {
      at -= records_.back().size();
      records_.pop_back();
    }
    if (records_.empty()) first_ = write.entries.empty() ? write.replace_from : write.entries.front().index;
    for (const consensus::Entry& entry : write.entries) {
      records_.push_back(Record(entry));
      more += records_.back();
    }
  }
  if (anew) {
    out.push_back(LogFile());
  } else if (write.replace_from != 0) {
    log_bytes_ = at + more.size();
    out.push_back({Path(".log"), at, std::move(more)});
  }
  return out;
}

}  // namespace burlfall::council
