#include "io/cpu_share.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <cstring>
#include <fstream>
#include <sstream>
#include <utility>

namespace burlfall {
namespace {

constexpr long kPeriodUs = 100'000;  // the kernel's default
constexpr long kMinQuotaUs = 1'000;  // the minimum that the kernel accepts

std::string Cgroup2Mount(const std::string& root) {
  std::ifstream mounts(root + "/proc/self/mounts");
  for (std::string line; std::getline(mounts, line);) {
    std::istringstream words(line);
    std::string from, at, kind;
    if (words >> from >> at >> kind && kind == "cgroup2") return at;
  }
  return {};
}

std::string OwnCgroupPath(const std::string& root) {
  std::ifstream groups(root + "/proc/self/cgroup");
  for (std::string line; std::getline(groups, line);) {
    if (line.starts_with("0::/")) return line.substr(3);
  }
  return {};
}

bool EnablesCpu(const std::string& folder) {
  std::ifstream file(folder + "/cgroup.subtree_control");
  for (std::string word; file >> word;) {
    if (word == "cpu") return true;
  }
  return false;
}

bool WriteFile(const std::string& path, const std::string& text) {
  const Descriptor fd(open(path.c_str(), O_WRONLY | O_CLOEXEC));
  return fd && write(fd.get(), text.data(), text.size()) == static_cast<ssize_t>(text.size());
}

}  // namespace

std::optional<std::string> CpuShare::Parent(std::string& why, const std::string& root) {
  const std::string mount = Cgroup2Mount(root);
  if (mount.empty()) {
    why = "no cgroup of version 2 is mounted";
    return {};
  }
  // Search from this process's cgroup upwards. A cgroup that contains processes, as this one does, rarely
  // enables controllers for its children; its ancestors may.
  std::string path = OwnCgroupPath(root);
  if (path.empty()) {
    why = "this process is in no cgroup of version 2";
    return {};
  }
  while (true) {
    if (path == "/") path.clear();
    const std::string folder = root + mount + path;
    if (EnablesCpu(folder) && access(folder.c_str(), W_OK) == 0 &&
        access((folder + "/cgroup.procs").c_str(), W_OK) == 0) {
      return folder;
    }
    if (path.empty()) break;
    path.resize(path.rfind('/'));
  }
  why = "no cgroup above this process passes the cpu controller on and may be written to by this user";
  return {};
}

std::unique_ptr<CpuShare> CpuShare::Make(double cores, std::string& why) {
  static int made = 0;
  const std::optional<std::string> parent = Parent(why);
  if (!parent) return nullptr;
  const std::string folder = *parent + "/burlfall-" + std::to_string(getpid()) + "-" + std::to_string(++made);
  if (mkdir(folder.c_str(), 0755) != 0) {
    why = folder + ": " + std::strerror(errno);
    return nullptr;
  }
  const long quota = std::max(kMinQuotaUs, std::lround(cores * static_cast<double>(kPeriodUs)));
  const bool set = WriteFile(folder + "/cpu.max", std::to_string(quota) + " " + std::to_string(kPeriodUs));
  Descriptor procs(open((folder + "/cgroup.procs").c_str(), O_WRONLY | O_CLOEXEC));
  if (!set || !procs) {
    why = folder + ": " + std::strerror(errno);
    rmdir(folder.c_str());
    return nullptr;
  }
  return std::unique_ptr<CpuShare>(new CpuShare(folder, std::move(procs)));
}

CpuShare::CpuShare(std::string folder, Descriptor procs)
    : folder_(std::move(folder)), procs_(std::move(procs)) {}

CpuShare::~CpuShare() { rmdir(folder_.c_str()); }

}  // namespace burlfall
