#include "cluster/failure_detector.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

#include "kit/mix.h"

namespace burlfall::cluster {
namespace {

constexpr Micros kGossipInterval = 100 * kMs;  // while updates are queued
constexpr int kGossipFanout = 3;
constexpr int kSendsPerDoubling = 3;       // sends of an update for each doubling of the member count
constexpr size_t kMessageBaseBytes = 300;  // of a message without its names and updates
// After a pause, datagrams that arrived meanwhile are processed before any verdict.
constexpr Micros kReceiveAfterPause = 200 * kMs;
constexpr Micros kIndirectPingTimeout = 200 * kMs;
constexpr size_t kMaxIndirectPings = 64;
constexpr size_t kMaxRememberedPings = 256;
constexpr Micros kMaxContactAgeToSuspect = 1500 * kMs;  // later, the receive path may have failed
constexpr Micros kLongPause = 1 * kSecond;  // updates may be missed, or lost to a full socket buffer
constexpr Micros kSuspicionRetryInterval = 100 * kMs;  // until a postponed verdict is due again
constexpr Micros kReportedDeadRetention = 5 * kSecond;
constexpr size_t kReportersForCutOff = 2;
// Average intervals between calls of seeds: during the startup phase a back-off from kSeedRetryMin to
// kSeedRetryMaxAtStartup; later kSeedRetryMax without living members, kUnmetSeedInterval with some.
constexpr Micros kSeedRetryMin = 500 * kMs, kSeedRetryMax = 5 * kSecond;
constexpr Micros kStartupPhase = 20 * kSecond, kSeedRetryMaxAtStartup = 1500 * kMs,
                 kUnmetSeedInterval = 10 * kSecond;
constexpr Micros kFullSyncTimeout = 1 * kSecond;
constexpr Micros kFastDeadPingInterval = 200 * kMs, kFastDeadPingPeriod = 5 * kSecond;
constexpr Micros kExpiryInterval = 1 * kSecond;
constexpr int kMaxIntroducedPerSecond = 50;  // names in the updates of one member; its full state is exempt
constexpr size_t kMaxLeaveDatagrams = 32;
constexpr size_t kMaxDropReasons = 64;
constexpr size_t kMaxTrackedSenders = 1024;  // for introductions and for reports that this member is dead
constexpr size_t kMaxPeakEntries = 64;
constexpr Micros kPeakRetention = 3600 * kSecond;
constexpr uint64_t kReplayWindow = 64;  // datagrams; an older one counts as replayed

uint64_t HashOf(std::string_view text, uint64_t start) {
  uint64_t hash = start;
  for (const char c : text) hash = kit::Mix(hash ^ static_cast<unsigned char>(c));
  return kit::Mix(hash);
}

Micros SuspicionMidpoint(const Member& member) {
  return member.suspicion_began_at + (member.suspicion_ends_at - member.suspicion_began_at) / 2;
}

bool IsLiving(State state) { return state == State::kAlive || state == State::kSuspect; }

}  // namespace

uint64_t DigestOf(std::string_view text) { return HashOf(text, 0); }

const char* NameOf(State state) {
  constexpr const char* kNames[] = {"alive", "suspect", "dead", "left"};
  return kNames[static_cast<size_t>(state)];
}

const char* NameOf(SelfStatus status) {
  constexpr const char* kNames[] = {"alone", "in", "cut off", "double", "left"};
  return kNames[static_cast<size_t>(status)];
}

FailureDetector::FailureDetector(Options options, Identity self, std::vector<std::string> seeds,
                                 uint64_t seed)
    : options_(options), self_(std::move(self)), seeds_(std::move(seeds)), random_state_(seed) {}

uint64_t FailureDetector::NextRandom() { return random_state_ = kit::Mix(random_state_); }

uint64_t FailureDetector::digest() const { return digest_ ^ HashOf(self_.name, self_.generation.start); }

size_t FailureDetector::MaxAliveWithin(Micros now, Micros span) const {
  size_t max_alive = alive_count();
  for (const auto& [until, count] : alive_peaks_) {
    if (until >= now - span) max_alive = std::max(max_alive, count);
  }
  return max_alive;
}

void FailureDetector::AddNotice(Notice::What what, const std::string& who, const std::string& by,
                                Generation generation, Micros span) {
  notices_.push_back({what, who, by, generation, span});
}

// Counts by reason; only the first of each reason gives a notice.
void FailureDetector::Drop(const std::string& why, const std::string& who) {
  if (dropped_.size() >= kMaxDropReasons && !dropped_.contains(why)) return;
  if (dropped_[why]++ == 0) AddNotice(Notice::What::kDropped, who, why);
}

std::vector<Outgoing> FailureDetector::TakeOutgoing() { return std::exchange(outgoing_, {}); }
std::vector<Call> FailureDetector::TakeCalls() { return std::exchange(calls_, {}); }
std::vector<Notice> FailureDetector::TakeNotices() { return std::exchange(notices_, {}); }

Member* FailureDetector::Find(const std::string& name) {
  const auto it = members_.find(name);
  return it == members_.end() ? nullptr : &it->second;
}

// ---- Timers ----------------------------------------------------------------------------------------------

void FailureDetector::Start(Micros now) {
  started_at_ = last_contact_at_ = now;
  next_probe_at_ = now + options_.period;
  next_seed_at_ = now;
  dead_ping_at_ = now + options_.dead_ping_interval;
  full_sync_not_before_ = now;
  next_expiry_at_ = now + kExpiryInterval;
  QueueSelfUpdate();
  RecordNextTick(now);
}

Micros FailureDetector::next_tick_at() const {
  if (status_ == SelfStatus::kLeft) return kNever;
  // It sends nothing and takes no verdict in this status, so the timers for that must not wake it.
  if (status_ == SelfStatus::kDuplicateName) return std::min(next_seed_at_, next_expiry_at_);
  Micros next = std::min({next_probe_at_, next_seed_at_, dead_ping_at_, next_expiry_at_});
  if (probe_) next = std::min(next, probe_->indirect_sent ? probe_->finish_at : probe_->indirect_at);
  if (gossip_queue_.size() > 0 && !living_.empty()) next = std::min(next, gossip_at_);
  for (const std::string& name : suspects_) {
    const Member& member = members_.at(name);
    next = std::min(next, member.rechecked ? member.suspicion_ends_at : SuspicionMidpoint(member));
  }
  for (const auto& [request_id, indirect_ping] : indirect_pings_)
    next = std::min(next, indirect_ping.deadline);
  return next;
}

// A late timer means that this process was paused. What it waited for may have arrived in that time, so it
// drops its running probe and extends the suspicion timeouts by the pause.
void FailureDetector::DetectOwnPause(Micros now) {
  const Micros late = planned_tick_at_ == 0 ? 0 : now - planned_tick_at_;
  if (late <= options_.pause_threshold || !options_.detect_own_pauses) return;
  for (const std::string& name : suspects_) {
    Member& member = members_.at(name);
    member.suspicion_began_at += late;
    member.suspicion_ends_at += late;
  }
  if (probe_) round_.push_back(probe_->target);
  probe_.reset();
  indirect_pings_.clear();
  last_contact_at_ += late;
  no_verdict_until_ = now + kReceiveAfterPause;
  next_probe_at_ = std::max(next_probe_at_, no_verdict_until_);
  planned_tick_at_ = now;
  if (late > kLongPause) sync_needed_ = true;
  AddNotice(Notice::What::kPaused, self_.name, "", self_.generation, late);
}

void FailureDetector::Tick(Micros now) {
  if (status_ == SelfStatus::kLeft) return;
  DetectOwnPause(now);
  if (status_ != SelfStatus::kDuplicateName) {
    AdvanceProbe(now);
    if (!probe_ && now >= next_probe_at_) StartProbe(now);
    for (auto it = indirect_pings_.begin(); it != indirect_pings_.end();) {
      if (it->second.deadline > now) {
        ++it;
        continue;
      }
      // A member that receives nothing itself cannot confirm that another one is unreachable.
      if (MaySuspect(now)) SendPingResult(it->second, false);
      it = indirect_pings_.erase(it);
    }
    RecheckSuspects(now);
    ExpireSuspicions(now);
    PingDead(now);
    if (gossip_queue_.size() > 0 && now >= gossip_at_ && !living_.empty()) {
      gossip_at_ = now + kGossipInterval;
      for (int i = 0; i < kGossipFanout; ++i) {
        Send(members_.at(RandomLiving()).who.address, MakeMessage(Message::Kind::kGossip));
      }
    }
  } else {
    probe_.reset();
    indirect_pings_.clear();
    next_probe_at_ = dead_ping_at_ = now + options_.dead_ping_interval;
  }
  JoinThroughSeeds(now);
  SyncIfBehind(now);
  RemoveExpired(now);
  UpdateStatus(now);
  RecordNextTick(now);
}

// ---- Sending ---------------------------------------------------------------------------------------------

Message FailureDetector::MakeMessage(Message::Kind kind) const {
  Message message;
  message.kind = kind;
  message.from = self_;
  message.digest = digest();
  message.facts = facts_;
  message.cut_off = status_ == SelfStatus::kCutOff;
  return message;
}

Update FailureDetector::UpdateOf(const Member& member) const {
  return {member.who, member.state, member.suspected_by, member.refused};
}

// A member that is suspected or held dead is the first to receive that update, so that it can refute it.
void FailureDetector::AddUpdateAboutReceiver(Message& message, const Member& to) const {
  if (to.state != State::kAlive) message.updates.push_back(UpdateOf(to));
}

uint64_t FailureDetector::RegisterPing(const std::string& to) {
  remembered_pings_[++last_request_id_] = to;
  if (remembered_pings_.size() > kMaxRememberedPings) remembered_pings_.erase(remembered_pings_.begin());
  return last_request_id_;
}

uint64_t FailureDetector::SendPing(const Member& to, bool with_updates) {
  Message ping = MakeMessage(Message::Kind::kPing);
  ping.request_id = RegisterPing(to.who.name);
  const uint64_t request_id = ping.request_id;
  AddUpdateAboutReceiver(ping, to);
  Send(to.who.address, std::move(ping), with_updates);
  return request_id;
}

void FailureDetector::SendPingResult(const IndirectPing& indirect_ping, bool reached) {
  Message ping_result = MakeMessage(Message::Kind::kPingResult);
  ping_result.request_id = indirect_ping.request_id;
  ping_result.ping_target = indirect_ping.ping_target;
  ping_result.reached = reached;
  Send(indirect_ping.requester, std::move(ping_result));
}

void FailureDetector::Send(const std::string& to, Message message, bool with_updates) {
  if (status_ == SelfStatus::kDuplicateName || outgoing_.size() >= 4 * options_.max_members) return;
  message.sequence = ++last_sequence_;
  size_t budget = kMaxDatagramBytes - kMessageBaseBytes - self_.name.size() - self_.address.size() -
                  facts_.zone.size() - facts_.build.size() - message.ping_target.name.size() -
                  message.ping_target.address.size();
  for (const Update& update : message.updates)
    budget -= std::min(budget, GossipQueue::MaxEncodedSize(update));
  if (with_updates) {
    const int doublings = static_cast<int>(std::bit_width(alive_count()));
    for (Update& update : gossip_queue_.Take(budget, kSendsPerDoubling * (doublings + 1))) {
      message.updates.push_back(std::move(update));
    }
  }
  outgoing_.push_back({to, std::move(message)});
}

void FailureDetector::QueueUpdate(const Member& member) { gossip_queue_.Add(UpdateOf(member)); }

void FailureDetector::QueueSelfUpdate() { gossip_queue_.Add({self_, State::kAlive, {}, false}); }

std::vector<Update> FailureDetector::AllUpdates() const {
  std::vector<Update> all = {{self_, State::kAlive, {}, false}};
  for (const auto& [name, member] : members_) all.push_back(UpdateOf(member));
  return all;
}

// ---- Receiving -------------------------------------------------------------------------------------------

// Returns false for a datagram that was received before in this process generation of the sender, or is too
// old to tell.
bool FailureDetector::AcceptSequence(Member& member, uint64_t sequence) {
  if (sequence > member.highest_sequence) {
    const uint64_t shift = sequence - member.highest_sequence;
    member.seen_window = shift >= kReplayWindow ? 0 : member.seen_window << shift;
    member.seen_window |= 1;
    member.highest_sequence = sequence;
    return true;
  }
  const uint64_t age = member.highest_sequence - sequence;
  if (age >= kReplayWindow || (member.seen_window >> age & 1) != 0) return false;
  member.seen_window |= uint64_t{1} << age;
  return true;
}

bool FailureDetector::ProcessSender(Micros now, const Message& message, bool datagram) {
  if (message.from.name != self_.name) {
    Apply(now, {message.from, State::kAlive, {}, false}, message.from.name, true);
  }
  Member* member = Find(message.from.name);
  if (member == nullptr) return false;
  if (message.from.generation.start < member->who.generation.start) {
    Drop("an old life", message.from.name);
    Message reply = MakeMessage(Message::Kind::kGossip);
    reply.updates.push_back(UpdateOf(*member));
    Send(message.from.address, std::move(reply), false);
    return false;
  }
  if (datagram && !AcceptSequence(*member, message.sequence)) {
    Drop("replayed", message.from.name);
    return false;
  }
  member->received_at = now;
  member->facts = message.facts;
  return true;
}

void FailureDetector::ProcessUpdates(Micros now, const Message& message, bool believed,
                                     bool from_full_state) {
  bool dead = false;
  for (const Update& update : message.updates) {
    if (update.who.name == self_.name) {
      dead |= update.state == State::kDead;
      ApplyToSelf(update, message.from.name);
    } else if (believed && !(message.cut_off && update.state == State::kSuspect)) {
      Apply(now, update, message.from.name, from_full_state);
    }
  }
  if (!dead) {
    reported_dead_by_.erase(message.from.name);
  } else if (reported_dead_by_.size() < kMaxTrackedSenders || reported_dead_by_.contains(message.from.name)) {
    reported_dead_by_[message.from.name] = now;
  }
}

void FailureDetector::OnMessage(Micros now, const Message& message) {
  if (status_ == SelfStatus::kLeft) return;
  DetectOwnPause(now);
  const bool datagram =
      message.kind != Message::Kind::kFullState && message.kind != Message::Kind::kFullStateReply;
  if (message.from.name == self_.name) {
    if (message.from.address != self_.address) {
      ApplyToSelf({message.from, State::kAlive, {}, false}, message.from.name);
    }
    UpdateStatus(now);
    RecordNextTick(now);
    return;
  }
  if (!ProcessSender(now, message, datagram && message.sequence > 0)) {
    ProcessUpdates(now, message, false, false);
    UpdateStatus(now);
    RecordNextTick(now);
    return;
  }
  const Member* sender = Find(message.from.name);
  const bool living = IsLiving(sender->state);
  ProcessUpdates(now, message, living, !datagram);
  switch (message.kind) {
    case Message::Kind::kPing: {
      Message answer = MakeMessage(Message::Kind::kAck);
      answer.request_id = message.request_id;
      AddUpdateAboutReceiver(answer, *sender);
      Send(message.from.address, std::move(answer));
      break;
    }
    case Message::Kind::kAck: {
      const auto ping = remembered_pings_.find(message.request_id);
      if (ping == remembered_pings_.end() || ping->second != message.from.name) break;
      RecordAck(now, message.from.name);
      if (probe_ && probe_->request_id == message.request_id) probe_->reached = true;
      const auto indirect_ping = indirect_pings_.find(message.request_id);
      if (indirect_ping == indirect_pings_.end()) break;
      SendPingResult(indirect_ping->second, true);
      indirect_pings_.erase(indirect_ping);
      break;
    }
    case Message::Kind::kPingRequest: {
      if (indirect_pings_.size() >= kMaxIndirectPings || message.ping_target.name == self_.name) break;
      Message ping = MakeMessage(Message::Kind::kPing);
      ping.request_id = RegisterPing(message.ping_target.name);
      indirect_pings_[ping.request_id] = {message.from.address, message.request_id, message.ping_target,
                                          now + kIndirectPingTimeout};
      Send(message.ping_target.address, std::move(ping));
      break;
    }
    case Message::Kind::kPingResult:
      if (!probe_ || probe_->request_id != message.request_id || probe_->target != message.ping_target.name)
        break;
      RecordAck(now, message.from.name);
      if (message.reached) {
        probe_->reached = true;
      } else {
        probe_->unreached_by.insert(message.from.name);
      }
      break;
    default:
      break;
  }
  if (message.kind == Message::Kind::kPing || message.kind == Message::Kind::kAck)
    SyncIfDigestsDiffer(now, message);
  UpdateStatus(now);
  RecordNextTick(now);
}

std::optional<Message> FailureDetector::AnswerCall(Micros now, const Message& request) {
  if (status_ == SelfStatus::kLeft || status_ == SelfStatus::kDuplicateName ||
      request.from.name == self_.name)
    return {};
  DetectOwnPause(now);
  const bool believed = ProcessSender(now, request, false);
  const Member* sender = Find(request.from.name);
  ProcessUpdates(now, request, believed && IsLiving(sender->state), true);
  const bool wants_full_state = request.kind == Message::Kind::kFullState;
  Message answer = MakeMessage(wants_full_state ? Message::Kind::kFullStateReply : Message::Kind::kAck);
  answer.request_id = request.request_id;
  sender = Find(request.from.name);
  if (wants_full_state) {
    answer.updates = AllUpdates();
  } else if (sender != nullptr) {
    AddUpdateAboutReceiver(answer, *sender);
  }
  UpdateStatus(now);
  RecordNextTick(now);
  return answer;
}

void FailureDetector::OnCallEnded(Micros now, uint64_t id, CallResult result) {
  DetectOwnPause(now);
  const bool probing = probe_ && probe_->call_id == id;
  // A refusal is an answer of the other host, so both send path and receive path work.
  if (result != CallResult::kNoAnswer) last_contact_at_ = std::max(last_contact_at_, now);
  if (probing && result == CallResult::kAnswered) {
    probe_->reached = true;
    RecordAck(now, probe_->target);
  }
  if (probing && result == CallResult::kRefused) {
    probe_->refused = true;
    FinishProbe(now);
    next_probe_at_ = now;  // other members may be gone as well: the next probe does not wait for its period
  }
  UpdateStatus(now);
  RecordNextTick(now);
}

// ---- The view --------------------------------------------------------------------------------------------

void FailureDetector::SetState(Micros now, Member& member, State state) {
  const bool was = IsLiving(member.state), is = IsLiving(state);
  const size_t before = alive_count();
  if (was && !is) {
    const std::string& last = living_.back();
    members_.at(last).living_index = member.living_index;
    living_[member.living_index] = last;
    living_.pop_back();
  } else if (!was && is) {
    member.living_index = living_.size();
    living_.push_back(member.who.name);
  }
  if (was != is) digest_ ^= HashOf(member.who.name, member.who.generation.start);
  if (alive_count() < before) {
    while (!alive_peaks_.empty() && alive_peaks_.back().second <= before) alive_peaks_.pop_back();
    alive_peaks_.emplace_back(now, before);
    while (alive_peaks_.size() > kMaxPeakEntries || alive_peaks_.front().first < now - kPeakRetention)
      alive_peaks_.pop_front();
  }
  if (state == State::kSuspect) {
    suspects_.insert(member.who.name);
  } else {
    suspects_.erase(member.who.name);
    if (state != State::kDead) member.suspected_by.clear();
    member.refused = false;
  }
  member.state = state;
  member.since = now;
}

bool FailureDetector::MayIntroduce(Micros now, const std::string& sender) {
  if (introductions_.size() >= kMaxTrackedSenders && !introductions_.contains(sender)) introductions_.clear();
  auto& [since, count] = introductions_[sender];
  if (now - since > kSecond) {
    since = now;
    count = 0;
  }
  return ++count <= kMaxIntroducedPerSecond;
}

void FailureDetector::MarkJoined(Micros now, Member& member, const std::string& details) {
  SetState(now, member, State::kAlive);
  AddNotice(Notice::What::kJoined, member.who.name, details, member.who.generation);
  QueueUpdate(member);
}

void FailureDetector::Apply(Micros now, const Update& update, const std::string& sender,
                            bool from_full_state) {
  const Identity& who = update.who;
  const bool is_suspicion = update.state == State::kSuspect || update.state == State::kDead;
  const uint64_t max_number = is_suspicion ? kMaxGenerationNumber / 2 : kMaxGenerationNumber;
  if (who.generation.start > max_number || who.generation.incarnation > max_number) {
    Drop("an impossible number", sender);
    return;
  }
  const std::vector<std::string> suspected_by =
      update.suspected_by.empty() ? std::vector<std::string>{sender} : update.suspected_by;
  Member* known = Find(who.name);
  if (known == nullptr) {
    // The end of an unknown member is ignored; else such updates would circulate for ever.
    if (update.state == State::kDead || update.state == State::kLeft) return;
    if (members_.size() + 1 >= options_.max_members) return Drop("too many members", sender);
    if (!from_full_state && !MayIntroduce(now, sender)) return Drop("too many names at once", sender);
    Member& member = members_[who.name];
    member.who = who;
    member.state = State::kLeft;
    MarkJoined(now, member, sender);
    if (is_suspicion) Suspect(now, member, suspected_by, update.refused);
    return;
  }
  Member& member = *known;
  if (who.generation.start < member.who.generation.start) return;
  if (who.generation.start > member.who.generation.start) {
    const bool was_living = IsLiving(member.state);
    SetState(now, member, State::kLeft);  // ends the earlier process generation
    const Identity before = std::exchange(member.who, who);
    member.highest_sequence = member.seen_window = 0;
    member.acked_at = 0;
    if (update.state == State::kLeft) {
      if (was_living) AddNotice(Notice::What::kLeft, who.name, sender, who.generation);
      QueueUpdate(member);
      return;
    }
    MarkJoined(now, member, before.address == who.address ? "again" : "from " + before.address);
    if (is_suspicion) Suspect(now, member, suspected_by, update.refused);
    return;
  }
  const bool newer = who.generation.incarnation > member.who.generation.incarnation || !options_.incarnations;
  if (who.generation.incarnation < member.who.generation.incarnation && options_.incarnations) return;
  if (who.address != member.who.address && !is_suspicion) {
    Drop("one life at two addresses", who.name);
    return;
  }
  switch (update.state) {
    case State::kAlive: {
      if (!newer) return;
      if (!options_.incarnations && member.state == State::kAlive) return;
      member.who.generation.incarnation = who.generation.incarnation;
      const State was = member.state;
      SetState(now, member, State::kAlive);
      if (was == State::kSuspect) {
        AddNotice(Notice::What::kCleared, who.name, sender, who.generation);
      } else if (was != State::kAlive) {
        AddNotice(Notice::What::kReturned, who.name, sender, who.generation);
        fast_dead_pings_until_ = now + kFastDeadPingPeriod;
      }
      QueueUpdate(member);
      return;
    }
    case State::kLeft:
      member.who.generation.incarnation = who.generation.incarnation;
      if (member.state == State::kLeft) return;
      SetState(now, member, State::kLeft);
      AddNotice(Notice::What::kLeft, who.name, sender, who.generation);
      QueueUpdate(member);
      return;
    default:
      break;
  }
  if (!IsLiving(member.state)) {
    if (!newer) return;
    // It was suspected in a later incarnation, so it was alive after this member declared it dead.
    member.who.generation.incarnation = who.generation.incarnation;
    SetState(now, member, State::kAlive);
    AddNotice(Notice::What::kReturned, who.name, sender, who.generation);
  }
  if (member.who.generation.incarnation < who.generation.incarnation) {
    member.who.generation.incarnation = who.generation.incarnation;
    if (member.state == State::kSuspect) SetState(now, member, State::kAlive);
  }
  if (update.state == State::kDead && from_full_state && member.state == State::kAlive) {
    // After a partition each half holds the members of the other one dead. A member that knows better
    // forwards the update to the member concerned, which refutes it for everybody.
    Message notification = MakeMessage(Message::Kind::kGossip);
    notification.updates.push_back(update);
    Send(member.who.address, std::move(notification), false);
    return;
  }
  Suspect(now, member, suspected_by, update.refused);
}

void FailureDetector::ApplyToSelf(const Update& update, const std::string& sender) {
  const Generation generation = update.who.generation;
  const bool is_suspicion = update.state != State::kAlive;
  if (generation.start < self_.generation.start) return;
  if (generation.start > kMaxGenerationNumber / 2 || generation.incarnation > kMaxGenerationNumber / 2) {
    return Drop("an impossible number", sender);
  }
  if (generation.start > self_.generation.start) {
    if (!is_suspicion && update.who.address != self_.address) {
      if (std::exchange(status_, SelfStatus::kDuplicateName) != SelfStatus::kDuplicateName) {
        AddNotice(Notice::What::kSelfStatus, self_.name, update.who.address, generation);
      }
      return;
    }
    // An earlier process generation, started when the clock was ahead of now; or another one that has ended.
    self_.generation = {generation.start + 1, 0};
    if (status_ == SelfStatus::kDuplicateName) status_ = SelfStatus::kAlone;
    QueueSelfUpdate();
    return;
  }
  if (!is_suspicion || generation.incarnation < self_.generation.incarnation) return;
  AddNotice(Notice::What::kSelfSuspected, self_.name,
            update.suspected_by.empty() ? sender : update.suspected_by.front(), generation);
  if (!options_.refutation) return;
  self_.generation.incarnation = generation.incarnation + 1;
  QueueSelfUpdate();
  const Member* member = Find(sender);
  if (member != nullptr) Send(member->who.address, MakeMessage(Message::Kind::kGossip));
}

Micros FailureDetector::SuspicionTimeoutOf(const Member& member) const {
  if (!options_.suspicion) return 0;
  if (member.refused) return options_.suspicion_timeout_refused;
  const size_t others = living_.size() > 1 ? living_.size() - 1 : 0;
  const auto enough = std::min(static_cast<size_t>(options_.suspecting_members_for_min), others);
  const size_t suspecting_count =
      std::min(std::max<size_t>(member.suspected_by.size(), 1), std::max<size_t>(enough, 1));
  if (enough < 2) return options_.suspicion_timeout_max;
  const double part = std::log(static_cast<double>(suspecting_count)) / std::log(static_cast<double>(enough));
  return options_.suspicion_timeout_max -
         static_cast<Micros>(
             part * static_cast<double>(options_.suspicion_timeout_max - options_.suspicion_timeout_min));
}

void FailureDetector::Suspect(Micros now, Member& member, const std::vector<std::string>& suspected_by,
                              bool refused) {
  bool changed = false;
  if (member.state == State::kAlive) {
    SetState(now, member, State::kSuspect);
    member.suspected_by.clear();
    member.suspicion_began_at = now;
    member.rechecked = false;
    AddNotice(Notice::What::kSuspected, member.who.name, suspected_by.front(), member.who.generation);
    changed = true;
  }
  for (const std::string& suspecting_member : suspected_by) {
    if (member.suspected_by.size() >= kMaxSuspectingMembers ||
        std::ranges::count(member.suspected_by, suspecting_member) > 0)
      continue;
    member.suspected_by.push_back(suspecting_member);
    changed = true;
  }
  if (refused && !std::exchange(member.refused, true)) changed = true;
  member.suspicion_ends_at = member.suspicion_began_at + SuspicionTimeoutOf(member);
  if (changed) QueueUpdate(member);
}

// Pings each suspect in the middle of its timeout: it may have refuted long ago, while
// this member received nothing.
void FailureDetector::RecheckSuspects(Micros now) {
  for (const std::string& name : suspects_) {
    Member& member = members_.at(name);
    if (member.rechecked || now < SuspicionMidpoint(member)) continue;
    member.rechecked = true;
    SendPing(member);
  }
}

void FailureDetector::RestartSuspicion(Micros now, Member& member) {
  member.suspicion_began_at = now;
  member.suspicion_ends_at = now + std::max(SuspicionTimeoutOf(member), kSuspicionRetryInterval);
  member.rechecked = false;
}

// Declares suspects dead whose timeout ran out, except those that have answered this member since. While this
// member may not suspect anybody, the timeouts start again.
void FailureDetector::ExpireSuspicions(Micros now) {
  std::vector<std::string> expired;
  for (const std::string& name : suspects_) {
    if (members_.at(name).suspicion_ends_at <= now) expired.push_back(name);
  }
  for (const std::string& name : expired) {
    Member& member = members_.at(name);
    if (member.acked_at > member.suspicion_began_at) {
      RestartSuspicion(now, member);
      continue;
    }
    // Just after a pause, a refutation may still be waiting in the socket buffer.
    if (now < no_verdict_until_) {
      member.suspicion_ends_at = now + kSuspicionRetryInterval;
      continue;
    }
    if (!MaySuspect(now)) {
      RestartSuspicion(now, member);
      continue;
    }
    SetState(now, member, State::kDead);
    std::string by;
    for (const std::string& suspecting_member : member.suspected_by)
      by += (by.empty() ? "" : ", ") + suspecting_member;
    AddNotice(Notice::What::kDied, name, by, member.who.generation);
    QueueUpdate(member);
  }
}

bool FailureDetector::MaySuspect(Micros now) const {
  if (!options_.require_second_observer) return true;
  return status_ == SelfStatus::kConnected && now >= no_verdict_until_ &&
         now - last_contact_at_ <= kMaxContactAgeToSuspect;
}

void FailureDetector::UpdateStatus(Micros now) {
  if (status_ == SelfStatus::kLeft || status_ == SelfStatus::kDuplicateName) return;
  std::erase_if(reported_dead_by_,
                [now](const auto& report) { return report.second + kReportedDeadRetention < now; });
  SelfStatus status = SelfStatus::kConnected;
  if (living_.empty()) {
    status = SelfStatus::kAlone;
    last_contact_at_ = now;  // there is no member that could have answered
  } else if (now - last_contact_at_ > options_.cut_off_after ||
             reported_dead_by_.size() >= std::min(kReportersForCutOff, living_.size())) {
    status = SelfStatus::kCutOff;
  }
  if (std::exchange(status_, status) != status) {
    for (const std::string& name : suspects_) RestartSuspicion(now, members_.at(name));
    sync_needed_ = status == SelfStatus::kConnected;
    AddNotice(Notice::What::kSelfStatus, self_.name, NameOf(status), self_.generation);
  }
}

// ---- Probes ----------------------------------------------------------------------------------------------

void FailureDetector::RecordAck(Micros now, const std::string& name) {
  last_contact_at_ = std::max(last_contact_at_, now);
  if (Member* member = Find(name)) member->acked_at = now;
}

void FailureDetector::StartProbe(Micros now) {
  // Jitter of a tenth, so that members that started together do not stay in step.
  next_probe_at_ = now + options_.period * 9 / 10 +
                   static_cast<Micros>(RandomBelow(static_cast<size_t>(options_.period / 5) + 1));
  if (round_.empty()) {
    round_ = living_;
    for (size_t i = round_.size(); i > 1; --i) std::swap(round_[i - 1], round_[RandomBelow(i)]);
  }
  const Member* target = nullptr;
  while (!round_.empty() && target == nullptr) {
    target = Find(round_.back());
    if (target != nullptr && !IsLiving(target->state)) target = nullptr;
    round_.pop_back();
  }
  if (target == nullptr) return;
  probe_.emplace();
  probe_->request_id = SendPing(*target);
  probe_->target = target->who.name;
  probe_->indirect_at = now + options_.ping_timeout;
  probe_->finish_at = now + options_.period * 9 / 10;
}

void FailureDetector::AdvanceProbe(Micros now) {
  if (!probe_) return;
  const Member* target = Find(probe_->target);
  if (probe_->reached || target == nullptr || !IsLiving(target->state)) {
    probe_.reset();
    return;
  }
  if (!probe_->indirect_sent && now >= probe_->indirect_at) ProbeIndirectly(now);
  if (now >= probe_->finish_at) FinishProbe(now);
}

std::vector<std::string> FailureDetector::ChooseHelpers(const std::string& target) {
  // Prefers the members received from last, as they are the most likely to be reachable. The first one is
  // taken at random.
  std::vector<std::string> chosen;
  const auto wanted = static_cast<size_t>(options_.indirect_ping_count);
  for (size_t i = 0; i < 4 * wanted && !living_.empty(); ++i) {
    const std::string name = RandomLiving();
    if (name != target && std::ranges::count(chosen, name) == 0) chosen.push_back(name);
  }
  if (chosen.size() > wanted) {
    std::sort(chosen.begin() + 1, chosen.end(), [this](const std::string& a, const std::string& b) {
      return members_.at(a).received_at > members_.at(b).received_at;
    });
    chosen.resize(wanted);
  }
  return chosen;
}

void FailureDetector::ProbeIndirectly(Micros now) {
  const Member& target = members_.at(probe_->target);
  probe_->indirect_sent = true;
  if (!options_.indirect_pings) return;
  for (const std::string& helper : ChooseHelpers(probe_->target)) {
    Message ping_request = MakeMessage(Message::Kind::kPingRequest);
    ping_request.request_id = probe_->request_id;
    ping_request.ping_target = target.who;
    Send(members_.at(helper).who.address, std::move(ping_request));
  }
  Message ping = MakeMessage(Message::Kind::kPing);
  ping.request_id = probe_->request_id;
  AddUpdateAboutReceiver(ping, target);
  probe_->call_id = ++last_request_id_;
  calls_.push_back({probe_->call_id, target.who.address, std::move(ping), probe_->finish_at - now});
}

void FailureDetector::FinishProbe(Micros now) {
  const Probe probe = *std::exchange(probe_, std::nullopt);
  if (probe.reached) return;
  const bool confirmed = probe.refused || !probe.unreached_by.empty() || !options_.require_second_observer ||
                         !options_.indirect_pings;
  if (!confirmed || !MaySuspect(now)) return;
  Member& target = members_.at(probe.target);
  if (!IsLiving(target.state)) return;
  Suspect(now, target, {self_.name}, probe.refused);
  SendPing(target);
}

// ---- Dead members and unmet seeds ------------------------------------------------------------------------

void FailureDetector::PingDead(Micros now) {
  if (now < dead_ping_at_) return;
  dead_ping_at_ = now + (now < fast_dead_pings_until_ ? kFastDeadPingInterval : options_.dead_ping_interval);
  // Pings the first dead member after a random position in the list of all members. The dead are few, or
  // half of all.
  if (members_.size() == living_.size()) return;
  const size_t from = RandomBelow(members_.size());
  auto it = std::next(members_.begin(), static_cast<std::ptrdiff_t>(from));
  for (size_t i = 0; i < members_.size(); ++i, ++it) {
    if (it == members_.end()) it = members_.begin();
    if (it->second.state == State::kDead) break;
  }
  if (it == members_.end() || it->second.state != State::kDead) return;
  SendPing(it->second, false);
}

void FailureDetector::StartFullSync(Micros now, const std::string& to) {
  full_sync_not_before_ = now + options_.full_sync_interval / 2 +
                          static_cast<Micros>(RandomBelow(static_cast<size_t>(options_.full_sync_interval)));
  Message all = MakeMessage(Message::Kind::kFullState);
  all.updates = AllUpdates();
  calls_.push_back({++last_request_id_, to, std::move(all), kFullSyncTimeout});
}

// Requests the full state after a time in which updates may have been missed.
void FailureDetector::SyncIfBehind(Micros now) {
  if (!sync_needed_ || !options_.full_sync || living_.empty() || now < no_verdict_until_) return;
  sync_needed_ = false;
  StartFullSync(now, members_.at(RandomLiving()).who.address);
}

// Does nothing while updates are queued, as views differ then by what is still in flight.
void FailureDetector::SyncIfDigestsDiffer(Micros now, const Message& message) {
  if (!options_.full_sync || message.digest == digest() || gossip_queue_.size() > 0 ||
      now < full_sync_not_before_)
    return;
  StartFullSync(now, message.from.address);
}

// Also calls seeds that are not members yet while others are: a seed may know members that this one does not,
// and members that start together through several seeds would otherwise form several clusters.
void FailureDetector::JoinThroughSeeds(Micros now) {
  if (now < next_seed_at_) return;
  std::set<std::string> unmet_seeds(seeds_.begin(), seeds_.end());
  unmet_seeds.erase(self_.address);
  const bool without_members = living_.empty() || status_ == SelfStatus::kDuplicateName;
  for (const std::string& name : living_) {
    if (!without_members) unmet_seeds.erase(members_.at(name).who.address);
  }
  const bool starting_up = now - started_at_ < kStartupPhase;
  const Micros wait = starting_up
                          ? std::min(kSeedRetryMaxAtStartup, kSeedRetryMin << std::min(seed_tries_, 4))
                      : without_members ? kSeedRetryMax
                                        : kUnmetSeedInterval;
  next_seed_at_ = now + wait / 2 + static_cast<Micros>(RandomBelow(static_cast<size_t>(wait)));
  if (unmet_seeds.empty()) return;
  // Round robin, so that a dead seed costs one attempt per round.
  if (seed_tries_ == 0) seed_tries_ = static_cast<int>(RandomBelow(unmet_seeds.size()));
  StartFullSync(
      now, *std::next(unmet_seeds.begin(),
                      static_cast<std::ptrdiff_t>(static_cast<size_t>(seed_tries_++) % unmet_seeds.size())));
}

void FailureDetector::RemoveExpired(Micros now) {
  if (now < next_expiry_at_) return;
  next_expiry_at_ = now + kExpiryInterval;
  for (auto it = members_.begin(); it != members_.end();) {
    const Member& member = it->second;
    const bool old = (member.state == State::kDead && now - member.since > options_.dead_retention) ||
                     (member.state == State::kLeft && now - member.since > options_.left_retention);
    if (!old) {
      ++it;
      continue;
    }
    AddNotice(Notice::What::kForgotten, it->first, NameOf(member.state), member.who.generation);
    gossip_queue_.Remove(it->first);
    it = members_.erase(it);
  }
}

void FailureDetector::Leave(Micros now) {
  if (status_ == SelfStatus::kLeft) return;
  DetectOwnPause(now);
  if (status_ != SelfStatus::kDuplicateName) {
    for (size_t i = 0; i < std::min(kMaxLeaveDatagrams, 2 * living_.size()); ++i) {
      Message leave = MakeMessage(Message::Kind::kGossip);
      leave.updates.push_back({self_, State::kLeft, {}, false});
      Send(members_.at(RandomLiving()).who.address, std::move(leave));
    }
  }
  status_ = SelfStatus::kLeft;
  AddNotice(Notice::What::kSelfStatus, self_.name, NameOf(status_), self_.generation);
}

}  // namespace burlfall::cluster
