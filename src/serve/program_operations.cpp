// What operators tell the program: nodes out and back, drains by hand, reloads.
#include <algorithm>
#include <cstdlib>
#include <utility>

#include "serve/paths.h"
#include "serve/program.h"

namespace burlfall {

// Those that were out when an earlier process ended are out still.
void Program::ReadOut() {
  const std::string path = OutPath(config_);
  if (path.empty()) return;
  const std::optional<std::string> text = machine_.files().Read(path);
  if (!text) return;  // none was ever out
  const std::optional<std::vector<OutHost>> out = ReadOutFile(*text);
  if (!out) {
    log_.Emit<"out_file_refused">(path);
    return;
  }
  if (out->empty()) return;
  for (const OutHost& host : *out) hosts_.TakeOutUnseen(host.name, host.since);
  log_.Emit<"nodes_kept_out">(out->size());
}

// Nothing to keep it in is no failure: it then holds as long as this process.
bool Program::KeepOut(const std::vector<OutHost>& out) {
  const std::string path = OutPath(config_);
  std::string why;
  if (path.empty() || machine_.files().Replace(path, WriteOutFile(out), why)) return out_kept_ = true;
  log_.Emit<"out_file_error">(path, why);
  return false;
}

// A node was put back and the file could not say so: guards it from being out again after the next start.
void Program::KeepOutLate() {
  const std::string path = OutPath(config_);
  std::string why;
  if (out_kept_ || !machine_.files().Replace(path, WriteOutFile(hosts_.Out()), why)) return;
  out_kept_ = true;
  log_.Emit<"out_file_written">(path);
}

void Program::HostsChanged() {
  upstream_.CloseStaleIdle();
  dispatcher_.OnList(hosts_.AsItStands());
}

Verdict Program::TakeOut(std::string_view server) {
  if (phase_ == Phase::kStarting) return Verdict::kNotNow;
  if (hosts_.IsOut(server)) return Verdict::kDone;  // one ban, since the first call
  if (!hosts_.Names(server)) return Verdict::kUnknown;
  std::vector<OutHost> out = hosts_.Out();
  const Micros now = machine_.Now();
  out.push_back({std::string(server), now});
  if (!KeepOut(out)) return Verdict::kFailed;
  hosts_.TakeOut(server, now);
  HostsChanged();
  if (handover_) handover_->TellOut({std::string(server), now});
  log_.Emit<"node_out">(server, out.size());
  return Verdict::kDone;
}

Verdict Program::PutBack(std::string_view server) {
  if (phase_ == Phase::kStarting) return Verdict::kNotNow;
  if (!hosts_.Names(server)) return Verdict::kUnknown;
  if (!hosts_.IsOut(server)) return Verdict::kDone;
  std::vector<OutHost> out = hosts_.Out();
  std::erase_if(out, [&](const OutHost& h) { return h.name == server; });
  out_kept_ = KeepOut(out);  // a full disk must not keep a sound node out
  const Micros now = machine_.Now();
  hosts_.PutBack(server, now);
  HostsChanged();
  if (handover_) handover_->TellBack({std::string(server), now});
  log_.Emit<"node_back">(server, out.size());
  return Verdict::kDone;
}

Verdict Program::StandAside() {
  if (phase_ == Phase::kStarting) return Verdict::kNotNow;
  SetAside(true);
  if (handover_ && (Serving() || phase_ == Phase::kHandedOver)) handover_->TellDrain(true);
  return Verdict::kDone;  // one that ends drains too
}

Verdict Program::ComeBack() {
  SetAside(false);
  if (handover_ && (Serving() || phase_ == Phase::kHandedOver)) handover_->TellDrain(false);
  return phase_ == Phase::kServing || phase_ == Phase::kHandedOver ? Verdict::kDone : Verdict::kNotNow;
}

// Without a council each balancer decides by itself.
Task<Leave> Program::MayBegin(ChangeCall call) {
  using What = ChangeCall::What;
  if (!council_ || phase_ == Phase::kStarting) co_return Leave();
  freeze::Scope scope = freeze::Scope::Balancer(config_.name, cluster_ ? cluster_->zone : "");
  freeze::ChangeKind kind =
      call.what == What::kStandAside ? freeze::ChangeKind::kDrain : freeze::ChangeKind::kUndrain;
  if (call.what == What::kTakeOut || call.what == What::kPutBack) {
    const bool out = call.what == What::kTakeOut;
    // What is so already, or can't be, changes nothing.
    if (!hosts_.Names(call.server) || hosts_.IsOut(call.server) == out) co_return Leave();
    kind = out ? freeze::ChangeKind::kNodeOut : freeze::ChangeKind::kNodeBack;
    scope = freeze::Scope::Node(call.server, "", "");
    for (const HostRecord& host : hosts_.Records()) {
      if (host.name != call.server) continue;
      scope = freeze::Scope::Node(call.server, std::to_string(host.zone), std::to_string(host.kind));
    }
  } else if ((phase_ == Phase::kAside) == (call.what == What::kStandAside)) {
    co_return Leave();
  }
  co_return co_await Leaving(kind, scope, std::move(call.by), std::move(call.reason));
}

Task<Leave> Program::MayReload() {
  if (!council_) co_return Leave();
  co_return co_await Leaving(freeze::ChangeKind::kReload,
                             freeze::Scope::Balancer(config_.name, cluster_ ? cluster_->zone : ""), "", "");
}

Task<Leave> Program::Leaving(freeze::ChangeKind kind, freeze::Scope scope, std::string by,
                             std::string reason) {
  const Council::Permission permission =
      co_await council_->Ask(kind, std::move(scope), std::move(by), std::move(reason));
  Leave leave;
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

Task<> Program::Ended(Leave leave) {
  if (!council_ || leave.change == 0) co_return;
  Council::Permission permission;
  permission.change = leave.change;
  permission.epoch = leave.epoch;
  co_await council_->Done(permission);
}

// One that has handed over keeps it for the case that it takes the door back.
void Program::SetAside(bool aside) {
  Phase& phase = phase_ == Phase::kHandedOver ? before_hand_on_ : phase_;
  if (phase != (aside ? Phase::kServing : Phase::kAside)) return;
  phase = aside ? Phase::kAside : Phase::kServing;
  if (aside) {
    aside_since_ = machine_.Now();
    log_.Emit<"drained">(front_.open());
    front_.DrainManually();
  } else {
    log_.Emit<"back_to_work">((machine_.Now() - aside_since_) / kMs);
    front_.EndManualDrain();
  }
  moved_.Notify();
}

}  // namespace burlfall
