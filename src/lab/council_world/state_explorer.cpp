// Depth-first exploration of the reachable states, with a set of state hashes.
#include "lab/council_world/state_explorer.h"

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "consensus/wire.h"
#include "lab/council_world/consensus_checker.h"

namespace burlfall::lab {
namespace {

using consensus::Core;
using consensus::Message;
using consensus::Role;

constexpr size_t kVoters = 3;
constexpr Micros kNoResend = 3600 * kSecond;

struct State {
  // Shared by the states in which this voter is in the same state; copied before an input is delivered.
  std::array<std::shared_ptr<const Core>, kVoters> cores;
  std::array<consensus::PersistentState, kVoters> disks;
  std::array<std::deque<consensus::DiskWrite>, kVoters> pending;
  std::vector<std::pair<std::string, Message>> messages;  // in transit, sorted by their encoding
  int elections = 0, proposals = 0, crashes = 0;
  // The entries committed at any voter: the entry's term, and that of the leader that first committed it.
  std::vector<std::pair<uint64_t, uint64_t>> committed;
  std::vector<std::pair<uint64_t, size_t>> leaders;  // term, voter
};

class StateExplorer {
 public:
  StateExplorer(const ExplorationBounds& bounds, consensus::Rules rules) : bounds_(bounds), rules_(rules) {
    rules_.pre_vote = false;
    rules_.check_quorum = false;
    rules_.resend_timeout = kNoResend;
  }

  ExplorationResult Run() {
    State first;
    for (size_t i = 0; i < kVoters; ++i) {
      for (size_t j = 0; j < kVoters; ++j) first.disks[i].snapshot.voters.push_back(VoterOf(j));
      Start(first, i);
      Core core = *first.cores[i];
      ProcessOutputs(first, i, std::move(core));
    }
    result_.complete = true;
    Visit(first);
    while (!unexpanded_.empty() && result_.violation.empty()) {
      const State state = std::move(unexpanded_.back());
      unexpanded_.pop_back();
      Expand(state);
    }
    result_.complete = result_.complete && unexpanded_.empty() && result_.violation.empty();
    return result_;
  }

 private:
  static consensus::Voter VoterOf(size_t who) {
    consensus::Voter voter;
    voter.id.name = voter.address = std::string(1, static_cast<char>('a' + who));
    voter.id.disk = 1;
    return voter;
  }

  void Start(State& state, size_t who) {
    Core core({VoterOf(who).id, rules_, 1, 0});
    core.Begin(0, state.disks[who], true);
    state.cores[who] = std::make_shared<const Core>(std::move(core));
  }

  // Collects the outputs of the core, and checks the invariants.
  void ProcessOutputs(State& state, size_t who, Core core) {
    for (const consensus::Notice& notice : core.TakeNotices()) {
      if (notice.kind == consensus::Notice::Kind::kBecameLeader) OnBecameLeader(state, who, core);
    }
    for (consensus::DiskWrite& write : core.TakeWrites()) state.pending[who].push_back(std::move(write));
    for (consensus::Outgoing& outgoing : core.TakeMessages()) {
      std::pair<std::string, Message> one{consensus::Encode(outgoing.message, ""),
                                          std::move(outgoing.message)};
      const auto less = [](const auto& a, const auto& b) { return a.first < b.first; };
      state.messages.insert(std::upper_bound(state.messages.begin(), state.messages.end(), one, less),
                            std::move(one));
    }
    for (const consensus::Applied& applied : core.TakeApplied()) {
      if (applied.snapshot) continue;
      const uint64_t index = applied.entry.index;
      if (index <= state.committed.size()) {
        if (state.committed[index - 1].first != applied.entry.term) {
          result_.violation = "two entries are committed at one index";
        }
      } else {
        state.committed.emplace_back(applied.entry.term, core.term());
      }
    }
    state.cores[who] = std::make_shared<const Core>(std::move(core));
  }

  void OnBecameLeader(State& state, size_t who, const Core& core) {
    for (const auto& [term, leader] : state.leaders) {
      if (term == core.term() && leader != who) result_.violation = "two leaders in a term";
    }
    state.leaders.emplace_back(core.term(), who);
    for (size_t i = 0; i < state.committed.size(); ++i) {
      const auto& [term, leader_term] = state.committed[i];
      if (leader_term >= core.term()) continue;
      const consensus::Entry* entry = core.entry(i + 1);
      if (!entry || entry->term != term) result_.violation = "a leader without what was committed before";
    }
  }

  // Removes responses that cannot have an effect any more: a term on disk never decreases, and a voter that
  // led in a term and no longer leads never leads in it again. This merges many states into one.
  static void Prune(State& state) {
    std::erase_if(state.messages, [&](const auto& one) {
      const Message& message = one.second;
      const auto to = static_cast<size_t>(message.to.name[0] - 'a');
      const Core& core = *state.cores[to];
      const uint64_t durable_term = state.disks[to].term;
      const bool leads = core.role() == Role::kLeader;
      if (message.kind == Message::Kind::kVoteResponse) {
        return message.term < durable_term || (message.term == durable_term && (!message.accepted || leads));
      }
      if (message.kind != Message::Kind::kAppendResponse) return false;
      return message.term < durable_term ||
             (message.term == durable_term && !leads && core.term() >= durable_term);
    });
  }

