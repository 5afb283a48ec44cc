// Councils under random faults from a seed: cuts, crashes, lost files of epochs and, in some, the loss of all
// voters' folders and a rebuilt log. A member that knows of a later owner obeys no earlier one.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>

#include "virtual_council.h"

namespace burlfall::council {
namespace {

constexpr size_t kVoters = 3;
constexpr size_t kMembers = 5;
constexpr uint64_t kFloor = 1'000'000;
constexpr Micros kFaultsFor = 40 * kSecond;
constexpr int kSeeds = 60;

using Observation = CoordinatorMember::Setup::Observation;

class RandomFaults {
 public:
  explicit RandomFaults(uint64_t seed) : random_(seed), council_(kVoters, kMembers - kVoters, seed) {
    for (size_t i = 0; i < kMembers; ++i) {
      // Each member observes a zone of its own name, so that an incident names the member that proposed it.
      council_.ObservationsOf(i) = [this, zone = freeze::Scope::Zone(VirtualCouncil::NameOf(i))] {
        const double share = zone_down_ ? 1 : 0;
        return std::vector<Observation>{{freeze::IncidentKind::kZoneDown, zone, share}};
      };
      if (Chance(0.3)) council_.SettingsOf(i).step_ms = static_cast<int>(Below(2500));
    }
  }

  void Run() {
    council_.StartAll();
    council_.Begin(0);
    for (Micros span = 0; span < kFaultsFor;) {
      const Micros pause = static_cast<Micros>(100 + Below(1500)) * kMs;
      council_.RunFor(pause);
      span += pause;
      InjectFault();
    }
    EndFaults();
    if (Chance(0.5)) Rebuild();
    EXPECT_TRUE(council_.RunUntil([this] { return AllObeyOneOwner(); })) << Describe();
    zone_down_ = false;
    EXPECT_TRUE(council_.RunUntil([this] { return SameState(); }, 90 * kSecond)) << Describe();
    for (size_t i = 0; i < kMembers; ++i) CheckObeyed(i);
    for (size_t i = 0; i < kMembers; ++i) CheckLog(i);
  }

 private:
  size_t Below(size_t bound) { return static_cast<size_t>(random_() % bound); }
  bool Chance(double share) { return static_cast<double>(random_() % 1000) < share * 1000; }

  void InjectFault() {
    const size_t member = Below(kMembers);
    switch (Below(6)) {
      case 0:
        council_.Cut(member, true);
        cut_.insert(member);
        break;
      case 1:
        for (const size_t one : std::exchange(cut_, {})) council_.Cut(one, false);
        break;
      case 2:
        Restart(member, Chance(0.4));
        break;
      case 3:
        zone_down_ = !zone_down_;
        break;
      case 4:
        council_.Call(member, "hand-over freeze " + VirtualCouncil::NameOf(Below(kMembers)));
        break;
      case 5:
        if (member >= kVoters) council_.FailNextFlush(member);
        break;
    }
  }

  void Restart(size_t member, bool loses_epochs) {
    council_.Stop(member);
    if (Chance(0.5)) council_.RunFor(static_cast<Micros>(Below(3000)) * kMs);
    if (loses_epochs) {
      council_.LoseFile(member, ".epochs");
      fresh_from_[member] = council_.LogOf(member).size();
    }
    council_.Start(member);
  }

  void EndFaults() {
    for (const size_t one : std::exchange(cut_, {})) council_.Cut(one, false);
    council_.RunFor(kSecond);
  }

  // As docs/council.md says. Members that follow go on, one of them perhaps as the owner.
  void Rebuild() {
    for (size_t i = 0; i < kVoters; ++i) council_.Stop(i);
    for (size_t i = 0; i < kVoters; ++i) council_.LoseFolder(i);
    for (size_t i = 0; i < kVoters; ++i) {
      fresh_from_[i] = council_.LogOf(i).size();
      rebuilt_.insert(i);
      council_.Start(i);
    }
    council_.RunFor(static_cast<Micros>(Below(4000)) * kMs);
    const std::string answer = council_.Call(0, "begin " + std::to_string(kFloor));
    EXPECT_TRUE(answer.starts_with("the log begins here")) << answer;
  }

  bool AllObeyOneOwner() {
    const VirtualCouncil::Owner owner = council_.OwnerAt(0);
    if (owner.name.empty()) return false;
    for (size_t i = 0; i < kMembers; ++i) {
      const std::vector<uint64_t> obeyed = council_.ObeyedBy(i);
      if (obeyed.empty() || obeyed.back() != owner.epoch || council_.OwnerAt(i).epoch != owner.epoch)
        return false;
    }
    return true;
  }

  // No replica holds an incident or an owner that another does not.
  bool SameState() {
    std::set<std::string> states;
    for (size_t i = 0; i < kMembers; ++i) {
      const nlohmann::json status = nlohmann::json::parse(council_.Call(i, "status json"), nullptr, false);
      if (!status.is_object()) return false;
      states.insert(status["incidents"].dump() + std::to_string(council_.OwnerAt(i).epoch));
    }
    return states.size() == 1;
  }

  // Since it has its file a member obeys no lower epoch than before, and rebuilt voters none up to the
  // floor.
  void CheckObeyed(size_t member) {
    uint64_t highest = 0;
    for (const uint64_t epoch : council_.ObeyedBy(member, fresh_from_[member])) {
      EXPECT_GE(epoch, highest) << Describe();
      EXPECT_GT(epoch, rebuilt_.contains(member) ? kFloor : 0) << Describe();
      highest = std::max(highest, epoch);
    }
  }

  // No epoch is granted to two owners, only the owner at its entry opens an incident, and no member obeys an
  // epoch below one that its own log has granted.
  void CheckLog(size_t member) {
    std::string owner;
    uint64_t granted = 0;
    std::istringstream lines(council_.LogOf(member));
    for (std::string line; std::getline(lines, line);) {
      const nlohmann::json event = nlohmann::json::parse(line, nullptr, false);
      if (!event.is_object()) continue;
      const std::string name = event.value("event", "");
      if (name == "council_serving") granted = 0;
      if (name == "council_serving" || name == "council_rebuilt") owner.clear();
      if (name == "council_granted") {
        owner = event.value("owner", "");
        granted = event.value("epoch", uint64_t{0});
        const auto [grant, fresh] = owners_.try_emplace(granted, owner);
        EXPECT_EQ(grant->second, owner) << Describe();
      }
      if (name == "council_obeys") {
        EXPECT_GE(event.value("epoch", uint64_t{0}), granted) << Describe();
      }
      if (name != "council_incident" || event.value("state", "") != "opened") continue;
      EXPECT_EQ(event.value("scope", ""), "zone " + owner) << line;
    }
  }

  std::string Describe() {
    std::string text;
    for (size_t i = 0; i < kMembers; ++i) {
      const std::string& log = council_.LogOf(i);
      text +=
          VirtualCouncil::NameOf(i) + " ..." + log.substr(log.size() - std::min<size_t>(log.size(), 1500));
      text += council_.Call(i, "status");
    }
    return text;
  }

  std::mt19937_64 random_;
  VirtualCouncil council_;
  bool zone_down_ = false;
  std::set<size_t> cut_;
  std::set<size_t> rebuilt_;
  std::map<uint64_t, std::string> owners_;  // by epoch
  std::map<size_t, size_t> fresh_from_;     // by member: where its log was when it lost its file of epochs
};

TEST(RandomFaults, NobodyObeysAStaleOwner) {
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    RandomFaults(seed).Run();
    if (testing::Test::HasFailure()) return;
  }
}

}  // namespace
}  // namespace burlfall::council
