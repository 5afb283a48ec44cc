#include "lab/site/site.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace burlfall::lab {
namespace {

using meadowslip::BackendState;

constexpr int kListService = -1;         // as the paths number it; balancers go by their own numbers
constexpr Micros kEmptyStep = 20 * kMs;  // how often a draining node is looked at

// Streams of random numbers are told apart by who draws.
uint64_t SeedFor(const Script& script, const std::string& actor) {
  return Stream64(script.seed, actor).Next();
}

Address Somewhere(const std::string& host) { return *ReadAddress(host + ":0"); }

}  // namespace

bool Site::Moment::operator<(const Moment& other) const {
  // What ends goes first: two faults that follow each other on one node do not overlap. But what has no
  // length begins before it ends.
  const auto turn = [](const Moment& one) { return one.begins ? 1 : one.at_once ? 2 : 0; };
  return std::tuple(at, turn(*this), action) < std::tuple(other.at, turn(other), other.action);
}

void Site::FallTap::NodeChanged(int node, NodeChange change, Micros, const std::vector<double>&) {
  if (change != NodeChange::kFell) return;
  site_.fallen_.push_back(node);
  site_.fell_.Notify();
}

Site::Site(Machine& machine, const Experiment& experiment, const Script& script, Witnesses& witnesses,
           Balancers& balancers, WorkOf work_of, Places places)
    : machine_(machine),
      experiment_(experiment),
      script_(script),
      witnesses_(witnesses),
      balancers_(balancers),
      places_(std::move(places)),
      tap_(*this),
      repeats_(experiment.classes),
      shared_{.machine = machine, .witness = witnesses, .repeats = repeats_, .classes = experiment.classes},
      nodes_(script.nodes.size() + script.spares.size()),
      first_known_(script.balancers.size()),
      wanted_(script.balancers.size(), false),
      running_(script.balancers.size(), false),
      starts_(script.balancers.size(), 0),
      moved_(machine.scheduler()),
      fell_(machine.scheduler()) {
  shared_.work_of = std::move(work_of);
  shared_.rules.overload_factor = experiment.site.overload_factor;
  shared_.rules.overload_window = static_cast<Micros>(experiment.site.overload_window_ms * kMs);
  shared_.idle_close = static_cast<Micros>(experiment.site.idle_close_s * kSecond);
  witnesses.Add(tap_);
  for (size_t i = 0; i < script.nodes.size(); ++i) at_.push_back(static_cast<int>(i));
  for (size_t i = 0; i < script.actions.size(); ++i) {
    const Action& action = script.actions[i];
    const int number = static_cast<int>(i);
    const bool at_once = action.until == action.at;
    moments_.push_back({action.at, number, true, at_once});
    moments_.push_back({action.until, number, false, at_once});
  }
  std::stable_sort(moments_.begin(), moments_.end());
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
                                Somewhere(places_.host_each ? own : places_.node_host));
  auto node =
      std::make_unique<Node>(shared_, number, plan, experiment_.site.nodes[static_cast<size_t>(plan.kind)],
                             at, SeedFor(script_, "node " + plan.name));
  for (size_t b = 0; b < script_.balancers.size(); ++b) {
    const bool near = script_.balancers[b].zone == plan.zone;
    const Range& range = near ? experiment_.site.same_zone_us : experiment_.site.cross_zone_us;
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
  const std::vector<Address> at(script_.balancers.size(), Somewhere(places_.node_host));
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
          paths_->OpenStream(Somewhere(places_.node_host), number, kListService, discovery_->At(number)));
    }
  }
  falling_ = SeeFalls();
  falling_.Start();
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
    if (!experiment_.site.balancers.start_s) GoOn(static_cast<int>(b));
  }
}

Address Site::DiscoveryFor(int balancer) const {
  return paths_ ? discovery_at_[static_cast<size_t>(balancer)] : discovery_->At(balancer);
}

void Site::GoOn(int balancer, FolderAfter folder) {
  const auto b = static_cast<size_t>(balancer);
  wanted_[b] = true;
  if (running_[b]) return;  // it has not ended yet: BalancerDown() starts it then
  running_[b] = true;
  ++starts_[b];
  balancers_.Start(balancer, Config(balancer), folder);
}

