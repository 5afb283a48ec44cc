// HTTP/1.1 towards servers: the links to the hosts of the group, and one attempt of a query over one of them.
#ifndef BURLFALL_UPSTREAM_HTTP_UPSTREAM_H_
#define BURLFALL_UPSTREAM_HTTP_UPSTREAM_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <vector>

#include "codec/http.h"
#include "io/body_source.h"
#include "io/machine.h"
#include "links/budget.h"
#include "meadowslip/balancer.h"
#include "membership/host_group.h"
#include "observe/counters.h"
#include "upstream/idle_reuse_stats.h"
#include "upstream/upstream.h"

namespace burlfall {

class HttpUpstream final : public Upstream, public LinkHolder {
 public:
  // `large`: messages of over kMostBody pass through; else they are refused.
  HttpUpstream(Machine& machine, const meadowslip::Settings& settings, const HostGroup& hosts,
               LinkBudget& budget, Counters& counters, bool large);

  bool Knows(meadowslip::BackendId id) const override { return hosts_.Find(id) != nullptr; }
  Task<ServerAnswer> Exchange(meadowslip::BackendId to, const Payload& query, Micros until,
                              Micros whole_by) override;

  // Closes what has been idle for long, and all that is idle where its host takes nothing new.
  void Retire();
  void RetireAll() { idle_.clear(); }  // all that is idle

  size_t open() const override { return open_; }
  bool ReleaseIdle(size_t wanted) override;

 private:
  // A link to a server. One that is idle waits in its host's list, the most recently used last.
  struct Link {
    Link(HttpUpstream& upstream, std::unique_ptr<Stream> to, uint64_t host_era);
    Link(const Link&) = delete;
    ~Link();
    HttpUpstream& owner;
    std::unique_ptr<Stream> stream;
    uint64_t era;
    Micros idle_since = 0;
  };
  using Idle = std::vector<std::unique_ptr<Link>>;
  class Download;

  Task<ServerAnswer> Attempt(std::shared_ptr<const Host> held, const HttpPayload& query, Micros until,
                             Micros whole_by);
  Task<bool> WriteWhole(Stream& to, const Payload& query, std::string_view bytes, Micros until);
  Task<BodySource::Next> SendRest(Stream& to, std::shared_ptr<BodySource> body_rest);
  std::unique_ptr<Link> Reuse(const Host& host);
  bool Usable(const Host& host, const Link& link);
  bool Rested(const Host& host, const Link& link) const;
  void Keep(const Host& host, std::unique_ptr<Link> link);

  Scheduler& scheduler_;
  Network& network_;
  const HostGroup& hosts_;
  LinkBudget& budget_;
  Micros keep_for_;
  Micros connect_timeout_;
  IdleRecord idle_record_;
  Counters& counters_;
  const bool large_;
  size_t open_ = 0;
  std::unordered_map<meadowslip::BackendId, Idle> idle_;
  std::unordered_map<meadowslip::BackendId, Micros>
      unasked_at_;  // when a server last sent what nobody asked for
};

}  // namespace burlfall

#endif  // BURLFALL_UPSTREAM_HTTP_UPSTREAM_H_
