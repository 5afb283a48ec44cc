// A council on a virtual clock: members of the real code, each with its own folder, and the network between
// them, which a test can cut. Members have the numbers 0, 1, ... and the names m1, m2, ...
#ifndef BURLFALL_TESTS_COUNCIL_VIRTUAL_COUNCIL_H_
#define BURLFALL_TESTS_COUNCIL_VIRTUAL_COUNCIL_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "council/coordinator_member.h"
#include "lab/paths/paths.h"
#include "world/virtual_machine.h"

namespace burlfall::council {

class VirtualCouncil {
 public:
  // The members after the first `voters` follow the log. All of them want the work "freeze".
  VirtualCouncil(size_t voters, size_t followers, uint64_t seed);
  ~VirtualCouncil();
  static std::string NameOf(size_t member);

  // What the settings of a member say from its next start on.
  CouncilSettings& SettingsOf(size_t member) { return members_[member].settings; }
  // What the member sees of the fleet.
  std::function<std::vector<CoordinatorMember::Setup::Observation>()>& ObservationsOf(size_t member) {
    return members_[member].observations;
  }

  void Start(size_t member);
  void StartAll();
  void Stop(size_t member);        // as a crash: the folder stays
  void LoseFolder(size_t member);  // of a member that is stopped
  void LoseFile(size_t member, const std::string& extension);
  void FailNextFlush(size_t member) { members_[member].machine->flush_fails = true; }

  // Nothing passes between the member and all others, in both directions, until it is cut no more.
  // Connections stay open, and what is sent on them arrives afterwards.
  void Cut(size_t member, bool cut);

  // An operator's call at the member, as `burlfall council` makes it. Empty: no answer in 30 s.
  std::string Call(size_t member, const std::string& words);
  // Begins the log at the member and waits until all voters vote.
  void Begin(size_t member);
  // Moves the work "freeze" to the member; false if that takes over 30 s.
  bool MakeOwner(size_t member);

  void RunFor(Micros span);
  // Runs until `holds`; false if it doesn't within `limit`.
  bool RunUntil(const std::function<bool()>& holds, Micros limit = 30 * kSecond);

  // From `council status` of the member: the owner of "freeze" and its epoch, "" and 0 if there is none.
  struct Owner {
    std::string name;
    uint64_t epoch = 0;
  };
  Owner OwnerAt(size_t member);
  // From the same: how many acts of owners it has obeyed and refused.
  struct Acts {
    uint64_t obeyed = 0;
    uint64_t refused = 0;
  };
  Acts ActsAt(size_t member);
  // The log of all processes of the member so far, as lines of JSON.
  const std::string& LogOf(size_t member) const { return members_[member].machine->standard_error_text; }
  // The epochs of "freeze" that the member has obeyed since byte `from` of its log.
  std::vector<uint64_t> ObeyedBy(size_t member, size_t from = 0) const;

 private:
  struct Process;
  struct Member {
    std::unique_ptr<world::VirtualMachine> machine;
    CouncilSettings settings;
    std::function<std::vector<CoordinatorMember::Setup::Observation>()> observations;
    std::unique_ptr<Process> process;
  };
  Task<> MakeCall(std::string path, std::string words, std::string& answer, bool& answered);

  world::World world_;
  world::VirtualMachine network_;
  lab::Paths paths_;
  size_t voters_;
  std::vector<Member> members_;
};

}  // namespace burlfall::council

#endif  // BURLFALL_TESTS_COUNCIL_VIRTUAL_COUNCIL_H_
