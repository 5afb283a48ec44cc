#include "lab/report/gnuplot.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <thread>
#include <vector>

#include "lab/report/html.h"

// Pictures are made by a tool, after the run. That is why this waits on the system itself, past the seam of
// src/io: no virtual machine ever has to run it.
namespace burlfall::lab {
namespace {

constexpr off_t kMostBytes = 64 << 20;  // of a picture

// A file in memory: the program reads and writes at its own pace, and neither end can block the other.
class Memory {
 public:
  explicit Memory(const char* name) : fd_(memfd_create(name, MFD_CLOEXEC)) {}
  Memory(const Memory&) = delete;
  Memory& operator=(const Memory&) = delete;
  ~Memory() {
    if (fd_ >= 0) close(fd_);
  }
  int fd() const { return fd_; }

  bool Write(std::string_view text) const {
    while (!text.empty()) {
      const ssize_t n = write(fd_, text.data(), text.size());
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return false;
      text.remove_prefix(static_cast<std::size_t>(n));
    }
    return lseek(fd_, 0, SEEK_SET) == 0;
  }
  bool Read(std::string& into) const {
    struct stat about = {};
    if (fstat(fd_, &about) != 0 || about.st_size > kMostBytes) return false;
    into.resize(static_cast<std::size_t>(about.st_size));
    std::size_t have = 0;
    while (have < into.size()) {
      const ssize_t n = pread(fd_, into.data() + have, into.size() - have, static_cast<off_t>(have));
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return false;
      have += static_cast<std::size_t>(n);
    }
    return true;
  }

