#include "council/council.h"

#include <algorithm>
#include <charconv>
#include <stdexcept>
#include <system_error>
#include <utility>
#include <variant>

#include "consensus/wire.h"

namespace burlfall {

using council::Word;
using owner::Error;

namespace {

constexpr Micros kBindAgain = 100 * kMs;
constexpr Micros kTurnPause = 20 * kMs;    // before another voter is asked
constexpr Micros kAnswerWithin = kSecond;  // of one voter, before another is asked
constexpr Micros kLeadOnEvery = 100 * kMs;
constexpr Micros kTalkWithin = 20 * kSecond;  // of an operator's call
constexpr uint64_t kPassedOn = 1;             // in an act's `disk`
constexpr size_t kMostAskers = 8;
constexpr size_t kMostActs = 256;      // that wait for the disk or the council
constexpr size_t kMostWaiting = 2048;  // proposals and reads of others
constexpr size_t kMostJoining = 16;
constexpr size_t kMostRecent = 512;
constexpr size_t kMostFinishing = 256;
constexpr Micros kDoneWithin = kSecond;
constexpr Micros kFinishEvery = 300 * kMs;
constexpr Micros kYesWithin = 15 * kSecond;
constexpr size_t kHistoryLines = 400;
constexpr size_t kPiece = 32 * 1024;  // of an answer on the Unix socket

consensus::Rules RulesOf(const CouncilSettings& settings) {
  consensus::Rules rules;
  rules.heartbeat_interval = settings.heartbeat_ms * kMs;
  rules.election_min = settings.election_ms.low * kMs;
  rules.election_max = settings.election_ms.high * kMs;
  rules.resend_timeout = 2 * rules.heartbeat_interval;
  rules.keep_entries = static_cast<size_t>(settings.most_log) / 4;
  return rules;
}

// The value of an enum by its name; the settings were checked.
template <class Enum>
std::optional<Enum> ByName(const std::string& name, size_t count) {
  for (size_t i = 0; i < count; ++i) {
    if (name == freeze::NameOf(static_cast<Enum>(i))) return static_cast<Enum>(i);
  }
  return {};
}

freeze::Rules FreezeRulesOf(const CouncilFreeze& settings) {
  const auto us = [](double seconds) { return static_cast<Micros>(seconds * static_cast<double>(kSecond)); };
  freeze::Rules rules;
  rules.step_lease = us(settings.step_lease_s);
  rules.change_lease = us(settings.change_lease_s);
  rules.max_balancers_per_zone = static_cast<uint64_t>(settings.most_balancers_of_zone);
  rules.max_nodes_per_group = static_cast<uint64_t>(settings.most_nodes_of_group);
  rules.retry_after = us(settings.ask_again_s);
  rules.emergency_kinds.clear();
  for (const std::string& name : settings.emergencies) {
    if (const auto kind = ByName<freeze::ChangeKind>(name, freeze::kChangeKindCount))
      rules.emergency_kinds.push_back(*kind);
  }
  if (settings.forbids.empty()) return rules;
  rules.table.clear();
  for (const CouncilForbids& line : settings.forbids) {
    freeze::TableRow row;
    row.incident = ByName<freeze::IncidentKind>(line.incident, freeze::kIncidentKindCount);
    row.change = ByName<freeze::ChangeKind>(line.change, freeze::kChangeKindCount);
    row.reach = ByName<freeze::Reach>(line.reach, 3).value_or(freeze::Reach::kWhereScopesMeet);
    rules.table.push_back(row);
  }
  return rules;
}

Micros LeaseOf(const CouncilSettings& settings) {
  return static_cast<Micros>(settings.lease_s * static_cast<double>(kSecond));
}

Address Needed(const std::string& text) {
  const std::optional<Address> address = ReadAddress(text);
  if (!address) throw std::runtime_error("council: no address: " + text);
  return *address;
}

Error ErrorOf(consensus::Refusal refusal) {
  using R = consensus::Refusal;
  switch (refusal) {
    case R::kNone:
      return Error::kNone;
    case R::kNotLeader:
      return Error::kNotLeader;
    case R::kDiskLost:
      return Error::kDiskLost;
    case R::kTooLarge:
      return Error::kMalformed;
    case R::kChangeUnderWay:
      return Error::kVotersChanging;
    case R::kUnknownVoter:
    case R::kAlreadyVoter:
    case R::kTooManyVoters:
    case R::kLastVoter:
      return Error::kVoterUnknown;
    default:
      return Error::kNoMajority;
  }
}

std::string FirstWord(std::string& words) {
  const size_t blank = words.find(' ');
  std::string first = words.substr(0, blank);
  words.erase(0, blank == std::string::npos ? words.size() : blank + 1);
  return first;
}

std::string Failed(Error error, const std::string& more = "") {
  return std::string("!") + owner::NameOf(error) + ": " + owner::WhatToDo(error) +
         (more.empty() ? "" : " " + more) + "\n";
}

}  // namespace

Council::Council(Machine& machine, const CouncilSettings& settings, Setup setup, Log& log, Counters& counters)
    : machine_(machine),
      settings_(settings),
      setup_(std::move(setup)),
      log_(log),
      counters_(counters),
      listen_(Needed(settings.listen)),
      self_{setup_.name, static_cast<uint64_t>(std::max<Micros>(machine.WallClock(), 1))},
      lapse_(settings.drift),
      freeze_lapse_(settings.drift),
      freeze_rules_(FreezeRulesOf(settings.freeze)),
      gate_(freeze_rules_, self_),
      sights_(freeze_rules_),
      stir_(machine.scheduler()),
      learn_(machine.scheduler()),
      begun_(machine.scheduler()),
      late_(machine.scheduler()) {}

Council::~Council() = default;

// ---- The ways in -----------------------------------------------------------------------------------------

void Council::Start() {
  opening_ = Open();
  opening_.Start();
}

Task<> Council::Open() {
  bool told = false;
  while (!open_) {
    std::string why;
    links_.emplace(machine_, listen_,
                   council::Links::Hears{
                       [this](council::Links::Link& from, std::string_view frame) { Heard(from, frame); },
                       [this] { return Hello(Word::Kind::kHello); }});
    try {
      links_->Open();
      open_ = true;
    } catch (const std::system_error& e) {
      why = e.what();
    }
    if (open_) break;
    if (!std::exchange(told, true)) log_.Tell<"council_unavailable">(settings_.listen, why);
    co_await late_.Wait(machine_.Now() + kBindAgain);
  }
  const std::optional<std::string> kept = machine_.files().Read(setup_.stem + ".epochs");
  executor_.emplace(owner::ExecutorRules{.disk = true},
                    kept ? std::optional<std::string_view>(*kept) : std::nullopt);
  if (executor_->damaged()) log_.Tell<"council_disk">("damaged", setup_.stem + ".epochs");
  if (const std::optional<std::string> told_not = machine_.files().Read(setup_.stem + ".emergencies");
      told_not && !gate_.Load(*told_not)) {
    log_.Tell<"council_disk">("damaged", setup_.stem + ".emergencies");
  }
  hearing_epochs_ = HearEpochDisk();
  hearing_epochs_.Start();
  const bool votes =
      std::ranges::any_of(settings_.voters, [this](const auto& v) { return v.name == setup_.name; });
  if (votes) OpenDisk();
  std::vector<std::string> seeds;
  for (const CouncilVoter& voter : settings_.voters) {
    if (voter.name != setup_.name) seeds.push_back(voter.address);
  }
  follower_.emplace(consensus::FollowerRules{}, setup_.name, seeds, machine_.Entropy());
  follower_->Begin(machine_.Now());
  std::string why;
  asked_at_ = machine_.network().ListenOnChannel(setup_.stem + ".council", why);
  if (asked_at_) {
    awaiting_ = Await();
    awaiting_.Start();
  } else {
    log_.Tell<"council_socket_unavailable">(setup_.stem + ".council", why);
  }
  log_.Tell<"council_serving">(settings_.site, settings_.told.empty() ? settings_.listen : settings_.told,
                               votes ? "votes" : "follows", store_ ? store_->disk() : 0);
  for (const std::string& work : settings_.wants) {
    held_.push_back(std::make_unique<Held>(machine_.scheduler(), owner::LeaseHolder(self_, work, {})));
    Held& held = *held_.back();
    held.holder.Acquire();
    held.task = Own(held);
    held.task.Start();
  }
  beating_ = Beat();
  beating_.Start();
  learning_ = Learn();
  learning_.Start();
}

void Council::OpenDisk() {
  store_.emplace(setup_.stem, setup_.name);
  council::Store::Opened opened = store_->Open(machine_.files(), setup_.folder, machine_.Entropy());
  const bool fit = opened.fault == council::StoreFault::kNone;
  if (!fit) {
    fault_ = std::string(council::NameOf(opened.fault)) + ", " + opened.why;
    log_.Tell<"council_disk">(council::NameOf(opened.fault), opened.why);
    opened.held = {};
  } else {
    disk_ = machine_.Durable();
    hearing_disk_ = HearDisk();
    hearing_disk_.Start();
  }
  if (opened.cut > 0) log_.Tell<"council_disk_cut">(opened.cut);
  BeginCore(std::move(opened.held), fit);
}

void Council::BeginCore(consensus::PersistentState held, bool may_vote) {
  core_.emplace(consensus::Setup{.self = {setup_.name, store_->disk()},
                                 .rules = RulesOf(settings_),
                                 .seed = machine_.Entropy(),
                                 .initial_log_time = machine_.WallClock()});
  saved_ = held.snapshot.index;
  core_->Begin(machine_.Now(), std::move(held), may_vote);
  Settle();
}

Task<> Council::Beat() {
  while (true) {
    const Micros now = machine_.Now();
    if (core_ && now >= core_->next_at()) core_->Tick(now);
    // Whoever votes has the log from the leader. One that hears of none may have been left out by a change of
    // voters that was lost: what is agreed is the same from outside.
    const bool outside = !VotedIn() || !core_->may_vote() || !core_->leader();
    if (outside && now >= follower_->next_at()) follower_->Tick(now);
    if (Leads()) LeadOn();
    FinishChanges();
    Settle();
    std::erase_if(askers_, [](const auto& asker) { return asker->over && asker->task.Done(); });
    Micros next = kNever;
    if (core_) next = std::min(next, core_->next_at());
    if (outside) next = std::min(next, follower_->next_at());
    if (Leads())
      next = std::min({next, lapse_.next_at(), freeze_lapse_.next_at(), led_on_at_ + kLeadOnEvery});
    if (!finishing_.empty() || gate_.record_count() > 0) next = std::min(next, finish_at_);
    co_await stir_.Wait(std::max(next, now + kMs));
  }
}

Task<> Council::HearDisk() {
  while (true) {
    while (disk_done_ < disk_->done() && !writing_.empty()) {
      ++disk_done_;
      const uint64_t number = writing_.front();
      writing_.pop_front();
      ++counters_.council_flushes;
      if (number == 0) {
        began_ = true;
        begun_.Notify();
      } else if (core_) {
        core_->OnWritten(machine_.Now(), number, true);
      }
    }
    if (const std::string why = disk_->ErrorText(); !why.empty() && fault_.empty()) {
      fault_ = "failed, " + why;
      log_.Tell<"council_disk">("failed", why);
      if (core_ && !writing_.empty()) core_->OnWritten(machine_.Now(), writing_.front(), false);
      begun_.Notify();
    }
    Settle();
    stir_.Notify();
    co_await disk_->Wait();
  }
}

Task<> Council::HearEpochDisk() {
  while (true) {
    if (!epoch_disk_) {
      epoch_disk_ = machine_.Durable();
      epochs_done_ = 0;
    }
    while (epochs_done_ < epoch_disk_->done() && !epochs_writing_.empty()) {
      ++epochs_done_;
      executor_->OnWritten(epochs_writing_.front(), true);
      epochs_writing_.pop_front();
    }
    if (const std::string why = epoch_disk_->ErrorText(); !why.empty()) {
      log_.Tell<"council_disk">("failed", why);
      while (!epochs_writing_.empty()) {
        executor_->OnWritten(epochs_writing_.front(), false);
        epochs_writing_.pop_front();
      }
      epoch_disk_.reset();
      co_await late_.Wait(machine_.Now() + kBindAgain);
      continue;
    }
    SettleActs();
    co_await epoch_disk_->Wait();
  }
}

void Council::Dropped(const char* why, const std::string& from) {
  if (dropped_.insert(why).second) log_.Tell<"council_dropped">(why, from);
}

void Council::Heard(council::Links::Link& from, std::string_view frame) {
  if (left_) return;
  const std::string who = from.name.empty() ? from.stream->Peer().text : from.name;
  if (council::IsWord(frame)) {
    council::ReadWord read = council::Read(frame, settings_.site);
    if (!read.word) return Dropped(read.why, who);
    HeardWord(from, std::move(*read.word));
  } else {
    consensus::DecodeResult read = consensus::Decode(frame, settings_.site);
    if (!read.message) return Dropped(read.error, who);
    const Micros now = machine_.Now();
    if (auto* message = std::get_if<consensus::Message>(&*read.message)) {
      if (!core_ || from.stale) return;
      Promised(*message);
      core_->OnMessage(now, *message);
    } else if (auto* ask = std::get_if<consensus::FollowRequest>(&*read.message)) {
      if (core_) {
        // Owners send to voters themselves.
        from.follows =
            std::ranges::none_of(settings_.voters, [&](const auto& v) { return v.name == from.name; });
        links_->Answer(from.number, consensus::Encode(core_->HandleFollowRequest(now, *ask), settings_.site));
      }
    } else if (auto* answer = std::get_if<consensus::FollowResponse>(&*read.message)) {
      follower_->OnResponse(now, *answer);
    }
  }
  Settle();
  stir_.Notify();
}

void Council::HeardWord(council::Links::Link& from, Word word) {
  switch (word.kind) {
    case Word::Kind::kHello:
    case Word::Kind::kHelloBack:
      if (word.kind == Word::Kind::kHelloBack && word.error == Error::kVoterUnknown && fault_.empty()) {
        fault_ = "older, than what it promised to " + word.name;
        log_.Tell<"council_disk">("older", fault_);
        return;
      }
      from.name = word.name;
      from.stale = false;
      if (word.disk != 0) {
        Known& known = known_[word.name];
        from.stale = word.disk == known.disk &&
                     (word.epoch < known.term || (word.epoch == known.term && word.index < known.agreed));
        if (word.disk != known.disk) known = {};
        known.disk = word.disk;
        known.last = word.index;
        known.address = word.address;
      }
      if (known_.size() > 64) known_.erase(known_.begin());
      if (word.kind == Word::Kind::kHello)
        links_->Answer(from.number,
                       Hello(Word::Kind::kHelloBack, from.stale ? Error::kVoterUnknown : Error::kNone));
      return;
    case Word::Kind::kPropose:
    case Word::Kind::kRead:
    case Word::Kind::kCall:
      return Handle(word, from.number);
    case Word::Kind::kProposed:
    case Word::Kind::kReadBack:
    case Word::Kind::kCallBack: {
      if (word.error == Error::kNotLeader) hint_ = word.address;
      const auto it = asked_.find(word.number);
      if (it == asked_.end() || it->second->answer) return;
      it->second->answer = std::move(word);
      it->second->came.Notify();
      return;
    }
    case Word::Kind::kAct:
      return Obey(word, from.number);
    case Word::Kind::kActBack:
      if (word.error != Error::kFenced) return;
      for (const auto& held : held_) {
        if (held->holder.epoch() != word.epoch) continue;
        held->holder.OnFenced(word.epoch);
        held->moved.Notify();
      }
      // From one that follows here, of an act that was passed on to it.
      if (const auto it = act_links_.find(word.work); from.follows && it != act_links_.end())
        links_->Answer(it->second, Write(word, settings_.site));
      return;
  }
}

// An answer rests on the disk of whoever gave it.
void Council::Promised(const consensus::Message& message) {
  using Kind = consensus::Message::Kind;
  if (!message.accepted || (message.kind != Kind::kAppendResponse && message.kind != Kind::kVoteResponse))
    return;
  const auto it = known_.find(message.from.name);
  if (it == known_.end() || it->second.disk != message.from.disk || message.term < it->second.term) return;
  Known& known = it->second;
  if (message.term > known.term) known.agreed = 0;
  known.term = message.term;
  if (message.kind == Kind::kAppendResponse) known.agreed = std::max(known.agreed, message.index);
}

// More voters have come back with other disks than the log can bear.
bool Council::MajorityLost() const {
  if (!VotedIn()) return false;
  const auto lost = std::ranges::count_if(core_->voters(), [this](const consensus::Voter& voter) {
    const auto it = known_.find(voter.id.name);
    return it != known_.end() && it->second.disk != voter.id.disk;
  });
  return 2 * static_cast<size_t>(lost) >= core_->voters().size();
}

// ---- The core's way round --------------------------------------------------------------------------------

void Council::Settle() {
  if (shut_) return;
  settle_again_ = true;
  if (settling_) return;
  settling_ = true;
  while (std::exchange(settle_again_, false)) {
    if (core_) {
      for (const consensus::DiskWrite& write : core_->TakeWrites()) {
        if (!disk_ || !fault_.empty()) continue;
        writing_.push_back(write.number);
        disk_->Write(store_->Next(write));
      }
      for (const consensus::Outgoing& out : core_->TakeMessages()) {
        const bool repeats =
            out.message.kind == consensus::Message::Kind::kAppend && out.message.entries.empty();
        const std::string& address = out.address.empty() ? AddressOf(out.message.to.name) : out.address;
        if (!address.empty()) links_->Send(address, consensus::Encode(out.message, settings_.site), repeats);
      }
      for (const consensus::Applied& applied : core_->TakeApplied()) Take(applied);
      for (const consensus::ReadResult& read : core_->TakeReads()) {
        const auto it = reads_.find(read.token);
        if (it == reads_.end()) continue;
        Word back{.kind = Word::Kind::kReadBack, .number = it->second.number, .index = read.index};
        back.work = it->second.work;
        back.error = ErrorOf(read.refusal);
        back.address = read.address;
        if (back.error == Error::kNone) back.epoch = state_.owner().EpochOf(back.work);
        const uint64_t link = it->second.link;
        reads_.erase(it);
        Reply(link, std::move(back));
      }
      for (const consensus::Notice& notice : core_->TakeNotices()) Tell(notice);
      SnapshotIfDue();
    }
    if (follower_) {
      for (const consensus::Follower::Request& ask : follower_->TakeRequests())
        links_->Send(ask.address, consensus::Encode(ask.request, settings_.site), true);
      for (const consensus::Applied& applied : follower_->TakeApplied()) Take(applied);
    }
  }
  settling_ = false;
  if (links_) counters_.council_bytes_out = links_->counts().bytes_out;
  counters_.council_applied = applied_;
}

// From the core, or from a voter while it is none itself: the same entries, each once.
void Council::Take(const consensus::Applied& applied) {
  if (applied.snapshot) {
    if (applied.snapshot->index <= applied_) return;
    std::optional<council::State> state =
        applied.snapshot->data.empty() ? council::State() : council::State::Load(applied.snapshot->data);
    if (!state)
      return Dropped("a snapshot that can't be read",
                     applied.snapshot->voters.empty() ? "" : applied.snapshot->voters[0].id.name);
    state_ = std::move(*state);
    applied_ = applied.snapshot->index;
    for (Event* waiter : on_applied_) waiter->Notify();
    return;
  }
  const consensus::Entry& entry = applied.entry;
  if (entry.index <= applied_) return;
  applied_ = entry.index;
  if (entry.kind == consensus::Entry::Kind::kCommand) {
    const council::Came came = state_.Apply(entry.index, entry.log_time, entry.data);
    if (!came.known) Dropped("an entry of another build", "the log");
    Carry(came.owner);
    CarryFreeze(came.freeze);
    recent_[entry.index] = came;
    if (recent_.size() > kMostRecent) recent_.erase(recent_.begin());
  }
  for (Event* waiter : on_applied_) waiter->Notify();
  while (!waiting_.empty() && waiting_.begin()->first <= entry.index) {
    const auto [index, all] = std::move(*waiting_.begin());
    waiting_.erase(waiting_.begin());
    for (const Waiting& one : all) {
      const bool agreed = index == entry.index && one.term == entry.term;
      Reply(one.link, {.kind = Word::Kind::kProposed,
                       .number = one.number,
                       .index = index,
                       .error = agreed ? Error::kNone : Error::kNoMajority});
    }
  }
}

void Council::Carry(const owner::Effects& effects) {
  const Micros now = machine_.Now();
  using What = owner::Effect::What;
  for (const owner::Effect& effect : effects) {
    if (Leads()) {
      if (effect.what == What::kGranted || effect.what == What::kRenewed)
        lapse_.OnRenewed(now, {effect.task, effect.epoch, effect.renewed_index, effect.lease});
      if (effect.what == What::kEnded) lapse_.OnEnded(effect.task);
    }
    if (effect.what == What::kGranted) {
      log_.Tell<"council_granted">(effect.task, effect.who.name, effect.epoch);
      Note(effect.task + " goes to " + effect.who.name + ", epoch " + std::to_string(effect.epoch));
    }
    if (effect.what == What::kEnded) {
      Note(effect.task + " is no more " + effect.who.name + "'s, epoch " + std::to_string(effect.epoch) +
           ": " + owner::NameOf(effect.error));
    }
    for (const auto& held : held_) {
      const uint64_t had = held->holder.epoch();
      held->holder.OnEffect(now, effect);
      const bool owns = held->holder.owns();
      if (owns && held->holder.epoch() != had) log_.Tell<"council_owns">(effect.task, held->holder.epoch());
      if (!owns && had != 0) log_.Tell<"council_lost">(effect.task, had, owner::NameOf(effect.error));
      held->moved.Notify();
    }
  }
}

void Council::Tell(const consensus::Notice& notice) {
  using Kind = consensus::Notice::Kind;
  Note(std::string(consensus::NameOf(notice.kind)) + " term " + std::to_string(notice.term) + " " +
       notice.who.name + " " + notice.text);
  const std::string none;
  switch (notice.kind) {
    case Kind::kBecameLeader: {
      std::vector<owner::Lease> standing;
      for (const auto& [name, work] : state_.owner().tasks()) {
        if (work.owner) standing.push_back({name, work.epoch, work.renewed_index, work.lease});
      }
      lapse_.BecomeLeader(machine_.Now(), standing);
      freeze_lapse_.BecomeLeader(machine_.Now(), {});
      freeze_leases_.clear();
      SyncLapse();
      led_on_at_ = 0;
      log_.Tell<"council_leads">(notice.term);
      ++counters_.council_led;
      break;
    }
    case Kind::kSteppedDown:
      lapse_.BecomeLeader(machine_.Now(), {});
      freeze_lapse_.BecomeLeader(machine_.Now(), {});
      joining_.clear();
      log_.Tell<"council_stepped_down">(notice.term, notice.text);
      break;
    case Kind::kFollowsLeader:
      log_.Tell<"council_follows">(notice.who.name, notice.term);
      break;
    case Kind::kNoLeader:
      log_.Tell<"council_no_leader">(notice.term);
      break;
    case Kind::kVotersChanged: {
      std::string names;
      for (const consensus::Voter& voter : core_->voters())
        names += (names.empty() ? "" : ", ") + voter.id.name;
      log_.Tell<"council_voters">(names, notice.index);
      break;
    }
    case Kind::kMessageDropped:
      Dropped(notice.text.c_str(), notice.who.name);
      break;
    case Kind::kJoinFailed:
      log_.Tell<"council_join_failed">(notice.who.name, notice.text);
      break;
    case Kind::kOlderDisk:  // its own log says so too
      Dropped("what rests on an older disk", notice.who.name);
      break;
    case Kind::kDiskLost:  // told where it was found; but others may have found it
      if (!fault_.empty()) break;
      fault_ = "older, " + notice.text;
      log_.Tell<"council_disk">("older", notice.text);
      break;
    case Kind::kJoined:
    case Kind::kTransferFailed:
      break;
  }
}

// Entries that no member asked for: leases that have run out, rules that the settings changed, voters that an
// operator wants in.
void Council::LeadOn() {
  const Micros now = machine_.Now();
  for (const owner::Lease& over : lapse_.Due(now)) {
    owner::Command command;
    command.kind = owner::Command::Kind::kExpire;
    command.task = over.key;
    command.epoch = over.epoch;
    command.renewed_index = over.renewed_index;
    core_->Propose(now, council::Envelope(command));
  }
  for (const owner::Lease& over : freeze_lapse_.Due(now)) {
    freeze::Command command;
    command.kind = freeze::Command::Kind::kExpire;
    command.change = std::stoull(over.key.substr(over.key.find(' ') + 1));
    command.epoch = over.epoch;
    command.renewed_index = over.renewed_index;
    core_->Propose(now, council::Envelope(command));
  }
  if (now < led_on_at_ + kLeadOnEvery) return;
  for (const freeze::Command& end : state_.freeze().IncidentsDue(core_->log_time(now)))
    core_->Propose(now, council::Envelope(end));
  led_on_at_ = now;
  if (core_->log_time(now) >= state_.ejection().next_at()) {
    ejection::Command command;
    command.what = ejection::Command::What::kRunOut;
    core_->Propose(now, council::Envelope(command));
  }
  if (owner::Rules rules = state_.owner().rules(); rules.lease != LeaseOf(settings_)) {
    rules.lease = LeaseOf(settings_);
    owner::Command command;
    command.kind = owner::Command::Kind::kRules;
    command.rules = rules;
    core_->Propose(now, council::Envelope(command));
  }
  if (!(state_.freeze().rules() == freeze_rules_)) {
    freeze::Command command;
    command.kind = freeze::Command::Kind::kRules;
    command.rules = freeze_rules_;
    core_->Propose(now, council::Envelope(command));
  }
  if (joining_.empty()) return;
  const std::string name = joining_.front();
  for (const CouncilVoter& voter : settings_.voters) {
    if (voter.name != name) continue;
    links_->Send(voter.address, Hello(Word::Kind::kHello), true);
    const auto known = known_.find(name);
    if (known == known_.end()) return;
    const consensus::VoterId id{name, known->second.disk};
    for (const consensus::Voter& there : core_->voters()) {
      if (there.id.name != name) continue;
      if (there.id == id) {
        joining_.pop_front();
        return;
      }
      core_->ChangeVoter(now, consensus::Core::Change::kRemove, there);
      return;
    }
    core_->ChangeVoter(now, consensus::Core::Change::kAdd, {id, voter.address});
    return;
  }
  joining_.pop_front();
}

void Council::SnapshotIfDue() {
  if (!core_ || !VotedIn() || core_->commit() < applied_) return;
  if (applied_ < saved_ + static_cast<uint64_t>(settings_.most_log)) return;
  saved_ = applied_;
  core_->SaveSnapshot(machine_.Now(), applied_, state_.Save());
  settle_again_ = true;
}

// ---- Proposals, reads and calls --------------------------------------------------------------------------

// By the settings: a new voter has no log yet that would tell it.
const std::string& Council::AddressOf(const std::string& name) const {
  static const std::string kNone;
  for (const CouncilVoter& voter : settings_.voters) {
    if (voter.name == name) return voter.address;
  }
  return kNone;
}

std::string Council::LeaderAddress() const {
  auto address = [](const std::vector<consensus::Voter>& voters,
                    const consensus::VoterId& id) -> std::string {
    for (const consensus::Voter& voter : voters) {
      if (voter.id == id) return voter.address;
    }
    return "";
  };
  if (core_ && core_->leader()) {
    const std::string there = address(core_->voters(), *core_->leader());
    return there.empty() ? AddressOf(core_->leader()->name) : there;
  }
  if (follower_ && !follower_->leader().name.empty())
    return address(follower_->voters(), follower_->leader());
  return "";
}

// Whom to ask: the leader as far as it is known, else one voter after the other.
std::string Council::Target() {
  if (!hint_.empty()) return hint_;
  if (turn_ == 0) {
    if (std::string leader = LeaderAddress(); !leader.empty()) return leader;
  }
  for (size_t i = 0; i < settings_.voters.size(); ++i) {
    const CouncilVoter& voter = settings_.voters[(turn_ + i) % settings_.voters.size()];
    if (voter.name != setup_.name) return voter.address;
  }
  return "";
}

void Council::Reply(uint64_t link, Word word) {
  if (word.number == 0 && word.error != Error::kNotLeader) return;
  if (link != 0) return links_->Answer(link, Write(word, settings_.site));
  const auto it = asked_.find(word.number);
  if (it == asked_.end()) return;
  it->second->answer = std::move(word);
  it->second->came.Notify();
}

void Council::Handle(const Word& word, uint64_t link) {
  Word back;
  back.number = word.number;
  back.work = word.work;
  back.kind = word.kind == Word::Kind::kPropose ? Word::Kind::kProposed
              : word.kind == Word::Kind::kRead  ? Word::Kind::kReadBack
                                                : Word::Kind::kCallBack;
  if (!Leads()) {
    back.error = Error::kNotLeader;
    back.address = LeaderAddress();
    return Reply(link, std::move(back));
  }
  const Micros now = machine_.Now();
  if (waiting_.size() + reads_.size() > kMostWaiting) {
    back.error = Error::kTooMany;
    return Reply(link, std::move(back));
  }
  if (word.kind == Word::Kind::kPropose) {
    ++counters_.council_proposals;
    const consensus::ProposeResult proposed = core_->Propose(now, word.data);
    if (proposed.refusal == consensus::Refusal::kNone) {
      if (word.number != 0) waiting_[proposed.index].push_back({proposed.term, link, word.number});
      return;
    }
    back.error = ErrorOf(proposed.refusal);
    return Reply(link, std::move(back));
  }
  if (word.kind == Word::Kind::kRead) {
    const uint64_t token = ++numbers_;
    reads_[token] = {link, word.number, word.work};
    core_->Read(now, token);
    return;
  }
  Word called = Call(word.data);
  called.kind = Word::Kind::kCallBack;
  called.number = word.number;
  Reply(link, std::move(called));
}

// What only the leader can do: a change of voters.
Word Council::Call(const std::string& words) {
  std::string rest = words;
  const std::string what = FirstWord(rest), name = FirstWord(rest);
  Word back;
  if (what == "add") {
    const bool named =
        std::ranges::any_of(settings_.voters, [&](const auto& voter) { return voter.name == name; });
    if (!named || joining_.size() >= kMostJoining) {
      back.error = named ? Error::kTooMany : Error::kVoterUnknown;
      return back;
    }
    if (std::ranges::find(joining_, name) == joining_.end()) joining_.push_back(name);
    back.data = name + " is brought in, once it answers\n";
    return back;
  }
  back.error = Error::kVoterUnknown;
  if (what != "remove") return back;
  for (const consensus::Voter& voter : core_->voters()) {
    if (voter.id.name != name) continue;
    back.error = ErrorOf(core_->ChangeVoter(machine_.Now(), consensus::Core::Change::kRemove, voter).refusal);
    back.data = name + " votes no more, once that is agreed\n";
    return back;
  }
  return back;
}

// Until it is agreed, or answered with an error that asking again does not mend. Asked again after a leader
// fell, a command may come twice: each names its request.
Task<Word> Council::AskLeader(Word word, Micros until) {
  Word last;
  while (true) {
    if (shut_) co_return Word{.error = Error::kNoCouncil};
    word.number = ++numbers_;
    Asked asked(machine_.scheduler());
    asked_[word.number] = &asked;
    struct Gone {
      std::map<uint64_t, Asked*>& all;
      uint64_t number;
      ~Gone() { all.erase(number); }
    } gone{asked_, word.number};
    std::string to;
    if (Leads()) {
      Handle(word, 0);
    } else if (to = Target(); !to.empty()) {
      links_->Send(to, Write(word, settings_.site));
    }
    Settle();
    stir_.Notify();
    const Micros step = std::min(until, machine_.Now() + kAnswerWithin);
    while (!asked.answer && machine_.Now() < step && !shut_) co_await asked.came.Wait(step);
    if (shut_) continue;
    last = asked.answer.value_or(Word{.error = Error::kNoMajority});
    if (last.error != Error::kNotLeader && last.error != Error::kNoMajority) co_return last;
    hint_ = last.error == Error::kNotLeader && last.address != to ? last.address : "";
    if (hint_.empty()) ++turn_;
    if (machine_.Now() >= until) {
      last.error = Error::kNoMajority;
      co_return last;
    }
    const Micros pause = std::min(until, machine_.Now() + kTurnPause);
    while (machine_.Now() < pause && !shut_) co_await asked.came.Wait(pause);
  }
}

// What is lost is proposed again by whoever wants it.
void Council::Post(std::string data) {
  if (shut_) return;
  const Word word{.kind = Word::Kind::kPropose, .data = std::move(data)};
  if (Leads()) {
    Handle(word, 0);
  } else if (const std::string to = Target(); !to.empty()) {
    links_->Send(to, Write(word, settings_.site));
  }
  Settle();
  stir_.Notify();
}

// ---- Changes and incidents -------------------------------------------------------------------------------

// What came of the entry, once it is carried out here; nothing where that takes too long, or where only what
// came of many is known.
Task<std::optional<council::Came>> Council::CameOf(uint64_t index, Micros until) {
  Event applied(machine_.scheduler());
  struct Listed {
    std::list<Event*>& all;
    std::list<Event*>::iterator place;
    ~Listed() { all.erase(place); }
  } listed{on_applied_, on_applied_.insert(on_applied_.end(), &applied)};
  while (applied_ < index && machine_.Now() < until && !shut_) {
    if (!VotedIn()) follower_->PollNow(machine_.Now());
    Settle();
    stir_.Notify();
    if (applied_ < index) co_await applied.Wait(std::min(until, machine_.Now() + kTurnPause));
  }
  const auto it = recent_.find(index);
  if (it == recent_.end()) co_return std::nullopt;
  co_return it->second;
}

// The answer to a command that names its request: the first effect of it.
Task<std::optional<freeze::Effect>> Council::Agree(freeze::Command command, Micros until, Error& error) {
  command.who = self_;
  command.request = ++requests_;
  Word word{.kind = Word::Kind::kPropose, .data = council::Envelope(command)};
  const Word back = co_await AskLeader(std::move(word), until);
  error = back.error;
  if (back.error != Error::kNone) co_return std::nullopt;
  const std::optional<council::Came> came = co_await CameOf(back.index, until);
  error = Error::kStale;
  if (!came) co_return std::nullopt;
  for (const freeze::Effect& effect : came->freeze) {
    if (effect.request != command.request || effect.who != self_) continue;
    if (effect.what == freeze::Effect::What::kOverride) continue;  // beside the answer
    error = effect.what == freeze::Effect::What::kRefused ? effect.error : Error::kNone;
    co_return effect;
  }
  co_return std::nullopt;
}

Task<Council::Permission> Council::Ask(freeze::ChangeKind kind, freeze::Scope scope, std::string by,
                                       std::string reason) {
  using Kind = freeze::Command::Kind;
  const Micros until = machine_.Now() + settings_.ask_ms * kMs;
  Permission permission;
  freeze::StepPermit permit;
  freeze::Command command;
  command.kind = Kind::kBegin;
  command.change_kind = kind;
  command.scope = scope;
  command.steps = {freeze::NameOf(kind)};
  command.by = by;
  command.reason = reason;
  Micros asked = machine_.Now();
  std::optional<freeze::Effect> effect;
  if (open_ && !shut_) {
    effect = co_await Agree(command, until, permission.error);
  } else {
    permission.error = Error::kNoCouncil;
  }
  if (effect && permission.error == Error::kNone) {
    permit.OnEffect(asked, *effect);
    permission.change = effect->change;
    command = {};
    command.kind = Kind::kStep;
    command.change = effect->change;
    command.by = by;
    command.reason = reason;
    asked = machine_.Now();
    effect = co_await Agree(command, until, permission.error);
    if (effect && permission.error == Error::kNone) {
      permit.OnEffect(asked, *effect);
      permission.error = permit.MayBegin(machine_.Now());
      if (permission.error == Error::kNone) permission.error = permit.OnBegun(machine_.Now());
      permission.epoch = permit.epoch();
    }
    if (permission.error != Error::kNone && finishing_.size() < kMostFinishing) {
      command.kind = Kind::kAbandon;
      finishing_[command.change] = command;
    }
  } else if (!effect && permission.error != Error::kNone && permission.change == 0) {
    const std::vector<std::string> missing = open_ && !shut_ ? Missing() : std::vector<std::string>();
    const freeze::LocalGate::Answer local = gate_.Ask(kind, scope, by, reason, missing);
    permission.retry = local.retry_after;
    if (local.error == Error::kNone) {
      // On the disk before it goes on: it is told to the council also after a restart.
      std::string why;
      machine_.files().Replace(setup_.stem + ".emergencies", gate_.Save(), why);
      permission.error = Error::kNone;
      log_.Tell<"council_emergency">(freeze::NameOf(kind), freeze::TextOf(scope), by, reason);
      co_return permission;
    }
    for (const std::string& name : local.missing)
      permission.text += (permission.text.empty() ? "missing: " : ", ") + name;
  }
  if (permission.error == Error::kNone) co_return permission;
  if (effect) {
    permission.incident = effect->incident;
    permission.retry = effect->retry_after;
    if (effect->incident != 0) {
      permission.text.append("incident ").append(std::to_string(effect->incident));
      permission.text.append(" (").append(freeze::NameOf(effect->incident_kind)).append(", ");
      permission.text.append(freeze::TextOf(effect->scope)).append(")");
    } else if (effect->change != 0 && permission.error != Error::kNone) {
      permission.text.append("change ").append(std::to_string(effect->change));
      permission.text.append(" (").append(freeze::NameOf(effect->change_kind)).append(", ");
      permission.text.append(freeze::TextOf(effect->scope)).append(")");
    }
  }
  log_.Tell<"council_change_refused">(freeze::NameOf(kind), freeze::TextOf(scope),
                                      owner::NameOf(permission.error), permission.text);
  co_return permission;
}

Task<> Council::Done(Permission permission) {
  if (permission.change == 0 || permission.error != Error::kNone) co_return;
  if (finishing_.size() >= kMostFinishing) co_return;
  freeze::Command command;
  command.kind = freeze::Command::Kind::kStepDone;
  command.who = self_;
  command.change = permission.change;
  command.epoch = permission.epoch;
  finishing_[permission.change] = command;
  finish_at_ = 0;
  FinishChanges();
  const Micros until = machine_.Now() + kDoneWithin;
  while (state_.freeze().changes().contains(permission.change) && machine_.Now() < until && !shut_)
    co_await CameOf(applied_ + 1, until);
}

// Told until the own replica says that the change has ended.
void Council::FinishChanges() {
  const Micros now = machine_.Now();
  if (now < finish_at_ || (finishing_.empty() && gate_.record_count() == 0)) return;
  finish_at_ = now + kFinishEvery;
  std::erase_if(finishing_, [this](const auto& one) {
    return applied_ >= one.first && !state_.freeze().changes().contains(one.first);
  });
  std::vector<std::string> out;
  for (auto& [change, command] : finishing_) {
    command.who = self_;
    command.request = ++requests_;
    out.push_back(council::Envelope(command));
  }
  for (const freeze::Command& command : gate_.Unconfirmed()) out.push_back(council::Envelope(command));
  for (std::string& data : out) Post(std::move(data));
}

void Council::CarryFreeze(const freeze::Effects& effects) {
  using What = freeze::Effect::What;
  if (!effects.empty()) SyncLapse();
  for (const freeze::Effect& effect : effects) {
    sights_.OnApplied(machine_.Now(), effect);
    const size_t kept = gate_.record_count();
    gate_.OnApplied(effect);
    if (gate_.record_count() != kept) {
      std::string why;
      machine_.files().Replace(setup_.stem + ".emergencies", gate_.Save(), why);
    }
    std::string scope = freeze::TextOf(effect.scope);
    const auto incident = state_.freeze().incidents().find(effect.incident);
    if (incident != state_.freeze().incidents().end()) scope = freeze::TextOf(incident->second.scope);
    if (effect.what == What::kOpened)
      log_.Tell<"council_incident">(effect.incident, "opened", scope, effect.pending);
    if (effect.what == What::kIncidentInForce)
      log_.Tell<"council_incident">(effect.incident, "in force", scope, 0);
    if (effect.what == What::kIncidentClosed)
      log_.Tell<"council_incident">(effect.incident, "over", scope, 0);
    if (effect.what == What::kOverride) log_.Tell<"council_glass">(effect.change, effect.by, effect.reason);
    if (effect.what == What::kHold && effect.who == self_)
      log_.Tell<"council_hold">(effect.change, effect.incident,
                                effect.step_policy == freeze::StepPolicy::kUndo ? "undo" : "finish");
  }
}

// What the owner of the freeze sees becomes incidents, and ends them.
void Council::Look(uint64_t epoch) {
  const Micros now = machine_.Now();
  if (std::exchange(sights_epoch_, epoch) != epoch) sights_.BecomeCoordinator(now, state_.freeze(), epoch);
  for (const Setup::Sight& sight : setup_.sights()) {
    for (freeze::Command& command : sights_.OnObservation(now, sight.kind, sight.scope, sight.share)) {
      command.who = self_;
      command.request = ++requests_;
      if (command.by.empty()) command.by = setup_.name;
      Post(council::Envelope(command));
    }
  }
}

// Leases of changes and grants, as this leader's clock counts them.
void Council::SyncLapse() {
  if (!Leads()) return;
  const Micros now = machine_.Now();
  std::map<std::string, owner::Lease> standing;
  for (owner::Lease& lease : state_.freeze().Leases()) standing.emplace(lease.key, std::move(lease));
  for (const auto& [key, lease] : freeze_leases_) {
    if (!standing.contains(key)) freeze_lapse_.OnEnded(key);
  }
  for (const auto& [key, lease] : standing) {
    const auto before = freeze_leases_.find(key);
    if (before == freeze_leases_.end() || before->second.renewed_index != lease.renewed_index ||
        before->second.epoch != lease.epoch)
      freeze_lapse_.OnRenewed(now, lease);
  }
  freeze_leases_ = std::move(standing);
}

// "open SCOPE BY REASON" and "close NUMBER BY REASON". The answer to the first is the promise: it comes once
// no step that the incident forbids can begin any more.
Task<std::string> Council::Incident(std::string words) {
  const std::string what = FirstWord(words), about = FirstWord(words);
  freeze::Command command;
  command.by = FirstWord(words);
  command.reason = words;
  if (command.reason.empty() || (what != "open" && what != "close")) co_return Failed(Error::kMalformed);
  const Micros began = machine_.Now(), until = began + settings_.ask_ms * kMs;
  Error error = Error::kNone;
  if (what == "close") {
    command.kind = freeze::Command::Kind::kCloseIncident;
    const auto [end, bad] = std::from_chars(about.data(), about.data() + about.size(), command.incident);
    if (bad != std::errc() || end != about.data() + about.size()) co_return Failed(Error::kMalformed);
    co_await Agree(command, until, error);
    co_return error == Error::kNone ? "incident " + about + " is over\n" : Failed(error);
  }
  command.kind = freeze::Command::Kind::kOpenIncident;
  const size_t colon = about.find(':');
  const std::string kind = about.substr(0, colon),
                    name = colon == std::string::npos ? "" : about.substr(colon + 1);
  if (kind == "zone") {
    command.scope = freeze::Scope::Zone(name);
  } else if (kind == "group") {
    command.scope = freeze::Scope::Group(name);
  } else if (kind == "node") {
    command.scope = freeze::Scope::Node(name, "", "");
  } else if (kind == "balancer") {
    command.scope = freeze::Scope::Balancer(name, "");
  } else if (kind != "site") {
    co_return Failed(Error::kMalformed,
                     "A scope is site, zone:NAME, group:NAME, node:NAME or balancer:NAME.");
  }
  const std::optional<freeze::Effect> opened = co_await Agree(command, until, error);
  if (error != Error::kNone || !opened) {
    std::string missing;
    for (const std::string& one : Missing()) missing += (missing.empty() ? "Missing: " : ", ") + one;
    co_return Failed(error, error == Error::kNoMajority ? missing : "");
  }
  const Micros yes_until = machine_.Now() + kYesWithin;
  while (machine_.Now() < yes_until) {
    const auto it = state_.freeze().incidents().find(opened->incident);
    if (it == state_.freeze().incidents().end())
      co_return Failed(Error::kUnknownIncident, "It was closed meanwhile.");
    if (it->second.in_force) {
      co_return "incident " + std::to_string(opened->incident) + " is in force after " +
          std::to_string((machine_.Now() - began) / kMs) + " ms: no step that it forbids begins\n";
    }
    co_await CameOf(applied_ + 1, std::min(yes_until, machine_.Now() + kTurnPause));
  }
  co_return Failed(Error::kGrantOut, "It stands, and is not yet in force.");
}

// ---- Works and acts --------------------------------------------------------------------------------------

Task<> Council::Own(Held& held) {
  const Micros every = LeaseOf(settings_) / 4;
  while (true) {
    const Micros now = machine_.Now();
    for (const owner::Command& command : held.holder.Tick(now)) {
      // The voter that was asked last may be gone.
      if (command.kind == owner::Command::Kind::kAcquire) hint_.clear(), ++turn_;
      Post(council::Envelope(command));
    }
    if (held.holder.stopping()) {
      held.holder.Release();
      held.holder.Acquire();  // behind the others
    }
    if (held.holder.owns() && now >= held.act_at && !left_) {
      const uint64_t had = held.holder.epoch();
      const owner::Permit permit = held.holder.MayAct(now);
      held.act_at = now + every;
      if (permit.ok()) {
        if (settings_.step_ms > 0) {
          log_.Tell<"council_step">("act", permit.epoch);
          const Micros until = now + settings_.step_ms * kMs;
          while (machine_.Now() < until) co_await held.moved.Wait(until);
        }
        SendAct(held, permit.epoch);
        if (WorkOf(held) == owner::kFreezeTask) Look(permit.epoch);
        if (WorkOf(held) == owner::kEjectionTask && state_.ejection().ToCount(state_.ejection().at())) {
          ejection::Command command;
          command.what = ejection::Command::What::kCount;
          command.epoch = permit.epoch;
          Post(council::Envelope(command));
        }
      } else {
        log_.Tell<"council_lost">(WorkOf(held), had, owner::NameOf(permit.error));
      }
    }
    Micros next = held.holder.next_at();
    if (held.holder.owns()) next = std::min(next, held.act_at);
    co_await held.moved.Wait(std::max(next, machine_.Now() + kMs));
  }
}

void Council::SendAct(Held& held, uint64_t epoch) {
  Word word{.kind = Word::Kind::kAct, .number = ++held.acts, .name = setup_.name, .epoch = epoch};
  word.work = WorkOf(held);
  const std::string frame = Write(word, settings_.site);
  ++counters_.council_acts;
  for (const CouncilVoter& voter : settings_.voters) {
    if (voter.name != setup_.name) links_->Send(voter.address, frame);
  }
  Obey(word, 0);
}

void Council::Obey(const Word& word, uint64_t link) {
  if (acts_.size() >= kMostActs) acts_.pop_front();
  acts_.push_back({word, link});
  act_links_[word.work] = link;
  if (act_links_.size() > 64) act_links_.erase(act_links_.begin());
  // Those that follow here hear of it from here; what came that way goes no further.
  if (word.disk != kPassedOn) {
    Word on = word;
    on.disk = kPassedOn;
    links_->ToFollowers(Write(on, settings_.site));
  }
  SettleActs();
}

void Council::SettleActs() {
  for (size_t i = 0; i < acts_.size();) {
    const Act& act = acts_[i];
    const owner::Executor::Verdict verdict = executor_->Check(act.word.work, act.word.epoch);
    if (verdict.error == Error::kNotWritten) {
      ++i;
      continue;
    }
    if (verdict.error == Error::kNotTold) {
      untold_.insert(act.word.work);
      learn_.Notify();
      ++i;
      continue;
    }
    if (verdict.ok()) {
      ++counters_.council_obeyed;
      uint64_t& told = obeys_[act.word.work];
      if (std::exchange(told, act.word.epoch) != act.word.epoch)
        log_.Tell<"council_obeys">(act.word.work, act.word.name, act.word.epoch);
    } else {
      ++counters_.council_fenced;
      log_.Tell<"council_refuses">(act.word.work, act.word.name, act.word.epoch, verdict.highest_epoch,
                                   owner::NameOf(verdict.error));
    }
    Word back{.kind = Word::Kind::kActBack,
              .number = act.word.number,
              .name = setup_.name,
              .index = verdict.highest_epoch};
    back.epoch = act.word.epoch;
    back.error = verdict.error;
    back.work = act.word.work;
    if (act.link != 0) {
      links_->Answer(act.link, Write(back, settings_.site));
    } else if (back.error == Error::kFenced) {
      for (const auto& held : held_) held->holder.OnFenced(back.epoch);
    }
    acts_.erase(acts_.begin() + static_cast<std::ptrdiff_t>(i));
  }
  if (std::optional<owner::Executor::Write> write = executor_->NextWrite(); write && epoch_disk_) {
    epochs_writing_.push_back(write->number);
    epoch_disk_->Write({{setup_.stem + ".epochs", {}, std::move(write->bytes)}});
  }
}

// An executor whose file was gone obeys nobody before the council has told it.
Task<> Council::Learn() {
  while (true) {
    while (!untold_.empty()) {
      const std::string work = *untold_.begin();
      Word word{.kind = Word::Kind::kRead};
      word.work = work;
      const Word back = co_await AskLeader(std::move(word), machine_.Now() + settings_.ask_ms * kMs);
      if (back.error == Error::kNone) {
        executor_->SetCurrentEpoch(work, back.epoch);
        untold_.erase(work);
        SettleActs();
      } else {
        const Micros until = machine_.Now() + kLeadOnEvery;
        while (machine_.Now() < until) co_await learn_.Wait(until);
      }
    }
    co_await learn_.Wait();
  }
}

std::string Council::WorkOf(const Held& held) const {
  size_t i = 0;
  for (const auto& one : held_) {
    if (one.get() == &held) return settings_.wants[i];
    ++i;
  }
  return "";
}

void Council::Shut() {
  shut_ = true;
  for (Task<>* task : {&opening_, &beating_, &hearing_disk_, &hearing_epochs_, &learning_, &awaiting_})
    *task = {};
  askers_.clear();
  asked_at_.reset();
  held_.clear();
  links_.reset();
  disk_.reset();
  epoch_disk_.reset();
  for (const auto& [number, asked] : asked_) asked->came.Notify();
  for (Event* waiter : on_applied_) waiter->Notify();
}

void Council::Leave() {
  if (!open_ || left_ || shut_) return;
  for (const auto& held : held_) {
    held->holder.Release();
    for (const owner::Command& command : held->holder.Tick(machine_.Now())) Post(council::Envelope(command));
  }
  left_ = true;
  if (!Leads()) return;
  const std::map<consensus::VoterId, Micros> heard = core_->last_contacts();
  const auto last = std::ranges::max_element(heard, {}, [](const auto& one) { return one.second; });
  if (last != heard.end()) core_->Transfer(machine_.Now(), last->first);
  left_ = false;  // until it has gone over
  Settle();
}

// ---- Who asks --------------------------------------------------------------------------------------------

void Council::Note(const std::string& line) {
  if (history_.size() >= kHistoryLines)
    history_.erase(history_.begin(), history_.begin() + kHistoryLines / 4);
  history_.push_back(std::to_string(machine_.Now() / kMs) + " ms: " + line);
}

std::string Council::Hello(Word::Kind kind, Error error) const {
  Word word{.kind = kind, .name = setup_.name};
  word.error = error;
  word.epoch = core_ ? core_->term() : 0;
  word.disk = store_ && fault_.empty() ? store_->disk() : 0;
  word.index = core_ ? core_->last_index() : 0;
  word.address = settings_.told.empty() ? settings_.listen : settings_.told;
  return Write(word, settings_.site);
}

std::vector<std::string> Council::Missing() const {
  std::vector<std::string> missing;
  if (!Leads()) {
    for (const CouncilVoter& voter : settings_.voters) {
      if (voter.name != setup_.name && !links_->Up(voter.address)) missing.push_back(voter.name);
    }
    return missing;
  }
  const Micros since = machine_.Now() - settings_.election_ms.high * kMs;
  for (const auto& [id, at] : core_->last_contacts()) {
    if (at < since) missing.push_back(id.name);
  }
  return missing;
}

council::View Council::ViewNow() {
  const Micros now = machine_.Now();
  council::View view;
  view.name = setup_.name;
  const bool inside = VotedIn();
  view.role = inside ? consensus::NameOf(core_->role()) : "outside";
  view.fault = fault_;
  view.standing = !fault_.empty()           ? "disk"
                  : core_ && !inside        ? "waits"
                  : LeaderAddress().empty() ? "no leader"
                                            : "in";
  if (MajorityLost()) view.standing = "majority lost";
  view.disk = store_ ? store_->disk() : 0;
  view.applied = applied_;
  const std::vector<consensus::Voter>& voters = inside ? core_->voters() : follower_->voters();
  std::map<consensus::VoterId, Micros> heard;
  consensus::VoterId leader = follower_->leader();
  if (inside) {
    view.term = core_->term();
    view.commit = core_->commit();
    view.first = core_->first_index();
    view.last = core_->last_index();
    heard = core_->last_contacts();
    leader = core_->leader().value_or(consensus::VoterId());
  } else {
    view.commit = follower_->known_commit();
  }
  view.leader = leader.name;
  for (const consensus::Voter& voter : voters) {
    council::VoterView& one = view.voters.emplace_back();
    one.name = voter.id.name;
    one.disk = voter.id.disk;
    one.address = voter.address;
    one.leads = voter.id == leader;
    if (const auto it = heard.find(voter.id); Leads() && it != heard.end()) one.heard_ago = now - it->second;
  }
  if (Leads() || leader.name.empty()) view.missing = Missing();
  for (const auto& [name, work] : state_.owner().tasks()) {
    council::WorkView& one = view.works.emplace_back();
    one.work = name;
    if (work.owner) one.owner = work.owner->name, one.life = work.owner->incarnation;
    one.epoch = work.epoch;
    one.since = work.since;
    one.ending = work.stop_reason;
    one.obeyed = executor_->HighestEpochOf(name);
    for (const owner::Waiter& next : work.queue) one.line.push_back(next.who.name);
    for (const auto& held : held_) {
      if (WorkOf(*held) != name || !held->holder.owns() || held->holder.lease_until() <= now) continue;
      one.own = true;
      one.left = held->holder.lease_until() - now;
    }
  }
  for (const auto& [id, incident] : state_.freeze().incidents()) {
    view.incidents.push_back({id, freeze::NameOf(incident.kind), freeze::TextOf(incident.scope), incident.by,
                              incident.reason, incident.in_force, incident.pending_grants.size()});
  }
  for (const auto& [id, change] : state_.freeze().changes()) {
    view.changes.push_back({id, freeze::NameOf(change.kind), freeze::TextOf(change.scope), change.owner.name,
                            change.grant.has_value()});
  }
  view.followers = links_->followers();
  view.obeyed = counters_.council_obeyed;
  view.fenced = counters_.council_fenced;
  view.history = history_;
  return view;
}

// On one voter, by an operator. The others are asked first whether they know of a log: it is not begun twice.
Task<std::string> Council::BeginLog(uint64_t floor) {
  if (!store_ || !fault_.empty()) co_return Failed(store_ ? Error::kDiskLost : Error::kVoterUnknown, fault_);
  if (VotedIn() && floor == 0) co_return Failed(Error::kMalformed, "The log has begun here.");
  known_.clear();
  for (const CouncilVoter& voter : settings_.voters) {
    if (voter.name != setup_.name) links_->Send(voter.address, Hello(Word::Kind::kHello));
  }
  const Micros until = machine_.Now() + settings_.ask_ms * kMs;
  while (known_.size() + 1 < settings_.voters.size() && machine_.Now() < until)
    co_await late_.Wait(std::min(until, machine_.Now() + kTurnPause));
  for (const auto& [name, known] : known_) {
    if (known.last > floor)
      co_return Failed(Error::kMalformed, name + " has a log through " + std::to_string(known.last) + ".");
  }
  if (known_.size() + 1 < settings_.voters.size() && floor == 0)
    co_return Failed(Error::kNoMajority, "All voters must answer as the log begins.");
  std::string own;
  for (const CouncilVoter& voter : settings_.voters) {
    if (voter.name == setup_.name) own = voter.address;
  }
  const consensus::PersistentState held =
      consensus::BootstrapState({{setup_.name, store_->disk()}, own}, floor);
  core_.reset();
  began_ = false;
  writing_.push_back(0);
  disk_->Write(store_->Whole(held));
  while (!began_ && fault_.empty()) co_await begun_.Wait();
  if (!fault_.empty()) co_return Failed(Error::kDiskLost, fault_);
  applied_ = 0;
  state_ = {};
  BeginCore(held, true);
  for (const CouncilVoter& voter : settings_.voters) {
    if (voter.name != setup_.name) joining_.push_back(voter.name);
  }
  stir_.Notify();
  co_return "the log begins here; the other voters are brought in as they answer\n";
}

Task<std::string> Council::Answer(std::string words) {
  const bool json = words.ends_with(" json");
  if (json) words.erase(words.size() - 5);
  std::string rest = words;
  const std::string what = FirstWord(rest);
  if (what == "status") co_return json ? StatusJson(ViewNow()) : StatusText(ViewNow());
  if (what == "explain") {
    const std::string text = json ? ExplainJson(ViewNow(), rest) : ExplainText(ViewNow(), rest);
    co_return text.empty() ? Failed(Error::kMalformed, "Nothing is known of " + rest + ".") : text;
  }
  if (what == "begin") {
    uint64_t floor = 0;
    if (!rest.empty()) {
      const auto [end, bad] = std::from_chars(rest.data(), rest.data() + rest.size(), floor);
      if (bad != std::errc() || end != rest.data() + rest.size()) co_return Failed(Error::kMalformed);
    }
    co_return co_await BeginLog(floor);
  }
  if (what == "incident") co_return co_await Incident(rest);
  const Micros until = machine_.Now() + settings_.ask_ms * kMs;
  Word word;
  if (what == "add" || what == "remove") {
    word.kind = Word::Kind::kCall;
    word.data = words;
  } else if (what == "hand-over" || what == "take-away") {
    owner::Command command;
    command.task = FirstWord(rest);
    const auto work = state_.owner().tasks().find(command.task);
    if (work == state_.owner().tasks().end()) co_return Failed(Error::kUnknownWork);
    command.kind = what == "take-away" ? owner::Command::Kind::kRevoke : owner::Command::Kind::kHandOver;
    command.epoch = work->second.epoch;
    if (what == "take-away") {
      command.by = FirstWord(rest);
      command.reason = rest;
    } else {
      const std::string to = FirstWord(rest);
      for (const owner::Waiter& next : work->second.queue) {
        if (next.who.name == to) command.to = next.who;
      }
      if (command.to.name.empty()) co_return Failed(Error::kNotOwner, to + " does not wait for it.");
    }
    word.kind = Word::Kind::kPropose;
    word.data = council::Envelope(command);
  } else {
    co_return Failed(Error::kMalformed, "Unknown question.");
  }
  const Word back = co_await AskLeader(std::move(word), until);
  if (back.error == Error::kNoMajority && MajorityLost()) co_return Failed(Error::kMajorityLost);
  if (back.error == Error::kNone)
    co_return back.data.empty() ? "agreed, entry " + std::to_string(back.index) + "\n" : back.data;
  std::string missing;
  if (back.error == Error::kNoMajority) {
    for (const std::string& name : Missing()) missing += (missing.empty() ? "Missing: " : ", ") + name;
  }
  co_return Failed(back.error, missing);
}

Task<> Council::Await() {
  while (true) {
    std::erase_if(askers_, [](const auto& asker) { return asker->over && asker->task.Done(); });
    std::unique_ptr<Channel> channel = asked_at_->Accept();
    if (!channel) {
      co_await asked_at_->Wait(machine_.Now() + kSecond);
      continue;
    }
    if (askers_.size() >= kMostAskers) continue;
    auto asker = std::make_unique<Asker>();
    asker->channel = std::move(channel);
    Asker& here = *asker;
    askers_.push_back(std::move(asker));
    here.task = Serve(here);
    here.task.Start();
  }
}

Task<> Council::Serve(Asker& asker) {
  const Micros until = machine_.Now() + kTalkWithin;
  std::string words;
  std::unique_ptr<Stream> along;
  Io io = Io::kLater;
  while ((io = asker.channel->Receive(words, along)) == Io::kLater) {
    if (!co_await asker.channel->Wait(until)) break;
  }
  if (io == Io::kSome) {
    const std::string answer = co_await Answer(words);
    for (size_t at = 0; at < answer.size();) {
      const Io sent = asker.channel->Send(std::string_view(answer).substr(at, kPiece));
      if (sent == Io::kBroken) break;
      if (sent == Io::kSome) {
        at += kPiece;
      } else if (!co_await asker.channel->Wait(until)) {
        break;
      }
    }
  }
  asker.channel.reset();
  asker.over = true;
}

}  // namespace burlfall
