#include "handover/handover.h"

#include <algorithm>
#include <utility>

namespace burlfall {
namespace {

constexpr Micros kClaimTimeout = 1500 * kMs;        // to receive the complete state
constexpr Micros kAcceptRetry = 200 * kMs;          // after an accept that failed for lack of descriptors
constexpr Micros kListenTimeout = 3 * kSecond;      // for a successor to open its listener
constexpr Micros kBegunRequestsTimeout = 50 * kMs;  // they follow the state at once
constexpr char kServingMessage[] = "SCR";
constexpr size_t kMaxUnsentIds = 16384;
constexpr size_t kMaxUnsent = kMaxStateBytes / kMaxPartBytes + 1024;

}  // namespace

Handover::Handover(Machine& machine, std::string path, std::string name, HandoverHandler& handler, Log& log)
    : machine_(machine), path_(std::move(path)), name_(std::move(name)), handler_(handler), log_(log) {}

Handover::~Handover() = default;

// ---- Successor -------------------------------------------------------------------------------------------

Task<std::optional<HandoverState>> Handover::Claim() {
  std::optional<HandoverState> none;
  std::unique_ptr<Channel> channel = machine_.network().ConnectChannel(path_);
  if (!channel) co_return none;
  predecessor_ = std::make_unique<Peer>(std::move(channel));
  Send(*predecessor_, Pack('T', burlfall::Claim{kHandoverVersion, name_}));
  const Micros until = machine_.Now() + kClaimTimeout;
  HandoverStateReader reader;
  std::string why;
  while (why.empty()) {
    std::string message;
    std::unique_ptr<Stream> passed_stream;
    const Io io = predecessor_->channel->Receive(message, passed_stream);
    if (io == Io::kLater) {
      bool notified = co_await predecessor_->channel->Wait(until);
      if (!notified) why = "no answer in time";
    } else if (io != Io::kSome) {
      why = "the connection broke";
    } else if (message.front() == 'N') {
      why = message.substr(1);
    } else {
      const HandoverStateReader::Read read = reader.Add(message);
      if (read == HandoverStateReader::Read::kComplete) co_return std::move(reader.result());
      if (read == HandoverStateReader::Read::kInvalid) why = "a state that can't be read";
    }
  }
  predecessor_.reset();
  log_.Emit<"handover_refused">(why);
  co_return none;
}

Task<> Handover::ReceiveBegunRequests() {
  const Micros until = machine_.Now() + kBegunRequestsTimeout;
  while (predecessor_ && !predecessor_->broken) {
    std::string message;
    std::unique_ptr<Stream> passed_stream;
    const Io io = predecessor_->channel->Receive(message, passed_stream);
    if (io == Io::kLater) {
      bool notified = co_await predecessor_->channel->Wait(until);
      if (!notified) co_return;
    } else if (io != Io::kSome) {
      predecessor_->broken = true;
    } else if (message.front() != 'R') {
      predecessor_->postponed.push_back(std::move(message));
    } else if (const auto begun = Unpack<BegunRequests>(std::string_view(message).substr(1))) {
      predecessor_->knows_ids = true;
      handler_.OnPeerBegan(begun->ids);
      if (begun->last) co_return;
    }
  }
}

void Handover::Serve() {
  if (predecessor_) {
    Send(*predecessor_, kServingMessage);
    predecessor_->task = ReceiveMessages(*predecessor_, false);
    predecessor_->task.Start();
  }
  Listen();
}

void Handover::Listen() {
  std::string why;
  listener_ = machine_.network().ListenOnChannel(path_, why);
  if (!listener_) {
    log_.Emit<"handover_unavailable">(path_, why);
    return;
  }
  accept_ = AcceptSuccessors();
  accept_.Start();
}

// ---- Predecessor -----------------------------------------------------------------------------------------

Task<> Handover::AcceptSuccessors() {
  while (true) {
    std::unique_ptr<Channel> channel = listener_->Accept();
    if (!channel) {
      co_await listener_->Wait(machine_.Now() + kAcceptRetry);  // free descriptors cause no notification
      continue;
    }
    // One successor at a time. A successor that serves accepts claims itself, so a later connection to this
    // process is dropped. A successor that does not serve yet is replaced.
    if (has_successor()) continue;
    if (successor_) {
      successor_->task = Task<>();
      if (successor_->claimed) handler_.KeepListener();
    }
    successor_ = std::make_unique<Peer>(std::move(channel));
    successor_->task = ReceiveMessages(*successor_, true);
    successor_->task.Start();
  }
}

void Handover::HandleClaim(Peer& successor, std::string_view bytes) {
  const std::optional<burlfall::Claim> claim = Unpack<burlfall::Claim>(bytes);
  std::string why;
  if (!claim) {
    why = "a claim that can't be read";
  } else if (claim->version != kHandoverVersion) {
    why = "version " + std::to_string(claim->version) + " of the hand-over, this is " +
          std::to_string(kHandoverVersion);
  } else if (claim->name != name_) {
    why = "a claim for another balancer";
  } else if (std::optional<HandoverState> state = handler_.ReleaseListener(why)) {
    successor.claimed = true;
    for (std::string& part : SplitState(std::move(*state))) Send(successor, std::move(part));
    QueueIds(successor, handler_.BegunRequestIds(), true);
    return;
  }
  LogRefused(why);
  Send(successor, "N" + why);
}

Io Handover::Pass(Stream& stream, const PassedLink& link) {
  if (!has_successor() || successor_->broken) return Io::kBroken;
  if (!successor_->unsent.empty()) return Io::kLater;
  const Io sent = successor_->channel->Send(Pack('L', link), &stream);
  if (sent == Io::kBroken) successor_->broken = true;
  if (sent == Io::kSome) {
    ++successor_->links;
    successor_->confirm_requested = false;
  }
  return sent;
}

// Keeps this process from exiting while passed links are still unread in the channel: if the successor died
// then, no process would serve them.
bool Handover::SuccessorHasAllLinks() {
  if (!has_successor() || successor_->broken) return false;
  if (!successor_->can_confirm) return true;
  if (!successor_->confirm_requested) {
    successor_->confirm_requested = true;
    Send(*successor_, "C");
    return false;
  }
  return successor_->confirmed == successor_->links;
}

void Handover::SendUse(const ResourceUse& use) {
  if (has_successor()) Send(*successor_, Pack('U', use));
}

// ---- Both ------------------------------------------------------------------------------------------------

Task<> Handover::ReceiveMessages(Peer& peer, bool from_successor) {
  const Micros listen_by = machine_.Now() + kListenTimeout;
  bool listener_kept = false;
  // Resumes in a separate scheduler turn: a message that is already there must not end the task that starts
  // this one.
  co_await peer.channel->Wait(machine_.Now());
  for (; !peer.postponed.empty(); peer.postponed.pop_front())
    HandleMessage(peer, from_successor, peer.postponed.front(), nullptr);
  while (!peer.broken) {
    Flush(peer);
    std::string message;
    std::unique_ptr<Stream> passed_stream;
    const Io io = peer.channel->Receive(message, passed_stream);
    if (io == Io::kSome) {
      HandleMessage(peer, from_successor, message, std::move(passed_stream));
    } else if (io == Io::kLater) {
      const bool awaits_listener = from_successor && peer.claimed && !peer.serves && !listener_kept;
      bool notified = co_await peer.channel->Wait(awaits_listener ? listen_by : kNever);
      if (!notified) {  // it may still start to serve; until then this process accepts connections
        listener_kept = true;
        handler_.KeepListener();
      }
    } else {
      peer.broken = true;
    }
  }
  if (!from_successor) {
    handler_.OnPeerUse(ResourceUse());
  } else if (peer.serves) {
    peer.serves = false;
    links_lost_ = peer.can_confirm ? peer.links - peer.confirmed : 0;
    if (!peer.ended) Listen();
    peer.ended ? handler_.OnSuccessorExited() : handler_.OnSuccessorLost();
  } else if (peer.claimed && !listener_kept) {
    handler_.KeepListener();
  }
}

void Handover::HandleMessage(Peer& peer, bool from_successor, std::string_view message,
                             std::unique_ptr<Stream> passed_stream) {
  const char letter = message.front();
  const std::string_view rest = message.substr(1);
  const auto node = [&]() -> std::optional<NodeChange> { return Unpack<NodeChange>(rest); };
  switch (letter) {
    case 'T':
      if (from_successor && !peer.claimed) return HandleClaim(peer, rest);
      break;
    case 'S':
      if (!from_successor || !peer.claimed || peer.serves) break;
      peer.serves = true;
      peer.can_confirm = rest.find('C') != std::string_view::npos;
      peer.knows_ids = rest.find('R') != std::string_view::npos;
      accept_ = Task<>();  // destroyed before the listener that it waits on
      listener_.reset();   // the path belongs to the successor
      return handler_.OnSuccessorServing();
    case 'L': {
      std::optional<PassedLink> link = Unpack<PassedLink>(rest);
      if (from_successor || !link || !passed_stream) break;
      ++peer.links;
      return handler_.ReceiveLink(std::move(passed_stream), std::move(*link));
    }
    case 'C':
      if (from_successor) break;
      return Send(peer, Pack('K', ReceivedLinks{peer.links}));
    case 'K': {
      const std::optional<ReceivedLinks> held = Unpack<ReceivedLinks>(rest);
      if (!from_successor || !held || held->links > peer.links) break;
      peer.confirmed = held->links;
      return handler_.OnLinksConfirmed();
    }
    case 'U': {
      const std::optional<ResourceUse> use = Unpack<ResourceUse>(rest);
      if (from_successor || !use) break;
      return handler_.OnPeerUse(*use);
    }
    case 'O':
      if (const auto call = node()) return handler_.OnPeerTookOut(*call);
      break;
    case 'I':
      if (const auto call = node()) return handler_.OnPeerPutBack(*call);
      break;
    case 'R': {
      const std::optional<BegunRequests> begun = Unpack<BegunRequests>(rest);
      if (!begun) break;
      peer.knows_ids = true;
      return handler_.OnPeerBegan(begun->ids);
    }
    case 'A':
      return handler_.OnPeerDrain(true);
    case 'W':
      return handler_.OnPeerDrain(false);
    case 'Q':
      peer.ended = true;
      return;
    default:
      break;
  }
  LogRefused("a message that can't be read");
}

void Handover::LogRefused(std::string_view what) { log_.Emit<"handover_message_refused">(what); }

void Handover::Send(Peer& peer, std::string message) {
  if (peer.broken) return;
  if (peer.unsent.size() >= kMaxUnsent) {  // the other process does not read; treat it as disconnected
    peer.broken = true;
    peer.channel->Notify();
    return;
  }
  peer.unsent.push_back(std::move(message));
  Flush(peer);
}

void Handover::Flush(Peer& peer) {
  while (!peer.unsent.empty() && !peer.broken) {
    const Io sent = peer.channel->Send(peer.unsent.front());
    if (sent == Io::kLater) return;
    if (sent == Io::kBroken) {
      peer.broken = true;
      peer.channel->Notify();
      return;
    }
    peer.unsent.pop_front();
    if (peer.unsent.empty() && !peer.unsent_ids.empty())
      QueueIds(peer, std::exchange(peer.unsent_ids, {}), false);
  }
}

void Handover::QueueIds(Peer& peer, const std::vector<uint64_t>& ids, bool last) {
  size_t offset = 0;
  do {
    BegunRequests begun;
    const size_t end = std::min(ids.size(), offset + kMaxIdsPerMessage);
    begun.ids.assign(ids.begin() + static_cast<std::ptrdiff_t>(offset),
                     ids.begin() + static_cast<std::ptrdiff_t>(end));
    begun.last = last && end == ids.size();
    peer.unsent.push_back(Pack('R', std::move(begun)));
    offset = end;
  } while (offset < ids.size());
  Flush(peer);
}

// Ids that can't be sent at once are gathered, so that a process that reads late is sent few messages.
void Handover::SendBegun(uint64_t id) {
  for (Peer* peer : {predecessor_.get(), successor_.get()}) {
    if (peer == nullptr || peer->broken || !(peer->knows_ids || (peer->claimed && !peer->serves))) continue;
    if (peer->unsent_ids.size() < kMaxUnsentIds) peer->unsent_ids.push_back(id);
    if (peer->unsent.empty()) QueueIds(*peer, std::exchange(peer->unsent_ids, {}), false);
  }
}

// A successor that has claimed the state is sent everything that changes after it, although it does not serve
// yet: the messages follow the state in the channel, and it reads them once it serves.
void Handover::SendAll(const std::string& message) {
  if (predecessor_) Send(*predecessor_, message);
  if (successor_ && successor_->claimed) Send(*successor_, message);
}

void Handover::SendTakenOut(const NodeChange& call) { SendAll(Pack('O', call)); }
void Handover::SendPutBack(const NodeChange& call) { SendAll(Pack('I', call)); }
void Handover::SendDrain(bool drains) { SendAll(drains ? "A" : "W"); }
void Handover::End() { SendAll("Q"); }

}  // namespace burlfall
