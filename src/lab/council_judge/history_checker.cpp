// The rules of the history checker.
#include "lab/council_judge/history_checker.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace burlfall::lab {
namespace {

using freeze::ChangeKind;
using freeze::IncidentKind;
using freeze::Overlap;
using freeze::Scope;

constexpr size_t kMaxViolations = 100;

struct ChangeRecord {
  ChangeKind kind = ChangeKind::kReload;
  Scope scope;
  uint64_t undoes = 0;
  Micros began = 0;
  Micros ended = kNever;
  std::set<uint64_t> overridden_incidents;  // open at the time of the emergency override
  bool lease_expired = false;
  Micros lease_held_until = 0;
};

struct IncidentRecord {
  IncidentKind kind = IncidentKind::kOperator;
  Scope scope;
  Micros opened = 0;
  Micros closed = kNever;
  bool in_force = false;
  std::set<uint64_t> running_changes;  // open when the incident was opened
};

struct RequestRecord {
  ChangeKind kind = ChangeKind::kReload;
  Scope scope;
  uint64_t undoes = 0;
  Micros sent = 0;
};

class HistoryChecker {
 public:
  explicit HistoryChecker(const HistoryFacts& facts) : facts_(facts) {}

  void Add(const Observation& observation) {
    now_ = observation.at;
    CheckOverdueRequests();
    switch (observation.what) {
      case Observation::What::kEpochGranted: {
        const auto [at, fresh] = owners_.try_emplace(observation.epoch, observation.task, observation.who);
        if (!fresh && at->second != std::pair(observation.task, observation.who)) {
          ReportViolation(1, "epoch " + std::to_string(observation.epoch) + " of " + observation.task +
                                 " was granted to " + observation.who.name + " after it was granted to " +
                                 at->second.second.name + " for " + at->second.first);
        }
        break;
      }
      case Observation::What::kActAccepted: {
        uint64_t& highest = highest_accepted_[{observation.place, observation.task}];
        if (observation.epoch < highest) {
          ReportViolation(1, observation.place + " accepted epoch " + std::to_string(observation.epoch) +
                                 " of " + observation.task + " after " + std::to_string(highest));
        }
        highest = std::max(highest, observation.epoch);
        break;
      }
      case Observation::What::kActFenced:
        fenced_.insert(observation.act);
        if (effects_.contains(observation.act))
          ReportViolation(2, "act " + std::to_string(observation.act) + " had an effect, and was fenced");
        break;
      case Observation::What::kActHadEffect:
        effects_.insert(observation.act);
        if (fenced_.contains(observation.act)) {
          ReportViolation(2, "act " + std::to_string(observation.act) + " was fenced, and has an effect at " +
                                 observation.place);
        }
        break;
      case Observation::What::kChangeBegan:
        ChangeBegan(observation);
        break;
      case Observation::What::kChangeEnded:
        ChangeEnded(observation);
        break;
      case Observation::What::kChangeLeaseHeld: {
        ChangeRecord& change = changes_[observation.change];
        change.lease_held_until = std::max(change.lease_held_until, observation.until);
        CheckLeaseExpiry(observation.change, change);
        break;
      }
      case Observation::What::kStepBegan:
        StepBegan(observation);
        break;
      case Observation::What::kStepEnded:
        running_steps_.erase({observation.change, observation.place});
        break;
      case Observation::What::kIncidentOpened: {
        IncidentRecord& incident = incidents_[observation.incident];
        incident = {observation.incident_kind, observation.scope, now_, kNever, false, {}};
        for (const uint64_t id : open_changes_) incident.running_changes.insert(id);
        break;
      }
      case Observation::What::kIncidentEnforced:
        incidents_[observation.incident].in_force = true;
        break;
      case Observation::What::kIncidentEnded:
        incidents_[observation.incident].closed = now_;
        break;
      case Observation::What::kEmergencyOverride:
        for (const auto& [id, incident] : incidents_) {
          if (incident.closed == kNever) changes_[observation.change].overridden_incidents.insert(id);
        }
        break;
      case Observation::What::kEmergency: {
        const auto& kinds = facts_.rules.emergency_kinds;
        if (std::find(kinds.begin(), kinds.end(), observation.change_kind) == kinds.end()) {
          ReportViolation(
              3, std::string("a change of a kind that is no emergency began without the coordinators: ") +
                     NameOf(observation.change_kind) + " at " + observation.place);
        }
        unrecorded_emergencies_.insert({observation.place, observation.number});
        break;
      }
      case Observation::What::kEmergencyOnRecord:
        unrecorded_emergencies_.erase({observation.place, observation.number});
        break;
      case Observation::What::kRequestSent:
        pending_requests_.try_emplace(
            {observation.place, observation.number},
            RequestRecord{observation.change_kind, observation.scope, observation.undoes, now_});
        break;
      case Observation::What::kRequestAnswered:
        Answered(observation);
        pending_requests_.erase({observation.place, observation.number});
        break;
      case Observation::What::kRequestDropped:
        pending_requests_.erase({observation.place, observation.number});
        break;
      case Observation::What::kMajorityAvailable:
        majority_since_ = observation.up ? now_ : kNever;
        break;
    }
  }

