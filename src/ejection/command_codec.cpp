// Encodes and decodes the commands of the replicated log.
#include "ejection/framing.h"
#include "ejection/state.h"

namespace burlfall::ejection {
namespace {

constexpr std::string_view kMagic = "bfe\1";
constexpr uint32_t kMaxHosts = 1 << 16;
constexpr uint32_t kMaxBalancers = 1 << 14;

void PackVote(Packer& to, const Vote& vote) {
  to.pack_array(12);
  PackText(to, vote.balancer);
  PackText(to, vote.zone);
  PackText(to, vote.host);
  to.pack(vote.incarnation);
  to.pack(vote.window);
  to.pack(vote.trials);
  to.pack(vote.failures);
  to.pack(static_cast<uint8_t>(vote.kind));
  to.pack(vote.cls);
  to.pack(static_cast<uint8_t>(vote.sure));
  to.pack(vote.lifetime);
  to.pack(vote.others);
}

Vote UnpackVote(ArrayReader from) {
  Vote vote;
  vote.balancer = from.Text();
  vote.zone = from.Text();
  vote.host = from.Text();
  vote.incarnation = from.Number();
  vote.window = from.Duration();
  vote.trials = from.Number32();
  vote.failures = from.Number32();
  vote.kind = from.Enumerator(Kind::kMalformed);
  vote.cls = from.Number32();
  vote.sure = from.Flag();
  vote.lifetime = from.Duration();
  vote.others = from.Number32();
  return vote;
}

void PackGroup(Packer& to, const Group& group) {
  to.pack_array(3);
  to.pack(group.used_share);
  to.pack_array(static_cast<uint32_t>(group.hosts.size()));
  for (const Host& host : group.hosts) {
    to.pack_array(6);
    PackText(to, host.name);
    PackText(to, host.zone);
    to.pack(host.incarnation);
    to.pack(static_cast<uint8_t>(host.draining));
    to.pack(static_cast<uint8_t>(host.by_hand));
    to.pack(host.capacity);
  }
  to.pack_array(static_cast<uint32_t>(group.balancers.size()));
  for (const Balancer& balancer : group.balancers) {
    to.pack_array(3);
    PackText(to, balancer.name);
    PackText(to, balancer.zone);
    to.pack_array(static_cast<uint32_t>(balancer.hosts.size()));
    for (const std::string& used : balancer.hosts) PackText(to, used);
  }
}

Group UnpackGroup(ArrayReader from) {
  Group group;
  group.used_share = from.Share();
  ArrayReader hosts = from.Array(kMaxHosts);
  for (uint32_t i = 0; i < hosts.size(); ++i) {
    ArrayReader item = hosts.Array(64);
    Host host;
    host.name = item.Text();
    host.zone = item.Text();
    host.incarnation = item.Number();
    host.draining = item.Flag();
    host.by_hand = item.Flag();
    host.capacity = item.Number32();
    group.hosts.push_back(std::move(host));
  }
  ArrayReader balancers = from.Array(kMaxBalancers);
  for (uint32_t i = 0; i < balancers.size(); ++i) {
    ArrayReader item = balancers.Array(64);
    Balancer balancer;
    balancer.name = item.Text();
    balancer.zone = item.Text();
    ArrayReader used = item.Array(kMaxHosts);
    for (uint32_t j = 0; j < used.size(); ++j) balancer.hosts.push_back(used.Text());
    group.balancers.push_back(std::move(balancer));
  }
  return group;
}

Command UnpackCommand(ArrayReader from) {
  using What = Command::What;
  Command command;
  command.what = from.Enumerator(What::kCount);
  switch (command.what) {
    case What::kVote:
      command.vote = UnpackVote(from.Array(64));
      break;
    case What::kGoodReport: {
      ArrayReader item = from.Array(64);
      command.good.balancer = item.Text();
      command.good.zone = item.Text();
      command.good.host = item.Text();
      command.good.incarnation = item.Number();
      command.good.trials = item.Number32();
      command.good.cls = item.Number32();
      command.good.lifetime = item.Duration();
      break;
    }
    case What::kWithdraw:
    case What::kTrial:
      command.balancer = from.Text();
      command.host = from.Text();
      command.incarnation = from.Number();
      command.was_good = from.Flag();
      break;
    case What::kExpire:
      break;
    case What::kOperator:
      command.operation = from.Enumerator(OperatorAction::kAllow);
      command.host = from.Text();
      command.span = from.Duration();
      command.who = from.Text();
      command.reason = from.Text(4 * kMaxNameBytes);
      break;
    case What::kHosts:
      command.epoch = from.Number();
      command.group = UnpackGroup(from.Array(64));
      break;
    case What::kCount:
      command.epoch = from.Number();
      break;
  }
  return command;
}

}  // namespace

std::string EncodeCommand(const Command& command) {
  using What = Command::What;
  msgpack::sbuffer body;
  Packer to(body);
  const auto begin = [&](uint32_t values) {
    to.pack_array(values + 1);
    to.pack(static_cast<uint8_t>(command.what));
  };
  switch (command.what) {
    case What::kVote:
      begin(1);
      PackVote(to, command.vote);
      break;
    case What::kGoodReport:
      begin(1);
      to.pack_array(7);
      PackText(to, command.good.balancer);
      PackText(to, command.good.zone);
      PackText(to, command.good.host);
      to.pack(command.good.incarnation);
      to.pack(command.good.trials);
      to.pack(command.good.cls);
      to.pack(command.good.lifetime);
      break;
    case What::kWithdraw:
    case What::kTrial:
      begin(4);
      PackText(to, command.balancer);
      PackText(to, command.host);
      to.pack(command.incarnation);
      to.pack(static_cast<uint8_t>(command.was_good));
      break;
    case What::kExpire:
      begin(0);
      break;
    case What::kOperator:
      begin(5);
      to.pack(static_cast<uint8_t>(command.operation));
      PackText(to, command.host);
      to.pack(command.span);
      PackText(to, command.who);
      PackText(to, command.reason);
      break;
    case What::kHosts:
      begin(2);
      to.pack(command.epoch);
      PackGroup(to, command.group);
      break;
    case What::kCount:
      begin(1);
      to.pack(command.epoch);
      break;
  }
  return Frame(kMagic, body);
}

std::optional<Command> DecodeCommand(std::string_view bytes) {
  if (bytes.size() > kMaxCommandBytes) return std::nullopt;
  return Unframe(kMagic, bytes, kMaxHosts, UnpackCommand);
}

}  // namespace burlfall::ejection
