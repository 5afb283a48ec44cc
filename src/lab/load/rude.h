// Clients that don't keep the protocol: links that say nothing, half a query, or what is none; that pour on
// without end; that leave under a query. None of it is judged as a query, and what the balancers make of it
// is only counted.
#ifndef BURLFALL_LAB_LOAD_RUDE_H_
#define BURLFALL_LAB_LOAD_RUDE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_set>
#include <vector>

#include "io/machine.h"
#include "lab/load/query_text.h"
#include "lab/load/work_book.h"
#include "lab/script/experiment.h"
#include "lab/script/script.h"
#include "lab/witness/observer_list.h"

namespace burlfall::lab {

// Of a whole query that a rude client sent, and left.
bool IsRude(TraceId trace);

class RudeClients {
 public:
  struct Counts {
    uint64_t links = 0;
    uint64_t refused = 0;  // with an error
    uint64_t ended = 0;    // by the balancer, without a word
    uint64_t served = 0;   // though it was no query: never right
    uint64_t ignored = 0;  // neither, for kPatience
    uint64_t left = 0;     // by the client, under a whole query
    uint64_t no_room = 0;  // the lab's own failure
  };
  static constexpr Micros kPatience = 6 * kSecond;

  RudeClients(Machine& machine, WorkBook& works, const Experiment& experiment,
              const std::vector<Address>& balancers, uint64_t seed);
  void Set(int balancer, double links_per_s);  // 0: none any more; those that are there end in their own way
  const Counts& counts() const { return counts_; }

 private:
  enum class Kind { kSilent, kHalf, kGarbage, kPour, kLeaves };
  struct Target {
    Target(const Address& to, Stream64 stream) : at(to), draws(stream) {}
    const Address at;
    Stream64 draws;
    Task<> coming;
  };

  Task<> Come(Target& target, double links_per_s);
  Task<> Visit(Target& target, Kind kind);
  Task<> Pour(Stream& stream, bool body, Micros until);
  Task<> AwaitEnd(Stream& stream, Micros until);
  std::string Whole(Stream64& draws);
  std::string Garbage(Stream64& draws);

  Machine& machine_;
  WorkBook& works_;
  const std::vector<ClassSpec>& classes_;
  const QueryText text_;
  Counts counts_;
  std::deque<Target> targets_;  // by balancer
  std::list<Task<>> visits_;
};

// Tells on what it hears, but for the attempts of rude clients. Nodes tell it, the judge stands behind.
class WithoutRude final : public ObserverList {
 public:
  void Arrived(const ArrivedAttempt& attempt) override;
  void Ran(uint64_t attempt, Micros at, bool effect) override {
    if (!rude_.contains(attempt)) ObserverList::Ran(attempt, at, effect);
  }
  void AttemptEnded(uint64_t attempt, Micros at, AttemptEnd how) override {
    if (!rude_.contains(attempt)) ObserverList::AttemptEnded(attempt, at, how);
  }
  void LinkEnded(uint64_t attempt, Micros at) override {
    if (!rude_.contains(attempt)) ObserverList::LinkEnded(attempt, at);
  }

 private:
  std::unordered_set<uint64_t> rude_;  // attempts
  std::deque<uint64_t> order_;         // the oldest first; many more than can be open are remembered
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_LOAD_RUDE_H_
