// A voter's files: what was written is read, and what is not as it was written is told by name.
#include "council/store.h"

#include <gtest/gtest.h>

#include "world/virtual_machine.h"

namespace burlfall::council {
namespace {

using consensus::Entry;

Entry EntryAt(uint64_t index, uint64_t term, const std::string& data) {
  return {index, term, Entry::Kind::kCommand, static_cast<Micros>(index) * kMs, data};
}

consensus::DiskWrite From(uint64_t index, std::vector<Entry> entries) {
  consensus::DiskWrite write;
  write.replace_from = index;
  write.entries = std::move(entries);
  return write;
}

class StoreTest : public testing::Test {
 protected:
  void Do(const std::vector<DurableWrite>& batch) {
    disk->Write(batch);
    ASSERT_EQ(disk->ErrorText(), "");
  }
  Store::Opened Open(Store& store) { return store.Open(machine.files(), "/d", 77); }
  // A voter with entries 1 to 5, which has voted.
  void Fill() {
    Store store("/d/v", "v1");
    ASSERT_TRUE(Open(store).empty);
    consensus::DiskWrite promise;
    promise.term_vote.emplace();
    promise.term_vote->term = 3;
    promise.term_vote->vote = consensus::VoterId{"v2", 9};
    Do(store.Next(promise));
    std::vector<Entry> log;
    for (uint64_t i = 1; i <= 5; ++i) log.push_back(EntryAt(i, 2, "data " + std::to_string(i)));
    Do(store.Next(From(1, log)));
  }

  world::World world{1'700'000'000 * kSecond, 1};
  world::VirtualMachine machine{world};
  std::unique_ptr<DurableWriter> disk = machine.Durable();
};

TEST_F(StoreTest, WhatWasWrittenIsReadBack) {
  Fill();
  Store store("/d/v", "v1");
  const Store::Opened opened = Open(store);
  ASSERT_EQ(opened.fault, StoreFault::kNone) << opened.why;
  EXPECT_EQ(store.disk(), 77u);
  EXPECT_EQ(opened.held.term, 3u);
  EXPECT_EQ(opened.held.vote, (consensus::VoterId{"v2", 9}));
  ASSERT_EQ(opened.held.log.size(), 5u);
  EXPECT_EQ(opened.held.log[4], EntryAt(5, 2, "data 5"));
}

TEST_F(StoreTest, ATailIsReplacedAndASnapshotDropsWhatIsBeforeIt) {
  Fill();
  Store store("/d/v", "v1");
  ASSERT_EQ(Open(store).fault, StoreFault::kNone);
  Do(store.Next(From(4, {EntryAt(4, 3, "another")})));
  consensus::Snapshot snapshot;
  snapshot.index = 3;
  snapshot.term = 2;
  snapshot.log_time = 5;
  snapshot.voters.emplace_back();
  snapshot.voters[0].address = "127.0.0.1:1";
  snapshot.data = "state";
  consensus::DiskWrite write;
  write.snapshot = snapshot;
  write.keep_from = 3;
  Do(store.Next(write));
  Do(store.Next(From(5, {EntryAt(5, 3, "last")})));
  Store again("/d/v", "v1");
  const Store::Opened opened = Open(again);
  ASSERT_EQ(opened.fault, StoreFault::kNone) << opened.why;
  EXPECT_EQ(opened.held.snapshot, snapshot);
  EXPECT_EQ(opened.held.log,
            (std::vector<Entry>{EntryAt(3, 2, "data 3"), EntryAt(4, 3, "another"), EntryAt(5, 3, "last")}));
}

TEST_F(StoreTest, ARecordThatWasNeverWholeIsCutOff) {
  Fill();
  const std::string whole = world.files["/d/v.log"];
  for (size_t lost = 1; lost <= 20; ++lost) {
    world.files["/d/v.log"] = whole.substr(0, whole.size() - lost);
    Store store("/d/v", "v1");
    const Store::Opened opened = Open(store);
    ASSERT_EQ(opened.fault, StoreFault::kNone) << opened.why;
    ASSERT_EQ(opened.held.log.size(), 4u);
    EXPECT_GT(opened.cut, 0u);
  }
  world.files["/d/v.log"] = whole + std::string(512, '\0');  // the system made it longer, and no bytes came
  Store store("/d/v", "v1");
  EXPECT_EQ(Open(store).held.log.size(), 5u);
  // What is written next stands behind the last whole one.
  Do(store.Next(From(6, {EntryAt(6, 3, "next")})));
  Store again("/d/v", "v1");
  EXPECT_EQ(Open(again).held.log.size(), 6u);
}

TEST_F(StoreTest, EachFlippedBitIsFoundAndNoneIsTakenForATornTail) {
  Fill();
  for (const char* name : {"/d/v.vote", "/d/v.snapshot", "/d/v.log"}) {
    const std::string whole = world.files[name];
    for (size_t bit = 0; bit < whole.size() * 8; ++bit) {
      world.files[name][bit / 8] = static_cast<char>(whole[bit / 8] ^ (1 << bit % 8));
      Store store("/d/v", "v1");
      EXPECT_NE(Open(store).fault, StoreFault::kNone) << name << ", bit " << bit;
      world.files[name] = whole;
    }
  }
}

TEST_F(StoreTest, WhoseFilesTheyAreIsToldByName) {
  Fill();
  Store other("/d/v", "v2");
  EXPECT_EQ(Open(other).fault, StoreFault::kOther);
  const std::string log = world.files["/d/v.log"];
  Store store("/d/w", "v1");
  ASSERT_TRUE(store.Open(machine.files(), "/d", 78).empty);
  Do(store.Whole({}));
  world.files["/d/w.log"] = log;
  Store mixed("/d/w", "v1");
  EXPECT_EQ(Open(mixed).fault, StoreFault::kMixed);
  world.files.erase("/d/w.log");
  Store missing("/d/w", "v1");
  EXPECT_EQ(Open(missing).fault, StoreFault::kMissing);
}

}  // namespace
}  // namespace burlfall::council
