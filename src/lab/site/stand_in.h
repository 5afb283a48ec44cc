// The socket side that the site's stand-ins share: HTTP/1.1 on one listener for each balancer. So it is known
// who connects, and what lies between a balancer and this machine can be slow, or cut.
//
// Nothing here may be called from inside a Witness's call.
#ifndef BURLFALL_LAB_SITE_STAND_IN_H_
#define BURLFALL_LAB_SITE_STAND_IN_H_

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "codec/http.h"
#include "io/machine.h"

namespace burlfall::lab {

// A parameter of a target's query string, as it stands there; empty where there is none of that name.
std::string_view ParameterOf(std::string_view target, std::string_view name);

class StandIn {
 public:
  virtual ~StandIn();
  StandIn(const StandIn&) = delete;

  // Listens from the next opening on at these, one for each balancer. Port 0: any, and the same ever after.
  void MoveTo(std::vector<Address> at);
  const Address& At(int balancer) const { return gates_[static_cast<size_t>(balancer)]->at; }
  // Between a balancer and this machine: nothing is read or written, there is no sign of it, and new
  // connections don't come up, whether the process lives or not. Off: the silent links are reset.
  void Cut(int balancer, bool on);
  void Delay(int balancer, Micros one_way) { gates_[static_cast<size_t>(balancer)]->one_way = one_way; }
  int links() const { return static_cast<int>(links_.size()); }

 protected:
  struct Gate;
  struct Link {
    std::unique_ptr<Stream> stream;
    Gate* gate = nullptr;
    uint64_t number = 0;
    HttpParser parser{HttpParser::Kind::kRequest};
    std::string in;
    std::string out;  // the answer
    Micros came_up_at = 0;
    Micros first_byte_at = 0;  // of the query at hand: as it came, before any delay
    bool surplus = false;      // one more than `most_links`
    bool silent = false;       // cut off
    bool waiting = false;      // for the answer
    bool last = false;         // closes after this answer
    std::list<std::unique_ptr<Link>>::iterator place;
    Task<> task;  // last: what it uses must outlive it

    virtual ~Link() = default;
  };
  struct Gate {
    int balancer = 0;
    Address at;
    Micros one_way = 0;
    bool cut = false;
    std::unique_ptr<Listener> listener;
    std::unique_ptr<Stream> filler;  // takes the one place that is left in the line of a cut listener
    Task<> task;
  };
  struct Limits {
    Micros idle_close = 10 * kSecond;
    Micros read_patience = 5 * kSecond;  // from a query's first byte to its last
    int most_links = 1000;
  };

  StandIn(Machine& machine, Limits limits, std::vector<Address> at);

  bool open() const { return open_; }
  void Open();  // throws std::system_error where an address can't be had
  void Shut();  // as when a process dies: its links are reset and new ones refused

  virtual std::unique_ptr<Link> NewLink() { return std::make_unique<Link>(); }
  virtual void CameUp(Link&) {}
  // Puts the answer into `out`; false where the link is to be closed without one.
  virtual Task<bool> Handle(Link& link, HttpMessage query) = 0;
  virtual void Written(Link&) {}  // the answer, whole
  // The balancer has ended the link, though this machine may not hear of it yet, or ever.
  virtual void LeftBy(Link&) {}
  // The link is no more; whatever hangs on it is given up.
  virtual void Lost(Link&) {}

  // Waits for Wake(), or for the balancer's end; false at that.
  Task<bool> AwaitAnswer(Link& link);
  void Wake(Link& link);
  static void Answer(Link& link, int status, std::string_view headers, std::string_view body);

  Machine& machine_;

 private:
  Task<> Accept(Gate& gate);
  Task<> Run(Link& link);
  Task<bool> Read(Link& link);
  Task<bool> Write(Link& link);
  Task<> Overhear(Link& link);
  Task<> Sweep();
  Task<> Rest(Micros until);
  void Settle(Gate& gate);
  std::unique_ptr<Listener> Claim(const Address& at);
  void CutOff(Gate& gate);
  void Heal(Gate& gate);
  bool Listen(Link& link);

  const Limits limits_;
  bool open_ = false;
  uint64_t links_made_ = 0;
  std::vector<std::unique_ptr<Gate>> gates_;
  std::list<std::unique_ptr<Link>> links_;
  std::list<std::unique_ptr<Link>> over_;  // ended, and not yet swept up
  Event sweeps_;
  Task<> sweeping_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_SITE_STAND_IN_H_
