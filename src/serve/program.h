// The balancer as it serves: its parts, put together, and its phases.
#ifndef BURLFALL_SERVE_PROGRAM_H_
#define BURLFALL_SERVE_PROGRAM_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "config/platform_config.h"
#include "config/properties.h"
#include "control/control_front.h"
#include "control/operations.h"
#include "dispatch/dispatcher.h"
#include "front/http_front.h"
#include "gates/door.h"
#include "gates/tokens.h"
#include "io/machine.h"
#include "links/budget.h"
#include "membership/discovery.h"
#include "membership/host_group.h"
#include "membership/list_log.h"
#include "observe/capture.h"
#include "observe/counters.h"
#include "observe/figures.h"
#include "observe/log.h"
#include "upstream/http_upstream.h"

namespace burlfall {

enum class Phase {
  kStarting,  // nothing is accepted yet
  kServing,
  kDraining,  // told to end: still accepts and answers, and asks clients to go elsewhere
  kClosing,   // accepts nothing more, answers what it owes
  kStopped,
  kAside,  // drained by hand: as draining, but it follows discovery and its operators, and may serve again
};

class Program final : private Operations {
 public:
  // Binds the addresses; throws std::system_error where that can't be done. `log` and `counters` must outlive
  // it.
  Program(Machine& machine, Config config, const Properties& properties, Log& log, Counters& counters);

  void Start();
  void Drain();  // ends, in order: the scheduler stops once it has
  // Takes up a configuration read anew: where discovery is, and the descriptors it allows. The rest holds
  // until the next start; false where it differs.
  bool Reload(Config config);
  void Reload(const Properties& properties);  // what of them may change in service
  void Dump();                                // what was captured, to standard error
  void Finish();                              // what the features still have to write
  Phase phase() const { return phase_; }
  uint16_t port() const { return front_.port(); }
  uint16_t admin_port() const { return control_ ? control_->port() : 0; }  // 0: there is no second address
  const Counters& counters() const { return counters_; }
  size_t descriptors() const;  // how many may be open

 private:
  // What operators tell it.
  bool Serving() const override { return phase_ == Phase::kServing || phase_ == Phase::kAside; }
  Verdict TakeOut(std::string_view server) override;
  Verdict PutBack(std::string_view server) override;
  Verdict StandAside() override;
  Verdict ComeBack() override;

  void ReadOut();
  bool KeepOut(const std::vector<OutHost>& out);
  void HostsChanged();
  void Allow();
  void Take(const HostList* list, const std::string& why);
  void TellDescriptors();
  Task<> Phases();
  Task<> Sweep();

  Machine& machine_;
  Config config_;
  Log& log_;
  Counters& counters_;
  std::unique_ptr<Figures> figures_;
  Tokens tokens_;
  Door door_;
  LinkBudget budget_;
  HostGroup hosts_;
  std::optional<ListLog> list_log_;  // once the list of the start is taken in
  HttpUpstream upstream_;
  Discovery discovery_;
  Dispatcher dispatcher_;
  std::unique_ptr<Capture> capture_;
  HttpFront front_;
  std::optional<ControlFront> control_;
  Phase phase_ = Phase::kStarting;
  Micros aside_since_ = 0;
  bool descriptors_tight_ = false;
  Event moved_;
  Event sweep_;
  Task<> phases_;  // the tasks last: what they use must outlive them
  Task<> sweeper_;
};

}  // namespace burlfall

#endif  // BURLFALL_SERVE_PROGRAM_H_
