#include "lab/site/site.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace burlfall::lab {
namespace {

using meadowslip::BackendState;

constexpr int kListService = -1;                  // discovery's number in `paths_`; balancers have their own
constexpr Micros kEmptyCheckInterval = 20 * kMs;  // for a draining node

// Returns the seed of an actor's random number stream; each actor has a stream of its own.
uint64_t SeedFor(const Script& script, const std::string& actor) {
  return Stream64(script.seed, actor).Next();
}

Address AnyPort(const std::string& host) { return *ReadAddress(host + ":0"); }

}  // namespace

bool Site::TimelineEvent::operator<(const TimelineEvent& other) const {
  // At the same time, ends come before beginnings, so that two consecutive faults of a node do not overlap. A
  // fault without duration still begins before it ends.
  const auto turn = [](const TimelineEvent& one) { return one.begins ? 1 : one.instantaneous ? 2 : 0; };
  return std::tuple(at, turn(*this), action) < std::tuple(other.at, turn(other), other.action);
}

void Site::CrashObserver::NodeChanged(int node, NodeChange change, Micros, const std::vector<double>&) {
  if (change != NodeChange::kOverloaded) return;
  site_.crashed_nodes_.push_back(node);
  site_.crashed_.Notify();
}

Site::Site(Machine& machine, const Experiment& experiment, const Script& script, ObserverList& witnesses,
           Balancers& balancers, WorkOf work_of, Places places)
    : machine_(machine),
      experiment_(experiment),
      script_(script),
      witnesses_(witnesses),
      balancers_(balancers),
      places_(std::move(places)),
      crash_observer_(*this),
      repeats_(experiment.classes),
      shared_{.machine = machine, .witness = witnesses, .repeats = repeats_, .classes = experiment.classes},
      nodes_(script.nodes.size() + script.spares.size()),
      first_known_(script.balancers.size()),
      should_run_(script.balancers.size(), false),
      running_(script.balancers.size(), false),
      starts_(script.balancers.size(), 0),
      due_(machine.scheduler()),
      crashed_(machine.scheduler()) {
  shared_.work_of = std::move(work_of);
  shared_.rules.overload_factor = experiment.site.overload_factor;
  shared_.rules.overload_window = static_cast<Micros>(experiment.site.overload_window_ms * kMs);
  shared_.idle_close = static_cast<Micros>(experiment.site.idle_close_s * kSecond);
  witnesses.Add(crash_observer_);
  for (size_t i = 0; i < script.nodes.size(); ++i) at_.push_back(static_cast<int>(i));
  for (size_t i = 0; i < script.actions.size(); ++i) {
    const Action& action = script.actions[i];
    const int number = static_cast<int>(i);
    const bool instantaneous = action.until == action.at;
    timeline_.push_back({action.at, number, true, instantaneous});
    timeline_.push_back({action.until, number, false, instantaneous});
  }
  std::stable_sort(timeline_.begin(), timeline_.end());
}

Site::~Site() = default;

const NodePlan& Site::PlanOf(int number) const {
  const auto n = static_cast<size_t>(number);
  return n < script_.nodes.size() ? script_.nodes[n] : script_.spares[n - script_.nodes.size()];
}

std::unique_ptr<Node> Site::MakeNode(int number) {
  const NodePlan& plan = PlanOf(number);
  const std::string own = "127.65." + std::to_string(number / 250) + "." + std::to_string(1 + number % 250);
  const std::vector<Address> at(script_.balancers.size(),
                                AnyPort(places_.host_each ? own : places_.node_host));
  auto node =
      std::make_unique<Node>(shared_, number, plan, experiment_.site.nodes[static_cast<size_t>(plan.kind)],
                             at, SeedFor(script_, "node " + plan.name));
  for (size_t b = 0; b < script_.balancers.size(); ++b) {
    const bool same_zone = script_.balancers[b].zone == plan.zone;
    const Range& range = same_zone ? experiment_.site.same_zone_us : experiment_.site.cross_zone_us;
    Stream64 draws(script_.seed, "way " + plan.name + " " + script_.balancers[b].name);
    node->Delay(static_cast<int>(b), static_cast<Micros>(draws.Between(range)));
  }
  return node;
}

