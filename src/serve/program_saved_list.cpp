// The program's last list and book of starts, kept on disk from start to start.
#include <algorithm>
#include <cstdlib>
#include <utility>

#include "serve/paths.h"
#include "serve/program.h"

namespace burlfall {

std::string Program::KeptPath(const char* what) const {
  return PathFor(config_, NamedFolder(config_, start_.saved_list.folder), what);
}

std::string Program::ListPath(int file) const { return KeptPath(file == 0 ? ".list.0" : ".list.1"); }

// Further writes count on from what is found, whether it is used or not: the newer of two files is told by
// that.
start::SavedChoice Program::FindSavedList() {
  std::vector<start::SavedFile> files;
  for (const int file : {0, 1}) {
    std::optional<std::string> text = machine_.files().Read(ListPath(file));
    if (text) files.push_back({ListPath(file), std::move(*text)});
  }
  start::SavedChoice choice = start::ChooseSavedList(
      files, start::SiteOf(start_.saved_list.site, config_.settings), machine_.WallClock(),
      static_cast<Micros>(start_.saved_list.oldest_s * static_cast<double>(kSecond)));
  keeper_->Found(choice.last_number);
  return choice;
}

// What the configuration came with may be older, or nothing.
bool Program::UseSavedList() {
  if (!keeper_) return false;
  const start::SavedChoice choice = FindSavedList();
  for (const auto& [path, why] : choice.refused) log_.Emit<"saved_list_refused">(path, why);
  if (!choice.list) return false;
  if (choice.list->version < config_.initial_hosts.version && !config_.initial_hosts.hosts.empty())
    return false;
  HostList list;
  list.version = choice.list->version;
  list.full = true;
  for (const start::SavedNode& node : choice.list->nodes) {
    HostEntry& entry = list.hosts.emplace_back();
    entry.name = node.name;
    entry.address = ParseAddress(node.address);
    entry.entry.state = node.state;
    entry.entry.zone = node.zone;
    entry.entry.cell = node.cell;
    entry.entry.kind = node.kind;
    entry.entry.started_at = node.started_at;
    entry.entry.size = node.size;
  }
  hosts_.Take(list, machine_.Now());
  log_.Emit<"saved_list_used">(list.hosts.size(), list.version, choice.age / kMs);
  return true;
}

void Program::KeepList() {
  if (!keeper_ || !keeper_->Due(machine_.Now())) return;
  start::SavedList list;
  list.site = start::SiteOf(start_.saved_list.site, config_.settings);
  list.version = hosts_.version();
  list.heard_at = heard_at_;
  list.number = keeper_->NextNumber();
  for (const HostRecord& host : hosts_.Records()) {
    if (host.listed == meadowslip::BackendState::kGone) continue;
    list.nodes.push_back({host.name, host.address, host.listed, std::max(0, host.zone),
                          std::max(0, host.cell), std::max(0, host.kind), host.started_at, host.size});
  }
  const std::string path = ListPath(keeper_->NextFile());
  std::string why;
  const bool done = list.nodes.empty() || machine_.files().Replace(path, start::WriteSavedList(list), why);
  keeper_->Wrote(machine_.Now(), done);
  if (!done && !std::exchange(list_file_bad_, true)) log_.Emit<"saved_list_error">(path, why);
  if (done) list_file_bad_ = false;
}

int Program::BeganBefore() {
  if (start_.saved_list.folder.empty()) return 0;
  const std::string path = KeptPath(".starts");
  start::StartBook book(machine_.files().Read(path).value_or(""));
  const Micros wall = machine_.WallClock();
  const int before = book.Within(asking_->loop_span(), wall);
  book.Add(wall);
  std::string why;
  if (!machine_.files().Replace(path, book.Text(), why) && !std::exchange(list_file_bad_, true)) {
    log_.Emit<"saved_list_error">(path, why);
  }
  if (before > 0) log_.Emit<"start_again">(before, asking_->loop_span() / kMs);
  return before;
}

// Where the start stands, whenever that changes.
void Program::TellStart() {
  if (!asking_ || asking_->phase() == told_phase_) return;
  told_phase_ = asking_->phase();
  const Micros now = machine_.Now();
  log_.Emit<"start_phase">(start::NameOf(told_phase_), (now - began_at_) / kMs,
                           std::max<Micros>(0, asking_->next_at() - now) / kMs, asking_->window() / kMs,
                           counters_.list_calls);
}

}  // namespace burlfall
