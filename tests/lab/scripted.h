// A server that a test scenario controls step by step, and the runner of scenarios: one machine for both
// ends, with each scenario as a coroutine on it. Every wait ends after kPatience, which is long because it
// only expires if the code is broken. CHECK never contains co_await, because the macro repeats it.
#ifndef BURLFALL_TESTS_LAB_SCRIPTED_H_
#define BURLFALL_TESTS_LAB_SCRIPTED_H_

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>

#include "codec/http.h"
#include "io/real_machine.h"

namespace burlfall::lab {

constexpr Micros kPatience = 15 * kSecond;

struct Stage {
  RealMachine machine;

  // Runs the scenario to its end.
  template <typename Scenario>
  void Play(Scenario scenario) {
    bool done = false;
    const auto play = [&]() -> Task<> {
      co_await scenario();
      done = true;
      machine.scheduler().Stop();
    };
    const auto guard = [&]() -> Task<> {
      co_await Rest(3 * kPatience);
      machine.scheduler().Stop();
    };
    Task<> playing = play(), guarding = guard();
    guarding.Start();
    playing.Start();
    machine.scheduler().Run();
    REQUIRE(done);
  }
  Task<> Rest(Micros span) {
    Event nothing(machine.scheduler());
    co_await nothing.Wait(machine.Now() + span);
  }
  template <typename Holds>
  Task<> Until(Holds holds) {
    const Micros until = machine.Now() + kPatience;
    while (!holds() && machine.Now() < until) co_await Rest(kMs);
    CHECK(holds());
  }
};

inline std::string Answer(int status, const std::string& body = "", const std::string& headers = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The server's end of a connection.
class Served {
 public:
  explicit Served(std::unique_ptr<Stream> stream) : stream_(std::move(stream)) {}
  // Returns the next query; its method is empty if the connection ended first or no query arrived in time.
  Task<HttpMessage> Query() {
    const Micros until = stream_->scheduler().Now() + kPatience;
    while (true) {
      const Parsed parsed = in_.empty() ? Parsed::kMore : parser_.Feed(in_);
      if (parsed == Parsed::kDone) co_return parser_.Take();
      const Io io = parsed == Parsed::kMore ? stream_->Read(in_) : Io::kBroken;
      if (io == Io::kSome) continue;
      if (io != Io::kLater) co_return HttpMessage();
      const bool notified = co_await stream_->Wait(until);
      if (!notified) co_return HttpMessage();
    }
  }
  void Write(const std::string& text) {
    std::string_view rest = text;
    CHECK(stream_->Write(rest) == Io::kSome);
  }
  Stream* operator->() { return stream_.get(); }

 private:
  std::unique_ptr<Stream> stream_;
  HttpParser parser_{HttpParser::Kind::kRequest};
  std::string in_;
};

class Server {
 public:
  explicit Server(Stage& stage) : stage_(stage) { Listen(*ReadAddress("127.0.0.1:0")); }
  void Listen(const Address& where) {
    listener_ = stage_.machine.network().Listen(where);
    at = listener_->Local();
  }
  void Shut() { listener_.reset(); }
  Task<Served> Accept() {
    std::unique_ptr<Stream> stream;
    const Micros until = stage_.machine.Now() + kPatience;
    while (listener_->Accept(stream) != Listener::Accepted::kOne) {
      const bool notified = co_await listener_->Wait(until);
      if (!notified) FAIL("nobody connects");
    }
    co_return Served(std::move(stream));
  }
  bool Called() {  // whether a connection is pending; it is dropped
    std::unique_ptr<Stream> stream;
    return listener_->Accept(stream) == Listener::Accepted::kOne;
  }
  // No further connection comes up as long as the returned one exists.
  std::unique_ptr<Stream> Stall() {
    listener_->SetBacklog(0);
    NoConnection why = NoConnection::kRefused;
    return stage_.machine.network().Connect(at, why);
  }
  Address at;

 private:
  Stage& stage_;
  std::unique_ptr<Listener> listener_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_TESTS_LAB_SCRIPTED_H_
