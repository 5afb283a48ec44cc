// The body of a large query, as it passes from the client link that reads it to the attempt that sends it.
#ifndef BURLFALL_FRONT_UPLOAD_H_
#define BURLFALL_FRONT_UPLOAD_H_

#include <functional>
#include <string>
#include <utility>

#include "io/body_source.h"

namespace burlfall {

// Shared by the client link and the attempt: each may outlive the other.
class Upload final : public BodySource {
 public:
  // `on_taken` is called whenever the attempt takes bytes, so that the link reads on.
  Upload(Scheduler& scheduler, std::function<void()> on_taken)
      : on_taken_(std::move(on_taken)), arrived_(scheduler) {}

  // For the attempt.
  Next Take(std::string& into) override {
    started_ = true;
    const bool some = !ready_.empty();
    into.append(ready_);
    ready_.clear();
    if (on_taken_ && !complete_) on_taken_();
    return some ? Next::kSome : complete_ ? Next::kDone : on_taken_ ? Next::kLater : Next::kBroken;
  }
  Signal& signal() override { return arrived_; }
  Micros ResponseDeadline() const override { return answer_deadline_; }

  // For the client link.
  bool started() const { return started_; }  // the attempt takes bytes: the query can't be sent again
  bool complete() const { return complete_; }
  size_t held() const { return ready_.size(); }
  void Append(std::string& bytes) {
    if (bytes.empty()) return;
    ready_.append(bytes);
    bytes.clear();
    arrived_.Notify();
  }
  void SetComplete(Micros answer_deadline) {
    complete_ = true;
    answer_deadline_ = answer_deadline;
    arrived_.Notify();
  }
  void Abandon() {  // the link ends: no more bytes will come
    on_taken_ = nullptr;
    arrived_.Notify();
  }

 private:
  std::function<void()> on_taken_;
  Event arrived_;
  std::string ready_;
  Micros answer_deadline_ = kNever;
  bool started_ = false;
  bool complete_ = false;
};

}  // namespace burlfall

#endif  // BURLFALL_FRONT_UPLOAD_H_
