// The host group: the servers as the list last told of them.
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

struct Host {
  meadowslip::BackendId id = 0;
  std::string name;
  Address address;
  // What holds: as the list has it, unless an operator has taken it out.
  meadowslip::BackendState state = meadowslip::BackendState::kGone;
  meadowslip::BackendState listed = meadowslip::BackendState::kGone;
  meadowslip::BackendEntry entry = {};  // as the list last told of it
  bool out = false;                     // an operator has taken it out
  Micros out_at = 0;
  Micros back_at = 0;  // when an operator last put it back: it may have been started anew until then
  Micros gone_at = kNever;
  Micros started_at = 0;  // by the list; `entry` has it no later than it was heard
  uint64_t era = 0;       // counts its restarts and changes of address
  meadowslip::BackendState state_counted = meadowslip::BackendState::kGone;  // in the changes
  uint64_t era_counted = 0;
};

// A host as one process tells the next of it. What it was called by, the names tell.
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

// How many hosts changed, each counted by what it is now.
struct HostChanges {
  size_t added = 0;  // ready, and were not
  size_t removed = 0;
  size_t draining = 0;   // began to
  size_t restarted = 0;  // ready as before, but started anew or moved

  bool any() const { return added + removed + draining + restarted > 0; }
};

class HostGroup final : public ServerNames {
 public:
  static constexpr size_t kMostKnown = 10000;
  static constexpr Micros kKnownFor = 3600 * kSecond;

  explicit HostGroup(const meadowslip::Settings& settings) : settings_(settings) {}

  // Takes the list in at this time, and returns it as the module is to hear it: after this, so that both see
  // the same states.
  meadowslip::BackendList Take(const HostList& list, Micros now = kNever);
  // What an operator says goes before the list, until he puts the host back: it is draining meanwhile, and
  // keeps the list's word for later. False where no list ever named it. Both may be said again.
  bool TakeOut(std::string_view name, Micros now);
  // It is then as the list has it, and cold: it was most likely started anew, whatever the list knows of
  // that.
  bool PutBack(std::string_view name, Micros now);
  // For those that were out before this start; the list may name them later.
  void TakeOutUnseen(const std::string& name, Micros since);
  bool Names(std::string_view name) const { return by_name_.contains(std::string(name)); }
  bool IsOut(std::string_view name) const;
  std::vector<OutHost> Out() const;  // by name
  // All that is known of all hosts, for the process that takes over; and that, taken over, instead of a list:
  // false where it can't be, and nothing has changed. To be called before all else.
  std::vector<HostRecord> Records() const;
  bool TakeOver(const std::vector<HostRecord>& records, uint64_t version);
  // Those that are cold now, or start from here on, are another process's to send to, as long as there are
  // others: to this one they are draining.
  void LeaveCold(bool leave, Micros now);
  // The group as it stands, for the module; no list says it.
  meadowslip::BackendList AsItStands() const;
  // Once a host has been gone for an hour it is known as long as no more than kMostKnown are: beyond that
  // those that went first are forgotten. One that is out is not. What outlasts that holds the host itself.
  const Host* Find(meadowslip::BackendId id) const { return Hold(id).get(); }
  std::shared_ptr<const Host> Hold(meadowslip::BackendId id) const;
  size_t Ready() const;                                    // how many are
  const HostChanges& changes() const { return changes_; }  // since they were forgotten
  void ForgetChanges() { changes_ = HostChanges(); }

  uint64_t version() const override { return version_; }
  std::string_view NameOf(meadowslip::BackendId id) const override;
  std::vector<std::pair<meadowslip::BackendId, std::string_view>> AllNames() const override;

 private:
  Host& Named(const std::string& name);
  void Forget(Micros now);
  Host* FindNamed(std::string_view name);
  void Settle(Host& host) const;
  static meadowslip::BackendEntry Told(const Host& host);
  void Count(Host& host);

  const meadowslip::Settings& settings_;
  std::unordered_map<meadowslip::BackendId, std::shared_ptr<Host>> hosts_;
  std::unordered_map<std::string, Host*> by_name_;
  uint64_t version_ = 0;
  Micros cold_since_ = kNever;  // hosts that were started after it are another process's
  HostChanges changes_;
};

}  // namespace burlfall

#endif  // BURLFALL_MEMBERSHIP_HOST_GROUP_H_
