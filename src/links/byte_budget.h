// Limits the memory, in bytes, that messages may hold together. No I/O.
#ifndef BURLFALL_LINKS_BYTE_BUDGET_H_
#define BURLFALL_LINKS_BYTE_BUDGET_H_

#include <algorithm>
#include <cstddef>
#include <utility>

namespace burlfall {

class ByteBudget {
 public:
  // A message costs nothing up to this size, so that small ones are never without memory. What they take is
  // bounded by the number of connections.
  static constexpr size_t kFreeBytes = 2048;

  // One message may hold at most an eighth of the total, or `max_per_message`.
  explicit ByteBudget(size_t total_bytes) : ByteBudget(total_bytes, total_bytes / 8) {}
  ByteBudget(size_t total_bytes, size_t max_per_message)
      : total_(total_bytes), max_per_message_(max_per_message) {}
  // A total below what is held is reached as messages end.
  void SetTotal(size_t total_bytes) { total_ = total_bytes; }

  // The bytes held for one message; returned to the budget on destruction.
  class Share {
   public:
    explicit Share(ByteBudget& of) : of_(&of) {}
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;
    Share(Share&& other) noexcept : of_(other.of_), held_(std::exchange(other.held_, 0)) {}
    ~Share() { Clear(); }
    // Returns false, and reserves nothing, if the message's or the total limit would be exceeded.
    bool Grow(size_t bytes) {
      if (bytes > of_->available() || held_ + bytes > of_->max_per_message_) return false;
      of_->used_ += bytes;
      held_ += bytes;
      return true;
    }
    // Sets what the message holds, of which kFreeBytes cost nothing. Returns false, and changes nothing, if
    // it would grow beyond a limit.
    bool Resize(size_t bytes) {
      const size_t wanted = bytes - std::min(bytes, kFreeBytes);
      if (wanted > held_) return Grow(wanted - held_);
      of_->used_ -= held_ - wanted;
      held_ = wanted;
      return true;
    }
    // Hands at most `bytes` of the reservation over to another owner.
    Share Take(size_t bytes) {
      Share part(*of_);
      part.held_ = std::min(bytes, held_);
      held_ -= part.held_;
      return part;
    }
    void Clear() { of_->used_ -= std::exchange(held_, 0); }
    size_t held() const { return held_; }

   private:
    ByteBudget* of_;
    size_t held_ = 0;
  };

  bool tight() const { return used_ >= total_ / 4 * 3; }
  bool ample() const { return used_ < total_ / 2; }
  size_t available() const { return total_ - std::min(total_, used_); }
  size_t used() const { return used_; }
  size_t total() const { return total_; }

 private:
  size_t total_;
  const size_t max_per_message_;
  size_t used_ = 0;
};

}  // namespace burlfall

#endif  // BURLFALL_LINKS_BYTE_BUDGET_H_
