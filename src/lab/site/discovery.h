// The stand-in for discovery: a model of what it knows and when it answers, and that model on connections.
#ifndef BURLFALL_LAB_SITE_DISCOVERY_H_
#define BURLFALL_LAB_SITE_DISCOVERY_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/script/platform_json.h"
#include "lab/script/script.h"
#include "lab/site/stand_in.h"
#include "lab/witness/observer.h"
#include "meadowslip/balancer.h"

namespace burlfall::lab {

// A node as discovery knows it.
struct HostState {
  int node = 0;
  meadowslip::BackendState state = meadowslip::BackendState::kReady;
  Micros started_at = 0;  // 0: long ago
  bool operator==(const HostState&) const = default;
};

// No I/O and no clock. It learns of each change some time after it; calls are handled in turn, at so many a
// second, and a watch is held until there is news.
class DiscoveryModel {
 public:
  enum class Did {
    kAnswered,   // the list, or what has changed
    kFailed,     // 503
    kReset,      // the link
    kListed,     // it has come to list this of these hosts
    kDeemed,     // between two calls of a watch: `balancer` counts as told of these hosts
    kUnwatched,  // the watch of `balancer` has ended, and no call of it failed
  };
  struct Effect {
    Did did = Did::kAnswered;
    uint64_t call = 0;
    int balancer = 0;
    uint64_t version = 0;
    bool full = false;
    std::vector<HostState> hosts;  // of a whole list too with those that are gone, which are not written
  };

  DiscoveryModel(const DiscoverySpec& spec, int balancers, std::vector<HostState> known, uint64_t seed);

  // A node is now in this state, or has started anew. `silent`: it gave no sign of that.
  void Happened(Micros now, const HostState& host, bool silent);

  // Without `index` a call for the whole list, with it one that waits for what is newer. Its answer comes as
  // an effect, to the number that is returned.
  uint64_t Call(Micros now, int balancer, std::optional<uint64_t> index, Micros wait,
                std::vector<Effect>& effects);
  void Left(Micros now, uint64_t call, std::vector<Effect>& effects);  // the caller has ended its link
  void GoDown(Micros now, std::vector<Effect>& effects);
  void Slow(double part) { speed_ = part; }  // of its calls a second is left
  // With the list as it was so many versions ago; what it has forgotten it learns anew, late again.
  void ComeBack(Micros now, int versions_before, std::vector<Effect>& effects);
  Micros NextAt() const;  // when Tick() is due; kNever: not
  void Tick(Micros now, std::vector<Effect>& effects);

  bool watching(int balancer) const;
  uint64_t version() const { return version_; }
  std::vector<HostState> List() const;  // by node; those that are gone too

 private:
  enum class Phase { kInTurn, kTooLate, kWatching };
  struct Pending {
    int balancer = 0;
    std::optional<uint64_t> index;
    Micros until = 0;  // of its wait
    Phase phase = Phase::kInTurn;
    std::multimap<Micros, uint64_t>::iterator due;
  };
  struct Change {
    uint64_t version = 0;
    int node = 0;
    std::optional<HostState> before;
  };
  struct Watcher {
    int calls = 0;         // of watches, under way
    Micros gap_until = 0;  // the watch goes on if the next call comes by then; 0: it is not between two calls
    // What it knows may be newer than the list: versions are used a second time, so it gets the whole.
    bool stranger = false;
  };

  void LearnAt(Micros at, const HostState& host);
  void Learn(Micros at, const HostState& host, std::vector<Effect>& effects);
  void Due(Micros at, uint64_t call, std::vector<Effect>& effects);
  void Park(uint64_t call, Pending& one, Phase phase, Micros due);
  Pending Forget(uint64_t call);
  void Conclude(Micros at, uint64_t call, Did how, std::vector<Effect>& effects);
  void Fail(Micros at, uint64_t call, std::vector<Effect>& effects);

  const DiscoverySpec spec_;
  Stream64 draws_;
  bool down_ = false;
  uint64_t version_ = 1;
  uint64_t calls_ = 0;
  double speed_ = 1;
  Micros free_at_ = 0;  // when it is done with the calls before
  std::map<int, HostState> known_;
  std::map<int, HostState> truth_;
  std::map<int, Micros> last_word_;  // of each node: words of it are learned in their order
  std::multimap<Micros, HostState> words_;
  std::deque<Change> changes_;  // the latest; what they leave of the past can be asked for and gone back to
  std::unordered_map<uint64_t, Pending> pending_;
  std::multimap<Micros, uint64_t> due_;
  std::vector<Watcher> watchers_;
};

class Discovery final : public StandIn {
 public:
  // Where a node listens for a balancer, and a list as the platform writes it.
  using AddressOf = std::function<std::string(int node, int balancer)>;
  using TextOf = std::function<std::string(const NodeList& list)>;
  // Listens at once; throws std::system_error where an address can't be had.
  Discovery(Machine& machine, Observer& witness, const DiscoverySpec& spec, const std::vector<Address>& at,
            std::vector<HostState> known, AddressOf address_of, TextOf text_of, uint64_t seed);
  ~Discovery() override;

  void Happened(int node, meadowslip::BackendState state, Micros started_at, bool silent = false);
  void GoDown();
  void ComeBack(int versions_before = 0);
  // What is wrong with it, short of being down; from now on, of calls that come then.
  struct Troubles {
    bool busy = false;         // says 503 at once
    double retry_after_s = 0;  // and when to come back; 0: nothing
    double breaks = 0;         // share of the answers that break in the middle
    double odd = 0;            // share of the answers that are 200 with nothing usable
    double speed = 1;          // part of its calls a second that is left
  };
  void Trouble(const Troubles& troubles);
  NodeList ListFor(int balancer) const;  // the whole, as it would answer now

 private:
  struct CallLink;

  std::unique_ptr<Link> NewLink() override;
  Task<bool> Handle(Link& link, HttpMessage query) override;
  void Written(Link& link) override;
  void Lost(Link& link) override;
  Task<> Tend();
  void Apply();
  void Conclude(DiscoveryModel::Effect effect);
  NodeList Listed(int balancer, uint64_t version, bool full, const std::vector<HostState>& hosts) const;

  Observer& witness_;
  DiscoveryModel model_;
  Troubles troubles_;
  Stream64 draws_;
  AddressOf address_of_;
  TextOf text_of_;
  std::unordered_map<uint64_t, CallLink*> calls_;
  std::vector<DiscoveryModel::Effect> effects_;
  Event model_moves_;
  Micros tended_at_ = kNever;
  Task<> tending_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_SITE_DISCOVERY_H_
