// Holds the open queries and carries out the decision module's actions. The module decides which node gets a
// query and which queries are throttled; the front and the upstream know the protocol of a query.
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
#include "dispatch/request_ids.h"
#include "io/scheduler.h"
#include "meadowslip/balancer.h"
#include "observe/capture.h"
#include "observe/counters.h"
#include "observe/figures.h"
#include "upstream/upstream.h"

namespace burlfall {

class Dispatcher final : public meadowslip::ActionSink {
 public:
  // `request_list` asks the source of the host group for its list and for later changes.
  Dispatcher(Scheduler& scheduler, const meadowslip::Settings& settings, uint64_t seed, Upstream& upstream,
             std::function<void()> request_list, Counters& counters);

  // nullptr turns the feature off. Both must outlive the dispatcher.
  void Observe(Figures* figures, Capture* capture);
  void Start();
  // Limits the open queries to `queries`, and to the settings' limit; further ones are refused at once.
  void SetMaxOpenQueries(size_t queries) { max_open_queries_ = queries; }
  // No query stays open after `when`: new ones get no later deadline, and those still open then are answered.
  void SetShutdownDeadline(Micros when);

  // Whether a request of this id is open, or may have run and must not run again, here or in the other
  // process of a hand-over. Such a repeat is not to be submitted.
  bool IsRepeat(std::string_view id) const { return request_ids_.Contains(request_ids_.DigestOf(id)); }
  RequestIds& request_ids() { return request_ids_; }
  // `callback` is called with each id that is submitted.
  void OnIdSubmitted(std::function<void(RequestIdDigest)> callback) { id_submitted_ = std::move(callback); }

  void OnList(const meadowslip::BackendList& list);
  // The sink may be called at any time from here on, even before this returns.
  meadowslip::RequestId Submit(IncomingQuery incoming);
  // To be called when the query's attempt starts to consume body bytes that can't be sent again, and once
  // more when the last byte of the body has arrived.
  void OnBodyStreamed(meadowslip::RequestId id);
  void ClientLeft(meadowslip::RequestId id);  // before its answer
  // The client's time is over: answers the query, if it is still open, and gives it up.
  void Expire(meadowslip::RequestId id);
  std::string Save() const { return balancer_.Save(); }
  DispatcherState ExportState() const;
  // Continues from another process's state; to be called before Start() and any query. For the module, that
  // process's queries end here, since that process answers them. Returns false if the module can't load the
  // state; it is then as new.
  bool ImportState(const DispatcherState& saved);
  size_t open() const { return queries_.size(); }
  // The retry time for queries that are refused without asking the module: by then some open ones have ended.
  Micros DefaultRetryAfter() const;

  // The module's actions.
  void Send(meadowslip::RequestId id, meadowslip::BackendId backend, Micros timeout) override;
  void Refuse(meadowslip::RequestId id, Micros retry_after) override;
  void Fail(meadowslip::RequestId id) override;
  void Cancel(meadowslip::RequestId id, int attempt) override;
  void Schedule(Micros delay, uint64_t timer) override;
  void Probe(meadowslip::BackendId) override {}  // the deployment does not allow probes
  void Subscribe() override;

 private:
  struct Attempt {
    meadowslip::BackendId backend = 0;
    Micros sent_at = 0;
    bool ended = false;      // its outcome is known, though perhaps not yet to the module
    bool reported = false;   // the outcome was reported to the module
    bool never_ran = false;  // according to its outcome
    Task<> task;
  };
  struct Query {
    IncomingQuery incoming;  // its sink is nullptr once the query is closed
    bool closed = false;     // answered, or the client has left
    RequestIdDigest id_digest = 0;
    Micros received_at = 0;
    int unreported = 0;  // attempts whose results have not been reported to the module
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
    uint64_t timer_id = 0;
    bool operator>(const ModuleTimer& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  class DiscardingSink;

  Task<> RunLoop();
  Task<> RunAttempt(meadowslip::RequestId id, int attempt, meadowslip::BackendId backend, Micros until,
                    Micros send_by);
  Micros SendDeadline(const Query& query) const;
  void PostResult(meadowslip::RequestId id, int attempt, ServerAnswer answer);
  void DeliverResult(Result result);
  void ReportStreamStarted(meadowslip::RequestId id, int attempt);
  void FireTimers();
  void AnswerAllOpen();
  void AnswerUnserved(meadowslip::RequestId id, Query& query);
  void EraseEnded();
  bool MustNotRunAgain(const Query& query) const;
  Query* FindQuery(meadowslip::RequestId id);
  ResponseSink* Close(meadowslip::RequestId id, Query& query, Figure how);
  // `query` is nullptr if the choice concerns no known query.
  void CaptureChoice(Record::Choice did, meadowslip::RequestId id, const Query* query,
                     meadowslip::BackendId backend = 0, int attempt = 0, Micros span = 0);
  void Count(meadowslip::Outcome outcome);

  Scheduler& scheduler_;
  const meadowslip::Settings& settings_;
  const uint64_t seed_;
  Upstream& upstream_;
  std::function<void()> request_list_;
  RequestIds request_ids_;
  std::function<void(RequestIdDigest)> id_submitted_ = [](RequestIdDigest) {};
  Counters& counters_;
  Figures* figures_ = nullptr;
  Capture* capture_ = nullptr;
  size_t max_open_queries_;
  Event wake_event_;
  Micros next_wakeup_ = kNever;
  Micros shutdown_deadline_ = kNever;
  uint64_t last_id_ = 0;
  uint64_t timer_sequence_ = 0;
  std::priority_queue<ModuleTimer, std::vector<ModuleTimer>, std::greater<>> timers_;
  std::vector<Result> results_;
  std::vector<meadowslip::RequestId> ended_queries_;
  meadowslip::Balancer balancer_;
  std::unordered_map<meadowslip::RequestId, Query> queries_;
  Task<> loop_task_;  // last: what it uses must outlive it
};

}  // namespace burlfall

#endif  // BURLFALL_DISPATCH_DISPATCHER_H_
