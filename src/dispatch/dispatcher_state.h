// What one process's dispatcher leaves to the next one's: all but the queries on their way, which stay.
#ifndef BURLFALL_DISPATCH_DISPATCHER_STATE_H_
#define BURLFALL_DISPATCH_DISPATCHER_STATE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "io/time.h"

namespace burlfall {

struct Carried {
  struct Timer {
    Micros at = 0;
    uint64_t name = 0;
    void Fields(auto& a) { a(at, name); }
  };
  // An attempt whose result the module has not heard.
  struct Attempt {
    int number = 0;
    uint32_t backend = 0;
    Micros sent_at = 0;
    void Fields(auto& a) { a(number, backend, sent_at); }
  };
  struct Query {
    uint64_t id = 0;
    int sent = 0;
    std::vector<Attempt> out;
    void Fields(auto& a) { a(id, sent, out); }
  };

  std::string module;  // what it saved
  Micros now = 0;      // by the clock of the process that wrote it
  uint64_t last_id = 0;
  std::vector<Timer> timers;
  std::vector<Query> queries;
  void Fields(auto& a) { a(module, now, last_id, timers, queries); }
};

}  // namespace burlfall

#endif  // BURLFALL_DISPATCH_DISPATCHER_STATE_H_
