// The saved list: read completely or rejected, and never used when it must not be.
#include "start/saved_list.h"

#include <gtest/gtest.h>

namespace burlfall::start {
namespace {

constexpr Micros kWall = 1'790'000'000 * kSecond;
constexpr Micros kHour = 3600 * kSecond;

SavedList Sample(uint64_t number = 7) {
  SavedList list;
  list.site = "north";
  list.version = 41;
  list.confirmed_at = kWall - 5 * kSecond;
  list.number = number;
  list.nodes = {{"s-1", "10.1.0.18:9000", meadowslip::BackendState::kReady, 0, 3, 1, 0, 1.25},
                {"odd name %", "[::1]:9001", meadowslip::BackendState::kDraining, 1, 0, 0, kWall, 0.1}};
  return list;
}

SavedChoice Choose(const std::vector<SavedFile>& files, std::string_view site = "north",
                   Micros wall = kWall) {
  return ChooseSavedList(files, site, wall, kHour);
}

TEST(SavedList, RoundTrips) {
  std::string why;
  const auto read = ReadSavedList(WriteSavedList(Sample()), why);
  ASSERT_TRUE(read) << why;
  EXPECT_EQ(*read, Sample());
  SavedList gone = Sample();
  gone.nodes[0].state = meadowslip::BackendState::kGone;
  // nothing can be sent to a node that is gone
  EXPECT_EQ(ReadSavedList(WriteSavedList(gone), why)->nodes.size(), 1u);
}

TEST(SavedList, IsRejectedIfAnyByteIsChangedOrMissing) {
  const std::string good = WriteSavedList(Sample());
  std::string why;
  for (size_t i = 0; i < good.size(); ++i) {
    std::string bad = good;
    bad[i] = static_cast<char>(bad[i] ^ 1);
    EXPECT_FALSE(ReadSavedList(bad, why)) << i;
    EXPECT_FALSE(why.empty());
    EXPECT_FALSE(ReadSavedList(std::string_view(good).substr(0, i), why)) << i;
  }
  EXPECT_FALSE(ReadSavedList(good + good, why));
  EXPECT_FALSE(ReadSavedList("", why));
}

TEST(SavedList, TheNewestUsableFileIsChosenAndTheOthersAreReported) {
  const std::string old = WriteSavedList(Sample(6)), fresh = WriteSavedList(Sample(7));
  EXPECT_EQ(Choose({{"0", old}, {"1", fresh}}).list->number, 7u);
  EXPECT_EQ(Choose({{"0", fresh}, {"1", old}}).list->number, 7u);
  EXPECT_EQ(Choose({{"0", fresh}}).age, 5 * kSecond);
  const SavedChoice torn = Choose({{"0", old}, {"1", fresh.substr(0, 40)}});
  EXPECT_EQ(torn.list->number, 6u);
  ASSERT_EQ(torn.refused.size(), 1u);
  EXPECT_EQ(torn.refused[0], (std::pair<std::string, std::string>("1", "it is damaged")));
  EXPECT_FALSE(Choose({}).list);
}

TEST(SavedList, IsRejectedIfForeignTooOldFromTheFutureOrEmpty) {
  const std::string good = WriteSavedList(Sample());
  const auto reason = [&](std::string_view site, Micros wall) {
    const SavedChoice choice = Choose({{"f", good}}, site, wall);
    EXPECT_FALSE(choice.list);
    return choice.refused.empty() ? "" : choice.refused[0].second;
  };
  EXPECT_EQ(reason("south", kWall), "it is of another site");
  EXPECT_NE(reason("north", kWall + 2 * kHour).find("too old"), std::string::npos);
  // A clock that is years ahead, and one that was set back.
  EXPECT_NE(reason("north", kWall + 100000 * kHour).find("too old"), std::string::npos);
  EXPECT_NE(reason("north", kWall - kHour).find("future"), std::string::npos);
  // small clock differences are accepted
  EXPECT_TRUE(Choose({{"f", good}}, "north", kWall - 30 * kSecond).list);
  EXPECT_EQ(Choose({{"f", good}}, "north", kWall - 30 * kSecond).age, 0);
  SavedList empty = Sample();
  empty.nodes.clear();
  EXPECT_FALSE(Choose({{"f", WriteSavedList(empty)}}).list);
}

TEST(SavedList, TheSiteIdCoversItsNameZonesAndKinds) {
  meadowslip::Settings one;
  one.zones = {"a", "b"};
  one.kinds = {"std"};
  meadowslip::Settings other = one;
  std::swap(other.zones[0], other.zones[1]);
  EXPECT_EQ(SiteOf("", one), SiteOf("", one));
  EXPECT_NE(SiteOf("", one), SiteOf("", other));
  EXPECT_NE(SiteOf("north", one), SiteOf("south", one));
  EXPECT_NE(SiteOf("north", one), SiteOf("north", other));
}

TEST(ListKeeper, LimitsWritesAlternatesFilesAndRetriesAfterAFailure) {
  SavedListSchedule schedule(10 * kSecond, kHour);
  Micros now = kWall;
  EXPECT_FALSE(schedule.Due(now));
  schedule.OnConfirmed(true);
  EXPECT_TRUE(schedule.Due(now));
  schedule.SetNumber(7);
  EXPECT_EQ(schedule.NextNumber(), 8u);
  const int first = schedule.NextFile();
  schedule.OnWritten(now, true);
  EXPECT_NE(schedule.NextFile(), first);
  schedule.OnConfirmed(true);
  EXPECT_FALSE(schedule.Due(now + 9 * kSecond));
  EXPECT_TRUE(schedule.Due(now += 10 * kSecond));
  schedule.OnWritten(now, false);
  EXPECT_FALSE(schedule.Due(now + 9 * kSecond));
  EXPECT_TRUE(schedule.Due(now += 10 * kSecond));
  schedule.OnWritten(now, true);
  schedule.OnConfirmed(false);  // confirmed without a change
  EXPECT_FALSE(schedule.Due(now + 60 * kSecond));
  EXPECT_TRUE(schedule.Due(now + 180 * kSecond));
}

}  // namespace
}  // namespace burlfall::start
