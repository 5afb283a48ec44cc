#include "serve/program.h"

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <utility>

#include "serve/paths.h"

namespace burlfall {
namespace {

// After the shutdown request, connections still arrive for up to 0.4 s and would be refused without a
// listener. Draining for longer than that is safe, because the platform waits before it kills the process:
// for the longest deadline, or 3 s if that is longer, and then 0.7 s. Queries that are still open at the kill
// are lost.
constexpr Micros kConnectionsArriveFor = 400 * kMs;
constexpr Micros kMaxDrainTime = 800 * kMs;
constexpr Micros kMaxAnswerWait = 3 * kSecond;
constexpr Micros kKillDelay = 700 * kMs;
constexpr Micros kKillMargin = 100 * kMs;      // to write the answers, and for clients to read them
constexpr Micros kMaxLingerWait = 1200 * kMs;  // for links without an open query: one lingers for 1 s
constexpr Micros kClosingPollInterval = 20 * kMs;
constexpr Micros kFinishTimeout = 300 * kMs;          // for the last records, if their receiver is slow
constexpr Micros kMemberCountWindow = 600 * kSecond;  // dead members are counted for so long
constexpr Micros kSweepInterval = 500 * kMs;
// After this time of a manual drain the load balancer in front has stopped sending new connections, so that
// idle links may close.
constexpr Micros kManualDrainCloseIdleAfter = 600 * kMs;
constexpr Micros kManualDrainPollInterval = 50 * kMs;

// Between attempts to pass links that the socket had no room for.
constexpr Micros kHandoverPollInterval = 10 * kMs;
constexpr Micros kSendUseInterval = 100 * kMs;  // sends descriptors and memory in use to the successor

constexpr size_t kMegabyte = 1024 * 1024;

// Ids kept of requests that must not run again, in proportion to the memory; each takes some 60 bytes.
constexpr size_t kRequestIdsPerMegabyte = 256, kMaxRequestIds = 16384;

// Limits on the operators' simultaneous connections, in proportion to the descriptors.
constexpr size_t kMinOperatorConnections = 8, kMaxOperatorConnections = 32,
                 kDescriptorsPerOperatorConnection = 16;

size_t MaxOperatorConnections(size_t descriptors) {
  return std::clamp(descriptors / kDescriptorsPerOperatorConnection, kMinOperatorConnections,
                    kMaxOperatorConnections);
}

Micros LongestDeadline(const meadowslip::Settings& settings) {
  Micros longest = 0;
  for (const meadowslip::RequestClass& c : settings.classes) longest = std::max(longest, c.deadline);
  return longest;
}

Micros DrainTime(const meadowslip::Settings& settings) {
  return std::min(kMaxDrainTime, kConnectionsArriveFor + LongestDeadline(settings) / 2);
}

// Time from the shutdown request by which every open query has its answer.
Micros ShutdownAnswerTime(const meadowslip::Settings& settings) {
  return std::min(LongestDeadline(settings), kMaxAnswerWait) + kKillDelay - kKillMargin;
}

start::PacerRules ListPacingRules(const StartSettings& start, const Config& config) {
  const meadowslip::Settings& settings = config.settings;
  start::PacerRules rules;
  rules.must_ask_within = settings.must_ask_within;
  rules.balancers = start.balancers > 0 ? start.balancers : settings.nodes;
  rules.calls_per_s = start.list_service.calls_per_s;
  if (settings.nodes > 1) {
    rules.number = static_cast<int>(settings.node_index * rules.balancers / settings.nodes);
  }
  return rules;
}

// The address as configured, with the port that was actually bound.
std::string AddressWithPort(const Address& at, uint16_t port) {
  return at.text.substr(0, at.text.rfind(':') + 1) + std::to_string(port);
}

}  // namespace

Program::Program(Machine& machine, Config config, const Properties& properties, Log& log, Counters& counters,
                 const std::optional<StartSettings>& start, const std::optional<ClusterSettings>& cluster,
                 const std::optional<CouncilSettings>& council)
    : machine_(machine),
      config_(std::move(config)),
      log_(log),
      counters_(counters),
      figures_(properties.figures.on ? std::make_unique<Figures>(machine, properties.figures,
                                                                 config_.settings, log.sink(), counters_)
                                     : nullptr),
      memory_(static_cast<size_t>(config_.memory_mb) * kMegabyte),
      start_(start.value_or(StartSettings())),
      hosts_(config_.settings),
      upstream_(machine, config_.settings, hosts_, budget_, memory_.answers, counters_, config_.in_service),
      discovery_(
          machine, config_, counters,
          [this](const HostList* list, const std::string& why) { OnListUpdate(list, why); },
          CreateListPacing(start)),
      dispatcher_(
          machine.scheduler(), config_.settings, config_.seed, upstream_, [this] { discovery_.Follow(); },
          counters_),
      front_({machine, config_, dispatcher_, budget_, memory_, tokens_, rate_limiter_, figures_.get(),
              counters_, CreateReadinessGate()}),
      council_settings_(council),
      cluster_(cluster),
      phase_event_(machine.scheduler()),
      sweep_timer_(machine.scheduler()) {
  if (config_.admin.length > 0)
    control_.emplace(machine_, config_.admin, MaxOperatorConnections(descriptors()),
                     static_cast<Operations&>(*this));
  if (config_.passed_listener >= 0 && !config_.folder.empty()) {
    handover_.emplace(machine_, PathFor(config_, config_.folder, ".sock"), config_.name,
                      static_cast<HandoverHandler&>(*this), log_);
  }
  UpdateDescriptorLimits();
  budget_.Add(front_);
  budget_.Add(upstream_);
  tokens_.Configure(properties.tokens);
  rate_limiter_.Configure(properties.rate_limits);
  if (properties.capture.on) {
    capture_ = std::make_unique<Capture>(
        machine, properties.capture, config_, hosts_, [this] { return dispatcher_.Save(); }, log, counters_);
  }
  dispatcher_.Observe(figures_.get(), capture_.get());
  dispatcher_.request_ids().SetCapacity(
      std::min(kMaxRequestIds, static_cast<size_t>(config_.memory_mb) * kRequestIdsPerMegabyte));
  dispatcher_.OnIdSubmitted([this](RequestIdDigest id) {
    if (handover_) handover_->SendBegun(id);
  });
  front_.OnAllAnswered([this] {
    all_answered_at_ = machine_.Now();
    phase_event_.Notify();
  });
}

// Joins the cluster and the coordinator group. Of the two processes of an upgrade, only the one that has the
// listener joins.
void Program::Join() {
  if (council_settings_) {
    const std::string& place = ResolveFolder(config_, council_settings_->folder);
    council_ = std::make_unique<CoordinatorMember>(
        machine_, *council_settings_,
        CoordinatorMember::Setup{config_.name, PathFor(config_, place, ""), place,
                                 [this] { return CurrentObservations(); }},
        log_, counters_);
    council_->Start();
  }
  if (!cluster_) return;
  const ClusterSettings& cluster = *cluster_;
  ClusterMember::Setup setup;
  setup.name = config_.name;
  const std::string& folder = ResolveFolder(config_, cluster.folder);
  if (!folder.empty()) setup.socket = PathFor(config_, folder, ".cluster");
  setup.facts = [this, zone = cluster.zone] {
    cluster::Facts facts = CurrentFacts();
    facts.zone = zone;
    return facts;
  };
  setup.on_list_behind = [this] { discovery_.Reconnect(); };
  member_.emplace(machine_, cluster, std::move(setup), log_, counters_);
  member_->Start();
}

// The share of dead balancers in each zone, and the share of live balancers without a list. Balancers that
// died longer than kMemberCountWindow ago don't count.
std::vector<CoordinatorMember::Setup::Observation> Program::CurrentObservations() const {
  std::vector<CoordinatorMember::Setup::Observation> observations;
  if (!member_) return observations;
  const Micros now = machine_.Now();
  struct ZoneCounts {
    double all = 0, dead = 0;
  };
  std::map<std::string, ZoneCounts> zones;
  zones[cluster_->zone].all += 1;
  double alive = 1, without_list = hosts_.version() == 0 ? 1 : 0;
  for (const auto& [name, member] : member_->detector().members()) {
    const bool dead = member.state == cluster::State::kDead;
    if (member.state == cluster::State::kLeft || (dead && now - member.since > kMemberCountWindow)) continue;
    ZoneCounts& zone = zones[member.facts.zone];
    zone.all += 1;
    zone.dead += dead ? 1 : 0;
    alive += dead ? 0 : 1;
    without_list += !dead && member.facts.list_version == 0 ? 1 : 0;
  }
  using freeze::IncidentKind;
  for (const auto& [name, zone] : zones) {
    if (!name.empty())
      observations.push_back({IncidentKind::kZoneDown, freeze::Scope::Zone(name), zone.dead / zone.all});
  }
  observations.push_back({IncidentKind::kNoLists, freeze::Scope::Site(), without_list / alive});
  return observations;
}

// What this balancer announces about itself to the others.
cluster::Facts Program::CurrentFacts() const {
  cluster::Facts facts;
  facts.build = BURLFALL_VERSION;
  facts.phase = static_cast<uint8_t>(phase_);
  facts.configuration = cluster::DigestOf(config_.settings_json);
  facts.list_version = hosts_.version();
  const Micros wall = machine_.WallClock();
  facts.list_age_ms =
      list_received_at_ == 0 ? 0 : static_cast<uint64_t>(std::max<Micros>(0, wall - list_received_at_) / kMs);
  const size_t most = budget_.max_links();
  facts.used_percent =
      most == 0 ? 0 : static_cast<uint8_t>(std::min<size_t>(100, 100 * budget_.open() / most));
  return facts;
}

start::CallPacer* Program::CreateListPacing(const std::optional<StartSettings>& start) {
  if (!start) return nullptr;
  if (!start_.saved_list.folder.empty()) {
    list_saver_.emplace(static_cast<Micros>(start_.saved_list.write_every_s * static_cast<double>(kSecond)),
                        static_cast<Micros>(start_.saved_list.oldest_s * static_cast<double>(kSecond)));
  }
  // A pushed list needs no pacing: no other balancer waits for it, and it counts as received from the start.
  if (!start_.list_service.paced || !config_.settings.must_subscribe) return nullptr;
  return &list_pacing_.emplace(ListPacingRules(start_, config_), std::hash<std::string>()(config_.name));
}

// The gate for queries before the first list: those that can't be served in time are refused at once instead
// of being held.
std::function<std::optional<Micros>(Micros)> Program::CreateReadinessGate() {
  if (!list_pacing_) return {};
  return [this](Micros timeout) -> std::optional<Micros> {
    if (hosts_.Ready() > 0) return std::nullopt;
    return list_pacing_->RetryDelay(machine_.Now(), timeout, machine_.RandomUnit());
  };
}

size_t Program::descriptors() const {
  return std::min(static_cast<size_t>(config_.sockets), machine_.MaxDescriptors());
}

void Program::UpdateDescriptorLimits() {
  budget_.SetDescriptors(descriptors(),
                         other_use_.descriptors + (control_ ? MaxOperatorConnections(descriptors()) + 1 : 0));
  dispatcher_.SetMaxOpenQueries(front_.max_open_queries());
}

// ---- The start -------------------------------------------------------------------------------------------

void Program::Start() {
  if (figures_) figures_->Start();
  if (control_) {
    control_->Open();
    log_.Emit<"admin_serving">(AddressWithPort(config_.admin, control_->port()));
  }
  start_task_ = RunStart();
  start_task_.Start();
}

Task<> Program::RunStart() {
  std::optional<HandoverState> estate;
  if (handover_) estate = co_await handover_->Claim();
  if (estate) co_await handover_->ReceiveBegunRequests();
  if (estate && shutdown_requested_at_) {
    // The predecessor keeps the listener. Otherwise both processes would end, although only this one was
    // asked to end.
    handover_.reset();
    phase_ = Phase::kStopped;
    machine_.scheduler().Stop();
    co_return;
  }
  if (!estate || !TakeOver(*estate)) StartFresh();
  if (capture_) capture_->Start();
  start_began_at_ = machine_.Now();
  if (list_pacing_) {
    list_pacing_->Begin(start_began_at_, hosts_.Ready() > 0, machine_.RandomUnit(),
                        estate ? 0 : RecordStart());
  }
  // With paced starts, the list service sends complete lists first and begins watches once every balancer
  // has a list.
  const bool has_list = !list_pacing_ && !discovery_changed_ && hosts_.Ready() > 0;
  discovery_.Start(has_list ? std::optional<uint64_t>(hosts_.version()) : std::nullopt);
  dispatcher_.OnList(hosts_.Snapshot());
  // The decision module's inherited state may assume that discovery is already being followed.
  if (estate) discovery_.Follow();
  phase_ = Phase::kServing;
  dispatcher_.Start();
  sweep_task_ = RunSweep();
  sweep_task_.Start();
  phases_task_ = RunPhases();
  phases_task_.Start();
  front_.Open();
  if (estate && estate->drained_manually) {
    SetManualDrain(true);
    manual_drain_since_ = estate->drained_since;
  }
  if (handover_) handover_->Serve();
  Join();
  log_.Emit<"serving">(config_.name, AddressWithPort(config_.listen, front_.port()));
  if (list_pacing_) {
    logged_phase_ = list_pacing_->phase();
    log_.Emit<"start_phase">(start::NameOf(logged_phase_), 0,
                             (list_pacing_->next_at() - start_began_at_) / kMs, list_pacing_->window() / kMs,
                             counters_.list_calls);
  }
  if (shutdown_requested_at_) Drain();
}

// Starts without a predecessor: from the saved list, or else from the list in the configuration.
void Program::StartFresh() {
  if (!ApplySavedList()) hosts_.ApplyList(config_.initial_hosts, machine_.Now());
  list_log_.emplace(machine_.scheduler(), hosts_, log_);
  LoadOutFile();
}

// ---- Service and shutdown --------------------------------------------------------------------------------

void Program::OnListUpdate(const HostList* list, const std::string& why) {
  meadowslip::BackendList update;
  update.kind = meadowslip::ListKind::kFailed;
  if (list != nullptr) {
    const bool changed = list->version != hosts_.version() || (list->full && list_received_at_ == 0);
    list_received_at_ = machine_.WallClock();
    if (list_saver_) list_saver_->OnConfirmed(changed);
    update = hosts_.ApplyList(*list, machine_.Now());
    upstream_.CloseStaleIdle();
    list_log_->OnListApplied();
  } else {
    list_log_->OnFailure(why);
  }
  dispatcher_.OnList(update);
  LogStartPhase();
}

void Program::Drain() {
  if (!shutdown_requested_at_) {
    shutdown_requested_at_ = machine_.Now();
    dispatcher_.SetShutdownDeadline(*shutdown_requested_at_ + ShutdownAnswerTime(config_.settings));
  }
  if (!Serving()) return;
  phase_ = Phase::kDraining;
  log_.Emit<"draining">(front_.open());
  front_.StartLeaving();
  phase_event_.Notify();
}

bool Program::Reload(Config config) {
  const bool same = config.settings == config_.settings && config.listen.text == config_.listen.text &&
                    config.name == config_.name;
  config_.discovery = config.discovery;
  config_.sockets = config.sockets;
  UpdateDescriptorLimits();
  // Before the start is complete nothing can receive a list. The start itself then requests a complete list
  // from the new address.
  if (phase_ == Phase::kStarting) {
    discovery_changed_ = true;
  } else {
    discovery_.Reconnect();
  }
  return same;
}

void Program::Reload(const Properties& properties) {
  tokens_.Configure(properties.tokens);
  rate_limiter_.Configure(properties.rate_limits);
  if (figures_) figures_->Reopen();
}

void Program::Dump() {
  if (capture_) capture_->Dump();
}

void Program::Finish() {
  if (list_pacing_ && !start_.saved_list.folder.empty()) machine_.files().Remove(SavedPath(".starts"));
  if (capture_) capture_->Finish(kFinishTimeout);
  if (figures_) figures_->Finish(kFinishTimeout);
}

// Runs the phases until the program ends. A hand-over and a manual drain can be reverted, a shutdown can't.
Task<> Program::RunPhases() {
  while (phase_ != Phase::kClosing) {
    switch (phase_) {
      case Phase::kDrainedManually:
        if (machine_.Now() >= manual_drain_since_ + kManualDrainCloseIdleAfter) front_.CloseIdleLinks();
        co_await phase_event_.Wait(machine_.Now() + kManualDrainPollInterval);
        break;
      case Phase::kDraining:
        co_await RunDraining();
        break;
      case Phase::kHandedOver:
        co_await RunHandedOver();
        break;
      default:
        co_await phase_event_.Wait();
    }
  }
  if (handover_) handover_->End();
  if (member_) member_->Leave();
  if (council_) council_->Leave();
  co_await RunClosing();
  phase_ = Phase::kStopped;
  machine_.scheduler().Stop();
}

Task<> Program::RunDraining() {
  // Counted from the shutdown request, as the platform counts, even if other phases came between.
  const Micros until = *shutdown_requested_at_ + DrainTime(config_.settings);
  while (phase_ == Phase::kDraining && machine_.Now() < until) co_await phase_event_.Wait(until);
  if (phase_ == Phase::kDraining) phase_ = Phase::kClosing;
}

// Waits until all client links have ended or the successor has confirmed that it holds them. After a shutdown
// request, a successor that accepts no links or does not confirm them is waited for only as long as a drain
// lasts; otherwise clients would go on sending on those links until the process is killed.
Task<> Program::RunHandedOver() {
  Micros next_use_at = 0;
  while (phase_ == Phase::kHandedOver) {
    const bool wait_expired =
        shutdown_requested_at_ && machine_.Now() >= *shutdown_requested_at_ + DrainTime(config_.settings);
    const bool all_passed = front_.open() == 0;
    if ((all_passed && handover_->SuccessorHasAllLinks()) ||
        (wait_expired && (all_passed || !successor_accepts_links_))) {
      phase_ = Phase::kClosing;
      break;
    }
    front_.WakeLinks();
    if (machine_.Now() >= next_use_at) {
      SendUse();
      next_use_at = machine_.Now() + kSendUseInterval;
    }
    co_await phase_event_.Wait(machine_.Now() + kHandoverPollInterval);
  }
}

Task<> Program::RunClosing() {
  log_.Emit<"closing">(front_.open());
  front_.Close();
  // Lingering links are waited for, counted from the last answer. If the process ended while a link has
  // unread bytes, the kernel would reset the link and the client could lose that answer.
  all_answered_at_ = machine_.Now();
  const Micros latest =
      shutdown_requested_at_ ? *shutdown_requested_at_ + ShutdownAnswerTime(config_.settings) : kNever;
  while (!front_.TryFinishClosing(machine_.Now() >= std::min(all_answered_at_ + kMaxLingerWait, latest))) {
    co_await phase_event_.Wait(machine_.Now() + kClosingPollInterval);
  }
}

Task<> Program::RunSweep() {
  while (true) {
    co_await sweep_timer_.Wait(machine_.Now() + kSweepInterval);
    upstream_.CloseStaleIdle();
    list_log_->LogChanges();
    LogDescriptorUse();
    WatchMemory();
    RetrySaveOutFile();
    SaveList();
    LogStartPhase();
    UpdateListServiceShare();
  }
}

// If the number of balancers that share the list service is not configured, the number of known members is
// used: the highest of the last kMemberCountWindow, so that a view that has just shrunk does not count yet.
void Program::UpdateListServiceShare() {
  if (!list_pacing_ || !member_ || start_.balancers > 0) return;
  const size_t known = member_->detector().MaxAliveWithin(machine_.Now(), kMemberCountWindow);
  list_pacing_->SetBalancers(std::max<double>(config_.settings.nodes, static_cast<double>(known)));
}

// Logs only the two transitions, like LogDescriptorUse().
void Program::WatchMemory() {
  const bool tight = memory_.requests.tight() || memory_.answers.tight();
  const bool ample = memory_.requests.ample() && memory_.answers.ample();
  if (memory_tight_ ? !ample : !tight) return;
  memory_tight_ = tight;
  const size_t requests_kb = memory_.requests.used() / 1024, answers_kb = memory_.answers.used() / 1024;
  const size_t resident_kb = machine_.ResidentBytes() / 1024;
  const size_t most_kb = static_cast<size_t>(config_.memory_mb) * 1024;
  if (tight) {
    log_.Emit<"memory_tight">(requests_kb, answers_kb, resident_kb, most_kb);
    return;
  }
  machine_.ReturnFreeMemory();
  log_.Emit<"memory_enough">(requests_kb, answers_kb, resident_kb, most_kb);
}

// The two processes of a hand-over share the limit, and each needs memory for itself beside what messages
// hold.
void Program::UpdateMemoryBudgets() {
  const size_t limit = static_cast<size_t>(config_.memory_mb) * kMegabyte;
  const bool two_processes = other_use_.descriptors > 0 || phase_ == Phase::kHandedOver;
  memory_.SetMemory(two_processes ? limit / 8 * 3 : limit);
}

// Logs only the two transitions. Their thresholds are far apart, so that a budget that is nearly used up
// writes few lines.
void Program::LogDescriptorUse() {
  const size_t open = budget_.open(), most = budget_.max_links();
  if (!descriptors_tight_ && budget_.tight()) {
    descriptors_tight_ = true;
    log_.Emit<"descriptors_tight">(open, most);
  } else if (descriptors_tight_ && open < most / 2) {
    descriptors_tight_ = false;
    log_.Emit<"descriptors_enough">(open, most);
  }
}

}  // namespace burlfall
