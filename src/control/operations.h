// What an operator's calls mean. Whoever serves them knows nothing of servers or phases, and whoever carries
// them out nothing of HTTP.
#ifndef BURLFALL_CONTROL_OPERATIONS_H_
#define BURLFALL_CONTROL_OPERATIONS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "io/task.h"
#include "io/time.h"

namespace burlfall {

enum class Verdict {
  kDone,     // in force from here on; also where it was so before
  kUnknown,  // there is no such server, nor was there
  kNotNow,   // the program is past it: it ends
  kFailed,   // it could not be kept for the next start; nothing has changed
};

// A call that changes something, as it is asked for before it is carried out.
struct ChangeCall {
  enum class What { kTakeOut, kPutBack, kStandAside, kComeBack };
  What what = What::kTakeOut;
  std::string server;  // of the first two
  std::string by;      // of whoever breaks the glass, or calls it an emergency; with a reason
  std::string reason;
};

// Whether it may begin.
struct Leave {
  bool granted = true;
  std::string why;                 // where not: the error's name, what stands against it, and what to do
  Micros retry = 0;                // when to ask again; 0: nobody knows
  uint64_t change = 0, epoch = 0;  // what was granted, for Ended()
};

class Operations {
 public:
  virtual bool Serving() const = 0;  // this process can serve; a drain by hand does not change that
  virtual Verdict TakeOut(std::string_view server) = 0;
  virtual Verdict PutBack(std::string_view server) = 0;
  virtual Verdict StandAside() = 0;
  virtual Verdict ComeBack() = 0;
  // Asked before each of the four above that comes as a call, and told once that was done.
  virtual Task<Leave> MayBegin(ChangeCall call) = 0;
  virtual Task<> Ended(Leave leave) = 0;

 protected:
  ~Operations() = default;
};

}  // namespace burlfall

#endif  // BURLFALL_CONTROL_OPERATIONS_H_
