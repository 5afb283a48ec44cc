#include "lab/run/run.h"

#include <algorithm>
#include <utility>

#include "config/platform_config.h"
#include "config/settings.h"
#include "lab/judge/facts.h"

namespace burlfall::lab {
namespace {

constexpr Micros kLongestEnd = 15 * kSecond;  // for the last queries, their retries included
constexpr Micros kAfterLast = 300 * kMs;      // for what nodes still have to tell

meadowslip::Settings SettingsOf(const Experiment& experiment, const Script& script) {
  return meadowslip::ParseSettings(FlattenSettings(SettingsJson(experiment, script, 0)));
}

Facts MakeFacts(const Experiment& experiment, const Script& script, const std::string& subject,
                Micros begins_at) {
  Facts facts = FactsOf(experiment, script, SettingsOf(experiment, script), begins_at);
  facts.subject = subject;
  return facts;
}

std::vector<std::string> NamesOf(const Script& script) {
  std::vector<std::string> names;
  for (const BalancerPlan& balancer : script.balancers) names.push_back(balancer.name);
  return names;
}

std::vector<Clients::Balancer> BalancersAt(const Script& script, const std::vector<std::string>& listen) {
  std::vector<Clients::Balancer> balancers;
  for (size_t b = 0; b < script.balancers.size(); ++b) {
    balancers.push_back({*ReadAddress(listen.at(b)), script.balancers[b].zone});
  }
  return balancers;
}

}  // namespace

std::string_view NameOf(Run::Phase phase) {
  constexpr std::string_view kNames[] = {"preparing", "starting", "playing", "ending", "over"};
  return kNames[static_cast<size_t>(phase)];
}

Run::Run(Machine& machine, const Experiment& experiment, uint64_t seed, Setup setup, Processes& processes)
    : machine_(machine),
      experiment_(experiment),
      script_(GenerateScript(experiment, seed)),
      setup_(std::move(setup)),
      processes_(processes),
      begins_at_(machine.Now() + setup_.start_within),
      lives_(script_.balancers.size(), Life::kNone),
      arrivals_(GenerateArrivals(experiment, script_)),
      judge_(MakeFacts(experiment, script_, setup_.subject, begins_at_)),
      fleet_(experiment.fleet, NamesOf(script_), begins_at_),
      clients_({machine, witnesses_, experiment, *arrivals_, BalancersAt(script_, setup_.listen),
                script_.seed, begins_at_}),
      site_(machine, experiment, script_, witnesses_, *this,
            [this](TraceId trace, WorkInfo& work) { return clients_.WorkOf(trace, work); },
            {setup_.node_host, setup_.host_each, setup_.listen}),
      moved_(machine.scheduler()) {
  witnesses_.Add(polite_);
  polite_.Add(judge_);
  polite_.Add(fleet_);
  if (!setup_.history) return;
  history_.emplace(MakeFacts(experiment_, script_, setup_.subject, begins_at_), setup_.history);
  polite_.Add(*history_);
}

Run::~Run() = default;

Run::Progress Run::progress() const {
  Progress now;
  now.phase = phase_;
  now.since = machine_.Now() - begins_at_;
  now.length = script_.length;
  now.waiting = clients_.open();
  now.tries = clients_.counts().tries;
  for (int rule = 0; rule < kRules; ++rule) now.broken += judge_.Violations(static_cast<Rule>(rule));
  for (const Action& action : script_.actions) {
    if (action.at <= now.since) now.fault = TraitsOf(action.kind).kind_name;
  }
  return now;
}

void Run::Stop(std::string why) {
  stopping_ = true;
  if (failed_.empty()) failed_ = std::move(why);
  moved_.Notify();
}

Task<> Run::SleepUntil(Micros until) {
  while (machine_.Now() < until && !stopping_) co_await moved_.Wait(until);
}

bool Run::AllUp() const {
  if (experiment_.site.balancers.start_s) return true;  // they start once the run has begun
  return std::ranges::all_of(lives_, [](Life life) { return life == Life::kUp; });
}

Task<> Run::Play() {
  phase_ = Phase::kStarting;
  site_.Open();
  site_.StartBalancers();
  while (!AllUp() && !stopping_ && machine_.Now() < begins_at_) co_await moved_.Wait(begins_at_);
  if (!stopping_ && !AllUp()) {
    std::string who;
    for (size_t b = 0; b < lives_.size(); ++b) {
      if (lives_[b] != Life::kUp) who += (who.empty() ? "" : ", ") + script_.balancers[b].name;
    }
    Stop("not all balancers came up in " + std::to_string(setup_.start_within / kMs) + " ms: " + who);
  }
  if (!stopping_) {
    phase_ = Phase::kPlaying;
    began_ = true;
    clients_.Start();
    site_.Begin(begins_at_);
    co_await SleepUntil(begins_at_ + script_.length);
  }
  phase_ = Phase::kEnding;
  if (!stopping_) {
    // What is on its way is answered, and the last faults end: rules count until all is at rest.
    const Micros latest = machine_.Now() + kLongestEnd;
    while (!clients_.over() && !stopping_ && machine_.Now() < latest) {
      co_await clients_.when_over().Wait(std::min(latest, machine_.Now() + 100 * kMs));
    }
    co_await SleepUntil(machine_.Now() + kAfterLast);
  }
  site_.End();
  Note();
  const Micros ended_at = machine_.Now();
  verdict_ = judge_.Finish(ended_at);
  verdict_.fleet = fleet_.Finish(begins_at_ + script_.length);
  HoldInTime();
  if (history_) history_->End(ended_at);
  phase_ = Phase::kOver;
}

void Run::HoldInTime() {
  const double goal = experiment_.fleet.in_time;
  const Series& series = verdict_.series;
  const auto first = static_cast<size_t>(experiment_.fleet.from_s) + 1;
  uint64_t asked = 0, in_time = 0;
  for (size_t s = first; s < std::min(first + 10, series.asked.size()); ++s) {
    asked += series.asked[s];
    in_time += series.in_time[s];
  }
  const double share = asked == 0 ? 0 : static_cast<double>(in_time) / static_cast<double>(asked);
  if (share >= goal) return;
  verdict_.fleet.missed.push_back("share in time of ten seconds: " + std::to_string(share) + ", at least " +
                                  std::to_string(goal));
}

void Run::Note() {
  if (!clients_.over() && failed_.empty()) {
    notes_.push_back(std::to_string(clients_.open()) +
                     " queries were still open long after the last was due");
  }
  if (site_.all_unexpected_queries() > 0) {
    notes_.push_back(std::to_string(site_.all_unexpected_queries()) +
                     " attempts came to nodes that no client had made");
  }
  if (clients_.counts().no_room > 0) {
    notes_.push_back(std::to_string(clients_.counts().no_room) +
                     " links of clients could not be opened for want of a descriptor or port here");
  }
  if (clients_.rude().served > 0) {
    notes_.push_back(std::to_string(clients_.rude().served) +
                     " rude clients were served, who had sent no query");
  }
  if (clients_.counts().nobody > 0) {
    notes_.push_back(std::to_string(clients_.counts().nobody) + " tries found no balancer to go to");
  }
}

// ---- Balancers -------------------------------------------------------------------------------------------

void Run::Start(int balancer, const std::string& config, FolderAfter folder) {
  lives_[static_cast<size_t>(balancer)] = Life::kStarting;
  witnesses_.BalancerStarting(balancer, machine_.Now());
  processes_.Start(balancer, config, folder);
}

void Run::Kill(int balancer) {
  Life& life = lives_[static_cast<size_t>(balancer)];
  if (life == Life::kNone) return;
  life = Life::kKilled;
  processes_.Kill(balancer);
  clients_.BalancerDied(balancer);
}

void Run::Terminate(int balancer) {
  Life& life = lives_[static_cast<size_t>(balancer)];
  if (life != Life::kUp) return;
  life = Life::kLeaving;
  processes_.Terminate(balancer);
  clients_.BalancerLeaving(balancer);
}

void Run::Reload(int balancer, const std::string& config) {
  if (lives_[static_cast<size_t>(balancer)] == Life::kUp) processes_.Reload(balancer, config);
}

void Run::Pause(int balancer, bool on) { processes_.Pause(balancer, on); }

void Run::SetMisbehavingLinkRate(int balancer, double links_per_s) { clients_.BeRude(balancer, links_per_s); }

void Run::Up(int balancer) {
  Life& life = lives_[static_cast<size_t>(balancer)];
  if (life != Life::kStarting) return;
  life = Life::kUp;
  site_.BalancerUp(balancer);
  clients_.BalancerStarted(balancer);
  moved_.Notify();
}

void Run::Ended(int balancer) {
  const Life was = std::exchange(lives_[static_cast<size_t>(balancer)], Life::kNone);
  if (phase_ == Phase::kOver || was == Life::kNone) return;
  if (was != Life::kKilled) clients_.BalancerDied(balancer);
  site_.BalancerDown(balancer, was == Life::kLeaving);
  moved_.Notify();
}

}  // namespace burlfall::lab
