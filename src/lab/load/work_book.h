// What is known of each query's work, for the nodes: from its first try until a while after its end.
#ifndef BURLFALL_LAB_LOAD_WORK_BOOK_H_
#define BURLFALL_LAB_LOAD_WORK_BOOK_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "lab/site/node.h"
#include "lab/witness/observer.h"

namespace burlfall::lab {

class WorkBook {
 public:
  // Holds at most that many; beyond them the oldest are forgotten early.
  explicit WorkBook(size_t most);

  // A try of a query; the first one of it says for how long the query is remembered. Queries come in order of
  // that time, nearly.
  void Note(TraceId trace, const WorkInfo& work, Micros forget_at);
  bool WorkOf(TraceId trace, WorkInfo& work) const;
  void Forget(Micros now);  // what is over by then
  size_t size() const { return order_.size(); }

 private:
  // One table, in which an entry lies at the place that its trace says or behind it, with no gap between.
  // Each query goes in and out once, and with the standard library's table that was a twelfth of its whole
  // cost.
  struct Query {
    TraceId first = 0;   // 0: no entry
    uint32_t tries = 0;  // a bit for each by its number
    WorkInfo work;
  };
  struct Place {
    Micros forget_at;
    TraceId first;
  };

  size_t Find(TraceId first) const;  // its place, or that of the gap where it would go
  void Grow();
  void Erase(TraceId first);

  const size_t most_;
  std::vector<Query> table_;  // a power of 2, at most half full
  std::deque<Place> order_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_LOAD_WORK_BOOK_H_
