#include "lab/judge/fleet_tally.h"

#include <algorithm>
#include <utility>

#include "lab/judge/text.h"

namespace burlfall::lab {
namespace {

constexpr std::size_t kMaxSeconds = 100000;

double InSeconds(Micros span) { return static_cast<double>(span) / static_cast<double>(kSecond); }

}  // namespace

FleetTally::FleetTally(const FleetGoals& goals, std::vector<std::string> names, Micros begins_at)
    : goals_(goals),
      names_(std::move(names)),
      begins_at_(begins_at),
      from_(begins_at + static_cast<Micros>(goals.from_s * static_cast<double>(kSecond))),
      running_(names_.size(), -1) {}

FleetTally::Process* FleetTally::RunningProcess(int balancer) {
  const int process = running_.at(static_cast<std::size_t>(balancer));
  return process < 0 ? nullptr : &processes_[static_cast<std::size_t>(process)];
}

void FleetTally::AdvanceTo(Micros at) {
  if (at < begins_at_) return;
  const auto now = std::min(kMaxSeconds - 1, static_cast<std::size_t>((at - begins_at_) / kSecond));
  if (seconds_.size() <= now) seconds_.resize(now + 1);
  for (; finished_ < now; ++finished_) seconds_[finished_].lacking_list = lacking_list_;
}

FleetTally::Second* FleetTally::SecondAt(Micros at) {
  AdvanceTo(at);
  return at < begins_at_ || seconds_.empty() ? nullptr : &seconds_.back();
}

void FleetTally::BalancerStarting(int balancer, Micros at) {
  AdvanceTo(at);
  running_.at(static_cast<std::size_t>(balancer)) = static_cast<int>(processes_.size());
  processes_.push_back({.balancer = balancer, .began = at});
  ++lacking_list_;
}

void FleetTally::BalancerUp(int balancer, Micros at) {
  if (Process* process = RunningProcess(balancer)) process->served = at;
}

void FleetTally::BalancerDown(int balancer, Micros at, bool) {
  AdvanceTo(at);
  Process* process = RunningProcess(balancer);
  if (process == nullptr) return;
  if (process->listed < 0) --lacking_list_;
  process->ended = at;
  running_[static_cast<std::size_t>(balancer)] = -1;
}

void FleetTally::ListCall(int balancer, bool watch, Micros at) {
  if (Second* second = SecondAt(at)) ++(watch ? second->watch_calls : second->list_calls);
  Process* process = RunningProcess(balancer);
  if (process != nullptr && process->listed < 0 && at >= from_) ++process->calls;
}

void FleetTally::ListCallEnded(int balancer, bool, ListEnd how, Micros, Micros at) {
  if (Second* second = SecondAt(at); second != nullptr && how != ListEnd::kLeft) {
    ++(how == ListEnd::kRefused ? second->refusals : second->answers);
  }
  Process* process = RunningProcess(balancer);
  if (process == nullptr || process->listed >= 0 || how != ListEnd::kListed) return;
  process->listed = at;
  --lacking_list_;
}

void FleetTally::HandshakeAt(int node, int, Micros at) {
  Second* second = SecondAt(at);
  if (second == nullptr) return;
  if (std::exchange(handshakes_second_, seconds_.size()) != seconds_.size()) handshakes_.clear();
  const auto place = static_cast<std::size_t>(node);
  if (handshakes_.size() <= place) handshakes_.resize(place + 1);
  second->max_handshakes = std::max(second->max_handshakes, ++handshakes_[place]);
}

void FleetTally::NodeChanged(int, NodeChange change, Micros, const std::vector<double>&) {
  if (change == NodeChange::kOverloaded) ++overloads_;
}

FleetResult FleetTally::Finish(Micros at) {
  AdvanceTo(at);
  if (!seconds_.empty()) seconds_.back().lacking_list = lacking_list_;
  FleetResult result;
  result.fell = overloads_;
  uint64_t calls = 0;
  std::size_t never_listed = 0;
  for (const Process& process : processes_) {
    const auto s = [&](Micros when) { return when < 0 ? -1 : InSeconds(when - begins_at_); };
    result.each.push_back({names_[static_cast<std::size_t>(process.balancer)],
                           InSeconds(process.began - begins_at_), s(process.served), s(process.listed),
                           process.calls});
    if (process.listed < 0 && process.ended >= 0) continue;  // the script ended it before it got a list
    if (process.ended >= 0 && process.ended < from_) continue;
    ++result.lives;
    if (process.listed < 0) {
      ++never_listed;
    } else {
      ++result.listed;
      result.listed_within_s =
          std::max(result.listed_within_s, InSeconds(process.listed - std::max(from_, process.began)));
    }
    calls += process.calls;
    result.most_calls_each = std::max(result.most_calls_each, process.calls);
  }
  if (result.lives > 0) result.calls_each = static_cast<double>(calls) / static_cast<double>(result.lives);
  const auto first = static_cast<std::size_t>(goals_.from_s);
  uint64_t in_first = 0;
  for (std::size_t i = 0; i < seconds_.size(); ++i) {
    const Second& second = seconds_[i];
    const uint64_t all = second.list_calls + second.watch_calls;
    if (i == first) in_first = all;
    if (i > first) result.most_calls_per_s = std::max(result.most_calls_per_s, all);
    result.most_handshakes = std::max(result.most_handshakes, second.max_handshakes);
    result.list_calls.push_back(second.list_calls);
    result.watch_calls.push_back(second.watch_calls);
    result.answers.push_back(second.answers);
    result.refusals.push_back(second.refusals);
    result.without_list.push_back(second.lacking_list);
    result.busiest_handshakes.push_back(second.max_handshakes);
  }
  const auto check_goal = [&](double goal, double got, const char* what) {
    if (goal > 0 && got > goal) result.missed.push_back(Format("%s: %.2f, at most %.2f", what, got, goal));
  };
  check_goal(goals_.listed_within_s, result.listed_within_s, "seconds until all had their list");
  if (goals_.listed_within_s > 0 && never_listed > 0) {
    result.missed.push_back(
        Format("%zu of %llu never had a list", never_listed, static_cast<unsigned long long>(result.lives)));
  }
  check_goal(goals_.calls_each, result.calls_each, "calls each until it had its list");
  check_goal(goals_.first_second, static_cast<double>(in_first), "calls in the first second");
  check_goal(goals_.calls_per_s, static_cast<double>(result.most_calls_per_s),
             "calls in the busiest second after it");
  check_goal(goals_.handshakes_per_s, static_cast<double>(result.most_handshakes),
             "connections at a node in a second");
  if (goals_.nobody_without && lacking_list_ > 0) {
    result.missed.push_back(
        Format("%llu are without a list at the end", static_cast<unsigned long long>(lacking_list_)));
  }
  return result;
}

}  // namespace burlfall::lab
