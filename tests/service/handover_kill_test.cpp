// A real process killed at each step of a hand-over, old and new in turn, under load and with a node out by
// hand. A step is a message between the two: a relay lies between them, and kills before it delivers. MORE
// rounds of all steps where the environment asks for them.
#include <sys/socket.h>
#include <sys/un.h>

#include <cstdlib>
#include <cstring>

#include "service/under_load.h"

namespace burlfall {
namespace {

constexpr char kMeet[] = "/burlfall-n1.sock";
constexpr int kClients = 6;
constexpr int kQuiet = 3;

Descriptor Unix(const std::string& path, bool listens) {
  Descriptor fd(socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0));
  sockaddr_un at{};
  at.sun_family = AF_UNIX;
  path.copy(at.sun_path, sizeof at.sun_path - 1);
  const auto* const address = reinterpret_cast<const sockaddr*>(&at);
  const int done = listens ? bind(fd.get(), address, sizeof at) : connect(fd.get(), address, sizeof at);
  if (done != 0 || (listens && listen(fd.get(), 4) != 0)) return Descriptor();
  return fd;
}

// One message with the descriptor that may come along; empty: it ended.
std::string Take(int from, Descriptor& along) {
  std::string message(1 << 20, '\0');
  iovec part{message.data(), message.size()};
  alignas(cmsghdr) char room[CMSG_SPACE(sizeof(int))];
  msghdr head{};
  head.msg_iov = &part;
  head.msg_iovlen = 1;
  head.msg_control = room;
  head.msg_controllen = sizeof room;
  const ssize_t n = recvmsg(from, &head, MSG_CMSG_CLOEXEC);
  message.resize(n > 0 ? static_cast<size_t>(n) : 0);
  cmsghdr* const with = CMSG_FIRSTHDR(&head);
  if (n > 0 && with != nullptr && with->cmsg_type == SCM_RIGHTS) {
    int fd = -1;
    std::memcpy(&fd, CMSG_DATA(with), sizeof fd);
    along = Descriptor(fd);
  }
  return message;
}

bool Give(int to, const std::string& message, const Descriptor& along) {
  iovec part{const_cast<char*>(message.data()), message.size()};
  alignas(cmsghdr) char room[CMSG_SPACE(sizeof(int))] = {};
  msghdr head{};
  head.msg_iov = &part;
  head.msg_iovlen = 1;
  if (along) {
    head.msg_control = room;
    head.msg_controllen = sizeof room;
    cmsghdr* const with = CMSG_FIRSTHDR(&head);
    with->cmsg_level = SOL_SOCKET;
    with->cmsg_type = SCM_RIGHTS;
    with->cmsg_len = CMSG_LEN(sizeof(int));
    const int fd = along.get();
    std::memcpy(CMSG_DATA(with), &fd, sizeof fd);
  }
  return sendmsg(to, &head, MSG_NOSIGNAL) >= 0;
}

enum class Victim { kNobody, kOld, kHeir };

// Between the folder of the old process and that of its heir. Its letters are those of the messages, 'h'
// before each of the heir's and 'o' before each of the old one's.
class Relay {
 public:
  Relay(std::string old_folder, const std::string& heir_folder, pid_t old, Victim victim, size_t step)
      : old_folder_(std::move(old_folder)),
        old_(old),
        victim_(victim),
        step_(step),
        listener_(Unix(heir_folder + kMeet, true)),
        thread_([this] { Run(); }) {}
  Relay(const Relay&) = delete;
  ~Relay() { Join(); }
  void Join() {
    over_ = true;
    if (thread_.joinable()) thread_.join();
  }
  const std::string& letters() const { return letters_; }  // once joined
  bool killed() const { return killed_; }
  bool before_door() const { return before_door_; }  // the heir had not opened the door when it was killed

 private:
  void Run() {
    while (!over_ && !Readable(listener_.get(), 20)) {
    }
    if (over_) return;
    const Descriptor heir(accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC));
    const Descriptor old = Unix(old_folder_ + kMeet, false);
    if (!heir || !old) return;
    ucred who{};
    socklen_t length = sizeof who;
    getsockopt(heir.get(), SOL_SOCKET, SO_PEERCRED, &who, &length);
    heir_ = who.pid;
    while (true) {
      pollfd both[2] = {{heir.get(), POLLIN, 0}, {old.get(), POLLIN, 0}};
      if (poll(both, 2, 20) == 0) {
        if (over_) return;
        continue;
      }
      for (int side = 0; side < 2; ++side) {
        if (both[side].revents == 0) continue;
        Descriptor along;
        const std::string message = Take(both[side].fd, along);
        if (message.empty()) return;  // one of them has ended, and the other hears of it
        letters_ += side == 0 ? 'h' : 'o';
        letters_ += message.front();
        if (letters_.size() / 2 == step_ + 1 && victim_ != Victim::kNobody) Kill();
        Give(both[1 - side].fd, message, along);
      }
    }
  }
  void Kill() {
    const pid_t pid = victim_ == Victim::kOld ? old_ : heir_;
    kill(pid, SIGKILL);
    siginfo_t info{};
    waitid(P_PID, static_cast<id_t>(pid), &info, WEXITED | WNOWAIT);
    killed_ = true;
    before_door_ = letters_.find("hS") == std::string::npos;
  }

