#include "cluster/differences.h"

#include <algorithm>
#include <map>

namespace burlfall::cluster {
namespace {

struct MemberFacts {
  const std::string& who;
  const Facts& facts;
  Micros list_age;  // as of now
};

std::vector<MemberFacts> KnownFacts(const FailureDetector& detector, Micros now,
                                    const DifferenceOptions& options) {
  std::vector<MemberFacts> all = {
      {detector.self().name, detector.facts(), static_cast<Micros>(detector.facts().list_age_ms) * kMs}};
  for (const auto& [name, member] : detector.members()) {
    const bool living = member.state == State::kAlive || member.state == State::kSuspect;
    if (!living || member.received_at == 0 || now - member.received_at > options.received_within) continue;
    all.push_back(
        {name, member.facts, static_cast<Micros>(member.facts.list_age_ms) * kMs + now - member.received_at});
  }
  return all;
}

// The value that more than half of the members report; nullptr where there is none.
template <class Value>
const Value* MajorityValue(const std::map<Value, size_t>& counts, size_t of) {
  for (const auto& [value, count] : counts) {
    if (2 * count > of) return &value;
  }
  return nullptr;
}

template <class Value, class Get, class Describe>
void CompareWithMajority(const std::vector<MemberFacts>& all, Get get, Describe describe,
                         std::vector<Difference>& found) {
  std::map<Value, size_t> counts;
  for (const MemberFacts& one : all) ++counts[get(one)];
  const Value* majority = MajorityValue(counts, all.size());
  if (counts.size() < 2) return;
  if (majority == nullptr) {
    found.push_back({"", describe(Value(), Value()) + ": " + std::to_string(counts.size()) +
                             " values, none of them at more than half of the members"});
    return;
  }
  for (const MemberFacts& one : all) {
    if (get(one) != *majority) found.push_back({one.who, describe(get(one), *majority)});
  }
}

}  // namespace

uint64_t NewestListVersion(const FailureDetector& detector, Micros now, const DifferenceOptions& options) {
  uint64_t newest = 0;
  for (const MemberFacts& one : KnownFacts(detector, now, options))
    newest = std::max(newest, one.facts.list_version);
  return newest;
}

std::vector<Difference> FindDifferences(const FailureDetector& detector, Micros now,
                                        const DifferenceOptions& options) {
  const std::vector<MemberFacts> all = KnownFacts(detector, now, options);
  std::vector<Difference> found;
  CompareWithMajority<std::string>(
      all, [](const MemberFacts& one) { return one.facts.build; },
      [](const std::string& reported, const std::string& majority) {
        return reported == majority ? std::string("builds differ")
                                    : std::string("build ") + reported + ", most have " + majority;
      },
      found);
  CompareWithMajority<uint64_t>(
      all, [](const MemberFacts& one) { return one.facts.configuration; },
      [](uint64_t reported, uint64_t majority) {
        return reported == majority
                   ? std::string("configurations differ")
                   : std::string("another configuration than most (") + std::to_string(reported % 100000) +
                         ", not " + std::to_string(majority % 100000) + ")";
      },
      found);
  const uint64_t newest = NewestListVersion(detector, now, options);
  size_t stale = 0;
  for (const MemberFacts& one : all) {
    const bool behind = one.list_age > options.stale_list_after;
    stale += behind ? 1 : 0;
    if (one.facts.list_version == newest || !behind) continue;
    found.push_back({one.who, "list " + std::to_string(one.facts.list_version) + ", told " +
                                  std::to_string(one.list_age / kSecond) + " s ago; the newest is " +
                                  std::to_string(newest)});
  }
  if (stale == all.size() && all.size() > 1) {
    found.push_back({"", "the list service has not answered any member for " +
                             std::to_string(options.stale_list_after / kSecond) + " s"});
  }
  return found;
}

}  // namespace burlfall::cluster
