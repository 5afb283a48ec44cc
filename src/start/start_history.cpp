#include "start/start_history.h"

#include <algorithm>

#include "codec/words.h"

namespace burlfall::start {
namespace {

constexpr std::string_view kFirstWord = "burlfall-starts";

}  // namespace

StartHistory::StartHistory(std::string_view text) {
  if (!text.ends_with('\n')) return;
  text.remove_suffix(1);
  if (NextWord(text) != kFirstWord) return;
  std::vector<Micros> starts;
  while (!text.empty()) {
    Micros at = 0;
    if (starts.size() == kMaxStarts || !WholeNumber(NextWord(text), at)) return;
    starts.push_back(at);
  }
  starts_ = std::move(starts);
}

int StartHistory::Within(Micros span, Micros wall) const {
  return static_cast<int>(
      std::ranges::count_if(starts_, [&](Micros at) { return at <= wall && wall - at <= span; }));
}

void StartHistory::Add(Micros wall) {
  if (starts_.size() == kMaxStarts) starts_.erase(starts_.begin());
  starts_.push_back(wall);
}

std::string StartHistory::Text() const {
  std::string text(kFirstWord);
  for (const Micros at : starts_) text.append(" ").append(std::to_string(at));
  return text + "\n";
}

}  // namespace burlfall::start
