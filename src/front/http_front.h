// The HTTP/1.1 front: the listener and the client links. The gates decide which queries are admitted; the
// dispatcher handles the admitted ones.
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
#include "front/admission.h"
#include "front/client_link.h"
#include "gates/rate_limiter.h"
#include "gates/tokens.h"
#include "io/machine.h"
#include "links/budget.h"
#include "links/memory_budgets.h"
#include "observe/counters.h"
#include "observe/figures.h"

namespace burlfall {

class HttpFront final : public LinkHolder {
 public:
  enum class State {
    kNotOpen,          // nothing is accepted yet
    kOpen,             // accepts queries, and /up says so
    kDrainedManually,  // as kLeaving, but the front may be opened again
    kLeaving,          // still accepts and answers, and asks clients to go elsewhere
    kClosing,          // accepts nothing more, answers the open queries
  };
  struct Parts {
    Machine& machine;
    const Config& config;
    Dispatcher& dispatcher;
    LinkBudget& budget;
    MemoryBudgets& memory;
    Tokens& tokens;
    RateLimiter& rate_limiter;
    Figures* figures;  // nullptr: off
    Counters& counters;
    Admission::ReadinessGate not_ready = {};
  };

  // Binds the address, or throws std::system_error.
  explicit HttpFront(const Parts& parts);
  ~HttpFront();

  void Open();
  // Answers "not serving" at /up and asks clients to go elsewhere. Needs regular calls of CloseIdleLinks().
  void DrainManually();
  void CloseIdleLinks();
  void EndManualDrain();
  // Stops accepting; connections wait in the listen backlog.
  void StopAccepting();
  bool StartAccepting();  // false: it already accepts
  // Hands the links over to another process as they become idle, each with one call of `hand_over`.
  // WakeLinks() retries those for which it returned Io::kLater. nullptr ends the hand-over.
  using HandOverLink = std::function<Io(Stream&, const HandedOverLink&)>;
  void HandOverLinks(HandOverLink hand_over);
  void WakeLinks();
  void AdoptLink(std::unique_ptr<Stream> stream, HandedOverLink link);  // handed over by another process
  void StartLeaving();
  // Closes the listener; connections already made are still served.
  void Close();
  // One step of closing. Returns true once no query is open and all links have ended; with `hurry`, once no
  // query is open and the last answers have had time to be read.
  bool TryFinishClosing(bool hurry);
  // `callback` is called when the last open query has been answered while the front closes.
  void OnAllAnswered(std::function<void()> callback) { all_answered_ = std::move(callback); }
  uint16_t port() const;
  // The number of queries that may be open at a time.
  size_t max_open_queries() const;

  size_t open() const override { return new_links_.size() + used_links_.size(); }
  bool ReleaseIdle(size_t wanted) override;

 private:
  friend class ClientLink;
  using Links = std::list<std::unique_ptr<ClientLink>>;

  enum class Accepting {
    kAllAccepted,
    kMoreWait,     // the limit was reached
    kNoResources,  // some are left for lack of descriptors or memory
  };

  Task<> Accept();
  Accepting AcceptWaiting(size_t limit);  // accepts at most `limit` waiting connections
  Task<> Sweep();
  Task<> EraseEnded();
  size_t Ending() const;
  bool ReleaseIdleByAge(size_t wanted);
  void ShedNewLinks(Micros idle_for, Micros unfinished_for, size_t limit);
  void ShedIdleLinks(Micros idle_for);
  bool crowded() const { return open() * 6 >= static_cast<size_t>(parts_.config.sockets); }

  // For the client links.
  // nullptr: the settings don't name the class.
  const meadowslip::RequestClass* ClassAt(int request_class) const {
    return request_class < 0 ? nullptr : &parts_.config.settings.classes[static_cast<size_t>(request_class)];
  }
  bool up() const { return state_ == State::kOpen; }
  bool leaving() const { return state_ > State::kOpen; }
  // Whether descriptors run short, or client links hold more than their third of them: some clients keep a
  // link open for good after one query, which would shut others out.
  bool tight() const { return parts_.budget.tight() || crowded(); }
  // Gives up requests of other links than `wanting` that hold memory and make no progress, for at least
  // `wanted` bytes if possible. Returns false if there are none.
  bool FreeRequestMemory(size_t wanted, const ClientLink& wanting);
  // Whether connections wait because no descriptor is left for them.
  bool connections_wait() const { return connections_wait_; }
  bool handing_over() const { return static_cast<bool>(hand_over_link_); }
  Io HandOver(Stream& stream, const HandedOverLink& as) { return hand_over_link_(stream, as); }
  void OnQueryStarted(ClientLink& link);
  void OnQueryEnded(ClientLink& link);
  void OnSendingEnded() { finished_at_ = parts_.machine.Now(); }
  void OnLinkEnded(ClientLink& link);

  Parts parts_;
  Admission admission_;
  const NameIndex classes_, tenants_;  // of the settings, which don't change
  State state_ = State::kNotOpen;
  std::unique_ptr<Listener> listener_;
  bool not_accepting_ = true;
  bool connections_wait_ = false;
  HandOverLink hand_over_link_;
  int open_queries_ = 0;    // links with an open query
  Micros finished_at_ = 0;  // when the sending side of a link was last ended
  std::function<void()> all_answered_ = [] {};
  Event sweep_event_;
  Event erase_event_;
  std::vector<ClientLink*> ended_links_;
  Links new_links_;     // without a query so far, oldest first
  Links used_links_;    // least recently answered first
  Task<> accept_task_;  // the tasks last: what they use must outlive them
  Task<> sweep_task_;
  Task<> erase_task_;
};

}  // namespace burlfall

#endif  // BURLFALL_FRONT_HTTP_FRONT_H_
