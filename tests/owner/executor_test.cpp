// Tests of fencing at the executor, with and without a disk.
#include "owner/executor.h"

#include <gtest/gtest.h>

namespace burlfall::owner {
namespace {

ExecutorRules WithDisk() {
  ExecutorRules rules;
  rules.disk = true;
  return rules;
}

TEST(Executor, RefusesLowerEpochsOfEachTaskSeparately) {
  Executor executor({});
  executor.SetCurrentEpoch("freeze", 0);
  executor.SetCurrentEpoch("list_call", 0);
  EXPECT_TRUE(executor.Check("freeze", 5).ok());
  EXPECT_TRUE(executor.Check("freeze", 5).ok());
  EXPECT_TRUE(executor.Check("freeze", 9).ok());
  EXPECT_EQ(executor.Check("freeze", 5).error, Error::kFenced);
  EXPECT_EQ(executor.Check("freeze", 5).highest_epoch, 9u);
  EXPECT_TRUE(executor.Check("list_call", 5).ok());
  EXPECT_EQ(executor.Check("freeze", 0).error, Error::kMalformed);
}

TEST(Executor, WithoutADiskNothingIsAcceptedAfterARestartUntilTheEpochIsKnown) {
  Executor executor({});
  EXPECT_EQ(executor.Check("freeze", 100).error, Error::kNotTold);
  executor.SetCurrentEpoch("freeze", 7);
  EXPECT_EQ(executor.Check("freeze", 6).error, Error::kFenced);
  EXPECT_TRUE(executor.Check("freeze", 7).ok());
  EXPECT_EQ(executor.Check("list_call", 7).error, Error::kNotTold);
}

TEST(Executor, AnEpochIsOnDiskBeforeItIsAccepted) {
  Executor executor(WithDisk());
  executor.SetCurrentEpoch("freeze", 0);
  EXPECT_EQ(executor.Check("freeze", 5).error, Error::kNotWritten);
  const std::optional<Executor::Write> write = executor.NextWrite();
  ASSERT_TRUE(write);
  EXPECT_FALSE(executor.NextWrite());  // one write at a time
  EXPECT_EQ(executor.Check("freeze", 6).error, Error::kNotWritten);
  EXPECT_EQ(executor.Check("freeze", 5).error, Error::kFenced);
  executor.OnWritten(write->number, true);
  EXPECT_EQ(executor.Check("freeze", 6).error, Error::kNotWritten);  // only epoch 5 is on disk
  const std::optional<Executor::Write> second = executor.NextWrite();
  executor.OnWritten(second->number, false);
  EXPECT_EQ(executor.Check("freeze", 6).error, Error::kDiskLost);
  const std::optional<Executor::Write> third = executor.NextWrite();
  executor.OnWritten(third->number, true);
  EXPECT_TRUE(executor.Check("freeze", 6).ok());

  Executor restored(WithDisk(), third->bytes);
  EXPECT_EQ(restored.Check("freeze", 5).error, Error::kFenced);
  EXPECT_TRUE(restored.Check("freeze", 6).ok());
  // Epochs of other tasks were not known when the file was written, so they are not known now.
  EXPECT_EQ(restored.Check("list_call", 1).error, Error::kNotTold);
}

TEST(Executor, RefusesWhatTheLogHasRuledOutAlsoAfterARestart) {
  Executor executor(WithDisk());
  EXPECT_FALSE(executor.RefuseBelow("freeze", 20));
  EXPECT_EQ(executor.Check("freeze", 20).error, Error::kNotTold) << "what the own log says may be old";
  executor.SetCurrentEpoch("freeze", 5);
  EXPECT_TRUE(executor.RefuseBelow("freeze", 20));
  EXPECT_FALSE(executor.RefuseBelow("freeze", 20));
  EXPECT_FALSE(executor.RefuseBelow("freeze", 6)) << "it never goes back";
  EXPECT_EQ(executor.Check("freeze", 19).error, Error::kFenced);
  const std::optional<Executor::Write> write = executor.NextWrite();
  ASSERT_TRUE(write);
  executor.OnWritten(write->number, true);
  EXPECT_TRUE(executor.Check("freeze", 20).ok());
  EXPECT_EQ(Executor(WithDisk(), write->bytes).Check("freeze", 19).error, Error::kFenced);
}

TEST(Executor, ADamagedFileIsIgnoredAndReported) {
  Executor executor(WithDisk());
  executor.SetCurrentEpoch("freeze", 5);
  std::string bytes = executor.NextWrite()->bytes;
  for (size_t i = 0; i < bytes.size(); ++i) {
    std::string corrupted = bytes;
    corrupted[i] = static_cast<char>(corrupted[i] ^ 1);
    Executor restored(WithDisk(), corrupted);
    EXPECT_TRUE(restored.damaged());
    EXPECT_EQ(restored.Check("freeze", 100).error, Error::kNotTold);
  }
}

TEST(Executor, IsBounded) {
  ExecutorRules rules;
  rules.max_tasks = 2;
  Executor executor(rules);
  executor.SetCurrentEpoch("a", 1);
  executor.SetCurrentEpoch("b", 1);
  executor.SetCurrentEpoch("c", 1);
  EXPECT_TRUE(executor.Check("a", 1).ok());
  EXPECT_EQ(executor.Check("c", 1).error, Error::kTooMany);
  EXPECT_EQ(executor.highest_epochs().size(), 2u);
}

}  // namespace
}  // namespace burlfall::owner
