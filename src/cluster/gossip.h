// News on their way to the other members: for each member the last claim alone, each sent a bounded number of
// times, those first that were sent least.
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

class Gossip {
 public:
  // In the place of what was to be told of the same member.
  void Add(Claim claim);
  void Forget(const std::string& name);
  // At most so many bytes of them, as SizeOf() counts; what has gone out `times` is news no more.
  std::vector<Claim> Take(size_t bytes, int times);
  size_t size() const { return claims_.size(); }
  // An upper bound of what a claim takes on the wire.
  static size_t SizeOf(const Claim& claim);

 private:
  struct Item {
    Claim claim;
    int sent = 0;
  };
  std::map<std::string, Item> claims_;
  std::set<std::pair<int, std::string>> order_;  // by how often they were sent
};

}  // namespace burlfall::cluster

#endif  // BURLFALL_CLUSTER_GOSSIP_H_
