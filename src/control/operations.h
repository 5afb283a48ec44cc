// What an operator's calls mean. Whoever serves them knows nothing of servers or phases, and whoever carries
// them out nothing of HTTP.
#ifndef BURLFALL_CONTROL_OPERATIONS_H_
#define BURLFALL_CONTROL_OPERATIONS_H_

#include <string_view>

namespace burlfall {

enum class Verdict {
  kDone,     // in force from here on; also where it was so before
  kUnknown,  // there is no such server, nor was there
  kNotNow,   // the program is past it: it ends
  kFailed,   // it could not be kept for the next start; nothing has changed
};

class Operations {
 public:
  virtual bool Serving() const = 0;  // this process can serve; a drain by hand does not change that
  virtual Verdict TakeOut(std::string_view server) = 0;
  virtual Verdict PutBack(std::string_view server) = 0;
  virtual Verdict StandAside() = 0;
  virtual Verdict ComeBack() = 0;

 protected:
  ~Operations() = default;
};

}  // namespace burlfall

#endif  // BURLFALL_CONTROL_OPERATIONS_H_
