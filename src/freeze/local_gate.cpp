#include "freeze/local_gate.h"

#include <algorithm>

#include "freeze/bytes.h"

namespace burlfall::freeze {
namespace {

constexpr std::string_view kFileTag = "bffl";

}  // namespace

LocalGate::Answer LocalGate::Ask(ChangeKind kind, const Scope& scope, const std::string& by,
                                 const std::string& reason, const std::vector<std::string>& missing) {
  Answer answer;
  answer.missing = missing;
  answer.retry_after = rules_.retry_after;
  const bool emergency = std::find(rules_.emergency_kinds.begin(), rules_.emergency_kinds.end(), kind) !=
                         rules_.emergency_kinds.end();
  if (!emergency) {
    answer.error = Error::kNoMajority;
  } else if (by.empty() || reason.empty() || by.size() > owner::kMaxNameSize ||
             reason.size() > owner::kMaxReasonSize) {
    answer.error = Error::kMalformed;
  } else if (records_.size() >= rules_.max_local_emergencies) {
    answer.error = Error::kTooMany;
  } else {
    records_.push_back({++last_number_, kind, scope, by, reason, self_.incarnation});
    answer.number = last_number_;
    answer.retry_after = 0;
  }
  answer.what_to_do = owner::WhatToDo(answer.error);
  return answer;
}

std::vector<Command> LocalGate::Unconfirmed() const {
  if (records_.empty()) return {};
  const Record& record = records_.front();
  Command command;
  command.kind = Command::Kind::kRecordEmergency;
  command.who = {self_.name, record.incarnation};
  command.number = record.number;
  command.change_kind = record.kind;
  command.scope = record.scope;
  command.by = record.by;
  command.reason = record.reason;
  return {command};
}

void LocalGate::OnApplied(const Effect& effect) {
  if (effect.what != Effect::What::kEmergencyRecorded || effect.who.name != self_.name) return;
  while (!records_.empty() && records_.front().incarnation == effect.who.incarnation &&
         records_.front().number <= effect.number) {
    records_.pop_front();
  }
}

std::string LocalGate::Save() const {
  owner::Writer to;
  to.Number(last_number_).Number(records_.size());
  for (const Record& record : records_) {
    to.Number(record.number).EnumValue(record.kind);
    Put(to, record.scope);
    to.Text(record.by).Text(record.reason).Number(record.incarnation);
  }
  return to.Finish(kFileTag);
}

bool LocalGate::Load(std::string_view bytes) {
  owner::Reader from(bytes, kFileTag, 2 + 9 * kMaxHistory);
  const uint64_t last_number = from.Number();
  std::deque<Record> records;
  const size_t count = from.Count(kMaxHistory);
  for (size_t i = 0; i < count && from.ok(); ++i) {
    Record record;
    record.number = from.Number(last_number);
    record.kind = from.EnumValue(ChangeKind::kVoters);
    record.scope = ReadScope(from);
    record.by = from.Text(owner::kMaxNameSize);
    record.reason = from.Text(owner::kMaxReasonSize);
    record.incarnation = from.Number();
    records.push_back(std::move(record));
  }
  if (!from.Done()) return false;
  last_number_ = last_number;
  records_ = std::move(records);
  return true;
}

}  // namespace burlfall::freeze
