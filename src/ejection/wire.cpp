// Commands as bytes.
#include "ejection/bytes.h"
#include "ejection/state.h"

namespace burlfall::ejection {
namespace {

constexpr std::string_view kMagic = "bfe\1";
constexpr uint32_t kMostHosts = 1 << 16;
constexpr uint32_t kMostBalancers = 1 << 14;

void PutVote(Packer& to, const Vote& vote) {
  to.pack_array(12);
  Put(to, vote.balancer);
  Put(to, vote.zone);
  Put(to, vote.host);
  to.pack(vote.life);
  to.pack(vote.window);
  to.pack(vote.trials);
  to.pack(vote.failures);
  to.pack(static_cast<uint8_t>(vote.kind));
  to.pack(vote.cls);
  to.pack(static_cast<uint8_t>(vote.sure));
  to.pack(vote.lasts);
  to.pack(vote.others);
}

Vote TakeVote(Values from) {
  Vote vote;
  vote.balancer = from.Text();
  vote.zone = from.Text();
  vote.host = from.Text();
  vote.life = from.Number();
  vote.window = from.Span();
  vote.trials = from.Small();
  vote.failures = from.Small();
  vote.kind = from.Choice(Kind::kSpoilt);
  vote.cls = from.Small();
  vote.sure = from.Flag();
  vote.lasts = from.Span();
  vote.others = from.Small();
  return vote;
}

void PutGroup(Packer& to, const Group& group) {
  to.pack_array(3);
  to.pack(group.used);
  to.pack_array(static_cast<uint32_t>(group.hosts.size()));
  for (const Host& host : group.hosts) {
    to.pack_array(6);
    Put(to, host.name);
    Put(to, host.zone);
    to.pack(host.life);
    to.pack(static_cast<uint8_t>(host.draining));
    to.pack(static_cast<uint8_t>(host.by_hand));
    to.pack(host.capacity);
  }
  to.pack_array(static_cast<uint32_t>(group.balancers.size()));
  for (const Balancer& balancer : group.balancers) {
    to.pack_array(3);
    Put(to, balancer.name);
    Put(to, balancer.zone);
    to.pack_array(static_cast<uint32_t>(balancer.hosts.size()));
    for (const std::string& used : balancer.hosts) Put(to, used);
  }
}

Group TakeGroup(Values from) {
  Group group;
  group.used = from.Share();
  Values hosts = from.Array(kMostHosts);
  for (uint32_t i = 0; i < hosts.size(); ++i) {
    Values one = hosts.Array(64);
    Host host;
    host.name = one.Text();
    host.zone = one.Text();
    host.life = one.Number();
    host.draining = one.Flag();
    host.by_hand = one.Flag();
    host.capacity = one.Small();
    group.hosts.push_back(std::move(host));
  }
  Values balancers = from.Array(kMostBalancers);
  for (uint32_t i = 0; i < balancers.size(); ++i) {
    Values one = balancers.Array(64);
    Balancer balancer;
    balancer.name = one.Text();
    balancer.zone = one.Text();
    Values used = one.Array(kMostHosts);
    for (uint32_t j = 0; j < used.size(); ++j) balancer.hosts.push_back(used.Text());
    group.balancers.push_back(std::move(balancer));
  }
  return group;
}

Command Take(Values from) {
  using What = Command::What;
  Command command;
  command.what = from.Choice(What::kCount);
  switch (command.what) {
    case What::kVote:
      command.vote = TakeVote(from.Array(64));
      break;
    case What::kGood: {
      Values one = from.Array(64);
      command.good.balancer = one.Text();
      command.good.zone = one.Text();
      command.good.host = one.Text();
      command.good.life = one.Number();
      command.good.trials = one.Small();
      command.good.cls = one.Small();
      command.good.lasts = one.Span();
      break;
    }
    case What::kWithdraw:
    case What::kTrial:
      command.balancer = from.Text();
      command.host = from.Text();
      command.life = from.Number();
      command.was_good = from.Flag();
      break;
    case What::kRunOut:
      break;
    case What::kOperator:
      command.operation = from.Choice(Operator::kAllow);
      command.host = from.Text();
      command.span = from.Span();
      command.who = from.Text();
      command.reason = from.Text(4 * kLongestName);
      break;
    case What::kHosts:
      command.epoch = from.Number();
      command.group = TakeGroup(from.Array(64));
      break;
    case What::kCount:
      command.epoch = from.Number();
      break;
  }
  return command;
}

}  // namespace

std::string Write(const Command& command) {
  using What = Command::What;
  msgpack::sbuffer body;
  Packer to(body);
  const auto head = [&](uint32_t values) {
    to.pack_array(values + 1);
    to.pack(static_cast<uint8_t>(command.what));
  };
  switch (command.what) {
    case What::kVote:
      head(1);
      PutVote(to, command.vote);
      break;
    case What::kGood:
      head(1);
      to.pack_array(7);
      Put(to, command.good.balancer);
      Put(to, command.good.zone);
      Put(to, command.good.host);
      to.pack(command.good.life);
      to.pack(command.good.trials);
      to.pack(command.good.cls);
      to.pack(command.good.lasts);
      break;
    case What::kWithdraw:
    case What::kTrial:
      head(4);
      Put(to, command.balancer);
      Put(to, command.host);
      to.pack(command.life);
      to.pack(static_cast<uint8_t>(command.was_good));
      break;
    case What::kRunOut:
      head(0);
      break;
    case What::kOperator:
      head(5);
      to.pack(static_cast<uint8_t>(command.operation));
      Put(to, command.host);
      to.pack(command.span);
      Put(to, command.who);
      Put(to, command.reason);
      break;
    case What::kHosts:
      head(2);
      to.pack(command.epoch);
      PutGroup(to, command.group);
      break;
    case What::kCount:
      head(1);
      to.pack(command.epoch);
      break;
  }
  return Frame(kMagic, body);
}

std::optional<Command> ReadCommand(std::string_view bytes) {
  if (bytes.size() > kLargestCommand) return std::nullopt;
  return Unframe(kMagic, bytes, kMostHosts, Take);
}

}  // namespace burlfall::ejection
