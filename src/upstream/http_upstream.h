// HTTP/1.1 towards servers: the pool of server links to the hosts of the group, and one attempt of a query
// over one of them.
#ifndef BURLFALL_UPSTREAM_HTTP_UPSTREAM_H_
#define BURLFALL_UPSTREAM_HTTP_UPSTREAM_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

#include "codec/http.h"
#include "io/body_source.h"
#include "io/machine.h"
#include "links/budget.h"
#include "links/byte_budget.h"
#include "meadowslip/balancer.h"
#include "membership/host_group.h"
#include "observe/counters.h"
#include "upstream/idle_reuse_stats.h"
#include "upstream/second_answers.h"
#include "upstream/upstream.h"

namespace burlfall {

class HttpUpstream final : public Upstream, public LinkHolder {
 public:
  // `memory`: for answers, as they are held. `large`: messages with bodies above kMaxHeldBody are streamed;
  // otherwise they are refused.
  HttpUpstream(Machine& machine, const meadowslip::Settings& settings, const HostGroup& hosts,
               LinkBudget& budget, ByteBudget& memory, Counters& counters, bool large);

  bool Knows(meadowslip::BackendId id) const override { return hosts_.Find(id) != nullptr; }
  Task<ServerAnswer> Exchange(meadowslip::BackendId to, const Payload& query, Micros until,
                              Micros send_by) override;

  // Closes links that have been idle for too long, and all idle links of hosts that accept no new queries.
  void CloseStaleIdle();
  void CloseAllIdle() { idle_links_.clear(); }

  size_t open() const override { return open_; }
  bool ReleaseIdle(size_t wanted) override;

 private:
  // A server link. Idle ones wait in their host's list, the most recently used last.
  struct Link {
    Link(HttpUpstream& upstream, std::unique_ptr<Stream> to, uint64_t generation);
    Link(const Link&) = delete;
    ~Link();
    HttpUpstream& owner;
    std::unique_ptr<Stream> stream;
    uint64_t host_generation;
    Micros idle_since = 0;
    RecentAnswers answers;
  };
  using IdleLinks = std::vector<std::unique_ptr<Link>>;
  class Download;
  // An attempt on its way.
  struct AttemptState {
    std::shared_ptr<const Host> host;  // may leave the group meanwhile
    const HttpPayload& query;
    Micros until;  // when the answer is due
    Micros send_by;
    std::unique_ptr<Link> link = nullptr;
    Micros idle_since = kNever;  // of the link before; kNever: it is new
    bool ready_to_send = false;
    std::optional<Micros> sent_at = {};  // when the last byte of the query was written
  };

  Task<ServerAnswer> RunAttempt(std::shared_ptr<const Host> host, const HttpPayload& query, Micros until,
                                Micros send_by);
  Task<meadowslip::Outcome> OpenLink(AttemptState& attempt);
  Task<meadowslip::Outcome> SendQuery(AttemptState& attempt);
  Task<ServerAnswer> ReceiveAnswer(AttemptState& attempt);
  static bool HoldWholeAnswer(HttpParser& parser, ByteBudget::Share& memory);
  void FinishAnswer(AttemptState& attempt, HttpParser& parser, bool has_more_input, ByteBudget::Share memory,
                    ServerAnswer& answer);
  Task<bool> WriteByDeadline(Stream& to, const Payload& query, std::string_view bytes, Micros until);
  Task<BodySource::Next> SendBodyRest(Stream& to, const HttpPayload& query);
  std::unique_ptr<Link> TakeIdleLink(const Host& host);
  bool Usable(const Host& host, const Link& link);
  void ReturnToPool(const Host& host, std::unique_ptr<Link> link);

  Scheduler& scheduler_;
  Network& network_;
  const HostGroup& hosts_;
  LinkBudget& budget_;
  ByteBudget& memory_;
  Micros idle_timeout_;
  Micros connect_timeout_;
  IdleReuseStats idle_reuse_stats_;
  Counters& counters_;
  const bool large_;
  size_t open_ = 0;
  std::unordered_map<meadowslip::BackendId, IdleLinks> idle_links_;
  std::unordered_map<meadowslip::BackendId, ServerAnswers> server_answers_;
};

}  // namespace burlfall

#endif  // BURLFALL_UPSTREAM_HTTP_UPSTREAM_H_
