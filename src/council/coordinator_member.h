// The council as a member runs it: the core (src/consensus) between files, connections and timers; the state
// that the log makes; the works that this member asks to own, and its acts under their epochs; what it obeys
// of others' acts. Nothing is decided here. A balancer's own service waits for none of it.
#ifndef BURLFALL_COUNCIL_COUNCIL_H_
#define BURLFALL_COUNCIL_COUNCIL_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "config/council_settings.h"
#include "consensus/core.h"
#include "council/links.h"
#include "council/state.h"
#include "council/store.h"
#include "council/view.h"
#include "freeze/incident_detector.h"
#include "freeze/local_gate.h"
#include "freeze/permit.h"
#include "io/machine.h"
#include "observe/log.h"
#include "owner/executor.h"
#include "owner/holder.h"
#include "owner/lease_expiry.h"

namespace burlfall {

class Council {
 public:
  struct Setup {
    std::string name;
    // The files' and the socket's path, without their endings; the folder is `folder`.
    std::string stem;
    std::string folder;
    // What the fleet looks like from here, asked about once a second of whoever owns the freeze.
    struct Sight {
      freeze::IncidentKind kind = freeze::IncidentKind::kZoneDown;
      freeze::Scope scope;
      double share = 0;
    };
    std::function<std::vector<Sight>()> sights = [] { return std::vector<Sight>(); };
  };

  // `log` and `counters` must outlive it.
  Council(Machine& machine, const CouncilSettings& settings, Setup setup, Log& log, Counters& counters);
  ~Council();

  // Binds the address, and tries again for as long as it can't be had: the process before may still hold it,
  // and with it the disk.
  void Start();
  // Lets go of address, disk and socket at once, and without a word. Whoever waits in Ask() is refused.
  void Shut();
  void Leave();  // in order: gives up what it owns, hands the lead over

  // Whether a change of one step may begin now; it is then told by Done().
  struct Permission {
    owner::Error error = owner::Error::kNone;
    std::string text;       // of an error: what stands against it, and what to do
    uint64_t incident = 0;  // that forbids it; 0: none
    Micros retry = 0;       // when to ask again
    uint64_t change = 0;    // 0: begun without the council, as an emergency
    uint64_t epoch = 0;
  };
  // `by` and `reason` break the glass of an incident, and let an emergency go on without a majority; both or
  // none.
  Task<Permission> Ask(freeze::ChangeKind kind, freeze::Scope scope, std::string by, std::string reason);
  // Once the council knows, or after a second; it is told until it knows.
  Task<> Done(Permission permission);

 private:
  struct Asked {
    explicit Asked(Scheduler& scheduler) : came(scheduler) {}
    Event came;
    std::optional<council::Word> answer;
  };
  struct Waiting {  // for an entry of this term
    uint64_t term = 0;
    uint64_t link = 0;
    uint64_t number = 0;
  };
  struct Reading {
    uint64_t link = 0;
    uint64_t number = 0;
    std::string work;
  };
  struct Held {  // a work that this member wants
    Held(Scheduler& scheduler, owner::LeaseHolder its) : holder(std::move(its)), moved(scheduler) {}
    owner::LeaseHolder holder;
    uint64_t acts = 0;
    Micros act_at = 0;
    Event moved;
    Task<> task;
  };
  struct Act {
    council::Word word;
    uint64_t link = 0;  // 0: its own
  };
  // Of another voter, by its own word. What it promised is on its disk: it never comes back with less.
  struct Known {
    uint64_t disk = 0;
    uint64_t last = 0;
    std::string address;
    uint64_t term = 0;    // in which it last promised anything
    uint64_t agreed = 0;  // in that term: its log through here
  };
  struct Asker {
    std::unique_ptr<Channel> channel;
    bool over = false;
    Task<> task;
  };

  // The ways in.
  Task<> Open();
  void OpenDisk();
  void BeginCore(consensus::PersistentState held, bool may_vote);
  Task<> Beat();
  Task<> HearDisk();
  Task<> HearEpochDisk();
  void Heard(council::Links::Link& from, std::string_view frame);
  void HeardWord(council::Links::Link& from, council::Word word);
  void Dropped(const char* why, const std::string& from);

  // The core's way round.
  void Settle();
  void Take(const consensus::Applied& applied);
  void Carry(const owner::Effects& effects);
  void Tell(const consensus::Notice& notice);
  void LeadOn();  // what a leader proposes by itself
  bool Leads() const { return core_ && core_->role() == consensus::Role::kLeader; }
  bool MajorityLost() const;
  void Promised(const consensus::Message& message);
  bool VotedIn() const { return core_ && core_->is_voter(); }
  const std::string& AddressOf(const std::string& name) const;
  std::string LeaderAddress() const;
  std::string Target();
  void SnapshotIfDue();

