// Membership and failure detection among the balancers of a site, after SWIM and Lifeguard. Does no I/O:
// received messages, the time and the results of calls go in; datagrams, calls and notices come out. Its
// randomness comes from a seed. docs/design/cluster.md compares the designs, docs/cluster.md describes what
// operators see.
//
// A member that nobody reaches is declared dead, after a time in which it can refute the suspicion:
// - In each period one other member is pinged, in an order shuffled anew for each round. A member that
//   does not answer is pinged through a few helpers, and called on a connection.
// - A suspicion needs a second observer: a helper that did not reach the member either, or the refusal of
//   the connection by the member's own host. A member that receives no sign from anybody has lost its
//   receive path or its send path. It suspects nobody, knows that it is cut off, and its view stays as it
//   was.
// - A suspicion is sent to the suspect first, then to all. Each member waits for its own suspicion timeout;
//   more suspecting members shorten it. The suspect refutes with a higher incarnation, which ends the
//   suspicion for everybody. A received report that a member is dead counts as a suspicion too:
//   unconfirmed gossip never makes a member dead.
// - A process that was paused (its timers fired late) suspects nobody for silence in that time, and moves
//   its running suspicion timeouts by the length of the pause.
// - Dead members are remembered and pinged now and then, so that the halves of a partitioned network merge
//   again without an operator.
// - Each ping carries a digest of the view. Where two digests differ for longer than gossip takes, the two
//   members exchange their full state on a connection.
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

struct Options {
  Micros period = 500 * kMs;        // from one probe to the next
  Micros ping_timeout = 150 * kMs;  // before the indirect pings
  // Time for a suspect to refute: the minimum with `suspecting_members_for_min` suspecting members, the
  // maximum with one.
  Micros suspicion_timeout_min = 2500 * kMs;
  Micros suspicion_timeout_max = 4 * kSecond;
  Micros suspicion_timeout_refused = 1 * kSecond;  // where the suspect's host refused the connection
  int suspecting_members_for_min = 3;
  int indirect_ping_count = 3;         // helpers per probe
  Micros cut_off_after = 3 * kSecond;  // without an answer from anybody
  Micros pause_threshold = 250 * kMs;  // a timer that is later than this means that the process was paused
  Micros dead_ping_interval = 2 * kSecond;
  Micros full_sync_interval = 2 * kSecond;  // pause between full-state exchanges, half more or less
  Micros dead_retention = 2 * 3600 * kSecond;
  Micros left_retention = 60 * kSecond;
  size_t max_members = 2000;  // including dead members and those that left
  // Switches for experiments that disable one mechanism.
  bool detect_own_pauses = true;
  bool require_second_observer = true;
  bool indirect_pings = true;
  bool refutation = true;
  bool full_sync = true;
  bool incarnations = true;
  bool suspicion = true;
};

// A member's status as it sees itself.
enum class SelfStatus {
  kAlone,      // knows of no living member but itself
  kConnected,  // other members answer it
  kCutOff,     // nobody answers it, or others report that they hold it dead: its view is the last known one
  kDuplicateName,  // another process uses its name; it sends nothing
  kLeft,
};
const char* NameOf(SelfStatus status);

struct Outgoing {
  std::string to;
  Message message;
};

// One request on a connection: `message` is sent, and one message comes back. The caller reports the result
// by OnCallEnded().
struct Call {
  uint64_t id = 0;
  std::string to;
  Message message;
  Micros timeout = 0;
};
enum class CallResult {
  kAnswered,
  kNoAnswer,
  kRefused,  // refused, or reset before an answer: the host is up, and the process is not
};

// A change for the log and for tests.
struct Notice {
  enum class What {
    kJoined,  // a new member, or a known one in a new process generation
    kSuspected,
    kCleared,  // it refuted the suspicion
    kDied,
    kReturned,  // from the dead, in the same process generation
    kLeft,
    kSelfSuspected,  // others suspect this member
    kSelfStatus,     // the status of this member changed
    kPaused,         // this process was paused for `span`
    kForgotten,      // an entry of a dead member or one that left was removed
    kDropped,        // a message or update was dropped; `by` holds the reason
  };
  What what = What::kJoined;
  std::string who;
  std::string by;  // the suspecting or reporting member, or the reason
  Generation generation;
  Micros span = 0;
};

