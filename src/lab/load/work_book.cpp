#include "lab/load/work_book.h"

#include <utility>

#include "lab/script/script.h"

namespace burlfall::lab {
namespace {

constexpr size_t kFirstSize = 1024;

}  // namespace

WorkBook::WorkBook(size_t most) : most_(most), table_(kFirstSize) {}

void WorkBook::Note(TraceId trace, const WorkInfo& work, Micros forget_at) {
  const TraceId first = FirstTrace(trace);
  const uint32_t number = 1U << NumberOfTry(trace);
  size_t at = Find(first);
  if (table_[at].first != 0) {
    table_[at].tries |= number;
    return;
  }
  if (order_.size() >= most_) {
    Erase(order_.front().first);
    order_.pop_front();
  } else if (2 * (order_.size() + 1) > table_.size()) {
    Grow();
  }
  order_.push_back({forget_at, first});
  table_[Find(first)] = {first, number, work};
}

bool WorkBook::WorkOf(TraceId trace, WorkInfo& work) const {
  const Query& query = table_[Find(FirstTrace(trace))];
  if ((query.tries >> NumberOfTry(trace) & 1) == 0) return false;
  work = query.work;
  return true;
}

void WorkBook::Forget(Micros now) {
  while (!order_.empty() && order_.front().forget_at <= now) {
    Erase(order_.front().first);
    order_.pop_front();
  }
}

size_t WorkBook::Find(TraceId first) const {
  const size_t mask = table_.size() - 1;
  size_t at = first & mask;
  while (table_[at].first != 0 && table_[at].first != first) at = (at + 1) & mask;
  return at;
}

void WorkBook::Grow() {
  std::vector<Query> old(2 * table_.size());
  std::swap(old, table_);
  for (const Query& one : old) {
    if (one.first != 0) table_[Find(one.first)] = one;
  }
}

// What lies behind moves up into the gap, unless its own place is behind the gap.
void WorkBook::Erase(TraceId first) {
  const size_t mask = table_.size() - 1;
  size_t gap = Find(first);
  for (size_t at = gap; table_[at = (at + 1) & mask].first != 0;) {
    const size_t home = table_[at].first & mask;
    if (((at - home) & mask) < ((at - gap) & mask)) continue;
    table_[gap] = table_[at];
    gap = at;
  }
  table_[gap] = {};
}

}  // namespace burlfall::lab
