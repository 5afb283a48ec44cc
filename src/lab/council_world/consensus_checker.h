// Safety checker for the replicated log of the coordinator group. It observes the processes (voters and
// followers) from outside: the log entries that each process writes and applies, the requests that it
// answers, and the elections that it wins. It checks that
//
//   - a term has at most one leader
//   - two logs that have an entry with the same index and term have the same entry there, after
//     an entry of the same term
//   - all processes apply the same entry at an index, each process in order and without a gap, and a snapshot
//     equals the state after exactly the entries that it covers
//   - an acknowledged entry is in the log of every leader of a later term
//   - a linearizable read sees everything that was acknowledged, or returned by another read, before it began
//   - the time stamps of the log never go back
//   - a change of voters changes one voter, and none begins before the earlier one is committed
#ifndef BURLFALL_LAB_COUNCIL_WORLD_CONSENSUS_CHECKER_H_
#define BURLFALL_LAB_COUNCIL_WORLD_CONSENSUS_CHECKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "consensus/core.h"

namespace burlfall::lab {

// The state machine of the simulation: returns the state after `entry` is applied to `state`, as a hash of
// all entries applied so far.
uint64_t NextState(uint64_t state, const consensus::Entry& entry);

// Collects violations; `run` names one process of a voter or follower, from its start to its end.
class ConsensusChecker {
 public:
  // The process became leader of `term`; `log` holds the entries of its log, in order.
  void OnBecameLeader(const std::string& run, uint64_t term, const std::vector<consensus::Entry>& log);
  // The process wrote `entry` to its log, after an entry of `term_before`.
  void OnLogEntry(const std::string& run, uint64_t term_before, const consensus::Entry& entry);
  void OnApplied(const std::string& run, const consensus::Entry& entry);
  void OnSnapshotApplied(const std::string& run, uint64_t index, uint64_t state);
  // The entry at `index`, of `term`, was acknowledged to its client by the leader of `leader_term`, which may
  // be later than `term`.
  void OnAcknowledged(uint64_t index, uint64_t term, uint64_t leader_term);
  void OnReadStarted(uint64_t token);
  void OnReadAnswered(uint64_t token, uint64_t index);  // the read returned the state after this entry
  // A leader accepted a change of voters. `earlier`: the index of the previous change in its log (0: none);
  // `commit`: its commit index.
  void OnVoterChangeStarted(const std::string& run, uint64_t earlier, uint64_t commit);
  // Also called by the simulation for violations that it detects itself.
  void ReportViolation(const std::string& what);

  const std::vector<std::string>& violations() const { return violations_; }  // at most the first 20
  size_t violation_count() const { return violation_count_; }
  size_t acknowledged() const { return acknowledged_.size(); }
  size_t reads() const { return reads_answered_; }
  size_t leaders() const { return leaders_by_term_.size(); }
  uint64_t applied() const { return applied_entries_.size(); }  // distinct entries

 private:
  struct AppliedEntry {
    uint64_t term = 0;
    uint64_t state = 0;
    Micros at = 0;
  };
  std::map<uint64_t, std::string> leaders_by_term_;  // the run that was elected
  std::map<std::pair<uint64_t, uint64_t>, std::pair<uint64_t, uint64_t>>
      log_entries_;                            // (index, term) -> (term before, hash)
  std::vector<AppliedEntry> applied_entries_;  // from index 1 on
  std::vector<consensus::Voter> voters_;
  std::map<std::string, uint64_t> last_applied_by_run_;             // last index that each run applied
  std::map<uint64_t, std::pair<uint64_t, uint64_t>> acknowledged_;  // index -> (entry's term, leader's term)
  uint64_t max_shown_index_ = 0;                                    // highest index acknowledged or read
  std::map<uint64_t, uint64_t> pending_reads_;  // token -> lowest index that the read may return
  size_t reads_answered_ = 0;
  std::vector<std::string> violations_;
  size_t violation_count_ = 0;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_COUNCIL_WORLD_CONSENSUS_CHECKER_H_
