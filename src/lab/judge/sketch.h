// A histogram of times with a logarithmic axis from 10 us to 1,000 s. Its size is fixed, it can be merged,
// and quantiles are off by at most 1%. Minimum and maximum are exact and stand for the times beyond the axis.
#ifndef BURLFALL_LAB_JUDGE_SKETCH_H_
#define BURLFALL_LAB_JUDGE_SKETCH_H_

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cstdint>
#include <tuple>
#include <utility>
#include <vector>

#include "io/time.h"

namespace burlfall::lab {

class Sketch {
 public:
  static constexpr double kMin = 10;      // microseconds, lower end of the first bin
  static constexpr double kRatio = 1.02;  // of a bin's upper end to its lower end
  static constexpr int kBins = 931;

  Sketch();
  void Add(Micros time);
  void Merge(const Sketch& other);

  uint64_t count() const { return count_; }
  double Mean() const { return count_ == 0 ? 0 : sum_ / static_cast<double>(count_); }  // exact
  Micros Max() const { return max_; }
  // Returns the time that this share of all times does not exceed; 0 if there are none.
  double Quantile(double share) const;
  // Returns the number and count of each bin that is not empty; -1 and kBins: beyond the axis.
  std::vector<std::pair<int, uint64_t>> Bins() const;

 private:
  uint64_t CountIn(int bin) const {
    return bins_.begin()[bin + 1];
  }  // the first entry holds the times below the axis
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<uint64_t>> bins_;
  uint64_t count_ = 0;
  double sum_ = 0;
  Micros min_ = 0;
  Micros max_ = 0;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_JUDGE_SKETCH_H_
