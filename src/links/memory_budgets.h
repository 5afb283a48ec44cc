// The shares of the process's memory that messages may hold. Requests and answers have budgets of their own,
// so that neither takes the other's: clients that read nothing keep no request from being read. No I/O.
#ifndef BURLFALL_LINKS_MEMORY_BUDGETS_H_
#define BURLFALL_LINKS_MEMORY_BUDGETS_H_

#include <algorithm>
#include <cstddef>

#include "links/byte_budget.h"

namespace burlfall {

class MemoryBudgets {
 public:
  // `memory_bytes` is the limit of the whole process. What the budgets leave is for the program itself, its
  // connections, and the part of each message that costs nothing.
  explicit MemoryBudgets(size_t memory_bytes)
      : requests(memory_bytes / kRequestsDivisor, MaxPerMessage(memory_bytes)),
        answers(memory_bytes / kAnswersDivisor, MaxPerMessage(memory_bytes)) {}
  void SetMemory(size_t memory_bytes) {
    requests.SetTotal(memory_bytes / kRequestsDivisor);
    answers.SetTotal(memory_bytes / kAnswersDivisor);
  }

  ByteBudget requests;
  ByteBudget answers;

 private:
  static constexpr size_t kRequestsDivisor = 4;
  static constexpr size_t kAnswersDivisor = 8;
  static constexpr size_t kMessageDivisor = 64;
  static constexpr size_t kMinPerMessage = 160 * 1024;  // a body that is held whole, its head and a read
  static size_t MaxPerMessage(size_t memory_bytes) {
    return std::max(memory_bytes / kMessageDivisor, kMinPerMessage);
  }
};

}  // namespace burlfall

#endif  // BURLFALL_LINKS_MEMORY_BUDGETS_H_
