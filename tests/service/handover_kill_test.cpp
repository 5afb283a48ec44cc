// Kills a real process at each step of a hand-over, the old one and its successor in turn, under load and
// with a node out of service. A step is a message between the two: a relay between them kills before it
// delivers the message. The environment variable MORE sets the number of rounds over all steps.
#include <sys/socket.h>
#include <sys/un.h>

#include <cstdlib>
#include <cstring>

#include "service/under_load.h"

namespace burlfall {
namespace {

constexpr char kSocketName[] = "/burlfall-n1.sock";
constexpr int kClients = 6;
constexpr int kIdleLinks = 3;

Descriptor OpenUnixSocket(const std::string& path, bool listens) {
  Descriptor fd(socket(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0));
  sockaddr_un at{};
  at.sun_family = AF_UNIX;
  path.copy(at.sun_path, sizeof at.sun_path - 1);
  const auto* const address = reinterpret_cast<const sockaddr*>(&at);
  const int done = listens ? bind(fd.get(), address, sizeof at) : connect(fd.get(), address, sizeof at);
  if (done != 0 || (listens && listen(fd.get(), 4) != 0)) return Descriptor();
  return fd;
}

// Receives one message and the descriptor that may come with it. Empty: the channel ended.
std::string ReceiveMessage(int from, Descriptor& descriptor) {
  std::string message(1 << 20, '\0');
  iovec part{message.data(), message.size()};
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))];
  msghdr head{};
  head.msg_iov = &part;
  head.msg_iovlen = 1;
  head.msg_control = control;
  head.msg_controllen = sizeof control;
  const ssize_t n = recvmsg(from, &head, MSG_CMSG_CLOEXEC);
  message.resize(n > 0 ? static_cast<size_t>(n) : 0);
  cmsghdr* const rights = CMSG_FIRSTHDR(&head);
  if (n > 0 && rights != nullptr && rights->cmsg_type == SCM_RIGHTS) {
    int fd = -1;
    std::memcpy(&fd, CMSG_DATA(rights), sizeof fd);
    descriptor = Descriptor(fd);
  }
  return message;
}

bool SendMessage(int to, const std::string& message, const Descriptor& descriptor) {
  iovec part{const_cast<char*>(message.data()), message.size()};
  alignas(cmsghdr) char control[CMSG_SPACE(sizeof(int))] = {};
  msghdr head{};
  head.msg_iov = &part;
  head.msg_iovlen = 1;
  if (descriptor) {
    head.msg_control = control;
    head.msg_controllen = sizeof control;
    cmsghdr* const rights = CMSG_FIRSTHDR(&head);
    rights->cmsg_level = SOL_SOCKET;
    rights->cmsg_type = SCM_RIGHTS;
    rights->cmsg_len = CMSG_LEN(sizeof(int));
    const int fd = descriptor.get();
    std::memcpy(CMSG_DATA(rights), &fd, sizeof fd);
  }
  return sendmsg(to, &head, MSG_NOSIGNAL) >= 0;
}

enum class Victim { kNobody, kOld, kSuccessor };

// Relays messages between the old process and its successor, which use different folders. Records the type
// letter of each message, after 'h' if it came from the successor and 'o' if it came from the old process.
class Relay {
 public:
  Relay(std::string old_folder, const std::string& successor_folder, pid_t old, Victim victim, size_t step)
      : old_folder_(std::move(old_folder)),
        old_(old),
        victim_(victim),
        step_(step),
        listener_(OpenUnixSocket(successor_folder + kSocketName, true)),
        thread_([this] { Run(); }) {}
  Relay(const Relay&) = delete;
  ~Relay() { Join(); }
  void Join() {
    stopping_ = true;
    if (thread_.joinable()) thread_.join();
  }
  const std::string& messages() const { return messages_; }  // after Join()
  bool killed() const { return killed_; }
  bool before_serving() const { return before_serving_; }  // the successor was not serving yet at the kill

 private:
  void Run() {
    while (!stopping_ && !Readable(listener_.get(), 20)) {
    }
    if (stopping_) return;
    const Descriptor successor(accept4(listener_.get(), nullptr, nullptr, SOCK_CLOEXEC));
    const Descriptor old = OpenUnixSocket(old_folder_ + kSocketName, false);
    if (!successor || !old) return;
    ucred credentials{};
    socklen_t length = sizeof credentials;
    getsockopt(successor.get(), SOL_SOCKET, SO_PEERCRED, &credentials, &length);
    successor_ = credentials.pid;
    while (true) {
      pollfd both[2] = {{successor.get(), POLLIN, 0}, {old.get(), POLLIN, 0}};
      if (poll(both, 2, 20) == 0) {
        if (stopping_) return;
        continue;
      }
      for (int side = 0; side < 2; ++side) {
        if (both[side].revents == 0) continue;
        Descriptor descriptor;
        const std::string message = ReceiveMessage(both[side].fd, descriptor);
        if (message.empty()) return;  // one side has ended; closing both ends notifies the other
        messages_ += side == 0 ? 'h' : 'o';
        messages_ += message.front();
        if (messages_.size() / 2 == step_ + 1 && victim_ != Victim::kNobody) Kill();
        SendMessage(both[1 - side].fd, message, descriptor);
      }
    }
  }
  void Kill() {
    const pid_t pid = victim_ == Victim::kOld ? old_ : successor_;
    kill(pid, SIGKILL);
    siginfo_t info{};
    waitid(P_PID, static_cast<id_t>(pid), &info, WEXITED | WNOWAIT);
    killed_ = true;
    before_serving_ = messages_.find("hS") == std::string::npos;
  }

