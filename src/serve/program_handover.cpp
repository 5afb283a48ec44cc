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
bool Program::TakeOver(const Estate& estate) {
  if (!hosts_.TakeOver(estate.hosts, estate.list)) {
    log_.Emit<"handover_refused">("nodes that can't be");
    return false;
  }
  if (keeper_) FindSavedList();
  list_log_.emplace(machine_.scheduler(), hosts_, log_);
  log_.Emit<"taken_over">(estate.hosts.size(), hosts_.Out().size(), estate.carried.queries.size());
  std::string why;
  if (estate.settings != config_.settings_json) {
    why = "other settings";
  } else if (std::abs(machine_.Now() - estate.carried.saved_at) > kClocksApart) {
    why = "a clock that differs";
  } else if (!dispatcher_.ImportState(estate.carried)) {
    why = "a state of another format";
  }
  if (!why.empty()) log_.Emit<"state_refused">(why);
  // The process before may have found no room to say who is out.
  const std::string path = OutPath(config_);
  const std::optional<std::string> text = path.empty() ? std::nullopt : machine_.files().Read(path);
  out_kept_ = path.empty() || (text ? *text == WriteOutFile(hosts_.Out()) : hosts_.Out().empty());
  return true;
}

std::optional<Estate> Program::GiveUpDoor(std::string& why) {
  std::optional<Estate> estate;
  if (!Serving() && phase_ != Phase::kDraining) {
    why = "a claim to a process that does not serve";
    return estate;
  }
  front_.StopAccepting();
  estate.emplace();
  estate->settings = config_.settings_json;
  estate->aside = phase_ == Phase::kAside;
  estate->aside_since = aside_since_;
  estate->list = hosts_.version();
  estate->hosts = hosts_.Records();
  estate->carried = dispatcher_.ExportState();
  return estate;
}

void Program::KeepDoor() {
  if (!Serving() && phase_ != Phase::kDraining) return;
  if (front_.StartAccepting()) log_.Emit<"door_kept">();  // an heir that came no further may be told of twice
}

void Program::HandOn() {
  // One that closes goes on closing. Guards against taking back a door that it has not any more.
  if (phase_ != Phase::kClosing) {
    before_hand_on_ = phase_;
    phase_ = Phase::kHandedOver;
  }
  log_.Emit<"handed_over">(front_.open(), dispatcher_.open());
  front_.StopAccepting();
  member_.reset();  // without a word: the heir goes on in its place, and nobody misses it
  if (council_) {   // likewise; its disk and its address are the heir's
    council_->Shut();
    councils_before_.push_back(std::move(council_));
  }
  hosts_.LeaveCold(true, machine_.Now());
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

void Program::HeirTold() { moved_.Notify(); }

void Program::TakeBack() {
  if (phase_ != Phase::kHandedOver) return;
  log_.Emit<"taken_back">(handover_->links_lost());
  phase_ = before_hand_on_;
  front_.HandOverLinks(nullptr);
  front_.StartAccepting();
  Join();
  hosts_.LeaveCold(false, machine_.Now());
  HostsChanged();
  if (told_to_end_at_) Drain();
  moved_.Notify();
}

void Program::LastOwner() {
  if (phase_ != Phase::kHandedOver) return;
  phase_ = Phase::kClosing;
  front_.HandOverLinks(nullptr);
  moved_.Notify();
}

void Program::TakeLink(std::unique_ptr<Stream> stream, PassedLink link) {
  front_.AdoptLink(std::move(stream), {link.asked, link.began, std::move(link.read)});
}

void Program::OtherUses(const Use& use) {
  const bool first = other_.descriptors == 0 && use.descriptors > 0;
  other_ = use;
  Allow();
  if (!first) return;
  log_.Emit<"two_processes">(use.descriptors, use.memory_kb, budget_.open() + LinkBudget::kSpareDescriptors,
                             machine_.ResidentBytes() / 1024, descriptors());
}

void Program::TellUse() {
  handover_->TellUse({budget_.open() + LinkBudget::kSpareDescriptors, machine_.ResidentBytes() / 1024});
}

// Said on: a third process may be about. It ends where it is known.
void Program::OtherTookOut(const NodeCall& call) {
  if (hosts_.IsOut(call.name) || !hosts_.TakeOut(call.name, call.since)) return;
  HostsChanged();
  handover_->TellOut(call);
  log_.Emit<"node_out">(call.name, hosts_.Out().size());
}

void Program::OtherPutBack(const NodeCall& call) {
  if (!hosts_.IsOut(call.name)) return;
  hosts_.PutBack(call.name, call.since);
  HostsChanged();
  handover_->TellBack(call);
  log_.Emit<"node_back">(call.name, hosts_.Out().size());
}

void Program::OtherDrains(bool drains) { SetAside(drains); }

}  // namespace burlfall