void Site::BalancerUp(int balancer) {
  const Micros now = machine_.Now();
  witnesses_.BalancerUp(balancer, now);
  for (const ListedNode& node : first_known_[static_cast<size_t>(balancer)].nodes) {
    witnesses_.Told(balancer, node.node, node.state, node.started_at, now);
  }
}

void Site::BalancerDown(int balancer, bool planned) {
  const auto b = static_cast<size_t>(balancer);
  running_[b] = false;
  witnesses_.BalancerDown(balancer, machine_.Now(), planned);
  if (planned && wanted_[b]) GoOn(balancer);
}

uint64_t Site::strange_queries() const {
  uint64_t all = 0;
  for (const auto& node : nodes_) all += node ? node->strange() : 0;
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
  playing_ = Play();
  playing_.Start();
  if (!experiment_.site.balancers.start_s) return;
  starting_ = StartInTurn();
  starting_.Start();
}

Task<> Site::StartInTurn() {
  std::vector<size_t> turns(script_.balancers.size());
  for (size_t b = 0; b < turns.size(); ++b) turns[b] = b;
  std::ranges::stable_sort(turns, {}, [&](size_t b) { return script_.balancers[b].start_at; });
  Event due(machine_.scheduler());
  for (const size_t b : turns) {
    const Micros at = begins_at_ + script_.balancers[b].start_at;
    while (machine_.Now() < at) co_await due.Wait(at);
    GoOn(static_cast<int>(b));
  }
}

void Site::End() {
  playing_ = Task<>();
  starting_ = Task<>();
  drains_.clear();
}

Task<> Site::Play() {
  for (const Moment& moment : moments_) {
    const Micros at = begins_at_ + moment.at;
    while (machine_.Now() < at) co_await moved_.Wait(at);
    if (moment.begins) {
      Begins(moment.action);
    } else {
      Ends(moment.action);
    }
  }
}

void Site::Begins(int number) {
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
        discovery_->Happened(at_[static_cast<size_t>(place)], BackendState::kDraining, 0);
        drains_.push_back(Emptied(place, begins_at_ + action.until));
        drains_.back().Start();
      }
      break;
    case FaultKind::kBalancersKilled:
      for (int b : action.targets) {
        wanted_[static_cast<size_t>(b)] = false;
        balancers_.Kill(b);
      }
      break;
    case FaultKind::kPlannedRestart:
      for (int b : action.targets) balancers_.Terminate(b);  // started again once it has ended
      break;
    case FaultKind::kReload:
      for (int b : action.targets) balancers_.Reload(b, Config(b));
      break;
    case FaultKind::kDiscoveryDown:
    case FaultKind::kDiscoveryOlder:
      discovery_->GoDown();
      break;
    default:
      SettleAll(action);
  }
}

void Site::Ends(int number) {
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
        TakeDown(place);  // a drained one that is not empty yet
        BringUp(place);
      }
      break;
    case FaultKind::kBalancersKilled:
      for (int b : action.targets) {
        if (!faults_.On(FaultKind::kBalancersKilled, b)) GoOn(b, action.folder);
      }
      break;
    case FaultKind::kDiscoveryDown:
      discovery_->ComeBack(0);
      break;
    case FaultKind::kDiscoveryOlder:
      discovery_->ComeBack(static_cast<int>(action.size));
      break;
    default:
      SettleAll(action);
  }
  witnesses_.FaultEnded(number, machine_.Now());
}

void Site::SettleAll(const Action& action) {
  switch (TraitsOf(action.kind).hits) {
    case FaultHits::kNodes:
      for (int place : action.targets) Settle(place);
      break;
    case FaultHits::kZone:
      SettleCuts();
      break;
    case FaultHits::kBalancers:
      for (int b : action.targets) {
        if (action.kind == FaultKind::kMisbehavingClients) {
          balancers_.SendRude(b, faults_.Worst(FaultKind::kMisbehavingClients, b, 0));
        } else if (action.kind == FaultKind::kBalancersPaused) {
          balancers_.Pause(b, faults_.On(FaultKind::kBalancersPaused, b));
        } else if (action.kind == FaultKind::kListCallsLost || action.kind == FaultKind::kListAnswersLost) {
          SettleListPath(b);
        }
      }
      break;
    case FaultHits::kNothing:
      SettleDiscovery();
      break;
    default:
      break;  // a jump of traffic is in the arrivals
  }
}