// An entry of the view.
struct Member {
  Identity who;
  State state = State::kAlive;
  Micros since = 0;  // in this state
  std::vector<std::string> suspected_by;
  bool refused = false;           // the suspect's host refused a connection
  Micros suspicion_began_at = 0;  // of a suspect
  Micros suspicion_ends_at = 0;
  bool rechecked = false;  // this member pinged the suspect in the middle of the timeout
  Micros acked_at = 0;     // when it last answered a ping of this member; 0: never
  Micros received_at = 0;  // last message from it, its facts included; 0: never
  Facts facts;
  uint64_t highest_sequence = 0;  // of its datagrams
  uint64_t seen_window = 0;       // bit i: the datagram highest_sequence - i was received, for the last 64
  size_t living_index = 0;        // its position in `living_`
};

// One probe of one member: a ping, and where that is not answered, indirect pings and a call.
struct Probe {
  uint64_t request_id = 0;
  std::string target;
  Micros indirect_at = 0;  // when the indirect pings and the call go out
  Micros finish_at = 0;
  bool indirect_sent = false;
  bool reached = false;
  bool refused = false;
  uint64_t call_id = 0;
  std::set<std::string> unreached_by;  // helpers that did not reach the target either
};

class FailureDetector {
 public:
  // `seeds`: addresses through which it joins. `seed`: of its random numbers.
  FailureDetector(Options options, Identity self, std::vector<std::string> seeds, uint64_t seed);

  void Start(Micros now);
  // Takes a datagram, or the answer to a call (OnCallEnded() reports the call as well).
  void OnMessage(Micros now, const Message& message);
  // Returns the answer to a kPing or kFullState received on a connection; none where it gives no answer.
  std::optional<Message> AnswerCall(Micros now, const Message& request);
  void OnCallEnded(Micros now, uint64_t id, CallResult result);
  // Counts received bytes that were no valid message, by reason.
  void CountDropped(const std::string& why, const std::string& from) { Drop(why, from); }
  void Tick(Micros now);
  Micros next_tick_at() const;  // when Tick() is due next; kNever: not at all
  void Leave(Micros now);       // gracefully; the caller sends the outgoing datagrams before the process ends
  void SetFacts(Facts facts) { facts_ = std::move(facts); }

  std::vector<Outgoing> TakeOutgoing();
  std::vector<Call> TakeCalls();
  std::vector<Notice> TakeNotices();

  const Identity& self() const { return self_; }
  const Facts& facts() const { return facts_; }
  SelfStatus status() const { return status_; }
  // All known members by name, including the dead and those that left, without this one.
  const std::map<std::string, Member>& members() const { return members_; }
  size_t alive_count() const { return living_.size() + 1; }  // alive or suspect, including this one
  uint64_t digest() const;
  // The largest number of living members within the last `span`. A share computed from it does not grow as
  // soon as other members are lost from view.
  size_t MaxAliveWithin(Micros now, Micros span) const;
  const std::map<std::string, uint64_t>& dropped() const { return dropped_; }  // counts by reason

 private:
  struct IndirectPing {  // a ping on behalf of another member
    std::string requester;
    uint64_t request_id = 0;  // of the requester
    Identity ping_target;
    Micros deadline = 0;
  };

  uint64_t NextRandom();
  size_t RandomBelow(size_t n) { return static_cast<size_t>(NextRandom() % n); }
  void DetectOwnPause(Micros now);
  void AddNotice(Notice::What what, const std::string& who, const std::string& by = "",
                 Generation generation = {}, Micros span = 0);
  void Drop(const std::string& why, const std::string& who);
  Message MakeMessage(Message::Kind kind) const;
  void AddUpdateAboutReceiver(Message& message, const Member& to) const;
  uint64_t RegisterPing(const std::string& to);  // returns the request id of the next ping
  uint64_t SendPing(const Member& to, bool with_updates = true);
  void SendPingResult(const IndirectPing& indirect_ping, bool reached);
  void Send(const std::string& to, Message message, bool with_updates = true);
  bool AcceptSequence(Member& member, uint64_t sequence);

