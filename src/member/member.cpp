#include "member/member.h"

#include <algorithm>
#include <stdexcept>
#include <system_error>
#include <utility>

#include "cluster/differences.h"
#include "cluster/wire.h"
#include "member/view_text.h"

namespace burlfall {
namespace {

constexpr size_t kMaxAcceptedConnections = 64;  // at a time; further ones wait to be accepted
constexpr size_t kMaxCommandClients = 8;
constexpr int kDatagramsPerTurn = 512;              // read before the timers are checked
constexpr Micros kServedCallTimeout = 2 * kSecond;  // for a whole call of another member
constexpr Micros kRefreshInterval = 250 * kMs;
constexpr Micros kRetryInterval = 100 * kMs;  // for binding, and for accepting at the limit
constexpr Micros kListBehindDelay = 3 * kSecond;
constexpr size_t kHistoryLines = 400;
constexpr size_t kChunkBytes = 32 * 1024;  // of an answer on the Unix socket
constexpr size_t kLengthPrefixBytes = 4;   // of a frame on a connection: its length

cluster::Options OptionsOf(const ClusterSettings& settings) {
  cluster::Options options;
  const auto us = [](double seconds) { return static_cast<Micros>(seconds * static_cast<double>(kSecond)); };
  options.period = settings.period_ms * kMs;
  options.ping_timeout = options.period * 3 / 10;
  options.suspicion_timeout_min = us(settings.wait_s.low);
  options.suspicion_timeout_max = us(settings.wait_s.high);
  options.suspicion_timeout_refused =
      std::min(options.suspicion_timeout_refused, options.suspicion_timeout_min);
  options.dead_retention = us(settings.remember_s);
  options.max_members = static_cast<size_t>(settings.most_members);
  return options;
}

// The start number comes from the wall clock, so it is higher than those of earlier process generations.
// Where the clock was set back, the other members report the higher number, and this one takes an even
// higher one.
cluster::Identity IdentityOf(const ClusterSettings& settings, const std::string& name, Micros wall) {
  return {name.substr(0, cluster::kMaxNameBytes),
          settings.told.empty() ? settings.listen : settings.told,
          {static_cast<uint64_t>(std::max<Micros>(wall, 1)), 0}};
}

std::string WithLengthPrefix(const std::string& frame) {
  std::string out;
  for (int byte = 3; byte >= 0; --byte) out += static_cast<char>(frame.size() >> (8 * byte) & 0xff);
  return out += frame;
}

// Reads one frame; empty where it was truncated or is too large. `broken`: the connection was reset.
Task<std::string> ReadFrame(Stream& stream, Micros until, bool& broken) {
  std::string bytes;
  while (true) {
    if (bytes.size() >= kLengthPrefixBytes) {
      size_t length = 0;
      for (size_t byte = 0; byte < kLengthPrefixBytes; ++byte)
        length = length << 8 | static_cast<unsigned char>(bytes[byte]);
      if (length > cluster::kMaxFrameBytes) co_return "";
      if (bytes.size() >= kLengthPrefixBytes + length) co_return bytes.substr(kLengthPrefixBytes, length);
    }
    const Io io = stream.Read(bytes);
    broken = io == Io::kBroken;
    if (io == Io::kClosed || io == Io::kBroken) co_return "";
    if (io == Io::kLater && !co_await stream.Wait(until)) co_return "";
  }
}

Address RequireAddress(const std::string& text) {
  const std::optional<Address> address = ReadAddress(text);
  if (!address) throw std::runtime_error(std::string("cluster: no address: ") + text);
  return *address;
}

}  // namespace

ClusterMember::ClusterMember(Machine& machine, const ClusterSettings& settings, Setup setup, Log& log,
                             Counters& counters)
    : machine_(machine),
      settings_(settings),
      setup_(std::move(setup)),
      log_(log),
      counters_(counters),
      listen_(RequireAddress(settings.listen)),
      detector_(OptionsOf(settings), IdentityOf(settings, setup_.name, machine.WallClock()), settings.seeds,
                machine.Entropy()),
      refresh_event_(machine.scheduler()),
      capacity_event_(machine.scheduler()) {}

ClusterMember::~ClusterMember() = default;

void ClusterMember::Start() {
  bind_task_ = BindAddresses();
  bind_task_.Start();
}

Task<> ClusterMember::BindAddresses() {
  bool reported = false;
  while (!socket_) {
    std::string why;
    try {
      auto listener = machine_.network().Listen(listen_);
      socket_ = machine_.network().Bind(listen_);
      listener_ = std::move(listener);
    } catch (const std::system_error& e) {
      why = e.what();
    }
    if (socket_) break;
    if (!std::exchange(reported, true)) log_.Emit<"cluster_unavailable">(settings_.listen, why);
    co_await capacity_event_.Wait(machine_.Now() + kRetryInterval);
  }
  detector_.SetFacts(setup_.facts());
  detector_.Start(machine_.Now());
  log_.Emit<"cluster_serving">(settings_.site, detector_.self().address);
  if (!setup_.socket.empty()) {
    std::string why;
    command_listener_ = machine_.network().ListenOnChannel(setup_.socket, why);
    if (command_listener_) {
      command_accept_task_ = AcceptCommandClients();
      command_accept_task_.Start();
    } else {
      log_.Emit<"cluster_socket_unavailable">(setup_.socket, why);
    }
  }
  receive_task_ = ReceiveLoop();
  receive_task_.Start();
  accept_task_ = AcceptConnections();
  accept_task_.Start();
  refresh_task_ = RefreshFacts();
  refresh_task_.Start();
}

void ClusterMember::Leave() {
  if (!socket_) return;
  detector_.Leave(machine_.Now());
  DispatchOutput();
}

// ---- Datagrams -------------------------------------------------------------------------------------------

// Reads the datagrams that have arrived; false where there may be more. They are processed before any timer,
// as many are waiting after a pause of this process.
bool ClusterMember::ReadDatagrams() {
  std::string bytes;
  Address from;
  for (int i = 0; i < kDatagramsPerTurn; ++i) {
    if (socket_->Receive(bytes, from) != Io::kSome) return true;
    ++counters_.cluster_in;
    const cluster::DecodedMessage read = cluster::Decode(bytes, settings_.site);
    if (read.message) {
      detector_.OnMessage(machine_.Now(), *read.message);
    } else {
      detector_.CountDropped(read.why, from.text);
    }
    DispatchOutput();
  }
  return false;
}

Task<> ClusterMember::ReceiveLoop() {
  while (true) {
    RemoveFinished();
    const bool all = ReadDatagrams();
    if (all && machine_.Now() >= detector_.next_tick_at()) {
      detector_.Tick(machine_.Now());
      DispatchOutput();
    }
    co_await socket_->Wait(all ? detector_.next_tick_at() : machine_.Now());
  }
}

void ClusterMember::DispatchOutput() {
  for (const cluster::Outgoing& out : detector_.TakeOutgoing()) {
    const std::optional<Address> to = ReadAddress(out.to);
    if (!to) continue;
    const std::string frame = cluster::Encode(out.message, settings_.site);
    if (socket_->Send(*to, frame) == Io::kSome) ++counters_.cluster_out;
    counters_.cluster_bytes_out += frame.size();
  }
  for (cluster::Call& call : detector_.TakeCalls()) {
    ++counters_.cluster_calls;
    auto connection = std::make_unique<Connection>();
    Connection& stored = *connection;
    connections_.push_back(std::move(connection));
    stored.task = MakeCall(stored, std::move(call));
    stored.task.Start();
  }
  for (const cluster::Notice& notice : detector_.TakeNotices()) LogNotice(notice);
}

void ClusterMember::RemoveFinished() {
  std::erase_if(connections_,
                [](const auto& connection) { return connection->finished && connection->task.Done(); });
  std::erase_if(clients_, [](const auto& client) { return client->finished && client->task.Done(); });
}

// ---- Connections -----------------------------------------------------------------------------------------

Task<> ClusterMember::MakeCall(Connection& connection, cluster::Call call) {
  const Micros until = machine_.Now() + call.timeout;
  cluster::CallResult end = cluster::CallResult::kNoAnswer;
  NoConnection why = NoConnection::kRefused;
  const std::optional<Address> to = ReadAddress(call.to);
  if (to) connection.stream = machine_.network().ConnectFrom(&listen_, *to, why);
  if (connection.stream) {
    const bool up = co_await Connected(*connection.stream, until);
    if (!up && connection.stream->Opened() == Stream::State::kFailed) end = cluster::CallResult::kRefused;
    if (up) {
      const std::string frame = WithLengthPrefix(cluster::Encode(call.message, settings_.site));
      bool broken = false;
      std::string back;
      if (co_await WriteAll(*connection.stream, frame, until))
        back = co_await ReadFrame(*connection.stream, until, broken);
      if (broken) end = cluster::CallResult::kRefused;
      if (!back.empty()) {
        const cluster::DecodedMessage read = cluster::Decode(back, settings_.site);
        if (read.message) {
          detector_.OnMessage(machine_.Now(), *read.message);
          end = cluster::CallResult::kAnswered;
        } else {
          detector_.CountDropped(read.why, call.to);
        }
      }
    }
    connection.stream.reset();
  }
  detector_.OnCallEnded(machine_.Now(), call.id, end);
  connection.finished = true;
  socket_->Notify();  // ReceiveLoop() dispatches the output of the failure detector and checks its timers
}

Task<> ClusterMember::AcceptConnections() {
  while (true) {
    std::unique_ptr<Stream> stream;
    if (accepted_connections_ >= kMaxAcceptedConnections) {
      co_await capacity_event_.Wait(machine_.Now() + kRetryInterval);
      continue;
    }
    const Listener::Accepted accepted = listener_->Accept(stream);
    if (accepted == Listener::Accepted::kNone) co_await listener_->Wait();
    if (accepted == Listener::Accepted::kNoResources)
      co_await capacity_event_.Wait(machine_.Now() + kRetryInterval);
    if (accepted != Listener::Accepted::kOne) continue;
    auto connection = std::make_unique<Connection>();
    connection->stream = std::move(stream);
    Connection& stored = *connection;
    connections_.push_back(std::move(connection));
    ++accepted_connections_;
    stored.task = ServeCall(stored);
    stored.task.Start();
  }
}

Task<> ClusterMember::ServeCall(Connection& connection) {
  const Micros until = machine_.Now() + kServedCallTimeout;
  bool broken = false;
  const std::string frame = co_await ReadFrame(*connection.stream, until, broken);
  if (!frame.empty()) {
    const cluster::DecodedMessage read = cluster::Decode(frame, settings_.site);
    if (read.message) {
      const std::optional<cluster::Message> answer = detector_.AnswerCall(machine_.Now(), *read.message);
      if (answer)
        co_await WriteAll(*connection.stream, WithLengthPrefix(cluster::Encode(*answer, settings_.site)),
                          until);
    } else {
      detector_.CountDropped(read.why, connection.stream->Peer().text);
    }
  }
  connection.stream.reset();
  connection.finished = true;
  --accepted_connections_;
  capacity_event_.Notify();
  socket_->Notify();
}

// ---- Facts and notices -----------------------------------------------------------------------------------

Task<> ClusterMember::RefreshFacts() {
  while (true) {
    detector_.SetFacts(setup_.facts());
    counters_.cluster_alive = detector_.alive_count();
    // A new list reaches the members one after the other. A member that still lacks it after kListBehindDelay
    // has lost its watch.
    const uint64_t newest = cluster::NewestListVersion(detector_, machine_.Now());
    if (newest <= detector_.facts().list_version) behind_since_ = 0;
    if (newest > detector_.facts().list_version && behind_since_ == 0) behind_since_ = machine_.Now();
    if (behind_since_ > 0 && machine_.Now() - behind_since_ >= kListBehindDelay &&
        newest > reported_list_version_) {
      reported_list_version_ = newest;
      log_.Emit<"cluster_list_behind">(detector_.facts().list_version, newest);
      setup_.on_list_behind();
    }
    co_await refresh_event_.Wait(machine_.Now() + kRefreshInterval);
  }
}

void ClusterMember::LogNotice(const cluster::Notice& notice) {
  using What = cluster::Notice::What;
  const auto start = notice.generation.start;
  const size_t alive = detector_.alive_count();
  std::string line;
  switch (notice.what) {
    case What::kJoined:
      log_.Emit<"member_joined">(notice.who, notice.by, start, alive);
      line = "joined, reported by ";
      break;
    case What::kSuspected:
      log_.Emit<"member_suspected">(notice.who, notice.by);
      line = "suspected, by ";
      break;
    case What::kCleared:
      log_.Emit<"member_cleared">(notice.who, notice.generation.incarnation);
      line = "refuted the suspicion, reported by ";
      break;
    case What::kDied:
      log_.Emit<"member_died">(notice.who, notice.by, alive);
      line = "held dead; no way to it by ";
      break;
    case What::kReturned:
      log_.Emit<"member_returned">(notice.who, alive);
      line = "alive again after it was held dead, reported by ";
      break;
    case What::kLeft:
      log_.Emit<"member_left">(notice.who, alive);
      line = "left, reported by ";
      break;
    case What::kSelfSuspected:
      log_.Emit<"cluster_accused">(notice.by, detector_.self().generation.incarnation);
      line = "is suspected by ";
      break;
    case What::kSelfStatus:
      log_.Emit<"cluster_standing">(NameOf(detector_.status()), alive - 1);
      line = "changed status: ";
      break;
    case What::kPaused:
      log_.Emit<"cluster_paused">(notice.span / kMs);
      line = "stood still ";
      break;
    case What::kForgotten:
      return;
    case What::kDropped:
      log_.Emit<"cluster_dropped">(notice.by, notice.who);
      line = "a message was dropped: ";
      break;
  }
  if (history_.size() >= kHistoryLines)
    history_.erase(history_.begin(), history_.begin() + kHistoryLines / 4);
  history_.push_back(std::to_string(machine_.Now() / kMs) + " ms: " + notice.who + " " + line + notice.by);
}

// ---- Commands on the Unix socket -------------------------------------------------------------------------

std::string ClusterMember::RunCommand(const std::string& command) {
  const Micros now = machine_.Now();
  const bool json = command.ends_with(" json");
  const std::string what = json ? command.substr(0, command.size() - 5) : command;
  if (what == "members") return json ? MembersJson(detector_, now) : MembersText(detector_, now);
  if (what == "who-differs") return json ? DifferencesJson(detector_, now) : DifferencesText(detector_, now);
  if (what.starts_with("explain ")) {
    const std::string name = what.substr(8);
    return json ? ExplainJson(detector_, name, now, history_) : ExplainText(detector_, name, now, history_);
  }
  return "unknown command\n";
}

Task<> ClusterMember::AcceptCommandClients() {
  while (true) {
    std::unique_ptr<Channel> channel = command_listener_->Accept();
    if (!channel) {
      co_await command_listener_->Wait(machine_.Now() + kSecond);
      continue;
    }
    if (clients_.size() >= kMaxCommandClients) continue;
    auto client = std::make_unique<CommandClient>();
    client->channel = std::move(channel);
    CommandClient& stored = *client;
    clients_.push_back(std::move(client));
    stored.task = ServeCommand(stored);
    stored.task.Start();
  }
}

Task<> ClusterMember::ServeCommand(CommandClient& client) {
  const Micros until = machine_.Now() + 2 * kSecond;
  std::string command;
  std::unique_ptr<Stream> passed_stream;
  Io io = Io::kLater;
  while ((io = client.channel->Receive(command, passed_stream)) == Io::kLater) {
    if (!co_await client.channel->Wait(until)) break;
  }
  if (io == Io::kSome) {
    const std::string answer = RunCommand(command);
    for (size_t at = 0; at < answer.size();) {
      const Io sent = client.channel->Send(std::string_view(answer).substr(at, kChunkBytes));
      if (sent == Io::kBroken) break;
      if (sent == Io::kSome) {
        at += kChunkBytes;
      } else if (!co_await client.channel->Wait(until)) {
        break;
      }
    }
  }
  client.channel.reset();
  client.finished = true;
  refresh_event_.Notify();
}

}  // namespace burlfall
