#include "membership/host_group.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace burlfall {
namespace {

using meadowslip::BackendEntry;
using meadowslip::BackendList;
using meadowslip::BackendState;
using meadowslip::ListKind;

// FNV-1a: the same at every balancer and after every restart.
uint32_t Hash(const std::string& name) {
  uint32_t hash = 2166136261;
  for (char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 16777619;
  return hash;
}

}  // namespace

std::shared_ptr<const Host> HostGroup::FindShared(meadowslip::BackendId id) const {
  auto it = hosts_.find(id);
  return it == hosts_.end() ? nullptr : it->second;
}

std::string_view HostGroup::NameOf(meadowslip::BackendId id) const {
  const Host* host = Find(id);
  return host != nullptr ? std::string_view(host->name) : std::string_view();
}

std::vector<std::pair<meadowslip::BackendId, std::string_view>> HostGroup::AllNames() const {
  std::vector<std::pair<meadowslip::BackendId, std::string_view>> names;
  names.reserve(hosts_.size());
  for (const auto& [id, host] : hosts_) names.emplace_back(id, host->name);
  return names;
}

Host& HostGroup::FindOrAdd(const std::string& name) {
  Host*& host = by_name_[name];
  if (host == nullptr) {
    uint32_t id = Hash(name);
    while (hosts_.contains(id)) ++id;
    auto fresh = std::make_shared<Host>();
    fresh->id = id;
    fresh->name = name;
    host = fresh.get();
    hosts_.emplace(id, std::move(fresh));
  }
  return *host;
}

BackendList HostGroup::ApplyList(const HostList& list, Micros now) {
  BackendList module_list;
  version_ = list.version;
  module_list.kind = list.full ? ListKind::kFull : ListKind::kChanges;
  if (list.full && settings_.gone_binds) {
    for (auto& [id, host] : hosts_) {
      host->gone_before = host->listed == BackendState::kGone;
      host->listed = BackendState::kGone;  // unless the list names it, see below
      if (host->gone_at == kNever) host->gone_at = now;
      UpdateState(*host);
    }
  }
  ++lists_applied_;
  std::vector<const Host*> claimants;
  for (HostEntry e : list.hosts) {
    Host& host = FindOrAdd(e.name);
    if (!list.full || !settings_.gone_binds) host.gone_before = host.listed == BackendState::kGone;
    // A start time in the future is replaced by now. Otherwise a node would count as cold for as long as the
    // clocks differ.
    const Micros listed_start = e.entry.started_at;
    if (listed_start > now)
      e.entry.started_at = listed_start == host.started_at ? host.entry.started_at : now;
    if (e.address.length > 0) {
      const bool restarted = host.address.text != e.address.text || host.started_at != listed_start;
      SetAddress(host, e.address);
      host.started_at = listed_start;
      if (restarted) ++host.incarnation;  // links to the process before its restart are useless
      if ((restarted || host.gone_before) && e.entry.state != BackendState::kGone) {
        host.claimed_at = lists_applied_;
        host.superseded = false;
        claimants.push_back(&host);
      }
    }
    if (e.entry.state != BackendState::kGone) host.entry = e.entry;
    if (e.entry.state != BackendState::kGone || settings_.gone_binds) host.listed = e.entry.state;
    host.entry.id = host.id;
    const bool gone = host.listed == BackendState::kGone;
    host.gone_at = !gone ? kNever : host.gone_at == kNever ? now : host.gone_at;
  }
  std::vector<Host*> changed;
  for (const Host* host : claimants) SupersedeOthers(*host, changed);
  for (const HostEntry& e : list.hosts) {
    Host& host = FindOrAdd(e.name);
    UpdateState(host);
    module_list.entries.push_back(ModuleEntry(host));
    if (e.entry.state == BackendState::kGone) module_list.entries.back().state = BackendState::kGone;
    std::erase(changed, &host);
  }
  for (Host* host : changed) {  // hosts that the list does not name
    CountChange(*host);
    module_list.entries.push_back(ModuleEntry(*host));
  }
  ForgetGone(now);
  if (list.full) {
    for (auto& [id, host] : hosts_) CountChange(*host);
  } else {
    for (const HostEntry& e : list.hosts) CountChange(FindOrAdd(e.name));
  }
  return module_list;
}

void HostGroup::SetAddress(Host& host, const Address& address) {
  if (host.address.text == address.text) return;
  Release(host);
  host.address = address;
  by_address_[host.address.text].push_back(&host);
}

void HostGroup::Release(const Host& host) {
  const auto at = by_address_.find(host.address.text);
  if (at == by_address_.end()) return;
  std::erase(at->second, &host);
  if (at->second.empty()) by_address_.erase(at);
}

// The hosts that were listed at the claimant's address before have gone: by an earlier list, or, in the same
// list, with an earlier start. Hosts that can't be told apart share the address. Appends those that this
// changes.
void HostGroup::SupersedeOthers(const Host& claimant, std::vector<Host*>& changed) {
  const auto claim = [](const Host& host) { return std::pair(host.claimed_at, host.started_at); };
  for (Host* other : by_address_[claimant.address.text]) {
    if (other->superseded || claim(*other) >= claim(claimant)) continue;
    other->superseded = true;
    ++other->incarnation;  // links to its address lead to the other process
    UpdateState(*other);
    changed.push_back(other);
  }
}

void HostGroup::ForgetGone(Micros now) {
  if (hosts_.size() <= kMaxKnown) return;
  std::vector<const Host*> gone;
  for (const auto& [id, host] : hosts_) {
    if (!host->out && host->gone_at != kNever && now - host->gone_at >= kGoneRetention)
      gone.push_back(host.get());
  }
  std::sort(gone.begin(), gone.end(), [](const Host* a, const Host* b) {
    return std::pair(a->gone_at, a->id) < std::pair(b->gone_at, b->id);
  });
  gone.resize(std::min(gone.size(), hosts_.size() - kMaxKnown));
  for (const Host* host : gone) {
    const meadowslip::BackendId id = host->id;
    by_name_.erase(host->name);
    Release(*host);
    hosts_.erase(id);
  }
}

// Combines the operator's calls with the listed state. No other function does so.
void HostGroup::UpdateState(Host& host) const {
  const bool drains = host.out || ModuleEntry(host).started_at > cold_since_;
  const BackendState listed = host.superseded ? BackendState::kGone : host.listed;
  host.state = drains && listed == BackendState::kReady ? BackendState::kDraining : listed;
}

// A host that was out of service is assumed to have restarted by the time it was put back. Guards the rule
// on cold servers when the list does not report that start.
BackendEntry HostGroup::ModuleEntry(const Host& host) {
  BackendEntry entry = host.entry;
  entry.state = host.state;
  if (host.back_at > 0 && entry.started_at < host.out_at) entry.started_at = host.back_at;
  return entry;
}

Host* HostGroup::FindByName(std::string_view name) {
  auto it = by_name_.find(std::string(name));
  return it == by_name_.end() ? nullptr : it->second;
}

bool HostGroup::TakeOut(std::string_view name, Micros now) {
  Host* host = FindByName(name);
  if (host == nullptr) return false;
  if (!host->out) host->out_at = now;
  host->out = true;
  host->called_at = std::max(host->called_at, now);
  UpdateState(*host);
  CountChange(*host);
  return true;
}

bool HostGroup::PutBack(std::string_view name, Micros now) {
  Host* host = FindByName(name);
  if (host == nullptr) return false;
  host->called_at = std::max(host->called_at, now);
  if (!std::exchange(host->out, false)) return true;
  host->back_at = now;
  ++host->incarnation;  // links to the process before its restart are useless
  UpdateState(*host);
  CountChange(*host);
  return true;
}

void HostGroup::TakeOutUnlisted(const std::string& name, Micros since) {
  FindOrAdd(name);
  TakeOut(name, since);
}

Micros HostGroup::CalledAt(std::string_view name) const {
  auto it = by_name_.find(std::string(name));
  return it == by_name_.end() ? 0 : it->second->called_at;
}

bool HostGroup::IsOut(std::string_view name) const {
  auto it = by_name_.find(std::string(name));
  return it != by_name_.end() && it->second->out;
}

std::vector<OutHost> HostGroup::Out() const {
  std::vector<OutHost> out;
  for (const auto& [name, host] : by_name_) {
    if (host->out) out.push_back({name, host->out_at});
  }
  std::sort(out.begin(), out.end(), [](const OutHost& a, const OutHost& b) { return a.name < b.name; });
  return out;
}

std::vector<HostRecord> HostGroup::Records() const {
  std::vector<HostRecord> records;
  for (const auto& [id, host] : hosts_) {
    HostRecord r;
    r.id = id;
    r.name = host->name;
    r.address = host->address.text;
    r.listed = host->superseded ? BackendState::kGone : host->listed;
    r.out = host->out;
    r.out_at = host->out_at;
    r.back_at = host->back_at;
    r.zone = host->entry.zone;
    r.cell = host->entry.cell;
    r.kind = host->entry.kind;
    r.started_at = host->entry.started_at;
    r.size = host->entry.size;
    records.push_back(std::move(r));
  }
  return records;
}

bool HostGroup::Restore(const std::vector<HostRecord>& records, uint64_t version) {
  HostGroup fresh(settings_);
  for (const HostRecord& r : records) {
    const std::optional<Address> address = r.address.empty() ? Address() : ReadAddress(r.address);
    const bool known = r.listed == BackendState::kGone || r.listed == BackendState::kReady ||
                       r.listed == BackendState::kDraining;
    if (!address || !known || r.name.empty() || fresh.hosts_.contains(r.id) || fresh.Knows(r.name)) {
      return false;
    }
    auto host = std::make_shared<Host>();
    host->id = host->entry.id = r.id;
    host->name = r.name;
    host->address = *address;
    host->listed = r.listed;
    host->out = r.out;
    host->out_at = r.out_at;
    host->back_at = r.back_at;
    host->called_at = std::max(r.out_at, r.back_at);
    host->entry.zone = r.zone;
    host->entry.cell = r.cell;
    host->entry.kind = r.kind;
    host->started_at = host->entry.started_at = r.started_at;
    host->entry.size = r.size;
    UpdateState(*host);
    host->state_counted = host->state;
    fresh.by_name_[r.name] = host.get();
    if (host->address.length > 0) fresh.by_address_[host->address.text].push_back(host.get());
    fresh.hosts_.emplace(r.id, std::move(host));
  }
  hosts_ = std::move(fresh.hosts_);
  by_name_ = std::move(fresh.by_name_);
  by_address_ = std::move(fresh.by_address_);
  version_ = version;
  return true;
}

void HostGroup::ExcludeCold(bool leave, Micros now) {
  cold_since_ = leave ? now - settings_.warm_after : kNever;
  const bool has_others = std::any_of(hosts_.begin(), hosts_.end(), [this](const auto& item) {
    const Host& host = *item.second;
    return host.listed == BackendState::kReady && !host.out && ModuleEntry(host).started_at <= cold_since_;
  });
  if (!has_others) cold_since_ = kNever;
  for (auto& [id, host] : hosts_) UpdateState(*host);
}

BackendList HostGroup::Snapshot() const {
  BackendList module_list;
  module_list.kind = ListKind::kCached;  // so that the module does not treat it as an answer from discovery
  for (const auto& [id, host] : hosts_) {
    if (host->listed != BackendState::kGone && !host->superseded)
      module_list.entries.push_back(ModuleEntry(*host));
  }
  std::sort(module_list.entries.begin(), module_list.entries.end(),
            [](const BackendEntry& a, const BackendEntry& b) { return a.id < b.id; });
  return module_list;
}

void HostGroup::CountChange(Host& host) {
  const bool restarted = std::exchange(host.incarnation_counted, host.incarnation) != host.incarnation;
  if (std::exchange(host.state_counted, host.state) == host.state) {
    changes_.restarted += restarted && host.state == BackendState::kReady;
  } else {
    ++(host.state == BackendState::kReady      ? changes_.added
       : host.state == BackendState::kDraining ? changes_.draining
                                               : changes_.removed);
  }
}

size_t HostGroup::Ready() const {
  return static_cast<size_t>(std::count_if(hosts_.begin(), hosts_.end(), [](const auto& item) {
    return item.second->state == BackendState::kReady;
  }));
}

}  // namespace burlfall
