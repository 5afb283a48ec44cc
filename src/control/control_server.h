// The control address, at which operators send commands to this process. One HTTP/1.1 call per connection.
#ifndef BURLFALL_CONTROL_CONTROL_SERVER_H_
#define BURLFALL_CONTROL_CONTROL_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <string>

#include "codec/http.h"
#include "control/operations.h"
#include "io/machine.h"

namespace burlfall {

// Accepts connections at the control address and answers their calls.
class ControlServer {
 public:
  // Binds the address; throws std::system_error on failure. Holds at most `max_connections` connections, in
  // addition to the listener.
  ControlServer(Machine& machine, const Address& at, size_t max_connections, Operations& operations);
  ~ControlServer();

  void Open();
  uint16_t port() const { return PortOf(listener_->Local()); }
  size_t open() const { return calls_.size(); }

 private:
  // One connection, from its call to its close.
  struct Call {
    explicit Call(std::unique_ptr<Stream> from);
    std::unique_ptr<Stream> stream;
    HttpParser parser;
    std::string in;
    bool answered = false;
    bool finished = false;
    Task<> task;  // last: what it uses must outlive it
  };
  using Calls = std::list<std::unique_ptr<Call>>;  // ordered by age, oldest first

  Task<> Accept();
  Task<> Serve(Call& call);
  Task<std::string> Execute(HttpMessage message);
  std::string Read(Call& call, Parsed parsed);
  void EvictCalls();

  Machine& machine_;
  Operations& operations_;
  const size_t max_connections_;
  std::unique_ptr<Listener> listener_;
  Calls calls_;
  Event reap_;
  Task<> accept_;  // the tasks last: what they use must outlive them
  Task<> reaper_;

  Task<> ReapCalls();
};

}  // namespace burlfall

#endif  // BURLFALL_CONTROL_CONTROL_SERVER_H_