void Site::Open() {
  std::vector<HostState> known;
  for (size_t i = 0; i < script_.nodes.size(); ++i) {
    nodes_[i] = MakeNode(static_cast<int>(i));
    nodes_[i]->Start(false);
    known.push_back({.node = static_cast<int>(i)});
  }
  const std::vector<Address> at(script_.balancers.size(), AnyPort(places_.node_host));
  discovery_ = std::make_unique<Discovery>(
      machine_, witnesses_, experiment_.site.discovery, at, std::move(known),
      [this](int node, int balancer) {
        const auto& one = nodes_[static_cast<size_t>(node)];
        return one ? one->At(balancer).text : "";
      },
      [this](const NodeList& list) { return ListJson(experiment_, script_, list); },
      SeedFor(script_, "discovery"));
  const bool by_paths = std::ranges::any_of(experiment_.faults, [](const FaultSpec& fault) {
    return fault.kind == FaultKind::kListCallsLost || fault.kind == FaultKind::kListAnswersLost;
  });
  if (by_paths) {
    paths_ = std::make_unique<Paths>(machine_, SeedFor(script_, "paths"));
    for (size_t b = 0; b < script_.balancers.size(); ++b) {
      const auto number = static_cast<int>(b);
      discovery_at_.push_back(
          paths_->OpenStream(AnyPort(places_.node_host), number, kListService, discovery_->At(number)));
    }
  }
  crash_task_ = HandleCrashes();
  crash_task_.Start();
}

std::string Site::Config(int balancer) {
  const auto b = static_cast<size_t>(balancer);
  BalancerStart start;
  start.listen = places_.listen[b];
  start.discovery = DiscoveryFor(balancer).text;
  start.seed = SeedFor(script_, script_.balancers[b].name + " start " + std::to_string(starts_[b]));
  start.known = first_known_[b];
  return ConfigJson(experiment_, script_, balancer, start);
}

void Site::StartBalancers() {
  for (size_t b = 0; b < script_.balancers.size(); ++b) {
    first_known_[b] = discovery_->ListFor(static_cast<int>(b));
    if (!experiment_.site.balancers.know_list) first_known_[b] = NodeList{0, true, {}};
    if (!experiment_.site.balancers.start_s) StartBalancer(static_cast<int>(b));
  }
}

Address Site::DiscoveryFor(int balancer) const {
  return paths_ ? discovery_at_[static_cast<size_t>(balancer)] : discovery_->At(balancer);
}

void Site::StartBalancer(int balancer, FolderAfter folder) {
  const auto b = static_cast<size_t>(balancer);
  should_run_[b] = true;
  if (running_[b]) return;  // still running: BalancerDown() starts it once it has ended
  running_[b] = true;
  ++starts_[b];
  balancers_.Start(balancer, Config(balancer), folder);
}

void Site::BalancerUp(int balancer) {
  const Micros now = machine_.Now();
  witnesses_.BalancerUp(balancer, now);
  for (const ListedNode& node : first_known_[static_cast<size_t>(balancer)].nodes) {
    witnesses_.NodeStateSent(balancer, node.node, node.state, node.started_at, now);
  }
}

void Site::BalancerDown(int balancer, bool planned) {
  const auto b = static_cast<size_t>(balancer);
  running_[b] = false;
  witnesses_.BalancerDown(balancer, machine_.Now(), planned);
  if (planned && should_run_[b]) StartBalancer(balancer);
}

uint64_t Site::all_unexpected_queries() const {
  uint64_t all = 0;
  for (const auto& node : nodes_) all += node ? node->unexpected_queries() : 0;
  return all;
}

int Site::links() const {
  int all = 0;
  for (const auto& node : nodes_) all += node ? node->links() : 0;
  return all;
}

// ---- The timeline ----------------------------------------------------------------------------------------

void Site::Begin(Micros at) {
  begins_at_ = at;
  timeline_task_ = RunTimeline();
  timeline_task_.Start();
  if (!experiment_.site.balancers.start_s) return;
  start_task_ = StartBalancersOnSchedule();
  start_task_.Start();
}

Task<> Site::StartBalancersOnSchedule() {
  std::vector<size_t> order(script_.balancers.size());
  for (size_t b = 0; b < order.size(); ++b) order[b] = b;
  std::ranges::stable_sort(order, {}, [&](size_t b) { return script_.balancers[b].start_at; });
  Event due(machine_.scheduler());
  for (const size_t b : order) {
    const Micros at = begins_at_ + script_.balancers[b].start_at;
    while (machine_.Now() < at) co_await due.Wait(at);
    StartBalancer(static_cast<int>(b));
  }
}

