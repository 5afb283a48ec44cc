// The dispatcher: the queries on their way, and the module's actions carried out. What is sent where, and
// what is throttled, the module decides; what a query is made of, its front and the upstream know.
#ifndef BURLFALL_DISPATCH_DISPATCHER_H_
#define BURLFALL_DISPATCH_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <queue>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dispatch/dispatcher_state.h"
#include "dispatch/query.h"
#include "io/scheduler.h"
#include "meadowslip/balancer.h"
#include "observe/capture.h"
#include "observe/counters.h"
#include "observe/figures.h"
#include "upstream/upstream.h"

namespace burlfall {

class Dispatcher final : public meadowslip::ActionSink {
 public:
  // `follow` asks the host group's source for its list and the later changes.
  Dispatcher(Scheduler& scheduler, const meadowslip::Settings& settings, uint64_t seed, Upstream& upstream,
             std::function<void()> follow, Counters& counters);

  // Either may be nullptr: it is off. Both must outlive the dispatcher's use.
  void Observe(Figures* figures, Capture* capture);
  void Start();
  // No more queries than these at a time, nor than the settings allow; further ones are refused as they come.
  void HoldAtMost(size_t queries) { most_held_ = queries; }
  // No query is open for longer: what comes gets no more time than that, and what is left then is answered.
  void EndBy(Micros when);

  void OnList(const meadowslip::BackendList& list);
  // The asker hears of its end at any time from here on, also before this returns.
  meadowslip::RequestId Take(Asked asked);
  // Bytes of it go through its attempt that can't be sent again; and again once the last of them has come.
  void Went(meadowslip::RequestId id);
  void Left(meadowslip::RequestId id);  // the asker did, without its answer
  std::string Save() const { return balancer_.Save(); }
  Carried Carry() const;
  // Goes on where the other left off, before Start() and any query. The other's queries are settled for the
  // module: their answers are not ours to give. False where the state is none that this module can take; it
  // is then as new.
  bool TakeOver(const Carried& from);
  size_t open() const { return queries_.size(); }

  // The module's actions.
  void Send(meadowslip::RequestId id, meadowslip::BackendId backend, Micros timeout) override;
  void Refuse(meadowslip::RequestId id, Micros retry_after) override;
  void Fail(meadowslip::RequestId id) override;
  void Cancel(meadowslip::RequestId id, int attempt) override;
  void Schedule(Micros delay, uint64_t timer) override;
  void Probe(meadowslip::BackendId) override {}  // the deployment allows none
  void Subscribe() override;

 private:
  struct Attempt {
    meadowslip::BackendId backend = 0;
    Micros sent_at = 0;
    bool ended = false;      // its outcome is known, though the module may not have heard yet
    bool heard = false;      // it has
    bool never_ran = false;  // by its outcome
    Task<> task;
  };
  struct Query {
    Asked asked;          // the asker is nullptr once nothing is owed
    bool closed = false;  // answered, or the asker has left
    Micros taken_at = 0;
    int out = 0;  // attempts whose results the module has not been told
    std::vector<Attempt> attempts;
  };
  struct Result {
    meadowslip::RequestId id = 0;
    int attempt = 0;
    ServerAnswer answer;
  };
  struct ModuleTimer {
    Micros at = 0;
    uint64_t order = 0;
    uint64_t name = 0;
    bool operator>(const ModuleTimer& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  class Settler;

  Task<> Turns();
  Task<> Try(meadowslip::RequestId id, int attempt, meadowslip::BackendId backend, Micros until,
             Micros send_by);
  Micros WholeBy(const Query& query) const;
  void Post(meadowslip::RequestId id, int attempt, ServerAnswer answer);
  void Deliver(Result result);
  void TellStream(meadowslip::RequestId id, int attempt);
  void FireTimers();
  void AnswerAll();
  void Bury();
  Query* Known(meadowslip::RequestId id);
  Micros ComeBack() const;
  Asker* Close(meadowslip::RequestId id, Query& query, Figure how);
  // `query` is nullptr where the choice is about none that is known.
  void Chose(Record::Choice did, meadowslip::RequestId id, const Query* query,
             meadowslip::BackendId backend = 0, int attempt = 0, Micros span = 0);
  void Count(meadowslip::Outcome outcome);

  Scheduler& scheduler_;
  const meadowslip::Settings& settings_;
  const uint64_t seed_;
  Upstream& upstream_;
  std::function<void()> follow_;
  Counters& counters_;
  Figures* figures_ = nullptr;
  Capture* capture_ = nullptr;
  size_t most_held_;
  Event turn_;
  Micros wakes_at_ = kNever;
  Micros ends_by_ = kNever;
  uint64_t last_id_ = 0;
  uint64_t timers_set_ = 0;
  std::priority_queue<ModuleTimer, std::vector<ModuleTimer>, std::greater<>> timers_;
  std::vector<Result> results_;
  std::vector<meadowslip::RequestId> ended_;
  meadowslip::Balancer balancer_;
  std::unordered_map<meadowslip::RequestId, Query> queries_;
  Task<> turns_;  // last: what it uses must outlive it
};

}  // namespace burlfall

#endif  // BURLFALL_DISPATCH_DISPATCHER_H_
