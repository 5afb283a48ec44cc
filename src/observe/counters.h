// Counters of the process since its start. The names are printed as they are here.
#ifndef BURLFALL_OBSERVE_COUNTERS_H_
#define BURLFALL_OBSERVE_COUNTERS_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace burlfall {

struct Counters {
  uint64_t client_links = 0;  // client connections accepted
  uint64_t taken = 0;         // queries received
  uint64_t bad = 0;           // requests answered with 4xx before they became queries
  uint64_t served = 0;
  uint64_t throttled = 0;
  uint64_t failed = 0;
  uint64_t left = 0;  // the client disconnected before the answer
  uint64_t sent = 0;  // attempts sent to servers
  uint64_t server_links = 0;
  uint64_t ok = 0;  // outcomes of attempts, up to `moot`
  uint64_t error = 0;
  uint64_t full = 0;
  uint64_t timeout = 0;
  uint64_t connect_failed = 0;
  uint64_t reset = 0;
  uint64_t cancelled = 0;
  uint64_t moot = 0;
  uint64_t unasked = 0;  // server links closed because the server sent more than its answer, or it twice
  uint64_t lists = 0;    // lists received from discovery
  uint64_t lists_failed = 0;
  uint64_t list_calls = 0;  // calls to discovery, including those of a watch
  // Counters of optional features; omitted from the output while they are 0.
  uint64_t figures_dropped = 0;
  uint64_t capture_dropped = 0;  // events that were not recorded
  uint64_t capture_errors = 0;   // disk errors of the capture
  uint64_t unsound = 0;          // of `bad`: requests that the protocol does not allow
  uint64_t repeated_ids = 0;     // of `bad`: ids of requests that are open or may have run
  uint64_t refused_unread = 0;   // refused because more input waits than is read ahead
  uint64_t refused_memory = 0;   // refused because messages hold as much memory as they may
  uint64_t expired = 0;          // large requests answered because their client's time was over
  uint64_t refused_open = 0;     // refused because too many requests are open
  uint64_t unfinished = 0;       // of `bad`: requests that did not arrive in time
  uint64_t closed_short = 0;     // idle client links closed because descriptors run short
  uint64_t denied = 0;           // refused because of their token
  uint64_t limited = 0;          // refused by the rate limits at admission
  uint64_t not_ready = 0;        // refused because no server list is known yet
  uint64_t cluster_alive = 0;    // members that are alive, including this one
  uint64_t cluster_in = 0;       // datagrams received; cluster_out: datagrams sent
  uint64_t cluster_out = 0;
  uint64_t cluster_bytes_out = 0;  // bytes of datagrams sent
  uint64_t cluster_calls = 0;      // connections to other members
  uint64_t council_applied = 0;    // index of the last log entry applied by this member
  uint64_t council_led = 0;        // elections won by this member
  uint64_t council_proposals = 0;  // proposals received as the leader
  uint64_t council_flushes = 0;    // flushes of a voter's log to disk
  uint64_t council_acts = 0;       // acts sent as the owner of a task
  uint64_t council_obeyed = 0;     // owners' acts that were carried out
  uint64_t council_fenced = 0;     // owners' acts that were refused (fenced)
  uint64_t council_bytes_out = 0;
  uint64_t log_dropped = 0;  // log lines dropped because the output was full

  // Names and values; counters of features only if they are not 0.
  std::vector<std::pair<const char*, uint64_t>> All() const;
  std::string Text() const;  // one line: name=value ...
};

}  // namespace burlfall

#endif  // BURLFALL_OBSERVE_COUNTERS_H_
