#include "serve/program.h"

#include <algorithm>
#include <utility>

namespace burlfall {
namespace {

// After the word to end, connections still come for some time; they would be refused without a listener.
constexpr Micros kDrainFor = 800 * kMs;
constexpr Micros kCloseFor = 300 * kMs;  // for links that owe nothing
constexpr Micros kCloseStep = 20 * kMs;
constexpr Micros kFinishFor = 300 * kMs;  // for the last lines, where what takes them is slow
constexpr Micros kSweepEvery = 500 * kMs;
// Drained by hand: the front has looked away by then, and links that are not in use may close.
constexpr Micros kAsideThinAfter = 600 * kMs;
constexpr Micros kAsideStep = 50 * kMs;

// Connections that operators may hold at a time: of few descriptors few.
constexpr size_t kLeastCalls = 8, kMostCalls = 32, kCallsPart = 16;

size_t Calls(size_t descriptors) { return std::clamp(descriptors / kCallsPart, kLeastCalls, kMostCalls); }

// Several balancers may share the folder, by different names.
std::string OutPath(const Config& config) {
  if (config.folder.empty() || config.admin.length == 0) return "";
  std::string name = config.name;
  std::replace_if(
      name.begin(), name.end(), [](char c) { return c == '/' || (c >= 0 && c <= ' '); }, '_');
  return config.folder + "/burlfall-" + name + ".out";
}

}  // namespace

Program::Program(Machine& machine, Config config, const Properties& properties, Log& log, Counters& counters)
    : machine_(machine),
      config_(std::move(config)),
      log_(log),
      counters_(counters),
      figures_(properties.figures.on ? std::make_unique<Figures>(machine, properties.figures,
                                                                 config_.settings, log.outlet(), counters_)
                                     : nullptr),
      hosts_(config_.settings),
      upstream_(machine, config_.settings, hosts_, budget_, counters_),
      discovery_(machine, config_, [this](const HostList* list, const std::string& why) { Take(list, why); }),
      dispatcher_(
          machine.scheduler(), config_.settings, config_.seed, upstream_, [this] { discovery_.Follow(); },
          counters_),
      front_({machine, config_, dispatcher_, budget_, tokens_, door_, figures_.get(), counters_}),
      moved_(machine.scheduler()),
      sweep_(machine.scheduler()) {
  if (config_.admin.length > 0) control_.emplace(machine_, config_.admin, Calls(descriptors()), static_cast<Operations&>(*this));
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
  front_.OnNothingOwed([this] { moved_.Notify(); });
}

size_t Program::descriptors() const {
  return std::min(static_cast<size_t>(config_.sockets), machine_.MostDescriptors());
}

void Program::Allow() { budget_.Allow(descriptors(), control_ ? Calls(descriptors()) + 1 : 0); }

void Program::Start() {
  if (figures_) figures_->Start();
  if (capture_) capture_->Start();
  discovery_.Start();
  meadowslip::BackendList known = hosts_.Take(config_.known);
  list_log_.emplace(machine_.scheduler(), hosts_, log_);
  known.kind = meadowslip::ListKind::kCached;
  dispatcher_.OnList(known);
  ReadOut();
  phase_ = Phase::kServing;
  dispatcher_.Start();
  sweeper_ = Sweep();
  sweeper_.Start();
  phases_ = Phases();
  phases_.Start();
  front_.Open();
  if (control_) control_->Open();
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
  HostsChanged();
}

// Nothing to keep it in is no failure: it then holds as long as this process.
bool Program::KeepOut(const std::vector<OutHost>& out) {
  const std::string path = OutPath(config_);
  std::string why;
  if (path.empty() || machine_.files().Replace(path, WriteOutFile(out), why)) return true;
  log_.Tell<"out_file_error">(path, why);
  return false;
}

void Program::HostsChanged() {
  upstream_.Retire();
  dispatcher_.OnList(hosts_.AsItStands());
}

Verdict Program::TakeOut(std::string_view server) {
  std::vector<OutHost> out = hosts_.Out();
  if (std::any_of(out.begin(), out.end(), [&](const OutHost& h) { return h.name == server; })) {
    return Verdict::kDone;  // one ban, since the first call
  }
  if (!hosts_.Names(server)) return Verdict::kUnknown;
  const Micros now = machine_.Now();
  out.push_back({std::string(server), now});
  if (!KeepOut(out)) return Verdict::kFailed;
  hosts_.TakeOut(server, now);
  HostsChanged();
  log_.Tell<"node_out">(server, out.size());
  return Verdict::kDone;
}

Verdict Program::PutBack(std::string_view server) {
  if (!hosts_.Names(server)) return Verdict::kUnknown;
  std::vector<OutHost> out = hosts_.Out();
  if (std::erase_if(out, [&](const OutHost& h) { return h.name == server; }) == 0) return Verdict::kDone;
  KeepOut(out);  // a full disk must not keep a sound node out
  hosts_.PutBack(server, machine_.Now());
  HostsChanged();
  log_.Tell<"node_back">(server, out.size());
  return Verdict::kDone;
}

Verdict Program::StandAside() {
  if (phase_ == Phase::kServing) {
    phase_ = Phase::kAside;
    aside_since_ = machine_.Now();
    log_.Tell<"drained">(front_.open());
    front_.StandAside();
    moved_.Notify();
  }
  return Verdict::kDone;  // one that ends drains too
}

Verdict Program::ComeBack() {
  if (phase_ == Phase::kAside) {
    phase_ = Phase::kServing;
    log_.Tell<"back_to_work">((machine_.Now() - aside_since_) / kMs);
    front_.ComeBack();
    moved_.Notify();
  }
  return phase_ == Phase::kServing ? Verdict::kDone : Verdict::kNotNow;
}

// ---- The rest --------------------------------------------------------------------------------------------

void Program::Take(const HostList* list, const std::string& why) {
  meadowslip::BackendList told;
  told.kind = meadowslip::ListKind::kFailed;
  if (list != nullptr) {
    told = hosts_.Take(*list);
    upstream_.Retire();
    list_log_->Heard();
  } else {
    list_log_->Failed(why);
  }
  dispatcher_.OnList(told);
}

void Program::Drain() {
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
  discovery_.Again();
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
  if (capture_) capture_->Finish(kFinishFor);
  if (figures_) figures_->Finish(kFinishFor);
}

// A drain by hand, which may end; and from the word to end on.
Task<> Program::Phases() {
  while (phase_ != Phase::kDraining) {
    if (phase_ == Phase::kAside && machine_.Now() >= aside_since_ + kAsideThinAfter) front_.ThinOut();
    co_await moved_.Wait(phase_ == Phase::kAside ? machine_.Now() + kAsideStep : kNever);
  }
  const Micros drained_at = machine_.Now() + kDrainFor;
  while (machine_.Now() < drained_at) co_await moved_.Wait(drained_at);
  phase_ = Phase::kClosing;
  log_.Tell<"closing">(front_.open());
  front_.Close();
  const Micros hurry_at = machine_.Now() + kCloseFor;
  while (!front_.Closed(machine_.Now() >= hurry_at)) co_await moved_.Wait(machine_.Now() + kCloseStep);
  phase_ = Phase::kStopped;
  machine_.scheduler().Stop();
}

Task<> Program::Sweep() {
  while (true) {
    co_await sweep_.Wait(machine_.Now() + kSweepEvery);
    upstream_.Retire();
    list_log_->Tell();
    TellDescriptors();
  }
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
