#include "member/member.h"

#include <algorithm>
#include <stdexcept>
#include <system_error>
#include <utility>

#include "cluster/differences.h"
#include "cluster/wire.h"
#include "member/view_text.h"

namespace burlfall {
namespace {

constexpr size_t kMostTaken = 64;  // connections of others at a time; further ones wait to be accepted
constexpr size_t kMostAskers = 8;
constexpr int kDatagramsATurn = 512;           // read before the timers are looked at
constexpr Micros kLinkPatience = 2 * kSecond;  // for the whole of another's call
constexpr Micros kRefreshEvery = 250 * kMs;
constexpr Micros kTellLate = 100 * kMs;  // no room for a connection: look again
constexpr Micros kBehindFor = 3 * kSecond;
constexpr size_t kHistoryLines = 400;
constexpr size_t kPiece = 32 * 1024;  // of an answer on the Unix socket
constexpr size_t kHeadBytes = 4;      // of a frame on a connection: its length

cluster::Rules RulesOf(const ClusterSettings& settings) {
  cluster::Rules rules;
  const auto us = [](double seconds) { return static_cast<Micros>(seconds * static_cast<double>(kSecond)); };
  rules.period = settings.period_ms * kMs;
  rules.patience = rules.period * 3 / 10;
  rules.wait_least = us(settings.wait_s.low);
  rules.wait_most = us(settings.wait_s.high);
  rules.wait_refused = std::min(rules.wait_refused, rules.wait_least);
  rules.forget_dead = us(settings.remember_s);
  rules.most_members = static_cast<size_t>(settings.most_members);
  return rules;
}

// A life's number is later than those of the lives before, as far as the clock on the wall is right; where it
// is not, the others say so, and it takes a later one.
cluster::Identity SelfOf(const ClusterSettings& settings, const std::string& name, Micros wall) {
  return {name.substr(0, cluster::kLongestName),
          settings.told.empty() ? settings.listen : settings.told,
          {static_cast<uint64_t>(std::max<Micros>(wall, 1)), 0}};
}

std::string Framed(const std::string& frame) {
  std::string out;
  for (int byte = 3; byte >= 0; --byte) out += static_cast<char>(frame.size() >> (8 * byte) & 0xff);
  return out += frame;
}

// Reads one frame; empty where it did not come whole. `broken`: the connection was reset.
Task<std::string> ReadFrame(Stream& stream, Micros until, bool& broken) {
  std::string bytes;
  while (true) {
    if (bytes.size() >= kHeadBytes) {
      size_t length = 0;
      for (size_t byte = 0; byte < kHeadBytes; ++byte)
        length = length << 8 | static_cast<unsigned char>(bytes[byte]);
      if (length > cluster::kLargestFrame) co_return "";
      if (bytes.size() >= kHeadBytes + length) co_return bytes.substr(kHeadBytes, length);
    }
    const Io io = stream.Read(bytes);
    broken = io == Io::kBroken;
    if (io == Io::kClosed || io == Io::kBroken) co_return "";
    if (io == Io::kLater && !co_await stream.Wait(until)) co_return "";
  }
}

Address Needed(const std::string& text) {
  const std::optional<Address> address = ReadAddress(text);
  if (!address) throw std::runtime_error(std::string("cluster: no address: ") + text);
  return *address;
}

}  // namespace

ClusterMember::ClusterMember(Machine& machine, const ClusterSettings& settings, Setup setup, Log& log,
                             Counters& counters)
    : machine_(machine),
      settings_(settings),
      setup_(std::move(setup)),
      log_(log),
      counters_(counters),
      listen_(Needed(settings.listen)),
      mind_(RulesOf(settings), SelfOf(settings, setup_.name, machine.WallClock()), settings.seeds,
            machine.Entropy()),
      refresh_(machine.scheduler()),
      room_(machine.scheduler()) {}

ClusterMember::~ClusterMember() = default;

void ClusterMember::Start() {
  opening_ = Open();
  opening_.Start();
}

Task<> ClusterMember::Open() {
  bool told = false;
  while (!socket_) {
    std::string why;
    try {
      auto listener = machine_.network().Listen(listen_);
      socket_ = machine_.network().Bind(listen_);
      listener_ = std::move(listener);
    } catch (const std::system_error& e) {
      why = e.what();
    }
    if (socket_) break;
    if (!std::exchange(told, true)) log_.Tell<"cluster_unavailable">(settings_.listen, why);
    co_await room_.Wait(machine_.Now() + kTellLate);
  }
  mind_.Tell(setup_.facts());
  mind_.Begin(machine_.Now());
  log_.Tell<"cluster_serving">(settings_.site, mind_.self().address);
  if (!setup_.socket.empty()) {
    std::string why;
    asked_ = machine_.network().Await(setup_.socket, why);
    if (asked_) {
      awaiting_ = Await();
      awaiting_.Start();
    } else {
      log_.Tell<"cluster_socket_unavailable">(setup_.socket, why);
    }
  }
  listening_ = Listen();
  listening_.Start();
  accepting_ = Accept();
  accepting_.Start();
  refreshing_ = Refresh();
  refreshing_.Start();
}

void ClusterMember::Leave() {
  if (!socket_) return;
  mind_.Leave(machine_.Now());
  Settle();
}

// ---- Datagrams -------------------------------------------------------------------------------------------

// What has come is heard before any timer: of a process that stood still, much has.
bool ClusterMember::TakeDatagrams() {
  std::string bytes;
  Address from;
  for (int i = 0; i < kDatagramsATurn; ++i) {
    if (socket_->Receive(bytes, from) != Io::kSome) return true;
    ++counters_.cluster_in;
    const cluster::ReadMessage read = cluster::Read(bytes, settings_.site);
    if (read.message) {
      mind_.Heard(machine_.Now(), *read.message);
    } else {
      mind_.Dropped(read.why, from.text);
    }
    Settle();
  }
  return false;
}

Task<> ClusterMember::Listen() {
  while (true) {
    Bury();
    const bool all = TakeDatagrams();
    if (all && machine_.Now() >= mind_.next_at()) {
      mind_.Tick(machine_.Now());
      Settle();
    }
    co_await socket_->Wait(all ? mind_.next_at() : machine_.Now());
  }
}

void ClusterMember::Settle() {
  for (const cluster::Outgoing& out : mind_.TakeOutgoing()) {
    const std::optional<Address> to = ReadAddress(out.to);
    if (!to) continue;
    const std::string frame = cluster::Write(out.message, settings_.site);
    if (socket_->Send(*to, frame) == Io::kSome) ++counters_.cluster_out;
    counters_.cluster_bytes_out += frame.size();
  }
  for (cluster::Call& call : mind_.TakeCalls()) {
    ++counters_.cluster_calls;
    auto link = std::make_unique<Link>();
    Link& here = *link;
    links_.push_back(std::move(link));
    here.task = Call(here, std::move(call));
    here.task.Start();
  }
  for (const cluster::Notice& notice : mind_.TakeNotices()) Tell(notice);
}

void ClusterMember::Bury() {
  std::erase_if(links_, [](const auto& link) { return link->over && link->task.Done(); });
  std::erase_if(askers_, [](const auto& asker) { return asker->over && asker->task.Done(); });
}

// ---- Connections -----------------------------------------------------------------------------------------

Task<> ClusterMember::Call(Link& link, cluster::Call call) {
  const Micros until = machine_.Now() + call.patience;
  cluster::CallEnd end = cluster::CallEnd::kSilent;
  NoConnection why = NoConnection::kRefused;
  const std::optional<Address> to = ReadAddress(call.to);
  if (to) link.stream = machine_.network().ConnectFrom(&listen_, *to, why);
  if (link.stream) {
    const bool up = co_await Connected(*link.stream, until);
    if (!up && link.stream->Opened() == Stream::State::kFailed) end = cluster::CallEnd::kRefused;
    if (up) {
      const std::string frame = Framed(cluster::Write(call.message, settings_.site));
      bool broken = false;
      std::string back;
      if (co_await WriteAll(*link.stream, frame, until))
        back = co_await ReadFrame(*link.stream, until, broken);
      if (broken) end = cluster::CallEnd::kRefused;
      if (!back.empty()) {
        const cluster::ReadMessage read = cluster::Read(back, settings_.site);
        if (read.message) {
          mind_.Heard(machine_.Now(), *read.message);
          end = cluster::CallEnd::kAnswered;
        } else {
          mind_.Dropped(read.why, call.to);
        }
      }
    }
    link.stream.reset();
  }
  mind_.Called(machine_.Now(), call.id, end);
  link.over = true;
  socket_->Notify();  // what came of it is carried out there, and the timers looked at
}

Task<> ClusterMember::Accept() {
  while (true) {
    std::unique_ptr<Stream> stream;
    if (taken_links_ >= kMostTaken) {
      co_await room_.Wait(machine_.Now() + kTellLate);
      continue;
    }
    const Listener::Accepted accepted = listener_->Accept(stream);
    if (accepted == Listener::Accepted::kNone) co_await listener_->Wait();
    if (accepted == Listener::Accepted::kNoRoom) co_await room_.Wait(machine_.Now() + kTellLate);
    if (accepted != Listener::Accepted::kOne) continue;
    auto link = std::make_unique<Link>();
    link->stream = std::move(stream);
    Link& here = *link;
    links_.push_back(std::move(link));
    ++taken_links_;
    here.task = Answer(here);
    here.task.Start();
  }
}

Task<> ClusterMember::Answer(Link& link) {
  const Micros until = machine_.Now() + kLinkPatience;
  bool broken = false;
  const std::string frame = co_await ReadFrame(*link.stream, until, broken);
  if (!frame.empty()) {
    const cluster::ReadMessage read = cluster::Read(frame, settings_.site);
    if (read.message) {
      const std::optional<cluster::Message> answer = mind_.Answer(machine_.Now(), *read.message);
      if (answer) co_await WriteAll(*link.stream, Framed(cluster::Write(*answer, settings_.site)), until);
    } else {
      mind_.Dropped(read.why, link.stream->Peer().text);
    }
  }
  link.stream.reset();
  link.over = true;
  --taken_links_;
  room_.Notify();
  socket_->Notify();
}

// ---- What it tells ---------------------------------------------------------------------------------------

Task<> ClusterMember::Refresh() {
  while (true) {
    mind_.Tell(setup_.facts());
    counters_.cluster_alive = mind_.alive();
    // News reaches the members one after the other: only who still lacks it after a while has lost its watch.
    const uint64_t newest = cluster::NewestList(mind_, machine_.Now());
    if (newest <= mind_.facts().list_version) behind_since_ = 0;
    if (newest > mind_.facts().list_version && behind_since_ == 0) behind_since_ = machine_.Now();
    if (behind_since_ > 0 && machine_.Now() - behind_since_ >= kBehindFor && newest > told_list_) {
      told_list_ = newest;
      log_.Tell<"cluster_list_behind">(mind_.facts().list_version, newest);
      setup_.list_behind();
    }
    co_await refresh_.Wait(machine_.Now() + kRefreshEvery);
  }
}

void ClusterMember::Tell(const cluster::Notice& notice) {
  using What = cluster::Notice::What;
  const auto start = notice.life.start;
  const size_t alive = mind_.alive();
  std::string line;
  switch (notice.what) {
    case What::kJoined:
      log_.Tell<"member_joined">(notice.who, notice.by, start, alive);
      line = "joined, told by ";
      break;
    case What::kSuspected:
      log_.Tell<"member_suspected">(notice.who, notice.by);
      line = "suspected, by ";
      break;
    case What::kCleared:
      log_.Tell<"member_cleared">(notice.who, notice.life.incarnation);
      line = "says that it lives, by way of ";
      break;
    case What::kDied:
      log_.Tell<"member_died">(notice.who, notice.by, alive);
      line = "held dead; no way to it by ";
      break;
    case What::kReturned:
      log_.Tell<"member_returned">(notice.who, alive);
      line = "back from the dead, by way of ";
      break;
    case What::kLeft:
      log_.Tell<"member_left">(notice.who, alive);
      line = "left, told by ";
      break;
    case What::kAccused:
      log_.Tell<"cluster_accused">(notice.by, mind_.self().life.incarnation);
      line = "is accused by ";
      break;
    case What::kStanding:
      log_.Tell<"cluster_standing">(NameOf(mind_.standing()), alive - 1);
      line = "stands: ";
      break;
    case What::kPaused:
      log_.Tell<"cluster_paused">(notice.span / kMs);
      line = "stood still ";
      break;
    case What::kForgotten:
      return;
    case What::kDropped:
      log_.Tell<"cluster_dropped">(notice.by, notice.who);
      line = "a message was dropped: ";
      break;
  }
  if (history_.size() >= kHistoryLines)
    history_.erase(history_.begin(), history_.begin() + kHistoryLines / 4);
  history_.push_back(std::to_string(machine_.Now() / kMs) + " ms: " + notice.who + " " + line + notice.by);
}

// ---- Who asks --------------------------------------------------------------------------------------------

std::string ClusterMember::Ask(const std::string& words) {
  const Micros now = machine_.Now();
  const bool json = words.ends_with(" json");
  const std::string what = json ? words.substr(0, words.size() - 5) : words;
  if (what == "members") return json ? MembersJson(mind_, now) : MembersText(mind_, now);
  if (what == "who-differs") return json ? DiffersJson(mind_, now) : DiffersText(mind_, now);
  if (what.starts_with("explain ")) {
    const std::string name = what.substr(8);
    return json ? ExplainJson(mind_, name, now, history_) : ExplainText(mind_, name, now, history_);
  }
  return "unknown question\n";
}

Task<> ClusterMember::Await() {
  while (true) {
    std::unique_ptr<Channel> channel = asked_->Accept();
    if (!channel) {
      co_await asked_->Wait(machine_.Now() + kSecond);
      continue;
    }
    if (askers_.size() >= kMostAskers) continue;
    auto asker = std::make_unique<Asker>();
    asker->channel = std::move(channel);
    Asker& here = *asker;
    askers_.push_back(std::move(asker));
    here.task = Serve(here);
    here.task.Start();
  }
}

Task<> ClusterMember::Serve(Asker& asker) {
  const Micros until = machine_.Now() + 2 * kSecond;
  std::string words;
  std::unique_ptr<Stream> along;
  Io io = Io::kLater;
  while ((io = asker.channel->Receive(words, along)) == Io::kLater) {
    if (!co_await asker.channel->Wait(until)) break;
  }
  if (io == Io::kSome) {
    const std::string answer = Ask(words);
    for (size_t at = 0; at < answer.size();) {
      const Io sent = asker.channel->Send(std::string_view(answer).substr(at, kPiece));
      if (sent == Io::kBroken) break;
      if (sent == Io::kSome) {
        at += kPiece;
      } else if (!co_await asker.channel->Wait(until)) {
        break;
      }
    }
  }
  asker.channel.reset();
  asker.over = true;
  refresh_.Notify();
}

}  // namespace burlfall
