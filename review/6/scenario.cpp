// The balancer that owns the work "freeze" is cut off from the others for 6 s, just as it sees a zone down.
// Another one becomes the owner meanwhile, and the zone comes back. What the earlier owner had written then
// arrives. It has to have no effect.
#include "../support-2/common.h"

using namespace rv;

namespace {

std::atomic<bool> cut = false;

in_addr_t Host(int number) { return htonl(INADDR_LOOPBACK + static_cast<uint32_t>(number)); }

int Listen(int host, int& port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in at = Loopback(port);
  at.sin_addr.s_addr = Host(host);
  socklen_t length = sizeof at;
  if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || listen(fd, 64) != 0)
    End(2, "no free port");
  getsockname(fd, reinterpret_cast<sockaddr*>(&at), &length);
  port = ntohs(at.sin_port);
  return fd;
}

// Passes bytes on in one direction. While the link is cut nothing moves, and the connection stays open.
void Pump(int from, int to, bool may_be_cut) {
  char bytes[65536];
  while (true) {
    pollfd one{from, POLLIN, 0};
    if (may_be_cut && cut) {
      SleepMs(5);
      continue;
    }
    if (poll(&one, 1, 5) <= 0) continue;
    if (may_be_cut && cut) continue;
    const ssize_t n = recv(from, bytes, sizeof bytes, 0);
    if (n <= 0 || !SendAll(to, std::string_view(bytes, static_cast<size_t>(n)))) break;
  }
  shutdown(from, SHUT_RDWR);
  shutdown(to, SHUT_RDWR);
}

