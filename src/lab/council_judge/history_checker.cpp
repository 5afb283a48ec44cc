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

constexpr size_t kMostBroken = 100;

struct SeenChange {
  ChangeKind kind = ChangeKind::kReload;
  Scope scope;
  uint64_t undoes = 0;
  Micros began = 0;
  Micros ended = kNever;
  std::set<uint64_t> glass;  // incidents that stood as it was broken
  bool called_over = false;
  Micros held_until = 0;
};

struct SeenIncident {
  IncidentKind kind = IncidentKind::kOperator;
  Scope scope;
  Micros stands = 0;
  Micros over = kNever;
  bool yes = false;
  std::set<uint64_t> ran;  // changes
};

struct SeenQuestion {
  ChangeKind kind = ChangeKind::kReload;
  Scope scope;
  uint64_t undoes = 0;
  Micros asked = 0;
};

class Judge {
 public:
  explicit Judge(const CouncilFacts& facts) : facts_(facts) {}

  void Take(const Seen& seen) {
    now_ = seen.at;
    LookForLate();
    switch (seen.what) {
      case Seen::What::kOwned: {
        const auto [at, fresh] = owners_.try_emplace(seen.epoch, seen.work, seen.who);
        if (!fresh && at->second != std::pair(seen.work, seen.who)) {
          Say(1, "epoch " + std::to_string(seen.epoch) + " of " + seen.work + " was given to " +
                     seen.who.name + " and before to " + at->second.second.name + " for " + at->second.first);
        }
        break;
      }
      case Seen::What::kObeyed: {
        uint64_t& highest = obeyed_[{seen.place, seen.work}];
        if (seen.epoch < highest) {
          Say(1, seen.place + " obeyed epoch " + std::to_string(seen.epoch) + " of " + seen.work + " after " +
                     std::to_string(highest));
        }
        highest = std::max(highest, seen.epoch);
        break;
      }
      case Seen::What::kFencedAct:
        fenced_.insert(seen.act);
        if (effects_.contains(seen.act))
          Say(2, "act " + std::to_string(seen.act) + " had an effect, and was fenced");
        break;
      case Seen::What::kHadEffect:
        effects_.insert(seen.act);
        if (fenced_.contains(seen.act)) {
          Say(2, "act " + std::to_string(seen.act) + " was fenced, and has an effect at " + seen.place);
        }
        break;
      case Seen::What::kChangeBegan:
        ChangeBegan(seen);
        break;
      case Seen::What::kChangeEnded:
        ChangeEnded(seen);
        break;
      case Seen::What::kMayGoOn: {
        SeenChange& change = changes_[seen.change];
        change.held_until = std::max(change.held_until, seen.until);
        LookForHeld(seen.change, change);
        break;
      }
      case Seen::What::kStepBegan:
        StepBegan(seen);
        break;
      case Seen::What::kStepEnded:
        under_way_.erase({seen.change, seen.place});
        break;
      case Seen::What::kIncidentStands: {
        SeenIncident& incident = incidents_[seen.incident];
        incident = {seen.incident_kind, seen.scope, now_, kNever, false, {}};
        for (const uint64_t id : open_) incident.ran.insert(id);
        break;
      }
      case Seen::What::kIncidentYes:
        incidents_[seen.incident].yes = true;
        break;
      case Seen::What::kIncidentOver:
        incidents_[seen.incident].over = now_;
        break;
      case Seen::What::kGlass:
        for (const auto& [id, incident] : incidents_) {
          if (incident.over == kNever) changes_[seen.change].glass.insert(id);
        }
        break;
      case Seen::What::kEmergency: {
        const auto& kinds = facts_.rules.emergency_kinds;
        if (std::find(kinds.begin(), kinds.end(), seen.change_kind) == kinds.end()) {
          Say(3, std::string("a change that is no emergency went on without the council: ") +
                     NameOf(seen.change_kind) + " at " + seen.place);
        }
        unnoted_.insert({seen.place, seen.number});
        break;
      }
      case Seen::What::kNoted:
        unnoted_.erase({seen.place, seen.number});
        break;
      case Seen::What::kAsked:
        questions_.try_emplace({seen.place, seen.number},
                               SeenQuestion{seen.change_kind, seen.scope, seen.undoes, now_});
        break;
      case Seen::What::kAnswered:
        Answered(seen);
        questions_.erase({seen.place, seen.number});
        break;
      case Seen::What::kWentAway:
        questions_.erase({seen.place, seen.number});
        break;
      case Seen::What::kMajority:
        up_since_ = seen.up ? now_ : kNever;
        break;
    }
  }

  std::vector<Broken> End() {
    if (facts_.complete) {
      for (const uint64_t id : open_) Say(4, "change " + std::to_string(id) + " has no end");
      for (const auto& [place, number] : unnoted_) {
        Say(3, "emergency " + std::to_string(number) + " of " + place + " is not on record");
      }
    }
    return std::move(broken_);
  }

 private:
  void Say(int invariant, std::string what) {
    if (broken_.size() < kMostBroken) broken_.push_back({invariant, now_, std::move(what)});
  }

