// Queue of updates to send to the other members: only the last update about each member, each sent a bounded
// number of times, the least often sent first.
#ifndef BURLFALL_CLUSTER_GOSSIP_H_
#define BURLFALL_CLUSTER_GOSSIP_H_

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/message.h"

namespace burlfall::cluster {

class GossipQueue {
 public:
  // Replaces a queued update about the same member.
  void Add(Update update);
  void Remove(const std::string& name);
  // Returns updates of at most `bytes` in all, by MaxEncodedSize(), and drops those sent `max_sends` times.
  std::vector<Update> Take(size_t bytes, int max_sends);
  size_t size() const { return updates_.size(); }
  // An upper bound of the encoded size of an update, in bytes.
  static size_t MaxEncodedSize(const Update& update);

 private:
  struct Item {
    Update update;
    int sent_count = 0;
  };
  std::map<std::string, Item> updates_;
  std::set<std::pair<int, std::string>> order_;  // by the number of sends
};

}  // namespace burlfall::cluster

#endif  // BURLFALL_CLUSTER_GOSSIP_H_
