#include "lab/run/own_share.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>

namespace burlfall::lab {

std::string OwnLoopback(int first, int number) {
  const int pid = getpid();
  std::string block("127.");
  block.append(std::to_string(first + pid / 250 % 60)).append(".");
  return block.append(std::to_string(1 + (pid + number) % 250)).append(".");
}

std::string MayHold(size_t descriptors) {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return "";
  if (limit.rlim_cur < descriptors && limit.rlim_cur < limit.rlim_max) {
    limit.rlim_cur = std::min<rlim_t>(descriptors, limit.rlim_max);
    setrlimit(RLIMIT_NOFILE, &limit);
    getrlimit(RLIMIT_NOFILE, &limit);
  }
  if (limit.rlim_cur >= descriptors) return "";
  return "needs " + std::to_string(descriptors) + " descriptors, and this process may hold " +
         std::to_string(limit.rlim_cur) + " (ulimit -n)";
}

}  // namespace burlfall::lab
