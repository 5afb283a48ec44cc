// The program's side of a hand-over: what it takes from the process before, and leaves to the next.
#include <algorithm>
#include <cstdlib>
#include <utility>

#include "serve/paths.h"
#include "serve/program.h"

namespace burlfall {
namespace {

constexpr Micros kClocksApart = 1 * kSecond;  // of two processes; beyond it times say nothing

}  // namespace

// Where another left off. False where nothing of it can be used.
bool Program::TakeOver(const HandoverState& estate) {
  if (!hosts_.Restore(estate.hosts, estate.list)) {
    log_.Tell<"handover_refused">("nodes that can't be");
    return false;
  }
  if (keeper_) FindSavedList();
  list_log_.emplace(machine_.scheduler(), hosts_, log_);
  log_.Tell<"taken_over">(estate.hosts.size(), hosts_.Out().size(), estate.dispatcher.queries.size());
  std::string why;
  if (estate.settings != config_.settings_json) {
    why = "other settings";
  } else if (std::abs(machine_.Now() - estate.dispatcher.saved_at) > kClocksApart) {
    why = "a clock that differs";
  } else if (!dispatcher_.ImportState(estate.dispatcher)) {
    why = "a state of another format";
  }
  if (!why.empty()) log_.Tell<"state_refused">(why);
  // The process before may have found no room to say who is out.
  const std::string path = OutPath(config_);
  const std::optional<std::string> text = path.empty() ? std::nullopt : machine_.files().Read(path);
  out_kept_ = path.empty() || (text ? *text == WriteOutFile(hosts_.Out()) : hosts_.Out().empty());
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
  estate->drained_manually = phase_ == Phase::kAside;
  estate->drained_since = aside_since_;
  estate->list = hosts_.version();
  estate->hosts = hosts_.Records();
  estate->dispatcher = dispatcher_.ExportState();
  return estate;
}

void Program::KeepListener() {
  if (!Serving() && phase_ != Phase::kDraining) return;
  if (front_.StartAccepting()) log_.Tell<"door_kept">();  // an heir that came no further may be told of twice
}

void Program::OnSuccessorServing() {
  // One that closes goes on closing. Guards against taking back a door that it has not any more.
  if (phase_ != Phase::kClosing) {
    before_hand_on_ = phase_;
    phase_ = Phase::kHandedOver;
  }
  log_.Tell<"handed_over">(front_.open(), dispatcher_.open());
  front_.StopAccepting();
  member_.reset();  // without a word: the heir goes on in its place, and nobody misses it
  if (council_) {   // likewise; its disk and its address are the heir's
    council_->Shut();
    councils_before_.push_back(std::move(council_));
  }
  hosts_.ExcludeCold(true, machine_.Now());
  HostsChanged();
  upstream_.CloseAllIdle();
  TellUse();
  front_.HandOverLinks([this](Stream& stream, const HandedOverLink& link) {
    const Io passed = handover_->Pass(stream, {link.had_query, link.query_began_at, link.buffered});
    heir_takes_ = passed != Io::kLater;
    return passed;
  });
  moved_.Notify();
}

void Program::OnLinksConfirmed() { moved_.Notify(); }

void Program::OnSuccessorLost() {
  if (phase_ != Phase::kHandedOver) return;
  log_.Tell<"taken_back">(handover_->links_lost());
  phase_ = before_hand_on_;
  front_.HandOverLinks(nullptr);
  front_.StartAccepting();
  Join();
  hosts_.ExcludeCold(false, machine_.Now());
  HostsChanged();
  if (told_to_end_at_) Drain();
  moved_.Notify();
}

void Program::OnSuccessorExited() {
  if (phase_ != Phase::kHandedOver) return;
  phase_ = Phase::kClosing;
  front_.HandOverLinks(nullptr);
  moved_.Notify();
}

void Program::ReceiveLink(std::unique_ptr<Stream> stream, PassedLink link) {
  front_.AdoptLink(std::move(stream), {link.has_queried, link.query_began, std::move(link.read)});
}

void Program::OnPeerUse(const ResourceUse& use) {
  const bool first = other_.descriptors == 0 && use.descriptors > 0;
  other_ = use;
  Allow();
  if (!first) return;
  log_.Tell<"two_processes">(use.descriptors, use.memory_kb, budget_.open() + LinkBudget::kSpareDescriptors,
                             machine_.ResidentBytes() / 1024, descriptors());
}

void Program::TellUse() {
  handover_->SendUse({budget_.open() + LinkBudget::kSpareDescriptors, machine_.ResidentBytes() / 1024});
}

// Said on: a third process may be about. It ends where it is known.
void Program::OnPeerTookOut(const NodeChange& call) {
  if (hosts_.IsOut(call.name) || !hosts_.TakeOut(call.name, call.since)) return;
  HostsChanged();
  handover_->SendTakenOut(call);
  log_.Tell<"node_out">(call.name, hosts_.Out().size());
}

void Program::OnPeerPutBack(const NodeChange& call) {
  if (!hosts_.IsOut(call.name)) return;
  hosts_.PutBack(call.name, call.since);
  HostsChanged();
  handover_->SendPutBack(call);
  log_.Tell<"node_back">(call.name, hosts_.Out().size());
}

void Program::OnPeerDrain(bool drains) { SetAside(drains); }

}  // namespace burlfall
