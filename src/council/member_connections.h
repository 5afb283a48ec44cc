// Frames on TCP connections between members: a length of 4 bytes, then the frame. Each member connects to the
// members that it sends requests to; a reply goes on the connection that its request came on. Send queues are
// bounded: when a peer reads too slowly, the oldest replaceable frame is dropped, or the new frame if there
// is none. Any frame may be lost.
#ifndef BURLFALL_COUNCIL_MEMBER_CONNECTIONS_H_
#define BURLFALL_COUNCIL_MEMBER_CONNECTIONS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "io/machine.h"

namespace burlfall::council {

// All connections of one member, outgoing and incoming.
class MemberConnections {
 public:
  struct Frame {
    std::string bytes;         // with the length before them
    bool replaceable = false;  // a later frame supersedes it
  };
  struct Connection {
    explicit Connection(Scheduler& scheduler) : frame_queued(scheduler) {}
    uint64_t number = 0;
    std::string address;          // of the peer, if outgoing; empty: incoming
    std::string name;             // as announced by the peer; empty: not yet
    bool is_follower = false;     // the peer follows the log without being a voter
    bool has_older_disk = false;  // a voter whose disk lost what it had acknowledged
    std::unique_ptr<Stream> stream;
    std::string read_buffer;
    std::deque<Frame> send_queue;
    size_t queued_bytes = 0;
    size_t written_bytes = 0;  // of the first frame of `send_queue`
    Micros last_write_at = 0;  // last progress, or when the queue became non-empty
    bool closed = false;
    Event frame_queued;  // wakes a task that waits to connect
    Task<> task;         // declared last: what it uses must outlive it
  };
  struct Callbacks {
    std::function<void(Connection& from, std::string_view frame)> frame;
    std::function<std::string()> hello;  // the first frame on each outgoing connection
  };
  struct Counts {
    uint64_t frames_in = 0, frames_out = 0, bytes_out = 0, dropped = 0;
  };

  MemberConnections(Machine& machine, const Address& listen, Callbacks callbacks)
      : machine_(machine),
        listen_(listen),
        callbacks_(std::move(callbacks)),
        capacity_freed_(machine.scheduler()) {}
  ~MemberConnections();

  void Listen();  // throws std::system_error if the address can't be bound
  // Sends to the member at `address`, connecting first if needed. `replaceable`: a later frame supersedes it.
  void Send(const std::string& address, std::string_view frame, bool replaceable = false);
  // Sends on the connection of this number, if it still exists.
  void Reply(uint64_t connection, std::string_view frame);
  // Sends to all peers that follow the log without being voters.
  void SendToFollowers(std::string_view frame);
  size_t followers() const;
  bool IsConnected(const std::string& address) const;
  void RemoveClosed();  // removes closed incoming connections
  const Counts& counts() const { return counts_; }

 private:
  void Enqueue(Connection& connection, std::string_view frame, bool replaceable);
  void WriteQueued(Connection& connection);
  bool ReadFrames(Connection& connection);
  void Reset(Connection& connection);
  Task<> Accept();
  Task<> Dial(Connection& connection);
  Task<> Run(Connection& connection);
  Task<> ServeIncoming(Connection& connection);

  Machine& machine_;
  const Address listen_;
  const Callbacks callbacks_;
  Counts counts_;
  uint64_t last_number_ = 0;
  std::unique_ptr<Listener> listener_;
  std::map<std::string, std::unique_ptr<Connection>> outgoing_;
  std::list<std::unique_ptr<Connection>> incoming_;
  Event capacity_freed_;
  Task<> accept_task_;  // declared last: what it uses must outlive it
};

}  // namespace burlfall::council

#endif  // BURLFALL_COUNCIL_LINKS_H_