 private:
  int fd_;
};

// 0, or why it could not be started.
int Start(const std::string& program, const Memory& in, const Memory& out, const Memory& errors, pid_t& pid) {
  // Nothing of the user's own settings, lest the same result make another page elsewhere.
  const char* path = std::getenv("PATH");
  std::string path_entry = std::string("PATH=") + (path == nullptr ? "/usr/bin:/bin" : path);
  std::string language = "LC_ALL=C.UTF-8";
  std::string home = "HOME=/nonexistent";
  char* environment[] = {path_entry.data(), language.data(), home.data(), nullptr};
  std::string name = program;
  std::string defaults = "--default-settings";
  std::string from_input = "-";
  char* arguments[] = {name.data(), defaults.data(), from_input.data(), nullptr};

  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  posix_spawn_file_actions_adddup2(&files, in.fd(), STDIN_FILENO);
  posix_spawn_file_actions_adddup2(&files, out.fd(), STDOUT_FILENO);
  posix_spawn_file_actions_adddup2(&files, errors.fd(), STDERR_FILENO);
  posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
  posix_spawnattr_t how;
  posix_spawnattr_init(&how);
  sigset_t none;
  sigemptyset(&none);
  sigset_t all;
  sigfillset(&all);
  posix_spawnattr_setsigmask(&how, &none);
  posix_spawnattr_setsigdefault(&how, &all);
  posix_spawnattr_setflags(&how, POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF);
  const int failed = posix_spawnp(&pid, program.c_str(), &files, &how, arguments, environment);
  posix_spawnattr_destroy(&how);
  posix_spawn_file_actions_destroy(&files);
  return failed;
}

// False where the time was over and it had to be killed.
bool WaitFor(pid_t pid, std::chrono::milliseconds limit, int& status) {
  const auto until = std::chrono::steady_clock::now() + limit;
  for (;;) {
    const pid_t ended = waitpid(pid, &status, WNOHANG);
    if (ended == pid) return true;
    if (ended < 0 && errno != EINTR) {
      status = 0;  // whoever else waits for children has it; the output says whether it worked
      return true;
    }
    if (std::chrono::steady_clock::now() >= until) break;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  kill(pid, SIGKILL);
  while (waitpid(pid, &status, 0) < 0 && errno == EINTR) {
  }
  return false;
}

// The last line that says something: gnuplot repeats the line of the script first.
std::string LastLine(std::string_view text) {
  while (!text.empty() && (text.back() == '\n' || text.back() == ' ')) text.remove_suffix(1);
  const std::size_t at = text.rfind('\n');
  if (at != std::string_view::npos) text.remove_prefix(at + 1);
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  return std::string(text.substr(0, 300));
}

void Replace(std::string& text, std::string_view what, std::string_view by) {
  for (std::size_t at = text.find(what); at != std::string::npos; at = text.find(what, at + by.size())) {
    text.replace(at, what.size(), by);
  }
}

void CutAll(std::string& text, std::string_view from, std::string_view to) {
  for (std::size_t at = text.find(from); at != std::string::npos; at = text.find(from, at)) {
    const std::size_t end = text.find(to, at);
    if (end == std::string::npos) return;
    text.erase(at, end + to.size() - at);
  }
}

}  // namespace

Picture RunGnuplot(const std::string& program, const std::string& script, std::chrono::milliseconds limit) {
  Picture picture;
  const Memory in("script");
  const Memory out("picture");
  const Memory errors("errors");
  if (in.fd() < 0 || out.fd() < 0 || errors.fd() < 0 || !in.Write(script)) {
    picture.error = std::string("no memory for the script: ") + std::strerror(errno);
    return picture;
  }
  pid_t pid = 0;
  if (const int failed = Start(program, in, out, errors, pid); failed != 0) {
    picture.missing = failed == ENOENT;
    picture.error = program + ": " + std::strerror(failed);
    return picture;
  }
  int status = 0;
  const bool ended = WaitFor(pid, limit, status);
  std::string said;
  errors.Read(said);
  if (!ended) {
    picture.error = program + ": not done after " + std::to_string(limit.count()) + " ms";
  } else if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) {
    const std::string last = LastLine(said);
    picture.error = program + ": " + (last.empty() ? "ended with an error" : last);
  } else if (!out.Read(picture.svg) || picture.svg.find("</svg>") == std::string::npos) {
    picture.svg.clear();
    const std::string last = LastLine(said);
    picture.error = program + ": " + (last.empty() ? "wrote no picture" : last);
  } else {
    picture.warning = LastLine(said);
  }
  return picture;
}

std::string Quoted(std::string_view text, std::size_t most) {
  std::string quoted = "'";
  std::size_t count = 0;
  for (std::size_t at = 0; at < text.size(); ++count) {
    if (count == most) {
      quoted += "\xe2\x80\xa6";  // an ellipsis
      break;
    }
    const std::size_t length = CharacterAt(text, at);
    const auto c = static_cast<unsigned char>(text[at]);
    if (length == 0 || c < 0x20 || c == 0x7f) {
      quoted += '?';
    } else if (c == '\'') {
      quoted += "''";
    } else if (c == '\\' || c == '`' || c == '@' || c == '$') {
      quoted += '?';  // single quotes should make them plain text; nothing is lost by not relying on it
    } else {
      quoted += text.substr(at, length);
    }
    at += length == 0 ? 1 : length;
  }
  return quoted + "'";
}

std::string Inlined(std::string_view svg, const std::string& id, std::string_view about) {
  const std::size_t from = svg.find("<svg");
  const std::size_t to = svg.rfind("</svg>");
  if (from == std::string_view::npos || to == std::string_view::npos || to < from) return "";
  std::string text(svg.substr(from, to + 6 - from));
  CutAll(text, "<title>", "</title>");
  CutAll(text, "<desc>", "</desc>");
  CutAll(text, "<defs>", "</defs>");  // marks of points: no plot here has any
  Replace(text, "\"gnuplot_canvas\"", "\"" + id + "_canvas\"");
  // Groups that only set a pen, of which gnuplot writes many.
  Replace(text,
          "<g fill=\"none\" color=\"black\" stroke=\"currentColor\" stroke-width=\"1.00\" "
          "stroke-linecap=\"butt\" stroke-linejoin=\"miter\">\n</g>\n",
          "");
  Replace(text, "\t", "");
  return "<svg role=\"img\" aria-label=\"" + Escaped(about) + "\"" + text.substr(4);
}

}  // namespace burlfall::lab
