// A stand-in for the network between processes: they are told its addresses instead of each other's, and it
// carries what they send as the model of their path says (path_model.h), connections and datagrams alike.
//
//   Paths paths(machine, seed);
//   Address door = paths.OpenStream(host, 3, 0, service);  // what connects there comes from 3, and goes to 0
//   paths.Set(0, 3, {.cut = true});                        // 3 is heard, and hears nothing
//
// A path that is cut in either direction lets no new connection come up, and open ones stay open and silent;
// what was sent on them is held, as a system would send it again, and arrives once the path is whole.
#ifndef BURLFALL_LAB_PATHS_PATHS_H_
#define BURLFALL_LAB_PATHS_PATHS_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "io/machine.h"
#include "lab/paths/path_model.h"

namespace burlfall::lab {

class Paths {
 public:
  struct Counts {
    uint64_t links = 0;
    uint64_t datagrams = 0;
    uint64_t datagrams_lost = 0;  // by a path's quality, or for want of room
  };

  Paths(Machine& machine, uint64_t seed);
  ~Paths();
  Paths(const Paths&) = delete;

  // Both throw std::system_error where the address can't be had. `at`: with port 0, any that is free.
  Address OpenStream(const Address& at, int from, int to, const Address& real);
  // Whoever connects from this host is `who`.
  void Knows(const std::string& host, int who);
  // Of any sender that is known by its host: one door for all that call `to`. While a path is cut, what comes
  // in on it is taken and held, as a connection that comes up and then hears nothing.
  Address OpenStreams(const Address& at, int to, const Address& real);
  // Where others send datagrams for `who`, which takes them at `real` and sends from there; they see each
  // other at these addresses alone. Who is not known here is not carried.
  Address OpenDatagrams(const Address& at, int who, const Address& real);

  void Set(int from, int to, const PathQuality& quality);
  const PathQuality& Of(int from, int to) const { return model_.Of(from, to); }
  const Counts& counts() const { return counts_; }

 private:
  struct Piece {
    enum class What { kBytes, kEnd, kReset };
    What what = What::kBytes;
    Micros at = kNever;  // it arrives; kNever: the path is cut
    std::string bytes = {};
  };
  // One end of a link, and what is on its way there.
  struct End {
    std::unique_ptr<Stream> stream;
    std::deque<Piece> coming;
    size_t held = 0;  // bytes in `coming`
    Micros last_at = 0;
    int other = 0;  // who sends it
    int self = 0;
    bool heard_all = false;  // its process sends no more
    bool told_all = false;   // nothing more goes to it
    Task<> pump;
  };
  struct Door;
  struct Link {
    Door* door = nullptr;
    End near;
    End far;
    bool over = false;
    Task<> opening;
    std::list<std::unique_ptr<Link>>::iterator place;
  };
  struct Door {
    int from = 0;
    int to = 0;
    Address real;
    std::unique_ptr<Listener> listener;
    std::unique_ptr<Stream> filler;  // takes the one place that is left in the line of a cut listener
    Task<> task;
  };
  struct Post {  // of datagrams
    int who = 0;
    Address real;
    std::unique_ptr<DatagramSocket> socket;
    Task<> task;
  };
  struct Flight {  // a datagram on its way
    Micros at = 0;
    uint64_t number = 0;
    Post* from = nullptr;
    Post* to = nullptr;
    std::string bytes = {};
    bool operator>(const Flight& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  bool Cut(int from, int to) const { return model_.Of(from, to).cut || model_.Of(to, from).cut; }
  void Settle(Door& door);
  Task<> Accept(Door& door);
  Task<> Run(Link& link);
  Task<> Held(Link& link);
  Task<> Pump(Link& link, End& self, End& other);
  void Hear(End& self, End& other);
  bool Tell(End& self, End& other);  // whether it can take no more now
  void Over(Link& link);
  Task<> Sweep();
  Task<> Take(Post& post);
  Task<> Deliver();

  Machine& machine_;
  PathModel model_;
  Counts counts_;
  std::map<std::string, int> hosts_;
  std::list<std::unique_ptr<Door>> doors_;
  std::list<std::unique_ptr<Link>> links_;
  std::list<std::unique_ptr<Link>> over_;
  std::map<std::string, std::unique_ptr<Post>> posts_;  // by their process's own address
  std::priority_queue<Flight, std::vector<Flight>, std::greater<>> flights_;
  uint64_t flown_ = 0;
  Event sweeps_;
  Event flies_;
  Task<> sweeping_;
  Task<> delivering_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_PATHS_PATHS_H_
