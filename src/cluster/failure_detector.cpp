#include "cluster/failure_detector.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

#include "kit/mix.h"

namespace burlfall::cluster {
namespace {

constexpr Micros kGossipEvery = 100 * kMs;  // while there is news
constexpr int kGossipTo = 3;
constexpr int kTimesPerDoubling = 3;      // that an item is sent, for each doubling of the members
constexpr size_t kBase = 300;             // bytes of a message but for names and claims
constexpr Micros kHearFirst = 200 * kMs;  // after a pause: what has come meanwhile goes before any word
constexpr Micros kDutyFor = 200 * kMs;
constexpr size_t kMostDuties = 64;
constexpr size_t kPingsKept = 256;
constexpr Micros kFreshContact = 1500 * kMs;  // the ears are sound
constexpr Micros kLongPause = 1 * kSecond;    // news may have come and gone, or was lost for want of room
constexpr Micros kAgain = 100 * kMs;          // where a verdict has to wait for that
constexpr Micros kToldDeadFor = 5 * kSecond;
constexpr size_t kToldDeadBy = 2;
constexpr Micros kSeedFirst = 500 * kMs, kSeedMost = 5 * kSecond;  // between calls of one that is alone
constexpr Micros kYoungFor = 20 * kSecond, kSeedYoung = 1500 * kMs, kSeedStrange = 10 * kSecond;
constexpr Micros kCallPatience = 1 * kSecond;
constexpr Micros kCallFast = 200 * kMs, kCallFastFor = 5 * kSecond;
constexpr Micros kForgetEvery = 1 * kSecond;
constexpr int kMostStrangers = 50;  // that one member may bring in within a second, but by telling all
constexpr size_t kLeaveTo = 32;
constexpr size_t kMostReasons = 64;
constexpr size_t kMostSpeakers = 1024;  // whose strangers are counted, and that said this one is dead
constexpr size_t kMostCounts = 64;
constexpr Micros kCountsFor = 3600 * kSecond;
constexpr uint64_t kMostPast = 64;  // datagrams: an older one is taken for a replay

uint64_t HashOf(std::string_view text, uint64_t start) {
  uint64_t hash = start;
  for (const char c : text) hash = kit::Mix(hash ^ static_cast<unsigned char>(c));
  return kit::Mix(hash);
}

Micros HalfWait(const Member& member) {
  return member.wait_began + (member.wait_until - member.wait_began) / 2;
}

bool Living(State state) { return state == State::kAlive || state == State::kSuspect; }

}  // namespace

uint64_t DigestOf(std::string_view text) { return HashOf(text, 0); }

const char* NameOf(State state) {
  constexpr const char* kNames[] = {"alive", "suspect", "dead", "left"};
  return kNames[static_cast<size_t>(state)];
}

const char* NameOf(Standing standing) {
  constexpr const char* kNames[] = {"alone", "in", "cut off", "double", "left"};
  return kNames[static_cast<size_t>(standing)];
}

Mind::Mind(Rules rules, Identity self, std::vector<std::string> seeds, uint64_t seed)
    : rules_(rules), self_(std::move(self)), seeds_(std::move(seeds)), draws_(seed) {}

uint64_t Mind::Draw() { return draws_ = kit::Mix(draws_); }

uint64_t Mind::digest() const { return digest_ ^ HashOf(self_.name, self_.life.start); }

size_t Mind::MostWithin(Micros now, Micros span) const {
  size_t most = alive();
  for (const auto& [until, count] : most_) {
    if (until >= now - span) most = std::max(most, count);
  }
  return most;
}

void Mind::Note(Notice::What what, const std::string& who, const std::string& by, Life life, Micros span) {
  notices_.push_back({what, who, by, life, span});
}

// Counted by reason; the first of each is told.
void Mind::Drop(const std::string& why, const std::string& who) {
  if (dropped_.size() >= kMostReasons && !dropped_.contains(why)) return;
  if (dropped_[why]++ == 0) Note(Notice::What::kDropped, who, why);
}

std::vector<Outgoing> Mind::TakeOutgoing() { return std::exchange(outgoing_, {}); }
std::vector<Call> Mind::TakeCalls() { return std::exchange(calls_, {}); }
std::vector<Notice> Mind::TakeNotices() { return std::exchange(notices_, {}); }

Member* Mind::Find(const std::string& name) {
  const auto it = members_.find(name);
  return it == members_.end() ? nullptr : &it->second;
}

// ---- Time ------------------------------------------------------------------------------------------------

void Mind::Begin(Micros now) {
  began_at_ = contact_at_ = now;
  probe_at_ = now + rules_.period;
  seed_at_ = now;
  call_dead_at_ = now + rules_.call_dead_every;
  exchange_at_ = now;
  forget_at_ = now + kForgetEvery;
  SpreadSelf();
  Planned(now);
}

Micros Mind::next_at() const {
  if (standing_ == Standing::kLeft) return kNever;
  // Silent: what it would say or judge waits, and must not wake it.
  if (standing_ == Standing::kDouble) return std::min(seed_at_, forget_at_);
  Micros next = std::min({probe_at_, seed_at_, call_dead_at_, forget_at_});
  if (probe_) next = std::min(next, probe_->asked ? probe_->judge_at : probe_->ask_at);
  if (gossip_.size() > 0 && !living_.empty()) next = std::min(next, gossip_at_);
  for (const std::string& name : suspects_) {
    const Member& member = members_.at(name);
    next = std::min(next, member.asked ? member.wait_until : HalfWait(member));
  }
  for (const auto& [number, duty] : duties_) next = std::min(next, duty.until);
  return next;
}

// A timer that comes late says that this process stood still. What it waited for in that time may well have
// come: nobody is blamed for it.
void Mind::NoticeTime(Micros now) {
  const Micros late = planned_ == 0 ? 0 : now - planned_;
  if (late <= rules_.late_is_pause || !rules_.own_pauses) return;
  for (const std::string& name : suspects_) {
    Member& member = members_.at(name);
    member.wait_began += late;
    member.wait_until += late;
  }
  if (probe_) round_.push_back(probe_->target);
  probe_.reset();
  duties_.clear();
  contact_at_ += late;
  quiet_until_ = now + kHearFirst;
  probe_at_ = std::max(probe_at_, quiet_until_);
  planned_ = now;
  if (late > kLongPause) catch_up_ = true;
  Note(Notice::What::kPaused, self_.name, "", self_.life, late);
}

void Mind::Tick(Micros now) {
  if (standing_ == Standing::kLeft) return;
  NoticeTime(now);
  if (standing_ != Standing::kDouble) {
    StepProbe(now);
    if (!probe_ && now >= probe_at_) BeginProbe(now);
    for (auto it = duties_.begin(); it != duties_.end();) {
      if (it->second.until > now) {
        ++it;
        continue;
      }
      // Whoever hears nobody itself is no witness.
      if (MayAccuse(now)) TellAsker(it->second, false);
      it = duties_.erase(it);
    }
    AskAccused(now);
    EndWaits(now);
    CallDead(now);
    if (gossip_.size() > 0 && now >= gossip_at_ && !living_.empty()) {
      gossip_at_ = now + kGossipEvery;
      for (int i = 0; i < kGossipTo; ++i) {
        Send(members_.at(AnyLiving()).who.address, Make(Message::Kind::kGossip));
      }
    }
  } else {
    probe_.reset();
    duties_.clear();
    probe_at_ = call_dead_at_ = now + rules_.call_dead_every;
  }
  JoinBySeed(now);
  CatchUp(now);
  Forget(now);
  Stand(now);
  Planned(now);
}

// ---- What goes out ---------------------------------------------------------------------------------------

Message Mind::Make(Message::Kind kind) const {
  Message message;
  message.kind = kind;
  message.from = self_;
  message.digest = digest();
  message.facts = facts_;
  message.cut_off = standing_ == Standing::kCutOff;
  return message;
}

Claim Mind::ClaimOf(const Member& member) const {
  return {member.who, member.state, member.accusers, member.refused};
}

// Whoever is accused, or held dead, hears of it before all others.
void Mind::TellItself(Message& message, const Member& to) const {
  if (to.state != State::kAlive) message.claims.push_back(ClaimOf(to));
}

uint64_t Mind::NumberOfPing(const std::string& to) {
  pings_[++numbers_] = to;
  if (pings_.size() > kPingsKept) pings_.erase(pings_.begin());
  return numbers_;
}

uint64_t Mind::Ping(const Member& to, bool with_claims) {
  Message ping = Make(Message::Kind::kPing);
  ping.number = NumberOfPing(to.who.name);
  const uint64_t number = ping.number;
  TellItself(ping, to);
  Send(to.who.address, std::move(ping), with_claims);
  return number;
}

void Mind::TellAsker(const Duty& duty, bool reached) {
  Message told = Make(Message::Kind::kTold);
  told.number = duty.number;
  told.about = duty.about;
  told.reached = reached;
  Send(duty.asker, std::move(told));
}

void Mind::Send(const std::string& to, Message message, bool with_claims) {
  if (standing_ == Standing::kDouble || outgoing_.size() >= 4 * rules_.most_members) return;
  message.sequence = ++sequence_;
  size_t room = kLargestDatagram - kBase - self_.name.size() - self_.address.size() - facts_.zone.size() -
                facts_.build.size() - message.about.name.size() - message.about.address.size();
  for (const Claim& claim : message.claims) room -= std::min(room, Gossip::SizeOf(claim));
  if (with_claims) {
    const int doublings = static_cast<int>(std::bit_width(alive()));
    for (Claim& claim : gossip_.Take(room, kTimesPerDoubling * (doublings + 1))) {
      message.claims.push_back(std::move(claim));
    }
  }
  outgoing_.push_back({to, std::move(message)});
}

void Mind::Spread(const Member& member) { gossip_.Add(ClaimOf(member)); }

void Mind::SpreadSelf() { gossip_.Add({self_, State::kAlive, {}, false}); }

std::vector<Claim> Mind::AllClaims() const {
  std::vector<Claim> all = {{self_, State::kAlive, {}, false}};
  for (const auto& [name, member] : members_) all.push_back(ClaimOf(member));
  return all;
}

// ---- What is heard ---------------------------------------------------------------------------------------

// Each datagram of a sender's life is heard once.
bool Mind::Fresh(Member& member, uint64_t sequence) {
  if (sequence > member.highest) {
    const uint64_t by = sequence - member.highest;
    member.seen = by >= kMostPast ? 0 : member.seen << by;
    member.seen |= 1;
    member.highest = sequence;
    return true;
  }
  const uint64_t past = member.highest - sequence;
  if (past >= kMostPast || (member.seen >> past & 1) != 0) return false;
  member.seen |= uint64_t{1} << past;
  return true;
}

bool Mind::TakeSpeaker(Micros now, const Message& message, bool datagram) {
  if (message.from.name != self_.name) {
    Apply(now, {message.from, State::kAlive, {}, false}, message.from.name, true);
  }
  Member* member = Find(message.from.name);
  if (member == nullptr) return false;
  if (message.from.life.start < member->who.life.start) {
    Drop("an old life", message.from.name);
    Message back = Make(Message::Kind::kGossip);
    back.claims.push_back(ClaimOf(*member));
    Send(message.from.address, std::move(back), false);
    return false;
  }
  if (datagram && !Fresh(*member, message.sequence)) {
    Drop("replayed", message.from.name);
    return false;
  }
  member->heard_at = now;
  member->facts = message.facts;
  return true;
}

void Mind::TakeClaims(Micros now, const Message& message, bool believed, bool all) {
  bool dead = false;
  for (const Claim& claim : message.claims) {
    if (claim.who.name == self_.name) {
      dead |= claim.state == State::kDead;
      ApplyToSelf(claim, message.from.name);
    } else if (believed && !(message.cut_off && claim.state == State::kSuspect)) {
      Apply(now, claim, message.from.name, all);
    }
  }
  if (!dead) {
    told_dead_.erase(message.from.name);
  } else if (told_dead_.size() < kMostSpeakers || told_dead_.contains(message.from.name)) {
    told_dead_[message.from.name] = now;
  }
}

void Mind::Heard(Micros now, const Message& message) {
  if (standing_ == Standing::kLeft) return;
  NoticeTime(now);
  const bool datagram = message.kind != Message::Kind::kAll && message.kind != Message::Kind::kAllBack;
  if (message.from.name == self_.name) {
    if (message.from.address != self_.address) {
      ApplyToSelf({message.from, State::kAlive, {}, false}, message.from.name);
    }
    Stand(now);
    Planned(now);
    return;
  }
  if (!TakeSpeaker(now, message, datagram && message.sequence > 0)) {
    TakeClaims(now, message, false, false);
    Stand(now);
    Planned(now);
    return;
  }
  const Member* speaker = Find(message.from.name);
  const bool living = Living(speaker->state);
  TakeClaims(now, message, living, !datagram);
  switch (message.kind) {
    case Message::Kind::kPing: {
      Message answer = Make(Message::Kind::kAnswer);
      answer.number = message.number;
      TellItself(answer, *speaker);
      Send(message.from.address, std::move(answer));
      break;
    }
    case Message::Kind::kAnswer: {
      const auto ping = pings_.find(message.number);
      if (ping == pings_.end() || ping->second != message.from.name) break;
      Contact(now, message.from.name);
      if (probe_ && probe_->number == message.number) probe_->reached = true;
      const auto duty = duties_.find(message.number);
      if (duty == duties_.end()) break;
      TellAsker(duty->second, true);
      duties_.erase(duty);
      break;
    }
    case Message::Kind::kAsk: {
      if (duties_.size() >= kMostDuties || message.about.name == self_.name) break;
      Message ping = Make(Message::Kind::kPing);
      ping.number = NumberOfPing(message.about.name);
      duties_[ping.number] = {message.from.address, message.number, message.about, now + kDutyFor};
      Send(message.about.address, std::move(ping));
      break;
    }
    case Message::Kind::kTold:
      if (!probe_ || probe_->number != message.number || probe_->target != message.about.name) break;
      Contact(now, message.from.name);
      if (message.reached) {
        probe_->reached = true;
      } else {
        probe_->without.insert(message.from.name);
      }
      break;
    default:
      break;
  }
  if (message.kind == Message::Kind::kPing || message.kind == Message::Kind::kAnswer) Compare(now, message);
  Stand(now);
  Planned(now);
}

std::optional<Message> Mind::Answer(Micros now, const Message& asked) {
  if (standing_ == Standing::kLeft || standing_ == Standing::kDouble || asked.from.name == self_.name)
    return {};
  NoticeTime(now);
  const bool believed = TakeSpeaker(now, asked, false);
  const Member* speaker = Find(asked.from.name);
  TakeClaims(now, asked, believed && Living(speaker->state), true);
  const bool all = asked.kind == Message::Kind::kAll;
  Message answer = Make(all ? Message::Kind::kAllBack : Message::Kind::kAnswer);
  answer.number = asked.number;
  speaker = Find(asked.from.name);
  if (all) {
    answer.claims = AllClaims();
  } else if (speaker != nullptr) {
    TellItself(answer, *speaker);
  }
  Stand(now);
  Planned(now);
  return answer;
}

void Mind::Called(Micros now, uint64_t id, CallEnd how) {
  NoticeTime(now);
  const bool probing = probe_ && probe_->call == id;
  // A machine that says no has heard the question, and its answer has come: the ears are sound.
  if (how != CallEnd::kSilent) contact_at_ = std::max(contact_at_, now);
  if (probing && how == CallEnd::kAnswered) {
    probe_->reached = true;
    Contact(now, probe_->target);
  }
  if (probing && how == CallEnd::kRefused) {
    probe_->refused = true;
    JudgeProbe(now);
    probe_at_ = now;  // where one is gone, others may be: it doesn't wait for the next period
  }
  Stand(now);
  Planned(now);
}

// ---- The view --------------------------------------------------------------------------------------------

void Mind::Set(Micros now, Member& member, State state) {
  const bool was = Living(member.state), is = Living(state);
  const size_t before = alive();
  if (was && !is) {
    const std::string& last = living_.back();
    members_.at(last).place = member.place;
    living_[member.place] = last;
    living_.pop_back();
  } else if (!was && is) {
    member.place = living_.size();
    living_.push_back(member.who.name);
  }
  if (was != is) digest_ ^= HashOf(member.who.name, member.who.life.start);
  if (alive() < before) {
    while (!most_.empty() && most_.back().second <= before) most_.pop_back();
    most_.emplace_back(now, before);
    while (most_.size() > kMostCounts || most_.front().first < now - kCountsFor) most_.pop_front();
  }
  if (state == State::kSuspect) {
    suspects_.insert(member.who.name);
  } else {
    suspects_.erase(member.who.name);
    if (state != State::kDead) member.accusers.clear();
    member.refused = false;
  }
  member.state = state;
  member.since = now;
}

bool Mind::MayBringIn(Micros now, const std::string& speaker) {
  if (strangers_.size() >= kMostSpeakers && !strangers_.contains(speaker)) strangers_.clear();
  auto& [since, count] = strangers_[speaker];
  if (now - since > kSecond) {
    since = now;
    count = 0;
  }
  return ++count <= kMostStrangers;
}

void Mind::BeginLife(Micros now, Member& member, const std::string& how) {
  Set(now, member, State::kAlive);
  Note(Notice::What::kJoined, member.who.name, how, member.who.life);
  Spread(member);
}

void Mind::Apply(Micros now, const Claim& claim, const std::string& speaker, bool all) {
  const Identity& who = claim.who;
  const bool accuses = claim.state == State::kSuspect || claim.state == State::kDead;
  const uint64_t most = accuses ? kMostNumber / 2 : kMostNumber;
  if (who.life.start > most || who.life.incarnation > most) {
    Drop("an impossible number", speaker);
    return;
  }
  const std::vector<std::string> accusers =
      claim.accusers.empty() ? std::vector<std::string>{speaker} : claim.accusers;
  Member* known = Find(who.name);
  if (known == nullptr) {
    // Of one that nobody here knew, its end is no news; or it would go round for ever.
    if (claim.state == State::kDead || claim.state == State::kLeft) return;
    if (members_.size() + 1 >= rules_.most_members) return Drop("too many members", speaker);
    if (!all && !MayBringIn(now, speaker)) return Drop("too many names at once", speaker);
    Member& member = members_[who.name];
    member.who = who;
    member.state = State::kLeft;
    BeginLife(now, member, speaker);
    if (accuses) Accuse(now, member, accusers, claim.refused);
    return;
  }
  Member& member = *known;
  if (who.life.start < member.who.life.start) return;
  if (who.life.start > member.who.life.start) {
    const bool was_living = Living(member.state);
    Set(now, member, State::kLeft);  // the life before
    const Identity before = std::exchange(member.who, who);
    member.highest = member.seen = 0;
    member.answered_at = 0;
    if (claim.state == State::kLeft) {
      if (was_living) Note(Notice::What::kLeft, who.name, speaker, who.life);
      Spread(member);
      return;
    }
    BeginLife(now, member, before.address == who.address ? "again" : "from " + before.address);
    if (accuses) Accuse(now, member, accusers, claim.refused);
    return;
  }
  const bool newer = who.life.incarnation > member.who.life.incarnation || !rules_.incarnations;
  if (who.life.incarnation < member.who.life.incarnation && rules_.incarnations) return;
  if (who.address != member.who.address && !accuses) {
    Drop("one life at two addresses", who.name);
    return;
  }
  switch (claim.state) {
    case State::kAlive: {
      if (!newer) return;
      if (!rules_.incarnations && member.state == State::kAlive) return;
      member.who.life.incarnation = who.life.incarnation;
      const State was = member.state;
      Set(now, member, State::kAlive);
      if (was == State::kSuspect) {
        Note(Notice::What::kCleared, who.name, speaker, who.life);
      } else if (was != State::kAlive) {
        Note(Notice::What::kReturned, who.name, speaker, who.life);
        call_fast_until_ = now + kCallFastFor;
      }
      Spread(member);
      return;
    }
    case State::kLeft:
      member.who.life.incarnation = who.life.incarnation;
      if (member.state == State::kLeft) return;
      Set(now, member, State::kLeft);
      Note(Notice::What::kLeft, who.name, speaker, who.life);
      Spread(member);
      return;
    default:
      break;
  }
  if (!Living(member.state)) {
    if (!newer) return;
    // It was accused in a time in which it must have been heard.
    member.who.life.incarnation = who.life.incarnation;
    Set(now, member, State::kAlive);
    Note(Notice::What::kReturned, who.name, speaker, who.life);
  }
  if (member.who.life.incarnation < who.life.incarnation) {
    member.who.life.incarnation = who.life.incarnation;
    if (member.state == State::kSuspect) Set(now, member, State::kAlive);
  }
  if (claim.state == State::kDead && all && member.state == State::kAlive) {
    // Halves that were parted hold each other's members dead. Whoever knows better tells the one it is about,
    // who can say so to all.
    Message told = Make(Message::Kind::kGossip);
    told.claims.push_back(claim);
    Send(member.who.address, std::move(told), false);
    return;
  }
  Accuse(now, member, accusers, claim.refused);
}

void Mind::ApplyToSelf(const Claim& claim, const std::string& speaker) {
  const Life life = claim.who.life;
  const bool accuses = claim.state != State::kAlive;
  if (life.start < self_.life.start) return;
  if (life.start > kMostNumber / 2 || life.incarnation > kMostNumber / 2) {
    return Drop("an impossible number", speaker);
  }
  if (life.start > self_.life.start) {
    if (!accuses && claim.who.address != self_.address) {
      if (std::exchange(standing_, Standing::kDouble) != Standing::kDouble) {
        Note(Notice::What::kStanding, self_.name, claim.who.address, life);
      }
      return;
    }
    // A life before this one, by a clock that stood later; or one that has ended.
    self_.life = {life.start + 1, 0};
    if (standing_ == Standing::kDouble) standing_ = Standing::kAlone;
    SpreadSelf();
    return;
  }
  if (!accuses || life.incarnation < self_.life.incarnation) return;
  Note(Notice::What::kAccused, self_.name, claim.accusers.empty() ? speaker : claim.accusers.front(), life);
  if (!rules_.refutes) return;
  self_.life.incarnation = life.incarnation + 1;
  SpreadSelf();
  const Member* member = Find(speaker);
  if (member != nullptr) Send(member->who.address, Make(Message::Kind::kGossip));
}

Micros Mind::WaitOf(const Member& member) const {
  if (!rules_.suspicion) return 0;
  if (member.refused) return rules_.wait_refused;
  const size_t others = living_.size() > 1 ? living_.size() - 1 : 0;
  const auto enough = std::min(static_cast<size_t>(rules_.accusers_enough), others);
  const size_t accusers = std::min(std::max<size_t>(member.accusers.size(), 1), std::max<size_t>(enough, 1));
  if (enough < 2) return rules_.wait_most;
  const double part = std::log(static_cast<double>(accusers)) / std::log(static_cast<double>(enough));
  return rules_.wait_most -
         static_cast<Micros>(part * static_cast<double>(rules_.wait_most - rules_.wait_least));
}

void Mind::Accuse(Micros now, Member& member, const std::vector<std::string>& accusers, bool refused) {
  bool news = false;
  if (member.state == State::kAlive) {
    Set(now, member, State::kSuspect);
    member.accusers.clear();
    member.wait_began = now;
    member.asked = false;
    Note(Notice::What::kSuspected, member.who.name, accusers.front(), member.who.life);
    news = true;
  }
  for (const std::string& accuser : accusers) {
    if (member.accusers.size() >= kMostAccusers || std::ranges::count(member.accusers, accuser) > 0) continue;
    member.accusers.push_back(accuser);
    news = true;
  }
  if (refused && !std::exchange(member.refused, true)) news = true;
  member.wait_until = member.wait_began + WaitOf(member);
  if (news) Spread(member);
}

// In the middle of the wait, who waits asks the accused itself: it may have said long ago that it lives, in a
// time in which this member heard nothing.
void Mind::AskAccused(Micros now) {
  for (const std::string& name : suspects_) {
    Member& member = members_.at(name);
    if (member.asked || now < HalfWait(member)) continue;
    member.asked = true;
    Ping(member);
  }
}

void Mind::WaitAnew(Micros now, Member& member) {
  member.wait_began = now;
  member.wait_until = now + std::max(WaitOf(member), kAgain);
  member.asked = false;
}

// Nobody dies in the eyes of those whom it answers, nor of those who have lost their own.
void Mind::EndWaits(Micros now) {
  std::vector<std::string> over;
  for (const std::string& name : suspects_) {
    if (members_.at(name).wait_until <= now) over.push_back(name);
  }
  for (const std::string& name : over) {
    Member& member = members_.at(name);
    if (member.answered_at > member.wait_began) {
      WaitAnew(now, member);
      continue;
    }
    // Who has heard nobody would not have heard its word.
    if (now < quiet_until_) {
      member.wait_until = now + kAgain;
      continue;
    }
    if (!MayAccuse(now)) {
      WaitAnew(now, member);
      continue;
    }
    Set(now, member, State::kDead);
    std::string by;
    for (const std::string& accuser : member.accusers) by += (by.empty() ? "" : ", ") + accuser;
    Note(Notice::What::kDied, name, by, member.who.life);
    Spread(member);
  }
}

bool Mind::MayAccuse(Micros now) const {
  if (!rules_.two_ears) return true;
  return standing_ == Standing::kIn && now >= quiet_until_ && now - contact_at_ <= kFreshContact;
}

void Mind::Stand(Micros now) {
  if (standing_ == Standing::kLeft || standing_ == Standing::kDouble) return;
  std::erase_if(told_dead_, [now](const auto& told) { return told.second + kToldDeadFor < now; });
  Standing standing = Standing::kIn;
  if (living_.empty()) {
    standing = Standing::kAlone;
    contact_at_ = now;  // nobody could have answered
  } else if (now - contact_at_ > rules_.alone_after ||
             told_dead_.size() >= std::min(kToldDeadBy, living_.size())) {
    standing = Standing::kCutOff;
  }
  if (std::exchange(standing_, standing) != standing) {
    for (const std::string& name : suspects_) WaitAnew(now, members_.at(name));
    catch_up_ = standing == Standing::kIn;
    Note(Notice::What::kStanding, self_.name, NameOf(standing), self_.life);
  }
}

// ---- Probes ----------------------------------------------------------------------------------------------

void Mind::Contact(Micros now, const std::string& name) {
  contact_at_ = std::max(contact_at_, now);
  if (Member* member = Find(name)) member->answered_at = now;
}

void Mind::BeginProbe(Micros now) {
  // A tenth more or less, so that those who began together don't go on in step.
  probe_at_ = now + rules_.period * 9 / 10 +
              static_cast<Micros>(DrawBelow(static_cast<size_t>(rules_.period / 5) + 1));
  if (round_.empty()) {
    round_ = living_;
    for (size_t i = round_.size(); i > 1; --i) std::swap(round_[i - 1], round_[DrawBelow(i)]);
  }
  const Member* target = nullptr;
  while (!round_.empty() && target == nullptr) {
    target = Find(round_.back());
    if (target != nullptr && !Living(target->state)) target = nullptr;
    round_.pop_back();
  }
  if (target == nullptr) return;
  probe_.emplace();
  probe_->number = Ping(*target);
  probe_->target = target->who.name;
  probe_->ask_at = now + rules_.patience;
  probe_->judge_at = now + rules_.period * 9 / 10;
}

void Mind::StepProbe(Micros now) {
  if (!probe_) return;
  const Member* target = Find(probe_->target);
  if (probe_->reached || target == nullptr || !Living(target->state)) {
    probe_.reset();
    return;
  }
  if (!probe_->asked && now >= probe_->ask_at) AskOthers(now);
  if (now >= probe_->judge_at) JudgeProbe(now);
}

std::vector<std::string> Mind::Helpers(const std::string& target) {
  // Those heard of last are the likeliest to hear; one of them is drawn from all.
  std::vector<std::string> drawn;
  const auto wanted = static_cast<size_t>(rules_.helpers);
  for (size_t i = 0; i < 4 * wanted && !living_.empty(); ++i) {
    const std::string name = AnyLiving();
    if (name != target && std::ranges::count(drawn, name) == 0) drawn.push_back(name);
  }
  if (drawn.size() > wanted) {
    std::sort(drawn.begin() + 1, drawn.end(), [this](const std::string& a, const std::string& b) {
      return members_.at(a).heard_at > members_.at(b).heard_at;
    });
    drawn.resize(wanted);
  }
  return drawn;
}

void Mind::AskOthers(Micros now) {
  const Member& target = members_.at(probe_->target);
  probe_->asked = true;
  if (!rules_.indirect) return;
  for (const std::string& helper : Helpers(probe_->target)) {
    Message ask = Make(Message::Kind::kAsk);
    ask.number = probe_->number;
    ask.about = target.who;
    Send(members_.at(helper).who.address, std::move(ask));
  }
  Message ping = Make(Message::Kind::kPing);
  ping.number = probe_->number;
  TellItself(ping, target);
  probe_->call = ++numbers_;
  calls_.push_back({probe_->call, target.who.address, std::move(ping), probe_->judge_at - now});
}

void Mind::JudgeProbe(Micros now) {
  const Probe probe = *std::exchange(probe_, std::nullopt);
  if (probe.reached) return;
  const bool witnessed = probe.refused || !probe.without.empty() || !rules_.two_ears || !rules_.indirect;
  if (!witnessed || !MayAccuse(now)) return;
  Member& target = members_.at(probe.target);
  if (!Living(target.state)) return;
  Accuse(now, target, {self_.name}, probe.refused);
  Ping(target);
}

// ---- The dead, and those never met -----------------------------------------------------------------------

void Mind::CallDead(Micros now) {
  if (now < call_dead_at_) return;
  call_dead_at_ = now + (now < call_fast_until_ ? kCallFast : rules_.call_dead_every);
  // One from all that are known, where there are any dead: they are few, or half of all.
  if (members_.size() == living_.size()) return;
  const size_t from = DrawBelow(members_.size());
  auto it = std::next(members_.begin(), static_cast<std::ptrdiff_t>(from));
  for (size_t i = 0; i < members_.size(); ++i, ++it) {
    if (it == members_.end()) it = members_.begin();
    if (it->second.state == State::kDead) break;
  }
  if (it == members_.end() || it->second.state != State::kDead) return;
  Ping(it->second, false);
}

void Mind::Exchange(Micros now, const std::string& to) {
  exchange_at_ = now + rules_.exchange_every / 2 +
                 static_cast<Micros>(DrawBelow(static_cast<size_t>(rules_.exchange_every)));
  Message all = Make(Message::Kind::kAll);
  all.claims = AllClaims();
  calls_.push_back({++numbers_, to, std::move(all), kCallPatience});
}

// Whoever has heard nothing for a while asks for all of it.
void Mind::CatchUp(Micros now) {
  if (!catch_up_ || !rules_.exchanges || living_.empty() || now < quiet_until_) return;
  catch_up_ = false;
  Exchange(now, members_.at(AnyLiving()).who.address);
}

// While there is news, views differ by what is still on its way.
void Mind::Compare(Micros now, const Message& message) {
  if (!rules_.exchanges || message.digest == digest() || gossip_.size() > 0 || now < exchange_at_) return;
  Exchange(now, message.from.address);
}

// A seed that was never met may have others behind it: members that start together by several seeds would
// else make several clusters.
void Mind::JoinBySeed(Micros now) {
  if (now < seed_at_) return;
  std::set<std::string> unmet(seeds_.begin(), seeds_.end());
  unmet.erase(self_.address);
  const bool alone = living_.empty() || standing_ == Standing::kDouble;
  for (const std::string& name : living_) {
    if (!alone) unmet.erase(members_.at(name).who.address);
  }
  const bool young = now - began_at_ < kYoungFor;
  const Micros wait = young   ? std::min(kSeedYoung, kSeedFirst << std::min(seed_tries_, 4))
                      : alone ? kSeedMost
                              : kSeedStrange;
  seed_at_ = now + wait / 2 + static_cast<Micros>(DrawBelow(static_cast<size_t>(wait)));
  if (unmet.empty()) return;
  // One after the other: one that is dead costs a turn, and not many.
  if (seed_tries_ == 0) seed_tries_ = static_cast<int>(DrawBelow(unmet.size()));
  Exchange(now, *std::next(unmet.begin(),
                           static_cast<std::ptrdiff_t>(static_cast<size_t>(seed_tries_++) % unmet.size())));
}

void Mind::Forget(Micros now) {
  if (now < forget_at_) return;
  forget_at_ = now + kForgetEvery;
  for (auto it = members_.begin(); it != members_.end();) {
    const Member& member = it->second;
    const bool old = (member.state == State::kDead && now - member.since > rules_.forget_dead) ||
                     (member.state == State::kLeft && now - member.since > rules_.forget_left);
    if (!old) {
      ++it;
      continue;
    }
    Note(Notice::What::kForgotten, it->first, NameOf(member.state), member.who.life);
    gossip_.Forget(it->first);
    it = members_.erase(it);
  }
}

void Mind::Leave(Micros now) {
  if (standing_ == Standing::kLeft) return;
  NoticeTime(now);
  if (standing_ != Standing::kDouble) {
    for (size_t i = 0; i < std::min(kLeaveTo, 2 * living_.size()); ++i) {
      Message bye = Make(Message::Kind::kGossip);
      bye.claims.push_back({self_, State::kLeft, {}, false});
      Send(members_.at(AnyLiving()).who.address, std::move(bye));
    }
  }
  standing_ = Standing::kLeft;
  Note(Notice::What::kStanding, self_.name, NameOf(standing_), self_.life);
}

}  // namespace burlfall::cluster
