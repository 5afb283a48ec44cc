// An owned coroutine, which is destroyed with its Task wherever it is suspended. It starts lazily, by Start()
// or by co_await.
#ifndef BURLFALL_IO_TASK_H_
#define BURLFALL_IO_TASK_H_

#include <coroutine>
#include <exception>
#include <optional>
#include <utility>

namespace burlfall {

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
    if (!continuation) throw;  // nothing awaits it: leaves Scheduler::Run()
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

}  // namespace burlfall

#endif  // BURLFALL_IO_TASK_H_