  std::vector<Violation> Finish() {
    if (facts_.complete) {
      for (const uint64_t id : open_changes_)
        ReportViolation(4, "change " + std::to_string(id) + " never ended");
      for (const auto& [place, number] : unrecorded_emergencies_) {
        ReportViolation(3, "emergency " + std::to_string(number) + " of " + place + " is not on record");
      }
    }
    return std::move(violations_);
  }

 private:
  void ReportViolation(int invariant, std::string what) {
    if (violations_.size() < kMaxViolations) violations_.push_back({invariant, now_, std::move(what)});
  }

  // Evaluates the table of the settings, independently of the freeze module.
  bool Forbidden(const IncidentRecord& incident, ChangeKind kind, const Scope& scope) const {
    const bool same_scope = scope == incident.scope && scope.kind != Scope::Kind::kSite;
    for (const ChangeKind remedial : facts_.rules.remedial_kinds) {
      if (same_scope && remedial == kind) return false;
    }
    for (const freeze::TableRow& row : facts_.rules.table) {
      const bool fits =
          (!row.incident || *row.incident == incident.kind) && (!row.change || *row.change == kind);
      if (!fits) continue;
      if (row.reach == freeze::Reach::kNowhere) return false;
      return row.reach == freeze::Reach::kEverywhere || Overlap(scope, incident.scope);
    }
    return Overlap(scope, incident.scope);
  }

  void ChangeBegan(const Observation& observation) {
    if (changes_.contains(observation.change))
      ReportViolation(4, "change " + std::to_string(observation.change) + " began twice");
    for (const uint64_t id : open_changes_) {
      if (Overlap(changes_[id].scope, observation.scope)) {
        ReportViolation(4, "change " + std::to_string(observation.change) + " (" + TextOf(observation.scope) +
                               ") began with change " + std::to_string(id) + " (" +
                               TextOf(changes_[id].scope) + ") open");
      }
    }
    changes_[observation.change] = {
        observation.change_kind, observation.scope, observation.undoes, now_, kNever, {}, false, 0};
    open_changes_.insert(observation.change);
  }

  void ChangeEnded(const Observation& observation) {
    const auto found = changes_.find(observation.change);
    if (found == changes_.end()) {
      ReportViolation(4, "change " + std::to_string(observation.change) + " ended but never began");
    } else if (found->second.ended != kNever) {
      ReportViolation(4, "change " + std::to_string(observation.change) + " ended twice");
    } else {
      found->second.ended = now_;
      found->second.lease_expired = observation.error == owner::Error::kLeaseOver;
      open_changes_.erase(observation.change);
      CheckLeaseExpiry(observation.change, found->second);
    }
  }

  // If a lease is declared expired while its holder still relies on it, two changes can run at the same time.
  void CheckLeaseExpiry(uint64_t id, const ChangeRecord& change) {
    if (!change.lease_expired || change.lease_held_until <= change.ended) return;
    ReportViolation(
        4, "change " + std::to_string(id) + " was declared expired before its holder's lease expired");
  }

