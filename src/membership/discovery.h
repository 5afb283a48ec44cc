// The platform's discovery service as a source of lists. Watches for changes since the version that the host
// group has, or fetches the full list if it has none.
#ifndef BURLFALL_MEMBERSHIP_DISCOVERY_H_
#define BURLFALL_MEMBERSHIP_DISCOVERY_H_

#include <memory>
#include <optional>
#include <string>

#include "config/platform_config.h"
#include "io/machine.h"
#include "membership/list_clock.h"
#include "membership/source.h"
#include "observe/counters.h"
#include "start/call_pacer.h"

namespace burlfall {

class Discovery final : public Source {
 public:
  // `pace` limits when calls are sent and must outlive this object; nullptr: calls are sent on demand.
  Discovery(Machine& machine, const Config& config, Counters& counters, Told told,
            start::CallPacer* pace = nullptr);
  void Start(std::optional<uint64_t> has) override;
  void Follow() override;
  void Again() override;

 private:
  // Result of one call.
  struct Answer {
    std::optional<HostList> list = {};  // nullopt if the call failed in any way
    std::string why = {};               // the reason of a failure, for the log
    ListCallEnd how = ListCallEnd::kDown;
    Micros retry_after = 0;  // requested by the service; 0: none
    bool waited = false;     // the call was queued at the service, judging by its duration
  };
  Task<> Watch();
  bool Bound() const;
  Micros TurnAt() const;
  Task<> AwaitTurn();
  void Settle(const Answer& answer, Micros called_at, bool news);
  Task<Answer> Ask(std::string path, Micros patience);

  Scheduler& scheduler_;
  Network& network_;
  Machine& machine_;
  const Config& config_;
  Counters& counters_;
  Told told_;
  start::CallPacer* const pace_;
  ListClock clock_;
  std::unique_ptr<Stream> link_;
  Event asked_;
  std::optional<uint64_t> has_;  // version on which further changes are based; nullopt: none
  bool started_ = false;
  bool following_ = false;
  Task<> watch_;  // last: what it uses must outlive it
};

}  // namespace burlfall

#endif  // BURLFALL_MEMBERSHIP_DISCOVERY_H_
