// Server links: the connections to the hosts of the group, and one attempt of a query over one of them.
#ifndef BURLFALL_NET_SERVER_LINK_H_
#define BURLFALL_NET_SERVER_LINK_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "meadowslip/balancer.h"
#include "net/config.h"
#include "net/counters.h"
#include "net/http.h"
#include "net/scheduler.h"

namespace burlfall {

// A connection that is being made; an invalid descriptor where that failed at once, and errno says why.
Descriptor OpenConnection(const Address& to);
Task<bool> Connected(Socket& socket, Micros until);

class ServerLinks;

class ServerLink : public Socket {
 public:
  ServerLink(ServerLinks& links, Descriptor fd, uint64_t era);
  ~ServerLink();

 private:
  friend class ServerLinks;
  ServerLinks& links_;
  uint64_t era_;
  Micros idle_since_ = 0;
};

// A server as the host group last told of it.
struct Host {
  meadowslip::BackendId id = 0;
  std::string name;
  Address address;
  meadowslip::BackendState state = meadowslip::BackendState::kGone;
  Micros started_at = 0;
  uint64_t era = 0;                               // counts its restarts and changes of address
  std::vector<std::unique_ptr<ServerLink>> idle;  // the most recently used last
};

struct ServerAnswer {
  meadowslip::Outcome outcome = meadowslip::Outcome::kMoot;
  HttpMessage message;  // of an outcome that is kOk
};

// How links fare that are used again, by how long they were idle. Servers, and what lies between, may forget
// links far sooner than the settings say and without a sign: the next query on one is reset, and if it is
// unsafe it is lost. What was seen counts for some seconds, then links are tried that long again.
class IdleRecord {
 public:
  void NoteUse(Micros idle, Micros now);
  void NoteReset(Micros idle) { ++seen_[Place(idle)].reset; }  // of a use that was noted
  bool Usable(Micros idle, Micros now) const;

 private:
  struct Seen {
    int used = 0;
    int reset = 0;
    Micros since = 0;
  };
  static size_t Place(Micros idle);
  std::array<Seen, 12> seen_{};  // each for twice the time of the one before
};

class ServerLinks {
 public:
  // `room` says whether one more link may be opened, and makes room for it where it can.
  using Room = std::function<bool()>;
  ServerLinks(Scheduler& scheduler, const meadowslip::Settings& settings, Room room, Counters& counters);

  // Sends the query to the host and waits for the answer until then. Never sends it a second time.
  Task<ServerAnswer> Exchange(Host& host, const HttpMessage& query, Micros until);

  // Closes what has been idle for long, or all that is idle where the host takes nothing new.
  void Retire(Host& host);
  size_t open() const { return open_; }

 private:
  friend class ServerLink;
  std::unique_ptr<ServerLink> Reuse(Host& host);
  bool Usable(const Host& host, const ServerLink& link) const;
  void Keep(Host& host, std::unique_ptr<ServerLink> link);

  Scheduler& scheduler_;
  Micros keep_for_;
  Micros connect_timeout_;
  IdleRecord idle_record_;
  Room room_;
  size_t open_ = 0;
  Counters& counters_;
};

}  // namespace burlfall

#endif  // BURLFALL_NET_SERVER_LINK_H_
