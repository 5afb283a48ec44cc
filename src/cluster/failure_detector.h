// A member's mind: who else is there. It decides, and does nothing: what was heard, the time, and what came
// of its calls go in; datagrams, calls and notices come out. Its chance is a seed. docs/design/cluster.md
// weighs the ways, docs/cluster.md tells operators what they see.
//
// Whom nobody reaches is out, after a while in which it may say otherwise:
// - in each period one other, in an order drawn anew for each round, is pinged; who doesn't answer is asked
// after
//   through three helpers, and called on a connection;
// - *an accusation takes two pairs of ears*: it is made only where a helper says that it found no way either,
// or
//   the accused's own machine answers that nobody is there. Whoever gets no sign from anybody has lost its
//   ears, or its voice, and accuses nobody: it knows that it is cut off, and its view stays as it was;
// - an accusation is told to the accused first, then to all. Each member waits by itself; more accusers
// shorten
//   the wait. The accused says with a higher incarnation that it lives, and that ends it, for all. A word
//   that somebody is dead is an accusation as well: nobody dies of a rumour;
// - whoever stood still (its timers came late) accuses nobody for silence in that time, and its waits begin
//   where they stood;
// - the dead are remembered, and called now and then: a network that was cut in halves grows together by
// itself;
// - each ping carries a digest of the view. Where two differ for longer than gossip takes, they tell each
// other
//   all, on a connection.
#ifndef BURLFALL_CLUSTER_FAILURE_DETECTOR_H_
#define BURLFALL_CLUSTER_FAILURE_DETECTOR_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/gossip.h"
#include "cluster/message.h"
#include "io/time.h"

namespace burlfall::cluster {

struct Rules {
  Micros period = 500 * kMs;          // from one probe to the next
  Micros patience = 150 * kMs;        // for the answer to a ping, before others are asked
  Micros wait_least = 2500 * kMs;     // for an accused's own word, with enough accusers
  Micros wait_most = 4 * kSecond;     // likewise, with one
  Micros wait_refused = 1 * kSecond;  // where its machine said that nobody is there
  int accusers_enough = 3;
  int helpers = 3;
  Micros alone_after = 3 * kSecond;  // without an answer from anybody: cut off
  Micros late_is_pause = 250 * kMs;  // a timer that comes so much late
  Micros call_dead_every = 2 * kSecond;
  Micros exchange_every = 2 * kSecond;  // at most
  Micros forget_dead = 2 * 3600 * kSecond;
  Micros forget_left = 60 * kSecond;
  size_t most_members = 2000;
  // Taken away one by one to see what each is for.
  bool own_pauses = true;
  bool two_ears = true;
  bool indirect = true;
  bool refutes = true;
  bool exchanges = true;
  bool incarnations = true;
  bool suspicion = true;
};

// Where a member stands, as it sees itself.
enum class Standing {
  kAlone,   // has heard of nobody else
  kIn,      // others answer it
  kCutOff,  // they don't, or say that they hold it dead: its view is what it last knew
  kDouble,  // another process goes by its name; it is silent
  kLeft,
};
const char* NameOf(Standing standing);

struct Outgoing {
  std::string to;
  Message message;
};

// One question on a connection: `message` goes out, and one comes back. What came of it is told by Called().
struct Call {
  uint64_t id = 0;
  std::string to;
  Message message;
  Micros patience = 0;
};
enum class CallEnd {
  kAnswered,
  kSilent,
  kRefused,  // nobody listens there, or it was reset before an answer: there is a machine, and no process
};

struct Notice {
  enum class What {
    kJoined,  // a new member, or one that came back in a new life
    kSuspected,
    kCleared,  // it said that it lives
    kDied,
    kReturned,  // from the dead, in the same life
    kLeft,
    kAccused,   // this member itself, by others
    kStanding,  // its own
    kPaused,    // it stood still; `span`
    kForgotten,
    kDropped,  // a message or claim, for a reason
  };
  What what = What::kJoined;
  std::string who;
  std::string by;  // who accused, or why
  Life life;
  Micros span = 0;
};

// A line of the view.
struct Member {
  Identity who;
  State state = State::kAlive;
  Micros since = 0;  // in this state
  std::vector<std::string> accusers;
  bool refused = false;
  Micros wait_began = 0;  // of a suspect
  Micros wait_until = 0;
  bool asked = false;      // by this member, in the middle of the wait
  Micros answered_at = 0;  // this member's own ping; 0: never
  Micros heard_at = 0;     // anything from it, its facts with it; 0: never
  Facts facts;
  uint64_t highest = 0;  // of its datagrams, and which of the 64 before have come
  uint64_t seen = 0;
  size_t place = 0;  // among the living
};

// One round of asking after one member.
struct Probe {
  uint64_t number = 0;
  std::string target;
  Micros ask_at = 0;  // others, and call
  Micros judge_at = 0;
  bool asked = false;
  bool reached = false;
  bool refused = false;
  uint64_t call = 0;
  std::set<std::string> without;  // helpers that found no way either
};

class Mind {
 public:
  Mind(Rules rules, Identity self, std::vector<std::string> seeds, uint64_t seed);

  void Begin(Micros now);
  // A datagram, or what came back on a call (Called() is told of it as well).
  void Heard(Micros now, const Message& message);
  // What to say to one that called with kPing or kAll.
  std::optional<Message> Answer(Micros now, const Message& asked);
  void Called(Micros now, uint64_t id, CallEnd how);
  // Something came that is no message for it; counted by reason.
  void Dropped(const std::string& why, const std::string& from) { Drop(why, from); }
  void Tick(Micros now);
  Micros next_at() const;  // Tick() has something to do then
  void Leave(Micros now);  // in order; what goes out of it is to be sent before the end
  void Tell(Facts facts) { facts_ = std::move(facts); }