  void StepBegan(const Observation& observation) {
    const auto found = changes_.find(observation.change);
    const std::string name = "a step of change " + std::to_string(observation.change);
    if (found == changes_.end() || found->second.ended != kNever) {
      ReportViolation(4, name + " began, and the change is not open");
      return;
    }
    const ChangeRecord& change = found->second;
    for (const auto& [id, place] : running_steps_) {
      if (id == observation.change) {
        ReportViolation(4, name + " began at " + observation.place + " with another one running at " + place);
      } else if (Overlap(changes_[id].scope, change.scope)) {
        ReportViolation(4, name + " began with one of change " + std::to_string(id) + " running at " + place);
      }
    }
    for (const auto& [id, incident] : incidents_) {
      if (!incident.in_force || incident.closed != kNever || change.overridden_incidents.contains(id))
        continue;
      if (observation.undoing && incident.running_changes.contains(observation.change)) continue;
      if (change.undoes != 0 && incident.running_changes.contains(change.undoes)) continue;
      if (Forbidden(incident, change.kind, change.scope)) {
        ReportViolation(3, name + " (" + NameOf(change.kind) + ", " + TextOf(change.scope) +
                               ") began after the freeze of incident " + std::to_string(id) + " (" +
                               TextOf(incident.scope) + ")");
      }
    }
    running_steps_.insert({observation.change, observation.place});
  }

  // The reason of a refusal must have held at some time since the request was sent.
  void Answered(const Observation& observation) {
    const auto found = pending_requests_.find({observation.place, observation.number});
    if (found == pending_requests_.end()) return;
    const RequestRecord& request = found->second;
    bool reason = true;
    if (observation.error == owner::Error::kConflict) {
      reason = std::any_of(changes_.begin(), changes_.end(), [&](const auto& one) {
        return one.second.ended >= request.sent && Overlap(one.second.scope, request.scope);
      });
    } else if (observation.error == owner::Error::kFrozen) {
      reason = std::any_of(incidents_.begin(), incidents_.end(), [&](const auto& one) {
        return one.second.closed >= request.sent && Forbidden(one.second, request.kind, request.scope);
      });
    }
    if (!reason) {
      ReportViolation(4, "request " + std::to_string(observation.number) + " of " + observation.place +
                             " was refused as " + NameOf(observation.error) + " without cause");
    }
  }

  void CheckOverdueRequests() {
    if (majority_since_ == kNever) return;
    for (auto at = pending_requests_.begin(); at != pending_requests_.end();) {
      if (now_ - std::max(at->second.sent, majority_since_) <= facts_.answer_timeout) {
        ++at;
        continue;
      }
      ReportViolation(4, "request " + std::to_string(at->first.second) + " of " + at->first.first +
                             " has no answer although a majority is available");
      at = pending_requests_.erase(at);
    }
  }

  const HistoryFacts& facts_;
  Micros now_ = 0;
  Micros majority_since_ = 0;
  std::vector<Violation> violations_;
  std::map<uint64_t, std::pair<std::string, owner::ProcessId>> owners_;  // by epoch
  std::map<std::pair<std::string, std::string>, uint64_t> highest_accepted_;
  std::set<uint64_t> fenced_;   // acts
  std::set<uint64_t> effects_;  // acts
  std::map<uint64_t, ChangeRecord> changes_;
  std::set<uint64_t> open_changes_;
  std::set<std::pair<uint64_t, std::string>> running_steps_;  // change, place
  std::map<uint64_t, IncidentRecord> incidents_;
  std::set<std::pair<std::string, uint64_t>> unrecorded_emergencies_;
  std::map<std::pair<std::string, uint64_t>, RequestRecord> pending_requests_;
};

}  // namespace

std::vector<Violation> CheckHistory(const std::vector<Observation>& history, const HistoryFacts& facts) {
  HistoryChecker checker(facts);
  for (const Observation& observation : history) checker.Add(observation);
  return checker.Finish();
}

}  // namespace burlfall::lab