void Site::Settle(int place) {
  Node& node = At(place);
  if (!node.up()) return;
  node.Silence(faults_.On(FaultKind::kSilentNodes, place));
  node.FailFast(faults_.Worst(FaultKind::kFastErrors, place, 0));
  node.Slow(faults_.Worst(FaultKind::kSlowNodes, place, 1, true));
  node.ResetUnder(faults_.Worst(FaultKind::kLinksReset, place, 0));
  node.Spoil(faults_.Worst(FaultKind::kCorruptedAnswers, place, 0));
}

void Site::SettleDiscovery() {
  Discovery::Troubles now;
  now.busy = faults_.On(FaultKind::kDiscoveryBusy, 0);
  now.retry_after_s = faults_.Worst(FaultKind::kDiscoveryBusy, 0, 0);
  now.breaks = faults_.Worst(FaultKind::kDiscoveryBreaks, 0, 0);
  now.odd = faults_.Worst(FaultKind::kDiscoveryOdd, 0, 0);
  now.speed = faults_.Worst(FaultKind::kDiscoverySlow, 0, 1, true);
  discovery_->Trouble(now);
}

void Site::SettleListPath(int balancer) {
  paths_->Set(balancer, kListService, {.cut = faults_.On(FaultKind::kListCallsLost, balancer)});
  paths_->Set(kListService, balancer, {.cut = faults_.On(FaultKind::kListAnswersLost, balancer)});
}

void Site::SettleCuts() {
  const std::vector<int> zones = faults_.All(FaultKind::kZoneCut);
  for (size_t n = 0; n < nodes_.size(); ++n) {
    if (!nodes_[n]) continue;
    for (size_t b = 0; b < script_.balancers.size(); ++b) {
      const bool cut = Parted(zones, PlanOf(static_cast<int>(n)).zone, script_.balancers[b].zone);
      nodes_[n]->Cut(static_cast<int>(b), cut);
    }
  }
}

void Site::TakeDown(int place) {
  Node& node = At(place);
  if (!node.up()) return;
  node.Die();
  discovery_->Happened(at_[static_cast<size_t>(place)], BackendState::kGone, 0);
}

// Unless another fault still keeps it down: it comes back with the end of that.
void Site::BringUp(int place) {
  for (FaultKind kind : {FaultKind::kNodesGone, FaultKind::kNodesReplaced, FaultKind::kNodesRestarted,
                         FaultKind::kNodesDrained}) {
    if (faults_.On(kind, place)) return;
  }
  Node& node = At(place);
  if (node.up()) return;
  node.Start(true);
  Settle(place);
  discovery_->Happened(at_[static_cast<size_t>(place)], BackendState::kReady, machine_.Now());
}

Node& Site::At(int place) {
  const int number = at_[static_cast<size_t>(place)];
  std::unique_ptr<Node>& node = nodes_[static_cast<size_t>(number)];
  if (!node) {
    node = MakeNode(number);
    SettleCuts();
  }
  return *node;
}

// A node that drains ends once it is empty.
Task<> Site::Emptied(int place, Micros until) {
  Event step(machine_.scheduler());
  while (machine_.Now() < until && At(place).up() && At(place).in_hand() > 0) {
    co_await step.Wait(machine_.Now() + kEmptyStep);
  }
  if (faults_.On(FaultKind::kNodesDrained, place)) TakeDown(place);
}

// A node that fell stays down: somebody has to look at it.
Task<> Site::SeeFalls() {
  while (true) {
    co_await fell_.Wait();
    for (int number : std::exchange(fallen_, {})) {
      discovery_->Happened(number, BackendState::kGone, 0);
    }
  }
}

}  // namespace burlfall::lab
