// Load alone, against any HTTP server: one query over and over, at a fixed rate whatever the answers do, or
// as fast as a number of connections gets answers. No balancer's protocol is assumed.
#ifndef BURLFALL_LAB_LOAD_LOAD_H_
#define BURLFALL_LAB_LOAD_LOAD_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "io/machine.h"
#include "lab/judge/sketch.h"
#include "lab/load/http_link.h"
#include "lab/script/script.h"

namespace burlfall::lab {

struct LoadPlan {
  static constexpr char kId[] = "{id}";

  Address to;
  std::string query;      // as it is sent; each kId in it becomes 16 hexadecimal digits, others each time
  double rate_per_s = 0;  // 0: each connection sends its next query as soon as it has its answer
  bool even = false;      // spacing; else at random, as from many clients that know nothing of each other
  int connections = 16;   // a query that finds all busy waits for one
  Micros warm_up = 0;     // sent, and not counted
  Micros duration = 10 * kSecond;
  Micros timeout = 5 * kSecond;  // from when a query was to be sent
  uint64_t seed = 1;
};

struct LoadResult {
  Sketch latency;  // of whole answers, from when the query was to be sent
  Sketch late;     // by how much this program itself was late to send, or to see that no connection was free
  uint64_t queries = 0;
  std::map<int, uint64_t> answers;  // by status
  uint64_t timed_out = 0;
  uint64_t broken = 0;   // the connection ended without a whole answer
  uint64_t garbled = 0;  // what came was no answer
  uint64_t connects_failed = 0;
  uint64_t connects = 0;
  uint64_t late_sends = 0;  // by more than kLate
  Micros took = 0;          // from the first counted query until the last was over, or the duration

  static constexpr Micros kLate = 5 * kMs;
  static constexpr double kMostLate = 0.01;  // share of them beyond which the figures say nothing
  uint64_t answered() const { return latency.count(); }
  double PerSecond(uint64_t n) const {
    return took == 0 ? 0 : static_cast<double>(n) * kSecond / static_cast<double>(took);
  }
  double late_share() const {
    return late.count() == 0 ? 0 : static_cast<double>(late_sends) / static_cast<double>(late.count());
  }
  bool too_late() const { return late_share() > kMostLate; }
};

class Load final : private HttpLink::Owner {
 public:
  // `tell` is called about once a second, with the time since the start.
  using Tell = std::function<void(Micros since, const LoadResult& so_far)>;

  Load(Machine& machine, LoadPlan plan, Tell tell = {});
  ~Load();
  Load(const Load&) = delete;

  Task<> Run();
  const LoadResult& result() const { return result_; }

 private:
  struct Link;
  struct Timeout {
    Micros at;
    size_t slot;
    uint64_t query;
  };

  void CameUp(HttpLink& link) override;
  void Written(HttpLink&) override {}
  void Answered(HttpLink& link, HttpMessage answer) override;
  void Ended(HttpLink& link, HttpLink::Gone how) override;

  Task<> Connect();
  void Refill();
  void Free(Link& link);
  void Bury(Link& link);
  void Take(Micros due, Micros now);
  void Send(Micros due);
  void Over(Link& link);
  void Expire(Micros now);
  Micros NextDue();
  bool Counts(Micros due) const { return due >= counts_from_ && due < ends_at_; }
  bool All() const { return free_.size() == links_.size(); }

  Machine& machine_;
  const LoadPlan plan_;
  const Tell tell_;
  const bool closed_;  // loop
  Stream64 gaps_;
  Stream64 ids_;
  LoadResult result_;
  std::string query_;
  std::vector<size_t> id_at_;  // where an id stands in it

  std::vector<std::unique_ptr<Link>> links_;   // by slot; none where one has to be opened
  std::vector<size_t> missing_;                // slots without one
  std::vector<Link*> free_;                    // the most recently used last
  std::vector<std::unique_ptr<Link>> buried_;  // closed, and may still be running
  std::deque<Micros> waiting_;                 // due times of queries that found no free link
  std::deque<Timeout> timeouts_;               // in order of time, as queries are sent in order
  uint64_t sent_ = 0;
  uint64_t open_ = 0;
  double next_ = 0;  // due time, from the start
  Micros starts_at_ = kNever;
  Micros counts_from_ = kNever;
  Micros ends_at_ = kNever;
  Micros last_at_ = 0;  // when the last counted query was over
  std::string id_;
  Event wake_;
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_LOAD_LOAD_H_
