#include "cluster/gossip.h"

namespace burlfall::cluster {
namespace {

constexpr size_t kFixedUpdateBytes = 32;  // numbers and the length prefixes of the texts

}  // namespace

size_t GossipQueue::MaxEncodedSize(const Update& update) {
  size_t bytes = kFixedUpdateBytes + update.who.name.size() + update.who.address.size();
  for (const std::string& suspecting_member : update.suspected_by) bytes += suspecting_member.size() + 2;
  return bytes;
}

void GossipQueue::Add(Update update) {
  const std::string name = update.who.name;
  Remove(name);
  updates_[name] = {std::move(update), 0};
  order_.insert({0, name});
}

void GossipQueue::Remove(const std::string& name) {
  const auto it = updates_.find(name);
  if (it == updates_.end()) return;
  order_.erase({it->second.sent_count, name});
  updates_.erase(it);
}

std::vector<Update> GossipQueue::Take(size_t bytes, int max_sends) {
  std::vector<Update> taken;
  std::vector<std::pair<int, std::string>> sent;
  for (auto it = order_.begin(); it != order_.end();) {
    Item& item = updates_[it->second];
    const size_t size = MaxEncodedSize(item.update);
    if (size > bytes) break;
    bytes -= size;
    taken.push_back(item.update);
    const std::string name = it->second;
    it = order_.erase(it);
    if (++item.sent_count >= max_sends) {
      updates_.erase(name);
    } else {
      sent.emplace_back(item.sent_count, name);
    }
  }
  order_.insert(sent.begin(), sent.end());
  return taken;
}

}  // namespace burlfall::cluster