  // Proposals, reads and calls, here and from others.
  void Handle(const council::Word& word, uint64_t link);
  void Reply(uint64_t link, council::Word word);
  Task<council::Word> AskLeader(council::Word word, Micros until);
  void Post(std::string data);
  council::Word Call(const std::string& words);

  // Changes and incidents.
  Task<std::optional<council::Came>> CameOf(uint64_t index, Micros until);
  Task<std::optional<freeze::Effect>> Agree(freeze::Command command, Micros until, owner::Error& error);
  void CarryFreeze(const freeze::Effects& effects);
  void SyncLapse();
  void FinishChanges();
  Task<std::string> Incident(std::string words);
  void Look(uint64_t epoch);

  // Works and acts.
  Task<> Own(Held& held);
  std::string WorkOf(const Held& held) const;
  void SendAct(Held& held, uint64_t epoch);
  void Obey(const council::Word& word, uint64_t link);
  void SettleActs();
  Task<> Learn();

  // Who asks.
  Task<> Await();
  Task<> Serve(Asker& asker);
  Task<std::string> Answer(std::string words);
  Task<std::string> BeginLog(uint64_t floor);
  council::View ViewNow();
  std::vector<std::string> Missing() const;
  void Note(const std::string& line);
  std::string Hello(council::Word::Kind kind, owner::Error error = owner::Error::kNone) const;

  Machine& machine_;
  const CouncilSettings settings_;
  const Setup setup_;
  Log& log_;
  Counters& counters_;
  const Address listen_;
  const owner::ProcessId self_;
  bool open_ = false;
  bool left_ = false;
  bool shut_ = false;

  std::optional<council::Store> store_;
  std::string fault_;  // of the disk
  std::unique_ptr<DurableWriter> disk_;
  uint64_t disk_done_ = 0;
  std::deque<uint64_t> writing_;  // the core's numbers; 0: the beginning of the log
  bool began_ = false;            // that one is on the disk
  std::optional<consensus::Core> core_;
  std::optional<consensus::Follower> follower_;
  std::deque<std::string> joining_;  // names, which this leader brings in
  std::map<std::string, Known> known_;

  council::State state_;
  uint64_t applied_ = 0;
  uint64_t saved_ = 0;  // through this entry the last snapshot was made
  owner::LeaseExpiry lapse_;
  owner::LeaseExpiry freeze_lapse_;
  std::map<std::string, owner::Lease> freeze_leases_;  // that are counted
  std::map<uint64_t, council::Came> recent_;           // the last that were carried out
  std::list<Event*> on_applied_;
  uint64_t requests_ = 0;
  std::map<uint64_t, freeze::Command> finishing_;  // by change: to be told until it has ended
  Micros finish_at_ = 0;
  const freeze::Rules freeze_rules_;
  freeze::LocalGate gate_;
  freeze::IncidentDetector sights_;
  uint64_t sights_epoch_ = 0;  // of the freeze, for which they began
  Micros led_on_at_ = 0;

  uint64_t numbers_ = 0;
  std::map<uint64_t, Asked*> asked_;
  std::map<uint64_t, std::vector<Waiting>> waiting_;  // by index
  std::map<uint64_t, Reading> reads_;                 // by token
  std::string hint_;                                  // the leader's address, as somebody said
  size_t turn_ = 0;

  std::list<std::unique_ptr<Held>> held_;
  std::optional<owner::Executor> executor_;
  std::unique_ptr<DurableWriter> epoch_disk_;
  uint64_t epochs_done_ = 0;
  std::deque<uint64_t> epochs_writing_;
  std::deque<Act> acts_;
  std::set<std::string> untold_;
  std::map<std::string, uint64_t> obeys_;  // the epoch that was told of last
  std::map<std::string, uint64_t> act_links_;

  std::vector<std::string> history_;
  std::set<std::string> dropped_;
  bool settling_ = false, settle_again_ = false;
  std::unique_ptr<ChannelListener> asked_at_;
  std::list<std::unique_ptr<Asker>> askers_;
  Event stir_;
  Event learn_;
  Event begun_;
  Event late_;
  std::optional<council::Links> links_;
  Task<> opening_;  // the tasks last: what they use must outlive them
  Task<> beating_;
  Task<> hearing_disk_;
  Task<> hearing_epochs_;
  Task<> learning_;
  Task<> awaiting_;
};

}  // namespace burlfall

#endif  // BURLFALL_COUNCIL_COUNCIL_H_
