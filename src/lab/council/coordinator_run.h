// A council of real processes of `burlfall serve --council`, each at loopback hosts of its own with the lab's
// paths between any two, and faults that a seed draws: processes that stand still at marked steps, kills,
// loss of power, folders that are gone, cuts in one direction. What each tells in its log is judged from
// outside.
//
//   - no executor obeys an epoch below one that it has obeyed, also after a restart
//   - an epoch is one owner's, whoever tells of it; a term has one leader
//   - after each fault the council comes to an owner whom all that run obey, in time
//   - what it acknowledged is in the log of every later leader
#ifndef BURLFALL_LAB_COUNCIL_COORDINATOR_RUN_H_
#define BURLFALL_LAB_COUNCIL_COORDINATOR_RUN_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace burlfall::lab {

enum class CouncilFault {
  kPauseAtStep,   // the owner, between its check and its act, until another has acted
  kPauseOwner,    // at any moment, likewise
  kPauseBriefly,  // the owner, for less than its lease
  kPauseLeader,   // until another leads
  kKillOwner,
  kKillLeader,
  kKillAll,       // at once, as when the power goes
  kWipe,          // a voter's folder, which then is a new voter
  kOlder,         // a voter comes back with the files of before
  kDeafLeader,    // hears no other voter, and is heard
  kMuteLeader,    // hears the others, and is not heard
  kRestartOwner,  // in order
  kIncident,      // opened at one member: another's drain is refused until it is closed, or by broken glass
  kAlone,  // a member that hears nobody: its drain is refused, and an emergency goes on and is told later
};
constexpr int kCouncilFaults = 14;
const char* NameOf(CouncilFault fault);

struct CouncilOptions {
  int voters = 3;
  int members = 3;  // voters among them
  uint64_t seed = 1;
  std::vector<CouncilFault> faults;  // in this order
  std::string program;               // empty: the `burlfall` beside this program
  bool keep_folder = false;
  double proposals_for_s = 0;  // not 0: how many proposals a second are agreed, before all faults
  std::function<void(const std::string& line)> tells = [](const std::string&) {};
};

struct CouncilPlayed {
  bool whole = false;
  std::string why_not;              // where it is not
  std::vector<std::string> broken;  // one line each; the first ones
  size_t broken_count = 0;
  std::map<std::string, size_t> faults;  // that were played, by name
  size_t obeyed = 0;                     // epochs, at each member
  size_t fenced = 0;                     // acts that a member refused
  size_t found_out = 0;                  // owners that stood still and found out before they acted
  std::vector<double> owner_after_s;     // from a kill of the owner to the next grant
  std::vector<double> leader_after_s;    // from a kill of the leader to the next
  double proposals_per_s = 0;
  double late_share = 0;  // of the lab's own timers
};

// The faults of a run: `rounds` of them, each kind in its turn, in an order that the seed draws.
std::vector<CouncilFault> DrawFaults(uint64_t seed, size_t rounds);
CouncilPlayed PlayCouncil(const CouncilOptions& options);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_COUNCIL_COORDINATOR_RUN_H_