  const std::string old_folder_;
  const pid_t old_;
  const Victim victim_;
  const size_t step_;
  pid_t heir_ = 0;
  std::atomic<bool> over_{false};
  std::atomic<bool> killed_{false};
  bool before_door_ = false;
  std::string letters_;
  Descriptor listener_;
  std::thread thread_;
};

// One upgrade with a kill; the letters of what went between the two.
std::string Upgrade(Victim victim, size_t step, bool& killed) {
  Peer door;
  Folder old_folder, heir_folder;
  CountingServer in_use, out;
  const std::string config = ConfigText(
      {.known = Entry("s-1", in_use.port()) + "," + Entry("s-2", out.port()), .admin = "127.0.0.1:0"});
  const auto world = [&](const Folder& folder) {
    return World{.variables = {{"TMPDIR", folder.path}, {"PROXY_PASSED_SOCKET", "5"}}, .passed = door.fd()};
  };
  Program old(config, {"serve"}, nullptr, world(old_folder));
  REQUIRE(Tell(old.admin, "/nodes/s-2/maint") == 200);
  // What the two would share in one folder, but for the way between them.
  std::filesystem::copy(old_folder.path + "/burlfall-n1.out", heir_folder.path + "/burlfall-n1.out");
  // Links that have asked once and are quiet go over as they are.
  std::vector<Link> quiet;
  for (int i = 0; i < kQuiet; ++i) {
    quiet.push_back(Link::To(door.port));
    quiet.back().Write(Post("open", "quiet-" + std::to_string(i), "x"));
    CHECK(quiet.back().Read().ends_with("y"));
  }
  LoadingClients clients(door.port, kClients, 5000);
  Relay relay(old_folder.path, heir_folder.path, old.pid(), victim, step);
  Program heir(config, {"serve"}, nullptr, world(heir_folder));
  // Well: every client has been answered some more, by whoever is left. Events, not time, end this.
  if (victim == Victim::kNobody) old.Signal(SIGTERM);
  const auto goes_on = [&] {
    const int before = clients.answered;
    for (int i = 0; i < kPatience * 100 && clients.answered < before + 20 * kClients; ++i)
      poll(nullptr, 0, 10);
    return clients.answered >= before + 20 * kClients;
  };
  bool served = goes_on();
  if (victim != Victim::kNobody && !relay.killed() && step >= 1) {
    // The last steps come with the old one's end.
    old.Signal(SIGTERM);
    served = goes_on() && served;
  }
  CHECK(served);
  Link fresh = Link::To(door.port);
  fresh.Write("GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  CHECK(fresh.Read().starts_with("HTTP/1.1 200"));
  int quiet_broken = 0;
  for (int i = 0; i < kQuiet; ++i) {
    quiet[static_cast<size_t>(i)].TryWrite(Post("open", "again-" + std::to_string(i), "x"));
    quiet_broken += quiet[static_cast<size_t>(i)].Read().ends_with("y") ? 0 : 1;
  }
  CHECK(quiet_broken <= (relay.killed() ? kQuiet : 0));
  clients.StopEarly();
  clients.Join();
  relay.Join();
  killed = relay.killed();
  // Whoever is left ends in order; whoever was killed did not crash by itself.
  const int old_code = old.Wait(SIGTERM), heir_code = heir.Wait(SIGTERM);
  CHECK(old_code == (killed && victim == Victim::kOld ? -1 : 0));
  CHECK(heir_code == (killed && victim == Victim::kHeir ? -1 : 0));
  const std::multiset<std::string>& ran = in_use.Stop();
  CHECK(out.Stop().empty());                                                  // it is out, through all of it
  CHECK(std::set<std::string>(ran.begin(), ran.end()).size() == ran.size());  // nothing ran twice
  CHECK(clients.hung == 0);
  CHECK(clients.answered + clients.refused + clients.broken == clients.asked);  // one end for each
  CHECK(static_cast<int>(ran.size()) >= clients.answered);                      // and none made up
  // A killed process loses what it had in hand, and nobody else's: an heir without the door had nothing.
  CHECK(clients.broken <= (killed ? 2 * kClients : 0));
  if (killed && victim == Victim::kHeir && relay.before_door()) CHECK(clients.broken == 0);
  return relay.letters();
}

}  // namespace

TEST_CASE(
    "a process killed at each step of a hand-over loses no query of the other's, and no node comes back") {
  bool killed = false;
  const std::string steps = Upgrade(Victim::kNobody, 0, killed);
  INFO("steps of an upgrade: " << steps);
  CHECK(steps.starts_with("hT"));
  CHECK(steps.find("hS") != std::string::npos);
  CHECK(steps.find("oL") != std::string::npos);
  const char* const more = std::getenv("MORE");
  const int rounds = more == nullptr ? 1 : std::atoi(more);
  // Up to the first links that go over, and the words after them.
  const size_t count = std::min<size_t>(steps.size() / 2, 9);
  int kills = 0;
  for (int round = 0; round < rounds; ++round) {
    for (size_t step = 0; step < count; ++step) {
      for (const Victim victim : {Victim::kOld, Victim::kHeir}) {
        INFO("step " << step << ", " << (victim == Victim::kOld ? "old" : "heir") << " killed");
        Upgrade(victim, step, killed);
        kills += killed;
      }
    }
  }
  WARN(kills << " kills at " << count << " steps: " << steps.substr(0, 2 * count));
  CHECK(kills >= static_cast<int>(rounds * (count - 1) * 2));
}

}  // namespace burlfall
