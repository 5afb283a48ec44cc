// The last node list of a balancer, saved from one start to the next: the file format, which of several
// files a start uses, and when a file is written. Performs no I/O and reads no clock.
//
//   burlfall-list 1
//   site 3c1f0a9be277d1e4
//   version 41
//   heard 1717000000123456
//   number 7
//   node s-5be2a07c 10.1.0.18:9000 ready 0 3 1 0 1
//   end 1 9f86d081884c7d65...
//
// One line per node: its name (blanks and control bytes as %XX), address, state, the indices of its zone,
// cell and kind in the settings, its start time and its size. The last line holds the number of nodes and
// the SHA-256 of everything before it.
//
// Two files are written alternately. After a power failure the newer one may be truncated, because no write
// waits for the disk; the older one has reached the disk long before.
#ifndef BURLFALL_START_SAVED_LIST_H_
#define BURLFALL_START_SAVED_LIST_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "io/time.h"
#include "meadowslip/balancer.h"

namespace burlfall::start {

// A node as saved; zone, cell and kind are indices into the settings.
struct SavedNode {
  std::string name;
  std::string address;
  meadowslip::BackendState state = meadowslip::BackendState::kReady;
  int zone = 0, cell = 0, kind = 0;
  Micros started_at = 0;  // Unix time in microseconds; 0: long ago
  double size = 1;
  bool operator==(const SavedNode&) const = default;
};

struct SavedList {
  std::string site;
  uint64_t version = 0;
  Micros confirmed_at = 0;  // Unix time at which the list service last confirmed the list
  uint64_t number = 0;      // sequence number of the balancer's writes
  std::vector<SavedNode> nodes;
  bool operator==(const SavedList&) const = default;
};

constexpr size_t kMaxSavedNodes = 100000;

std::string WriteSavedList(const SavedList& list);
// Returns nullopt if any part of the text is malformed, and the reason in `why`.
std::optional<SavedList> ReadSavedList(std::string_view text, std::string& why);

// Returns the site identifier in saved lists: a digest of the site's name and of the zones and kinds whose
// indices the lists use.
std::string SiteOf(std::string_view name, const meadowslip::Settings& settings);

// Path and content of a saved file.
struct SavedFile {
  std::string path;
  std::string text;
};
// Result of ChooseSavedList().
struct SavedChoice {
  std::optional<SavedList> list;
  Micros age = 0;            // of the chosen list, from its confirmation
  uint64_t last_number = 0;  // highest number of all readable files, used or not
  std::vector<std::pair<std::string, std::string>> refused;  // path and reason
};
// Chooses the newest usable list. `wall`: current Unix time; `oldest`: maximum age.
SavedChoice ChooseSavedList(const std::vector<SavedFile>& files, std::string_view site, Micros wall,
                            Micros oldest);

// Decides when the list is written, and to which of the two files.
class SavedListSchedule {
 public:
  SavedListSchedule(Micros write_every, Micros oldest)
      : write_every_(write_every), refresh_every_(oldest / 20) {}

  // Sets the number of the newest file that the start found; later writes continue from it.
  void SetNumber(uint64_t number) { number_ = number; }
  // The list service has confirmed the list; `changed`: with changes since the last call.
  void OnConfirmed(bool changed) {
    confirmed_ = true;
    changed_ = changed_ || changed;
  }
  bool changed() const { return changed_; }
  // Whether a write is due.
  bool Due(Micros now) const;
  uint64_t NextNumber() const { return number_ + 1; }
  int NextFile() const { return static_cast<int>(NextNumber() % 2); }
  // A write was attempted; `done`: it succeeded.
  void OnWritten(Micros now, bool done);

 private:
  Micros write_every_;
  Micros refresh_every_;  // interval of writes without a change, which keep the saved time recent
  uint64_t number_ = 0;
  std::optional<Micros> written_at_;
  bool confirmed_ = false;
  bool changed_ = false;
};

}  // namespace burlfall::start

#endif  // BURLFALL_START_SAVED_LIST_H_
