#include "handover/handover.h"

#include <utility>

namespace burlfall {
namespace {

constexpr Micros kClaimPatience = 1500 * kMs;  // for the whole estate
constexpr Micros kLookAgain = 200 * kMs;       // for an heir whose call found no descriptor here
constexpr Micros kDoorPatience = 3 * kSecond;  // for an heir to open the door
constexpr char kServesAndAnswers[] = "SC";
constexpr size_t kMostUnsent = kMostEstate / kMostPiece + 1024;

}  // namespace

Handover::Handover(Machine& machine, std::string path, std::string name, Heritage& heritage, Log& log)
    : machine_(machine), path_(std::move(path)), name_(std::move(name)), heritage_(heritage), log_(log) {}

Handover::~Handover() = default;

// ---- The heir --------------------------------------------------------------------------------------------

Task<std::optional<Estate>> Handover::Claim() {
  std::optional<Estate> none;
  std::unique_ptr<Channel> channel = machine_.network().ConnectChannel(path_);
  if (!channel) co_return none;
  before_ = std::make_unique<Other>(std::move(channel));
  Send(*before_, Pack('T', burlfall::Claim{kHandoverVersion, name_}));
  const Micros until = machine_.Now() + kClaimPatience;
  EstateReader reader;
  std::string why;
  while (why.empty()) {
    std::string message;
    std::unique_ptr<Stream> along;
    const Io io = before_->channel->Receive(message, along);
    if (io == Io::kLater) {
      bool notified = co_await before_->channel->Wait(until);
      if (!notified) why = "no answer in time";
    } else if (io != Io::kSome) {
      why = "it broke off";
    } else if (message.front() == 'N') {
      why = message.substr(1);
    } else {
      const EstateReader::Read read = reader.Take(message);
      if (read == EstateReader::Read::kWhole) co_return std::move(reader.estate());
      if (read == EstateReader::Read::kBad) why = "an estate that can't be read";
    }
  }
  before_.reset();
  log_.Tell<"handover_refused">(why);
  co_return none;
}

void Handover::Serve() {
  if (before_) {
    Send(*before_, kServesAndAnswers);
    before_->task = Hear(*before_, false);
    before_->task.Start();
  }
  Listen();
}

void Handover::Listen() {
  std::string why;
  listener_ = machine_.network().ListenOnChannel(path_, why);
  if (!listener_) {
    log_.Tell<"handover_unavailable">(path_, why);
    return;
  }
  await_ = Await();
  await_.Start();
}

// ---- The one before --------------------------------------------------------------------------------------

Task<> Handover::Await() {
  while (true) {
    std::unique_ptr<Channel> channel = listener_->Accept();
    if (!channel) {
      co_await listener_->Wait(machine_.Now() + kLookAgain);  // no notice tells when there is room again
      continue;
    }
    // One at a time. An heir that has the door is asked itself; one that came no further makes room.
    if (has_heir()) continue;
    if (heir_) {
      heir_->task = Task<>();
      if (heir_->claimed) heritage_.KeepDoor();
    }
    heir_ = std::make_unique<Other>(std::move(channel));
    heir_->task = Hear(*heir_, true);
    heir_->task.Start();
  }
}

void Handover::TakeClaim(Other& heir, std::string_view bytes) {
  const std::optional<burlfall::Claim> claim = Unpack<burlfall::Claim>(bytes);
  std::string why;
  if (!claim) {
    why = "a claim that can't be read";
  } else if (claim->version != kHandoverVersion) {
    why = "version " + std::to_string(claim->version) + " of the hand-over, this is " +
          std::to_string(kHandoverVersion);
  } else if (claim->name != name_) {
    why = "a claim for another balancer";
  } else if (std::optional<Estate> estate = heritage_.GiveUpDoor(why)) {
    heir.claimed = true;
    for (std::string& piece : Pieces(std::move(*estate))) Send(heir, std::move(piece));
    return;
  }
  Bad(why);
  Send(heir, "N" + why);
}

Io Handover::Pass(Stream& stream, const PassedLink& link) {
  if (!has_heir() || heir_->broken) return Io::kBroken;
  if (!heir_->unsent.empty()) return Io::kLater;
  const Io sent = heir_->channel->Send(Pack('L', link), &stream);
  if (sent == Io::kBroken) heir_->broken = true;
  if (sent == Io::kSome) {
    ++heir_->links;
    heir_->asked_held = false;
  }
  return sent;
}

// Guards against an end of this process over links that nobody has taken out of the channel: with an heir
// that dies then, nobody would serve.
bool Handover::HeirHoldsAll() {
  if (!has_heir() || heir_->broken) return false;
  if (!heir_->answers_held) return true;
  if (!heir_->asked_held) {
    heir_->asked_held = true;
    Send(*heir_, "C");
    return false;
  }
  return heir_->held == heir_->links;
}

void Handover::TellUse(const Use& use) {
  if (has_heir()) Send(*heir_, Pack('U', use));
}

// ---- Both ------------------------------------------------------------------------------------------------

Task<> Handover::Hear(Other& other, bool heir) {
  const Micros door_until = machine_.Now() + kDoorPatience;
  bool door_kept = false;
  // In a turn of its own: what comes at once must not end the task that starts this one.
  co_await other.channel->Wait(machine_.Now());
  while (!other.broken) {
    Flush(other);
    std::string message;
    std::unique_ptr<Stream> along;
    const Io io = other.channel->Receive(message, along);
    if (io == Io::kSome) {
      Take(other, heir, message, std::move(along));
    } else if (io == Io::kLater) {
      const bool waits = heir && other.claimed && !other.serves && !door_kept;
      bool notified = co_await other.channel->Wait(waits ? door_until : kNever);
      if (!notified) {  // it may still come to serve; until then the door is ours
        door_kept = true;
        heritage_.KeepDoor();
      }
    } else {
      other.broken = true;
    }
  }
  if (!heir) {
    heritage_.OtherUses(Use());
  } else if (other.serves) {
    other.serves = false;
    links_lost_ = other.answers_held ? other.links - other.held : 0;
    if (!other.ended) Listen();
    other.ended ? heritage_.LastOwner() : heritage_.TakeBack();
  } else if (other.claimed && !door_kept) {
    heritage_.KeepDoor();
  }
}

void Handover::Take(Other& other, bool heir, std::string_view message, std::unique_ptr<Stream> along) {
  const char letter = message.front();
  const std::string_view rest = message.substr(1);
  const auto node = [&]() -> std::optional<NodeCall> { return Unpack<NodeCall>(rest); };
  switch (letter) {
    case 'T':
      if (heir && !other.claimed) return TakeClaim(other, rest);
      break;
    case 'S':
      if (!heir || !other.claimed || other.serves) break;
      other.serves = true;
      other.answers_held = rest.find('C') != std::string_view::npos;
      await_ = Task<>();  // before what it waits on
      listener_.reset();  // the path is the heir's
      return heritage_.HandOn();
    case 'L': {
      std::optional<PassedLink> link = Unpack<PassedLink>(rest);
      if (heir || !link || !along) break;
      ++other.links;
      return heritage_.TakeLink(std::move(along), std::move(*link));
    }
    case 'C':
      if (heir) break;
      return Send(other, Pack('K', Held{other.links}));
    case 'K': {
      const std::optional<Held> held = Unpack<Held>(rest);
      if (!heir || !held || held->links > other.links) break;
      other.held = held->links;
      return heritage_.HeirTold();
    }
    case 'U': {
      const std::optional<Use> use = Unpack<Use>(rest);
      if (heir || !use) break;
      return heritage_.OtherUses(*use);
    }
    case 'O':
      if (const auto call = node()) return heritage_.OtherTookOut(*call);
      break;
    case 'I':
      if (const auto call = node()) return heritage_.OtherPutBack(*call);
      break;
    case 'A':
      return heritage_.OtherDrains(true);
    case 'W':
      return heritage_.OtherDrains(false);
    case 'Q':
      other.ended = true;
      return;
    default:
      break;
  }
  Bad("a message that can't be read");
}

void Handover::Bad(std::string_view what) { log_.Tell<"handover_message_refused">(what); }

void Handover::Send(Other& other, std::string message) {
  if (other.broken) return;
  if (other.unsent.size() >= kMostUnsent) {  // it does not read: it is as good as gone
    other.broken = true;
    other.channel->Notify();
    return;
  }
  other.unsent.push_back(std::move(message));
  Flush(other);
}

void Handover::Flush(Other& other) {
  while (!other.unsent.empty() && !other.broken) {
    const Io sent = other.channel->Send(other.unsent.front());
    if (sent == Io::kLater) return;
    if (sent == Io::kBroken) {
      other.broken = true;
      other.channel->Notify();
      return;
    }
    other.unsent.pop_front();
  }
}

void Handover::SendAll(const std::string& message) {
  if (before_) Send(*before_, message);
  if (has_heir()) Send(*heir_, message);
}

void Handover::TellOut(const NodeCall& call) { SendAll(Pack('O', call)); }
void Handover::TellBack(const NodeCall& call) { SendAll(Pack('I', call)); }
void Handover::TellDrain(bool drains) { SendAll(drains ? "A" : "W"); }
void Handover::End() { SendAll("Q"); }

}  // namespace burlfall
