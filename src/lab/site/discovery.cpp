#include "lab/site/discovery.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>
#include <system_error>
#include <utility>

#include "config/platform.h"

namespace burlfall::lab {
namespace {

using meadowslip::BackendState;

constexpr uint64_t kMaxWaitMs = 60000;
constexpr std::string_view kJson = "Content-Type: application/json\r\n";
// Unusable bodies that a broken service or a proxy may answer with status 200.
constexpr std::array<std::string_view, 4> kUnusableBodies = {
    "", "<html>maintenance</html>", "{}", "{\"version\":9,\"full\":true,\"servers\":[{\"id\":7}]}"};

// Returns the numeric parameter `name` of a target; nothing if it is missing or not a number.
std::optional<uint64_t> NumericParameter(std::string_view target, std::string_view name) {
  const std::string_view text = ParameterOf(target, name);
  uint64_t number = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) return {};
  return number;
}

}  // namespace

struct Discovery::CallLink : Link {
  uint64_t call = 0;    // the current call; 0: none
  bool watch = false;   // the call is part of a watch
  bool listed = false;  // the answer is a list
  bool reset = false;   // reset the connection instead of the answer or its second half
  Micros called_at = 0;
  std::vector<HostState> announced;  // host states in the current answer
};

Discovery::Discovery(Machine& machine, Observer& witness, const DiscoverySpec& spec,
                     const std::vector<Address>& at, std::vector<HostState> known, AddressOf address_of,
                     TextOf text_of, uint64_t seed)
    : StandIn(machine, {}, at),
      witness_(witness),
      model_(spec, static_cast<int>(at.size()), std::move(known), seed),
      random_(seed, "troubles"),
      address_of_(std::move(address_of)),
      text_of_(std::move(text_of)),
      model_changed_(machine.scheduler()) {
  model_task_ = RunModel();
  model_task_.Start();
  Open();
}

Discovery::~Discovery() = default;

void Discovery::ReportChange(int node, BackendState state, Micros started_at, bool silent) {
  model_.ReportChange(machine_.Now(), {node, state, started_at}, silent);
  Apply();
}

void Discovery::SetImpairments(const Impairments& impairments) {
  impairments_ = impairments;
  model_.SetSpeed(impairments.speed);
}

void Discovery::GoDown() {
  model_.GoDown(machine_.Now(), effects_);
  Apply();
}

void Discovery::ComeBack(int versions_before) {
  model_.ComeBack(machine_.Now(), versions_before, effects_);
  Apply();
}

NodeList Discovery::ListFor(int balancer) const {
  return BuildList(balancer, model_.version(), true, model_.List());
}

std::unique_ptr<StandIn::Link> Discovery::NewLink() { return std::make_unique<CallLink>(); }

Task<bool> Discovery::Handle(Link& link, HttpMessage query) {
  auto& here = static_cast<CallLink&>(link);
  here.listed = here.reset = false;
  const std::string_view path = std::string_view(query.target).substr(0, query.target.find('?'));
  if (query.method != "GET" || path != platform::kHostsPath) {
    Answer(link, 404, "", "");
    co_return true;
  }
  const int balancer = link.endpoint->balancer;
  const Micros now = machine_.Now();
  const std::optional<uint64_t> index = NumericParameter(query.target, "index");
  here.watch = index.has_value();
  here.called_at = now;
  witness_.ListCall(balancer, here.watch, now);
  if (impairments_.busy) {
    std::string headers;
    if (impairments_.retry_after_s > 0) {
      headers = std::string(platform::kRetryAfter) + ": " +
                std::to_string(static_cast<int64_t>(impairments_.retry_after_s)) + "\r\n";
    }
    Answer(link, 503, headers, "");
    witness_.ListRequestFailed(balancer, now);
    witness_.ListCallEnded(balancer, here.watch, ListEnd::kRefused, 0, now);
    co_return true;
  }
  const uint64_t wait_ms = std::min(NumericParameter(query.target, "wait").value_or(0), kMaxWaitMs);
  here.call = model_.Call(now, balancer, index, static_cast<Micros>(wait_ms) * kMs, effects_);
  calls_[here.call] = &here;
  if (here.watch) witness_.ListRequested(balancer, now, true);
  Apply();
  bool answered = true;
  if (link.out.empty()) answered = co_await AwaitAnswer(link);
  if (answered && here.reset) {
    std::string_view half = std::string_view(link.out).substr(0, link.out.size() / 2);
    if (here.listed) link.stream->Write(half);  // a partial write is fine: the answer is truncated anyway
    link.stream->Reset();
  }
  co_return answered && !here.reset;
}

