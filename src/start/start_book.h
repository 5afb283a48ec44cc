// When a balancer was started of late, as a file keeps it: a process that crashes and is started again, in a
// loop, costs the list service less with each round. An orderly end closes the book. No I/O, no clock.
#ifndef BURLFALL_START_START_BOOK_H_
#define BURLFALL_START_START_BOOK_H_

#include <string>
#include <string_view>
#include <vector>

#include "io/time.h"

namespace burlfall::start {

class StartBook {
 public:
  // What can't be read says nothing: the loop then begins anew.
  explicit StartBook(std::string_view text = "");
  // How many starts there were in this span up to now, by the clock on the wall; those that it says are yet
  // to come are none.
  int Within(Micros span, Micros wall) const;
  void Add(Micros wall);
  std::string Text() const;

 private:
  static constexpr size_t kMost = 16;
  std::vector<Micros> starts_;  // the latest last
};

}  // namespace burlfall::start

#endif  // BURLFALL_START_START_BOOK_H_
