#include "serve/program.h"

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <utility>

#include "serve/paths.h"

namespace burlfall {
namespace {

// After the word to end, connections still come for up to 0.4 s; they would be refused without a listener. A
// little longer does no harm where the platform waits: it does for the longest deadline, or 3 s where that is
// longer, and 0.7 s. What it finds unanswered then is lost.
constexpr Micros kStillCome = 400 * kMs;
constexpr Micros kDrainFor = 800 * kMs;
constexpr Micros kMostWaitedFor = 3 * kSecond;
constexpr Micros kKilledAfter = 700 * kMs;
constexpr Micros kBeforeKill = 100 * kMs;  // the answers are still to be written, and read
constexpr Micros kCloseFor = 1200 * kMs;   // for links that owe nothing: one lingers for 1 s
constexpr Micros kCloseStep = 20 * kMs;
constexpr Micros kFinishFor = 300 * kMs;      // for the last lines, where what takes them is slow
constexpr Micros kCountsFor = 600 * kSecond;  // members that were lost from sight
constexpr Micros kSweepEvery = 500 * kMs;
// Drained by hand: the front has looked away by then, and links that are not in use may close.
constexpr Micros kAsideThinAfter = 600 * kMs;
constexpr Micros kAsideStep = 50 * kMs;

constexpr Micros kPassStep = 10 * kMs;       // between two looks at links that found no room to go over
constexpr Micros kTellUseEvery = 100 * kMs;  // of descriptors and memory, to the heir

// Connections that operators may hold at a time: of few descriptors few.
constexpr size_t kLeastCalls = 8, kMostCalls = 32, kCallsPart = 16;

size_t Calls(size_t descriptors) { return std::clamp(descriptors / kCallsPart, kLeastCalls, kMostCalls); }

Micros LongestDeadline(const meadowslip::Settings& settings) {
  Micros longest = 0;
  for (const meadowslip::RequestClass& c : settings.classes) longest = std::max(longest, c.deadline);
  return longest;
}

Micros DrainFor(const meadowslip::Settings& settings) {
  return std::min(kDrainFor, kStillCome + LongestDeadline(settings) / 2);
}

// From the word to end: by then all that is owed is answered.
Micros AnswersWithin(const meadowslip::Settings& settings) {
  return std::min(LongestDeadline(settings), kMostWaitedFor) + kKilledAfter - kBeforeKill;
}

start::AskRules AskRulesFor(const StartSettings& start, const Config& config) {
  const meadowslip::Settings& settings = config.settings;
  start::AskRules rules;
  rules.must_ask_within = settings.must_ask_within;
  rules.balancers = start.balancers > 0 ? start.balancers : settings.nodes;
  rules.calls_per_s = start.list_service.calls_per_s;
  if (settings.nodes > 1) {
    rules.number = static_cast<int>(settings.node_index * rules.balancers / settings.nodes);
  }
  return rules;
}

// As it was named, with the port that it got.
std::string Shown(const Address& at, uint16_t port) {
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
                                                                 config_.settings, log.outlet(), counters_)
                                     : nullptr),
      start_(start.value_or(StartSettings())),
      hosts_(config_.settings),
      upstream_(machine, config_.settings, hosts_, budget_, counters_, config_.in_service),
      discovery_(
          machine, config_, counters,
          [this](const HostList* list, const std::string& why) { Take(list, why); }, PaceFor(start)),
      dispatcher_(
          machine.scheduler(), config_.settings, config_.seed, upstream_, [this] { discovery_.Follow(); },
          counters_),
      front_({machine, config_, dispatcher_, budget_, tokens_, door_, figures_.get(), counters_, NotReady()}),
      council_settings_(council),
      cluster_(cluster),
      moved_(machine.scheduler()),
      sweep_(machine.scheduler()) {
  if (config_.admin.length > 0)
    control_.emplace(machine_, config_.admin, Calls(descriptors()), static_cast<Operations&>(*this));
  if (config_.passed >= 0 && !config_.folder.empty()) {
    handover_.emplace(machine_, PathFor(config_, config_.folder, ".sock"), config_.name,
                      static_cast<Heritage&>(*this), log_);
  }
  Allow();
  budget_.Add(front_);
  budget_.Add(upstream_);
  tokens_.Configure(properties.tokens);
  door_.Configure(properties.door);
  if (properties.capture.on) {
    capture_ = std::make_unique<Capture>(
        machine, properties.capture, config_, hosts_, [this] { return dispatcher_.Save(); }, log, counters_);
  }
  dispatcher_.Observe(figures_.get(), capture_.get());
  front_.OnAllAnswered([this] {
    nothing_owed_at_ = machine_.Now();
    moved_.Notify();
  });
}

// As a member of the cluster and the council. Of the two processes of an upgrade it is the one that has the
// door.
void Program::Join() {
  if (council_settings_) {
    const std::string& place = NamedFolder(config_, council_settings_->folder);
    council_ = std::make_unique<Council>(
        machine_, *council_settings_,
        Council::Setup{config_.name, PathFor(config_, place, ""), place, [this] { return SightsNow(); }},
        log_, counters_);
    council_->Start();
  }
  if (!cluster_) return;
  const ClusterSettings& cluster = *cluster_;
  ClusterMember::Setup setup;
  setup.name = config_.name;
  const std::string& folder = NamedFolder(config_, cluster.folder);
  if (!folder.empty()) setup.socket = PathFor(config_, folder, ".cluster");
  setup.facts = [this, zone = cluster.zone] {
    cluster::Facts facts = FactsNow();
    facts.zone = zone;
    return facts;
  };
  setup.on_list_behind = [this] { discovery_.Again(); };
  member_.emplace(machine_, cluster, std::move(setup), log_, counters_);
  member_->Start();
}

// Shares of the balancers, by zone and in all: who died lately, and who has no list.
std::vector<Council::Setup::Sight> Program::SightsNow() const {
  std::vector<Council::Setup::Sight> sights;
  if (!member_) return sights;
  const Micros now = machine_.Now();
  struct Seen {
    double all = 0, dead = 0;
  };
  std::map<std::string, Seen> zones;
  zones[cluster_->zone].all += 1;
  double alive = 1, without_list = hosts_.version() == 0 ? 1 : 0;
  for (const auto& [name, member] : member_->detector().members()) {
    const bool dead = member.state == cluster::State::kDead;
    if (member.state == cluster::State::kLeft || (dead && now - member.since > kCountsFor)) continue;
    Seen& zone = zones[member.facts.zone];
    zone.all += 1;
    zone.dead += dead ? 1 : 0;
    alive += dead ? 0 : 1;
    without_list += !dead && member.facts.list_version == 0 ? 1 : 0;
  }
  using freeze::IncidentKind;
  for (const auto& [name, zone] : zones) {
    if (!name.empty())
      sights.push_back({IncidentKind::kZoneDown, freeze::Scope::Zone(name), zone.dead / zone.all});
  }
  sights.push_back({IncidentKind::kNoLists, freeze::Scope::Site(), without_list / alive});
  return sights;
}

// What other balancers are told of this one.
cluster::Facts Program::FactsNow() const {
  cluster::Facts facts;
  facts.build = BURLFALL_VERSION;
  facts.phase = static_cast<uint8_t>(phase_);
  facts.configuration = cluster::DigestOf(config_.settings_json);
  facts.list_version = hosts_.version();
  const Micros wall = machine_.WallClock();
  facts.list_age_ms = heard_at_ == 0 ? 0 : static_cast<uint64_t>(std::max<Micros>(0, wall - heard_at_) / kMs);
  const size_t most = budget_.max_links();
  facts.used_percent =
      most == 0 ? 0 : static_cast<uint8_t>(std::min<size_t>(100, 100 * budget_.open() / most));
  return facts;
}

start::Asking* Program::PaceFor(const std::optional<StartSettings>& start) {
  if (!start) return nullptr;
  if (!start_.saved_list.folder.empty()) {
    keeper_.emplace(static_cast<Micros>(start_.saved_list.write_every_s * static_cast<double>(kSecond)),
                    static_cast<Micros>(start_.saved_list.oldest_s * static_cast<double>(kSecond)));
  }
  // What is pushed nobody else waits for, and it counts as told from the first moment.
  if (!start_.list_service.paced || !config_.settings.must_subscribe) return nullptr;
  return &asking_.emplace(AskRulesFor(start_, config_), std::hash<std::string>()(config_.name));
}

// A gate as the others: what can't be carried before the first list is turned away at once, and not held.
std::function<std::optional<Micros>(Micros)> Program::NotReady() {
  if (!asking_) return {};
  return [this](Micros patience) -> std::optional<Micros> {
    if (hosts_.Ready() > 0) return std::nullopt;
    return asking_->Refuses(machine_.Now(), patience, machine_.RandomUnit());
  };
}

size_t Program::descriptors() const {
  return std::min(static_cast<size_t>(config_.sockets), machine_.MaxDescriptors());
}

void Program::Allow() {
  budget_.SetDescriptors(descriptors(), other_.descriptors + (control_ ? Calls(descriptors()) + 1 : 0));
  dispatcher_.SetMaxOpenQueries(front_.max_open_queries());
}

// ---- The start -------------------------------------------------------------------------------------------

void Program::Start() {
  if (figures_) figures_->Start();
  if (control_) {
    control_->Open();
    log_.Tell<"admin_serving">(Shown(config_.admin, control_->port()));
  }
  begin_ = Begin();
  begin_.Start();
}

Task<> Program::Begin() {
  std::optional<Estate> estate;
  if (handover_) estate = co_await handover_->Claim();
  if (estate && told_to_end_at_) {
    // Whoever has the door keeps it. Guards against both ending where one was told to.
    handover_.reset();
    phase_ = Phase::kStopped;
    machine_.scheduler().Stop();
    co_return;
  }
  if (!estate || !TakeOver(*estate)) BeginAlone();
  if (capture_) capture_->Start();
  began_at_ = machine_.Now();
  if (asking_) {
    asking_->Begin(began_at_, hosts_.Ready() > 0, machine_.RandomUnit(), estate ? 0 : BeganBefore());
  }
  // Where starts are paced, the service hands out whole lists first and begins watches once all have theirs.
  const bool has_list = !asking_ && !list_moved_ && hosts_.Ready() > 0;
  discovery_.Start(has_list ? std::optional<uint64_t>(hosts_.version()) : std::nullopt);
  dispatcher_.OnList(hosts_.AsItStands());
  // A module that was taken over may believe that discovery is followed.
  if (estate) discovery_.Follow();
  phase_ = Phase::kServing;
  dispatcher_.Start();
  sweeper_ = Sweep();
  sweeper_.Start();
  phases_ = Phases();
  phases_.Start();
  front_.Open();
  if (estate && estate->aside) {
    SetAside(true);
    aside_since_ = estate->aside_since;
  }
  if (handover_) handover_->Serve();
  Join();
  log_.Tell<"serving">(config_.name, Shown(config_.listen, front_.port()));
  if (asking_) {
    told_phase_ = asking_->phase();
    log_.Tell<"start_phase">(start::NameOf(told_phase_), 0, (asking_->next_at() - began_at_) / kMs,
                             asking_->window() / kMs, counters_.list_calls);
  }
  if (told_to_end_at_) Drain();
}

// From the list that the configuration came with.
void Program::BeginAlone() {
  if (!UseSavedList()) hosts_.Take(config_.known, machine_.Now());
  list_log_.emplace(machine_.scheduler(), hosts_, log_);
  ReadOut();
}

// ---- The rest --------------------------------------------------------------------------------------------

void Program::Take(const HostList* list, const std::string& why) {
  meadowslip::BackendList told;
  told.kind = meadowslip::ListKind::kFailed;
  if (list != nullptr) {
    const bool changed = list->version != hosts_.version() || (list->full && heard_at_ == 0);
    heard_at_ = machine_.WallClock();
    if (keeper_) keeper_->Heard(changed);
    told = hosts_.Take(*list, machine_.Now());
    upstream_.CloseStaleIdle();
    list_log_->Heard();
  } else {
    list_log_->Failed(why);
  }
  dispatcher_.OnList(told);
  TellStart();
}

void Program::Drain() {
  if (!told_to_end_at_) {
    told_to_end_at_ = machine_.Now();
    dispatcher_.SetShutdownDeadline(*told_to_end_at_ + AnswersWithin(config_.settings));
  }
  if (!Serving()) return;
  phase_ = Phase::kDraining;
  log_.Tell<"draining">(front_.open());
  front_.StartLeaving();
  moved_.Notify();
}

bool Program::Reload(Config config) {
  const bool same = config.settings == config_.settings && config.listen.text == config_.listen.text &&
                    config.name == config_.name;
  config_.discovery = config.discovery;
  config_.sockets = config.sockets;
  Allow();
  // Nothing could take a list yet: the start itself then asks, at the new place, for the whole of it.
  if (phase_ == Phase::kStarting) {
    list_moved_ = true;
  } else {
    discovery_.Again();
  }
  return same;
}

void Program::Reload(const Properties& properties) {
  tokens_.Configure(properties.tokens);
  door_.Configure(properties.door);
  if (figures_) figures_->Reopen();
}

void Program::Dump() {
  if (capture_) capture_->Dump();
}

void Program::Finish() {
  if (asking_ && !start_.saved_list.folder.empty()) machine_.files().Remove(KeptPath(".starts"));
  if (capture_) capture_->Finish(kFinishFor);
  if (figures_) figures_->Finish(kFinishFor);
}

// A hand-over may be taken back, and a drain by hand; the end may not.
Task<> Program::Phases() {
  while (phase_ != Phase::kClosing) {
    switch (phase_) {
      case Phase::kAside:
        if (machine_.Now() >= aside_since_ + kAsideThinAfter) front_.CloseIdleLinks();
        co_await moved_.Wait(machine_.Now() + kAsideStep);
        break;
      case Phase::kDraining:
        co_await Drained();
        break;
      case Phase::kHandedOver:
        co_await HandedOver();
        break;
      default:
        co_await moved_.Wait();
    }
  }
  if (handover_) handover_->End();
  if (member_) member_->Leave();
  if (council_) council_->Leave();
  co_await Closing();
  phase_ = Phase::kStopped;
  machine_.scheduler().Stop();
}

Task<> Program::Drained() {
  // Counted from the word to end: the platform counts from there, whatever lay between.
  const Micros until = *told_to_end_at_ + DrainFor(config_.settings);
  while (phase_ == Phase::kDraining && machine_.Now() < until) co_await moved_.Wait(until);
  if (phase_ == Phase::kDraining) phase_ = Phase::kClosing;
}

// Until all client links are the other's by its own word, or have ended. One that was told to end waits no
// longer than a drain lasts for an heir that takes none, or does not say so. Guards the clients of those
// links, who go on sending until the kill.
Task<> Program::HandedOver() {
  Micros tell_at = 0;
  while (phase_ == Phase::kHandedOver) {
    const bool waited = told_to_end_at_ && machine_.Now() >= *told_to_end_at_ + DrainFor(config_.settings);
    const bool all_passed = front_.open() == 0;
    if ((all_passed && handover_->HeirHoldsAll()) || (waited && (all_passed || !heir_takes_))) {
      phase_ = Phase::kClosing;
      break;
    }
    front_.WakeLinks();
    if (machine_.Now() >= tell_at) {
      TellUse();
      tell_at = machine_.Now() + kTellUseEvery;
    }
    co_await moved_.Wait(machine_.Now() + kPassStep);
  }
}

Task<> Program::Closing() {
  log_.Tell<"closing">(front_.open());
  front_.Close();
  // Links that linger are waited for, from the last answer on. Guards that answer: an end of the process over
  // bytes that were not read would reset its link.
  nothing_owed_at_ = machine_.Now();
  const Micros latest = told_to_end_at_ ? *told_to_end_at_ + AnswersWithin(config_.settings) : kNever;
  while (!front_.TryFinishClosing(machine_.Now() >= std::min(nothing_owed_at_ + kCloseFor, latest))) {
    co_await moved_.Wait(machine_.Now() + kCloseStep);
  }
}

Task<> Program::Sweep() {
  while (true) {
    co_await sweep_.Wait(machine_.Now() + kSweepEvery);
    upstream_.CloseStaleIdle();
    list_log_->Tell();
    TellDescriptors();
    KeepOutLate();
    KeepList();
    TellStart();
    ShareByMembers();
  }
}

// Where nobody configured how many balancers share the list service, those that are known do; a view that has
// just shrunk counts as it was.
void Program::ShareByMembers() {
  if (!asking_ || !member_ || start_.balancers > 0) return;
  const size_t known = member_->detector().MaxAliveWithin(machine_.Now(), kCountsFor);
  asking_->SharedBy(std::max<double>(config_.settings.nodes, static_cast<double>(known)));
}

// At the edges alone, and far apart, so that a budget that is nearly used up makes few lines.
void Program::TellDescriptors() {
  const size_t open = budget_.open(), most = budget_.max_links();
  if (!descriptors_tight_ && budget_.tight()) {
    descriptors_tight_ = true;
    log_.Tell<"descriptors_tight">(open, most);
  } else if (descriptors_tight_ && open < most / 2) {
    descriptors_tight_ = false;
    log_.Tell<"descriptors_enough">(open, most);
  }
}

}  // namespace burlfall
