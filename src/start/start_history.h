// History of a balancer's recent starts, as stored in a file. A process in a crash loop uses it to delay its
// calls to the list service further with each restart. An orderly exit clears the history. Performs no I/O
// and reads no clock.
#ifndef BURLFALL_START_START_HISTORY_H_
#define BURLFALL_START_START_HISTORY_H_

#include <string>
#include <string_view>
#include <vector>

#include "io/time.h"

namespace burlfall::start {

class StartHistory {
 public:
  // Malformed text gives an empty history.
  explicit StartHistory(std::string_view text = "");
  // Number of starts in the `span` before `wall` (Unix time). Starts after `wall` are not counted.
  int Within(Micros span, Micros wall) const;
  void Add(Micros wall);
  std::string Text() const;

 private:
  static constexpr size_t kMaxStarts = 16;
  std::vector<Micros> starts_;  // Unix times, in the order of the starts
};

}  // namespace burlfall::start

#endif  // BURLFALL_START_START_HISTORY_H_
