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

#include "handover/handover_state.h"
#include "io/machine.h"
#include "observe/log.h"

namespace burlfall {

// Callbacks to the process. Never called from inside a call to Handover.
class Heritage {
 public:
  // Callbacks to the predecessor.
  // Stops accepting connections and returns the state; nullopt with the reason in `why` if this process
  // can't hand over any more.
  virtual std::optional<Estate> GiveUpDoor(std::string& why) = 0;
  virtual void KeepDoor() = 0;   // the successor did not start to serve: accept again
  virtual void HandOn() = 0;     // the successor serves: pass idle links over, then exit
  virtual void HeirTold() = 0;   // the successor has reported what it received; see HeirHoldsAll()
  virtual void TakeBack() = 0;   // the successor disconnected after that without an orderly exit
  virtual void LastOwner() = 0;  // the successor exited in order: nothing can be passed any more
  // Callbacks to the successor.
  virtual void TakeLink(std::unique_ptr<Stream> stream, PassedLink link) = 0;
  virtual void OtherUses(const Use& use) = 0;
  // Callbacks to both: operator calls that the other process received.
  virtual void OtherTookOut(const NodeCall& call) = 0;
  virtual void OtherPutBack(const NodeCall& call) = 0;
  virtual void OtherDrains(bool drains) = 0;

 protected:
  ~Heritage() = default;
};

class Handover {
 public:
  // `path`: the socket at which the processes connect. `log` and `heritage` must outlive this object.
  Handover(Machine& machine, std::string path, std::string name, Heritage& heritage, Log& log);
  ~Handover();

  // Claims the state of the serving process. Returns nullopt if there is none, or if it refuses, times out
  // or sends an invalid answer; this process then starts without a predecessor's state.
  Task<std::optional<Estate>> Claim();
  // The listener of this process is open: notifies the predecessor and waits for a successor.
  void Serve();
  // Passes a link to the successor. kLater: try again; kBroken: there is no successor.
  Io Pass(Stream& stream, const PassedLink& link);
  // Whether the successor has confirmed that it received all passed links; sends the question if it has not
  // been asked. A successor of an earlier version, which cannot confirm, is trusted once it serves.
  bool HeirHoldsAll();
  // Links passed to a successor that disconnected without confirming them. No process serves them.
  uint64_t links_lost() const { return links_lost_; }
  void TellUse(const Use& use);
  // Sent to the predecessor and the successor, whichever exist.
  void TellOut(const NodeCall& call);
  void TellBack(const NodeCall& call);
  void TellDrain(bool drains);
  void End();  // announces an orderly exit
  bool has_heir() const { return heir_ && heir_->serves; }

 private:
  // The other process of a hand-over.
  struct Other {
    explicit Other(std::unique_ptr<Channel> way) : channel(std::move(way)) {}
    std::unique_ptr<Channel> channel;
    std::deque<std::string> unsent;
    bool broken = false;
    bool ended = false;   // announced its orderly exit
    bool serves = false;  // successor only: its listener is open
    bool claimed = false;
    bool answers_held = false;  // successor only: it can confirm received links
    bool asked_held = false;    // asked to confirm since the last link
    uint64_t links = 0;         // links passed
    uint64_t held = 0;          // links that the successor confirmed
    Task<> task;                // last: what it uses must outlive it
  };

  void Listen();
  Task<> Await();
  Task<> Hear(Other& other, bool heir);
  void Take(Other& other, bool heir, std::string_view message, std::unique_ptr<Stream> along);
  void TakeClaim(Other& heir, std::string_view bytes);
  void Send(Other& other, std::string message);
  void Flush(Other& other);
  void SendAll(const std::string& message);
  void Bad(std::string_view what);

  Machine& machine_;
  const std::string path_;
  const std::string name_;
  Heritage& heritage_;
  Log& log_;
  std::unique_ptr<ChannelListener> listener_;
  std::unique_ptr<Other> before_;
  std::unique_ptr<Other> heir_;
  uint64_t links_lost_ = 0;
  Task<> await_;  // last: what it uses must outlive it
};

}  // namespace burlfall

#endif  // BURLFALL_HANDOVER_HANDOVER_H_
