// The rules of the safety checker.
#include "lab/council_world/consensus_checker.h"

#include <algorithm>

#include "consensus/wire.h"

namespace burlfall::lab {
namespace {

constexpr size_t kMaxReportedViolations = 20;

uint64_t Mix(uint64_t a, uint64_t b) {
  uint64_t z = a * 0x9e3779b97f4a7c15 + b + 0x2545f4914f6cdd1d;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
  z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
  return z ^ (z >> 31);
}

std::string Number(uint64_t n) { return std::to_string(n); }

}  // namespace

uint64_t NextState(uint64_t state, const consensus::Entry& entry) {
  uint64_t next = Mix(Mix(state, entry.index), static_cast<uint64_t>(entry.kind) + 1);
  for (const char c : entry.data) next = Mix(next, static_cast<unsigned char>(c));
  return next;
}

void ConsensusChecker::ReportViolation(const std::string& what) {
  ++violation_count_;
  if (violations_.size() < kMaxReportedViolations) violations_.push_back(what);
}

void ConsensusChecker::OnBecameLeader(const std::string& run, uint64_t term,
                                      const std::vector<consensus::Entry>& log) {
  const auto [found, first] = leaders_by_term_.emplace(term, run);
  if (!first && found->second != run) {
    ReportViolation("two leaders in term " + Number(term) + ": " + found->second + " and " + run);
  }
  // Entries before the first one of the log are covered by the snapshot, and were committed.
  const uint64_t begin = log.empty() ? UINT64_MAX : log.front().index;
  const uint64_t end = log.empty() ? 0 : log.back().index;
  for (const auto& [index, terms] : acknowledged_) {
    const auto& [of, leader_term] = terms;
    if (leader_term >= term || index < begin) continue;
    if (index > end || log[index - begin].term != of) {
      ReportViolation("entry " + Number(index) + " was acknowledged in term " + Number(leader_term) +
                      " and " + run + " leads in term " + Number(term) + " without it");
      break;
    }
  }
}

void ConsensusChecker::OnLogEntry(const std::string& run, uint64_t term_before,
                                  const consensus::Entry& entry) {
  const std::pair<uint64_t, uint64_t> what{term_before, NextState(0, entry)};
  const auto [found, first] = log_entries_.emplace(std::pair{entry.index, entry.term}, what);
  if (!first && found->second != what) {
    ReportViolation("logs differ at entry " + Number(entry.index) + " of term " + Number(entry.term) + ": " +
                    run);
  }
}

void ConsensusChecker::OnApplied(const std::string& run, const consensus::Entry& entry) {
  uint64_t& last = last_applied_by_run_[run];
  if (entry.index != last + 1) {
    ReportViolation(run + " applies entry " + Number(entry.index) + " after " + Number(last));
  }
  last = entry.index;
  if (entry.index <= applied_entries_.size()) {
    const AppliedEntry& one = applied_entries_[entry.index - 1];
    const uint64_t before = entry.index > 1 ? applied_entries_[entry.index - 2].state : 0;
    if (one.term != entry.term || one.state != NextState(before, entry)) {
      ReportViolation(run + " applies another entry " + Number(entry.index) +
                      " than another process applied");
    }
    return;
  }
  if (entry.index != applied_entries_.size() + 1) return;  // a gap, which is already reported
  const uint64_t before = applied_entries_.empty() ? 0 : applied_entries_.back().state;
  if (!applied_entries_.empty() && applied_entries_.back().at > entry.log_time) {
    ReportViolation("log time goes back at entry " + Number(entry.index));
  }
  applied_entries_.push_back({entry.term, NextState(before, entry), entry.log_time});
  if (entry.kind != consensus::Entry::Kind::kVoters) return;
  const auto voters = consensus::DecodeVoters(entry.data);
  if (!voters) return ReportViolation("voters that can't be read at entry " + Number(entry.index));
  const auto among = [](const auto& all) {
    return [&all](const auto& one) { return std::find(all.begin(), all.end(), one) != all.end(); };
  };
  const auto removed =
      voters_.size() - static_cast<size_t>(std::count_if(voters_.begin(), voters_.end(), among(*voters)));
  const auto added =
      voters->size() - static_cast<size_t>(std::count_if(voters->begin(), voters->end(), among(voters_)));
  if (!voters_.empty() && removed + added > 1) {
    ReportViolation("more than one voter changes at entry " + Number(entry.index));
  }
  voters_ = *voters;
}

void ConsensusChecker::OnSnapshotApplied(const std::string& run, uint64_t index, uint64_t state) {
  uint64_t& last = last_applied_by_run_[run];
  if (index < last)
    ReportViolation(run + " goes back from entry " + Number(last) + " to a snapshot of " + Number(index));
  last = index;
  if (index > applied_entries_.size() || (index > 0 && applied_entries_[index - 1].state != state)) {
    ReportViolation(run + " installs a snapshot of entry " + Number(index) +
                    " that differs from the state at that entry");
  }
}

void ConsensusChecker::OnAcknowledged(uint64_t index, uint64_t term, uint64_t leader_term) {
  acknowledged_[index] = {term, leader_term};
  max_shown_index_ = std::max(max_shown_index_, index);
}

void ConsensusChecker::OnReadStarted(uint64_t token) { pending_reads_[token] = max_shown_index_; }

void ConsensusChecker::OnReadAnswered(uint64_t token, uint64_t index) {
  const auto found = pending_reads_.find(token);
  if (found == pending_reads_.end()) return ReportViolation("a read is answered that was not begun");
  ++reads_answered_;
  if (index < found->second) {
    ReportViolation("a read shows the state of entry " + Number(index) + " though that of " +
                    Number(found->second) + " was shown before it began");
  }
  max_shown_index_ = std::max(max_shown_index_, index);
  pending_reads_.erase(found);
}

void ConsensusChecker::OnVoterChangeStarted(const std::string& run, uint64_t earlier, uint64_t commit) {
  if (earlier > commit)
    ReportViolation(run + " begins a change of voters before entry " + Number(earlier) + " is committed");
}

}  // namespace burlfall::lab