  std::vector<Outgoing> TakeOutgoing();
  std::vector<Call> TakeCalls();
  std::vector<Notice> TakeNotices();

  const Identity& self() const { return self_; }
  const Facts& facts() const { return facts_; }
  Standing standing() const { return standing_; }
  // All that are known, by name, the dead and those that left among them, without itself.
  const std::map<std::string, Member>& members() const { return members_; }
  size_t alive() const { return living_.size() + 1; }  // alive or suspect, with itself
  uint64_t digest() const;
  // How many there may be at most, by what was known within `span`: deaths don't shrink it before, so that
  // whoever shares something by this number doesn't take more because others were lost from sight.
  size_t MostWithin(Micros now, Micros span) const;
  const std::map<std::string, uint64_t>& dropped() const { return dropped_; }

 private:
  struct Duty {  // a ping for somebody else
    std::string asker;
    uint64_t number = 0;  // of the asker
    Identity about;
    Micros until = 0;
  };

  uint64_t Draw();
  size_t DrawBelow(size_t n) { return static_cast<size_t>(Draw() % n); }
  void NoticeTime(Micros now);
  void Note(Notice::What what, const std::string& who, const std::string& by = "", Life life = {},
            Micros span = 0);
  void Drop(const std::string& why, const std::string& who);
  Message Make(Message::Kind kind) const;
  void TellItself(Message& message, const Member& to) const;
  uint64_t NumberOfPing(const std::string& to);  // of the next one, which is remembered
  uint64_t Ping(const Member& to, bool with_claims = true);
  void TellAsker(const Duty& duty, bool reached);
  void Send(const std::string& to, Message message, bool with_claims = true);
  bool Fresh(Member& member, uint64_t sequence);

  // False: what it says is not to be heard, but for what it says of this member.
  bool TakeSpeaker(Micros now, const Message& message, bool datagram);
  void TakeClaims(Micros now, const Message& message, bool believed, bool all);
  void BeginLife(Micros now, Member& member, const std::string& how);
  void Apply(Micros now, const Claim& claim, const std::string& speaker, bool all);
  void ApplyToSelf(const Claim& claim, const std::string& speaker);
  void Accuse(Micros now, Member& member, const std::vector<std::string>& accusers, bool refused);
  void Set(Micros now, Member& member, State state);
  void Spread(const Member& member);
  void SpreadSelf();
  Claim ClaimOf(const Member& member) const;
  std::vector<Claim> AllClaims() const;
  Micros WaitOf(const Member& member) const;
  Member* Find(const std::string& name);
  bool MayBringIn(Micros now, const std::string& speaker);
  void Planned(Micros now) { planned_ = std::max(now, next_at()); }

  void BeginProbe(Micros now);
  void StepProbe(Micros now);
  void JudgeProbe(Micros now);
  void AskOthers(Micros now);
  void Contact(Micros now, const std::string& name);
  void AskAccused(Micros now);
  void WaitAnew(Micros now, Member& member);
  void EndWaits(Micros now);
  void CatchUp(Micros now);
  void CallDead(Micros now);
  void Exchange(Micros now, const std::string& to);
  void JoinBySeed(Micros now);
  void Compare(Micros now, const Message& message);
  void Forget(Micros now);
  void Stand(Micros now);
  bool MayAccuse(Micros now) const;
  std::vector<std::string> Helpers(const std::string& target);
  std::string AnyLiving() { return living_[DrawBelow(living_.size())]; }

  const Rules rules_;
  Identity self_;
  const std::vector<std::string> seeds_;
  uint64_t draws_;
  Facts facts_;
  Standing standing_ = Standing::kAlone;
  std::map<std::string, Member> members_;
  std::vector<std::string> living_;  // alive or suspect, in no order
  std::set<std::string> suspects_;
  uint64_t digest_ = 0;
  Gossip gossip_;

  uint64_t sequence_ = 0;
  uint64_t numbers_ = 0;
  std::optional<Probe> probe_;
  Micros probe_at_ = 0;
  std::vector<std::string> round_;  // still to be probed in this one
  std::map<uint64_t, Duty> duties_;
  std::map<uint64_t, std::string> pings_;  // the last ones, by number

  Micros planned_ = 0;  // the next tick, as it was told
  Micros began_at_ = 0;
  Micros quiet_until_ = 0;
  Micros contact_at_ = 0;                    // somebody answered
  std::map<std::string, Micros> told_dead_;  // by whom this member is held dead
  bool catch_up_ = false;
  Micros gossip_at_ = 0;
  Micros call_dead_at_ = 0;
  Micros exchange_at_ = 0;  // not before
  Micros seed_at_ = 0;
  int seed_tries_ = 0;
  Micros forget_at_ = 0;
  std::map<std::string, std::pair<Micros, int>> strangers_;  // names that a member brought in a second
  std::deque<std::pair<Micros, size_t>> most_;  // counts that were larger, and until when; falling
  Micros call_fast_until_ = 0;                  // the dead, as one of them has returned

  std::vector<Outgoing> outgoing_;
  std::vector<Call> calls_;
  std::vector<Notice> notices_;
  std::map<std::string, uint64_t> dropped_;
};

}  // namespace burlfall::cluster

#endif  // BURLFALL_CLUSTER_FAILURE_DETECTOR_H_
