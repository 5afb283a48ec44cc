// What the program has taken, sent and answered since its start.
#ifndef BURLFALL_OBSERVE_COUNTERS_H_
#define BURLFALL_OBSERVE_COUNTERS_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace burlfall {

struct Counters {
  uint64_t client_links = 0;  // accepted
  uint64_t taken = 0;         // queries
  uint64_t bad = 0;           // answered 4xx before they were queries
  uint64_t served = 0;
  uint64_t throttled = 0;
  uint64_t failed = 0;
  uint64_t left = 0;  // the client went first
  uint64_t sent = 0;  // attempts
  uint64_t server_links = 0;
  uint64_t ok = 0;  // outcomes of attempts, from here on
  uint64_t error = 0;
  uint64_t full = 0;
  uint64_t timeout = 0;
  uint64_t connect_failed = 0;
  uint64_t reset = 0;
  uint64_t cancelled = 0;
  uint64_t moot = 0;
  uint64_t unasked = 0;  // links closed over what their server sent behind its answer
  uint64_t lists = 0;    // from discovery
  uint64_t lists_failed = 0;
  uint64_t list_calls = 0;  // to discovery, those of a watch too
  // Of the features; not told of while there is nothing to tell.
  uint64_t figures_dropped = 0;
  uint64_t capture_dropped = 0;  // events that were not captured
  uint64_t capture_errors = 0;   // of the disk
  uint64_t denied = 0;           // turned away for their token
  uint64_t limited = 0;          // turned away by the door limits
  uint64_t not_ready = 0;        // turned away by a start that has no list yet
  uint64_t cluster_alive = 0;    // members, this one among them
  uint64_t cluster_in = 0;       // datagrams
  uint64_t cluster_out = 0;
  uint64_t cluster_bytes_out = 0;  // of datagrams
  uint64_t cluster_calls = 0;      // connections to other members
  uint64_t council_applied = 0;    // the last entry of the council's log that is carried out here
  uint64_t council_led = 0;        // how often it came to lead
  uint64_t council_proposals = 0;  // that came to it as the leader
  uint64_t council_flushes = 0;    // of a voter's disk
  uint64_t council_acts = 0;       // that it sent as the owner of a work
  uint64_t council_obeyed = 0;     // acts of owners
  uint64_t council_fenced = 0;     // acts of owners that it refused
  uint64_t council_bytes_out = 0;
  uint64_t log_dropped = 0;  // lines of the log that found no room

  std::vector<std::pair<const char*, uint64_t>> All() const;  // that there is something to tell of
  std::string Text() const;                                   // one line: name=value ...
};

}  // namespace burlfall

#endif  // BURLFALL_OBSERVE_COUNTERS_H_