  // Adds a state to those to expand, unless it was seen before.
  void Visit(State state) {
    Prune(state);
    uint64_t first_hash = 0, second_hash = 7;
    const auto add = [&](const std::string& bytes) {
      consensus::Entry entry;
      entry.data = bytes;
      first_hash = NextState(first_hash, entry);
      entry.index = 1;
      second_hash = NextState(second_hash, entry);
    };
    for (size_t i = 0; i < kVoters; ++i) {
      add(state.cores[i]->Fingerprint());
      add("pending" + std::to_string(state.pending[i].size()));
      std::string disk = std::to_string(state.disks[i].term);
      if (state.disks[i].vote) disk.append(state.disks[i].vote->name);
      for (const consensus::Entry& entry : state.disks[i].log) disk.append(consensus::EncodeEntry(entry));
      add(disk);
      for (const consensus::DiskWrite& write : state.pending[i]) {
        std::string bytes = std::to_string(write.replace_from);
        if (write.term_vote) {
          bytes.append("p").append(std::to_string(write.term_vote->term));
          if (write.term_vote->vote) bytes.append(write.term_vote->vote->name);
        }
        for (const consensus::Entry& entry : write.entries) bytes.append(consensus::EncodeEntry(entry));
        add(bytes);
      }
    }
    for (const auto& message : state.messages) add(message.first);
    std::string rest = std::to_string(state.elections * 10'000 + state.proposals * 100 + state.crashes);
    for (const auto& [term, leader_term] : state.committed)
      rest.append(std::to_string(term * 1000 + leader_term)).append(" ");
    for (const auto& [term, who] : state.leaders) rest.append(std::to_string(term * 10 + who)).append("l");
    add(rest);
    if (!seen_.emplace(first_hash, second_hash).second) return;
    ++result_.states;
    const auto leads = [](const auto& core) { return core->role() == Role::kLeader; };
    if (std::any_of(state.cores.begin(), state.cores.end(), leads)) ++result_.leaders;
    if (!state.committed.empty()) ++result_.commits;
    if (result_.states >= bounds_.max_states) {
      result_.complete = false;
      unexpanded_.clear();
      return;
    }
    unexpanded_.push_back(std::move(state));
  }

  // Takes every possible step from `state`.
  void Expand(const State& state) {
    for (size_t i = 0; i < state.messages.size(); ++i) {
      if (i > 0 && state.messages[i].first == state.messages[i - 1].first) continue;
      Step(state, [i](State& next) {
        const Message message = next.messages[i].second;
        next.messages.erase(next.messages.begin() + static_cast<std::ptrdiff_t>(i));
        const auto who = static_cast<size_t>(message.to.name[0] - 'a');
        return std::pair{who, [message](Core& core) { core.OnMessage(0, message); }};
      });
    }
    for (size_t who = 0; who < kVoters; ++who) {
      const Core& now = *state.cores[who];
      if (!state.pending[who].empty()) {
        Step(state, [who](State& next) {
          const consensus::DiskWrite write = next.pending[who].front();
          next.pending[who].pop_front();
          consensus::PersistentState& disk = next.disks[who];
          if (write.term_vote) {
            disk.term = write.term_vote->term;
            disk.vote = write.term_vote->vote;
          }
          if (write.replace_from != 0) {
            std::erase_if(disk.log,
                          [&](const consensus::Entry& entry) { return entry.index >= write.replace_from; });
            disk.log.insert(disk.log.end(), write.entries.begin(), write.entries.end());
          }
          return std::pair{who, [number = write.number](Core& core) { core.OnWritten(0, number, true); }};
        });
      }
      if (now.role() != Role::kLeader && state.elections < bounds_.elections) {
        Step(state, [who](State& next) {
          ++next.elections;
          return std::pair{who, [](Core& core) { core.Tick(core.next_at()); }};
        });
      }
      if (now.role() == Role::kLeader && state.proposals < bounds_.proposals) {
        Step(state, [who](State& next) {
          ++next.proposals;
          return std::pair{who, [](Core& core) { core.Propose(0, "x"); }};
        });
      }
      if (state.crashes < bounds_.crashes) {
        State next = state;
        ++next.crashes;
        next.pending[who].clear();
        Start(next, who);
        Core core = *next.cores[who];
        ProcessOutputs(next, who, std::move(core));
        ++result_.steps;
        Visit(std::move(next));
      }
    }
  }

  // `change` alters the state, and returns a voter with the input to deliver to its core.
  template <typename Change>
  void Step(const State& state, Change change) {
    State next = state;
    const auto [who, deliver] = change(next);
    Core core = *next.cores[who];
    deliver(core);
    ProcessOutputs(next, who, std::move(core));
    ++result_.steps;
    Visit(std::move(next));
  }

  const ExplorationBounds bounds_;
  consensus::Rules rules_;
  ExplorationResult result_;
  std::vector<State> unexpanded_;
  std::set<std::pair<uint64_t, uint64_t>> seen_;
};

}  // namespace

ExplorationResult ExploreAllStates(const ExplorationBounds& bounds, consensus::Rules rules) {
  return StateExplorer(bounds, rules).Run();
}

}  // namespace burlfall::lab
