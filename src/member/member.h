// Runs the failure detector (src/cluster) of one cluster member on the network: a datagram socket,
// connections on the same address, and a Unix socket for `burlfall cluster`. All decisions are made by the
// failure detector.
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
    // The facts that it reports about itself; called a few times a second.
    std::function<cluster::Facts()> facts;
    // Called when other members have a newer list of servers.
    std::function<void()> on_list_behind = [] {};
  };

  // `log` and `counters` must outlive it. Throws std::runtime_error where the settings hold no valid address.
  ClusterMember(Machine& machine, const ClusterSettings& settings, Setup setup, Log& log, Counters& counters);
  ~ClusterMember();

  // Binds the addresses. Retries until that succeeds, as the previous process may still hold them; the
  // balancer serves meanwhile.
  void Start();
  void Leave();  // notifies the others, and sends nothing afterwards
  const cluster::FailureDetector& detector() const { return detector_; }

 private:
  struct Connection {  // a connection that this member or another one opened
    std::unique_ptr<Stream> stream;
    bool finished = false;
    Task<> task;  // last member: what it uses must outlive it
  };
  struct CommandClient {
    std::unique_ptr<Channel> channel;
    bool finished = false;
    Task<> task;
  };

  Task<> BindAddresses();
  Task<> ReceiveLoop();
  Task<> AcceptConnections();
  Task<> ServeCall(Connection& connection);
  Task<> MakeCall(Connection& connection, cluster::Call call);
  Task<> AcceptCommandClients();
  Task<> ServeCommand(CommandClient& client);
  Task<> RefreshFacts();
  bool ReadDatagrams();
  void DispatchOutput();
  void LogNotice(const cluster::Notice& notice);
  void RemoveFinished();
  std::string RunCommand(const std::string& command);

  Machine& machine_;
  const ClusterSettings settings_;
  Setup setup_;
  Log& log_;
  Counters& counters_;
  const Address listen_;
  cluster::FailureDetector detector_;
  std::unique_ptr<DatagramSocket> socket_;
  std::unique_ptr<Listener> listener_;
  std::unique_ptr<ChannelListener> command_listener_;
  std::list<std::unique_ptr<Connection>> connections_;
  std::list<std::unique_ptr<CommandClient>> clients_;
  size_t accepted_connections_ = 0;
  uint64_t reported_list_version_ = 0;  // the newest version for which it was reported behind
  Micros behind_since_ = 0;             // since when others have a newer list; 0: they have not
  std::vector<std::string> history_;    // the last notices, for `explain`
  Event refresh_event_;
  Event capacity_event_;  // an accepted connection has ended
  Task<> bind_task_;      // the tasks are last: what they use must outlive them
  Task<> receive_task_;
  Task<> accept_task_;
  Task<> command_accept_task_;
  Task<> refresh_task_;
};

}  // namespace burlfall

#endif  // BURLFALL_MEMBER_MEMBER_H_
