#include "start/saved_list.h"

#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <set>

#include "codec/words.h"
#include "io/address.h"

namespace burlfall::start {
namespace {

using meadowslip::BackendState;

constexpr std::string_view kFirstLine = "burlfall-list 1";
constexpr std::string_view kStates[] = {"ready", "draining"};
// Accepted clock difference between the writer and the reader, for two machines or a clock that was
// adjusted.
constexpr Micros kMaxClockDifference = 60 * kSecond;
constexpr size_t kSiteDigits = 16;

std::string Digest(std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
  unsigned int size = 0;
  std::string hex;
  if (EVP_Digest(text.data(), text.size(), bytes.data(), &size, EVP_sha256(), nullptr) != 1) return hex;
  for (unsigned int i = 0; i < size; ++i) {
    char digits[3];
    std::snprintf(digits, sizeof digits, "%02x", bytes[i]);
    hex += digits;
  }
  return hex;
}

bool ParseNonNegative(std::string_view word, double& value) {
  const auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), value);
  return error == std::errc() && end == word.data() + word.size() && std::isfinite(value) && value >= 0;
}

// Removes one line from the front of `text`, without its line end; false if there is no complete line.
bool NextLine(std::string_view& text, std::string_view& line) {
  const size_t eol = text.find('\n');
  if (eol == std::string_view::npos) return false;
  line = text.substr(0, eol);
  text.remove_prefix(eol + 1);
  return true;
}

bool ReadNode(std::string_view line, SavedNode& node) {
  if (!Unescaped(NextWord(line), node.name) || !Unescaped(NextWord(line), node.address)) return false;
  const auto* const state = std::ranges::find(kStates, NextWord(line));
  if (state == std::end(kStates) || !ReadAddress(node.address)) return false;
  node.state = state == kStates ? BackendState::kReady : BackendState::kDraining;
  return WholeNumber(NextWord(line), node.zone) && WholeNumber(NextWord(line), node.cell) &&
         WholeNumber(NextWord(line), node.kind) && WholeNumber(NextWord(line), node.started_at) &&
         ParseNonNegative(NextWord(line), node.size) && line.empty();
}

// Reads a line such as "heard 171..." and parses its value.
template <typename Value>
bool ReadField(std::string_view& text, std::string_view name, Value& value) {
  std::string_view line;
  if (!NextLine(text, line) || NextWord(line) != name) return false;
  if constexpr (std::is_same_v<Value, std::string>) {
    return Unescaped(line, value);
  } else {
    return WholeNumber(line, value);
  }
}

}  // namespace

std::string WriteSavedList(const SavedList& list) {
  std::string out(kFirstLine);
  const auto append_word = [&out](std::string_view word) { out.append(" ").append(word); };
  out.append("\nsite ").append(Escaped(list.site));
  out.append("\nversion ").append(std::to_string(list.version));
  out.append("\nheard ").append(std::to_string(list.confirmed_at));
  out.append("\nnumber ").append(std::to_string(list.number)).append("\n");
  size_t nodes = 0;
  for (const SavedNode& node : list.nodes) {
    if (node.state == BackendState::kGone || node.name.empty()) continue;
    ++nodes;
    out.append("node");
    append_word(Escaped(node.name));
    append_word(Escaped(node.address));
    append_word(kStates[node.state == BackendState::kReady ? 0 : 1]);
    append_word(std::to_string(node.zone));
    append_word(std::to_string(node.cell));
    append_word(std::to_string(node.kind));
    append_word(std::to_string(node.started_at));
    char size[32];
    append_word({size, static_cast<size_t>(std::to_chars(size, size + sizeof size, node.size).ptr - size)});
    out.append("\n");
  }
  const std::string digest = Digest(out);
  return out.append("end ").append(std::to_string(nodes)).append(" ").append(digest).append("\n");
}

std::optional<SavedList> ReadSavedList(std::string_view text, std::string& why) {
  SavedList list;
  const std::string_view whole = text;
  std::string_view line;
  why = "it is no list, or of another version of the program";
  if (!NextLine(text, line) || line != kFirstLine) return {};
  why = "it is damaged";
  if (!ReadField(text, "site", list.site) || !ReadField(text, "version", list.version) ||
      !ReadField(text, "heard", list.confirmed_at) || !ReadField(text, "number", list.number)) {
    return {};
  }
  std::set<std::string> names;
  while (true) {
    const size_t body_size = whole.size() - text.size();
    if (!NextLine(text, line)) return {};
    const std::string_view what = NextWord(line);
    if (what == "node") {
      SavedNode node;
      if (list.nodes.size() >= kMaxSavedNodes || !ReadNode(line, node)) return {};
      if (!names.insert(node.name).second) return {};
      list.nodes.push_back(std::move(node));
      continue;
    }
    size_t count = 0;
    const bool is_end = what == "end" && WholeNumber(NextWord(line), count) && count == list.nodes.size();
    const std::string digest = Digest(whole.substr(0, body_size));
    if (!is_end || digest.empty() || line != digest || !text.empty()) return {};
    why.clear();
    return list;
  }
}

std::string SiteOf(std::string_view name, const meadowslip::Settings& settings) {
  std::string all(name);
  const auto add = [&all](char what, const std::string& word) {
    all.append(1, what).append(word).append(1, '\0');
  };
  for (const std::string& zone : settings.zones) add('z', zone);
  for (const std::string& kind : settings.kinds) add('k', kind);
  if (name.empty()) {
    for (const meadowslip::RequestClass& one : settings.classes) add('c', one.name);
  }
  return Digest(all).substr(0, kSiteDigits);
}

SavedChoice ChooseSavedList(const std::vector<SavedFile>& files, std::string_view site, Micros wall,
                            Micros oldest) {
  SavedChoice choice;
  for (const SavedFile& file : files) {
    std::string why;
    std::optional<SavedList> list = ReadSavedList(file.text, why);
    if (list) {
      choice.last_number = std::max(choice.last_number, list->number);
      const Micros age = wall - list->confirmed_at;
      if (list->site != site) {
        why = "it is of another site";
      } else if (age > oldest) {
        why.append(std::to_string(age / kSecond)).append(" s old by the clock, which is too old");
      } else if (age < -kMaxClockDifference) {
        why.append(std::to_string(-age / kSecond)).append(" s from the future by the clock");
      } else if (list->nodes.empty()) {
        why = "it has no nodes";
      }
    }
    if (!why.empty()) {
      choice.refused.emplace_back(file.path, why);
    } else if (!choice.list || list->number > choice.list->number) {
      choice.age = std::max<Micros>(0, wall - list->confirmed_at);
      choice.list = std::move(list);
    }
  }
  return choice;
}

bool SavedListSchedule::Due(Micros now) const {
  if (!confirmed_) return false;
  if (!written_at_) return true;
  const Micros since = now - *written_at_;
  return since >= (changed_ ? write_every_ : std::max(write_every_, refresh_every_));
}

void SavedListSchedule::OnWritten(Micros now, bool done) {
  written_at_ = now;
  if (!done) return;
  ++number_;
  confirmed_ = changed_ = false;
}

}  // namespace burlfall::start
