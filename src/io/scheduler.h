// A single-threaded event loop for coroutines, with signals and timers. Subclasses provide the clock and the
// wait for external events (real_machine.h).
//
// Destroying a Task cancels its suspended coroutine: the Waiter lives in the coroutine's frame and
// unregisters itself. No coroutine is resumed from inside a notification: waking one only queues it, so the
// notifying code never runs into re-entrancy.
#ifndef BURLFALL_IO_SCHEDULER_H_
#define BURLFALL_IO_SCHEDULER_H_

#include <coroutine>
#include <deque>
#include <map>
#include <optional>

#include "io/task.h"
#include "io/time.h"

namespace burlfall {

class Signal;
class Waiter;

class Scheduler {
 public:
  virtual ~Scheduler() = default;
  // Unix time at the start plus the time elapsed since: it never jumps.
  virtual Micros Now() const = 0;
  // Time of the last poll for external events: later events have not been seen yet.
  Micros last_poll_at() const { return last_poll_at_; }
  void Run();  // until Stop()
  virtual void Stop() { stopped_ = true; }

 protected:
  // Resumes the coroutines that are ready, then polls for external events and wakes those whose time has
  // come.
  void RunOnce();
  // Waits for external events, at most until `until` and not at all if that is in the past, and notifies
  // their signals. Resumes no coroutine.
  virtual void Poll(Micros until) = 0;

 private:
  friend class Signal;
  friend class Waiter;
  using Timers = std::multimap<Micros, Waiter*>;

  bool stopped_ = false;
  Micros last_poll_at_ = 0;
  Timers timers_;
  std::deque<Waiter*> ready_;
};

// One wait of one coroutine; an awaitable that lives in the coroutine's frame.
class Waiter {
 public:
  Waiter(Signal& signal, Micros until) : signal_(signal), until_(until) {}
  // Waits for its turn only: resumed with the coroutines of the scheduler's next iteration.
  explicit Waiter(Signal& signal) : signal_(signal), next_turn_(true) {}
  Waiter(const Waiter&) = delete;
  ~Waiter();
  bool await_ready();
  void await_suspend(std::coroutine_handle<> handle);
  bool await_resume() const { return notified_; }

 private:
  friend class Scheduler;
  friend class Signal;
  void Wake(bool notified);

  Signal& signal_;
  Micros until_ = kNever;
  bool next_turn_ = false;
  std::coroutine_handle<> handle_;
  std::optional<Scheduler::Timers::iterator> timer_;
  bool suspended_ = false;
  bool queued_ = false;
  bool notified_ = false;
};

// A condition that one coroutine at a time can wait on. A notification without a waiter is kept for the next
// wait.
class Signal {
 public:
  explicit Signal(Scheduler& scheduler) : scheduler_(scheduler) {}
  Signal(const Signal&) = delete;
  void Notify();
  // Like Notify(), and records that the peer has ended its sending or is gone.
  void NotifyPeerEnded();
  bool peer_ended() const { return peer_ended_; }
  // Its waiter is resumed before all others that are ready.
  void SetHighPriority() { high_priority_ = true; }
  // The wait yields true if notified, false if `until` passed first.
  Waiter Wait(Micros until = kNever) { return Waiter(*this, until); }
  // Lets other coroutines, sockets and timers be served first. A coroutine that may find work without end
  // awaits this after a bounded amount. Notifications meanwhile are kept for the next wait.
  Waiter NextTurn() { return Waiter(*this); }
  Scheduler& scheduler() const { return scheduler_; }

 protected:
  ~Signal() = default;

 private:
  friend class Waiter;
  friend class Scheduler;
  Scheduler& scheduler_;
  Waiter* waiter_ = nullptr;
  bool notified_ = false;
  bool peer_ended_ = false;
  bool high_priority_ = false;
};

// A Signal that belongs to no other object.
class Event final : public Signal {
 public:
  using Signal::Signal;
};

}  // namespace burlfall

#endif  // BURLFALL_IO_SCHEDULER_H_
