#include "serve/program.h"

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <utility>

namespace burlfall {
namespace {

constexpr char kOwnFolder[] = "$TMPDIR";  // of the saved list: where the configuration says
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

constexpr Micros kPassStep = 10 * kMs;        // between two looks at links that found no room to go over
constexpr Micros kTellUseEvery = 100 * kMs;   // of descriptors and memory, to the heir
constexpr Micros kClocksApart = 1 * kSecond;  // of two processes; beyond it times say nothing

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

// Several balancers may share the folder, by different names.
std::string PathFor(const Config& config, const std::string& folder, const char* what) {
  std::string name = config.name;
  std::replace_if(
      name.begin(), name.end(), [](char c) { return c == '/' || (c >= 0 && c <= ' '); }, '_');
  return folder + "/burlfall-" + name + what;
}

// A folder as the operators' files name it; empty: none.
const std::string& Named(const Config& config, const std::string& folder) {
  return folder == kOwnFolder ? config.folder : folder;
}

// Of the nodes that are out; empty: nowhere.
std::string OutPath(const Config& config) {
  return config.folder.empty() || config.admin.length == 0 ? "" : PathFor(config, config.folder, ".out");
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
  front_.OnNothingOwed([this] {
    nothing_owed_at_ = machine_.Now();
    moved_.Notify();
  });
}

// As a member of the cluster and the council. Of the two processes of an upgrade it is the one that has the
// door.
void Program::Join() {
  if (council_settings_) {
    const std::string& place = Named(config_, council_settings_->folder);
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
  const std::string& folder = Named(config_, cluster.folder);
  if (!folder.empty()) setup.socket = PathFor(config_, folder, ".cluster");
  setup.facts = [this, zone = cluster.zone] {
    cluster::Facts facts = FactsNow();
    facts.zone = zone;
    return facts;
  };
  setup.list_behind = [this] { discovery_.Again(); };
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
  for (const auto& [name, member] : member_->mind().members()) {
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
  const size_t most = budget_.most();
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
    return asking_->Refuses(machine_.Now(), patience, machine_.Draw());
  };
}

size_t Program::descriptors() const {
  return std::min(static_cast<size_t>(config_.sockets), machine_.MostDescriptors());
}

void Program::Allow() {
  budget_.Allow(descriptors(), other_.descriptors + (control_ ? Calls(descriptors()) + 1 : 0));
  dispatcher_.HoldAtMost(front_.most_queries());
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
    asking_->Begin(began_at_, hosts_.Ready() > 0, machine_.Draw(), estate ? 0 : BeganBefore());
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

// ---- The list from start to start ------------------------------------------------------------------------

std::string Program::KeptPath(const char* what) const {
  return PathFor(config_, Named(config_, start_.saved_list.folder), what);
}

std::string Program::ListPath(int file) const { return KeptPath(file == 0 ? ".list.0" : ".list.1"); }

// Further writes count on from what is found, whether it is used or not: the newer of two files is told by
// that.
start::SavedChoice Program::FindSavedList() {
  std::vector<start::SavedFile> files;
  for (const int file : {0, 1}) {
    std::optional<std::string> text = machine_.files().Read(ListPath(file));
    if (text) files.push_back({ListPath(file), std::move(*text)});
  }
  start::SavedChoice choice = start::ChooseSavedList(
      files, start::SiteOf(start_.saved_list.site, config_.settings), machine_.WallClock(),
      static_cast<Micros>(start_.saved_list.oldest_s * static_cast<double>(kSecond)));
  keeper_->Found(choice.last_number);
  return choice;
}

// What the configuration came with may be older, or nothing.
bool Program::UseSavedList() {
  if (!keeper_) return false;
  const start::SavedChoice choice = FindSavedList();
  for (const auto& [path, why] : choice.refused) log_.Tell<"saved_list_refused">(path, why);
  if (!choice.list) return false;
  if (choice.list->version < config_.known.version && !config_.known.hosts.empty()) return false;
  HostList list;
  list.version = choice.list->version;
  list.full = true;
  for (const start::SavedNode& node : choice.list->nodes) {
    HostEntry& entry = list.hosts.emplace_back();
    entry.name = node.name;
    entry.address = ParseAddress(node.address);
    entry.entry.state = node.state;
    entry.entry.zone = node.zone;
    entry.entry.cell = node.cell;
    entry.entry.kind = node.kind;
    entry.entry.started_at = node.started_at;
    entry.entry.size = node.size;
  }
  hosts_.Take(list, machine_.Now());
  log_.Tell<"saved_list_used">(list.hosts.size(), list.version, choice.age / kMs);
  return true;
}

void Program::KeepList() {
  if (!keeper_ || !keeper_->Due(machine_.Now())) return;
  start::SavedList list;
  list.site = start::SiteOf(start_.saved_list.site, config_.settings);
  list.version = hosts_.version();
  list.heard_at = heard_at_;
  list.number = keeper_->NextNumber();
  for (const HostRecord& host : hosts_.Records()) {
    if (host.listed == meadowslip::BackendState::kGone) continue;
    list.nodes.push_back({host.name, host.address, host.listed, std::max(0, host.zone),
                          std::max(0, host.cell), std::max(0, host.kind), host.started_at, host.size});
  }
  const std::string path = ListPath(keeper_->NextFile());
  std::string why;
  const bool done = list.nodes.empty() || machine_.files().Replace(path, start::WriteSavedList(list), why);
  keeper_->Wrote(machine_.Now(), done);
  if (!done && !std::exchange(list_file_bad_, true)) log_.Tell<"saved_list_error">(path, why);
  if (done) list_file_bad_ = false;
}

int Program::BeganBefore() {
  if (start_.saved_list.folder.empty()) return 0;
  const std::string path = KeptPath(".starts");
  start::StartBook book(machine_.files().Read(path).value_or(""));
  const Micros wall = machine_.WallClock();
  const int before = book.Within(asking_->loop_span(), wall);
  book.Add(wall);
  std::string why;
  if (!machine_.files().Replace(path, book.Text(), why) && !std::exchange(list_file_bad_, true)) {
    log_.Tell<"saved_list_error">(path, why);
  }
  if (before > 0) log_.Tell<"start_again">(before, asking_->loop_span() / kMs);
  return before;
}

// Where the start stands, whenever that changes.
void Program::TellStart() {
  if (!asking_ || asking_->phase() == told_phase_) return;
  told_phase_ = asking_->phase();
  const Micros now = machine_.Now();
  log_.Tell<"start_phase">(start::NameOf(told_phase_), (now - began_at_) / kMs,
                           std::max<Micros>(0, asking_->next_at() - now) / kMs, asking_->window() / kMs,
                           counters_.list_calls);
}

// Where another left off. False where nothing of it can be used.
bool Program::TakeOver(const Estate& estate) {
  if (!hosts_.TakeOver(estate.hosts, estate.list)) {
    log_.Tell<"handover_refused">("nodes that can't be");
    return false;
  }
  if (keeper_) FindSavedList();
  list_log_.emplace(machine_.scheduler(), hosts_, log_);
  log_.Tell<"taken_over">(estate.hosts.size(), hosts_.Out().size(), estate.carried.queries.size());
  std::string why;
  if (estate.settings != config_.settings_json) {
    why = "other settings";
  } else if (std::abs(machine_.Now() - estate.carried.now) > kClocksApart) {
    why = "a clock that differs";
  } else if (!dispatcher_.TakeOver(estate.carried)) {
    why = "a state of another format";
  }
  if (!why.empty()) log_.Tell<"state_refused">(why);
  // The process before may have found no room to say who is out.
  const std::string path = OutPath(config_);
  const std::optional<std::string> text = path.empty() ? std::nullopt : machine_.files().Read(path);
  out_kept_ = path.empty() || (text ? *text == WriteOutFile(hosts_.Out()) : hosts_.Out().empty());
  return true;
}

// ---- What operators tell it ------------------------------------------------------------------------------

// Those that were out when an earlier process ended are out still.
void Program::ReadOut() {
  const std::string path = OutPath(config_);
  if (path.empty()) return;
  const std::optional<std::string> text = machine_.files().Read(path);
  if (!text) return;  // none was ever out
  const std::optional<std::vector<OutHost>> out = ReadOutFile(*text);
  if (!out) {
    log_.Tell<"out_file_refused">(path);
    return;
  }
  if (out->empty()) return;
  for (const OutHost& host : *out) hosts_.TakeOutUnseen(host.name, host.since);
  log_.Tell<"nodes_kept_out">(out->size());
}

// Nothing to keep it in is no failure: it then holds as long as this process.
bool Program::KeepOut(const std::vector<OutHost>& out) {
  const std::string path = OutPath(config_);
  std::string why;
  if (path.empty() || machine_.files().Replace(path, WriteOutFile(out), why)) return out_kept_ = true;
  log_.Tell<"out_file_error">(path, why);
  return false;
}

// A node was put back and the file could not say so: guards it from being out again after the next start.
void Program::KeepOutLate() {
  const std::string path = OutPath(config_);
  std::string why;
  if (out_kept_ || !machine_.files().Replace(path, WriteOutFile(hosts_.Out()), why)) return;
  out_kept_ = true;
  log_.Tell<"out_file_written">(path);
}

void Program::HostsChanged() {
  upstream_.Retire();
  dispatcher_.OnList(hosts_.AsItStands());
}

Verdict Program::TakeOut(std::string_view server) {
  if (phase_ == Phase::kStarting) return Verdict::kNotNow;
  if (hosts_.IsOut(server)) return Verdict::kDone;  // one ban, since the first call
  if (!hosts_.Names(server)) return Verdict::kUnknown;
  std::vector<OutHost> out = hosts_.Out();
  const Micros now = machine_.Now();
  out.push_back({std::string(server), now});
  if (!KeepOut(out)) return Verdict::kFailed;
  hosts_.TakeOut(server, now);
  HostsChanged();
  if (handover_) handover_->TellOut({std::string(server), now});
  log_.Tell<"node_out">(server, out.size());
  return Verdict::kDone;
}

Verdict Program::PutBack(std::string_view server) {
  if (phase_ == Phase::kStarting) return Verdict::kNotNow;
  if (!hosts_.Names(server)) return Verdict::kUnknown;
  if (!hosts_.IsOut(server)) return Verdict::kDone;
  std::vector<OutHost> out = hosts_.Out();
  std::erase_if(out, [&](const OutHost& h) { return h.name == server; });
  out_kept_ = KeepOut(out);  // a full disk must not keep a sound node out
  const Micros now = machine_.Now();
  hosts_.PutBack(server, now);
  HostsChanged();
  if (handover_) handover_->TellBack({std::string(server), now});
  log_.Tell<"node_back">(server, out.size());
  return Verdict::kDone;
}

Verdict Program::StandAside() {
  if (phase_ == Phase::kStarting) return Verdict::kNotNow;
  SetAside(true);
  if (handover_ && (Serving() || phase_ == Phase::kHandedOver)) handover_->TellDrain(true);
  return Verdict::kDone;  // one that ends drains too
}

Verdict Program::ComeBack() {
  SetAside(false);
  if (handover_ && (Serving() || phase_ == Phase::kHandedOver)) handover_->TellDrain(false);
  return phase_ == Phase::kServing || phase_ == Phase::kHandedOver ? Verdict::kDone : Verdict::kNotNow;
}

// Without a council each balancer decides by itself.
Task<Leave> Program::MayBegin(ChangeCall call) {
  using What = ChangeCall::What;
  if (!council_ || phase_ == Phase::kStarting) co_return Leave();
  freeze::Scope scope = freeze::Scope::Balancer(config_.name, cluster_ ? cluster_->zone : "");
  freeze::ChangeKind kind =
      call.what == What::kStandAside ? freeze::ChangeKind::kDrain : freeze::ChangeKind::kUndrain;
  if (call.what == What::kTakeOut || call.what == What::kPutBack) {
    const bool out = call.what == What::kTakeOut;
    // What is so already, or can't be, changes nothing.
    if (!hosts_.Names(call.server) || hosts_.IsOut(call.server) == out) co_return Leave();
    kind = out ? freeze::ChangeKind::kNodeOut : freeze::ChangeKind::kNodeBack;
    scope = freeze::Scope::Node(call.server, "", "");
    for (const HostRecord& host : hosts_.Records()) {
      if (host.name != call.server) continue;
      scope = freeze::Scope::Node(call.server, std::to_string(host.zone), std::to_string(host.kind));
    }
  } else if ((phase_ == Phase::kAside) == (call.what == What::kStandAside)) {
    co_return Leave();
  }
  co_return co_await Leaving(kind, scope, std::move(call.by), std::move(call.reason));
}

Task<Leave> Program::MayReload() {
  if (!council_) co_return Leave();
  co_return co_await Leaving(freeze::ChangeKind::kReload,
                             freeze::Scope::Balancer(config_.name, cluster_ ? cluster_->zone : ""), "", "");
}

Task<Leave> Program::Leaving(freeze::ChangeKind kind, freeze::Scope scope, std::string by,
                             std::string reason) {
  const Council::Permission permission =
      co_await council_->Ask(kind, std::move(scope), std::move(by), std::move(reason));
  Leave leave;
  leave.granted = permission.error == owner::Error::kNone;
  leave.change = permission.change;
  leave.epoch = permission.epoch;
  leave.retry = permission.retry;
  if (leave.granted) co_return leave;
  leave.why = std::string(owner::NameOf(permission.error)) + ": " + owner::WhatToDo(permission.error);
  if (!permission.text.empty()) leave.why += " " + permission.text;
  if (permission.retry > 0)
    leave.why += "; ask again in " + std::to_string(permission.retry / kSecond) + " s";
  co_return leave;
}

Task<> Program::Ended(Leave leave) {
  if (!council_ || leave.change == 0) co_return;
  Council::Permission permission;
  permission.change = leave.change;
  permission.epoch = leave.epoch;
  co_await council_->Done(permission);
}

// One that has handed over keeps it for the case that it takes the door back.
void Program::SetAside(bool aside) {
  Phase& phase = phase_ == Phase::kHandedOver ? before_hand_on_ : phase_;
  if (phase != (aside ? Phase::kServing : Phase::kAside)) return;
  phase = aside ? Phase::kAside : Phase::kServing;
  if (aside) {
    aside_since_ = machine_.Now();
    log_.Tell<"drained">(front_.open());
    front_.StandAside();
  } else {
    log_.Tell<"back_to_work">((machine_.Now() - aside_since_) / kMs);
    front_.ComeBack();
  }
  moved_.Notify();
}

// ---- The hand-over ---------------------------------------------------------------------------------------

std::optional<Estate> Program::GiveUpDoor(std::string& why) {
  std::optional<Estate> estate;
  if (!Serving() && phase_ != Phase::kDraining) {
    why = "a claim to a process that does not serve";
    return estate;
  }
  front_.Shut();
  estate.emplace();
  estate->settings = config_.settings_json;
  estate->aside = phase_ == Phase::kAside;
  estate->aside_since = aside_since_;
  estate->list = hosts_.version();
  estate->hosts = hosts_.Records();
  estate->carried = dispatcher_.Carry();
  return estate;
}

void Program::KeepDoor() {
  if (!Serving() && phase_ != Phase::kDraining) return;
  if (front_.Reopen()) log_.Tell<"door_kept">();  // an heir that came no further may be told of twice
}

void Program::HandOn() {
  // One that closes goes on closing. Guards against taking back a door that it has not any more.
  if (phase_ != Phase::kClosing) {
    before_hand_on_ = phase_;
    phase_ = Phase::kHandedOver;
  }
  log_.Tell<"handed_over">(front_.open(), dispatcher_.open());
  front_.Shut();
  member_.reset();  // without a word: the heir goes on in its place, and nobody misses it
  if (council_) {   // likewise; its disk and its address are the heir's
    council_->Shut();
    councils_before_.push_back(std::move(council_));
  }
  hosts_.LeaveCold(true, machine_.Now());
  HostsChanged();
  upstream_.RetireAll();
  TellUse();
  front_.PassOn([this](Stream& stream, const QuietLink& link) {
    const Io passed = handover_->Pass(stream, {link.asked, link.began, link.read});
    heir_takes_ = passed != Io::kLater;
    return passed;
  });
  moved_.Notify();
}

void Program::HeirTold() { moved_.Notify(); }

void Program::TakeBack() {
  if (phase_ != Phase::kHandedOver) return;
  log_.Tell<"taken_back">(handover_->links_lost());
  phase_ = before_hand_on_;
  front_.PassOn(nullptr);
  front_.Reopen();
  Join();
  hosts_.LeaveCold(false, machine_.Now());
  HostsChanged();
  if (told_to_end_at_) Drain();
  moved_.Notify();
}

void Program::LastOwner() {
  if (phase_ != Phase::kHandedOver) return;
  phase_ = Phase::kClosing;
  front_.PassOn(nullptr);
  moved_.Notify();
}

void Program::TakeLink(std::unique_ptr<Stream> stream, PassedLink link) {
  front_.Take(std::move(stream), {link.asked, link.began, std::move(link.read)});
}

void Program::OtherUses(const Use& use) {
  const bool first = other_.descriptors == 0 && use.descriptors > 0;
  other_ = use;
  Allow();
  if (!first) return;
  log_.Tell<"two_processes">(use.descriptors, use.memory_kb, budget_.open() + LinkBudget::kSpare,
                             machine_.ResidentBytes() / 1024, descriptors());
}

void Program::TellUse() {
  handover_->TellUse({budget_.open() + LinkBudget::kSpare, machine_.ResidentBytes() / 1024});
}

// Said on: a third process may be about. It ends where it is known.
void Program::OtherTookOut(const NodeCall& call) {
  if (hosts_.IsOut(call.name) || !hosts_.TakeOut(call.name, call.since)) return;
  HostsChanged();
  handover_->TellOut(call);
  log_.Tell<"node_out">(call.name, hosts_.Out().size());
}

void Program::OtherPutBack(const NodeCall& call) {
  if (!hosts_.IsOut(call.name)) return;
  hosts_.PutBack(call.name, call.since);
  HostsChanged();
  handover_->TellBack(call);
  log_.Tell<"node_back">(call.name, hosts_.Out().size());
}

void Program::OtherDrains(bool drains) { SetAside(drains); }

// ---- The rest --------------------------------------------------------------------------------------------

void Program::Take(const HostList* list, const std::string& why) {
  meadowslip::BackendList told;
  told.kind = meadowslip::ListKind::kFailed;
  if (list != nullptr) {
    const bool changed = list->version != hosts_.version() || (list->full && heard_at_ == 0);
    heard_at_ = machine_.WallClock();
    if (keeper_) keeper_->Heard(changed);
    told = hosts_.Take(*list, machine_.Now());
    upstream_.Retire();
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
    dispatcher_.EndBy(*told_to_end_at_ + AnswersWithin(config_.settings));
  }
  if (!Serving()) return;
  phase_ = Phase::kDraining;
  log_.Tell<"draining">(front_.open());
  front_.Leave();
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
        if (machine_.Now() >= aside_since_ + kAsideThinAfter) front_.ThinOut();
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
    front_.Stir();
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
  while (!front_.Closed(machine_.Now() >= std::min(nothing_owed_at_ + kCloseFor, latest))) {
    co_await moved_.Wait(machine_.Now() + kCloseStep);
  }
}

Task<> Program::Sweep() {
  while (true) {
    co_await sweep_.Wait(machine_.Now() + kSweepEvery);
    upstream_.Retire();
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
  const size_t known = member_->mind().MostWithin(machine_.Now(), kCountsFor);
  asking_->SharedBy(std::max<double>(config_.settings.nodes, static_cast<double>(known)));
}

// At the edges alone, and far apart, so that a budget that is nearly used up makes few lines.
void Program::TellDescriptors() {
  const size_t open = budget_.open(), most = budget_.most();
  if (!descriptors_tight_ && budget_.tight()) {
    descriptors_tight_ = true;
    log_.Tell<"descriptors_tight">(open, most);
  } else if (descriptors_tight_ && open < most / 2) {
    descriptors_tight_ = false;
    log_.Tell<"descriptors_enough">(open, most);
  }
}

}  // namespace burlfall
