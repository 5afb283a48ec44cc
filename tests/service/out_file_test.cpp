#include "membership/out_file.h"

#include <gtest/gtest.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>

#include "io/real_files.h"

namespace burlfall {
namespace {

const std::vector<OutHost> kHosts = {{"s-1", 1717000000123456}, {"odd name\n%\x7f\xc3\xa9", 0}};

TEST(OutFile, RoundTrips) {
  EXPECT_EQ(ReadOutFile(WriteOutFile(kHosts)), kHosts);
  EXPECT_EQ(ReadOutFile(WriteOutFile({})), std::vector<OutHost>());
}

TEST(OutFile, IsRejectedWhenTruncatedAnywhere) {
  const std::string text = WriteOutFile(kHosts);
  for (size_t n = 0; n < text.size(); ++n) EXPECT_FALSE(ReadOutFile(text.substr(0, n))) << n;
  EXPECT_FALSE(ReadOutFile(text + "x"));
  EXPECT_FALSE(ReadOutFile(text + text));
}

TEST(OutFile, OtherTextIsRefused) {
  EXPECT_FALSE(ReadOutFile("burlfall-out 2\nend 0\n"));
  EXPECT_FALSE(ReadOutFile("burlfall-out 1\n-5 s-1\nend 1\n"));
  EXPECT_FALSE(ReadOutFile("burlfall-out 1\n5 \nend 1\n"));
  EXPECT_FALSE(ReadOutFile("burlfall-out 1\n5 s-%zz\nend 1\n"));
  EXPECT_FALSE(ReadOutFile("burlfall-out 1\n5 s-1\nend 2\n"));
  EXPECT_FALSE(ReadOutFile(std::string(100, '\0')));
}

// The two processes of an upgrade write the file at the same moment (F19): a reader sees the content of one
// of them, complete.
TEST(Replace, TwoProcessesThatWriteOneFileNeverCorruptIt) {
  std::string folder = (std::filesystem::temp_directory_path() / "burlfall-XXXXXX").string();
  ASSERT_NE(mkdtemp(folder.data()), nullptr);
  const std::string path = folder + "/file";
  std::vector<pid_t> writers;
  for (const char c : {'a', 'b'}) {
    const pid_t pid = fork();
    ASSERT_GE(pid, 0);
    if (pid == 0) {
      const auto files = MakeRealFiles();
      const std::string text(c == 'a' ? 200'000 : 150'000, c);
      std::string why;
      for (int i = 0; i < 300; ++i) files->Replace(path, text, why);
      _exit(0);
    }
    writers.push_back(pid);
  }
  const auto files = MakeRealFiles();
  size_t left = writers.size(), corrupted = 0, read = 0;
  while (left > 0) {
    int status = 0;
    if (waitpid(-1, &status, WNOHANG) > 0) --left;
    const std::optional<std::string> text = files->Read(path);
    if (!text) continue;
    ++read;
    const bool complete = text->size() == (text->starts_with('a') ? 200'000u : 150'000u) &&
                          text->find_first_not_of(text->front()) == std::string::npos;
    corrupted += complete ? 0 : 1;
  }
  EXPECT_GT(read, 0u);
  EXPECT_EQ(corrupted, 0u);
  EXPECT_EQ(files->List(folder).size(), 1u);  // no temporary file is left
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace burlfall
