#include "lab/judge/sketch.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace burlfall::lab {

Sketch::Sketch() : bins_(std::make_tuple(Axis(kBins, kLeast, kLeast * std::pow(kRatio, kBins)))) {}

void Sketch::Add(Micros time) {
  time = std::max<Micros>(time, 0);
  bins_(static_cast<double>(time));
  least_ = count_ == 0 ? time : std::min(least_, time);
  most_ = std::max(most_, time);
  sum_ += static_cast<double>(time);
  ++count_;
}

void Sketch::Merge(const Sketch& other) {
  if (other.count_ == 0) return;
  std::transform(bins_.begin(), bins_.end(), other.bins_.begin(), bins_.begin(), std::plus<>());
  least_ = count_ == 0 ? other.least_ : std::min(least_, other.least_);
  most_ = std::max(most_, other.most_);
  sum_ += other.sum_;
  count_ += other.count_;
}

double Sketch::Quantile(double share) const {
  if (count_ == 0) return 0;
  const double wanted = std::max(1.0, std::ceil(share * static_cast<double>(count_)));
  const auto least = static_cast<double>(least_);
  const auto most = static_cast<double>(most_);
  if (wanted >= static_cast<double>(count_)) return most;
  uint64_t seen = 0;
  for (int bin = -1; bin <= kBins; ++bin) {
    seen += In(bin);
    if (static_cast<double>(seen) < wanted) continue;
    if (bin < 0) return least;
    if (bin == kBins) return most;
    // The middle of the bin on its own scale: both ends are off by the same share.
    return std::clamp(kLeast * std::pow(kRatio, bin + 0.5), least, most);
  }
  return most;
}

std::vector<std::pair<int, uint64_t>> Sketch::Bins() const {
  std::vector<std::pair<int, uint64_t>> filled;
  for (int bin = -1; bin <= kBins; ++bin) {
    if (In(bin) != 0) filled.emplace_back(bin, In(bin));
  }
  return filled;
}

}  // namespace burlfall::lab
