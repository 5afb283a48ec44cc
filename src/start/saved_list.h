// The last list of nodes that a balancer had, kept from one start to the next: what stands in the file, which
// of several files a start uses, and when one is written. No I/O, no clock.
//
//   burlfall-list 1
//   site 3c1f0a9be277d1e4
//   version 41
//   heard 1717000000123456
//   number 7
//   node s-5be2a07c 10.1.0.18:9000 ready 0 3 1 0 1
//   end 1 9f86d081884c7d65...
//
// A line a node: its name, with %XX for blanks and control bytes, its address, its state, its zone, cell and
// kind by their places in the settings, when it was started and its size. The last line has how many there
// are, and the SHA-256 of all before it.
//
// Two files are written in turn. Guards a loss of power, after which the newer may be torn: no write waits
// for the disk, and the older one has long been on it.
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

struct SavedNode {
  std::string name;
  std::string address;
  meadowslip::BackendState state = meadowslip::BackendState::kReady;
  int zone = 0, cell = 0, kind = 0;
  Micros started_at = 0;  // Unix time; 0: long ago
  double size = 1;
  bool operator==(const SavedNode&) const = default;
};

struct SavedList {
  std::string site;
  uint64_t version = 0;
  Micros heard_at = 0;  // by the clock on the wall: the list service last said that it is so
  uint64_t number = 0;  // grows with each write of one balancer
  std::vector<SavedNode> nodes;
  bool operator==(const SavedList&) const = default;
};

constexpr size_t kMostSavedNodes = 100000;

std::string WriteSavedList(const SavedList& list);
// Nothing where any of it can't be what was written; `why` then says so in plain words.
std::optional<SavedList> ReadSavedList(std::string_view text, std::string& why);

// A site as its lists name it: what the operators call it, and the zones and kinds by whose places lists are
// read.
std::string SiteOf(std::string_view name, const meadowslip::Settings& settings);

struct SavedFile {
  std::string path;
  std::string text;
};
struct SavedChoice {
  std::optional<SavedList> list;
  Micros age = 0;
  uint64_t last_number = 0;                                  // of all that could be read, used or not
  std::vector<std::pair<std::string, std::string>> refused;  // path and reason
};
// The newest that may be used. `wall`: Unix time by the clock on the wall.
SavedChoice ChooseSavedList(const std::vector<SavedFile>& files, std::string_view site, Micros wall,
                            Micros oldest);

// When the list is to be written, and into which of the two files.
class ListKeeper {
 public:
  ListKeeper(Micros write_every, Micros oldest) : write_every_(write_every), refresh_every_(oldest / 20) {}

  void Found(uint64_t number) { number_ = number; }  // by the start: further writes count on from it
  void Heard(bool changed) {
    heard_ = true;
    changed_ = changed_ || changed;
  }
  bool changed() const { return changed_; }
  bool Due(Micros now) const;
  uint64_t NextNumber() const { return number_ + 1; }
  int NextFile() const { return static_cast<int>(NextNumber() % 2); }
  void Wrote(Micros now, bool done);

 private:
  Micros write_every_;
  Micros refresh_every_;  // where nothing has changed, so that its age stays true
  uint64_t number_ = 0;
  std::optional<Micros> wrote_at_;
  bool heard_ = false;
  bool changed_ = false;
};

}  // namespace burlfall::start

#endif  // BURLFALL_START_SAVED_LIST_H_
