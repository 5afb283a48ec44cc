#include "owner/executor.h"

#include <gtest/gtest.h>

namespace burlfall::owner {
namespace {

ExecutorRules Disk() {
  ExecutorRules rules;
  rules.disk = true;
  return rules;
}

TEST(Executor, RefusesLowerEpochsForEachWorkAlone) {
  Executor executor({});
  executor.Told("freeze", 0);
  executor.Told("list_call", 0);
  EXPECT_TRUE(executor.Ask("freeze", 5).ok());
  EXPECT_TRUE(executor.Ask("freeze", 5).ok());
  EXPECT_TRUE(executor.Ask("freeze", 9).ok());
  EXPECT_EQ(executor.Ask("freeze", 5).error, Error::kFenced);
  EXPECT_EQ(executor.Ask("freeze", 5).highest, 9u);
  EXPECT_TRUE(executor.Ask("list_call", 5).ok());
  EXPECT_EQ(executor.Ask("freeze", 0).error, Error::kMalformed);
}

TEST(Executor, WithoutADiskARestartObeysNobodyBeforeItWasTold) {
  Executor executor({});
  EXPECT_EQ(executor.Ask("freeze", 100).error, Error::kNotTold);
  executor.Told("freeze", 7);
  EXPECT_EQ(executor.Ask("freeze", 6).error, Error::kFenced);
  EXPECT_TRUE(executor.Ask("freeze", 7).ok());
  EXPECT_EQ(executor.Ask("list_call", 7).error, Error::kNotTold);
}

TEST(Executor, AnEpochStandsOnDiskBeforeItIsObeyed) {
  Executor executor(Disk());
  executor.Told("freeze", 0);
  EXPECT_EQ(executor.Ask("freeze", 5).error, Error::kNotWritten);
  const std::optional<Executor::Write> write = executor.Pending();
  ASSERT_TRUE(write);
  EXPECT_FALSE(executor.Pending());  // one at a time
  EXPECT_EQ(executor.Ask("freeze", 6).error, Error::kNotWritten);
  EXPECT_EQ(executor.Ask("freeze", 5).error, Error::kFenced);
  executor.Written(write->number, true);
  EXPECT_EQ(executor.Ask("freeze", 6).error, Error::kNotWritten);  // 5 stands there
  const std::optional<Executor::Write> second = executor.Pending();
  executor.Written(second->number, false);
  EXPECT_EQ(executor.Ask("freeze", 6).error, Error::kDiskLost);
  const std::optional<Executor::Write> third = executor.Pending();
  executor.Written(third->number, true);
  EXPECT_TRUE(executor.Ask("freeze", 6).ok());

  Executor back(Disk(), third->bytes);
  EXPECT_EQ(back.Ask("freeze", 5).error, Error::kFenced);
  EXPECT_TRUE(back.Ask("freeze", 6).ok());
  // The file's writer had not been told of other works: neither does it know them now.
  EXPECT_EQ(back.Ask("list_call", 1).error, Error::kNotTold);
}

TEST(Executor, ADamagedFileIsNoneAndIsSaid) {
  Executor executor(Disk());
  executor.Told("freeze", 5);
  std::string bytes = executor.Pending()->bytes;
  for (size_t i = 0; i < bytes.size(); ++i) {
    std::string bad = bytes;
    bad[i] = static_cast<char>(bad[i] ^ 1);
    Executor back(Disk(), bad);
    EXPECT_TRUE(back.damaged());
    EXPECT_EQ(back.Ask("freeze", 100).error, Error::kNotTold);
  }
}

TEST(Executor, IsBounded) {
  ExecutorRules rules;
  rules.most_works = 2;
  Executor executor(rules);
  executor.Told("a", 1);
  executor.Told("b", 1);
  executor.Told("c", 1);
  EXPECT_TRUE(executor.Ask("a", 1).ok());
  EXPECT_EQ(executor.Ask("c", 1).error, Error::kTooMany);
  EXPECT_EQ(executor.highest().size(), 2u);
}

}  // namespace
}  // namespace burlfall::owner
