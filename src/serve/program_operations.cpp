// Operator calls: taking nodes out of service and back, manual drains, reloads.
#include <algorithm>
#include <cstdlib>
#include <utility>

#include "serve/paths.h"
#include "serve/program.h"

namespace burlfall {

// Nodes that were out of service when an earlier process ended remain so.
void Program::LoadOutFile() {
  const std::string path = OutFilePath(config_);
  if (path.empty()) return;
  const std::optional<std::string> text = machine_.files().Read(path);
  if (!text) return;  // no node was ever out of service
  const std::optional<std::vector<OutHost>> out = ReadOutFile(*text);
  if (!out) {
    log_.Emit<"out_file_refused">(path);
    return;
  }
  if (out->empty()) return;
  for (const OutHost& host : *out) hosts_.TakeOutUnlisted(host.name, host.since);
  log_.Emit<"nodes_kept_out">(out->size());
}

// Returns false if the file can't be written. Without a file the state lasts as long as this process, which
// is not an error.
bool Program::SaveOutFile(const std::vector<OutHost>& out) {
  const std::string path = OutFilePath(config_);
  std::string why;
  if (path.empty() || machine_.files().Replace(path, WriteOutFile(out), why)) return out_file_current_ = true;
  log_.Emit<"out_file_error">(path, why);
  return false;
}

// Writes the file again if that failed when a node was put back; otherwise the node would be out of service
// again after the next start.
void Program::RetrySaveOutFile() {
  const std::string path = OutFilePath(config_);
  std::string why;
  if (out_file_current_ || !machine_.files().Replace(path, WriteOutFile(hosts_.Out()), why)) return;
  out_file_current_ = true;
  log_.Emit<"out_file_written">(path);
}

// The time of a call made here: later than that of any other call about the node that this process knows of,
// whatever process it was made at.
Micros Program::NextCallTime(std::string_view server) {
  return std::max(machine_.Now(), hosts_.CalledAt(server) + 1);
}

bool Program::OutFileAgrees() {
  const std::string path = OutFilePath(config_);
  if (path.empty()) return true;
  const std::optional<std::string> text = machine_.files().Read(path);
  return text ? *text == WriteOutFile(hosts_.Out()) : hosts_.Out().empty();
}

void Program::OnHostsChanged() {
  upstream_.CloseStaleIdle();
  dispatcher_.OnList(hosts_.Snapshot());
}

Verdict Program::TakeOut(std::string_view server) {
  if (phase_ == Phase::kStarting) return Verdict::kNotNow;
  if (!hosts_.Knows(server)) return Verdict::kUnknown;
  const Micros now = NextCallTime(server);
  if (!hosts_.IsOut(server)) {
    std::vector<OutHost> out = hosts_.Out();
    out.push_back({std::string(server), now});
    if (!SaveOutFile(out)) return Verdict::kFailed;
    hosts_.TakeOut(server, now);
    OnHostsChanged();
    log_.Emit<"node_out">(server, out.size());
  } else {
    hosts_.TakeOut(server, now);  // still out since the first call
  }
  if (handover_) handover_->SendTakenOut({std::string(server), now});
  return Verdict::kDone;
}

Verdict Program::PutBack(std::string_view server) {
  if (phase_ == Phase::kStarting) return Verdict::kNotNow;
  if (!hosts_.Knows(server)) return Verdict::kUnknown;
  const Micros now = NextCallTime(server);
  const bool was_out = hosts_.IsOut(server);
  hosts_.PutBack(server, now);
  if (was_out) {
    const std::vector<OutHost> out = hosts_.Out();
    out_file_current_ = SaveOutFile(out);  // a full disk must not keep a healthy node out of service
    OnHostsChanged();
    log_.Emit<"node_back">(server, out.size());
  }
  if (handover_) handover_->SendPutBack({std::string(server), now});
  return Verdict::kDone;
}

Verdict Program::StartManualDrain() {
  if (phase_ == Phase::kStarting) return Verdict::kNotNow;
  SetManualDrain(true);
  if (handover_ && (Serving() || phase_ == Phase::kHandedOver)) handover_->SendDrain(true);
  return Verdict::kDone;  // a process that shuts down drains as well
}

Verdict Program::StopManualDrain() {
  SetManualDrain(false);
  if (handover_ && (Serving() || phase_ == Phase::kHandedOver)) handover_->SendDrain(false);
  return phase_ == Phase::kServing || phase_ == Phase::kHandedOver ? Verdict::kDone : Verdict::kNotNow;
}

// Without a coordinator group each balancer decides by itself.
Task<ChangePermission> Program::RequestPermission(ChangeCall call) {
  using What = ChangeCall::What;
  if (!council_ || phase_ == Phase::kStarting) co_return ChangePermission();
  freeze::Scope scope = freeze::Scope::Balancer(config_.name, cluster_ ? cluster_->zone : "");
  freeze::ChangeKind kind =
      call.what == What::kStartDrain ? freeze::ChangeKind::kDrain : freeze::ChangeKind::kUndrain;
  if (call.what == What::kTakeOut || call.what == What::kPutBack) {
    const bool out = call.what == What::kTakeOut;
    // A node that is already in the requested state, or is unknown, needs no permission.
    if (!hosts_.Knows(call.server) || hosts_.IsOut(call.server) == out) co_return ChangePermission();
    kind = out ? freeze::ChangeKind::kNodeOut : freeze::ChangeKind::kNodeBack;
    scope = freeze::Scope::Node(call.server, "", "");
    for (const HostRecord& host : hosts_.Records()) {
      if (host.name != call.server) continue;
      scope = freeze::Scope::Node(call.server, std::to_string(host.zone), std::to_string(host.kind));
    }
  } else if ((phase_ == Phase::kDrainedManually) == (call.what == What::kStartDrain)) {
    co_return ChangePermission();
  }
  co_return co_await RequestChange(kind, scope, std::move(call.by), std::move(call.reason));
}

Task<ChangePermission> Program::RequestReload() {
  if (!council_) co_return ChangePermission();
  co_return co_await RequestChange(freeze::ChangeKind::kReload,
                                   freeze::Scope::Balancer(config_.name, cluster_ ? cluster_->zone : ""), "",
                                   "");
}

Task<ChangePermission> Program::RequestChange(freeze::ChangeKind kind, freeze::Scope scope, std::string by,
                                              std::string reason) {
  const CoordinatorMember::Permission permission =
      co_await council_->RequestPermission(kind, std::move(scope), std::move(by), std::move(reason));
  ChangePermission leave;
  leave.granted = permission.error == owner::Error::kNone;
  leave.change = permission.change;
  leave.epoch = permission.epoch;
  leave.retry = permission.retry;
  if (leave.granted) co_return leave;
  leave.why = std::string(owner::NameOf(permission.error)) + ": " + owner::WhatToDo(permission.error);
  if (!permission.text.empty()) leave.why += " " + permission.text;
  if (permission.retry > 0)
    leave.why += "; ask again in " + std::to_string(permission.retry / kSecond) + " s";
  co_return leave;
}

Task<> Program::ReleasePermission(ChangePermission leave) {
  if (!council_ || leave.change == 0) co_return;
  CoordinatorMember::Permission permission;
  permission.change = leave.change;
  permission.epoch = leave.epoch;
  co_await council_->ReportDone(permission);
}

// After a hand-over the state is stored for the case that this process takes the listener back.
void Program::SetManualDrain(bool drained) {
  Phase& phase = phase_ == Phase::kHandedOver ? phase_before_handover_ : phase_;
  if (phase != (drained ? Phase::kServing : Phase::kDrainedManually)) return;
  phase = drained ? Phase::kDrainedManually : Phase::kServing;
  if (drained) {
    manual_drain_since_ = machine_.Now();
    log_.Emit<"drained">(front_.open());
    front_.DrainManually();
  } else {
    log_.Emit<"back_to_work">((machine_.Now() - manual_drain_since_) / kMs);
    front_.EndManualDrain();
  }
  phase_event_.Notify();
}

}  // namespace burlfall
