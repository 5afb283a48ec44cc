// The platform's discovery as a source: the whole list first, then a watch on what changes.
#ifndef BURLFALL_MEMBERSHIP_DISCOVERY_H_
#define BURLFALL_MEMBERSHIP_DISCOVERY_H_

#include <memory>
#include <optional>
#include <string>

#include "config/platform_config.h"
#include "io/machine.h"
#include "membership/source.h"
#include "observe/counters.h"
#include "start/asking.h"

namespace burlfall {

class Discovery final : public Source {
 public:
  // `pace` says when calls may go out, where there is one, and outlives this; nullptr: whenever they are
  // asked for.
  Discovery(Machine& machine, const Config& config, Counters& counters, Told told,
            start::Asking* pace = nullptr);
  void Start() override;
  void Follow() override;
  void Again() override;

 private:
  // What became of one call.
  struct Answer {
    std::optional<HostList> list = {};  // nothing where it failed, in whatever way
    std::string why = {};               // then: in plain words
    start::CallEnd how = start::CallEnd::kDown;
    Micros retry_after = 0;  // that the service asked for; 0: nothing
  };
  Task<> Watch();
  Task<Answer> Ask(std::string path, Micros patience);

  Scheduler& scheduler_;
  Network& network_;
  Machine& machine_;
  const Config& config_;
  Counters& counters_;
  Told told_;
  start::Asking* const pace_;
  std::unique_ptr<Stream> link_;
  Event asked_;
  bool following_ = false;
  Task<> watch_;  // last: what it uses must outlive it
};

}  // namespace burlfall

#endif  // BURLFALL_MEMBERSHIP_DISCOVERY_H_
