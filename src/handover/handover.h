// Hand-over between two processes of one balancer: the serving process and its successor. A process may be
// both in turn: the successor of one process and later the predecessor of another.
#ifndef BURLFALL_HANDOVER_HANDOVER_H_
#define BURLFALL_HANDOVER_HANDOVER_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "handover/handover_state.h"
#include "io/machine.h"
#include "observe/log.h"

namespace burlfall {

// Callbacks to the process. Never called from inside a call to Handover.
class HandoverHandler {
 public:
  // Callbacks to the predecessor.
  // Stops accepting connections and returns the state; nullopt with the reason in `why` if this process
  // can't hand over any more.
  virtual std::optional<HandoverState> ReleaseListener(std::string& why) = 0;
  virtual void KeepListener() = 0;        // the successor did not start to serve: accept again
  virtual void OnSuccessorServing() = 0;  // the successor serves: pass idle links over, then exit
  // The successor has reported how many links it received; see SuccessorHasAllLinks().
  virtual void OnLinksConfirmed() = 0;
  virtual void OnSuccessorLost() = 0;    // the successor disconnected after that without an orderly exit
  virtual void OnSuccessorExited() = 0;  // the successor exited in order: nothing can be passed any more
  // Callbacks to the successor. OnPeerUse() gives the resources that the predecessor still uses.
  virtual void ReceiveLink(std::unique_ptr<Stream> stream, PassedLink link) = 0;
  virtual void OnPeerUse(const ResourceUse& use) = 0;
  // Callbacks to both: operator calls that the other process received.
  virtual void OnPeerTookOut(const NodeChange& call) = 0;
  virtual void OnPeerPutBack(const NodeChange& call) = 0;
  virtual void OnPeerDrain(bool drains) = 0;
  // Callbacks to both: ids of the requests that must not be begun twice.
  virtual std::vector<uint64_t> BegunRequestIds() = 0;
  virtual void OnPeerBegan(const std::vector<uint64_t>& ids) = 0;

 protected:
  ~HandoverHandler() = default;
};

// One process's side of the hand-over, towards its predecessor and its successor.
class Handover {
 public:
  // `path`: the socket at which the processes connect. `log` and `handler` must outlive this object.
  Handover(Machine& machine, std::string path, std::string name, HandoverHandler& handler, Log& log);
  ~Handover();

  // Claims the state of the serving process. Returns nullopt if there is none, or if it refuses, times out
  // or sends an invalid answer; this process then starts without a predecessor's state.
  Task<std::optional<HandoverState>> Claim();
  // After Claim() returned a state: waits for the ids of the predecessor's requests, so that none of them
  // begins here again. A predecessor of an earlier version sends none, and is waited for only briefly.
  Task<> ReceiveBegunRequests();
  // The listener of this process is open: notifies the predecessor and waits for a successor.
  void Serve();
  // Passes a link to the successor. kLater: try again; kBroken: there is no successor.
  Io Pass(Stream& stream, const PassedLink& link);
  // Whether the successor has confirmed that it received all passed links; sends the question if it has not
  // been asked. A successor of an earlier version, which cannot confirm, is trusted once it serves.
  bool SuccessorHasAllLinks();
  // Links passed to a successor that disconnected without confirming them. No process serves them.
  uint64_t links_lost() const { return links_lost_; }
  void SendUse(const ResourceUse& use);
  // Sent to the predecessor and to a successor that has claimed the state, whichever exist.
  void SendTakenOut(const NodeChange& call);
  void SendPutBack(const NodeChange& call);
  void SendDrain(bool drains);
  // A request has begun here: tells the other process, if there is one that knows the message.
  void SendBegun(uint64_t id);
  void End();  // announces an orderly exit
  bool has_successor() const { return successor_ && successor_->serves; }

 private:
  // The other process of a hand-over.
  struct Peer {
    explicit Peer(std::unique_ptr<Channel> from) : channel(std::move(from)) {}
    std::unique_ptr<Channel> channel;
    std::deque<std::string> unsent;
    bool broken = false;
    bool ended = false;   // announced its orderly exit
    bool serves = false;  // successor only: its listener is open
    bool claimed = false;
    bool can_confirm = false;           // successor only: it can confirm received links
    bool knows_ids = false;             // it knows message R
    std::vector<uint64_t> unsent_ids;   // sent once all messages before them are
    std::deque<std::string> postponed;  // received before this process serves
    bool confirm_requested = false;     // asked to confirm since the last link
    uint64_t links = 0;                 // links passed
    uint64_t confirmed = 0;             // links that the successor confirmed
    Task<> task;                        // last: what it uses must outlive it
  };

  void Listen();
  Task<> AcceptSuccessors();
  Task<> ReceiveMessages(Peer& peer, bool from_successor);
  void HandleMessage(Peer& peer, bool from_successor, std::string_view message,
                     std::unique_ptr<Stream> passed_stream);
  void HandleClaim(Peer& successor, std::string_view bytes);
  void Send(Peer& peer, std::string message);
  void Flush(Peer& peer);
  void QueueIds(Peer& peer, const std::vector<uint64_t>& ids, bool last);
  void SendAll(const std::string& message);
  void LogRefused(std::string_view what);

  Machine& machine_;
  const std::string path_;
  const std::string name_;
  HandoverHandler& handler_;
  Log& log_;
  std::unique_ptr<ChannelListener> listener_;
  std::unique_ptr<Peer> predecessor_;
  std::unique_ptr<Peer> successor_;
  uint64_t links_lost_ = 0;
  Task<> accept_;  // last: what it uses must outlive it
};

}  // namespace burlfall

#endif  // BURLFALL_HANDOVER_HANDOVER_H_
