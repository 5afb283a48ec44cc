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

constexpr uint64_t kLongestWaitMs = 60000;
constexpr std::string_view kJson = "Content-Type: application/json\r\n";
// What a service that has lost its way may answer.
constexpr std::array<std::string_view, 4> kOdd = {"", "<html>maintenance</html>", "{}",
                                                  "{\"version\":9,\"full\":true,\"servers\":[{\"id\":7}]}"};

// A number among the parameters of a target; nothing where there is none of that name.
std::optional<uint64_t> Number(std::string_view target, std::string_view name) {
  const std::string_view text = ParameterOf(target, name);
  uint64_t number = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) return {};
  return number;
}

}  // namespace

struct Discovery::CallLink : Link {
  uint64_t call = 0;    // at hand; 0: none
  bool watch = false;   // it is one of a watch
  bool listed = false;  // its answer is a list
  bool reset = false;   // instead of an answer, or of its second half
  Micros called_at = 0;
  std::vector<HostState> being_told;  // by the answer at hand
};

Discovery::Discovery(Machine& machine, Observer& witness, const DiscoverySpec& spec,
                     const std::vector<Address>& at, std::vector<HostState> known, AddressOf address_of,
                     TextOf text_of, uint64_t seed)
    : StandIn(machine, {}, at),
      witness_(witness),
      model_(spec, static_cast<int>(at.size()), std::move(known), seed),
      draws_(seed, "troubles"),
      address_of_(std::move(address_of)),
      text_of_(std::move(text_of)),
      model_moves_(machine.scheduler()) {
  tending_ = Tend();
  tending_.Start();
  Open();
}

Discovery::~Discovery() = default;

void Discovery::Happened(int node, BackendState state, Micros started_at, bool silent) {
  model_.Happened(machine_.Now(), {node, state, started_at}, silent);
  Apply();
}

void Discovery::Trouble(const Troubles& troubles) {
  troubles_ = troubles;
  model_.Slow(troubles.speed);
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
  return Listed(balancer, model_.version(), true, model_.List());
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
  const int balancer = link.gate->balancer;
  const Micros now = machine_.Now();
  const std::optional<uint64_t> index = Number(query.target, "index");
  here.watch = index.has_value();
  here.called_at = now;
  witness_.ListCall(balancer, here.watch, now);
  if (troubles_.busy) {
    std::string headers;
    if (troubles_.retry_after_s > 0) {
      headers = std::string(platform::kRetryAfter) + ": " +
                std::to_string(static_cast<int64_t>(troubles_.retry_after_s)) + "\r\n";
    }
    Answer(link, 503, headers, "");
    witness_.ListRequestFailed(balancer, now);
    witness_.ListCallEnded(balancer, here.watch, ListEnd::kRefused, 0, now);
    co_return true;
  }
  const uint64_t wait_ms = std::min(Number(query.target, "wait").value_or(0), kLongestWaitMs);
  here.call = model_.Call(now, balancer, index, static_cast<Micros>(wait_ms) * kMs, effects_);
  calls_[here.call] = &here;
  if (here.watch) witness_.ListRequested(balancer, now, true);
  Apply();
  bool answered = true;
  if (link.out.empty()) answered = co_await AwaitAnswer(link);
  if (answered && here.reset) {
    std::string_view half = std::string_view(link.out).substr(0, link.out.size() / 2);
    if (here.listed) link.stream->Write(half);  // it fits, or is broken anyway
    link.stream->Reset();
  }
  co_return answered && !here.reset;
}

// What it was told counts from here: the answer is on its way, whole.
void Discovery::Written(Link& link) {
  auto& here = static_cast<CallLink&>(link);
  const Micros now = machine_.Now();
  for (const HostState& host : here.being_told) {
    witness_.NodeStateSent(link.gate->balancer, host.node, host.state, host.started_at, now);
  }
  here.being_told.clear();
  const int balancer = link.gate->balancer;
  if (here.listed && !here.watch) witness_.ListRequested(balancer, now, model_.watching(balancer));
}

void Discovery::Lost(Link& link) {
  auto& here = static_cast<CallLink&>(link);
  const uint64_t call = std::exchange(here.call, 0);
  if (call == 0) return;
  const Micros now = machine_.Now();
  witness_.ListCallEnded(link.gate->balancer, here.watch, ListEnd::kLeft, now - here.called_at, now);
  calls_.erase(call);
  model_.Left(machine_.Now(), call, effects_);
  Apply();
}

void Discovery::Apply() {
  std::vector<DiscoveryModel::Effect> effects;
  effects.swap(effects_);
  for (DiscoveryModel::Effect& effect : effects) Conclude(std::move(effect));
  if (model_.NextAt() < tended_at_) model_moves_.Notify();
}

void Discovery::Conclude(DiscoveryModel::Effect effect) {
  using Did = DiscoveryModel::Did;
  const Micros now = machine_.Now();
  if (effect.did == Did::kDeemed) {
    for (const HostState& host : effect.hosts) {
      witness_.NodeStateSent(effect.balancer, host.node, host.state, host.started_at, now);
    }
    return;
  }
  if (effect.did == Did::kListed) {
    for (const HostState& host : effect.hosts) {
      witness_.Listed(host.node, host.state, host.started_at, now);
    }
    return;
  }
  if (effect.did == Did::kUnwatched) return witness_.ListRequested(effect.balancer, now, false);
  if (effect.did != Did::kAnswered) {
    witness_.ListRequestFailed(effect.balancer, now);
    if (model_.watching(effect.balancer))
      witness_.ListRequested(effect.balancer, now, true);  // by another call
  }
  auto it = calls_.find(effect.call);
  if (it == calls_.end()) return;
  CallLink& link = *it->second;
  calls_.erase(it);
  link.call = 0;
  link.reset = effect.did == Did::kReset;
  if (effect.did == Did::kAnswered) {
    const bool odd = draws_.Chance(troubles_.odd), breaks = !odd && draws_.Chance(troubles_.breaks);
    link.reset = breaks;
    if (odd) {
      Answer(link, 200, kJson, kOdd[static_cast<size_t>(draws_.Below(static_cast<int>(kOdd.size())))]);
    } else {
      Answer(link, 200, kJson, text_of_(Listed(effect.balancer, effect.version, effect.full, effect.hosts)));
    }
    if (odd || breaks) {
      witness_.ListRequestFailed(effect.balancer, now);
    } else {
      link.being_told = std::move(effect.hosts);
    }
    link.listed = !odd;
    const ListEnd how = odd || breaks             ? ListEnd::kRefused
                        : link.being_told.empty() ? ListEnd::kNothing
                                                  : ListEnd::kListed;
    witness_.ListCallEnded(effect.balancer, link.watch, how, now - link.called_at, now);
  } else {
    Answer(link, 503, "", "");
    witness_.ListCallEnded(effect.balancer, link.watch, ListEnd::kRefused, now - link.called_at, now);
  }
  Wake(link);
}

NodeList Discovery::Listed(int balancer, uint64_t version, bool full,
                           const std::vector<HostState>& hosts) const {
  NodeList list{version, full, {}};
  for (const HostState& host : hosts) {
    if (full && host.state == BackendState::kGone) continue;  // its absence says so
    list.nodes.push_back({host.node, address_of_(host.node, balancer), host.state, host.started_at});
  }
  return list;
}

Task<> Discovery::Tend() {
  while (true) {
    tended_at_ = model_.NextAt();
    co_await model_moves_.Wait(tended_at_);
    tended_at_ = 0;  // it is looked after anew anyway
    model_.Tick(machine_.Now(), effects_);
    Apply();
  }
}

}  // namespace burlfall::lab
