// One run of an experiment: the site, its clients, the judge, and the balancers between them. How the
// balancers run is somebody else's to know (Processes).
#ifndef BURLFALL_LAB_RUN_RUN_H_
#define BURLFALL_LAB_RUN_RUN_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "io/machine.h"
#include "lab/judge/fleet_tally.h"
#include "lab/judge/history_file.h"
#include "lab/judge/run_checker.h"
#include "lab/load/clients.h"
#include "lab/load/rude.h"
#include "lab/script/experiment.h"
#include "lab/script/script.h"
#include "lab/site/site.h"
#include "lab/witness/observer_list.h"

namespace burlfall::lab {

// The balancers' processes. What becomes of them Run::Up() and Run::Ended() are told, later.
class Processes {
 public:
  virtual ~Processes() = default;
  virtual void Start(int balancer, const std::string& config, FolderAfter folder) = 0;
  virtual void Kill(int balancer) = 0;
  virtual void Terminate(int balancer) = 0;
  virtual void Reload(int balancer, const std::string& config) = 0;
  virtual void Pause(int balancer, bool on) = 0;  // stands still, or goes on
};

class Run final : private Balancers {
 public:
  enum class Phase {
    kPreparing,
    kStarting,  // the balancers come up
    kPlaying,
    kEnding,  // no more queries: those on their way are answered
    kOver,
  };
  struct Setup {
    std::string subject;              // what is tried, for the result
    std::string node_host;            // nodes and discovery listen there, at any port
    std::vector<std::string> listen;  // of the balancers
    bool host_each = false;           // nodes each at a host of their own
    Micros start_within = 2 * kSecond;
    HistoryWriter::LineSink history = {};  // takes its lines; empty: nobody wants them
  };
  struct Progress {
    Phase phase = Phase::kPreparing;
    Micros since = 0;  // the begin of the run; negative before it
    Micros length = 0;
    size_t waiting = 0;  // queries
    uint64_t tries = 0;
    uint64_t broken = 0;  // rules, so far
    std::string fault;    // the last that began
  };

  // All of these must outlive it. Throws std::system_error where the site can't listen.
  Run(Machine& machine, const Experiment& experiment, uint64_t seed, Setup setup, Processes& processes);
  ~Run();

  // Plays the run to its end; `failed()` says where it could not.
  Task<> Play();
  void Stop(std::string why);                            // ends it as soon as what is on its way is over
  const std::string& failed() const { return failed_; }  // empty: it was played
  bool began() const { return began_; }                  // clients sent, or would have

  void Up(int balancer);
  void Ended(int balancer);  // its process has

  Progress progress() const;
  Verdict& verdict() { return verdict_; }  // once it is over
  const Script& script() const { return script_; }
  const std::vector<std::string>& notes() const { return notes_; }  // what else is worth knowing

 private:
  // A balancer's process as this run last heard of it.
  enum class Life { kNone, kStarting, kUp, kLeaving, kKilled };

  void Start(int balancer, const std::string& config, FolderAfter folder) override;
  void Kill(int balancer) override;
  void Terminate(int balancer) override;
  void Reload(int balancer, const std::string& config) override;
  void Pause(int balancer, bool on) override;
  void SetMisbehavingLinkRate(int balancer, double links_per_s) override;
  bool AllUp() const;
  Task<> SleepUntil(Micros until);
  void HoldInTime();  // the fleet's goal
  void Note();

  Machine& machine_;
  const Experiment& experiment_;
  const Script script_;
  const Setup setup_;
  Processes& processes_;
  const Micros begins_at_;
  Phase phase_ = Phase::kPreparing;
  std::string failed_;
  bool stopping_ = false;
  bool began_ = false;
  std::vector<Life> lives_;
  std::vector<std::string> notes_;
  Verdict verdict_;
  ObserverList witnesses_;
  std::unique_ptr<Arrivals> arrivals_;
  RunChecker judge_;
  FleetTally fleet_;
  std::optional<HistoryWriter> history_;
  WithoutRude polite_;  // what the judge hears: queries of clients that keep the protocol
  Clients clients_;
  Site site_;
  Event moved_;
};

std::string_view NameOf(Run::Phase phase);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_RUN_RUN_H_
