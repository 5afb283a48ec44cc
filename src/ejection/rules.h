// What is settable about ejections by vote. docs/design/council_ejection.md tells how the figures were
// weighed. All members must go by the same rules: the state in the log is computed from them at each member.
#ifndef BURLFALL_EJECTION_RULES_H_
#define BURLFALL_EJECTION_RULES_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "io/time.h"

namespace burlfall::ejection {

using Incarnation =
    uint64_t;  // a host's start as discovery tells it; only equal or newer matters, never a clock

// What was wrong with a host's answers.
enum class Kind : uint8_t { kSilent, kErrors, kSlow, kMalformed };
constexpr size_t kKinds = 4;
const char* NameOf(Kind kind);

constexpr size_t kMaxNameBytes = 255;  // bytes of a name of a host, balancer, zone, or operator

struct Rules {
  // A balancer's evidence.
  Micros window = 30 * kSecond;      // of results that speak
  uint32_t buckets = 30;             // that the window is kept in, the empty ones not
  uint32_t min_trials = 2;           // of a host, before anything is said of it unasked
  double bad_share = 0.3;            // of failures: what a host is held against
  double min_baseline_share = 0.01;  // of failures of the others, at least, so that luck makes no vote
  double sure_log_odds = 5;          // natural logarithm of the odds bad : as the others, for a vote unasked
  double own_network_share = 0.25;   // of all results of the group failing: its own network; it tells nothing
  double slow_factor = 10;           // the median of the same class is slow
  Micros min_slow_latency = 100 * kMs;        // and at least so long
  Micros vote_lifetime = 30 * kSecond;        // from its entry; then it has run out
  Micros renew_before_expiry = 10 * kSecond;  // before its end a vote that still stands is told anew
  size_t max_hosts = 4096;                    // that a balancer keeps results of, and a state knows
  size_t max_classes = 16;                    // of a host; others are counted as the last

  // The count.
  uint32_t sure_votes_to_poll = 1;  // voters that are sure open the question; then all tell what they saw
  double close_good_reports_per_vote = 4;   // good words for each vote, and at least
  uint32_t close_min_good_reports = 20;     // so many of them: the question is closed
  Micros poll_wait = 1 * kSecond;           // from the question to the first count
  Micros poll_wait_if_mixed = 5 * kSecond;  // where all fails for some and nothing for others
  Micros poll_lookback = 3 * kSecond;       // before the question, at most, results are asked for as well
  Micros relapse_poll_time = 10 * kSecond;  // after a return, grace first, all tell unasked for so long
  double poll_log_odds = 3;     // as `sure`, for a vote in question; good words where they are not above even
  uint32_t min_sure_votes = 2;  // voters that are sure, or twice the least of voters
  uint32_t min_voters = 3;      // distinct balancers
  uint32_t min_zones = 2;       // of voters, where as many use the host
  uint32_t suspect_min_hosts =
      4;                       // hosts that one balancer votes against: suspect, where it is also more than
  double suspect_share = 0.1;  // this share of the hosts
  size_t max_votes_per_balancer = 64;      // standing, of one balancer; more are refused
  uint32_t max_entries_per_window = 200;   // of one balancer in a window; more are refused
  uint32_t max_results_per_second = 2000;  // results a second of one host at one balancer: more can't be

  // Caps, all of them: hosts out by vote at once.
  double max_group_share = 0.1;  // of the group's hosts, but one at least
  double max_zone_share = 0.34;  // of a zone's hosts, but one at least
  double max_utilization = 0.9;  // of the capacity of the rest, by the work that there is

  // Coming back.
  Micros first_term = 5 * kSecond;
  Micros max_term = 60 * kSecond;
  Micros hold_down = 5 * kSecond;         // after a loss a good trial brings back, and leaves the term alone
  Micros grace = 3 * kSecond;             // after a host appears or is back, failures don't count
  Micros relapse_within = 30 * kSecond;   // of its return: the term doubles from what it was before it shrank
  Micros term_retention = 600 * kSecond;  // back for so long: it begins from the first term again
  Micros single_trial_timeout = 2 * kSecond;  // one balancer tries for so long
  Micros multi_trial_timeout = 5 * kSecond;   // then so many, for so long; then the ejection is over
  uint32_t multi_trial_balancers = 5;
  Micros max_extension = 24 * 3600 * kSecond;  // that an operator may extend by
  Micros incident_calm_time = 10 * kSecond;    // no more than the cap accused: the incident's sight has ended

  // Faults planted on purpose, for the tests that must find them. Never set by settings.
  struct InjectedFaults {
    bool counts_twice = false;     // a balancer's second vote beside its first
    bool old_incarnation = false;  // votes of an earlier life count
    bool suspects_count = false;
    bool zones_ignored = false;
    bool good_reports_ignored = false;
    bool cap_reset_by_new_owner = false;  // at a change of owner
    bool cap_ignored = false;
    bool terms_never_end = false;
    bool votes_never_expire = false;        // past their end
    bool last_host_ejected = false;         // ejected as well
    bool stale_owner_accepted = false;      // an older epoch may count
    bool invalid_numbers_accepted = false;  // that can't be
  } injected;
};

}  // namespace burlfall::ejection

#endif  // BURLFALL_EJECTION_RULES_H_
