#include "lab/judge/sketch.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace burlfall::lab {

Sketch::Sketch() : bins_(std::make_tuple(Axis(kBins, kMin, kMin * std::pow(kRatio, kBins)))) {}

void Sketch::Add(Micros time) {
  time = std::max<Micros>(time, 0);
  bins_(static_cast<double>(time));
  min_ = count_ == 0 ? time : std::min(min_, time);
  max_ = std::max(max_, time);
  sum_ += static_cast<double>(time);
  ++count_;
}

void Sketch::Merge(const Sketch& other) {
  if (other.count_ == 0) return;
  std::transform(bins_.begin(), bins_.end(), other.bins_.begin(), bins_.begin(), std::plus<>());
  min_ = count_ == 0 ? other.min_ : std::min(min_, other.min_);
  max_ = std::max(max_, other.max_);
  sum_ += other.sum_;
  count_ += other.count_;
}

double Sketch::Quantile(double share) const {
  if (count_ == 0) return 0;
  const double wanted = std::max(1.0, std::ceil(share * static_cast<double>(count_)));
  const auto min_time = static_cast<double>(min_);
  const auto max_time = static_cast<double>(max_);
  if (wanted >= static_cast<double>(count_)) return max_time;
  uint64_t seen = 0;
  for (int bin = -1; bin <= kBins; ++bin) {
    seen += CountIn(bin);
    if (static_cast<double>(seen) < wanted) continue;
    if (bin < 0) return min_time;
    if (bin == kBins) return max_time;
    // The geometric middle of the bin, which differs from both ends by the same ratio.
    return std::clamp(kMin * std::pow(kRatio, bin + 0.5), min_time, max_time);
  }
  return max_time;
}

std::vector<std::pair<int, uint64_t>> Sketch::Bins() const {
  std::vector<std::pair<int, uint64_t>> filled;
  for (int bin = -1; bin <= kBins; ++bin) {
    if (CountIn(bin) != 0) filled.emplace_back(bin, CountIn(bin));
  }
  return filled;
}

}  // namespace burlfall::lab
