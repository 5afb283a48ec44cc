// Names of the enumerators, as they appear in logs and in the operators' tools.
#include "ejection/state.h"

namespace burlfall::ejection {

const std::string& SenderOf(const Command& command) {
  switch (command.what) {
    case Command::What::kVote:
      return command.vote.balancer;
    case Command::What::kGoodReport:
      return command.good.balancer;
    case Command::What::kOperator:
      return command.who;
    default:
      return command.balancer;
  }
}

bool ActsForOwner(const Command& command) {
  return command.what == Command::What::kHosts || command.what == Command::What::kCount;
}

const char* NameOf(Kind kind) {
  switch (kind) {
    case Kind::kSilent:
      return "silent";
    case Kind::kErrors:
      return "errors";
    case Kind::kSlow:
      return "slow";
    case Kind::kMalformed:
      return "spoilt";
  }
  return "?";
}

const char* NameOf(OperatorAction what) {
  switch (what) {
    case OperatorAction::kEnd:
      return "end";
    case OperatorAction::kForbid:
      return "forbid";
    case OperatorAction::kExtend:
      return "extend";
    case OperatorAction::kAllow:
      return "allow";
  }
  return "?";
}

const char* NameOf(Refusal refusal) {
  switch (refusal) {
    case Refusal::kNone:
      return "none";
    case Refusal::kFenced:
      return "fenced";
    case Refusal::kUnknownHost:
      return "host unknown";
    case Refusal::kUnknownBalancer:
      return "balancer unknown";
    case Refusal::kOtherZone:
      return "another zone";
    case Refusal::kOldIncarnation:
      return "another life";
    case Refusal::kInvalidNumbers:
      return "numbers that can't be";
    case Refusal::kTooMany:
      return "too many";
    case Refusal::kInGrace:
      return "in grace";
    case Refusal::kNotChosenToTry:
      return "not chosen for the trial";
    case Refusal::kNotEjected:
      return "not ejected";
    case Refusal::kTooLong:
      return "too long";
  }
  return "?";
}

const char* AdviceOf(Refusal refusal) {
  switch (refusal) {
    case Refusal::kNone:
      return "nothing to do";
    case Refusal::kFenced:
      return "another owner counts now; nothing to do unless this repeats";
    case Refusal::kUnknownHost:
      return "check that the host is in the group's list, with the same spelling";
    case Refusal::kUnknownBalancer:
      return "check that this balancer is a member and uses the host";
    case Refusal::kOtherZone:
      return "check the zone in this balancer's configuration: the council has another";
    case Refusal::kOldIncarnation:
      return "the host has been restarted, or one list is older; nothing to do";
    case Refusal::kInvalidNumbers:
      return "this balancer sends impossible numbers: take it out of service and keep its log";
    case Refusal::kTooMany:
      return "this balancer sends too many reports: check its network, then its log";
    case Refusal::kInGrace:
      return "the host has just appeared or returned; nothing to do";
    case Refusal::kNotChosenToTry:
      return "nothing to do unless this repeats: then check that balancer's log";
    case Refusal::kNotEjected:
      return "list the ejected hosts with: burlfall council status";
    case Refusal::kTooLong:
      return "take the host out by hand instead; that has no end of its own";
  }
  return "?";
}

const char* NameOf(HoldReason held) {
  switch (held) {
    case HoldReason::kNone:
      return "none";
    case HoldReason::kGroupCap:
      return "cap of the group";
    case HoldReason::kZoneCap:
      return "cap of the zone";
    case HoldReason::kCapacity:
      return "the remaining hosts can't carry the load";
    case HoldReason::kLastOfGroup:
      return "last of its group";
    case HoldReason::kLastOfZone:
      return "last of its zone";
    case HoldReason::kManySuspects:
      return "many at once";
    case HoldReason::kForbidden:
      return "forbidden by an operator";
  }
  return "?";
}

const char* NameOf(ReturnReason return_reason) {
  switch (return_reason) {
    case ReturnReason::kTrialGood:
      return "a good trial";
    case ReturnReason::kNoTrial:
      return "no balancer tried it in time";
    case ReturnReason::kOperator:
      return "an operator";
    case ReturnReason::kByHand:
      return "out by hand";
    case ReturnReason::kNewIncarnation:
      return "a new life";
    case ReturnReason::kLeftGroup:
      return "gone from the group";
    case ReturnReason::kDraining:
      return "it is draining";
    case ReturnReason::kCapReduced:
      return "the caps became smaller";
  }
  return "?";
}

}  // namespace burlfall::ejection
