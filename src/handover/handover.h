// The hand-over between two processes of one balancer: the one that serves, and the one that takes its place.
// Each may be both in turn, the heir of one and the predecessor of the next.
#ifndef BURLFALL_HANDOVER_HANDOVER_H_
#define BURLFALL_HANDOVER_HANDOVER_H_

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "handover/estate.h"
#include "io/machine.h"
#include "observe/log.h"

namespace burlfall {

// What the process does about it. Never called from inside a call to the hand-over.
class Heritage {
 public:
  // To the one before. Nothing where it is past that: `why` says so.
  virtual std::optional<Estate> GiveUpDoor(std::string& why) = 0;  // accepts nothing from here on
  virtual void KeepDoor() = 0;                                     // the other one did not come to serve
  virtual void HandOn() = 0;     // the other one serves: what is quiet goes over, then this one ends
  virtual void HeirTold() = 0;   // what it holds: see HeirHoldsAll()
  virtual void TakeBack() = 0;   // it broke off after that, with no word of an orderly end
  virtual void LastOwner() = 0;  // it has ended in order: nothing can go over any more
  // To the heir.
  virtual void TakeLink(std::unique_ptr<Stream> stream, PassedLink link) = 0;
  virtual void OtherUses(const Use& use) = 0;
  // To both: what operators told the other.
  virtual void OtherTookOut(const NodeCall& call) = 0;
  virtual void OtherPutBack(const NodeCall& call) = 0;
  virtual void OtherDrains(bool drains) = 0;

 protected:
  ~Heritage() = default;
};

class Handover {
 public:
  // `path` is where the processes meet. `log` and `heritage` must outlive it.
  Handover(Machine& machine, std::string path, std::string name, Heritage& heritage, Log& log);
  ~Handover();

  // Asks whoever serves. Nothing where there is nobody, or nobody who answers in time or can be understood:
  // this process then begins by itself.
  Task<std::optional<Estate>> Claim();
  // The door is open: tells the one before, and awaits the next.
  void Serve();
  // To the heir; kLater: try again, kBroken: there is none.
  Io Pass(Stream& stream, const PassedLink& link);
  // Whether the heir has said that it holds all links that were passed on; asks it where it has not been
  // asked. One of an earlier version, which can't say so, is taken at its word that it serves.
  bool HeirHoldsAll();
  // Links that went over to an heir that broke off, and that it had not said to hold. Nobody has them.
  uint64_t links_lost() const { return links_lost_; }
  void TellUse(const Use& use);
  // To whoever is there.
  void TellOut(const NodeCall& call);
  void TellBack(const NodeCall& call);
  void TellDrain(bool drains);
  void End();  // in order
  bool has_heir() const { return heir_ && heir_->serves; }

 private:
  // The other process of one hand-over.
  struct Other {
    explicit Other(std::unique_ptr<Channel> way) : channel(std::move(way)) {}
    std::unique_ptr<Channel> channel;
    std::deque<std::string> unsent;
    bool broken = false;
    bool ended = false;   // has said that it ends
    bool serves = false;  // of an heir: it has the door
    bool claimed = false;
    bool answers_held = false;  // of an heir: it can say what it holds
    bool asked_held = false;    // since the last link
    uint64_t links = 0;         // that went over
    uint64_t held = 0;          // of those, by the heir's word
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
