#include "io/process.h"

#include <fcntl.h>
#include <sched.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <climits>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <system_error>

namespace burlfall {
namespace {

constexpr size_t kStackBytes = 64 * 1024;     // of the child until execve()
constexpr size_t kBytesPerPause = 64 * 1024;  // bytes read from a continuous stream between two pauses
constexpr Micros kPause = 5 * kMs;
constexpr Micros kSecondInMicros = 1'000'000;

// Parameters and result of the child's code between clone() and execve(). It runs in this program's memory
// while the thread that started it is suspended, so it only makes system calls, allocates nothing, takes no
// lock, and writes only to this struct.
struct ChildSetup {
  const char* program;
  char* const* arguments;
  char* const* environment;
  const char* folder;  // nullptr: unchanged
  std::array<int, 3> streams;
  pid_t parent;
  rlimit descriptors;
  rlimit address_space;
  bool limit_descriptors;
  bool limit_address_space;
  const cpu_set_t* cores;  // nullptr: inherited
  int cgroup_procs;        // -1: no cgroup
  // The call that failed, nullptr if none, and its errno.
  const char* failed;
  int error;
};

// Excludes a function from the sanitizers, which do not know the stack that the child runs on.
#define BURLFALL_NO_SANITIZE __attribute__((no_sanitize("address", "undefined")))

[[noreturn]] BURLFALL_NO_SANITIZE void Fail(ChildSetup& setup, const char* what) {
  setup.failed = what;
  setup.error = errno;
  _exit(127);
}

BURLFALL_NO_SANITIZE int RunChild(void* given) {
  ChildSetup& setup = *static_cast<ChildSetup*>(given);
  // All signals are blocked here. Reset them, so that none runs a handler of this program or stays ignored in
  // the new program.
  struct sigaction default_action {};
  default_action.sa_handler = SIG_DFL;
  for (int one = 1; one < NSIG; ++one) sigaction(one, &default_action, nullptr);
  if (prctl(PR_SET_PDEATHSIG, SIGKILL) != 0) Fail(setup, "prctl");
  if (getppid() != setup.parent) _exit(127);  // the parent died before prctl took effect
  if (setpgid(0, 0) != 0) Fail(setup, "setpgid");
  if (setup.cgroup_procs >= 0 && write(setup.cgroup_procs, "0", 1) != 1) Fail(setup, "cgroup");
  if (setup.cores != nullptr && sched_setaffinity(0, sizeof *setup.cores, setup.cores) != 0)
    Fail(setup, "cores");
  if (setup.folder != nullptr && chdir(setup.folder) != 0) Fail(setup, "folder");
  for (int i = 0; i < 3; ++i) {
    if (dup2(setup.streams[static_cast<size_t>(i)], i) < 0) Fail(setup, "dup2");
  }
  // Our own descriptors are close-on-exec; this covers those opened by libraries. Old kernels lack the call,
  // so its result is ignored.
  syscall(SYS_close_range, 3u, UINT_MAX, 4u /* CLOSE_RANGE_CLOEXEC */);
  if (setup.limit_descriptors && setrlimit(RLIMIT_NOFILE, &setup.descriptors) != 0)
    Fail(setup, "descriptors");
  if (setup.limit_address_space && setrlimit(RLIMIT_AS, &setup.address_space) != 0)
    Fail(setup, "address space");
  sigset_t none;
  sigemptyset(&none);
  sigprocmask(SIG_SETMASK, &none, nullptr);
  execve(setup.program, setup.arguments, setup.environment);
  Fail(setup, "exec");
}

[[noreturn]] void Throw(int error, const std::string& what) {
  throw std::system_error(error, std::generic_category(), what);
}

// Moves a descriptor above the standard streams, so that dup2 in the child does not overwrite it too early.
Descriptor AboveStandardStreams(Descriptor fd) {
  if (!fd || fd.get() > STDERR_FILENO) return fd;
  return Descriptor(fcntl(fd.get(), F_DUPFD_CLOEXEC, STDERR_FILENO + 1));
}

struct Pipe {
  Descriptor read, write;
  Pipe() {
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0) Throw(errno, "pipe");
    read = AboveStandardStreams(Descriptor(ends[0]));
    write = AboveStandardStreams(Descriptor(ends[1]));
    if (!read || !write || fcntl(read.get(), F_SETFL, O_NONBLOCK) != 0) Throw(errno, "pipe");
  }
};

std::vector<std::string> Environment(const ProcessSpec& spec) {
  std::vector<std::string> all;
  for (char** one = environ; *one != nullptr; ++one) {
    const std::string_view line = *one;
    const std::string_view name = line.substr(0, line.find('='));
    const bool given = std::any_of(spec.environment.begin(), spec.environment.end(),
                                   [&](const auto& variable) { return variable.first == name; });
    if (!given) all.emplace_back(line);
  }
  for (const auto& [name, value] : spec.environment) all.push_back(name + "=" + value);
  return all;
}

std::vector<char*> NullTerminated(std::vector<std::string>& texts) {
  std::vector<char*> pointers;
  for (std::string& text : texts) pointers.push_back(text.data());
  pointers.push_back(nullptr);
  return pointers;
}

// At most this process's own hard limit: raising it would need root.
rlimit Limit(int what, uint64_t wanted) {
  rlimit limit{};
  getrlimit(static_cast<__rlimit_resource>(what), &limit);
  limit.rlim_max = std::min<rlim_t>(wanted, limit.rlim_max);
  limit.rlim_cur = limit.rlim_max;
  return limit;
}

Micros ToMicros(const timeval& time) { return time.tv_sec * kSecondInMicros + time.tv_usec; }

}  // namespace

