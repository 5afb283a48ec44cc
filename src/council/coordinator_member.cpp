#include "council/coordinator_member.h"

#include <algorithm>
#include <charconv>
#include <stdexcept>
#include <system_error>
#include <utility>
#include <variant>

#include "consensus/wire.h"

namespace burlfall {

using council::MemberMessage;
using owner::Error;

namespace {

constexpr Micros kBindRetryInterval = 100 * kMs;
constexpr Micros kNextVoterDelay = 20 * kMs;  // before the next voter is asked
constexpr Micros kAnswerTimeout = kSecond;    // for one voter, before the next is asked
constexpr Micros kLeaderProposalInterval = 100 * kMs;
constexpr Micros kOperatorTimeout = 20 * kSecond;  // for one operator's call
constexpr uint64_t kForwarded = 1;                 // in the `disk` field of an action
constexpr size_t kMaxOperatorSessions = 8;
constexpr size_t kMaxPendingCalls = 2048;  // proposals and reads that wait for an answer
constexpr size_t kMaxJoining = 16;
constexpr size_t kMaxRecentResults = 512;
constexpr size_t kMaxFinishingChanges = 256;
constexpr Micros kDoneTimeout = kSecond;
constexpr Micros kFinishReportInterval = 300 * kMs;
constexpr Micros kIncidentTimeout = 15 * kSecond;
constexpr size_t kMaxHistoryLines = 400;
constexpr size_t kAnswerChunkBytes = 32 * 1024;  // per write to the Unix socket

consensus::Rules RulesOf(const CouncilSettings& settings) {
  consensus::Rules rules;
  rules.heartbeat_interval = settings.heartbeat_ms * kMs;
  rules.election_min = settings.election_ms.low * kMs;
  rules.election_max = settings.election_ms.high * kMs;
  rules.resend_timeout = 2 * rules.heartbeat_interval;
  rules.keep_entries = static_cast<size_t>(settings.most_log) / 4;
  return rules;
}

// The enumerator of this name. Nothing for an unknown name, which the check of the settings excludes.
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

Address RequiredAddress(const std::string& text) {
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

std::string TakeFirstWord(std::string& words) {
  const size_t blank = words.find(' ');
  std::string first = words.substr(0, blank);
  words.erase(0, blank == std::string::npos ? words.size() : blank + 1);
  return first;
}

std::string ErrorText(Error error, const std::string& more = "") {
  return std::string("!") + owner::NameOf(error) + ": " + owner::WhatToDo(error) +
         (more.empty() ? "" : " " + more) + "\n";
}

}  // namespace

CoordinatorMember::CoordinatorMember(Machine& machine, const CouncilSettings& settings, Setup setup, Log& log,
                                     Counters& counters)
    : machine_(machine),
      settings_(settings),
      setup_(std::move(setup)),
      log_(log),
      counters_(counters),
      listen_(RequiredAddress(settings.listen)),
      self_{setup_.name, static_cast<uint64_t>(std::max<Micros>(machine.WallClock(), 1))},
      lease_expiry_(settings.drift),
      freeze_lease_expiry_(settings.drift),
      freeze_rules_(FreezeRulesOf(settings.freeze)),
      local_gate_(freeze_rules_, self_),
      observations_(freeze_rules_),
      timer_wakeup_(machine.scheduler()),
      bootstrap_event_(machine.scheduler()),
      delay_(machine.scheduler()) {}

CoordinatorMember::~CoordinatorMember() = default;

// ---- Start and input -------------------------------------------------------------------------------------

void CoordinatorMember::Start() {
  open_task_ = Open();
  open_task_.Start();
}

Task<> CoordinatorMember::Open() {
  bool bind_failure_logged = false;
  while (!open_) {
    std::string why;
    connections_.emplace(
        machine_, listen_,
        council::MemberConnections::Callbacks{[this](council::MemberConnections::Connection& from,
                                                     std::string_view frame) { OnFrame(from, frame); },
                                              [this] { return EncodeHello(MemberMessage::Kind::kHello); }});
    try {
      connections_->Listen();
      open_ = true;
    } catch (const std::system_error& e) {
      why = e.what();
    }
    if (open_) break;
    if (!std::exchange(bind_failure_logged, true)) log_.Emit<"council_unavailable">(settings_.listen, why);
    co_await delay_.Wait(machine_.Now() + kBindRetryInterval);
  }
  executor_.emplace(
      machine_, state_,
      council::ActionExecutor::Setup{
          setup_.name, setup_.stem + ".epochs",
          [this](std::string task) { return ReadEpoch(std::move(task)); },
          [this](uint64_t connection, const MemberMessage& reply) { ReplyToAction(connection, reply); }},
      log_, counters_);
  if (const std::optional<std::string> saved_emergencies =
          machine_.files().Read(setup_.stem + ".emergencies");
      saved_emergencies && !local_gate_.Load(*saved_emergencies)) {
    log_.Emit<"council_disk">("damaged", setup_.stem + ".emergencies");
  }
  executor_->Start();
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
  operator_listener_ = machine_.network().ListenOnChannel(setup_.stem + ".council", why);
  if (operator_listener_) {
    accept_operators_task_ = AcceptOperators();
    accept_operators_task_.Start();
  } else {
    log_.Emit<"council_socket_unavailable">(setup_.stem + ".council", why);
  }
  log_.Emit<"council_serving">(settings_.site, settings_.told.empty() ? settings_.listen : settings_.told,
                               votes ? "votes" : "follows", store_ ? store_->disk() : 0);
  for (const std::string& work : settings_.wants) {
    wanted_tasks_.push_back(
        std::make_unique<WantedTask>(machine_.scheduler(), owner::LeaseHolder(self_, work, {})));
    WantedTask& wanted = *wanted_tasks_.back();
    wanted.holder.Acquire();
    wanted.coroutine = RunWantedTask(wanted);
    wanted.coroutine.Start();
  }
  timers_task_ = RunTimers();
  timers_task_.Start();
}

void CoordinatorMember::OpenDisk() {
  store_.emplace(setup_.stem, setup_.name);
  council::Store::Opened opened = store_->Open(machine_.files(), setup_.folder, machine_.Entropy());
  const bool usable = opened.fault == council::StoreFault::kNone;
  if (!usable) {
    disk_fault_ = std::string(council::NameOf(opened.fault)) + ", " + opened.reason;
    log_.Emit<"council_disk">(council::NameOf(opened.fault), opened.reason);
    opened.state = {};
  } else {
    log_disk_ = machine_.Durable();
    log_disk_task_ = WatchLogDisk();
    log_disk_task_.Start();
  }
  if (opened.truncated_bytes > 0) log_.Emit<"council_disk_cut">(opened.truncated_bytes);
  BeginCore(std::move(opened.state), usable);
}

void CoordinatorMember::BeginCore(consensus::PersistentState state, bool may_vote) {
  core_.emplace(consensus::Setup{.self = {setup_.name, store_->disk()},
                                 .rules = RulesOf(settings_),
                                 .seed = machine_.Entropy(),
                                 .initial_log_time = machine_.WallClock()});
  snapshot_index_ = state.snapshot.index;
  core_->Begin(machine_.Now(), std::move(state), may_vote);
  ProcessOutputs();
}

Task<> CoordinatorMember::RunTimers() {
  while (true) {
    const Micros now = machine_.Now();
    if (core_ && now >= core_->next_at()) core_->Tick(now);
    // A voter gets the log from the leader. A voter that knows no leader may have been removed by a change of
    // voters that it did not receive, so it follows the log as a non-voter: committed entries are the same.
    const bool outside = !IsVoter() || !core_->may_vote() || !core_->leader();
    if (outside && now >= follower_->next_at()) follower_->Tick(now);
    if (IsLeader()) ProposeAsLeader();
    ReportFinishedChanges();
    ProcessOutputs();
    std::erase_if(operator_sessions_,
                  [](const auto& session) { return session->finished && session->task.Done(); });
    Micros next = kNever;
    if (core_) next = std::min(next, core_->next_at());
    if (outside) next = std::min(next, follower_->next_at());
    if (IsLeader())
      next = std::min({next, lease_expiry_.next_at(), freeze_lease_expiry_.next_at(),
                       last_leader_proposals_at_ + kLeaderProposalInterval});
    if (!finishing_changes_.empty() || local_gate_.record_count() > 0)
      next = std::min(next, next_finish_report_);
    co_await timer_wakeup_.Wait(std::max(next, now + kMs));
  }
}

Task<> CoordinatorMember::WatchLogDisk() {
  while (true) {
    while (log_disk_done_ < log_disk_->done() && !pending_log_writes_.empty()) {
      ++log_disk_done_;
      const uint64_t number = pending_log_writes_.front();
      pending_log_writes_.pop_front();
      ++counters_.council_flushes;
      if (number == 0) {
        bootstrap_written_ = true;
        bootstrap_event_.Notify();
      } else if (core_) {
        core_->OnWritten(machine_.Now(), number, true);
      }
    }
    if (const std::string why = log_disk_->ErrorText(); !why.empty() && disk_fault_.empty()) {
      disk_fault_ = "failed, " + why;
      log_.Emit<"council_disk">("failed", why);
      if (core_ && !pending_log_writes_.empty())
        core_->OnWritten(machine_.Now(), pending_log_writes_.front(), false);
      bootstrap_event_.Notify();
    }
    ProcessOutputs();
    timer_wakeup_.Notify();
    co_await log_disk_->Wait();
  }
}

void CoordinatorMember::LogDropped(const char* why, const std::string& from) {
  if (logged_drops_.insert(why).second) log_.Emit<"council_dropped">(why, from);
}

void CoordinatorMember::OnFrame(council::MemberConnections::Connection& from, std::string_view frame) {
  if (left_) return;
  const std::string who = from.name.empty() ? from.stream->Peer().text : from.name;
  if (council::IsMemberMessage(frame)) {
    council::DecodedMessage decoded = council::DecodeMessage(frame, settings_.site);
    if (!decoded.message) return LogDropped(decoded.error_text, who);
    OnMemberMessage(from, std::move(*decoded.message));
  } else {
    consensus::DecodeResult read = consensus::Decode(frame, settings_.site);
    if (!read.message) return LogDropped(read.error, who);
    const Micros now = machine_.Now();
    if (auto* message = std::get_if<consensus::Message>(&*read.message)) {
      if (!core_ || from.has_older_disk) return;
      RecordPromise(*message);
      core_->OnMessage(now, *message);
    } else if (auto* ask = std::get_if<consensus::FollowRequest>(&*read.message)) {
      if (core_) {
        // Actions are forwarded to followers only, as owners send them to the voters directly.
        from.is_follower =
            std::ranges::none_of(settings_.voters, [&](const auto& v) { return v.name == from.name; });
        connections_->Reply(from.number,
                            consensus::Encode(core_->HandleFollowRequest(now, *ask), settings_.site));
      }
    } else if (auto* answer = std::get_if<consensus::FollowResponse>(&*read.message)) {
      follower_->OnResponse(now, *answer);
    }
  }
  ProcessOutputs();
  timer_wakeup_.Notify();
}

void CoordinatorMember::OnMemberMessage(council::MemberConnections::Connection& from, MemberMessage message) {
  switch (message.kind) {
    case MemberMessage::Kind::kHello:
    case MemberMessage::Kind::kHelloReply:
      if (message.kind == MemberMessage::Kind::kHelloReply && message.error == Error::kVoterUnknown &&
          disk_fault_.empty()) {
        disk_fault_ = "older, it lost what it acknowledged to " + message.name;
        log_.Emit<"council_disk">("older", disk_fault_);
        return;
      }
      from.name = message.name;
      from.has_older_disk = false;
      if (message.disk != 0) {
        KnownVoter& known = known_voters_[message.name];
        from.has_older_disk = message.disk == known.disk &&
                              (message.epoch < known.promised_term || (message.epoch == known.promised_term &&
                                                                       message.index < known.promised_index));
        if (message.disk != known.disk) known = {};
        known.disk = message.disk;
        known.last_index = message.index;
        known.address = message.address;
      }
      if (known_voters_.size() > 64) known_voters_.erase(known_voters_.begin());
      if (message.kind == MemberMessage::Kind::kHello)
        connections_->Reply(from.number,
                            EncodeHello(MemberMessage::Kind::kHelloReply,
                                        from.has_older_disk ? Error::kVoterUnknown : Error::kNone));
      return;
    case MemberMessage::Kind::kPropose:
    case MemberMessage::Kind::kRead:
    case MemberMessage::Kind::kOperatorCall:
      return HandleAtLeader(message, from.number);
    case MemberMessage::Kind::kProposeReply:
    case MemberMessage::Kind::kReadReply:
    case MemberMessage::Kind::kOperatorCallReply: {
      if (message.error == Error::kNotLeader) leader_hint_ = message.address;
      const auto it = pending_calls_.find(message.number);
      if (it == pending_calls_.end() || it->second->answer) return;
      it->second->answer = std::move(message);
      it->second->answered.Notify();
      return;
    }
    case MemberMessage::Kind::kAction:
      return OnAction(message, from.number);
    case MemberMessage::Kind::kActionReply:
      if (message.error != Error::kFenced) return;
      for (const auto& wanted : wanted_tasks_) {
        if (wanted->holder.epoch() != message.epoch) continue;
        wanted->holder.OnFenced(message.epoch);
        wanted->changed.Notify();
      }
      // A follower of this member rejected an action that was forwarded to it: tell the owner.
      if (const auto it = action_connections_.find(message.owned_task);
          from.is_follower && it != action_connections_.end())
        connections_->Reply(it->second, EncodeMessage(message, settings_.site));
      return;
  }
}

// Remembers what a voter acknowledged. The acknowledgement is valid only as long as the voter has that disk.
void CoordinatorMember::RecordPromise(const consensus::Message& message) {
  using Kind = consensus::Message::Kind;
  if (!message.accepted || (message.kind != Kind::kAppendResponse && message.kind != Kind::kVoteResponse))
    return;
  const auto it = known_voters_.find(message.from.name);
  if (it == known_voters_.end() || it->second.disk != message.from.disk ||
      message.term < it->second.promised_term)
    return;
  KnownVoter& known = it->second;
  if (message.term > known.promised_term) known.promised_index = 0;
  known.promised_term = message.term;
  if (message.kind == Kind::kAppendResponse)
    known.promised_index = std::max(known.promised_index, message.index);
}

// Whether at least half of the voters have returned with new disks, so that committed entries may be lost.
bool CoordinatorMember::MajorityLost() const {
  if (!IsVoter()) return false;
  const auto lost = std::ranges::count_if(core_->voters(), [this](const consensus::Voter& voter) {
    const auto it = known_voters_.find(voter.id.name);
    return it != known_voters_.end() && it->second.disk != voter.id.disk;
  });
  return 2 * static_cast<size_t>(lost) >= core_->voters().size();
}

// ---- Outputs of the consensus core -----------------------------------------------------------------------

void CoordinatorMember::ProcessOutputs() {
  if (shut_down_) return;
  process_outputs_again_ = true;
  if (processing_outputs_) return;
  processing_outputs_ = true;
  while (std::exchange(process_outputs_again_, false)) {
    if (core_) {
      for (const consensus::DiskWrite& write : core_->TakeWrites()) {
        if (!log_disk_ || !disk_fault_.empty()) continue;
        pending_log_writes_.push_back(write.number);
        log_disk_->Write(store_->WriteNext(write));
      }
      for (const consensus::Outgoing& out : core_->TakeMessages()) {
        const bool repeats =
            out.message.kind == consensus::Message::Kind::kAppend && out.message.entries.empty();
        const std::string& address = out.address.empty() ? AddressOf(out.message.to.name) : out.address;
        if (!address.empty())
          connections_->Send(address, consensus::Encode(out.message, settings_.site), repeats);
      }
      for (const consensus::Applied& applied : core_->TakeApplied()) OnApplied(applied);
      for (const consensus::ReadResult& read : core_->TakeReads()) {
        const auto it = pending_reads_.find(read.token);
        if (it == pending_reads_.end()) continue;
        MemberMessage reply{
            .kind = MemberMessage::Kind::kReadReply, .number = it->second.number, .index = read.index};
        reply.owned_task = it->second.owned_task;
        reply.error = ErrorOf(read.refusal);
        reply.address = read.address;
        if (reply.error == Error::kNone) reply.epoch = state_.owner().EpochOf(reply.owned_task);
        const uint64_t connection = it->second.connection;
        pending_reads_.erase(it);
        Reply(connection, std::move(reply));
      }
      for (const consensus::Notice& notice : core_->TakeNotices()) OnNotice(notice);
      SnapshotIfDue();
    }
    if (follower_) {
      for (const consensus::Follower::Request& ask : follower_->TakeRequests())
        connections_->Send(ask.address, consensus::Encode(ask.request, settings_.site), true);
      for (const consensus::Applied& applied : follower_->TakeApplied()) OnApplied(applied);
    }
  }
  processing_outputs_ = false;
  if (connections_) counters_.council_bytes_out = connections_->counts().bytes_out;
  counters_.council_applied = applied_;
}

// Applies an entry or snapshot from the core, or from the follower while this member is no voter. Both
// deliver the same entries; each is applied once.
void CoordinatorMember::OnApplied(const consensus::Applied& applied) {
  if (applied.snapshot) {
    if (applied.snapshot->index <= applied_) return;
    std::optional<council::State> state =
        applied.snapshot->data.empty() ? council::State() : council::State::Load(applied.snapshot->data);
    if (!state)
      return LogDropped("a snapshot that can't be read",
                        applied.snapshot->voters.empty() ? "" : applied.snapshot->voters[0].id.name);
    state_ = std::move(*state);
    applied_ = applied.snapshot->index;
    AdoptEpochs();
    for (Event* waiter : applied_waiters_) waiter->Notify();
    return;
  }
  const consensus::Entry& entry = applied.entry;
  if (entry.index <= applied_) return;
  applied_ = entry.index;
  if (entry.kind == consensus::Entry::Kind::kCommand) {
    const council::ApplyResult result = state_.Apply(entry.index, entry.log_time, entry.data);
    if (!result.recognized) LogDropped("an entry that this build does not know", "the log");
    if (const auto& stale = result.stale_command) {
      log_.Emit<"council_entry_refused">(entry.index, stale->task, stale->by, stale->epoch, stale->last_epoch,
                                         owner::NameOf(stale->error));
      AddHistory("entry " + std::to_string(entry.index) + " for " + stale->task + " has no effect: epoch " +
                 std::to_string(stale->epoch) + ", " + owner::NameOf(stale->error));
    }
    OnOwnerEffects(result.owner);
    if (!result.owner.empty() || state_.owner().floor() > logged_floor_) AdoptEpochs();
    OnFreezeEffects(result.freeze);
    recent_results_[entry.index] = result;
    if (recent_results_.size() > kMaxRecentResults) recent_results_.erase(recent_results_.begin());
  }
  for (Event* waiter : applied_waiters_) waiter->Notify();
  while (!pending_proposals_.empty() && pending_proposals_.begin()->first <= entry.index) {
    const auto [index, all] = std::move(*pending_proposals_.begin());
    pending_proposals_.erase(pending_proposals_.begin());
    for (const PendingProposal& one : all) {
      const bool committed = index == entry.index && one.term == entry.term;
      Reply(one.connection, {.kind = MemberMessage::Kind::kProposeReply,
                             .number = one.number,
                             .index = index,
                             .error = committed ? Error::kNone : Error::kNoMajority});
    }
  }
}

void CoordinatorMember::OnOwnerEffects(const owner::Effects& effects) {
  const Micros now = machine_.Now();
  using What = owner::Effect::What;
  if (IsLeader()) TrackLeases(lease_expiry_, now, effects);
  for (const owner::Effect& effect : effects) {
    if (effect.what == What::kGranted) {
      log_.Emit<"council_granted">(effect.task, effect.who.name, effect.epoch);
      AddHistory(effect.task + " is granted to " + effect.who.name + ", epoch " +
                 std::to_string(effect.epoch));
    }
    if (effect.what == What::kEnded) {
      AddHistory(effect.task + " is no longer owned by " + effect.who.name + ", epoch " +
                 std::to_string(effect.epoch) + ": " + owner::NameOf(effect.error));
    }
    for (const auto& wanted : wanted_tasks_) {
      const uint64_t previous_epoch = wanted->holder.epoch();
      wanted->holder.OnEffect(now, effect);
      const bool owns = wanted->holder.owns();
      if (owns && wanted->holder.epoch() != previous_epoch)
        log_.Emit<"council_owns">(effect.task, wanted->holder.epoch());
      if (!owns && previous_epoch != 0)
        log_.Emit<"council_lost">(effect.task, previous_epoch, owner::NameOf(effect.error));
      wanted->changed.Notify();
    }
  }
}

void CoordinatorMember::OnNotice(const consensus::Notice& notice) {
  using Kind = consensus::Notice::Kind;
  AddHistory(std::string(consensus::NameOf(notice.kind)) + " term " + std::to_string(notice.term) + " " +
             notice.who.name + " " + notice.text);
  const std::string none;
  switch (notice.kind) {
    case Kind::kBecameLeader:
      lease_expiry_.BecomeLeader(machine_.Now(), state_.owner().Leases());
      freeze_lease_expiry_.BecomeLeader(machine_.Now(), {});
      freeze_leases_.clear();
      SyncFreezeLeases();
      last_leader_proposals_at_ = 0;
      log_.Emit<"council_leads">(notice.term);
      ++counters_.council_led;
      break;
    case Kind::kSteppedDown:
      lease_expiry_.BecomeLeader(machine_.Now(), {});
      freeze_lease_expiry_.BecomeLeader(machine_.Now(), {});
      joining_.clear();
      log_.Emit<"council_stepped_down">(notice.term, notice.text);
      break;
    case Kind::kFollowsLeader:
      log_.Emit<"council_follows">(notice.who.name, notice.term);
      break;
    case Kind::kNoLeader:
      log_.Emit<"council_no_leader">(notice.term);
      break;
    case Kind::kVotersChanged: {
      std::string names;
      for (const consensus::Voter& voter : core_->voters())
        names += (names.empty() ? "" : ", ") + voter.id.name;
      log_.Emit<"council_voters">(names, notice.index);
      break;
    }
    case Kind::kMessageDropped:
      LogDropped(notice.text.c_str(), notice.who.name);
      break;
    case Kind::kJoinFailed:
      log_.Emit<"council_join_failed">(notice.who.name, notice.text);
      break;
    case Kind::kOlderDisk:  // the voter concerned logs it as well
      LogDropped("a message that relies on an older disk", notice.who.name);
      break;
    case Kind::kDiskLost:  // already logged if this member found it itself; otherwise another voter did
      if (!disk_fault_.empty()) break;
      disk_fault_ = "older, " + notice.text;
      log_.Emit<"council_disk">("older", notice.text);
      break;
    case Kind::kJoined:
    case Kind::kTransferFailed:
      break;
  }
}

// Proposes entries that no member requested: leases that have expired, rules that the settings have changed,
// and voters that an operator adds.
void CoordinatorMember::ProposeAsLeader() {
  const Micros now = machine_.Now();
  for (const owner::Lease& expired : lease_expiry_.Due(now))
    core_->Propose(now, council::Envelope(owner::MakeExpireCommand(expired)));
  for (const owner::Lease& expired : freeze_lease_expiry_.Due(now))
    core_->Propose(now, council::Envelope(freeze::MakeExpireCommand(expired)));
  if (now < last_leader_proposals_at_ + kLeaderProposalInterval) return;
  for (const freeze::Command& end : state_.freeze().IncidentsDue(core_->log_time(now)))
    core_->Propose(now, council::Envelope(end));
  last_leader_proposals_at_ = now;
  if (core_->log_time(now) >= state_.ejection().next_at()) {
    ejection::Command command;
    command.what = ejection::Command::What::kExpire;
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
    connections_->Send(voter.address, EncodeHello(MemberMessage::Kind::kHello), true);
    const auto known = known_voters_.find(name);
    if (known == known_voters_.end()) return;
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

void CoordinatorMember::SnapshotIfDue() {
  if (!core_ || !IsVoter() || core_->commit() < applied_) return;
  if (applied_ < snapshot_index_ + static_cast<uint64_t>(settings_.most_log)) return;
  snapshot_index_ = applied_;
  core_->SaveSnapshot(machine_.Now(), applied_, state_.Save());
  process_outputs_again_ = true;
}

// ---- Proposals, reads and calls --------------------------------------------------------------------------

// From the settings, as a new voter has no log yet that lists the addresses.
const std::string& CoordinatorMember::AddressOf(const std::string& name) const {
  static const std::string kNone;
  for (const CouncilVoter& voter : settings_.voters) {
    if (voter.name == name) return voter.address;
  }
  return kNone;
}

std::string CoordinatorMember::LeaderAddress() const {
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

// The address to ask next: the leader's if known, otherwise the voters' in turn.
std::string CoordinatorMember::NextTarget() {
  if (!leader_hint_.empty()) return leader_hint_;
  if (voter_turn_ == 0) {
    if (std::string leader = LeaderAddress(); !leader.empty()) return leader;
  }
  for (size_t i = 0; i < settings_.voters.size(); ++i) {
    const CouncilVoter& voter = settings_.voters[(voter_turn_ + i) % settings_.voters.size()];
    if (voter.name != setup_.name) return voter.address;
  }
  return "";
}

void CoordinatorMember::Reply(uint64_t connection, MemberMessage message) {
  if (message.number == 0 && message.error != Error::kNotLeader) return;
  if (connection != 0) return connections_->Reply(connection, EncodeMessage(message, settings_.site));
  const auto it = pending_calls_.find(message.number);
  if (it == pending_calls_.end()) return;
  it->second->answer = std::move(message);
  it->second->answered.Notify();
}

void CoordinatorMember::HandleAtLeader(const MemberMessage& message, uint64_t connection) {
  MemberMessage reply;
  reply.number = message.number;
  reply.owned_task = message.owned_task;
  reply.kind = message.kind == MemberMessage::Kind::kPropose ? MemberMessage::Kind::kProposeReply
               : message.kind == MemberMessage::Kind::kRead  ? MemberMessage::Kind::kReadReply
                                                             : MemberMessage::Kind::kOperatorCallReply;
  if (!IsLeader()) {
    reply.error = Error::kNotLeader;
    reply.address = LeaderAddress();
    return Reply(connection, std::move(reply));
  }
  const Micros now = machine_.Now();
  if (pending_proposals_.size() + pending_reads_.size() > kMaxPendingCalls) {
    reply.error = Error::kTooMany;
    return Reply(connection, std::move(reply));
  }
  if (message.kind == MemberMessage::Kind::kPropose) {
    ++counters_.council_proposals;
    const consensus::ProposeResult proposed = core_->Propose(now, message.data);
    if (proposed.refusal == consensus::Refusal::kNone) {
      if (message.number != 0)
        pending_proposals_[proposed.index].push_back({proposed.term, connection, message.number});
      return;
    }
    reply.error = ErrorOf(proposed.refusal);
    return Reply(connection, std::move(reply));
  }
  if (message.kind == MemberMessage::Kind::kRead) {
    const uint64_t token = ++last_number_;
    pending_reads_[token] = {connection, message.number, message.owned_task};
    core_->Read(now, token);
    return;
  }
  MemberMessage called = HandleOperatorCall(message.data);
  called.kind = MemberMessage::Kind::kOperatorCallReply;
  called.number = message.number;
  Reply(connection, std::move(called));
}

// Operator calls that only the leader can carry out: changes of voters.
MemberMessage CoordinatorMember::HandleOperatorCall(const std::string& words) {
  std::string rest = words;
  const std::string what = TakeFirstWord(rest), name = TakeFirstWord(rest);
  MemberMessage reply;
  if (what == "add") {
    const bool named =
        std::ranges::any_of(settings_.voters, [&](const auto& voter) { return voter.name == name; });
    if (!named || joining_.size() >= kMaxJoining) {
      reply.error = named ? Error::kTooMany : Error::kVoterUnknown;
      return reply;
    }
    if (std::ranges::find(joining_, name) == joining_.end()) joining_.push_back(name);
    reply.data = name + " is added as a voter once it answers\n";
    return reply;
  }
  reply.error = Error::kVoterUnknown;
  if (what != "remove") return reply;
  for (const consensus::Voter& voter : core_->voters()) {
    if (voter.id.name != name) continue;
    reply.error =
        ErrorOf(core_->ChangeVoter(machine_.Now(), consensus::Core::Change::kRemove, voter).refusal);
    reply.data = name + " stops voting once that is committed\n";
    return reply;
  }
  return reply;
}

// Asks until the leader answers, or fails with an error that a retry does not help against. When a leader
// fails, the retry may commit a command twice: each command therefore carries a request number.
Task<MemberMessage> CoordinatorMember::AskLeader(MemberMessage message, Micros until) {
  MemberMessage last;
  while (true) {
    if (shut_down_) co_return MemberMessage{.error = Error::kNoCouncil};
    message.number = ++last_number_;
    PendingCall call(machine_.scheduler());
    pending_calls_[message.number] = &call;
    struct Unregister {
      std::map<uint64_t, PendingCall*>& all;
      uint64_t number;
      ~Unregister() { all.erase(number); }
    } unregister{pending_calls_, message.number};
    std::string to;
    if (IsLeader()) {
      HandleAtLeader(message, 0);
    } else if (to = NextTarget(); !to.empty()) {
      connections_->Send(to, EncodeMessage(message, settings_.site));
    }
    ProcessOutputs();
    timer_wakeup_.Notify();
    const Micros step = std::min(until, machine_.Now() + kAnswerTimeout);
    while (!call.answer && machine_.Now() < step && !shut_down_) co_await call.answered.Wait(step);
    if (shut_down_) continue;
    last = call.answer.value_or(MemberMessage{.error = Error::kNoMajority});
    if (last.error != Error::kNotLeader && last.error != Error::kNoMajority) co_return last;
    leader_hint_ = last.error == Error::kNotLeader && last.address != to ? last.address : "";
    if (leader_hint_.empty()) ++voter_turn_;
    if (machine_.Now() >= until) {
      last.error = Error::kNoMajority;
      co_return last;
    }
    const Micros pause = std::min(until, machine_.Now() + kNextVoterDelay);
    while (machine_.Now() < pause && !shut_down_) co_await call.answered.Wait(pause);
  }
}

// Proposes without waiting for the result. The caller must propose again if the entry is lost.
void CoordinatorMember::ProposeWithoutReply(std::string data) {
  if (shut_down_) return;
  const MemberMessage message{.kind = MemberMessage::Kind::kPropose, .data = std::move(data)};
  if (IsLeader()) {
    HandleAtLeader(message, 0);
  } else if (const std::string to = NextTarget(); !to.empty()) {
    connections_->Send(to, EncodeMessage(message, settings_.site));
  }
  ProcessOutputs();
  timer_wakeup_.Notify();
}

// ---- Changes and incidents -------------------------------------------------------------------------------

// The result of the entry, once it is applied here. Nothing after a timeout, or if the entry was applied as
// part of a snapshot.
Task<std::optional<council::ApplyResult>> CoordinatorMember::WaitForResult(uint64_t index, Micros until) {
  Event applied(machine_.scheduler());
  struct Unregister {
    std::list<Event*>& all;
    std::list<Event*>::iterator place;
    ~Unregister() { all.erase(place); }
  } unregister{applied_waiters_, applied_waiters_.insert(applied_waiters_.end(), &applied)};
  while (applied_ < index && machine_.Now() < until && !shut_down_) {
    if (!IsVoter()) follower_->PollNow(machine_.Now());
    ProcessOutputs();
    timer_wakeup_.Notify();
    if (applied_ < index) co_await applied.Wait(std::min(until, machine_.Now() + kNextVoterDelay));
  }
  const auto it = recent_results_.find(index);
  if (it == recent_results_.end()) co_return std::nullopt;
  co_return it->second;
}

// Proposes a command with a new request number and returns the command's first effect.
Task<std::optional<freeze::Effect>> CoordinatorMember::ProposeFreezeCommand(freeze::Command command,
                                                                            Micros until, Error& error) {
  command.who = self_;
  command.request = ++last_request_;
  MemberMessage message{.kind = MemberMessage::Kind::kPropose, .data = council::Envelope(command)};
  const MemberMessage reply = co_await AskLeader(std::move(message), until);
  error = reply.error;
  if (reply.error != Error::kNone) co_return std::nullopt;
  const std::optional<council::ApplyResult> result = co_await WaitForResult(reply.index, until);
  error = Error::kStale;
  if (!result) co_return std::nullopt;
  for (const freeze::Effect& effect : result->freeze) {
    if (effect.request != command.request || effect.who != self_) continue;
    if (effect.what == freeze::Effect::What::kOverride) continue;  // accompanies the answer
    error = effect.what == freeze::Effect::What::kRefused ? effect.error : Error::kNone;
    co_return effect;
  }
  co_return std::nullopt;
}

Task<CoordinatorMember::Permission> CoordinatorMember::RequestPermission(freeze::ChangeKind kind,
                                                                         freeze::Scope scope, std::string by,
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
  Micros asked_at = machine_.Now();
  std::optional<freeze::Effect> effect;
  if (open_ && !shut_down_) {
    effect = co_await ProposeFreezeCommand(command, until, permission.error);
  } else {
    permission.error = Error::kNoCouncil;
  }
  if (effect && permission.error == Error::kNone) {
    permit.OnEffect(asked_at, *effect);
    permission.change = effect->change;
    command = {};
    command.kind = Kind::kStep;
    command.change = effect->change;
    command.by = by;
    command.reason = reason;
    asked_at = machine_.Now();
    effect = co_await ProposeFreezeCommand(command, until, permission.error);
    if (effect && permission.error == Error::kNone) {
      permit.OnEffect(asked_at, *effect);
      permission.error = permit.MayBegin(machine_.Now());
      if (permission.error == Error::kNone) permission.error = permit.OnBegun(machine_.Now());
      permission.epoch = permit.epoch();
    }
    if (permission.error != Error::kNone && finishing_changes_.size() < kMaxFinishingChanges) {
      command.kind = Kind::kAbandon;
      finishing_changes_[command.change] = command;
    }
  } else if (!effect && permission.error != Error::kNone && permission.change == 0) {
    const std::vector<std::string> missing =
        open_ && !shut_down_ ? MissingVoters() : std::vector<std::string>();
    const freeze::LocalGate::Answer local = local_gate_.Ask(kind, scope, by, reason, missing);
    permission.retry = local.retry_after;
    if (local.error == Error::kNone) {
      // Saved before the change begins, so that it is reported to the group even after a restart.
      std::string why;
      machine_.files().Replace(setup_.stem + ".emergencies", local_gate_.Save(), why);
      permission.error = Error::kNone;
      log_.Emit<"council_emergency">(freeze::NameOf(kind), freeze::TextOf(scope), by, reason);
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
  log_.Emit<"council_change_refused">(freeze::NameOf(kind), freeze::TextOf(scope),
                                      owner::NameOf(permission.error), permission.text);
  co_return permission;
}

Task<> CoordinatorMember::ReportDone(Permission permission) {
  if (permission.change == 0 || permission.error != Error::kNone) co_return;
  if (finishing_changes_.size() >= kMaxFinishingChanges) co_return;
  freeze::Command command;
  command.kind = freeze::Command::Kind::kStepDone;
  command.who = self_;
  command.change = permission.change;
  command.epoch = permission.epoch;
  finishing_changes_[permission.change] = command;
  next_finish_report_ = 0;
  ReportFinishedChanges();
  const Micros until = machine_.Now() + kDoneTimeout;
  while (state_.freeze().changes().contains(permission.change) && machine_.Now() < until && !shut_down_)
    co_await WaitForResult(applied_ + 1, until);
}

// Proposes the end of each finished change again, until the own replica has applied it.
void CoordinatorMember::ReportFinishedChanges() {
  const Micros now = machine_.Now();
  if (now < next_finish_report_ || (finishing_changes_.empty() && local_gate_.record_count() == 0)) return;
  next_finish_report_ = now + kFinishReportInterval;
  std::erase_if(finishing_changes_, [this](const auto& one) {
    return applied_ >= one.first && !state_.freeze().changes().contains(one.first);
  });
  std::vector<std::string> out;
  for (auto& [change, command] : finishing_changes_) {
    command.who = self_;
    command.request = ++last_request_;
    out.push_back(council::Envelope(command));
  }
  for (const freeze::Command& command : local_gate_.Unconfirmed()) out.push_back(council::Envelope(command));
  for (std::string& data : out) ProposeWithoutReply(std::move(data));
}

void CoordinatorMember::OnFreezeEffects(const freeze::Effects& effects) {
  using What = freeze::Effect::What;
  if (!effects.empty()) SyncFreezeLeases();
  for (const freeze::Effect& effect : effects) {
    observations_.OnApplied(machine_.Now(), effect);
    const size_t kept = local_gate_.record_count();
    local_gate_.OnApplied(effect);
    if (local_gate_.record_count() != kept) {
      std::string why;
      machine_.files().Replace(setup_.stem + ".emergencies", local_gate_.Save(), why);
    }
    std::string scope = freeze::TextOf(effect.scope);
    const auto incident = state_.freeze().incidents().find(effect.incident);
    if (incident != state_.freeze().incidents().end()) scope = freeze::TextOf(incident->second.scope);
    if (effect.what == What::kOpened)
      log_.Emit<"council_incident">(effect.incident, "opened", scope, effect.pending);
    if (effect.what == What::kIncidentInForce)
      log_.Emit<"council_incident">(effect.incident, "in force", scope, 0);
    if (effect.what == What::kIncidentClosed)
      log_.Emit<"council_incident">(effect.incident, "over", scope, 0);
    if (effect.what == What::kOverride) log_.Emit<"council_glass">(effect.change, effect.by, effect.reason);
    if (effect.what == What::kHold && effect.who == self_)
      log_.Emit<"council_hold">(effect.change, effect.incident,
                                effect.step_policy == freeze::StepPolicy::kUndo ? "undo" : "finish");
  }
}

// The owner of the freeze task opens and closes incidents by what it observes of the fleet.
void CoordinatorMember::ReportObservations(uint64_t epoch) {
  const Micros now = machine_.Now();
  if (std::exchange(observations_epoch_, epoch) != epoch)
    observations_.BecomeCoordinator(now, state_.freeze(), epoch);
  for (const Setup::Observation& observation : setup_.observations()) {
    for (freeze::Command& command :
         observations_.OnObservation(now, observation.kind, observation.scope, observation.share)) {
      command.who = self_;
      command.request = ++last_request_;
      if (command.by.empty()) command.by = setup_.name;
      ProposeWithoutReply(council::Envelope(command));
    }
  }
}

// Makes the timers of this leader match the leases of changes and steps in the replicated state.
void CoordinatorMember::SyncFreezeLeases() {
  if (!IsLeader()) return;
  const Micros now = machine_.Now();
  std::map<std::string, owner::Lease> active_leases;
  for (owner::Lease& lease : state_.freeze().Leases()) active_leases.emplace(lease.key, std::move(lease));
  for (const auto& [key, lease] : freeze_leases_) {
    if (!active_leases.contains(key)) freeze_lease_expiry_.OnEnded(key);
  }
  for (const auto& [key, lease] : active_leases) {
    const auto before = freeze_leases_.find(key);
    if (before == freeze_leases_.end() || before->second.renewed_index != lease.renewed_index ||
        before->second.epoch != lease.epoch)
      freeze_lease_expiry_.OnRenewed(now, lease);
  }
  freeze_leases_ = std::move(active_leases);
}

// "open SCOPE BY REASON" and "close NUMBER BY REASON". "open" is answered once the incident is in force: from
// then on, no step that it forbids can begin.
Task<std::string> CoordinatorMember::HandleIncidentCommand(std::string words) {
  const std::string what = TakeFirstWord(words), about = TakeFirstWord(words);
  freeze::Command command;
  command.by = TakeFirstWord(words);
  command.reason = words;
  if (command.reason.empty() || (what != "open" && what != "close")) co_return ErrorText(Error::kMalformed);
  const Micros began = machine_.Now(), until = began + settings_.ask_ms * kMs;
  Error error = Error::kNone;
  if (what == "close") {
    command.kind = freeze::Command::Kind::kCloseIncident;
    const auto [end, bad] = std::from_chars(about.data(), about.data() + about.size(), command.incident);
    if (bad != std::errc() || end != about.data() + about.size()) co_return ErrorText(Error::kMalformed);
    co_await ProposeFreezeCommand(command, until, error);
    co_return error == Error::kNone ? "incident " + about + " is over\n" : ErrorText(error);
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
    co_return ErrorText(Error::kMalformed,
                        "A scope is site, zone:NAME, group:NAME, node:NAME or balancer:NAME.");
  }
  const std::optional<freeze::Effect> opened = co_await ProposeFreezeCommand(command, until, error);
  if (error != Error::kNone || !opened) {
    std::string missing;
    for (const std::string& one : MissingVoters()) missing += (missing.empty() ? "Missing: " : ", ") + one;
    co_return ErrorText(error, error == Error::kNoMajority ? missing : "");
  }
  const Micros yes_until = machine_.Now() + kIncidentTimeout;
  while (machine_.Now() < yes_until) {
    const auto it = state_.freeze().incidents().find(opened->incident);
    if (it == state_.freeze().incidents().end())
      co_return ErrorText(Error::kUnknownIncident, "It was closed in the meantime.");
    if (it->second.in_force) {
      co_return "incident " + std::to_string(opened->incident) + " is in force after " +
          std::to_string((machine_.Now() - began) / kMs) + " ms: no step that it forbids begins\n";
    }
    co_await WaitForResult(applied_ + 1, std::min(yes_until, machine_.Now() + kNextVoterDelay));
  }
  co_return ErrorText(Error::kGrantOut, "It is open, but not yet in force.");
}

// ---- Owned tasks and actions -----------------------------------------------------------------------------

Task<> CoordinatorMember::RunWantedTask(WantedTask& wanted) {
  const Micros every = LeaseOf(settings_) / 4;
  while (true) {
    const Micros now = machine_.Now();
    for (const owner::Command& command : wanted.holder.Tick(now)) {
      // The voter that was asked last may be unreachable: try the next.
      if (command.kind == owner::Command::Kind::kAcquire) leader_hint_.clear(), ++voter_turn_;
      ProposeWithoutReply(council::Envelope(command));
    }
    if (wanted.holder.stopping()) {
      wanted.holder.Release();
      wanted.holder.Acquire();  // queues behind the other members
    }
    if (wanted.holder.owns() && now >= wanted.next_action_at && !left_) {
      const uint64_t previous_epoch = wanted.holder.epoch();
      const owner::Permit permit = wanted.holder.MayAct(now);
      wanted.next_action_at = now + every;
      if (permit.ok()) {
        if (settings_.step_ms > 0) {
          log_.Emit<"council_step">("act", permit.epoch);
          const Micros until = now + settings_.step_ms * kMs;
          while (machine_.Now() < until) co_await wanted.changed.Wait(until);
        }
        SendAction(wanted, permit.epoch);
        if (TaskNameOf(wanted) == owner::kFreezeTask) ReportObservations(permit.epoch);
        if (TaskNameOf(wanted) == owner::kEjectionTask &&
            state_.ejection().CountDue(state_.ejection().at())) {
          ejection::Command command;
          command.what = ejection::Command::What::kCount;
          command.epoch = permit.epoch;
          ProposeWithoutReply(council::Envelope(command));
        }
      } else {
        log_.Emit<"council_lost">(TaskNameOf(wanted), previous_epoch, owner::NameOf(permit.error));
      }
    }
    Micros next = wanted.holder.next_at();
    if (wanted.holder.owns()) next = std::min(next, wanted.next_action_at);
    co_await wanted.changed.Wait(std::max(next, machine_.Now() + kMs));
  }
}

void CoordinatorMember::SendAction(WantedTask& wanted, uint64_t epoch) {
  MemberMessage message{.kind = MemberMessage::Kind::kAction,
                        .number = ++wanted.actions_sent,
                        .name = setup_.name,
                        .epoch = epoch};
  message.owned_task = TaskNameOf(wanted);
  const std::string frame = EncodeMessage(message, settings_.site);
  ++counters_.council_acts;
  for (const CouncilVoter& voter : settings_.voters) {
    if (voter.name != setup_.name) connections_->Send(voter.address, frame);
  }
  OnAction(message, 0);
}

void CoordinatorMember::OnAction(const MemberMessage& message, uint64_t connection) {
  action_connections_[message.owned_task] = connection;
  if (action_connections_.size() > 64) action_connections_.erase(action_connections_.begin());
  // Forwards the action to followers of this member. A forwarded action is not forwarded again.
  if (message.disk != kForwarded) {
    MemberMessage forwarded = message;
    forwarded.disk = kForwarded;
    connections_->SendToFollowers(EncodeMessage(forwarded, settings_.site));
  }
  executor_->OnAction(message, connection);
}

void CoordinatorMember::ReplyToAction(uint64_t connection, const MemberMessage& reply) {
  if (connection != 0) {
    connections_->Reply(connection, EncodeMessage(reply, settings_.site));
  } else if (reply.error == Error::kFenced) {
    for (const auto& wanted : wanted_tasks_) wanted->holder.OnFenced(reply.epoch);
  }
}

Task<std::optional<uint64_t>> CoordinatorMember::ReadEpoch(std::string task) {
  MemberMessage message{.kind = MemberMessage::Kind::kRead};
  message.owned_task = std::move(task);
  const MemberMessage reply = co_await AskLeader(std::move(message), machine_.Now() + settings_.ask_ms * kMs);
  if (reply.error != Error::kNone) co_return std::nullopt;
  co_return reply.epoch;
}

void CoordinatorMember::AdoptEpochs() {
  const uint64_t floor = state_.owner().floor();
  if (floor > logged_floor_) {
    log_.Emit<"council_rebuilt">(floor);
    AddHistory("rebuilt with the epoch floor " + std::to_string(floor));
    logged_floor_ = floor;
  }
  for (const auto& wanted : wanted_tasks_) {
    const uint64_t epoch = wanted->holder.epoch();
    if (!wanted->holder.owns()) continue;
    const Error error = state_.owner().CheckEpoch(TaskNameOf(*wanted), epoch);
    if (error == Error::kNone) continue;
    wanted->holder.OnFenced(epoch);
    log_.Emit<"council_lost">(TaskNameOf(*wanted), epoch, owner::NameOf(error));
    wanted->changed.Notify();
  }
  executor_->OnReplicaChanged();
}

std::string CoordinatorMember::TaskNameOf(const WantedTask& wanted) const {
  size_t i = 0;
  for (const auto& one : wanted_tasks_) {
    if (one.get() == &wanted) return settings_.wants[i];
    ++i;
  }
  return "";
}

void CoordinatorMember::ShutDown() {
  shut_down_ = true;
  for (Task<>* task : {&open_task_, &timers_task_, &log_disk_task_, &accept_operators_task_}) *task = {};
  if (executor_) executor_->Stop();
  operator_sessions_.clear();
  operator_listener_.reset();
  wanted_tasks_.clear();
  connections_.reset();
  log_disk_.reset();
  for (const auto& [number, call] : pending_calls_) call->answered.Notify();
  for (Event* waiter : applied_waiters_) waiter->Notify();
}

void CoordinatorMember::Leave() {
  if (!open_ || left_ || shut_down_) return;
  for (const auto& wanted : wanted_tasks_) {
    wanted->holder.Release();
    for (const owner::Command& command : wanted->holder.Tick(machine_.Now()))
      ProposeWithoutReply(council::Envelope(command));
  }
  left_ = true;
  if (!IsLeader()) return;
  const std::map<consensus::VoterId, Micros> heard = core_->last_contacts();
  const auto last = std::ranges::max_element(heard, {}, [](const auto& one) { return one.second; });
  if (last != heard.end()) core_->Transfer(machine_.Now(), last->first);
  left_ = false;  // takes part until the leadership is transferred
  ProcessOutputs();
}

// ---- Operators' requests ---------------------------------------------------------------------------------

void CoordinatorMember::AddHistory(const std::string& line) {
  if (history_.size() >= kMaxHistoryLines)
    history_.erase(history_.begin(), history_.begin() + kMaxHistoryLines / 4);
  history_.push_back(std::to_string(machine_.Now() / kMs) + " ms: " + line);
}

std::string CoordinatorMember::EncodeHello(MemberMessage::Kind kind, Error error) const {
  MemberMessage message{.kind = kind, .name = setup_.name};
  message.error = error;
  message.epoch = core_ ? core_->term() : 0;
  message.disk = store_ && disk_fault_.empty() ? store_->disk() : 0;
  message.index = core_ ? core_->last_index() : 0;
  message.address = settings_.told.empty() ? settings_.listen : settings_.told;
  return EncodeMessage(message, settings_.site);
}

std::vector<std::string> CoordinatorMember::MissingVoters() const {
  std::vector<std::string> missing;
  if (!IsLeader()) {
    for (const CouncilVoter& voter : settings_.voters) {
      if (voter.name != setup_.name && !connections_->IsConnected(voter.address))
        missing.push_back(voter.name);
    }
    return missing;
  }
  const Micros since = machine_.Now() - settings_.election_ms.high * kMs;
  for (const auto& [id, at] : core_->last_contacts()) {
    if (at < since) missing.push_back(id.name);
  }
  return missing;
}

council::View CoordinatorMember::CurrentView() {
  const Micros now = machine_.Now();
  council::View view;
  view.name = setup_.name;
  const bool inside = IsVoter();
  view.role = inside ? consensus::NameOf(core_->role()) : "outside";
  view.fault = disk_fault_;
  view.status = !disk_fault_.empty()      ? "disk"
                : core_ && !inside        ? "waits"
                : LeaderAddress().empty() ? "no leader"
                                          : "in";
  if (MajorityLost()) view.status = "majority lost";
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
    one.is_leader = voter.id == leader;
    if (const auto it = heard.find(voter.id); IsLeader() && it != heard.end())
      one.last_contact_ago = now - it->second;
  }
  if (IsLeader() || leader.name.empty()) view.missing = MissingVoters();
  for (const auto& [name, work] : state_.owner().tasks()) {
    council::TaskView& one = view.tasks.emplace_back();
    one.task = name;
    if (work.owner) one.owner = work.owner->name, one.incarnation = work.owner->incarnation;
    one.epoch = work.epoch;
    one.since = work.since;
    one.ending = work.stop_reason;
    one.highest_epoch = executor_->HighestEpochOf(name);
    for (const owner::Waiter& next : work.queue) one.waiting.push_back(next.who.name);
    for (const auto& wanted : wanted_tasks_) {
      if (TaskNameOf(*wanted) != name || !wanted->holder.owns() || wanted->holder.lease_until() <= now)
        continue;
      one.owned_here = true;
      one.lease_left = wanted->holder.lease_until() - now;
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
  view.followers = connections_->followers();
  view.accepted_actions = counters_.council_obeyed;
  view.rejected_actions = counters_.council_fenced;
  view.history = history_;
  return view;
}

// Bootstraps the log on this voter, for an operator. The other voters are asked first whether they have a
// log, so that no second log begins. `floor`: a log index above all epochs ever granted, to begin anew after
// a majority was lost; 0: the first log.
Task<std::string> CoordinatorMember::BootstrapLog(uint64_t floor) {
  if (!store_ || !disk_fault_.empty())
    co_return ErrorText(store_ ? Error::kDiskLost : Error::kVoterUnknown, disk_fault_);
  if (IsVoter() && floor == 0) co_return ErrorText(Error::kMalformed, "This voter has a log already.");
  known_voters_.clear();
  for (const CouncilVoter& voter : settings_.voters) {
    if (voter.name != setup_.name)
      connections_->Send(voter.address, EncodeHello(MemberMessage::Kind::kHello));
  }
  const Micros until = machine_.Now() + settings_.ask_ms * kMs;
  while (known_voters_.size() + 1 < settings_.voters.size() && machine_.Now() < until)
    co_await delay_.Wait(std::min(until, machine_.Now() + kNextVoterDelay));
  for (const auto& [name, known] : known_voters_) {
    if (known.last_index > floor)
      co_return ErrorText(Error::kMalformed,
                          name + " has a log through " + std::to_string(known.last_index) + ".");
  }
  if (const uint64_t known_epoch = executor_->HighestKnownEpoch(); known_epoch > floor)
    co_return ErrorText(Error::kMajorityLost, "Epoch " + std::to_string(known_epoch) + " was given before.");
  if (known_voters_.size() + 1 < settings_.voters.size() && floor == 0)
    co_return ErrorText(Error::kNoMajority, "All voters must answer before a log can begin.");
  std::string own;
  for (const CouncilVoter& voter : settings_.voters) {
    if (voter.name == setup_.name) own = voter.address;
  }
  std::string initial_state;
  if (floor > 0) {
    const std::optional<council::State> above = council::State::AboveFloor(floor, setup_.name);
    if (!above) co_return ErrorText(Error::kMalformed, "The number is too high.");
    initial_state = above->Save();
  }
  const consensus::PersistentState bootstrap_state =
      consensus::BootstrapState({{setup_.name, store_->disk()}, own}, floor, std::move(initial_state));
  core_.reset();
  bootstrap_written_ = false;
  pending_log_writes_.push_back(0);
  log_disk_->Write(store_->WriteAll(bootstrap_state));
  while (!bootstrap_written_ && disk_fault_.empty()) co_await bootstrap_event_.Wait();
  if (!disk_fault_.empty()) co_return ErrorText(Error::kDiskLost, disk_fault_);
  applied_ = 0;
  state_ = {};
  BeginCore(bootstrap_state, true);
  for (const CouncilVoter& voter : settings_.voters) {
    if (voter.name != setup_.name) joining_.push_back(voter.name);
  }
  timer_wakeup_.Notify();
  co_return "the log begins here; the other voters are added as they answer\n";
}

Task<std::string> CoordinatorMember::AnswerOperator(std::string words) {
  const bool json = words.ends_with(" json");
  if (json) words.erase(words.size() - 5);
  std::string rest = words;
  const std::string what = TakeFirstWord(rest);
  if (what == "status") co_return json ? StatusJson(CurrentView()) : StatusText(CurrentView());
  if (what == "explain") {
    const std::string text = json ? ExplainJson(CurrentView(), rest) : ExplainText(CurrentView(), rest);
    co_return text.empty() ? ErrorText(Error::kMalformed, "Nothing is known of " + rest + ".") : text;
  }
  if (what == "begin") {
    uint64_t floor = 0;
    if (!rest.empty()) {
      const auto [end, bad] = std::from_chars(rest.data(), rest.data() + rest.size(), floor);
      if (bad != std::errc() || end != rest.data() + rest.size()) co_return ErrorText(Error::kMalformed);
    }
    co_return co_await BootstrapLog(floor);
  }
  if (what == "incident") co_return co_await HandleIncidentCommand(rest);
  const Micros until = machine_.Now() + settings_.ask_ms * kMs;
  MemberMessage message;
  if (what == "add" || what == "remove") {
    message.kind = MemberMessage::Kind::kOperatorCall;
    message.data = words;
  } else if (what == "hand-over" || what == "take-away") {
    owner::Command command;
    command.task = TakeFirstWord(rest);
    const auto work = state_.owner().tasks().find(command.task);
    if (work == state_.owner().tasks().end()) co_return ErrorText(Error::kUnknownWork);
    command.kind = what == "take-away" ? owner::Command::Kind::kRevoke : owner::Command::Kind::kHandOver;
    command.epoch = work->second.epoch;
    if (what == "take-away") {
      command.by = TakeFirstWord(rest);
      command.reason = rest;
    } else {
      const std::string to = TakeFirstWord(rest);
      for (const owner::Waiter& next : work->second.queue) {
        if (next.who.name == to) command.to = next.who;
      }
      if (command.to.name.empty()) co_return ErrorText(Error::kNotOwner, to + " is not waiting for it.");
    }
    message.kind = MemberMessage::Kind::kPropose;
    message.data = council::Envelope(command);
  } else {
    co_return ErrorText(Error::kMalformed, "Unknown command.");
  }
  const MemberMessage reply = co_await AskLeader(std::move(message), until);
  if (reply.error == Error::kNoMajority && MajorityLost()) co_return ErrorText(Error::kMajorityLost);
  if (reply.error == Error::kNone)
    co_return reply.data.empty() ? "agreed, entry " + std::to_string(reply.index) + "\n" : reply.data;
  std::string missing;
  if (reply.error == Error::kNoMajority) {
    for (const std::string& name : MissingVoters()) missing += (missing.empty() ? "Missing: " : ", ") + name;
  }
  co_return ErrorText(reply.error, missing);
}

Task<> CoordinatorMember::AcceptOperators() {
  while (true) {
    std::erase_if(operator_sessions_,
                  [](const auto& session) { return session->finished && session->task.Done(); });
    std::unique_ptr<Channel> channel = operator_listener_->Accept();
    if (!channel) {
      co_await operator_listener_->Wait(machine_.Now() + kSecond);
      continue;
    }
    if (operator_sessions_.size() >= kMaxOperatorSessions) continue;
    auto session = std::make_unique<OperatorSession>();
    session->channel = std::move(channel);
    OperatorSession& here = *session;
    operator_sessions_.push_back(std::move(session));
    here.task = ServeOperator(here);
    here.task.Start();
  }
}

Task<> CoordinatorMember::ServeOperator(OperatorSession& session) {
  const Micros until = machine_.Now() + kOperatorTimeout;
  std::string words;
  std::unique_ptr<Stream> passed_stream;
  Io io = Io::kLater;
  while ((io = session.channel->Receive(words, passed_stream)) == Io::kLater) {
    if (!co_await session.channel->Wait(until)) break;
  }
  if (io == Io::kSome) {
    const std::string answer = co_await AnswerOperator(words);
    for (size_t at = 0; at < answer.size();) {
      const Io sent = session.channel->Send(std::string_view(answer).substr(at, kAnswerChunkBytes));
      if (sent == Io::kBroken) break;
      if (sent == Io::kSome) {
        at += kAnswerChunkBytes;
      } else if (!co_await session.channel->Wait(until)) {
        break;
      }
    }
  }
  session.channel.reset();
  session.finished = true;
}

}  // namespace burlfall
