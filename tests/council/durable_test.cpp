// Durable writes on the real file system: carried out in order, each file is replaced completely or not at
// all, and no batch counts as done after a failed one.
#include "io/durable.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>

#include "io/real_machine.h"

namespace burlfall {
namespace {

std::string Text(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(file), {}};
}

class DurableTest : public testing::Test {
 protected:
  DurableTest() {
    std::string folder_template = (std::filesystem::temp_directory_path() / "burlfall-XXXXXX").string();
    folder = mkdtemp(folder_template.data());
  }
  ~DurableTest() override { std::filesystem::remove_all(folder); }
  // Runs the scheduler until `done` batches are on the disk, or one has failed.
  void RunUntilDone(DurableWriter& writer, uint64_t done) {
    auto waiting = [&]() -> Task<> {
      while (writer.done() < done && writer.ErrorText().empty()) co_await writer.Wait();
      machine.scheduler().Stop();
    };
    Task<> task = waiting();
    task.Start();
    machine.scheduler().Run();
  }

  RealMachine machine;
  std::string folder;
};

TEST_F(DurableTest, WritesInOrderAndTruncatesAfterTheLastByte) {
  const std::unique_ptr<DurableWriter> writer = machine.Durable();
  const std::string path = folder + "/file";
  writer->Write({{path, {}, "whole"}});
  writer->Write({{path, 5, " and more"}, {folder + "/other", 0, "x"}});
  writer->Write({{path, 2, "!"}});
  RunUntilDone(*writer, 3);
  EXPECT_EQ(writer->ErrorText(), "");
  EXPECT_EQ(Text(path), "wh!");
  EXPECT_EQ(Text(folder + "/other"), "x");
}

TEST_F(DurableTest, NoBatchIsDoneAfterAFailure) {
  const std::unique_ptr<DurableWriter> writer = machine.Durable();
  writer->Write({{folder + "/a", {}, "a"}});
  writer->Write({{folder + "/none/b", {}, "b"}});
  writer->Write({{folder + "/c", {}, "c"}});
  RunUntilDone(*writer, 3);
  EXPECT_EQ(writer->done(), 1u);
  EXPECT_NE(writer->ErrorText().find("/none/b: No such file"), std::string::npos) << writer->ErrorText();
  EXPECT_FALSE(std::filesystem::exists(folder + "/c"));
}

}  // namespace
}  // namespace burlfall
