// Runs coroutines: what they wait on, and timers. One thread runs all of it. What the time is, and how the
// outside is waited for, a machine's own scheduler says (real_machine.h).
//
// A suspended coroutine is cancelled by destroying its Task: what it waits on lives in its frame and takes
// itself off the scheduler's books. Nothing is resumed from inside an event: whatever wakes a coroutine only
// queues it, so no code runs under the feet of its caller.
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
  // Unix time at the start plus what has passed since: it never steps.
  virtual Micros Now() const = 0;
  // When it last listened to the outside: what has come since is not heard of yet.
  Micros heard_at() const { return heard_at_; }
  void Run();  // until Stop()
  virtual void Stop() { stopped_ = true; }

 protected:
  // Waits for the outside and notifies the signals that it speaks of: until then at the longest, not at all
  // where `until` is past. Resumes nothing.
  virtual void Poll(Micros until) = 0;

 private:
  friend class Signal;
  friend class Waiter;
  using Timers = std::multimap<Micros, Waiter*>;

  void Turn();

  bool stopped_ = false;
  Micros heard_at_ = 0;
  Timers timers_;
  std::deque<Waiter*> ready_;
};

// One wait of one coroutine, kept in its frame.
class Waiter {
 public:
  Waiter(Signal& signal, Micros until) : signal_(signal), until_(until) {}
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
  Micros until_;
  std::coroutine_handle<> handle_;
  std::optional<Scheduler::Timers::iterator> timer_;
  bool suspended_ = false;
  bool queued_ = false;
  bool notified_ = false;
};

// What a coroutine waits on; one at a time. A notice that finds nobody waiting is kept for the next wait.
class Signal {
 public:
  explicit Signal(Scheduler& scheduler) : scheduler_(scheduler) {}
  Signal(const Signal&) = delete;
  void Notify();
  // As Notify(), where word came that the other side has ended its sending, or is gone.
  void NotifyEnd();
  bool heard_end() const { return heard_end_; }
  // Whoever waits on it goes before all others that are woken with it.
  void GoFirst() { first_ = true; }
  // True when notified, false when `until` came first.
  Waiter Wait(Micros until = kNever) { return Waiter(*this, until); }
  Scheduler& scheduler() const { return scheduler_; }

 protected:
  ~Signal() = default;

 private:
  friend class Waiter;
  friend class Scheduler;
  Scheduler& scheduler_;
  Waiter* waiter_ = nullptr;
  bool notified_ = false;
  bool heard_end_ = false;
  bool first_ = false;
};

// A signal that stands alone.
class Event final : public Signal {
 public:
  using Signal::Signal;
};

}  // namespace burlfall

#endif  // BURLFALL_IO_SCHEDULER_H_
