// The platform's discovery as a source: a watch on what changes, from the version that the group has, or from
// the whole list where it has none.
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
#include "start/asking.h"

namespace burlfall {

class Discovery final : public Source {
 public:
  // `pace` says when calls may go out, where there is one, and outlives this; nullptr: whenever they are
  // asked for.
  Discovery(Machine& machine, const Config& config, Counters& counters, Told told,
            start::Asking* pace = nullptr);
  void Start(std::optional<uint64_t> has) override;
  void Follow() override;
  void Again() override;

 private:
  // What became of one call.
  struct Answer {
    std::optional<HostList> list = {};  // nothing where it failed, in whatever way
    std::string why = {};               // then: in plain words
    ListCallEnd how = ListCallEnd::kDown;
    Micros retry_after = 0;  // that the service asked for; 0: nothing
    bool waited = false;     // in line, as far as the time that it took tells
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
  start::Asking* const pace_;
  ListClock clock_;
  std::unique_ptr<Stream> link_;
  Event asked_;
  std::optional<uint64_t> has_;  // the version of the list that changes go on from; nothing: none
  bool started_ = false;
  bool following_ = false;
  Task<> watch_;  // last: what it uses must outlive it
};

}  // namespace burlfall

#endif  // BURLFALL_MEMBERSHIP_DISCOVERY_H_
