// Times in a histogram with a logarithmic axis: fixed in size, mergeable, and off by at most 1% at any
// quantile. From 10 us to 1,000 s; what lies beyond is told by the least and the most, which are exact.
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
  static constexpr double kMin = 10;    // microseconds, where the first bin begins
  static constexpr double kRatio = 1.02;  // between the ends of a bin
  static constexpr int kBins = 931;

  Sketch();
  void Add(Micros time);
  void Merge(const Sketch& other);

  uint64_t count() const { return count_; }
  double Mean() const { return count_ == 0 ? 0 : sum_ / static_cast<double>(count_); }  // exact
  Micros Max() const { return max_; }
  // The time that this share of all is at or under; 0 where there are none.
  double Quantile(double share) const;
  // Number of the bin and what it holds, where it holds anything; -1 and kBins: beyond the axis.
  std::vector<std::pair<int, uint64_t>> Bins() const;

 private:
  uint64_t CountIn(int bin) const { return bins_.begin()[bin + 1]; }  // they begin with what lies below the axis
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<uint64_t>> bins_;
  uint64_t count_ = 0;
  double sum_ = 0;
  Micros min_ = 0;
  Micros max_ = 0;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_JUDGE_SKETCH_H_
