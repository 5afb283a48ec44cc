// What is settable about ejections by vote. docs/design/council_ejection.md tells how the figures were
// weighed. All members must go by the same rules: the state in the log is computed from them at each member.
#ifndef BURLFALL_EJECTION_RULES_H_
#define BURLFALL_EJECTION_RULES_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "io/time.h"

namespace burlfall::ejection {

using Life = uint64_t;  // a host's start as discovery tells it; only equal or newer matters, never a clock

// What was wrong with a host's answers.
enum class Kind : uint8_t { kSilent, kErrors, kSlow, kSpoilt };
constexpr size_t kKinds = 4;
const char* NameOf(Kind kind);

constexpr size_t kLongestName = 255;  // bytes of a name of a host, balancer, zone, or operator

struct Rules {
  // A balancer's evidence.
  Micros window = 30 * kSecond;      // of results that speak
  uint32_t buckets = 30;             // that the window is kept in, the empty ones not
  uint32_t least_trials = 2;         // of a host, before anything is said of it unasked
  double bad_share = 0.3;            // of failures: what a host is held against
  double usual_share = 0.01;         // of failures of the others, at least, so that luck makes no vote
  double sure = 5;                   // natural logarithm of the odds bad : as the others, for a vote unasked
  double own_share = 0.25;           // of all results of the group failing: its own network; it tells nothing
  double slow_times = 10;            // the median of the same class is slow
  Micros slow_least = 100 * kMs;     // and at least so long
  Micros vote_lasts = 30 * kSecond;  // from its entry; then it has run out
  Micros tell_again = 10 * kSecond;  // before its end a vote that still stands is told anew
  size_t most_hosts = 4096;          // that a balancer keeps results of, and a state knows
  size_t most_classes = 16;          // of a host; others are counted as the last

  // The count.
  uint32_t sure_to_ask = 1;           // voters that are sure open the question; then all tell what they saw
  double answered_good = 4;           // good words for each vote, and at least
  uint32_t answered_least = 20;       // so many of them: the question is closed
  Micros listen = 1 * kSecond;        // from the question to the first count
  Micros listen_long = 5 * kSecond;   // where all fails for some and nothing for others
  Micros ask_back = 3 * kSecond;      // before the question, at most, results are asked for as well
  Micros relapse_ask = 10 * kSecond;  // after a return, grace first, all tell unasked for so long
  double odds_asked = 3;        // as `sure`, for a vote in question; good words where they are not above even
  uint32_t sure_least = 2;      // voters that are sure, or twice the least of voters
  uint32_t voters_least = 3;    // distinct balancers
  uint32_t zones_least = 2;     // of voters, where as many use the host
  uint32_t suspect_least = 4;   // hosts that one balancer votes against: suspect, where it is also more than
  double suspect_share = 0.1;   // this share of the hosts
  size_t most_votes = 64;       // standing, of one balancer; more are refused
  uint32_t most_entries = 200;  // of one balancer in a window; more are refused
  uint32_t most_rate = 2000;    // results a second of one host at one balancer: more can't be

  // Caps, all of them: hosts out by vote at once.
  double most_group = 0.1;  // of the group's hosts, but one at least
  double most_zone = 0.34;  // of a zone's hosts, but one at least
  double fill_most = 0.9;   // of the capacity of the rest, by the work that there is

  // Coming back.
  Micros first_term = 5 * kSecond;
  Micros longest_term = 60 * kSecond;
  Micros hold_down = 5 * kSecond;        // after a loss a good trial brings back, and leaves the term alone
  Micros grace = 3 * kSecond;            // after a host appears or is back, failures don't count
  Micros relapse_within = 30 * kSecond;  // of its return: the term doubles from what it was before it shrank
  Micros forget_term = 600 * kSecond;    // back for so long: it begins from the first term again
  Micros try_one = 2 * kSecond;          // one balancer tries for so long
  Micros try_few = 5 * kSecond;          // then so many, for so long; then the ejection is over
  uint32_t few = 5;
  Micros longest_by_hand = 24 * 3600 * kSecond;  // that an operator may extend by
  Micros incident_quiet = 10 * kSecond;  // no more than the cap accused: the incident's sight has ended

  // Faults planted on purpose, for the tests that must find them. Never set by settings.
  struct Planted {
    bool counts_twice = false;  // a balancer's second vote beside its first
    bool old_life = false;      // votes of an earlier life count
    bool suspects_count = false;
    bool zones_ignored = false;
    bool goods_ignored = false;
    bool cap_forgotten = false;  // at a change of owner
    bool cap_ignored = false;
    bool never_ends = false;
    bool votes_stay = false;        // past their end
    bool last_host = false;         // ejected as well
    bool stale_owner = false;       // an older epoch may count
    bool numbers_believed = false;  // that can't be
  } planted;
};

}  // namespace burlfall::ejection

#endif  // BURLFALL_EJECTION_RULES_H_
