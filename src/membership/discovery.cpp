#include "membership/discovery.h"

#include <algorithm>
#include <utility>

#include "codec/http.h"
#include "config/platform.h"

namespace burlfall {
namespace {

// A watch that hears nothing for longer than it asked to wait has lost discovery: a machine that was cut off
// gives no sign. The wait is half of the time within which the deployment wants to be asked.
constexpr Micros kLongestWait = 20 * kSecond;
constexpr Micros kAnswerPatience = 1500 * kMs;
constexpr Micros kLeastPause = 150 * kMs;     // a watch goes on if the next call comes within 200 ms
constexpr Micros kCallPatience = 2500 * kMs;  // for a call that does not wait: discovery handles them in turn

}  // namespace

Discovery::Discovery(Machine& machine, const Config& config, Told told)
    : scheduler_(machine.scheduler()),
      network_(machine.network()),
      config_(config),
      told_(std::move(told)),
      asked_(scheduler_) {}

void Discovery::Start() {
  watch_ = Watch();
  watch_.Start();
}

void Discovery::Follow() {
  if (following_) return;
  following_ = true;
  asked_.Notify();
}

// Ends the call at hand, which may wait for long yet. Guards the drain rule: word of a drain comes from the
// new place alone, and the module believes that it is told of all, so it would not ask.
void Discovery::Again() {
  watch_ = Task<>();
  link_.reset();
  following_ = true;
  Start();
}

Task<> Discovery::Watch() {
  const Micros wait = std::min(kLongestWait, std::max(kSecond, config_.settings.must_ask_within / 2));
  uint64_t version = 0;
  bool fresh = true;  // the first call of a watch asks for the whole list, which is answered at once
  while (true) {
    while (!following_) co_await asked_.Wait();
    const Micros called_at = scheduler_.Now();
    std::string path = platform::kHostsPath;
    if (!fresh) path += "?index=" + std::to_string(version) + "&wait=" + std::to_string(wait / kMs);
    std::string why;
    std::optional<HostList> list =
        co_await Ask(std::move(path), fresh ? kCallPatience : wait + kAnswerPatience, why);
    if (list) {
      fresh = false;
      bool news = version != list->version;
      version = list->version;
      told_(&*list, why);
      // Guards discovery, which is shared and slow, against a watch that is answered at once with no news.
      const Micros pause_ends = called_at + kLeastPause;
      while (!news && scheduler_.Now() < pause_ends) co_await asked_.Wait(pause_ends);
    } else {
      fresh = true;
      link_.reset();
      following_ = false;  // before anyone hears of it, who may ask again at once
      told_(nullptr, why);
    }
  }
}

// One call; nothing where it failed, in whatever way: `why` then says how.
Task<std::optional<HostList>> Discovery::Ask(std::string path, Micros patience, std::string& why) {
  const Micros until = scheduler_.Now() + patience;
  std::optional<HostList> none;
  if (!link_ || !link_->Quiet()) {
    link_.reset();
    why = "no connection";
    NoConnection ours;
    link_ = network_.Connect(config_.discovery, ours);
    if (!link_) co_return none;
    // Guards the drain rule where this process stood still: queries that came meanwhile wait in the same line
    // as the word that was told before them.
    link_->GoFirst();
    bool connected = co_await Connected(*link_, std::min(until, scheduler_.Now() + kAnswerPatience));
    if (!connected) co_return none;
  }
  std::string call = "GET " + path + " HTTP/1.1\r\nHost: " + config_.discovery.text + "\r\n\r\n";
  why = "the connection broke";
  bool written = co_await WriteAll(*link_, call, until);
  if (!written) co_return none;
  HttpParser parser(HttpParser::Kind::kResponse);
  std::string in;
  Parsed parsed = Parsed::kMore;
  while (parsed == Parsed::kMore) {
    Io io = link_->Read(in);
    if (io == Io::kSome) {
      parsed = parser.Feed(in);
    } else if (io == Io::kLater) {
      bool notified = co_await link_->Wait(until);
      if (!notified) {
        why = "no answer in time";
        co_return none;
      }
    } else {
      if (io == Io::kBroken || parser.Closed() != Parsed::kDone) co_return none;
      parsed = Parsed::kDone;
    }
  }
  why = "no HTTP answer";
  if (parsed != Parsed::kDone) co_return none;
  HttpMessage answer = parser.Take();
  if (!answer.keep_alive) link_.reset();
  why = "status " + std::to_string(answer.status);
  if (answer.status != 200) co_return none;
  std::optional<HostList> list;
  try {
    list = ParseHostList(answer.body, config_.settings);
  } catch (const BadConfig& e) {  // an answer that can't be read is a call that failed
    why = e.what();
  }
  co_return list;
}

}  // namespace burlfall
