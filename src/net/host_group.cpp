#include "net/host_group.h"

#include <algorithm>
#include <utility>

#include "net/http.h"
#include "net/platform.h"

namespace burlfall {
namespace {

using meadowslip::BackendEntry;
using meadowslip::BackendList;
using meadowslip::BackendState;
using meadowslip::ListKind;

// A watch that hears nothing for longer than it asked to wait has lost discovery: a machine that was cut off
// gives no sign. The wait is half of the time within which the deployment wants to be asked.
constexpr Micros kLongestWait = 20 * kSecond;
constexpr Micros kAnswerPatience = 1500 * kMs;
constexpr Micros kLeastPause = 150 * kMs;     // a watch goes on if the next call comes within 200 ms
constexpr Micros kCallPatience = 2500 * kMs;  // for a call that does not wait: discovery handles them in turn

// The same at every balancer and after every restart.
uint32_t Hash(const std::string& name) {
  uint32_t hash = 2166136261;
  for (char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 16777619;
  return hash;
}

}  // namespace

HostGroup::HostGroup(Scheduler& scheduler, const Config& config, ServerLinks& links, Told told)
    : scheduler_(scheduler), config_(config), links_(links), told_(std::move(told)), asked_(scheduler) {}

void HostGroup::Start() {
  watch_ = Watch();
  watch_.Start();
  BackendList known = Take(config_.known);
  known.kind = ListKind::kCached;
  told_(known);
}

void HostGroup::Subscribe() {
  if (subscribed_) return;
  subscribed_ = true;
  asked_.Notify();
}

// Ends the call at hand, which may wait for long yet. Guards the drain rule: word of a drain comes from the
// new place alone, and the module believes that it is told of all, so it would not ask.
void HostGroup::Restart() {
  watch_ = Task<>();
  link_.reset();
  subscribed_ = true;
  watch_ = Watch();
  watch_.Start();
}

Host* HostGroup::Find(meadowslip::BackendId id) {
  auto it = hosts_.find(id);
  return it == hosts_.end() ? nullptr : it->second.get();
}

const Host* HostGroup::Find(meadowslip::BackendId id) const {
  auto it = hosts_.find(id);
  return it == hosts_.end() ? nullptr : it->second.get();
}

void HostGroup::RetireLinks() {
  for (auto& [id, host] : hosts_) links_.Retire(*host);
}

bool HostGroup::ShedIdleLink() {
  Host* most = nullptr;
  for (auto& [id, host] : hosts_) {
    if (!host->idle.empty() && (most == nullptr || host->idle.size() > most->idle.size())) most = host.get();
  }
  if (most != nullptr) most->idle.erase(most->idle.begin());
  return most != nullptr;
}

Task<> HostGroup::Watch() {
  const Micros wait = std::min(kLongestWait, std::max(kSecond, config_.settings.must_ask_within / 2));
  uint64_t version = 0;
  bool fresh = true;  // the first call of a watch asks for the whole list, which is answered at once
  while (true) {
    while (!subscribed_) co_await asked_.Wait();
    const Micros called_at = scheduler_.Now();
    std::string path = platform::kHostsPath;
    if (!fresh) path += "?index=" + std::to_string(version) + "&wait=" + std::to_string(wait / kMs);
    std::optional<HostList> list =
        co_await Ask(std::move(path), fresh ? kCallPatience : wait + kAnswerPatience);
    if (list) {
      fresh = false;
      bool news = version != list->version;
      version = list->version;
      told_(Take(*list));
      // Guards discovery, which is shared and slow, against a watch that is answered at once with no news.
      const Micros pause_ends = called_at + kLeastPause;
      while (!news && scheduler_.Now() < pause_ends) co_await asked_.Wait(pause_ends);
    } else {
      fresh = true;
      link_.reset();
      subscribed_ = false;  // before anyone hears of it, who may ask again at once
      BackendList failed;
      failed.kind = ListKind::kFailed;
      told_(failed);
    }
  }
}

// One call; nothing where it failed, in whatever way.
Task<std::optional<HostList>> HostGroup::Ask(std::string path, Micros patience) {
  const Micros until = scheduler_.Now() + patience;
  std::optional<HostList> none;
  if (!link_ || !link_->Quiet()) {
    link_.reset();
    Descriptor fd = OpenConnection(config_.discovery);
    if (!fd) co_return none;
    link_ = std::make_unique<Socket>(scheduler_, std::move(fd));
    bool connected = co_await Connected(*link_, std::min(until, scheduler_.Now() + kAnswerPatience));
    if (!connected) co_return none;
  }
  std::string call = "GET " + path + " HTTP/1.1\r\nHost: " + config_.discovery.text + "\r\n\r\n";
  for (std::string_view rest = call; !rest.empty();) {
    Io io = link_->Write(rest);
    if (io == Io::kBroken) co_return none;
    if (rest.empty()) break;
    bool notified = co_await link_->Wait(until);
    if (!notified) co_return none;
  }
  HttpParser parser(HttpParser::Kind::kResponse);
  std::string in;
  Parsed parsed = Parsed::kMore;
  while (parsed == Parsed::kMore) {
    Io io = link_->Read(in);
    if (io == Io::kSome) {
      parsed = parser.Feed(in);
    } else if (io == Io::kLater) {
      bool notified = co_await link_->Wait(until);
      if (!notified) co_return none;
    } else {
      if (io == Io::kBroken || parser.Closed() != Parsed::kDone) co_return none;
      parsed = Parsed::kDone;
    }
  }
  if (parsed != Parsed::kDone) co_return none;
  HttpMessage answer = parser.Take();
  if (!answer.keep_alive) link_.reset();
  if (answer.status != 200) co_return none;
  std::optional<HostList> list;
  try {
    list = ParseHostList(answer.body, config_.settings);
  } catch (const BadConfig&) {  // an answer that can't be read is a call that failed
  }
  co_return list;
}

Host& HostGroup::Named(const std::string& name) {
  Host*& host = by_name_[name];
  if (host == nullptr) {
    uint32_t id = Hash(name);
    while (hosts_.contains(id)) ++id;
    auto fresh = std::make_unique<Host>();
    fresh->id = id;
    fresh->name = name;
    host = fresh.get();
    hosts_.emplace(id, std::move(fresh));
  }
  return *host;
}

// Takes the list in before the module hears of it, so that both see the same states.
BackendList HostGroup::Take(const HostList& list) {
  BackendList told;
  version_ = list.version;
  told.kind = list.full ? ListKind::kFull : ListKind::kChanges;
  if (list.full && config_.settings.gone_binds) {
    for (auto& [id, host] : hosts_) host->state = BackendState::kGone;  // unless it is named below
  }
  for (const HostEntry& e : list.hosts) {
    Host& host = Named(e.name);
    if (e.address.length > 0 &&
        (host.address.text != e.address.text || host.started_at != e.entry.started_at)) {
      host.address = e.address;
      host.started_at = e.entry.started_at;
      ++host.era;  // links to its earlier life are of no use
    }
    if (e.entry.state != BackendState::kGone || config_.settings.gone_binds) host.state = e.entry.state;
    BackendEntry entry = e.entry;
    entry.id = host.id;
    told.entries.push_back(entry);
  }
  RetireLinks();
  return told;
}

}  // namespace burlfall
