// What is true of an agreed log, told from outside: it hears what each run of a voter or follower was seen to
// write, apply and answer, and when somebody took office, and nothing else.
//
//   - a term has one leader at most
//   - two logs with an entry of the same index and term have the same entry there, after the same one
//   - what one has applied at an index, all apply there, each run in order, without a gap; a snapshot is the
//     state after just these entries
//   - what was acknowledged is in the log of every leader of a later term
//   - a read that claims to be current sees all that was acknowledged, or read by another, before it began
//   - council time never goes back along the log
//   - a change of voters changes one, and none is begun before the earlier one is committed
#ifndef BURLFALL_LAB_COUNCIL_WORLD_CONSENSUS_CHECKER_H_
#define BURLFALL_LAB_COUNCIL_WORLD_CONSENSUS_CHECKER_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "consensus/core.h"

namespace burlfall::lab {

// The state that the entries through some index make: the same for the same entries.
uint64_t NextState(uint64_t state, const consensus::Entry& entry);

class CouncilJudge {
 public:
  // `run`: one process of a voter or follower, from its start to its end.
  // `log` is what it holds, in order.
  void TookOffice(const std::string& run, uint64_t term, const std::vector<consensus::Entry>& log);
  // An entry stands in somebody's log, after one of `term_before`.
  void InLog(const std::string& run, uint64_t term_before, const consensus::Entry& entry);
  void Applied(const std::string& run, const consensus::Entry& entry);
  void AppliedSnapshot(const std::string& run, uint64_t index, uint64_t state);
  // An entry of `term`, by the leader of `led`, which may be a later one.
  void Acknowledged(uint64_t index, uint64_t term, uint64_t led);
  void ReadBegan(uint64_t token);
  void ReadAnswered(uint64_t token, uint64_t index);  // the state after this entry was shown
  // A leader takes a change of voters; `earlier`: that of the last one in its log, `commit`: its own.
  void ChangeBegan(const std::string& run, uint64_t earlier, uint64_t commit);
  // Something that the one who plays has seen itself.
  void Broken(const std::string& what);

  const std::vector<std::string>& broken() const { return broken_; }  // the first ones
  size_t broken_count() const { return broken_count_; }
  size_t acknowledged() const { return acknowledged_.size(); }
  size_t reads() const { return reads_answered_; }
  size_t leaders() const { return leaders_.size(); }
  uint64_t applied() const { return agreed_.size(); }  // entries

 private:
  struct Agreed {
    uint64_t term = 0;
    uint64_t state = 0;
    Micros at = 0;
  };
  std::map<uint64_t, std::string> leaders_;  // by term
  std::map<std::pair<uint64_t, uint64_t>, std::pair<uint64_t, uint64_t>> entries_;
  std::vector<Agreed> agreed_;  // from index 1 on
  std::vector<consensus::Voter> voters_;
  std::map<std::string, uint64_t> runs_;                            // the last index that each has applied
  std::map<uint64_t, std::pair<uint64_t, uint64_t>> acknowledged_;  // its term, and the leader's
  uint64_t shown_ = 0;                                              // acknowledged or read by anybody
  std::map<uint64_t, uint64_t> reads_;
  size_t reads_answered_ = 0;
  std::vector<std::string> broken_;
  size_t broken_count_ = 0;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_COUNCIL_WORLD_CONSENSUS_CHECKER_H_
