// A run's series of seconds, put together into as many steps as a plot can show. No I/O.
#ifndef BURLFALL_LAB_REPORT_COURSE_H_
#define BURLFALL_LAB_REPORT_COURSE_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lab/judge/result.h"

namespace burlfall::lab {

constexpr std::size_t kMostSteps = 600;

using Values = std::vector<std::optional<double>>;  // by step; none: nothing to show

std::string Number(double value);     // the same everywhere, and never anything but a number
std::string Grouped(uint64_t value);  // "12,345"

inline double Within(double value, double low, double high) {
  return std::isfinite(value) ? std::clamp(value, low, high) : low;
}

// Results come from files: their lists need not be as long as each other.
template <typename T>
double At(const std::vector<T>& all, std::size_t at) {
  return at < all.size() ? static_cast<double>(all[at]) : 0;
}

// The axis of time: the run from 0 to `until`, in steps of whole seconds.
struct Course {
  explicit Course(const Verdict& verdict);
  double Begin(std::size_t i) const { return static_cast<double>(i * step); }
  // Calls f(second) for the seconds of a step.
  template <typename F>
  void Each(std::size_t i, F f) const {
    for (std::size_t s = i * step; s < std::min((i + 1) * step, seconds); ++s) f(s);
  }

  std::size_t seconds = 0;
  std::size_t step = 1;  // seconds
  std::size_t steps = 0;
  double until = 1;
};

Values PerSecond(const Course& course, const std::vector<uint64_t>& series);
// The mean, and the most, over the seconds in which `weights` is not 0; none where there are no such.
Values Weighted(const Course& course, const std::vector<double>& series, const std::vector<double>& weights);
Values Most(const Course& course, const std::vector<double>& series, const std::vector<double>& weights);
double MostOf(const Values& values);  // 0 where there are none

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_REPORT_COURSE_H_