// The balancer counts as informed from now on, since the complete answer has been written.
void Discovery::OnAnswerWritten(Link& link) {
  auto& here = static_cast<CallLink&>(link);
  const Micros now = machine_.Now();
  for (const HostState& host : here.announced) {
    witness_.NodeStateSent(link.endpoint->balancer, host.node, host.state, host.started_at, now);
  }
  here.announced.clear();
  const int balancer = link.endpoint->balancer;
  if (here.listed && !here.watch) witness_.ListRequested(balancer, now, model_.watching(balancer));
}

void Discovery::OnClosed(Link& link) {
  auto& here = static_cast<CallLink&>(link);
  const uint64_t call = std::exchange(here.call, 0);
  if (call == 0) return;
  const Micros now = machine_.Now();
  witness_.ListCallEnded(link.endpoint->balancer, here.watch, ListEnd::kLeft, now - here.called_at, now);
  calls_.erase(call);
  model_.CallerDisconnected(machine_.Now(), call, effects_);
  Apply();
}

void Discovery::Apply() {
  std::vector<DiscoveryModel::Effect> effects;
  effects.swap(effects_);
  for (DiscoveryModel::Effect& effect : effects) Conclude(std::move(effect));
  if (model_.NextAt() < next_tick_at_) model_changed_.Notify();
}

void Discovery::Conclude(DiscoveryModel::Effect effect) {
  using EffectType = DiscoveryModel::EffectType;
  const Micros now = machine_.Now();
  if (effect.type == EffectType::kConsideredInformed) {
    for (const HostState& host : effect.hosts) {
      witness_.NodeStateSent(effect.balancer, host.node, host.state, host.started_at, now);
    }
    return;
  }
  if (effect.type == EffectType::kListChanged) {
    for (const HostState& host : effect.hosts) {
      witness_.Listed(host.node, host.state, host.started_at, now);
    }
    return;
  }
  if (effect.type == EffectType::kWatchEnded) return witness_.ListRequested(effect.balancer, now, false);
  if (effect.type != EffectType::kAnswered) {
    witness_.ListRequestFailed(effect.balancer, now);
    if (model_.watching(effect.balancer))
      witness_.ListRequested(effect.balancer, now, true);  // another call still watches
  }
  auto it = calls_.find(effect.call);
  if (it == calls_.end()) return;
  CallLink& link = *it->second;
  calls_.erase(it);
  link.call = 0;
  link.reset = effect.type == EffectType::kReset;
  if (effect.type == EffectType::kAnswered) {
    const bool unusable = random_.Chance(impairments_.unusable),
               truncated = !unusable && random_.Chance(impairments_.truncated);
    link.reset = truncated;
    if (unusable) {
      Answer(link, 200, kJson,
             kUnusableBodies[static_cast<size_t>(random_.Below(static_cast<int>(kUnusableBodies.size())))]);
    } else {
      Answer(link, 200, kJson,
             text_of_(BuildList(effect.balancer, effect.version, effect.full, effect.hosts)));
    }
    if (unusable || truncated) {
      witness_.ListRequestFailed(effect.balancer, now);
    } else {
      link.announced = std::move(effect.hosts);
    }
    link.listed = !unusable;
    const ListEnd how = unusable || truncated    ? ListEnd::kRefused
                        : link.announced.empty() ? ListEnd::kNothing
                                                 : ListEnd::kListed;
    witness_.ListCallEnded(effect.balancer, link.watch, how, now - link.called_at, now);
  } else {
    Answer(link, 503, "", "");
    witness_.ListCallEnded(effect.balancer, link.watch, ListEnd::kRefused, now - link.called_at, now);
  }
  Wake(link);
}

NodeList Discovery::BuildList(int balancer, uint64_t version, bool full,
                              const std::vector<HostState>& hosts) const {
  NodeList list{version, full, {}};
  for (const HostState& host : hosts) {
    if (full && host.state == BackendState::kGone) continue;  // a full list leaves out hosts that are gone
    list.nodes.push_back({host.node, address_of_(host.node, balancer), host.state, host.started_at});
  }
  return list;
}

Task<> Discovery::RunModel() {
  while (true) {
    next_tick_at_ = model_.NextAt();
    co_await model_changed_.Wait(next_tick_at_);
    next_tick_at_ = 0;  // Apply() need not wake this task, which is about to update the time
    model_.Tick(machine_.Now(), effects_);
    Apply();
  }
}

}  // namespace burlfall::lab
