#include "io/run_folder.h"

#include <fcntl.h>
#include <stdlib.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <system_error>
#include <utility>

#include "io/real_machine.h"

namespace burlfall {

RunFolder::RunFolder(std::string parent) : path_(std::move(parent)) {
  const char* temporary_root = getenv("TMPDIR");
  if (path_.empty()) path_ = temporary_root != nullptr && *temporary_root != 0 ? temporary_root : "/tmp";
  path_ += "/burlfall-run-XXXXXX";
  if (mkdtemp(path_.data()) == nullptr) throw std::system_error(errno, std::generic_category(), path_);
}

RunFolder::~RunFolder() {
  std::error_code ignored;
  if (!keep_) std::filesystem::remove_all(path_, ignored);
}

void RunFolder::Write(const std::string& name, std::string_view text) const {
  const std::string path = Path(name), temporary = path + ".new";
  auto fail = [&temporary] { throw std::system_error(errno, std::generic_category(), temporary); };
  {
    const Descriptor fd(open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
    if (!fd) fail();
    while (!text.empty()) {
      const ssize_t n = write(fd.get(), text.data(), text.size());
      if (n < 0 && errno != EINTR) fail();
      if (n > 0) text.remove_prefix(static_cast<size_t>(n));
    }
  }
  if (rename(temporary.c_str(), path.c_str()) != 0) fail();
}

}  // namespace burlfall
