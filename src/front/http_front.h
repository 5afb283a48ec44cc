// The HTTP/1.1 front: the listener, and the client links. What a query is allowed to ask the gates say, and
// what becomes of it the dispatcher.
#ifndef BURLFALL_FRONT_HTTP_FRONT_H_
#define BURLFALL_FRONT_HTTP_FRONT_H_

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <vector>

#include "config/name_index.h"
#include "config/platform_config.h"
#include "dispatch/dispatcher.h"
#include "front/client_link.h"
#include "gates/rate_limiter.h"
#include "gates/tokens.h"
#include "io/machine.h"
#include "links/budget.h"
#include "links/byte_budget.h"
#include "observe/counters.h"
#include "observe/figures.h"

namespace burlfall {

class HttpFront final : public LinkHolder {
 public:
  enum class State {
    kShut,     // nothing is accepted yet
    kOpen,     // and says so, to whoever asks at /up
    kAside,    // as leaving, but may be open again
    kLeaving,  // still accepts and answers, and asks clients to go elsewhere
    kClosing,  // accepts nothing more, answers what it owes
  };
  struct Parts {
    Machine& machine;
    const Config& config;
    Dispatcher& dispatcher;
    LinkBudget& budget;
    Tokens& tokens;
    RateLimiter& rate_limiter;
    Figures* figures;  // nullptr: off
    Counters& counters;
    // For a query with so much time: when to come back, where this balancer can't be of use before; nothing
    // where it may pass. Empty: all may.
    std::function<std::optional<Micros>(Micros patience)> not_ready = {};
  };

  // Binds the address; throws std::system_error where that can't be done.
  explicit HttpFront(const Parts& parts);
  ~HttpFront();

  void Open();
  // Says no at /up, and asks clients to go elsewhere; ThinOut() is then to be called now and then.
  void StandAside();
  void ThinOut();
  void ComeBack();
  // The door: connections wait in the machine's line meanwhile.
  void Shut();
  bool Reopen();  // false: it was open
  // Links go over to another process as they become quiet, each with one call of `pass`. Stir() tries those
  // anew that found no room. nullptr: no more.
  using Passing = std::function<Io(Stream&, const QuietLink&)>;
  void PassOn(Passing pass);
  void Stir();
  void Take(std::unique_ptr<Stream> stream, QuietLink link);  // one that another process passed on
  void Leave();
  // What has connected before the listener closes is served too.
  void Close();
  // One step of closing; true once nothing is owed and no link is left, or none is owed and `hurry`.
  bool Closed(bool hurry);
  // Called when the last query that was owed has been answered while it closes.
  void OnNothingOwed(std::function<void()> told) { nothing_owed_ = std::move(told); }
  uint16_t port() const;
  // That may be at hand at a time.
  size_t most_queries() const;

  size_t open() const override { return unasked_.size() + clients_.size(); }
  bool ReleaseIdle(size_t wanted) override;

 private:
  friend class ClientLink;
  using Links = std::list<std::unique_ptr<ClientLink>>;

  Task<> Accept();
  bool AcceptWaiting();
  Task<> Sweep();
  Task<> Bury();
  size_t Ending() const;
  bool MakeRoomByAge(size_t wanted);
  void ShedUnasked(Micros idle_for, Micros unfinished_for, size_t most);
  void ShedIdle(Micros idle_for);
  bool crowded() const { return open() * 6 >= static_cast<size_t>(parts_.config.sockets); }

  // For the client links.
  bool up() const { return state_ == State::kOpen; }
  bool leaving() const { return state_ > State::kOpen; }
  // Descriptors run short, or clients do: they may hold a third of them, and some keep for good what they
  // asked on once, which shuts the others out.
  bool tight() const { return parts_.budget.tight() || crowded(); }
  ByteBudget& bytes() { return bytes_; }
  size_t most_held() const;  // of a large query, between client and server
  bool passes() const { return static_cast<bool>(pass_); }
  Io Pass(Stream& stream, const QuietLink& as) { return pass_(stream, as); }
  void Busy(ClientLink& link);
  void Free(ClientLink& link);
  void Finished() { finished_at_ = parts_.machine.Now(); }
  void Retire(ClientLink& link);

  Parts parts_;
  const NameIndex classes_, tenants_;  // of the settings, which stay as they are
  State state_ = State::kShut;
  std::unique_ptr<Listener> listener_;
  bool shut_ = true;
  Passing pass_;
  int owed_ = 0;            // links with a query at hand
  Micros finished_at_ = 0;  // when the sending side of one was last ended
  std::function<void()> nothing_owed_ = [] {};
  ByteBudget bytes_;  // that whole bodies may hold
  Event sweep_;
  Event bury_;
  std::vector<ClientLink*> retired_;
  Links unasked_;  // without a query so far, the oldest first
  Links clients_;  // the one that answered least lately first
  Task<> accept_;  // the tasks last: what they use must outlive them
  Task<> sweeper_;
  Task<> burier_;
};

}  // namespace burlfall

#endif  // BURLFALL_FRONT_HTTP_FRONT_H_
