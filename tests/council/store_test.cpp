// A voter's files: what was written is read back, and any damage is reported as its kind of fault.
#include "council/store.h"

#include <gtest/gtest.h>

#include "world/virtual_machine.h"

namespace burlfall::council {
namespace {

using consensus::Entry;

Entry EntryAt(uint64_t index, uint64_t term, const std::string& data) {
  return {index, term, Entry::Kind::kCommand, static_cast<Micros>(index) * kMs, data};
}

consensus::DiskWrite ReplaceFrom(uint64_t index, std::vector<Entry> entries) {
  consensus::DiskWrite write;
  write.replace_from = index;
  write.entries = std::move(entries);
  return write;
}

class StoreTest : public testing::Test {
 protected:
  void WriteBatch(const std::vector<DurableWrite>& batch) {
    disk->Write(batch);
    ASSERT_EQ(disk->ErrorText(), "");
  }
  Store::Opened Open(Store& store) { return store.Open(machine.files(), "/d", 77); }
  // Writes the files of a voter that has voted and has entries 1 to 5.
  void WriteVoter() {
    Store store("/d/v", "v1");
    ASSERT_TRUE(Open(store).empty);
    consensus::DiskWrite term_and_vote;
    term_and_vote.term_vote.emplace();
    term_and_vote.term_vote->term = 3;
    term_and_vote.term_vote->vote = consensus::VoterId{"v2", 9};
    WriteBatch(store.WriteNext(term_and_vote));
    std::vector<Entry> log;
    for (uint64_t i = 1; i <= 5; ++i) log.push_back(EntryAt(i, 2, "data " + std::to_string(i)));
    WriteBatch(store.WriteNext(ReplaceFrom(1, log)));
  }

  world::World world{1'700'000'000 * kSecond, 1};
  world::VirtualMachine machine{world};
  std::unique_ptr<DurableWriter> disk = machine.Durable();
};

TEST_F(StoreTest, ReadsBackWhatWasWritten) {
  WriteVoter();
  Store store("/d/v", "v1");
  const Store::Opened opened = Open(store);
  ASSERT_EQ(opened.fault, StoreFault::kNone) << opened.reason;
  EXPECT_EQ(store.disk(), 77u);
  EXPECT_EQ(opened.state.term, 3u);
  EXPECT_EQ(opened.state.vote, (consensus::VoterId{"v2", 9}));
  ASSERT_EQ(opened.state.log.size(), 5u);
  EXPECT_EQ(opened.state.log[4], EntryAt(5, 2, "data 5"));
}

TEST_F(StoreTest, ReplacesALogTailAndDropsEntriesBeforeASnapshot) {
  WriteVoter();
  Store store("/d/v", "v1");
  ASSERT_EQ(Open(store).fault, StoreFault::kNone);
  WriteBatch(store.WriteNext(ReplaceFrom(4, {EntryAt(4, 3, "another")})));
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
  WriteBatch(store.WriteNext(write));
  WriteBatch(store.WriteNext(ReplaceFrom(5, {EntryAt(5, 3, "last")})));
  Store again("/d/v", "v1");
  const Store::Opened opened = Open(again);
  ASSERT_EQ(opened.fault, StoreFault::kNone) << opened.reason;
  EXPECT_EQ(opened.state.snapshot, snapshot);
  EXPECT_EQ(opened.state.log,
            (std::vector<Entry>{EntryAt(3, 2, "data 3"), EntryAt(4, 3, "another"), EntryAt(5, 3, "last")}));
}

TEST_F(StoreTest, IncompleteLastRecordIsCutOff) {
  WriteVoter();
  const std::string complete = world.files["/d/v.log"];
  for (size_t lost = 1; lost <= 20; ++lost) {
    world.files["/d/v.log"] = complete.substr(0, complete.size() - lost);
    Store store("/d/v", "v1");
    const Store::Opened opened = Open(store);
    ASSERT_EQ(opened.fault, StoreFault::kNone) << opened.reason;
    ASSERT_EQ(opened.state.log.size(), 4u);
    EXPECT_GT(opened.truncated_bytes, 0u);
  }
  world.files["/d/v.log"] =
      complete + std::string(512, '\0');  // the file system extended the file without writing data
  Store store("/d/v", "v1");
  EXPECT_EQ(Open(store).state.log.size(), 5u);
  // The next record follows the last complete one.
  WriteBatch(store.WriteNext(ReplaceFrom(6, {EntryAt(6, 3, "next")})));
  Store again("/d/v", "v1");
  EXPECT_EQ(Open(again).state.log.size(), 6u);
}

TEST_F(StoreTest, EachFlippedBitIsFoundAndNotTakenForAnIncompleteRecord) {
  WriteVoter();
  for (const char* name : {"/d/v.vote", "/d/v.snapshot", "/d/v.log"}) {
    const std::string complete = world.files[name];
    for (size_t bit = 0; bit < complete.size() * 8; ++bit) {
      world.files[name][bit / 8] = static_cast<char>(complete[bit / 8] ^ (1 << bit % 8));
      Store store("/d/v", "v1");
      EXPECT_NE(Open(store).fault, StoreFault::kNone) << name << ", bit " << bit;
      world.files[name] = complete;
    }
  }
}

TEST_F(StoreTest, FilesOfAnotherVoterOrDiskAreReported) {
  WriteVoter();
  Store other("/d/v", "v2");
  EXPECT_EQ(Open(other).fault, StoreFault::kOtherVoter);
  const std::string log = world.files["/d/v.log"];
  Store store("/d/w", "v1");
  ASSERT_TRUE(store.Open(machine.files(), "/d", 78).empty);
  WriteBatch(store.WriteAll({}));
  world.files["/d/w.log"] = log;
  Store mixed("/d/w", "v1");
  EXPECT_EQ(Open(mixed).fault, StoreFault::kMixedDisks);
  world.files.erase("/d/w.log");
  Store missing("/d/w", "v1");
  EXPECT_EQ(Open(missing).fault, StoreFault::kMissing);
}

}  // namespace
}  // namespace burlfall::council