std::string ProcessExit::Text() const {
  if (!by_signal) return "exit code " + std::to_string(code);
  return "signal " + std::to_string(code) + " (" + strsignal(code) + ")";
}

Process::Process(RealScheduler& scheduler, const ProcessSpec& spec) : Signal(scheduler) {
  std::vector<std::string> words = {spec.program};
  words.insert(words.end(), spec.arguments.begin(), spec.arguments.end());
  std::vector<std::string> variables = Environment(spec);
  const std::vector<char*> arguments = NullTerminated(words), environment = NullTerminated(variables);
  cpu_set_t cores;
  CPU_ZERO(&cores);
  for (int core : spec.cores) {
    if (core < 0 || core >= CPU_SETSIZE) Throw(EINVAL, "core " + std::to_string(core));
    CPU_SET(static_cast<size_t>(core), &cores);
  }
  if (spec.cpu_share > 0) {
    cpu_share_ = CpuShare::Make(spec.cpu_share, share_.why);
    share_.enforced = cpu_share_ != nullptr;
  }
  const Descriptor dev_null = AboveStandardStreams(Descriptor(open("/dev/null", O_RDONLY | O_CLOEXEC)));
  if (!dev_null) Throw(errno, "/dev/null");
  Pipe output, error;
  ChildSetup setup{.program = spec.program.c_str(),
                   .arguments = arguments.data(),
                   .environment = environment.data(),
                   .folder = spec.folder.empty() ? nullptr : spec.folder.c_str(),
                   .streams = {dev_null.get(), output.write.get(), error.write.get()},
                   .parent = getpid(),
                   .descriptors = Limit(RLIMIT_NOFILE, spec.max_descriptors),
                   .address_space = Limit(RLIMIT_AS, spec.max_address_space),
                   .limit_descriptors = spec.max_descriptors > 0,
                   .limit_address_space = spec.max_address_space > 0,
                   .cores = spec.cores.empty() ? nullptr : &cores,
                   .cgroup_procs = cpu_share_ ? cpu_share_->join_descriptor() : -1,
                   .failed = nullptr,
                   .error = 0};
  // Like posix_spawn, which does not support limits, cgroups and CPU sets: the child shares this program's
  // memory, so the cost does not depend on its size, and has its own stack. This thread resumes once the
  // child has called execve() or has failed.
  const auto stack = std::make_unique<std::byte[]>(kStackBytes);
  void* top = stack.get() + kStackBytes - reinterpret_cast<uintptr_t>(stack.get() + kStackBytes) % 16;
  sigset_t all, before;
  sigfillset(&all);
  pthread_sigmask(SIG_BLOCK, &all, &before);
  int pidfd = -1;
  pid_ = clone(RunChild, top, CLONE_VM | CLONE_VFORK | CLONE_PIDFD | SIGCHLD, &setup, &pidfd);
  const int clone_error = errno;
  pthread_sigmask(SIG_SETMASK, &before, nullptr);
  if (pid_ < 0) Throw(clone_error, "can't start " + spec.program);
  pidfd_ = Descriptor(pidfd);
  if (setup.failed != nullptr) {
    Reap(true);
    Throw(setup.error, "can't start " + spec.program + ": " + setup.failed);
  }
  try {
    output_ = MakeStream(scheduler, std::move(output.read));
    error_ = MakeStream(scheduler, std::move(error.read));
    if (!output_ || !error_) throw std::system_error(errno, std::generic_category(), "epoll_ctl");
    scheduler.Watch(pidfd_.get(), *this);
  } catch (...) {
    Kill(SIGKILL);
    Reap(true);
    throw;
  }
}

