// What any sane proxy keeps, so that peers differ in choosing and retrying alone: discovery's list, each
// request until its one final answer, and a subscription. No queue and no control of overload: a request is
// sent at once, waits for as long as its client does, or is refused where no host is available.
#ifndef BURLFALL_LAB_PEERS_PROXY_H_
#define BURLFALL_LAB_PEERS_PROXY_H_

#include <cstdint>
#include <memory>
#include <random>
#include <span>
#include <unordered_map>
#include <vector>

#include "lab/peers/peer_policy.h"
#include "meadowslip/balancer.h"

namespace burlfall::lab {

class Proxy {
 public:
  Proxy(const meadowslip::Settings& settings, std::unique_ptr<PeerPolicy> policy, uint64_t seed);

  // The events of meadowslip::Balancer.
  void OnList(Micros now, const meadowslip::BackendList& list, meadowslip::ActionSink& actions);
  void OnRequest(Micros now, const meadowslip::Request& request, meadowslip::ActionSink& actions);
  void OnStreamStarted(Micros now, meadowslip::RequestId id, meadowslip::ActionSink& actions);
  void OnResult(Micros now, const meadowslip::AttemptResult& result, meadowslip::ActionSink& actions);
  void OnClientLeft(Micros now, meadowslip::RequestId id, meadowslip::ActionSink& actions);
  void OnTimer(Micros now, uint64_t timer, meadowslip::ActionSink& actions);

 private:
  struct Held {
    meadowslip::Request request;
    std::vector<BackendId> tried;
    meadowslip::Outcome last = meadowslip::Outcome::kMoot;
    bool out = false;           // its last try
    bool may_have_run = false;  // any of those that ended
    bool streaming = false;
    bool over = false;      // nothing is owed any more
    bool retrying = false;  // counted as such
  };

  void Housekeeping(Micros now, meadowslip::ActionSink& actions);
  void Try(Micros now, Held& held, meadowslip::ActionSink& actions);
  bool MayRetry(Micros then, const Held& held) const;
  bool Safe(const Held& held) const;
  void End(Held& held, meadowslip::ActionSink& actions);
  void Forget(Held& held);
  PeerHost* Find(BackendId id);
  std::span<const PeerHost> Ready() const { return {hosts_.data(), ready_}; }
  double Uniform() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }

  const meadowslip::Settings settings_;
  const std::unique_ptr<PeerPolicy> policy_;
  const PeerRetries retries_;
  std::mt19937_64 random_;
  std::vector<PeerHost> hosts_;  // the ready first, then those with attempts still out
  size_t ready_ = 0;
  std::unordered_map<meadowslip::RequestId, Held> held_;  // looked up, never walked
  int retrying_ = 0;
  bool subscribed_ = false;
  Micros ask_at_ = 0;
  Micros ask_wait_ = 0;
  bool sweeping_ = false;  // the timer runs
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_PEERS_PROXY_H_
