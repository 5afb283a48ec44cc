// Limits the CPU time of one process by a cgroup (version 2) of its own. It is created below a cgroup that is
// delegated to this user and enables the cpu controller for its children, so root is not needed.
#ifndef BURLFALL_IO_CPU_SHARE_H_
#define BURLFALL_IO_CPU_SHARE_H_

#include <memory>
#include <optional>
#include <string>

#include "io/real_machine.h"

namespace burlfall {

class CpuShare {
 public:
  // The cgroup under which a new one may be created; nothing, with the reason in `why`, if there is none.
  // `root` is for tests: the directory that replaces the root of the file system.
  static std::optional<std::string> Parent(std::string& why, const std::string& root = "");
  // Limits to `cores` cores (may be a fraction). Returns nullptr, with the reason in `why`, on failure.
  static std::unique_ptr<CpuShare> Make(double cores, std::string& why);

  ~CpuShare();  // removes the cgroup; its process must have ended
  CpuShare(const CpuShare&) = delete;
  // Descriptor of cgroup.procs: a process that writes "0" to it joins the cgroup and is limited from then on.
  int join_descriptor() const { return procs_.get(); }

 private:
  CpuShare(std::string folder, Descriptor procs);

  std::string folder_;
  Descriptor procs_;
};

}  // namespace burlfall

#endif  // BURLFALL_IO_CPU_SHARE_H_
