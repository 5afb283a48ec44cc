#include "cluster/gossip.h"

namespace burlfall::cluster {
namespace {

constexpr size_t kAround = 32;  // numbers, heads of the texts

}  // namespace

size_t Gossip::SizeOf(const Claim& claim) {
  size_t bytes = kAround + claim.who.name.size() + claim.who.address.size();
  for (const std::string& accuser : claim.accusers) bytes += accuser.size() + 2;
  return bytes;
}

void Gossip::Add(Claim claim) {
  const std::string name = claim.who.name;
  Forget(name);
  claims_[name] = {std::move(claim), 0};
  order_.insert({0, name});
}

void Gossip::Forget(const std::string& name) {
  const auto it = claims_.find(name);
  if (it == claims_.end()) return;
  order_.erase({it->second.sent, name});
  claims_.erase(it);
}

std::vector<Claim> Gossip::Take(size_t bytes, int times) {
  std::vector<Claim> taken;
  std::vector<std::pair<int, std::string>> sent;
  for (auto it = order_.begin(); it != order_.end();) {
    Item& item = claims_[it->second];
    const size_t size = SizeOf(item.claim);
    if (size > bytes) break;
    bytes -= size;
    taken.push_back(item.claim);
    const std::string name = it->second;
    it = order_.erase(it);
    if (++item.sent >= times) {
      claims_.erase(name);
    } else {
      sent.emplace_back(item.sent, name);
    }
  }
  order_.insert(sent.begin(), sent.end());
  return taken;
}

}  // namespace burlfall::cluster
