// The host group: the servers as listed last, combined with the operators' calls.
#ifndef BURLFALL_MEMBERSHIP_HOST_GROUP_H_
#define BURLFALL_MEMBERSHIP_HOST_GROUP_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "config/platform_config.h"
#include "io/time.h"
#include "meadowslip/balancer.h"
#include "membership/out_file.h"
#include "observe/labels.h"

namespace burlfall {

// A server that a list or an operator has named.
struct Host {
  meadowslip::BackendId id = 0;
  std::string name;
  Address address;
  // Effective state: as listed, unless an operator has taken the host out of service.
  meadowslip::BackendState state = meadowslip::BackendState::kGone;
  meadowslip::BackendState listed = meadowslip::BackendState::kGone;
  meadowslip::BackendEntry entry = {};  // as listed last
  bool gone_before = true;              // its listed state was kGone before the latest list
  // Another host was listed at its address later: the process of this one has gone, whatever the list says of
  // it.
  bool superseded = false;
  uint64_t claimed_at =
      0;                 // the list, by the group's own count, that last gave it its address or a new start
  bool out = false;      // an operator has taken it out of service
  Micros out_at = 0;     // when an operator last took it out
  Micros back_at = 0;    // when an operator last put it back; it may have restarted until then
  Micros called_at = 0;  // time of the operators' last call about it; see HostGroup::CalledAt()
  Micros gone_at = kNever;   // since when its listed state is kGone
  Micros started_at = 0;     // as listed; in `entry` it is never later than the time the list arrived
  uint64_t incarnation = 0;  // incremented by each restart and change of address
  // included in HostGroup::changes()
  meadowslip::BackendState state_counted = meadowslip::BackendState::kGone;
  uint64_t incarnation_counted = 0;
};

// A host as it is handed over to the next process.
struct HostRecord {
  meadowslip::BackendId id = 0;
  std::string name;
  std::string address;
  meadowslip::BackendState listed = meadowslip::BackendState::kGone;
  bool out = false;
  Micros out_at = 0;
  Micros back_at = 0;
  int zone = 0, cell = 0, kind = 0;
  Micros started_at = 0;
  double size = 1;

  void Fields(auto& a) {
    a(id, name, address, listed, out, out_at, back_at, zone, cell, kind, started_at, size);
  }
};

// Number of changed hosts, each counted by its new state.
struct HostChanges {
  size_t added = 0;  // became ready
  size_t removed = 0;
  size_t draining = 0;   // started to drain
  size_t restarted = 0;  // still ready, but restarted or moved to another address

  bool any() const { return added + removed + draining + restarted > 0; }
};

class HostGroup final : public ServerNames {
 public:
  static constexpr size_t kMaxKnown = 10000;
  static constexpr Micros kGoneRetention = 3600 * kSecond;

  explicit HostGroup(const meadowslip::Settings& settings) : settings_(settings) {}

  // Applies a list received at `now`, and returns it in the form for the module. Call this before passing
  // the result on, so that the group and the module see the same states.
  meadowslip::BackendList ApplyList(const HostList& list, Micros now = kNever);
  // Takes a host out of service. The operator's call overrides the list until the host is put back: the host
  // drains meanwhile, and its listed state is remembered. Returns false if no list ever named it.
  // Idempotent, as is PutBack().
  bool TakeOut(std::string_view name, Micros now);
  // Puts a host back into its listed state. It counts as cold, because it was most likely restarted,
  // whatever the list says.
  bool PutBack(std::string_view name, Micros now);
  // Time of the operators' last call about a host, whether it changed anything; 0: none. Where calls at two
  // processes cross, the later one holds.
  Micros CalledAt(std::string_view name) const;
  // Takes a host out of service that was out before this start and may not be listed yet.
  void TakeOutUnlisted(const std::string& name, Micros since);
  bool Knows(std::string_view name) const { return by_name_.contains(std::string(name)); }
  bool IsOut(std::string_view name) const;
  std::vector<OutHost> Out() const;  // sorted by name
  // Records() returns all state of all hosts, for a successor process. Restore() restores it in place of a
  // list, before any other call; returns false, with nothing changed, if a record is invalid.
  std::vector<HostRecord> Records() const;
  bool Restore(const std::vector<HostRecord>& records, uint64_t version);
  // Leaves hosts that are cold now, or start later, to another process: they are draining for this one, as
  // long as there are other ready hosts.
  void ExcludeCold(bool leave, Micros now);
  // Current state of the group in the form for the module, marked as not coming from discovery.
  meadowslip::BackendList Snapshot() const;
  // Returns a known host or nullptr. Hosts that have been gone for kGoneRetention may be forgotten once more
  // than kMaxKnown are known, the longest gone first; hosts out of service are kept. FindShared() returns
  // shared ownership to callers that need a host for longer.
  const Host* Find(meadowslip::BackendId id) const { return FindShared(id).get(); }
  std::shared_ptr<const Host> FindShared(meadowslip::BackendId id) const;
  size_t Ready() const;                                    // number of ready hosts
  const HostChanges& changes() const { return changes_; }  // since the last ForgetChanges()
  void ForgetChanges() { changes_ = HostChanges(); }

  uint64_t version() const override { return version_; }
  std::string_view NameOf(meadowslip::BackendId id) const override;
  std::vector<std::pair<meadowslip::BackendId, std::string_view>> AllNames() const override;

 private:
  Host& FindOrAdd(const std::string& name);
  void ForgetGone(Micros now);
  void SetAddress(Host& host, const Address& address);
  void Release(const Host& host);
  void SupersedeOthers(const Host& claimant, std::vector<Host*>& changed);
  Host* FindByName(std::string_view name);
  void UpdateState(Host& host) const;
  static meadowslip::BackendEntry ModuleEntry(const Host& host);
  void CountChange(Host& host);

  const meadowslip::Settings& settings_;
  std::unordered_map<meadowslip::BackendId, std::shared_ptr<Host>> hosts_;
  std::unordered_map<std::string, Host*> by_name_;
  std::unordered_map<std::string, std::vector<Host*>> by_address_;  // hosts that have been listed there last
  uint64_t lists_applied_ = 0;
  uint64_t version_ = 0;
  Micros cold_since_ = kNever;  // hosts started later belong to another process
  HostChanges changes_;
};

}  // namespace burlfall

#endif  // BURLFALL_MEMBERSHIP_HOST_GROUP_H_
