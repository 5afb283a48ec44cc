// The state that one process's dispatcher hands over to the next process's. The open queries themselves stay
// with the old process; the state names them so that the new one's module can stop tracking them.
#ifndef BURLFALL_DISPATCH_DISPATCHER_STATE_H_
#define BURLFALL_DISPATCH_DISPATCHER_STATE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "io/time.h"

namespace burlfall {

struct DispatcherState {
  // A timer of the module.
  struct Timer {
    Micros at = 0;
    uint64_t timer_id = 0;
    void Fields(auto& a) { a(at, timer_id); }
  };
  // An attempt whose result has not been reported to the module.
  struct Attempt {
    int number = 0;
    uint32_t backend = 0;
    Micros sent_at = 0;
    void Fields(auto& a) { a(number, backend, sent_at); }
  };
  struct Query {
    uint64_t id = 0;
    int attempt_count = 0;
    std::vector<Attempt> unreported;
    void Fields(auto& a) { a(id, attempt_count, unreported); }
  };

  std::string module_state;  // as written by Balancer::Save()
  Micros saved_at = 0;       // by the clock of the process that exported it
  uint64_t last_id = 0;
  std::vector<Timer> timers;
  std::vector<Query> queries;
  void Fields(auto& a) { a(module_state, saved_at, last_id, timers, queries); }
};

}  // namespace burlfall

#endif  // BURLFALL_DISPATCH_DISPATCHER_STATE_H_
