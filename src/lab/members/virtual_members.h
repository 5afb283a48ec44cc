// A scenario played by minds alone: one clock, one network in memory, no bytes. A pause holds what comes, as
// a socket would, up to a bound; the mind hears it before its timers.
#ifndef BURLFALL_LAB_MEMBERS_VIRTUAL_MEMBERS_H_
#define BURLFALL_LAB_MEMBERS_VIRTUAL_MEMBERS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "cluster/failure_detector.h"
#include "lab/members/member_judge.h"
#include "lab/members/scenario.h"
#include "lab/paths/path_model.h"

namespace burlfall::lab {

class VirtualMembers {
 public:
  struct Costs {
    double datagrams_per_s = 0;  // sent by a member, on average
    double bytes_per_s = 0;
    uint64_t calls = 0;
  };
  using Tells = std::function<void(Micros at, int observer, const cluster::Notice& notice)>;

  VirtualMembers(const Scenario& scenario, uint64_t seed, cluster::Options rules);
  ~VirtualMembers();
  MemberVerdict Play();
  void OnNotice(Tells tells) { tells_ = std::move(tells); }
  const cluster::FailureDetector* mind(int i) const;  // nullptr: doesn't run
  const MemberPlan& plan() const { return plan_; }
  Costs costs() const;
  // What takes the place of a datagram on its way, for members that lie: changes it, or drops it by false.
  std::function<bool(Micros at, int from, int to, cluster::Message& message)> meddles;

 private:
  struct One;
  struct Flight {
    Micros at = 0;
    uint64_t order = 0;
    int to = 0;
    uint64_t life = 0;  // of the one who called; of datagrams 0
    enum class What { kDatagram, kTick, kCallIn, kCallBack, kCallEnd } what = What::kDatagram;
    int from = 0;
    uint64_t call = 0;
    cluster::CallResult end = cluster::CallResult::kNoAnswer;
    std::shared_ptr<cluster::Message> message;
    bool operator>(const Flight& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  void Do(const MemberAction& action);
  void Start(int i);
  void End(int i, bool in_order);
  void Push(Flight flight);
  void Deliver(const Flight& flight);
  void Settle(int i);
  int IndexOf(const std::string& address) const;
  std::string AddressOf(int i) const;

  const Scenario scenario_;
  const uint64_t seed_;
  const cluster::Options rules_;
  const MemberPlan plan_;
  MemberJudge judge_;
  PathModel paths_;
  Tells tells_;
  Micros now_ = 0;
  uint64_t order_ = 0;
  uint64_t lives_ = 0;
  std::vector<std::unique_ptr<One>> ones_;
  std::priority_queue<Flight, std::vector<Flight>, std::greater<>> flights_;
  uint64_t datagrams_ = 0, bytes_ = 0, calls_ = 0;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_MEMBERS_VIRTUAL_MEMBERS_H_
