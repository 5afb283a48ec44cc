// A sum without rounding drift: each term is rounded once to a fixed step, then added and subtracted as an
// integer. After any number of changes the sum equals the sum of the remaining terms exactly.
#ifndef BURLFALL_KIT_EXACT_SUM_H_
#define BURLFALL_KIT_EXACT_SUM_H_

#include <algorithm>
#include <cstdint>

namespace burlfall::kit {

class ExactSum {
 public:
  ExactSum() = default;
  explicit ExactSum(double part)
      : steps_(static_cast<int64_t>(std::clamp(part * kStepsPerUnit, -kMaxSteps, kMaxSteps))) {}

  double value() const { return static_cast<double>(steps_) / kStepsPerUnit; }
  // Wraps around outside its range (8.8e12), so it is exact again once terms have been subtracted.
  ExactSum& operator+=(const ExactSum& other) { return Add(static_cast<uint64_t>(other.steps_)); }
  ExactSum& operator-=(const ExactSum& other) { return Add(0 - static_cast<uint64_t>(other.steps_)); }
  void Fields(auto& a) { a(steps_); }  // for serialization
  bool operator==(const ExactSum&) const = default;

 private:
  static constexpr double kStepsPerUnit = 1 << 20;
  static constexpr double kMaxSteps = 9e18;
  ExactSum& Add(uint64_t steps) {
    steps_ = static_cast<int64_t>(static_cast<uint64_t>(steps_) + steps);
    return *this;
  }
  int64_t steps_ = 0;
};

}  // namespace burlfall::kit

#endif  // BURLFALL_KIT_EXACT_SUM_H_
