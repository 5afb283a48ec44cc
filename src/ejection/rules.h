// Parameters of ejection by vote. docs/design/council_ejection.md explains the values. All members must use
// the same rules, because each member computes the replicated state from the log entries and from these
// values.
#ifndef BURLFALL_EJECTION_RULES_H_
#define BURLFALL_EJECTION_RULES_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "io/time.h"

namespace burlfall::ejection {

// One run of a host, as service discovery numbers it. Only "equal" and "newer" have a meaning; it is not a
// clock.
using Incarnation = uint64_t;

// How a host's answer failed.
enum class Kind : uint8_t {
  kSilent,    // no answer within the timeout
  kErrors,    // an error answer
  kSlow,      // an answer that took much longer than is usual for its class
  kMalformed  // an answer with corrupted contents
};
constexpr size_t kKinds = 4;
const char* NameOf(Kind kind);

constexpr size_t kMaxNameBytes = 255;  // for the name of a host, balancer, zone or operator

struct Rules {
  // Evidence that one balancer collects from its own queries.
  Micros window = 30 * kSecond;  // older results are dropped
  uint32_t buckets = 30;         // that the window is divided into; empty buckets are not stored
  uint32_t min_trials = 2;       // results and failures of a host before a balancer votes without a poll
  double bad_share = 0.3;        // share of failures that a host is tested against
  // Lower bound for the share of failures assumed of a healthy host, so that a few random errors give no
  // vote.
  double min_baseline_share = 0.01;
  // A vote without a poll needs this natural logarithm of the odds "fails at bad_share" : "fails as often as
  // the other hosts".
  double sure_log_odds = 5;
  // With this share of failures among the results of the other hosts, a balancer assumes a fault of its own
  // network and does not vote.
  double own_network_share = 0.25;
  double slow_factor = 10;              // an answer is slow above this multiple of its class's median,
  Micros min_slow_latency = 100 * kMs;  // and if it took at least this long
  Micros vote_lifetime = 30 * kSecond;  // from the vote's log entry until it expires
  Micros renew_before_expiry =
      10 * kSecond;         // a vote that still applies is sent again this long before expiry
  size_t max_hosts = 4096;  // in the records of a balancer, and in the replicated state
  size_t max_classes = 16;  // per host; further classes are counted with the last one

  // Counting the votes. A poll asks all balancers about a host: each then reports what it has seen of it.
  uint32_t sure_votes_to_poll = 1;  // this many sure votes open a poll
  // A poll closes without an ejection when there are at least this many good reports per vote,
  double close_good_reports_per_vote = 4;
  uint32_t close_min_good_reports = 20;     // and at least this many in total
  Micros poll_wait = 1 * kSecond;           // from the start of the poll to the first count
  Micros poll_wait_if_mixed = 5 * kSecond;  // if every query fails for some balancers and none for others
  Micros poll_lookback = 3 * kSecond;       // the poll covers results from at most this long before its start
  Micros relapse_poll_time =
      10 * kSecond;  // after a return and its grace time, the host is polled for this long
  // As sure_log_odds, for a vote during a poll. Up to even odds the balancer sends a good report instead.
  double poll_log_odds = 3;
  uint32_t min_sure_votes = 2;  // an ejection needs this many sure votes, or twice min_voters votes
  uint32_t min_voters = 3;      // distinct balancers
  uint32_t min_zones = 2;       // of the voters, if that many zones use the host
  // A balancer is suspect if it votes against at least this many hosts,
  uint32_t suspect_min_hosts = 4;
  double suspect_share = 0.1;              // and against more than this share of the hosts that it uses
  size_t max_votes_per_balancer = 64;      // valid at one time; further votes are refused
  uint32_t max_entries_per_window = 200;   // log entries of one balancer; further entries are refused
  uint32_t max_results_per_second = 2000;  // of one host at one balancer; a vote that claims more is refused

  // Caps on the hosts that are ejected at one time. All of them apply.
  double max_group_share = 0.1;  // of the group's hosts, at least one host
  double max_zone_share = 0.34;  // of a zone's hosts, at least one host
  double max_utilization = 0.9;  // of the capacity of the remaining hosts, at the present load

  // Return of an ejected host.
  Micros first_term = 5 * kSecond;
  Micros max_term = 60 * kSecond;
  // A good trial within this time after the ejection or a bad trial returns the host, but does not shorten
  // its next term.
  Micros hold_down = 5 * kSecond;
  Micros grace = 3 * kSecond;  // after a host appears or returns, its failures are not counted
  // If the host is ejected again this soon after its return, the next term is twice the last one, whatever
  // good trials shortened.
  Micros relapse_within = 30 * kSecond;
  Micros term_retention = 600 * kSecond;      // a host that stays this long starts again with first_term
  Micros single_trial_timeout = 2 * kSecond;  // for the trial by one balancer
  Micros multi_trial_timeout = 5 * kSecond;   // then for trials by several; after it the host returns
  uint32_t multi_trial_balancers = 5;
  Micros max_extension = 24 * 3600 * kSecond;  // by an operator
  // An incident ends when no host has been held back by the caps for this long.
  Micros incident_calm_time = 10 * kSecond;

  // Faults that tests inject to show that the checker finds them. Never set from settings.
  struct InjectedFaults {
    bool counts_twice = false;            // a balancer's second vote is added to its first
    bool old_incarnation = false;         // votes against an earlier incarnation are counted
    bool suspects_count = false;          // votes of suspect balancers are counted
    bool zones_ignored = false;           // the votes of one zone are enough
    bool good_reports_ignored = false;    // good reports have no weight
    bool cap_reset_by_new_owner = false;  // a new owner ignores the ejections of the previous ones
    bool cap_ignored = false;             // the caps are not applied
    bool terms_never_end = false;         // ejections do not expire
    bool votes_never_expire = false;
    bool last_host_ejected = false;         // the last host of a group or zone is ejected as well
    bool stale_owner_accepted = false;      // commands with an older epoch are applied
    bool invalid_numbers_accepted = false;  // votes with impossible numbers are accepted
  } injected;
};

}  // namespace burlfall::ejection

#endif  // BURLFALL_EJECTION_RULES_H_