  const std::string old_folder_;
  const pid_t old_;
  const Victim victim_;
  const size_t step_;
  pid_t successor_ = 0;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> killed_{false};
  bool before_serving_ = false;
  std::string messages_;
  Descriptor listener_;
  std::thread thread_;
};

// Runs one upgrade with a kill; returns the letters that the relay recorded.
std::string UpgradeWithKill(Victim victim, size_t step, bool& killed) {
  Peer listener;
  TempFolder old_folder, successor_folder;
  CountingServer in_use, out;
  const std::string config = ConfigText(
      {.known = Entry("s-1", in_use.port()) + "," + Entry("s-2", out.port()), .admin = "127.0.0.1:0"});
  const auto environment = [&](const TempFolder& folder) {
    return ChildEnvironment{.variables = {{"TMPDIR", folder.path}, {"PROXY_PASSED_SOCKET", "5"}},
                            .passed = listener.fd()};
  };
  Program old(config, {"serve"}, nullptr, environment(old_folder));
  REQUIRE(PostCall(old.admin, "/nodes/s-2/maint") == 200);
  // The two processes would share this file if they used one folder.
  std::filesystem::copy(old_folder.path + "/burlfall-n1.out", successor_folder.path + "/burlfall-n1.out");
  // Idle links that have had a query are passed to the successor.
  std::vector<Link> idle;
  for (int i = 0; i < kIdleLinks; ++i) {
    idle.push_back(Link::To(listener.port));
    idle.back().Write(Post("open", "quiet-" + std::to_string(i), "x"));
    CHECK(idle.back().Read().ends_with("y"));
  }
  LoadClients clients(listener.port, kClients, 5000);
  Relay relay(old_folder.path, successor_folder.path, old.pid(), victim, step);
  Program successor(config, {"serve"}, nullptr, environment(successor_folder));
  // Success: the clients receive further answers from the remaining process. Events end this, not time.
  if (victim == Victim::kNobody) old.Signal(SIGTERM);
  const auto clients_progress = [&] {
    const int before = clients.answered;
    for (int i = 0; i < kTimeoutSeconds * 100 && clients.answered < before + 20 * kClients; ++i)
      poll(nullptr, 0, 10);
    return clients.answered >= before + 20 * kClients;
  };
  bool served = clients_progress();
  if (victim != Victim::kNobody && !relay.killed() && step >= 1) {
    // The last steps happen when the old process ends.
    old.Signal(SIGTERM);
    served = clients_progress() && served;
  }
  CHECK(served);
  Link fresh = Link::To(listener.port);
  fresh.Write("GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  CHECK(fresh.Read().starts_with("HTTP/1.1 200"));
  int idle_broken = 0;
  for (int i = 0; i < kIdleLinks; ++i) {
    idle[static_cast<size_t>(i)].TryWrite(Post("open", "again-" + std::to_string(i), "x"));
    idle_broken += idle[static_cast<size_t>(i)].Read().ends_with("y") ? 0 : 1;
  }
  CHECK(idle_broken <= (relay.killed() ? kIdleLinks : 0));
  clients.StopEarly();
  clients.Join();
  relay.Join();
  killed = relay.killed();
  // The remaining process ends in order; the other ended only because it was killed.
  const int old_code = old.Wait(SIGTERM), successor_code = successor.Wait(SIGTERM);
  CHECK(old_code == (killed && victim == Victim::kOld ? -1 : 0));
  CHECK(successor_code == (killed && victim == Victim::kSuccessor ? -1 : 0));
  const std::multiset<std::string>& ran = in_use.Stop();
  CHECK(out.Stop().empty());  // the node stayed out of service
  CHECK(std::set<std::string>(ran.begin(), ran.end()).size() == ran.size());  // nothing ran twice
  CHECK(clients.hung == 0);
  CHECK(clients.answered + clients.refused + clients.broken == clients.asked);  // one outcome for each query
  CHECK(static_cast<int>(ran.size()) >= clients.answered);                      // no answer without a run
  // A killed process loses only its own open queries. A successor that was not serving yet had none.
  CHECK(clients.broken <= (killed ? 2 * kClients : 0));
  if (killed && victim == Victim::kSuccessor && relay.before_serving()) CHECK(clients.broken == 0);
  return relay.messages();
}

}  // namespace

TEST_CASE(
    "a process killed at any step of a hand-over loses no query of the other, and no node returns to "
    "service") {
  bool killed = false;
  const std::string steps = UpgradeWithKill(Victim::kNobody, 0, killed);
  INFO("steps of an upgrade: " << steps);
  CHECK(steps.starts_with("hT"));
  CHECK(steps.find("hS") != std::string::npos);
  CHECK(steps.find("oL") != std::string::npos);
  const char* const rounds_text = std::getenv("MORE");
  const int rounds = rounds_text == nullptr ? 1 : std::atoi(rounds_text);
  // Up to the first links that are passed on, and the messages after them.
  const size_t count = std::min<size_t>(steps.size() / 2, 9);
  int kills = 0;
  for (int round = 0; round < rounds; ++round) {
    for (size_t step = 0; step < count; ++step) {
      for (const Victim victim : {Victim::kOld, Victim::kSuccessor}) {
        INFO("step " << step << ", " << (victim == Victim::kOld ? "old" : "successor") << " killed");
        UpgradeWithKill(victim, step, killed);
        kills += killed;
      }
    }
  }
  WARN(kills << " kills at " << count << " steps: " << steps.substr(0, 2 * count));
  CHECK(kills >= static_cast<int>(rounds * (count - 1) * 2));
}

}  // namespace burlfall
