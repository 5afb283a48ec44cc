// Paces the requests of one connection that cost only this process: those answered without a node, such as
// errors and `/up`. A client that sends them without pause would else take most of the processor time. No
// I/O.
#ifndef BURLFALL_FRONT_LOCAL_ANSWER_PACER_H_
#define BURLFALL_FRONT_LOCAL_ANSWER_PACER_H_

#include <algorithm>

#include "io/time.h"

namespace burlfall {

class LocalAnswerPacer {
 public:
  // A request was answered locally. Returns the time from which on the next one may be read.
  Micros NoteAnswer(Micros now) {
    next_at_ = std::max(next_at_, now) + kInterval;
    return next_at_ - kBurst;
  }

 private:
  static constexpr Micros kInterval = 1 * kMs;
  static constexpr Micros kBurst = 100 * kMs;  // a hundred answers at once

  Micros next_at_ = 0;
};

}  // namespace burlfall

#endif  // BURLFALL_FRONT_LOCAL_ANSWER_PACER_H_