void Site::End() {
  timeline_task_ = Task<>();
  start_task_ = Task<>();
  drains_.clear();
}

Task<> Site::RunTimeline() {
  for (const TimelineEvent& event : timeline_) {
    const Micros at = begins_at_ + event.at;
    while (machine_.Now() < at) co_await due_.Wait(at);
    if (event.begins) {
      BeginFault(event.action);
    } else {
      EndFault(event.action);
    }
  }
}

void Site::BeginFault(int number) {
  const Action& action = script_.actions[static_cast<size_t>(number)];
  witnesses_.FaultBegan(number, machine_.Now());
  for (int target : action.targets) faults_.Begin(action.kind, target, number, action.size);
  if (TraitsOf(action.kind).hits == FaultHits::kNothing) faults_.Begin(action.kind, 0, number, action.size);
  switch (action.kind) {
    case FaultKind::kNodesGone:
    case FaultKind::kNodesReplaced:
    case FaultKind::kNodesRestarted:
      for (int place : action.targets) TakeDown(place);
      break;
    case FaultKind::kNodesDrained:
      for (int place : action.targets) {
        if (!At(place).up()) continue;
        At(place).Drain();
        discovery_->ReportChange(at_[static_cast<size_t>(place)], BackendState::kDraining, 0);
        drains_.push_back(EndWhenEmpty(place, begins_at_ + action.until));
        drains_.back().Start();
      }
      break;
    case FaultKind::kBalancersKilled:
      for (int b : action.targets) {
        should_run_[static_cast<size_t>(b)] = false;
        balancers_.Kill(b);
      }
      break;
    case FaultKind::kPlannedRestart:
      for (int b : action.targets) balancers_.Terminate(b);  // BalancerDown() starts them again
      break;
    case FaultKind::kReload:
      for (int b : action.targets) balancers_.Reload(b, Config(b));
      break;
    case FaultKind::kDiscoveryDown:
    case FaultKind::kDiscoveryOlder:
      discovery_->GoDown();
      break;
    default:
      UpdateTargets(action);
  }
}

void Site::EndFault(int number) {
  const Action& action = script_.actions[static_cast<size_t>(number)];
  for (int target : action.targets) faults_.End(action.kind, target, number);
  if (TraitsOf(action.kind).hits == FaultHits::kNothing) faults_.End(action.kind, 0, number);
  switch (action.kind) {
    case FaultKind::kNodesReplaced:
      for (size_t i = 0; i < action.targets.size(); ++i) {
        const int spare = static_cast<int>(script_.nodes.size()) + action.spares[i];
        at_[static_cast<size_t>(action.targets[i])] = spare;
        BringUp(action.targets[i]);
      }
      break;
    case FaultKind::kNodesGone:
    case FaultKind::kNodesRestarted:
    case FaultKind::kNodesDrained:
      for (int place : action.targets) {
        TakeDown(place);  // if it is draining and not yet empty
        BringUp(place);
      }
      break;
    case FaultKind::kBalancersKilled:
      for (int b : action.targets) {
        if (!faults_.IsActive(FaultKind::kBalancersKilled, b)) StartBalancer(b, action.folder);
      }
      break;
    case FaultKind::kDiscoveryDown:
      discovery_->ComeBack(0);
      break;
    case FaultKind::kDiscoveryOlder:
      discovery_->ComeBack(static_cast<int>(action.size));
      break;
    default:
      UpdateTargets(action);
  }
  witnesses_.FaultEnded(number, machine_.Now());
}

void Site::UpdateTargets(const Action& action) {
  switch (TraitsOf(action.kind).hits) {
    case FaultHits::kNodes:
      for (int place : action.targets) UpdateNode(place);
      break;
    case FaultHits::kZone:
      UpdateCuts();
      break;
    case FaultHits::kBalancers:
      for (int b : action.targets) {
        if (action.kind == FaultKind::kMisbehavingClients) {
          balancers_.SetMisbehavingLinkRate(b, faults_.Worst(FaultKind::kMisbehavingClients, b, 0));
        } else if (action.kind == FaultKind::kBalancersPaused) {
          balancers_.Pause(b, faults_.IsActive(FaultKind::kBalancersPaused, b));
        } else if (action.kind == FaultKind::kListCallsLost || action.kind == FaultKind::kListAnswersLost) {
          UpdateListPath(b);
        }
      }
      break;
    case FaultHits::kNothing:
      UpdateDiscovery();
      break;
    default:
      break;  // traffic jumps are part of the arrivals
  }
}

