// The host group: discovery's list of servers, and the watch that keeps it fresh.
#ifndef BURLFALL_NET_HOST_GROUP_H_
#define BURLFALL_NET_HOST_GROUP_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "net/config.h"
#include "net/scheduler.h"
#include "net/server_link.h"

namespace burlfall {

class HostGroup {
 public:
  // `told` hears of each list, and of each call that failed. The watch must then be asked for again.
  using Told = std::function<void(const meadowslip::BackendList&)>;
  HostGroup(Scheduler& scheduler, const Config& config, ServerLinks& links, Told told);

  void Start();      // hands on the list that is known, and is ready to watch
  void Subscribe();  // watches from now on, until a call fails
  void Restart();    // a new watch at once, where the configuration now says that discovery is
  Host* Find(meadowslip::BackendId id);
  const Host* Find(meadowslip::BackendId id) const;
  using Hosts = std::unordered_map<meadowslip::BackendId, std::unique_ptr<Host>>;
  const Hosts& all() const { return hosts_; }
  uint64_t version() const { return version_; }  // of the list heard last
  void RetireLinks();
  bool ShedIdleLink();  // closes one that nothing runs on; false where there is none

 private:
  Task<> Watch();
  Task<std::optional<HostList>> Ask(std::string path, Micros patience);
  meadowslip::BackendList Take(const HostList& list);
  Host& Named(const std::string& name);

  Scheduler& scheduler_;
  const Config& config_;
  ServerLinks& links_;
  Told told_;
  Hosts hosts_;
  uint64_t version_ = 0;
  std::unordered_map<std::string, Host*> by_name_;
  std::unique_ptr<Socket> link_;
  Signal asked_;
  bool subscribed_ = false;
  Task<> watch_;  // last: what it uses must outlive it
};

}  // namespace burlfall

#endif  // BURLFALL_NET_HOST_GROUP_H_
