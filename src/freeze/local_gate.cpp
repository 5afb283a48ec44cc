#include "freeze/local_gate.h"

#include <algorithm>

#include "freeze/bytes.h"

namespace burlfall::freeze {
namespace {

constexpr std::string_view kWhat = "bffl";

}  // namespace

LocalGate::Answer LocalGate::Ask(ChangeKind kind, const Scope& scope, const std::string& by,
                                 const std::string& reason, const std::vector<std::string>& missing) {
  Answer answer;
  answer.missing = missing;
  answer.retry = rules_.ask_again;
  const bool emergency =
      std::find(rules_.emergencies.begin(), rules_.emergencies.end(), kind) != rules_.emergencies.end();
  if (!emergency) {
    answer.error = Error::kNoMajority;
  } else if (by.empty() || reason.empty() || by.size() > owner::kLongestName ||
             reason.size() > owner::kLongestReason) {
    answer.error = Error::kMalformed;
  } else if (records_.size() >= rules_.most_local) {
    answer.error = Error::kTooMany;
  } else {
    records_.push_back({++last_, kind, scope, by, reason, self_.life});
    answer.number = last_;
    answer.retry = 0;
  }
  answer.what_to_do = owner::WhatToDo(answer.error);
  return answer;
}

std::vector<Command> LocalGate::Untold() const {
  if (records_.empty()) return {};
  const Record& record = records_.front();
  Command command;
  command.kind = Command::Kind::kWasDone;
  command.who = {self_.name, record.life};
  command.number = record.number;
  command.change_kind = record.kind;
  command.scope = record.scope;
  command.by = record.by;
  command.reason = record.reason;
  return {command};
}

void LocalGate::Applied(const Effect& effect) {
  if (effect.what != Effect::What::kNoted || effect.who.name != self_.name) return;
  while (!records_.empty() && records_.front().life == effect.who.life &&
         records_.front().number <= effect.number) {
    records_.pop_front();
  }
}

std::string LocalGate::Save() const {
  owner::Writer to;
  to.Number(last_).Number(records_.size());
  for (const Record& record : records_) {
    to.Number(record.number).Name(record.kind);
    Put(to, record.scope);
    to.Text(record.by).Text(record.reason).Number(record.life);
  }
  return to.Finish(kWhat);
}

bool LocalGate::Take(std::string_view bytes) {
  owner::Reader from(bytes, kWhat, 2 + 9 * kMostHistory);
  const uint64_t last = from.Number();
  std::deque<Record> records;
  const size_t count = from.Count(kMostHistory);
  for (size_t i = 0; i < count && from.ok(); ++i) {
    Record record;
    record.number = from.Number(last);
    record.kind = from.Name(ChangeKind::kVoters);
    record.scope = TakeScope(from);
    record.by = from.Text(owner::kLongestName);
    record.reason = from.Text(owner::kLongestReason);
    record.life = from.Number();
    records.push_back(std::move(record));
  }
  if (!from.Done()) return false;
  last_ = last;
  records_ = std::move(records);
  return true;
}

}  // namespace burlfall::freeze
