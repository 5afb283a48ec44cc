#include "lab/council_world/consensus_checker.h"

#include <algorithm>

#include "consensus/wire.h"

namespace burlfall::lab {
namespace {

constexpr size_t kShown = 20;

uint64_t Mix(uint64_t a, uint64_t b) {
  uint64_t z = a * 0x9e3779b97f4a7c15 + b + 0x2545f4914f6cdd1d;
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
  z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
  return z ^ (z >> 31);
}

std::string Number(uint64_t n) { return std::to_string(n); }

}  // namespace

uint64_t NextState(uint64_t state, const consensus::Entry& entry) {
  uint64_t next = Mix(Mix(state, entry.index), static_cast<uint64_t>(entry.kind) + 1);
  for (const char c : entry.data) next = Mix(next, static_cast<unsigned char>(c));
  return next;
}

void CouncilJudge::Broken(const std::string& what) {
  ++broken_count_;
  if (broken_.size() < kShown) broken_.push_back(what);
}

void CouncilJudge::TookOffice(const std::string& run, uint64_t term,
                              const std::vector<consensus::Entry>& log) {
  const auto [found, first] = leaders_.emplace(term, run);
  if (!first && found->second != run) {
    Broken("two leaders in term " + Number(term) + ": " + found->second + " and " + run);
  }
  // What is before the first is in its snapshot, and was committed there.
  const uint64_t begin = log.empty() ? UINT64_MAX : log.front().index;
  const uint64_t end = log.empty() ? 0 : log.back().index;
  for (const auto& [index, terms] : acknowledged_) {
    const auto& [of, led] = terms;
    if (led >= term || index < begin) continue;
    if (index > end || log[index - begin].term != of) {
      Broken("entry " + Number(index) + " was acknowledged in term " + Number(led) + " and " + run +
             " leads in term " + Number(term) + " without it");
      break;
    }
  }
}

void CouncilJudge::InLog(const std::string& run, uint64_t term_before, const consensus::Entry& entry) {
  const std::pair<uint64_t, uint64_t> what{term_before, NextState(0, entry)};
  const auto [found, first] = entries_.emplace(std::pair{entry.index, entry.term}, what);
  if (!first && found->second != what) {
    Broken("logs differ at entry " + Number(entry.index) + " of term " + Number(entry.term) + ": " + run);
  }
}

void CouncilJudge::Applied(const std::string& run, const consensus::Entry& entry) {
  uint64_t& last = runs_[run];
  if (entry.index != last + 1) {
    Broken(run + " applies entry " + Number(entry.index) + " after " + Number(last));
  }
  last = entry.index;
  if (entry.index <= agreed_.size()) {
    const Agreed& one = agreed_[entry.index - 1];
    const uint64_t before = entry.index > 1 ? agreed_[entry.index - 2].state : 0;
    if (one.term != entry.term || one.state != NextState(before, entry)) {
      Broken(run + " applies another entry " + Number(entry.index) + " than was applied before");
    }
    return;
  }
  if (entry.index != agreed_.size() + 1) return;  // told already
  const uint64_t before = agreed_.empty() ? 0 : agreed_.back().state;
  if (!agreed_.empty() && agreed_.back().at > entry.log_time) {
    Broken("council time goes back at entry " + Number(entry.index));
  }
  agreed_.push_back({entry.term, NextState(before, entry), entry.log_time});
  if (entry.kind != consensus::Entry::Kind::kVoters) return;
  const auto voters = consensus::DecodeVoters(entry.data);
  if (!voters) return Broken("voters that can't be read at entry " + Number(entry.index));
  const auto among = [](const auto& all) {
    return [&all](const auto& one) { return std::find(all.begin(), all.end(), one) != all.end(); };
  };
  const auto gone =
      voters_.size() - static_cast<size_t>(std::count_if(voters_.begin(), voters_.end(), among(*voters)));
  const auto came =
      voters->size() - static_cast<size_t>(std::count_if(voters->begin(), voters->end(), among(voters_)));
  if (!voters_.empty() && gone + came > 1) {
    Broken("more than one voter changes at entry " + Number(entry.index));
  }
  voters_ = *voters;
}

void CouncilJudge::AppliedSnapshot(const std::string& run, uint64_t index, uint64_t state) {
  uint64_t& last = runs_[run];
  if (index < last)
    Broken(run + " goes back from entry " + Number(last) + " to a snapshot of " + Number(index));
  last = index;
  if (index > agreed_.size() || (index > 0 && agreed_[index - 1].state != state)) {
    Broken(run + " takes a snapshot of entry " + Number(index) + " that is not the state there");
  }
}

void CouncilJudge::Acknowledged(uint64_t index, uint64_t term, uint64_t led) {
  acknowledged_[index] = {term, led};
  shown_ = std::max(shown_, index);
}

void CouncilJudge::ReadBegan(uint64_t token) { reads_[token] = shown_; }

void CouncilJudge::ReadAnswered(uint64_t token, uint64_t index) {
  const auto found = reads_.find(token);
  if (found == reads_.end()) return Broken("a read is answered that nobody began");
  ++reads_answered_;
  if (index < found->second) {
    Broken("a read shows the state of entry " + Number(index) + " though that of " + Number(found->second) +
           " was shown before it began");
  }
  shown_ = std::max(shown_, index);
  reads_.erase(found);
}

void CouncilJudge::ChangeBegan(const std::string& run, uint64_t earlier, uint64_t commit) {
  if (earlier > commit)
    Broken(run + " begins a change of voters before entry " + Number(earlier) + " is committed");
}

}  // namespace burlfall::lab
