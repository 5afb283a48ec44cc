// The interface to the network: connections, listeners, datagrams and channels between processes. No call
// blocks, except Writable::WaitUntilWritable(). A caller that gets kLater waits on the object, which is a
// Signal, and then tries again.
#ifndef BURLFALL_IO_NETWORK_H_
#define BURLFALL_IO_NETWORK_H_

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include "io/address.h"
#include "io/scheduler.h"

namespace burlfall {

// Result of a read or write: kLater means that it would block, kClosed that the peer has ended its sending.
enum class Io { kSome, kLater, kClosed, kBroken };

// A non-blocking output.
class Writable {
 public:
  virtual ~Writable() = default;
  // Removes the accepted bytes from the front of `bytes`. Returns kSome if all were accepted, kLater if there
  // is no room for the rest now, kBroken if nothing more can be written.
  virtual Io Write(std::string_view& bytes) = 0;
  virtual std::string ErrorText() const = 0;  // describes the last kBroken
  // Blocks until there is room, or until the timeout. Only for use while the program shuts down.
  virtual void WaitUntilWritable(Micros timeout) = 0;
};

// One connection. Notifications are edge-triggered: after one, repeat the operation until it returns kLater.
class Stream : public Signal {
 public:
  enum class State { kOpening, kUp, kFailed };
  static constexpr size_t kMaxReadBytes = 16 * 1024;

  using Signal::Signal;
  virtual ~Stream() = default;
  virtual State Opened() = 0;  // of a connection made by Connect()
  // Appends what has arrived, at most `max_bytes` and kMaxReadBytes.
  virtual Io Read(std::string& into, size_t max_bytes) = 0;
  Io Read(std::string& into) { return Read(into, kMaxReadBytes); }
  virtual Io Write(std::string_view& bytes) = 0;  // removes the accepted bytes from the front
  virtual bool IsIdle() = 0;                      // open, with no unread bytes: fit for reuse
  // Whether the peer has ended its sending or is gone; known even while earlier bytes are still unread.
  virtual bool PeerEnded() = 0;
  virtual void Finish() = 0;  // half-close: ends our sending; the peer may go on sending
  virtual void Reset() = 0;   // closes at once, with a TCP reset to the peer
  virtual void Close() = 0;   // closes in order; the destructor does the same
  virtual Address Peer() const = 0;
  virtual Address Local() const = 0;
};

class Listener : public Signal {
 public:
  enum class Accepted {
    kOne,
    kNone,         // no connection is waiting
    kNoResources,  // one is waiting, but no descriptor or memory is left; freeing one sends no notification
  };

  using Signal::Signal;
  virtual ~Listener() = default;
  virtual Accepted Accept(std::unique_ptr<Stream>& into) = 0;
  virtual Address Local() const = 0;
  // Maximum length of the accept queue. With 0 and one connection waiting, further ones are not established.
  virtual void SetBacklog(int max) = 0;
};

// An unconnected datagram socket, bound to an address. Notified whenever a datagram may have arrived.
class DatagramSocket : public Signal {
 public:
  using Signal::Signal;
  virtual ~DatagramSocket() = default;
  // kSome: sent, though delivery is not known. kLater: there was no room, and the datagram is lost. kBroken:
  // it can't be sent to this address.
  virtual Io Send(const Address& to, std::string_view datagram) = 0;
  // Replaces the content of `into`. kLater: no datagram is waiting.
  virtual Io Receive(std::string& into, Address& from) = 0;
  virtual Address Local() const = 0;
};

// Why a connection attempt failed immediately.
enum class NoConnection {
  kRefused,      // by the peer or the network
  kNoResources,  // this process has no descriptor, port or memory left: the peer is not at fault
};

// A message channel between two processes of one machine, which can pass connections along with messages.
class Channel : public Signal {
 public:
  using Signal::Signal;
  virtual ~Channel() = default;
  // kSome: sent. The connection `along`, if given, then belongs to the other process, and is closed here
  // without any effect on its peer. kLater: not sent, as there is no room now.
  virtual Io Send(std::string_view message, Stream* along = nullptr) = 0;
  // The next message, and the connection that was passed with it, if any.
  virtual Io Receive(std::string& message, std::unique_ptr<Stream>& along) = 0;
};

class ChannelListener : public Signal {
 public:
  using Signal::Signal;
  virtual ~ChannelListener() = default;
  virtual std::unique_ptr<Channel> Accept() = 0;  // nullptr: no caller that is permitted
};

class Network {
 public:
  virtual ~Network() = default;
  // Begins a connection; nullptr, with the reason in `why`, if that failed immediately.
  std::unique_ptr<Stream> Connect(const Address& to, NoConnection& why) {
    return ConnectFrom(nullptr, to, why);
  }
  // With the host of `from` as the source address, at any port; nullptr: the system chooses the source.
  virtual std::unique_ptr<Stream> ConnectFrom(const Address* from, const Address& to, NoConnection& why) = 0;
  // Throws std::system_error if the address can't be bound. Port 0: any free port.
  virtual std::unique_ptr<Listener> Listen(const Address& at) = 0;
  // Listens on an inherited descriptor, through a duplicate: closing it does not affect other holders of the
  // socket. Throws std::system_error if the descriptor is not open or is not a listening socket.
  virtual std::unique_ptr<Listener> Adopt(int descriptor) = 0;
  // Connects to the process that listens at this path; nullptr if none does.
  virtual std::unique_ptr<Channel> ConnectChannel(const std::string& path) = 0;
  // Listens at this path and replaces an existing socket there. Nullptr, with the reason in `why`, on
  // failure.
  virtual std::unique_ptr<ChannelListener> ListenOnChannel(const std::string& path, std::string& why) = 0;
  // Throws std::system_error if the address can't be bound. Port 0: any free port.
  virtual std::unique_ptr<DatagramSocket> Bind(const Address& at) = 0;
  // Sends one datagram for each Write(); nullptr if the socket can't be made.
  virtual std::unique_ptr<Writable> DatagramWriterTo(const Address& to) = 0;
};

// Waits for the connection to be established; false if it failed, or was not established by `until`.
Task<bool> Connected(Stream& stream, Micros until);
// Writes all bytes; false if the connection broke, or `until` passed first.
Task<bool> WriteAll(Stream& stream, std::string_view bytes, Micros until);

}  // namespace burlfall

#endif  // BURLFALL_IO_NETWORK_H_
