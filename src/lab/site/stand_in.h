// HTTP/1.1 server that the site's stand-ins share. It has one listener for each balancer, so that it knows
// which balancer connects, and can delay or cut the network between this balancer and the stand-in.
//
// No method may be called from within a call of a Witness.
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

// Returns a parameter of a target's query string, not unescaped; empty if there is none of that name.
std::string_view ParameterOf(std::string_view target, std::string_view name);

class StandIn {
 public:
  virtual ~StandIn();
  StandIn(const StandIn&) = delete;

  // Sets the addresses for the next Open(), one for each balancer. For port 0 a free port is chosen once.
  void SetAddresses(std::vector<Address> at);
  const Address& At(int balancer) const { return endpoints_[static_cast<size_t>(balancer)]->at; }
  // Cuts the network to a balancer: nothing is read or written, without any sign of it, and new connections
  // do not come up, whether or not the stand-in's process is alive. Off: the links that were cut are reset.
  void Cut(int balancer, bool on);
  void Delay(int balancer, Micros one_way) { endpoints_[static_cast<size_t>(balancer)]->one_way = one_way; }
  int links() const { return static_cast<int>(links_.size()); }

 protected:
  struct Endpoint;
  struct Link {
    std::unique_ptr<Stream> stream;
    Endpoint* endpoint = nullptr;
    uint64_t number = 0;
    HttpParser parser{HttpParser::Kind::kRequest};
    std::string in;
    std::string out;  // the answer to be written
    Micros connected_at = 0;
    Micros first_byte_at = 0;  // of the current query, before any delay is added
    bool over_limit = false;   // exceeds `max_links`
    bool silent = false;       // cut off
    bool awaiting_answer = false;
    bool last = false;  // close after this answer
    std::list<std::unique_ptr<Link>>::iterator place;
    Task<> task;  // declared last, so that it is destroyed before the members it uses

    virtual ~Link() = default;
  };
  struct Endpoint {
    int balancer = 0;
    Address at;
    Micros one_way = 0;
    bool cut = false;
    std::unique_ptr<Listener> listener;
    std::unique_ptr<Stream> backlog_filler;  // fills the one remaining backlog entry of a cut listener
    Task<> task;
  };
  struct Limits {
    Micros idle_close = 10 * kSecond;
    Micros read_timeout = 5 * kSecond;  // max. time from a query's first byte to its last
    int max_links = 1000;
  };

  StandIn(Machine& machine, Limits limits, std::vector<Address> at);

  bool open() const { return open_; }
  void Open();      // throws std::system_error if an address is not available
  void CloseAll();  // as if the process died: links are reset and new connections refused

  virtual std::unique_ptr<Link> NewLink() { return std::make_unique<Link>(); }
  virtual void OnConnected(Link&) {}
  // Stores the answer in `out`; false if the link is to be closed without one.
  virtual Task<bool> Handle(Link& link, HttpMessage query) = 0;
  virtual void OnAnswerWritten(Link&) {}  // the answer has been written completely
  // The balancer has closed the link, although the node may learn of it later (delay) or never (cut).
  virtual void OnPeerClosed(Link&) {}
  // The link has ended; what depends on it must be cancelled.
  virtual void OnClosed(Link&) {}

  // Waits for Wake() or until the balancer closes the link; false in the latter case.
  Task<bool> AwaitAnswer(Link& link);
  void Wake(Link& link);
  static void Answer(Link& link, int status, std::string_view headers, std::string_view body);

  Machine& machine_;

 private:
  Task<> Accept(Endpoint& endpoint);
  Task<> Serve(Link& link);
  Task<bool> Read(Link& link);
  Task<bool> Write(Link& link);
  Task<> DrainSilentLink(Link& link);
  Task<> DestroyEndedLinks();
  Task<> SleepUntil(Micros until);
  void UpdateListener(Endpoint& endpoint);
  std::unique_ptr<Listener> Bind(const Address& at);
  void BeginCut(Endpoint& endpoint);
  void EndCut(Endpoint& endpoint);
  bool ReadAhead(Link& link);

  const Limits limits_;
  bool open_ = false;
  uint64_t links_made_ = 0;
  std::vector<std::unique_ptr<Endpoint>> endpoints_;
  std::list<std::unique_ptr<Link>> links_;
  std::list<std::unique_ptr<Link>> ended_;  // ended links, not yet destroyed
  Event link_ended_;
  Task<> destroy_task_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_SITE_STAND_IN_H_
