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
  // `pacer` limits when calls are sent and must outlive this object; nullptr: calls are sent on demand.
  Discovery(Machine& machine, const Config& config, Counters& counters, OnUpdate on_update,
            start::CallPacer* pacer = nullptr);
  void Start(std::optional<uint64_t> known_version) override;
  void Follow() override;
  void Reconnect() override;

 private:
  // Result of one call.
  struct Answer {
    std::optional<HostList> list = {};  // nullopt if the call failed in any way
    std::string why = {};               // the reason of a failure, for the log
    ListCallOutcome how = ListCallOutcome::kDown;
    Micros retry_after = 0;   // requested by the service; 0: none
    bool was_queued = false;  // the call was queued at the service, judging by its duration
  };
  Task<> Watch();
  bool ClockApplies() const;
  Micros NextPacedCallAt() const;
  Task<> WaitForNextCall();
  void RecordOutcome(const Answer& answer, Micros called_at, bool changed);
  Task<Answer> Call(std::string path, Micros timeout);

  Scheduler& scheduler_;
  Network& network_;
  Machine& machine_;
  const Config& config_;
  Counters& counters_;
  OnUpdate on_update_;
  start::CallPacer* const pacer_;
  ListClock clock_;
  std::unique_ptr<Stream> link_;
  Event follow_requested_;
  std::optional<uint64_t> known_version_;  // version on which further changes are based; nullopt: none
  bool started_ = false;
  bool following_ = false;
  Task<> watch_;  // last: what it uses must outlive it
};

}  // namespace burlfall

#endif  // BURLFALL_MEMBERSHIP_DISCOVERY_H_