  // The table as the settings describe it, read here by itself.
  bool Forbidden(const SeenIncident& incident, ChangeKind kind, const Scope& scope) const {
    const bool about = scope == incident.scope && scope.kind != Scope::Kind::kSite;
    for (const ChangeKind better : facts_.rules.remedial_kinds) {
      if (about && better == kind) return false;
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

  void ChangeBegan(const Seen& seen) {
    if (changes_.contains(seen.change)) Say(4, "change " + std::to_string(seen.change) + " began twice");
    for (const uint64_t id : open_) {
      if (Overlap(changes_[id].scope, seen.scope)) {
        Say(4, "change " + std::to_string(seen.change) + " (" + TextOf(seen.scope) + ") began with change " +
                   std::to_string(id) + " (" + TextOf(changes_[id].scope) + ") open");
      }
    }
    changes_[seen.change] = {seen.change_kind, seen.scope, seen.undoes, now_, kNever, {}, false, 0};
    open_.insert(seen.change);
  }

  void ChangeEnded(const Seen& seen) {
    const auto found = changes_.find(seen.change);
    if (found == changes_.end()) {
      Say(4, "change " + std::to_string(seen.change) + " ended and never began");
    } else if (found->second.ended != kNever) {
      Say(4, "change " + std::to_string(seen.change) + " ended twice");
    } else {
      found->second.ended = now_;
      found->second.called_over = seen.error == owner::Error::kLeaseOver;
      open_.erase(seen.change);
      LookForHeld(seen.change, found->second);
    }
  }

  // A lease that is called over while its holder counts on it lets two changes run together.
  void LookForHeld(uint64_t id, const SeenChange& change) {
    if (!change.called_over || change.held_until <= change.ended) return;
    Say(4, "change " + std::to_string(id) + " was called over before its holder's lease was");
  }

  void StepBegan(const Seen& seen) {
    const auto found = changes_.find(seen.change);
    const std::string name = "a step of change " + std::to_string(seen.change);
    if (found == changes_.end() || found->second.ended != kNever) {
      Say(4, name + " began, and the change is not open");
      return;
    }
    const SeenChange& change = found->second;
    for (const auto& [id, place] : under_way_) {
      if (id == seen.change) {
        Say(4, name + " began at " + seen.place + " with one under way at " + place);
      } else if (Overlap(changes_[id].scope, change.scope)) {
        Say(4, name + " began with one of change " + std::to_string(id) + " under way at " + place);
      }
    }
    for (const auto& [id, incident] : incidents_) {
      if (!incident.yes || incident.over != kNever || change.glass.contains(id)) continue;
      if (seen.undoing && incident.ran.contains(seen.change)) continue;
      if (change.undoes != 0 && incident.ran.contains(change.undoes)) continue;
      if (Forbidden(incident, change.kind, change.scope)) {
        Say(3, name + " (" + NameOf(change.kind) + ", " + TextOf(change.scope) +
                   ") began after the yes to incident " + std::to_string(id) + " (" + TextOf(incident.scope) +
                   ")");
      }
    }
    under_way_.insert({seen.change, seen.place});
  }

  // A refusal names a reason that was there at some time since the question.
  void Answered(const Seen& seen) {
    const auto found = questions_.find({seen.place, seen.number});
    if (found == questions_.end()) return;
    const SeenQuestion& question = found->second;
    bool reason = true;
    if (seen.error == owner::Error::kConflict) {
      reason = std::any_of(changes_.begin(), changes_.end(), [&](const auto& one) {
        return one.second.ended >= question.asked && Overlap(one.second.scope, question.scope);
      });
    } else if (seen.error == owner::Error::kFrozen) {
      reason = std::any_of(incidents_.begin(), incidents_.end(), [&](const auto& one) {
        return one.second.over >= question.asked && Forbidden(one.second, question.kind, question.scope);
      });
    }
    if (!reason) {
      Say(4, "question " + std::to_string(seen.number) + " of " + seen.place + " was refused as " +
                 NameOf(seen.error) + " with nothing against it");
    }
  }

  void LookForLate() {
    if (up_since_ == kNever) return;
    for (auto at = questions_.begin(); at != questions_.end();) {
      if (now_ - std::max(at->second.asked, up_since_) <= facts_.bound) {
        ++at;
        continue;
      }
      Say(4, "question " + std::to_string(at->first.second) + " of " + at->first.first +
                 " has no answer, and a majority is there");
      at = questions_.erase(at);
    }
  }

  const CouncilFacts& facts_;
  Micros now_ = 0;
  Micros up_since_ = 0;
  std::vector<Broken> broken_;
  std::map<uint64_t, std::pair<std::string, owner::ProcessId>> owners_;  // by epoch
  std::map<std::pair<std::string, std::string>, uint64_t> obeyed_;
  std::set<uint64_t> fenced_;   // acts
  std::set<uint64_t> effects_;  // likewise
  std::map<uint64_t, SeenChange> changes_;
  std::set<uint64_t> open_;
  std::set<std::pair<uint64_t, std::string>> under_way_;  // change, place
  std::map<uint64_t, SeenIncident> incidents_;
  std::set<std::pair<std::string, uint64_t>> unnoted_;
  std::map<std::pair<std::string, uint64_t>, SeenQuestion> questions_;
};

}  // namespace

std::vector<Broken> JudgeCouncil(const std::vector<Seen>& history, const CouncilFacts& facts) {
  Judge judge(facts);
  for (const Seen& seen : history) judge.Take(seen);
  return judge.End();
}

}  // namespace burlfall::lab
