#include "lab/members/virtual_members.h"

#include <algorithm>
#include <deque>
#include <utility>

namespace burlfall::lab {
namespace {

constexpr size_t kSocketHolds = 200;           // datagrams, while nobody reads
constexpr size_t kAround = 110;                // bytes of a message but for its claims, roughly
constexpr Micros kBase = 1'000'000 * kSecond;  // the begin of a scenario, on the members' clock

}  // namespace

struct VirtualMembers::One {
  std::unique_ptr<cluster::FailureDetector> mind;
  uint64_t life = 0;
  bool paused = false;
  Micros tick_at = kNever;
  std::deque<Flight> held;  // what came while it stood still
};

VirtualMembers::VirtualMembers(const Scenario& scenario, uint64_t seed, cluster::Options rules)
    : scenario_(scenario),
      seed_(seed),
      rules_(rules),
      plan_(DrawMembers(scenario_, seed)),
      judge_(scenario_, plan_),
      paths_(seed) {
  for (size_t i = 0; i < plan_.names.size(); ++i) ones_.push_back(std::make_unique<One>());
}

VirtualMembers::~VirtualMembers() = default;

const cluster::FailureDetector* VirtualMembers::mind(int i) const {
  return ones_.at(static_cast<size_t>(i))->mind.get();
}

VirtualMembers::Costs VirtualMembers::costs() const {
  const double all = scenario_.length_s * static_cast<double>(scenario_.members);
  return {static_cast<double>(datagrams_) / all, static_cast<double>(bytes_) / all, calls_};
}

std::string VirtualMembers::AddressOf(int i) const {
  return std::string("10.0.0.1:") + std::to_string(10000 + i);
}

int VirtualMembers::IndexOf(const std::string& address) const {
  const size_t colon = address.rfind(':');
  if (!address.starts_with("10.0.0.1:")) return -1;
  const int i = std::atoi(address.c_str() + colon + 1) - 10000;
  return i >= 0 && i < static_cast<int>(ones_.size()) ? i : -1;
}

void VirtualMembers::Push(Flight flight) {
  flight.order = ++order_;
  flights_.push(std::move(flight));
}

void VirtualMembers::Start(int i) {
  One& one = *ones_[static_cast<size_t>(i)];
  if (one.mind) return;
  one.life = ++lives_;
  cluster::Identity self{
      plan_.names[static_cast<size_t>(i)], AddressOf(i), {static_cast<uint64_t>(kBase + now_), 0}};
  std::vector<std::string> seeds;
  for (int s = 0; s < scenario_.dead_seeds; ++s)
    seeds.push_back(std::string("10.0.0.9:") + std::to_string(s + 1));
  for (int s = 0; s < std::min(3, static_cast<int>(ones_.size())); ++s) seeds.push_back(AddressOf(s));
  one.mind = std::make_unique<cluster::FailureDetector>(rules_, self, seeds, seed_ * 1000003 + one.life);
  cluster::Facts facts;
  facts.zone = plan_.zones[static_cast<size_t>(i)];
  one.mind->SetFacts(facts);
  judge_.Started(now_, i);
  one.mind->Start(kBase + now_);
  Settle(i);
}

void VirtualMembers::End(int i, bool in_order) {
  One& one = *ones_[static_cast<size_t>(i)];
  if (!one.mind) return;
  if (in_order) {
    one.mind->Leave(kBase + now_);
    Settle(i);
  }
  judge_.Ended(now_, i, in_order);
  one.mind.reset();
  one.held.clear();
  one.paused = false;
  one.tick_at = kNever;
}

void VirtualMembers::Do(const MemberAction& action) {
  switch (action.what) {
    case MemberAction::What::kStart:
      return Start(action.who);
    case MemberAction::What::kKill:
      return End(action.who, false);
    case MemberAction::What::kLeave:
      return End(action.who, true);
    case MemberAction::What::kPath:
      return paths_.Set(action.who, action.to, action.quality);
    default:
      break;
  }
  One& one = *ones_[static_cast<size_t>(action.who)];
  if (!one.mind) return;
  const bool on = action.what == MemberAction::What::kPause;
  one.paused = on;
  judge_.Paused(now_, action.who, on);
  if (on) return;
  // It reads what came before its timers are due.
  std::deque<Flight> held = std::exchange(one.held, {});
  for (const Flight& flight : held) Deliver(flight);
  if (one.mind && one.tick_at <= now_) {
    one.mind->Tick(kBase + now_);
    Settle(action.who);
  }
}

// What a mind wants done.
void VirtualMembers::Settle(int i) {
  One& one = *ones_[static_cast<size_t>(i)];
  cluster::FailureDetector& mind = *one.mind;
  for (const cluster::Notice& notice : mind.TakeNotices()) {
    if (tells_) tells_(now_, i, notice);
    using What = cluster::Notice::What;
    if (notice.what == What::kSelfStatus) {
      if (mind.status() == cluster::SelfStatus::kConnected) judge_.Saw(now_, i, Sight::kIn, i);
      if (mind.status() == cluster::SelfStatus::kCutOff) judge_.Saw(now_, i, Sight::kCutOff, i);
      continue;
    }
    constexpr std::pair<What, Sight> kSights[] = {
        {What::kJoined, Sight::kJoined},     {What::kSuspected, Sight::kSuspected},
        {What::kCleared, Sight::kCleared},   {What::kDied, Sight::kDied},
        {What::kReturned, Sight::kReturned}, {What::kLeft, Sight::kLeft}};
    for (const auto& [its, sight] : kSights) {
      const auto who = std::ranges::find(plan_.names, notice.who);
      if (its == notice.what && who != plan_.names.end()) {
        judge_.Saw(now_, i, sight, static_cast<int>(who - plan_.names.begin()),
                   notice.by == plan_.names[static_cast<size_t>(i)]);
      }
    }
  }
  for (cluster::Outgoing& out : mind.TakeOutgoing()) {
    const int to = IndexOf(out.to);
    size_t bytes = kAround;
    for (const cluster::Update& update : out.message.updates)
      bytes += cluster::GossipQueue::MaxEncodedSize(update);
    ++datagrams_;
    bytes_ += bytes;
    if (to < 0) continue;
    if (meddles && !meddles(now_, i, to, out.message)) continue;
    const auto message = std::make_shared<cluster::Message>(std::move(out.message));
    for (const Micros at : paths_.Datagram(now_, i, to, bytes)) {
      Push({at, 0, to, 0, Flight::What::kDatagram, i, 0, {}, message});
    }
  }
  for (cluster::Call& call : mind.TakeCalls()) {
    ++calls_;
    const int to = IndexOf(call.to);
    const Micros give_up = now_ + call.timeout;
    Push({give_up, 0, i, one.life, Flight::What::kCallEnd, to, call.id, cluster::CallResult::kNoAnswer,
          nullptr});
    if (to < 0) continue;
    // A connection takes a round trip, and the question half of one.
    const Micros there = paths_.Piece(now_, i, to, 100, now_);
    const Micros back = there == kNever ? kNever : paths_.Piece(there, to, i, 100, there);
    const Micros asked = back == kNever ? kNever : paths_.Piece(back, i, to, 1000, back);
    if (asked == kNever) continue;
    Push({asked,
          0,
          to,
          one.life,
          Flight::What::kCallIn,
          i,
          call.id,
          {},
          std::make_shared<cluster::Message>(std::move(call.message))});
  }
  const Micros next = mind.next_tick_at();
  const Micros at = next == kNever ? kNever : std::max(now_, next - kBase);
  if (at != one.tick_at) {
    one.tick_at = at;
    if (at != kNever) Push({at, 0, i, one.life, Flight::What::kTick, i, 0, {}, nullptr});
  }
}

void VirtualMembers::Deliver(const Flight& flight) {
  One& one = *ones_[static_cast<size_t>(flight.to)];
  using What = Flight::What;
  if (flight.what == What::kCallIn) {
    One& caller = *ones_[static_cast<size_t>(flight.from)];
    if (!caller.mind || caller.life != flight.life) return;
    const Micros back = paths_.Piece(now_, flight.to, flight.from, 100, now_);
    if (!one.mind) {  // its machine says so
      if (back != kNever) {
        Push({back, 0, flight.from, flight.life, What::kCallEnd, flight.to, flight.call,
              cluster::CallResult::kRefused, nullptr});
      }
      return;
    }
    if (one.paused) {
      if (one.held.size() < kSocketHolds) one.held.push_back(flight);
      return;
    }
    std::optional<cluster::Message> answer = one.mind->AnswerCall(kBase + now_, *flight.message);
    Settle(flight.to);
    if (!answer || back == kNever) return;
    Push({back,
          0,
          flight.from,
          flight.life,
          What::kCallBack,
          flight.to,
          flight.call,
          {},
          std::make_shared<cluster::Message>(std::move(*answer))});
    return;
  }
  if (!one.mind || (flight.life != 0 && flight.life != one.life)) return;
  if (flight.what == What::kTick) {
    if (one.paused || flight.at != one.tick_at) return;
    one.tick_at = kNever;
    one.mind->Tick(kBase + now_);
    return Settle(flight.to);
  }
  if (one.paused) {
    if (one.held.size() < kSocketHolds) one.held.push_back(flight);
    return;
  }
  switch (flight.what) {
    case What::kDatagram:
      one.mind->OnMessage(kBase + now_, *flight.message);
      break;
    case What::kCallBack:
      one.mind->OnMessage(kBase + now_, *flight.message);
      one.mind->OnCallEnded(kBase + now_, flight.call, cluster::CallResult::kAnswered);
      break;
    default:
      one.mind->OnCallEnded(kBase + now_, flight.call, flight.end);
      break;
  }
  Settle(flight.to);
}

MemberVerdict VirtualMembers::Play() {
  const auto length = static_cast<Micros>(scenario_.length_s * static_cast<double>(kSecond));
  size_t next = 0;
  while (true) {
    const Micros action_at = next < plan_.actions.size() ? plan_.actions[next].at : kNever;
    const Micros flight_at = flights_.empty() ? kNever : flights_.top().at;
    const Micros at = std::min(action_at, flight_at);
    if (at > length) break;
    now_ = std::max(now_, at);
    if (action_at <= flight_at) {
      Do(plan_.actions[next++]);
      continue;
    }
    const Flight flight = flights_.top();
    flights_.pop();
    Deliver(flight);
  }
  now_ = length;
  return judge_.Finish(now_);
}

}  // namespace burlfall::lab