Process::~Process() {
  if (exit_) return;
  Kill(SIGKILL);
  Reap(true);
}

bool Process::Kill(int signal) {
  return !exit_ && syscall(SYS_pidfd_send_signal, pidfd_.get(), signal, nullptr, 0) == 0;
}

// The pid and the process group id can't be reused until the child is reaped here.
bool Process::Reap(bool wait) {
  const auto id = static_cast<id_t>(pidfd_.get());
  siginfo_t info{};
  int done = 0;
  do {
    done = waitid(P_PIDFD, id, &info, WEXITED | WNOWAIT | (wait ? 0 : WNOHANG));
  } while (done != 0 && errno == EINTR);
  if (done != 0 || info.si_pid == 0) return false;
  kill(-pid_, SIGKILL);  // remaining processes of its group
  rusage used{};
  syscall(SYS_waitid, P_PIDFD, id, &info, WEXITED, &used);
  exit_ = {.by_signal = info.si_code != CLD_EXITED, .code = info.si_status};
  // ru_maxrss is not used: it includes this program's memory, which the child shared before execve().
  last_usage_.cpu = ToMicros(used.ru_utime) + ToMicros(used.ru_stime);
  last_usage_.rss_bytes = 0;
  cpu_share_.reset();
  return true;
}

std::optional<ProcessExit> Process::Exit() {
  if (!exit_) Reap(false);
  return exit_;
}

ProcessUsage Process::Usage() {
  if (exit_) return last_usage_;
  const std::string folder = "/proc/" + std::to_string(pid_);
  ProcessUsage usage = last_usage_;
  std::ifstream stat(folder + "/stat");
  std::string line;
  std::getline(stat, line);
  // The process name is in parentheses and may contain anything; utime is the twelfth word after it.
  std::istringstream words(line.substr(std::min(line.size(), line.rfind(')') + 1)));
  std::string skipped;
  long user = 0, system = 0;
  for (int i = 0; i < 11; ++i) words >> skipped;
  if (words >> user >> system) usage.cpu = (user + system) * kSecondInMicros / sysconf(_SC_CLK_TCK);
  std::ifstream status(folder + "/status");
  while (std::getline(status, line)) {
    std::istringstream row(line);
    std::string name;
    uint64_t kb = 0;
    row >> name >> kb;
    if (name == "VmRSS:") usage.rss_bytes = kb * 1024;
    if (name == "VmHWM:") usage.peak_rss_bytes = kb * 1024;
  }
  return last_usage_ = usage;
}

Task<> ReadLines(Stream& from, size_t max_length, std::function<void(std::string_view)> on_line) {
  std::string line, piece;
  size_t read = 0;  // since the last pause
  while (true) {
    piece.clear();
    const Io io = from.Read(piece);
    if (io == Io::kLater) {
      read = 0;
      co_await from.Wait();
      continue;
    }
    if (io != Io::kSome) break;
    read += piece.size();
    for (std::string_view left = piece; !left.empty();) {
      const size_t end = left.find('\n');
      line += left.substr(0, std::min(end, max_length - line.size()));
      if (end == std::string_view::npos) break;
      on_line(line);
      line.clear();
      left.remove_prefix(end + 1);
    }
    if (read >= kBytesPerPause) {
      read = 0;
      const Micros until = from.scheduler().Now() + kPause;
      while (from.scheduler().Now() < until) co_await from.Wait(until);
    }
  }
  if (!line.empty()) on_line(line);
}

std::string SiblingProgramPath(const std::string& name) {
  return (std::filesystem::read_symlink("/proc/self/exe").parent_path() / name).string();
}

}  // namespace burlfall
