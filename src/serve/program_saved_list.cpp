// The last node list and the record of starts, which are on disk between starts.
#include <algorithm>
#include <cstdlib>
#include <utility>

#include "serve/paths.h"
#include "serve/program.h"

namespace burlfall {

std::string Program::SavedPath(const char* suffix) const {
  return PathFor(config_, ResolveFolder(config_, start_.saved_list.folder), suffix);
}

std::string Program::SavedListPath(int file) const { return SavedPath(file == 0 ? ".list.0" : ".list.1"); }

// Reads both files and chooses one. Later writes continue the numbering that was found, even if no file is
// used, because the number tells which of the two files is newer.
start::SavedChoice Program::ReadSavedLists() {
  std::vector<start::SavedFile> files;
  for (const int file : {0, 1}) {
    std::optional<std::string> text = machine_.files().Read(SavedListPath(file));
    if (text) files.push_back({SavedListPath(file), std::move(*text)});
  }
  start::SavedChoice choice = start::ChooseSavedList(
      files, start::SiteOf(start_.saved_list.site, config_.settings), machine_.WallClock(),
      static_cast<Micros>(start_.saved_list.oldest_s * static_cast<double>(kSecond)));
  list_saver_->SetNumber(choice.last_number);
  return choice;
}

// Uses the saved list unless the list in the configuration is newer. Returns whether it did.
bool Program::ApplySavedList() {
  if (!list_saver_) return false;
  const start::SavedChoice choice = ReadSavedLists();
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
  hosts_.ApplyList(list, machine_.Now());
  log_.Emit<"saved_list_used">(list.hosts.size(), list.version, choice.age / kMs);
  return true;
}

void Program::SaveList() {
  if (!list_saver_ || !list_saver_->Due(machine_.Now())) return;
  start::SavedList list;
  list.site = start::SiteOf(start_.saved_list.site, config_.settings);
  list.version = hosts_.version();
  list.confirmed_at = list_received_at_;
  list.number = list_saver_->NextNumber();
  for (const HostRecord& host : hosts_.Records()) {
    if (host.listed == meadowslip::BackendState::kGone) continue;
    list.nodes.push_back({host.name, host.address, host.listed, std::max(0, host.zone),
                          std::max(0, host.cell), std::max(0, host.kind), host.started_at, host.size});
  }
  const std::string path = SavedListPath(list_saver_->NextFile());
  std::string why;
  const bool done = list.nodes.empty() || machine_.files().Replace(path, start::WriteSavedList(list), why);
  list_saver_->OnWritten(machine_.Now(), done);
  if (!done && !std::exchange(list_file_error_logged_, true)) log_.Emit<"saved_list_error">(path, why);
  if (done) list_file_error_logged_ = false;
}

int Program::RecordStart() {
  if (start_.saved_list.folder.empty()) return 0;
  const std::string path = SavedPath(".starts");
  start::StartHistory book(machine_.files().Read(path).value_or(""));
  const Micros wall = machine_.WallClock();
  const int before = book.Within(list_pacing_->loop_span(), wall);
  book.Add(wall);
  std::string why;
  if (!machine_.files().Replace(path, book.Text(), why) && !std::exchange(list_file_error_logged_, true)) {
    log_.Emit<"saved_list_error">(path, why);
  }
  if (before > 0) log_.Emit<"start_again">(before, list_pacing_->loop_span() / kMs);
  return before;
}

// Logs the phase of the start whenever it changes.
void Program::LogStartPhase() {
  if (!list_pacing_ || list_pacing_->phase() == logged_phase_) return;
  logged_phase_ = list_pacing_->phase();
  const Micros now = machine_.Now();
  log_.Emit<"start_phase">(start::NameOf(logged_phase_), (now - start_began_at_) / kMs,
                           std::max<Micros>(0, list_pacing_->next_at() - now) / kMs,
                           list_pacing_->window() / kMs, counters_.list_calls);
}

}  // namespace burlfall
