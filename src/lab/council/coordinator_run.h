// Runs a coordinator group of real `burlfall serve --council` processes, each on its own loopback addresses
// and with the lab's controllable paths between every two of them. It injects faults in an order generated
// from a seed: paused and killed processes, power loss, lost data directories, cuts of the network in one
// direction. From the log events of the processes it checks that
//
//   - no executor accepts an epoch below one that it accepted before, also after a restart
//   - an epoch has one owner and a term has one leader, in the events of all processes
//   - after each fault the group elects an owner whose epoch all running members accept, within the timeout
//   - an acknowledged entry is in the log of every later leader
#ifndef BURLFALL_LAB_COUNCIL_COORDINATOR_RUN_H_
#define BURLFALL_LAB_COUNCIL_COORDINATOR_RUN_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace burlfall::lab {

enum class CoordinatorFault {
  kPauseOwnerAtStep,   // between its check and its act, until another owner has acted
  kPauseOwner,         // at any moment, until another owner has acted
  kPauseOwnerBriefly,  // for less than its lease
  kPauseLeader,        // until another leader is elected
  kKillOwner,
  kKillLeader,
  kKillAll,              // all at once, as in a power loss
  kWipeDisk,             // a voter loses its data directory, and returns as a new voter
  kRestoreOlderDisk,     // a voter restarts with an older copy of its files
  kBlockLeaderInbound,   // the leader receives nothing from the other voters; they receive its messages
  kBlockLeaderOutbound,  // the leader receives from the other voters; they receive nothing from it
  kRestartOwner,         // with an orderly shutdown
  kIncident,             // opened at one member: another's drain is refused until it is closed or overridden
  kIsolateMember,        // a member is cut off from all others: its drain is refused
};
constexpr int kCoordinatorFaultCount = 14;
const char* NameOf(CoordinatorFault fault);

struct CoordinatorRunOptions {
  int voters = 3;
  int members = 3;  // including the voters
  uint64_t seed = 1;
  std::vector<CoordinatorFault> faults;  // injected in this order
  std::string program;                   // empty: the `burlfall` in the directory of this program
  bool keep_folder = false;
  double proposals_for_s = 0;  // not 0: measures committed proposals per second before the faults, in s
  std::function<void(const std::string& line)> log = [](const std::string&) {};  // progress, line by line
};

// `complete`: all faults were injected, and the group recovered from each.
struct CoordinatorRunResult {
  bool complete = false;
  std::string failure;                  // why the run is not complete
  std::vector<std::string> violations;  // one line each, at most 20
  size_t violation_count = 0;
  std::map<std::string, size_t> faults;  // injected, by name
  size_t epochs_accepted = 0;            // acceptances of an epoch, over all members
  size_t fenced = 0;                     // acts that a member refused because of their epoch
  size_t leases_lost = 0;                // times that an owner noticed the loss of its lease
  std::vector<double> owner_after_s;     // from the kill of the owner to the next grant, in s
  std::vector<double> leader_after_s;    // from the kill of the leader to the next election, in s
  double proposals_per_s = 0;
  double late_share = 0;  // of the timers of this process
};

// Returns `rounds` faults: all kinds in random order, again and again.
std::vector<CoordinatorFault> RandomFaults(uint64_t seed, size_t rounds);
// Runs the group in this process; blocks until the end.
CoordinatorRunResult RunCoordinators(const CoordinatorRunOptions& options);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_COUNCIL_COORDINATOR_RUN_H_
