// The program's side of a hand-over: state taken from its predecessor and passed to its successor.
#include <algorithm>
#include <cstdlib>
#include <utility>

#include "serve/paths.h"
#include "serve/program.h"

namespace burlfall {
namespace {

// Between the clocks of two processes. Beyond it their times can't be compared.
constexpr Micros kMaxClockDifference = 1 * kSecond;

}  // namespace

// Continues from the predecessor's state. Returns false if none of it can be used.
bool Program::TakeOver(const HandoverState& estate) {
  if (!hosts_.Restore(estate.hosts, estate.list)) {
    log_.Emit<"handover_refused">("nodes that can't be");
    return false;
  }
  if (list_saver_) ReadSavedLists();
  list_log_.emplace(machine_.scheduler(), hosts_, log_);
  log_.Emit<"taken_over">(estate.hosts.size(), hosts_.Out().size(), estate.dispatcher.queries.size());
  std::string why;
  if (estate.settings != config_.settings_json) {
    why = "other settings";
  } else if (std::abs(machine_.Now() - estate.dispatcher.saved_at) > kMaxClockDifference) {
    why = "a clock that differs";
  } else if (!dispatcher_.ImportState(estate.dispatcher)) {
    why = "a state of another format";
  }
  if (!why.empty()) log_.Emit<"state_refused">(why);
  // The predecessor may have failed to write the out file, for example because the disk was full.
  out_file_current_ = OutFileAgrees();
  return true;
}

std::optional<HandoverState> Program::ReleaseListener(std::string& why) {
  std::optional<HandoverState> estate;
  if (!Serving() && phase_ != Phase::kDraining) {
    why = "a claim to a process that does not serve";
    return estate;
  }
  front_.StopAccepting();
  estate.emplace();
  estate->settings = config_.settings_json;
  estate->drained_manually = phase_ == Phase::kDrainedManually;
  estate->drained_since = manual_drain_since_;
  estate->list = hosts_.version();
  estate->hosts = hosts_.Records();
  estate->dispatcher = dispatcher_.ExportState();
  return estate;
}

void Program::KeepListener() {
  if (!Serving() && phase_ != Phase::kDraining) return;
  if (front_.StartAccepting())
    log_.Emit<"door_kept">();  // KeepListener() may be called twice for one successor
}

void Program::OnSuccessorServing() {
  // A process that is closing continues to close, and so can't take back a listener that it no longer has.
  if (phase_ != Phase::kClosing) {
    phase_before_handover_ = phase_;
    phase_ = Phase::kHandedOver;
  }
  UpdateMemoryBudgets();
  log_.Emit<"handed_over">(front_.open(), dispatcher_.open());
  front_.StopAccepting();
  member_.reset();  // without an announcement: the successor continues as the same member
  if (council_) {   // likewise; the successor now uses its disk and its address
    council_->ShutDown();
    retired_councils_.push_back(std::move(council_));
  }
  hosts_.ExcludeCold(true, machine_.Now());
  OnHostsChanged();
  upstream_.CloseAllIdle();
  SendUse();
  front_.HandOverLinks([this](Stream& stream, const HandedOverLink& link) {
    const Io passed = handover_->Pass(stream, {link.had_query, link.query_began_at, link.buffered});
    successor_accepts_links_ = passed != Io::kLater;
    return passed;
  });
  phase_event_.Notify();
}

void Program::OnLinksConfirmed() { phase_event_.Notify(); }

void Program::OnSuccessorLost() {
  if (phase_ != Phase::kHandedOver) return;
  log_.Emit<"taken_back">(handover_->links_lost());
  phase_ = phase_before_handover_;
  UpdateMemoryBudgets();
  front_.HandOverLinks(nullptr);
  front_.StartAccepting();
  Join();
  hosts_.ExcludeCold(false, machine_.Now());
  OnHostsChanged();
  if (shutdown_requested_at_) Drain();
  phase_event_.Notify();
}

void Program::OnSuccessorExited() {
  if (phase_ != Phase::kHandedOver) return;
  phase_ = Phase::kClosing;
  front_.HandOverLinks(nullptr);
  phase_event_.Notify();
}

void Program::ReceiveLink(std::unique_ptr<Stream> stream, PassedLink link) {
  front_.AdoptLink(std::move(stream), {link.has_queried, link.query_began, std::move(link.read)});
}

void Program::OnPeerUse(const ResourceUse& use) {
  const bool first = other_use_.descriptors == 0 && use.descriptors > 0;
  other_use_ = use;
  UpdateDescriptorLimits();
  UpdateMemoryBudgets();
  if (!first) return;
  log_.Emit<"two_processes">(use.descriptors, use.memory_kb, budget_.open() + LinkBudget::kSpareDescriptors,
                             machine_.ResidentBytes() / 1024, descriptors());
}

void Program::SendUse() {
  handover_->SendUse({budget_.open() + LinkBudget::kSpareDescriptors, machine_.ResidentBytes() / 1024});
}

// Where calls at two processes cross, the later one holds at both. Forwarded, because a third process may be
// running; forwarding ends at a process that knows of this call or of a later one.
void Program::OnPeerTookOut(const NodeChange& call) {
  if (call.since <= hosts_.CalledAt(call.name)) return;
  const bool was_out = hosts_.IsOut(call.name);
  hosts_.TakeOutUnlisted(call.name, call.since);  // the list of this process may not name it yet
  handover_->SendTakenOut(call);
  if (was_out) return;
  OnPeerCall();
  log_.Emit<"node_out">(call.name, hosts_.Out().size());
}

void Program::OnPeerPutBack(const NodeChange& call) {
  if (!hosts_.Knows(call.name) || call.since <= hosts_.CalledAt(call.name)) return;
  const bool was_out = hosts_.IsOut(call.name);
  hosts_.PutBack(call.name, call.since);
  handover_->SendPutBack(call);
  if (!was_out) return;
  OnPeerCall();
  log_.Emit<"node_back">(call.name, hosts_.Out().size());
}

// The other process wrote the file, perhaps without a call that was made here at the same moment.
void Program::OnPeerCall() {
  OnHostsChanged();
  out_file_current_ = OutFileAgrees();
  RetrySaveOutFile();
}

void Program::OnPeerBegan(const std::vector<uint64_t>& ids) {
  for (uint64_t id : ids) dispatcher_.request_ids().Keep(id);
}

void Program::OnPeerDrain(bool drains) { SetManualDrain(drains); }

}  // namespace burlfall
