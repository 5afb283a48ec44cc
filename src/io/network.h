// Connections, listeners and datagrams, as the program sees them. Nothing here ever waits: who gets kLater
// waits on the thing itself, which is a signal, and tries again.
#ifndef BURLFALL_IO_NETWORK_H_
#define BURLFALL_IO_NETWORK_H_

#include <memory>
#include <string>
#include <string_view>

#include "io/address.h"
#include "io/scheduler.h"

namespace burlfall {

enum class Io { kSome, kLater, kClosed, kBroken };

// Takes bytes without ever waiting.
class Writable {
 public:
  virtual ~Writable() = default;
  // Takes off the front what was accepted: kSome where that was all, kLater where the rest finds no room now,
  // kBroken where it can't be written at all.
  virtual Io Write(std::string_view& bytes) = 0;
  virtual std::string Why() const = 0;  // what the last kBroken was about, in plain words
  // Blocks until there is room, or until the time is over. For the end of a program, and nothing else.
  virtual void AwaitRoom(Micros patience) = 0;
};

// One connection. Notified whenever it may be worth trying again; whoever waits tries until it hears kLater.
class Stream : public Signal {
 public:
  enum class State { kOpening, kUp, kFailed };

  using Signal::Signal;
  virtual ~Stream() = default;
  virtual State Opened() = 0;                     // of one that Connect() made
  virtual Io Read(std::string& into) = 0;         // appends what has come, up to a bounded piece
  virtual Io Write(std::string_view& bytes) = 0;  // takes off the front what was accepted
  virtual bool Quiet() = 0;                       // open, and nothing has come unasked
  // Word has come that the other side has ended its sending, or is gone: also behind bytes that are not read.
  virtual bool Ended() = 0;
  virtual void Finish() = 0;  // ends our sending; the other side's goes on
  virtual void Reset() = 0;   // ends it at once, and the other side hears a reset
  virtual void Close() = 0;   // ends it in order; the destructor does the same
  virtual Address Peer() const = 0;
  virtual Address Local() const = 0;
};

class Listener : public Signal {
 public:
  enum class Accepted {
    kOne,
    kNone,    // nobody waits
    kNoRoom,  // somebody does, but there is no descriptor or memory left; no notice tells when there is
  };

  using Signal::Signal;
  virtual ~Listener() = default;
  virtual Accepted Accept(std::unique_ptr<Stream>& into) = 0;
  virtual Address Local() const = 0;
  // How many may wait to be accepted. With 0 and one that waits, further ones never come up.
  virtual void Backlog(int most) = 0;
};

// Datagrams from anybody and to anybody, at an address of its own. Notified whenever one may have come.
class DatagramSocket : public Signal {
 public:
  using Signal::Signal;
  virtual ~DatagramSocket() = default;
  // kSome: it went, which says nothing of its arrival. kLater: there was no room, and it is lost. kBroken: it
  // can't go there.
  virtual Io Send(const Address& to, std::string_view datagram) = 0;
  // In the place of what `into` holds. kLater: none has come.
  virtual Io Receive(std::string& into, Address& from) = 0;
  virtual Address Local() const = 0;
};

// Why there is no connection, where that shows at once.
enum class NoConnection {
  kRefused,  // the other side, or the way to it
  kNoRoom,   // this process has no descriptor, port or memory left: the other side is not at fault
};

// A way between two processes of one machine, over which whole messages go, and connections with them.
class Channel : public Signal {
 public:
  using Signal::Signal;
  virtual ~Channel() = default;
  // kSome: it went. A connection that goes along is then the other side's, and `along` is closed here without
  // a sign to its peer. kLater: it did not, there is no room now.
  virtual Io Send(std::string_view message, Stream* along = nullptr) = 0;
  // The next message, and the connection that came with it, if one did.
  virtual Io Receive(std::string& message, std::unique_ptr<Stream>& along) = 0;
};

class ChannelListener : public Signal {
 public:
  using Signal::Signal;
  virtual ~ChannelListener() = default;
  virtual std::unique_ptr<Channel> Accept() = 0;  // nullptr: nobody waits, or nobody may
};

class Network {
 public:
  virtual ~Network() = default;
  // A connection that is being made; nullptr where that failed at once.
  std::unique_ptr<Stream> Connect(const Address& to, NoConnection& why) {
    return ConnectFrom(nullptr, to, why);
  }
  // From the host of `from`, at any port of it; nullptr: as the system chooses.
  virtual std::unique_ptr<Stream> ConnectFrom(const Address* from, const Address& to, NoConnection& why) = 0;
  // Throws std::system_error where the address can't be had. Port 0: any that is free.
  virtual std::unique_ptr<Listener> Listen(const Address& at) = 0;
  // One that this process was given, and does not own: to leave it takes nothing from whoever holds it too.
  // Throws std::system_error where the descriptor is not open or does not listen.
  virtual std::unique_ptr<Listener> Adopt(int descriptor) = 0;
  // To the process that listens at this path; nullptr where none does.
  virtual std::unique_ptr<Channel> Meet(const std::string& path) = 0;
  // In the place of whatever stands at the path. Nullptr where that can't be; `why` then says so.
  virtual std::unique_ptr<ChannelListener> Await(const std::string& path, std::string& why) = 0;
  // Throws std::system_error where the address can't be had. Port 0: any that is free.
  virtual std::unique_ptr<DatagramSocket> Bind(const Address& at) = 0;
  // One datagram for each Write(); nullptr where there can be none.
  virtual std::unique_ptr<Writable> Datagrams(const Address& to) = 0;
};

// Whether the connection comes up by then.
Task<bool> Connected(Stream& stream, Micros until);
// Writes all of it; false where the connection broke or `until` came first.
Task<bool> WriteAll(Stream& stream, std::string_view bytes, Micros until);

}  // namespace burlfall

#endif  // BURLFALL_IO_NETWORK_H_