// The path to one voter: 127.0.0.(number + 1):port, on to its own listener. Members connect from their own
// host, so the links of balancer-1 (127.0.0.1) are told from the others.
void Path(int number, int listener, int target) {
  while (true) {
    sockaddr_in peer{};
    socklen_t length = sizeof peer;
    const int in = accept4(listener, reinterpret_cast<sockaddr*>(&peer), &length, SOCK_CLOEXEC);
    if (in < 0) continue;
    const bool of_first = number == 0 || peer.sin_addr.s_addr == Host(0);
    std::thread([=] {
      while (of_first && cut) SleepMs(5);
      const int out = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      sockaddr_in at = Loopback(target);
      at.sin_addr.s_addr = Host(number);
      if (connect(out, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
        close(in);
        close(out);
        return;
      }
      const int on = 1;
      setsockopt(in, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      setsockopt(out, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      std::thread back([=] { Pump(out, in, of_first); });
      Pump(in, out, of_first);
      back.join();
      close(in);
      close(out);
    }).detach();
  }
}

// The same for datagrams; those that meet the cut are lost.
void DatagramPath(int number, int at_port, int target) {
  const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  sockaddr_in at = Loopback(at_port), to = Loopback(target);
  at.sin_addr.s_addr = to.sin_addr.s_addr = Host(number);
  if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) End(2, "no free port for datagrams");
  char bytes[65536];
  while (true) {
    sockaddr_in peer{};
    socklen_t length = sizeof peer;
    const ssize_t n = recvfrom(fd, bytes, sizeof bytes, 0, reinterpret_cast<sockaddr*>(&peer), &length);
    if (n < 0 || (cut && (number == 0 || peer.sin_addr.s_addr == Host(0)))) continue;
    sendto(fd, bytes, static_cast<size_t>(n), 0, reinterpret_cast<sockaddr*>(&to), sizeof to);
  }
}

// The value of a key in the JSON of `council status`, the first after `from`.
std::string Value(const std::string& json, const std::string& key, size_t from = 0) {
  const size_t at = json.find("\"" + key + "\":", from);
  if (at == std::string::npos) return "";
  size_t begin = at + key.size() + 3;
  if (json[begin] == '"') return json.substr(begin + 1, json.find('"', begin + 1) - begin - 1);
  return json.substr(begin, json.find_first_of(",}]", begin) - begin);
}

}  // namespace

int main(int argc, char** argv) {
  Begin(argc, argv, 110);
  Site site;
  site.balancers = 4;
  site.zones = R"("zuerich","bern","genf")";
  Node node("s-zuerich-1", "zuerich", "std-2c");
  Discovery discovery("d1");
  discovery.Set(1, {{node.id(), node.Entry()}});
  const char* const zones[] = {"zuerich", "bern", "bern", "genf"};
  std::vector<std::unique_ptr<Balancer>> all;
  std::vector<int> paths(3, 0), own(4, 0), cluster(4, 0), cluster_paths(4, 0);
  std::string voters;
  for (int i = 0; i < 4; ++i) {
    all.push_back(std::make_unique<Balancer>(site, i));
    all.back()->Configure(discovery.server.port, node.Entry());
    const size_t n = static_cast<size_t>(i);
    cluster[n] = FreePort();
    cluster_paths[n] = FreePort();
    std::thread(Path, i, Listen(i, cluster_paths[n]), cluster[n]).detach();
    std::thread(DatagramPath, i, cluster_paths[n], cluster[n]).detach();
    own[n] = FreePort();
    if (i == 3) continue;  // it does not vote
    const int listener = Listen(i, paths[n]);
    std::thread(Path, i, listener, own[n]).detach();
    voters += Text("\n[[voters]]\nname = \"%s\"\naddress = \"127.0.0.%d:%d\"\n", all.back()->name.c_str(),
                   i + 1, paths[n]);
  }
  std::vector<std::string> flags;
  for (int i = 0; i < 4; ++i) {
    const size_t n = static_cast<size_t>(i);
    const std::string stem = temp_folder + "/" + all[n]->name;
    WriteAll(stem + ".cluster.toml",
             Text("site = \"aarfeld\"\nlisten = \"127.0.0.%d:%d\"\ntold = \"127.0.0.%d:%d\"\nzone = \"%s\"\n"
                  "seeds = [\"127.0.0.1:%d\", \"127.0.0.2:%d\"]\n"
                  "folder = \"$TMPDIR\"\nperiod_ms = 400\nwait_s = [1.0, 1.5]\n",
                  i + 1, cluster[n], i + 1, cluster_paths[n], zones[i], cluster_paths[0], cluster_paths[1]));
    flags.push_back(" --log-format json --cluster " + stem + ".cluster.toml");
    WriteAll(stem + ".council.toml", Text("site = \"aarfeld\"\nlisten = \"127.0.0.%d:%d\"\ntold = "
                                          "\"127.0.0.%d:%d\"\nfolder = \"$TMPDIR\"\n",
                                          i + 1, own[n], i + 1, i < 3 ? paths[n] : own[n]) +
                                         (i < 3 ? "wants = [\"freeze\"]\n" : "") + voters);
    flags.back() += " --council " + stem + ".council.toml";
  }
  std::vector<std::unique_ptr<Process>> running;
  const auto start = [&](size_t n) {
    return std::make_unique<Process>(all[n]->name, RunLine() + flags[n], all[n]->Environment());
  };
  for (size_t i = 0; i < 4; ++i) running.push_back(start(i));
  for (const auto& one : all) {
    if (!one->Up(10000)) End(2, "a balancer did not come up");
  }
  const auto ask = [&](size_t i, const std::string& words, int& code, bool record = true) {
    const std::string text = Output("build/burlfall council " + words + " --socket " + all[i]->folder +
                                        "/burlfall-" + all[i]->name + ".council",
                                    code);
    if (record)
      Rec("operator at %s: council %s -> %d %s", all[i]->name.c_str(), words.c_str(), code,
          text.substr(0, text.find('\n')).c_str());
    return text;
  };
  const auto status = [&](size_t i) {
    int code = 0;
    return ask(i, "status --json", code, false);
  };
  // balancer-2 begins the log and leads; the work is handed to balancer-1 where another one has it.
  int code = 1;
  for (int tries = 0; tries < 20 && code != 0; ++tries) {
    ask(1, "begin", code);
    if (code != 0) SleepMs(300);
  }
  const auto owner = [&](const std::string& json) { return Value(json, "owner", json.find("\"works\"")); };
  const auto epoch = [&](const std::string& json) {
    return std::strtoull(Value(json, "epoch", json.find("\"works\"")).c_str(), nullptr, 10);
  };
  if (!WaitFor(20000, [&] {
        for (size_t i = 0; i < 3; ++i) {
          const std::string json = status(i);
          if (json.find("\"standing\":\"in\"") == std::string::npos || owner(json).empty()) return false;
        }
        return Value(status(1), "leader") == "balancer-2";
      }))
    End(2, "the council did not come up");
  for (int tries = 0; tries < 40 && owner(status(1)) != "balancer-1"; ++tries) {
    if (tries % 8 == 0) ask(1, "hand-over freeze balancer-1", code);
    SleepMs(250);
  }
  SleepMs(3000);
  if (owner(status(1)) != "balancer-1" || Value(status(1), "leader") != "balancer-2")
    End(2, "balancer-1 did not become the owner under the leader balancer-2");
  const uint64_t first_epoch = epoch(status(1));
  Rec("the owner of freeze is balancer-1, epoch %llu; the leader is balancer-2",
      static_cast<unsigned long long>(first_epoch));
  // The only balancer of genf dies, for some seconds.
  const double killed = NowMs();
  running[3]->Signal(SIGKILL);
  running[3]->Ended(2000);
  if (!running[0]->LogHas("member_died", 15000)) End(2, "balancer-1 did not see that balancer-4 died");
  const double died = NowMs();
  Rec("balancer-1 holds balancer-4 dead, %.1f s after its end", (died - killed) / 1000);
  // An incident opens by what the owner has seen for 5 s on end. The cut begins a moment before that.
  if (trouble) {
    SleepMs(died + 4700 - NowMs());
    cut = true;
    Rec("balancer-1 is cut off from the others");
    SleepMs(killed + 7300 - NowMs());
  } else {
    SleepMs(died + 2000 - NowMs());  // back before anything is to be opened
  }
  running[3] = start(3);
  if (!all[3]->Up(5000)) End(2, "balancer-4 did not come back");
  const double back = NowMs();
  Rec("balancer-4 is back, %.1f s after its end", (NowMs() - killed) / 1000);
  SleepMs(trouble ? died + 4700 + 6000 - NowMs() : 9000);
  const std::string before = status(1);
  const uint64_t second_epoch = epoch(before);
  Rec("before the cut ends, at the leader: %s", before.c_str());
  if (before.find("zone_down") != std::string::npos) End(2, "an incident was opened before the cut ended");
  if (trouble && (owner(before) == "balancer-1" || owner(before).empty() || second_epoch <= first_epoch))
    End(2, "no other balancer became the owner");
  if (trouble) {
    cut = false;
    Rec("the cut is over; the owner is %s, epoch %llu", owner(before).c_str(),
        static_cast<unsigned long long>(second_epoch));
  }
  const double healed = NowMs();
  const auto has_incident = [&](const std::string& json) {
    const size_t list = json.find("\"incidents\":[");
    return list != std::string::npos && json.find("zone_down", list) != std::string::npos;
  };
  if (WaitFor(3000, [&] { return has_incident(status(1)); }))
    Rec("an incident is open %.2f s after the cut, %.1f s after all balancers were up again",
        (NowMs() - healed) / 1000, (NowMs() - back) / 1000);
  const std::string after = status(1);
  Rec("after that, at the leader: %s", after.c_str());
  const bool opened = has_incident(after);
  // What it does: it forbids among other things to drain the balancer of this zone.
  const int drain = Call(all[3]->admin, "POST", "/healthcheck/fail", "", 8000).status();
  Rec("operator at balancer-4: POST /healthcheck/fail -> %d", drain);
  for (size_t i = 0; i < 4; ++i) Rec("log of %s: %s", all[i]->name.c_str(), running[i]->LogText().c_str());
  if (opened)
    End(1, Text("an act of the owner with epoch %llu took effect after epoch %llu was given: incident "
                "zone_down for genf is "
                "open, with all balancers up for %.1f s; a drain of balancer-4 got %d",
                static_cast<unsigned long long>(first_epoch), static_cast<unsigned long long>(second_epoch),
                (healed - back) / 1000, drain));
  if (drain != 200) End(2, Text("the drain of balancer-4 got %d", drain));
  End(0, "the earlier owner had no effect");
}
