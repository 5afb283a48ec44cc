// The operations behind an operator's calls. The HTTP side knows nothing of servers or phases; the
// implementation knows nothing of HTTP.
#ifndef BURLFALL_CONTROL_OPERATIONS_H_
#define BURLFALL_CONTROL_OPERATIONS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "io/task.h"
#include "io/time.h"

namespace burlfall {

// Result of an operation.
enum class Verdict {
  kDone,     // in effect, also if it was before
  kUnknown,  // no such server was ever listed
  kNotNow,   // the process is exiting
  kFailed,   // could not be saved for the next start; nothing has changed
};

// A requested change, before it is carried out.
struct ChangeCall {
  enum class What { kTakeOut, kPutBack, kStartDrain, kStopDrain };
  What what = What::kTakeOut;
  std::string server;  // for kTakeOut and kPutBack
  std::string by;      // who requests an emergency override; needs a reason
  std::string reason;
};

// Answer to a request for a change.
struct ChangePermission {
  bool granted = true;
  std::string why;                 // if refused: the error's name, the cause and what to do
  Micros retry = 0;                // time until a retry is useful; 0: unknown
  uint64_t change = 0, epoch = 0;  // identifies the permission, for ReleasePermission()
};

// Implemented by the process.
class Operations {
 public:
  virtual bool Serving() const = 0;  // this process can serve; a manual drain does not change that
  virtual Verdict TakeOut(std::string_view server) = 0;
  virtual Verdict PutBack(std::string_view server) = 0;
  virtual Verdict StartManualDrain() = 0;
  virtual Verdict StopManualDrain() = 0;
  // RequestPermission() is called before each of the four changes above that arrives as a call,
  // ReleasePermission() once it was carried out.
  virtual Task<ChangePermission> RequestPermission(ChangeCall call) = 0;
  virtual Task<> ReleasePermission(ChangePermission permission) = 0;

 protected:
  ~Operations() = default;
};

}  // namespace burlfall

#endif  // BURLFALL_CONTROL_OPERATIONS_H_
