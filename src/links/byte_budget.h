// Limits the memory, in bytes, that message bodies may hold together. No I/O.
#ifndef BURLFALL_LINKS_BYTE_BUDGET_H_
#define BURLFALL_LINKS_BYTE_BUDGET_H_

#include <algorithm>
#include <cstddef>
#include <utility>

namespace burlfall {

class ByteBudget {
 public:
  // One message may hold at most an eighth of the total.
  explicit ByteBudget(size_t total_bytes) : available_(total_bytes), max_per_message_(total_bytes / 8) {}

  // The bytes held for one message; returned to the budget on destruction.
  class Share {
   public:
    explicit Share(ByteBudget& of) : of_(&of) {}
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;
    ~Share() { Clear(); }
    // Returns false, and reserves nothing, if the message's or the total limit would be exceeded.
    bool Grow(size_t bytes) {
      if (bytes > of_->available_ || held_ + bytes > of_->max_per_message_) return false;
      of_->available_ -= bytes;
      held_ += bytes;
      return true;
    }
    void Clear() { of_->available_ += std::exchange(held_, 0); }
    size_t held() const { return held_; }

   private:
    ByteBudget* of_;
    size_t held_ = 0;
  };

  size_t available() const { return available_; }

 private:
  size_t available_;
  const size_t max_per_message_;
};

}  // namespace burlfall

#endif  // BURLFALL_LINKS_BYTE_BUDGET_H_
