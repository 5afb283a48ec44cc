// Coroutines over one epoll: tasks, what they wait on, timers and sockets. One thread runs all of it.
//
// A suspended coroutine is cancelled by destroying its Task: what it waits on lives in its frame and takes
// itself off the scheduler's books. Nothing is resumed from inside an event: whatever wakes a coroutine only
// queues it, so no code runs under the feet of its caller.
#ifndef BURLFALL_NET_SCHEDULER_H_
#define BURLFALL_NET_SCHEDULER_H_

#include <coroutine>
#include <cstddef>
#include <deque>
#include <exception>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "meadowslip/balancer.h"

namespace burlfall {

using meadowslip::Micros;
constexpr Micros kMs = 1000;
constexpr Micros kSecond = 1000 * kMs;
constexpr Micros kNever = std::numeric_limits<Micros>::max();

// A coroutine, owned: destroyed with this object, wherever it stands. Started by Start() or by co_await.
template <typename T = void>
class [[nodiscard]] Task;

namespace internal {

struct PromiseBase {
  std::coroutine_handle<> continuation;
  std::exception_ptr error;

  struct Final {
    bool await_ready() noexcept { return false; }
    template <typename Promise>
    std::coroutine_handle<> await_suspend(std::coroutine_handle<Promise> done) noexcept {
      auto next = done.promise().continuation;
      return next ? next : std::noop_coroutine();
    }
    void await_resume() noexcept {}
  };
  std::suspend_always initial_suspend() noexcept { return {}; }
  Final final_suspend() noexcept { return {}; }
  void unhandled_exception() {
    if (!continuation) throw;  // nobody awaits it: it ends the scheduler's run
    error = std::current_exception();
  }
};

template <typename T>
struct Promise : PromiseBase {
  std::optional<T> value;
  Task<T> get_return_object();
  void return_value(T result) { value = std::move(result); }
  T Take() { return std::move(*value); }
};

template <>
struct Promise<void> : PromiseBase {
  Task<void> get_return_object();
  void return_void() {}
  void Take() {}
};

}  // namespace internal

template <typename T>
class [[nodiscard]] Task {
 public:
  using promise_type = internal::Promise<T>;
  using Handle = std::coroutine_handle<promise_type>;

  Task() = default;
  explicit Task(Handle handle) : handle_(handle) {}
  Task(Task&& other) noexcept : handle_(std::exchange(other.handle_, {})) {}
  Task& operator=(Task&& other) noexcept {
    Task old(std::move(other));
    std::swap(handle_, old.handle_);
    return *this;
  }
  ~Task() {
    if (handle_) handle_.destroy();
  }
  void Start() { handle_.resume(); }
  bool Done() const { return !handle_ || handle_.done(); }

  bool await_ready() const { return false; }
  std::coroutine_handle<> await_suspend(std::coroutine_handle<> caller) {
    handle_.promise().continuation = caller;
    return handle_;
  }
  T await_resume() {
    if (handle_.promise().error) std::rethrow_exception(handle_.promise().error);
    return handle_.promise().Take();
  }

 private:
  Handle handle_;
};

template <typename T>
Task<T> internal::Promise<T>::get_return_object() {
  return Task<T>(std::coroutine_handle<Promise<T>>::from_promise(*this));
}
inline Task<void> internal::Promise<void>::get_return_object() {
  return Task<void>(std::coroutine_handle<Promise<void>>::from_promise(*this));
}

class Signal;
class Waiter;

// Owns a descriptor.
class Descriptor {
 public:
  Descriptor() = default;
  explicit Descriptor(int fd) : fd_(fd) {}
  Descriptor(Descriptor&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Descriptor& operator=(Descriptor&& other) noexcept;
  ~Descriptor();
  int get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

class Scheduler {
 public:
  Scheduler();
  // Unix time at the start plus what the steady clock has counted since: it never steps.
  Micros Now() const;
  void Run();  // until Stop()
  void Stop() { stopped_ = true; }

 private:
  friend class Signal;
  friend class Waiter;
  friend class Socket;
  using Timers = std::multimap<Micros, Waiter*>;

  void Turn();

  Descriptor epoll_;
  Micros offset_ = 0;
  bool stopped_ = false;
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
  // True when notified, false when `until` came first.
  Waiter Wait(Micros until = kNever) { return Waiter(*this, until); }
  Scheduler& scheduler() const { return scheduler_; }

 private:
  friend class Waiter;
  friend class Scheduler;
  Scheduler& scheduler_;
  Waiter* waiter_ = nullptr;
  bool notified_ = false;
};

enum class Io { kSome, kLater, kClosed, kBroken };

// A descriptor that doesn't block and is watched, edge by edge: any edge notifies its signal, and whoever
// waits tries again until it hears kLater.
class Socket : public Signal {
 public:
  Socket(Scheduler& scheduler, Descriptor fd);
  int fd() const { return fd_.get(); }
  Io Read(std::string& into);         // appends what has come, up to a bounded piece
  Io Write(std::string_view& bytes);  // takes off the front what was accepted
  bool Quiet() const;                 // open, and nothing has come unasked
  void Close() { fd_ = Descriptor(); }

 private:
  Descriptor fd_;
};

}  // namespace burlfall

#endif  // BURLFALL_NET_SCHEDULER_H_