  // False: of this message, only what it says about this member counts.
  bool ProcessSender(Micros now, const Message& message, bool datagram);
  void ProcessUpdates(Micros now, const Message& message, bool believed, bool from_full_state);
  void MarkJoined(Micros now, Member& member, const std::string& details);
  void Apply(Micros now, const Update& update, const std::string& sender, bool from_full_state);
  void ApplyToSelf(const Update& update, const std::string& sender);
  void Suspect(Micros now, Member& member, const std::vector<std::string>& suspected_by, bool refused);
  void SetState(Micros now, Member& member, State state);
  void QueueUpdate(const Member& member);
  void QueueSelfUpdate();
  Update UpdateOf(const Member& member) const;
  std::vector<Update> AllUpdates() const;
  Micros SuspicionTimeoutOf(const Member& member) const;
  Member* Find(const std::string& name);
  bool MayIntroduce(Micros now, const std::string& sender);
  void RecordNextTick(Micros now) { planned_tick_at_ = std::max(now, next_tick_at()); }

  void StartProbe(Micros now);
  void AdvanceProbe(Micros now);
  void FinishProbe(Micros now);
  void ProbeIndirectly(Micros now);
  void RecordAck(Micros now, const std::string& name);
  void RecheckSuspects(Micros now);
  void RestartSuspicion(Micros now, Member& member);
  void ExpireSuspicions(Micros now);
  void SyncIfBehind(Micros now);
  void PingDead(Micros now);
  void StartFullSync(Micros now, const std::string& to);
  void JoinThroughSeeds(Micros now);
  void SyncIfDigestsDiffer(Micros now, const Message& message);
  void RemoveExpired(Micros now);
  void UpdateStatus(Micros now);
  bool MaySuspect(Micros now) const;
  std::vector<std::string> ChooseHelpers(const std::string& target);
  std::string RandomLiving() { return living_[RandomBelow(living_.size())]; }

  const Options options_;
  Identity self_;
  const std::vector<std::string> seeds_;
  uint64_t random_state_;
  Facts facts_;
  SelfStatus status_ = SelfStatus::kAlone;
  std::map<std::string, Member> members_;
  std::vector<std::string> living_;  // alive or suspect, in no order
  std::set<std::string> suspects_;
  uint64_t digest_ = 0;
  GossipQueue gossip_queue_;

  uint64_t last_sequence_ = 0;
  uint64_t last_request_id_ = 0;
  std::optional<Probe> probe_;
  Micros next_probe_at_ = 0;
  std::vector<std::string> round_;  // members still to be probed in this round
  std::map<uint64_t, IndirectPing> indirect_pings_;
  std::map<uint64_t, std::string> remembered_pings_;  // receivers of the last pings, by request id

  Micros planned_tick_at_ = 0;  // what next_tick_at() last returned
  Micros started_at_ = 0;
  Micros no_verdict_until_ = 0;
  Micros last_contact_at_ = 0;  // when another member last answered
  // Members that hold this one dead, and when they last reported it.
  std::map<std::string, Micros> reported_dead_by_;
  bool sync_needed_ = false;
  Micros gossip_at_ = 0;
  Micros dead_ping_at_ = 0;
  Micros full_sync_not_before_ = 0;
  Micros next_seed_at_ = 0;
  int seed_tries_ = 0;
  Micros next_expiry_at_ = 0;
  // By sender: the start of the current second, and the number of unknown names it has introduced since.
  std::map<std::string, std::pair<Micros, int>> introductions_;
  // Larger numbers of living members than now: when each ended, and the number, in falling order.
  std::deque<std::pair<Micros, size_t>> alive_peaks_;
  Micros fast_dead_pings_until_ = 0;  // set when a dead member returns

  std::vector<Outgoing> outgoing_;
  std::vector<Call> calls_;
  std::vector<Notice> notices_;
  std::map<std::string, uint64_t> dropped_;
};

}  // namespace burlfall::cluster

#endif  // BURLFALL_CLUSTER_FAILURE_DETECTOR_H_