void Site::UpdateNode(int place) {
  Node& node = At(place);
  if (!node.up()) return;
  node.Silence(faults_.IsActive(FaultKind::kSilentNodes, place));
  node.FailFast(faults_.Worst(FaultKind::kFastErrors, place, 0));
  node.SetSpeed(faults_.Worst(FaultKind::kSlowNodes, place, 1, true));
  node.SetResetShare(faults_.Worst(FaultKind::kLinksReset, place, 0));
  node.SetCorruptedShare(faults_.Worst(FaultKind::kCorruptedAnswers, place, 0));
}

void Site::UpdateDiscovery() {
  Discovery::Impairments now;
  now.busy = faults_.IsActive(FaultKind::kDiscoveryBusy, 0);
  now.retry_after_s = faults_.Worst(FaultKind::kDiscoveryBusy, 0, 0);
  now.truncated = faults_.Worst(FaultKind::kDiscoveryBreaks, 0, 0);
  now.unusable = faults_.Worst(FaultKind::kDiscoveryOdd, 0, 0);
  now.speed = faults_.Worst(FaultKind::kDiscoverySlow, 0, 1, true);
  discovery_->SetImpairments(now);
}

void Site::UpdateListPath(int balancer) {
  paths_->Set(balancer, kListService, {.cut = faults_.IsActive(FaultKind::kListCallsLost, balancer)});
  paths_->Set(kListService, balancer, {.cut = faults_.IsActive(FaultKind::kListAnswersLost, balancer)});
}

void Site::UpdateCuts() {
  const std::vector<int> zones = faults_.Targets(FaultKind::kZoneCut);
  for (size_t n = 0; n < nodes_.size(); ++n) {
    if (!nodes_[n]) continue;
    for (size_t b = 0; b < script_.balancers.size(); ++b) {
      const bool cut = SeparatedByCut(zones, PlanOf(static_cast<int>(n)).zone, script_.balancers[b].zone);
      nodes_[n]->Cut(static_cast<int>(b), cut);
    }
  }
}

void Site::TakeDown(int place) {
  Node& node = At(place);
  if (!node.up()) return;
  node.Die();
  discovery_->ReportChange(at_[static_cast<size_t>(place)], BackendState::kGone, 0);
}

// Restarts the node unless another fault still keeps it down, whose end then restarts it.
void Site::BringUp(int place) {
  for (FaultKind kind : {FaultKind::kNodesGone, FaultKind::kNodesReplaced, FaultKind::kNodesRestarted,
                         FaultKind::kNodesDrained}) {
    if (faults_.IsActive(kind, place)) return;
  }
  Node& node = At(place);
  if (node.up()) return;
  node.Start(true);
  UpdateNode(place);
  discovery_->ReportChange(at_[static_cast<size_t>(place)], BackendState::kReady, machine_.Now());
}

Node& Site::At(int place) {
  const int number = at_[static_cast<size_t>(place)];
  std::unique_ptr<Node>& node = nodes_[static_cast<size_t>(number)];
  if (!node) {
    node = MakeNode(number);
    UpdateCuts();
  }
  return *node;
}

// Ends a draining node once it holds no queries or at `until`.
Task<> Site::EndWhenEmpty(int place, Micros until) {
  Event step(machine_.scheduler());
  while (machine_.Now() < until && At(place).up() && At(place).pending_queries() > 0) {
    co_await step.Wait(machine_.Now() + kEmptyCheckInterval);
  }
  if (faults_.IsActive(FaultKind::kNodesDrained, place)) TakeDown(place);
}

// A crashed node stays down, as if it needed an operator.
Task<> Site::HandleCrashes() {
  while (true) {
    co_await crashed_.Wait();
    for (int number : std::exchange(crashed_nodes_, {})) {
      discovery_->ReportChange(number, BackendState::kGone, 0);
    }
  }
}

}  // namespace burlfall::lab
