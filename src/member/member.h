// A cluster's member as it goes on the wire: the mind (src/cluster) between a socket for datagrams,
// connections on the same address, and whoever asks on a Unix socket. Nothing is decided here.
#ifndef BURLFALL_MEMBER_MEMBER_H_
#define BURLFALL_MEMBER_MEMBER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "cluster/failure_detector.h"
#include "config/cluster_settings.h"
#include "io/machine.h"
#include "observe/log.h"

namespace burlfall {

class ClusterMember {
 public:
  struct Setup {
    std::string name;
    std::string socket;  // the path for `burlfall cluster`; empty: none
    // What it tells of itself, asked a few times a second.
    std::function<cluster::Facts()> facts;
    // Others have a newer list of servers than it.
    std::function<void()> list_behind = [] {};
  };

  // `log` and `counters` must outlive it.
  ClusterMember(Machine& machine, const ClusterSettings& settings, Setup setup, Log& log, Counters& counters);
  ~ClusterMember();

  // Binds the addresses, and tries again for as long as they can't be had: the process before may still hold
  // them, and service goes on meanwhile.
  void Start();
  void Leave();  // says so to the others, and is silent from then on
  const cluster::Mind& mind() const { return mind_; }

 private:
  struct Link {  // a connection, ours or another's
    std::unique_ptr<Stream> stream;
    bool over = false;
    Task<> task;  // last: what it uses must outlive it
  };
  struct Asker {
    std::unique_ptr<Channel> channel;
    bool over = false;
    Task<> task;
  };

  Task<> Open();
  Task<> Listen();
  Task<> Accept();
  Task<> Answer(Link& link);
  Task<> Call(Link& link, cluster::Call call);
  Task<> Await();
  Task<> Serve(Asker& asker);
  Task<> Refresh();
  bool TakeDatagrams();
  void Settle();
  void Tell(const cluster::Notice& notice);
  void Bury();
  std::string Ask(const std::string& words);

  Machine& machine_;
  const ClusterSettings settings_;
  Setup setup_;
  Log& log_;
  Counters& counters_;
  const Address listen_;
  cluster::Mind mind_;
  std::unique_ptr<DatagramSocket> socket_;
  std::unique_ptr<Listener> listener_;
  std::unique_ptr<ChannelListener> asked_;
  std::list<std::unique_ptr<Link>> links_;
  std::list<std::unique_ptr<Asker>> askers_;
  size_t taken_links_ = 0;
  uint64_t told_list_ = 0;            // the newest version that it was told to be behind of
  Micros behind_since_ = 0;           // others have a newer list; 0: they have not
  std::vector<std::string> history_;  // the last notices, for `explain`
  Event refresh_;
  Event room_;      // for a connection
  Task<> opening_;  // the tasks last: what they use must outlive them
  Task<> listening_;
  Task<> accepting_;
  Task<> awaiting_;
  Task<> refreshing_;
};

}  // namespace burlfall

#endif  // BURLFALL_MEMBER_MEMBER_H_
