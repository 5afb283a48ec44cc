// Frames on connections between members: a length of 4 bytes, then the frame. One connection in each
// direction that is spoken in: what is said unasked goes on the connection that one made oneself, an answer
// on the one that the question came on. Bounded queues: whoever does not take what it is sent loses the
// oldest of what repeats itself, then what is new; all that is sent here may be lost.
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

class Links {
 public:
  struct Frame {
    std::string bytes;  // with their length before them
    bool repeats = false;
  };
  struct Link {
    explicit Link(Scheduler& scheduler) : wanted(scheduler) {}
    uint64_t number = 0;
    std::string address;   // that was called; empty: it came in
    std::string name;      // as it said; empty: it has not
    bool follows = false;  // it asks for the log from outside
    bool stale = false;    // a voter with an older disk than it promised on
    std::unique_ptr<Stream> stream;
    std::string in;
    std::deque<Frame> out;
    size_t out_bytes = 0;
    size_t written = 0;  // of the first of `out`
    Micros moved_at = 0;
    bool over = false;
    Event wanted;  // something is to go out, and there is no connection
    Task<> task;   // last: what it uses must outlive it
  };
  struct Hears {
    std::function<void(Link& from, std::string_view frame)> frame;
    std::function<std::string()> hello;  // the first frame on each connection that is made
  };
  struct Counts {
    uint64_t frames_in = 0, frames_out = 0, bytes_out = 0, lost = 0;
  };

  Links(Machine& machine, const Address& listen, Hears hears)
      : machine_(machine), listen_(listen), hears_(std::move(hears)), room_(machine.scheduler()) {}
  ~Links();

  void Open();  // throws std::system_error where the address can't be had
  // To the member at this address. `repeats`: a later frame says as much.
  void Send(const std::string& address, std::string_view frame, bool repeats = false);
  void Answer(uint64_t link, std::string_view frame);
  void ToFollowers(std::string_view frame);
  size_t followers() const;
  bool Up(const std::string& address) const;
  void Bury();  // those that are over
  const Counts& counts() const { return counts_; }

 private:
  void Put(Link& link, std::string_view frame, bool repeats);
  void WriteOut(Link& link);
  bool TakeIn(Link& link);
  void Drop(Link& link);
  Task<> Accept();
  Task<> Dial(Link& link);
  Task<> Run(Link& link);
  Task<> Serve(Link& link);

  Machine& machine_;
  const Address listen_;
  const Hears hears_;
  Counts counts_;
  uint64_t numbers_ = 0;
  std::unique_ptr<Listener> listener_;
  std::map<std::string, std::unique_ptr<Link>> dialled_;
  std::list<std::unique_ptr<Link>> accepted_;
  Event room_;
  Task<> accepting_;  // last: what it uses must outlive it
};

}  // namespace burlfall::council

#endif  // BURLFALL_COUNCIL_MEMBER_CONNECTIONS_H_
