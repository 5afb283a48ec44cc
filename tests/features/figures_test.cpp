// Figures: their text, their bounds, and the ways they go.
#include "observe/figures.h"

#include <fcntl.h>

#include <algorithm>
#include <sstream>

#include "stories/peers.h"

namespace burlfall {
namespace {

meadowslip::Settings Names() {
  meadowslip::Settings names;
  names.classes.resize(1);
  names.classes[0].name = "swap-charge";
  names.tenants.resize(1);
  names.tenants[0].name = "akku-punkt-lu";
  return names;
}

// Figures that go to a file.
struct Set {
  explicit Set(bool influx, size_t batch_bytes = 1400)
      : figures(machine, {.on = true, .influx = influx, .target = file.path, .batch_bytes = batch_bytes},
                Names(), errors, counters) {}
  std::string Flushed() {
    file.Write("");
    figures.Flush();
    return file.Text();
  }
  void Ask(const std::string& tenant, Micros took, int cls = 0) {
    Figures::Series s = figures.Of(cls, &tenant);
    figures.Add(s, Figure::kRequests);
    figures.Opened(s);
    figures.Closed(s, Figure::kServed, took);
  }
  TextFile file;
  RealMachine machine;
  Outlet errors{machine.scheduler(), machine.StandardError()};
  Counters counters;
  Figures figures;
};

std::vector<std::string> Lines(const std::string& text) {
  std::istringstream in(text);
  std::vector<std::string> lines;
  for (std::string line; std::getline(in, line);) lines.push_back(line);
  return lines;
}

struct Collector {
  Collector() : fd(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in at = Loopback(0);
    socklen_t length = sizeof at;
    REQUIRE(bind(fd.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
    REQUIRE(getsockname(fd.get(), reinterpret_cast<sockaddr*>(&at), &length) == 0);
    target = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
  }
  std::string Hear() {
    char piece[65536];
    REQUIRE(Readable(fd.get(), kPatience * 1000));
    return {piece, static_cast<size_t>(recv(fd.get(), piece, sizeof piece, 0))};
  }
  Descriptor fd;
  std::string target;
};

std::string Query(const std::string& tenant) { return Get("t", "X-Customer: " + tenant + "\r\n"); }

}  // namespace

TEST_CASE("the statsd text is what collectors read") {
  Set set(false);
  set.Ask("akku-punkt-lu", 12500);
  CHECK(set.Flushed() ==
        "burlfall.requests:1|c|#class:swap-charge,tenant:akku-punkt-lu\n"
        "burlfall.served:1|c|#class:swap-charge,tenant:akku-punkt-lu\n"
        "burlfall.request_time:12.500|ms|#class:swap-charge,tenant:akku-punkt-lu\n");
  CHECK(set.Flushed().empty());
  Figures::Series open = set.figures.Of(-1, nullptr);
  set.figures.Opened(open);
  CHECK(set.Flushed() == "burlfall.open:1|g|#class:other,tenant:-\n");
  CHECK(set.Flushed() == "burlfall.open:1|g|#class:other,tenant:-\n");
  set.figures.Closed(open, Figure::kLeft, 1000);
  CHECK(set.Flushed().find("burlfall.open:0|g|#class:other,tenant:-\n") != std::string::npos);
  CHECK(set.Flushed().empty());
}

TEST_CASE("the influx text is what collectors read") {
  Set set(true);
  set.Ask("akku-punkt-lu", 10000);
  set.Ask("akku-punkt-lu", 20000);
  CHECK(set.Flushed() ==
        "burlfall_requests,class=swap-charge,tenant=akku-punkt-lu count=2i\n"
        "burlfall_served,class=swap-charge,tenant=akku-punkt-lu count=2i\n"
        "burlfall_request_time,class=swap-charge,tenant=akku-punkt-lu "
        "count=2i,sum=30.000,min=10.000,max=20.000,mean=15.000\n");
}

TEST_CASE("a tenant's name can't break out of its tag") {
  const std::string odd = "a,b=c d:e|f#g\\h\ti\xc3\xbc";
  Set statsd(false), influx(true);
  statsd.Ask(odd, 0);
  influx.Ask(odd, 0);
  CHECK(statsd.Flushed().find("tenant:a_b_c_d_e_f_g_h_i__\n") != std::string::npos);
  CHECK(influx.Flushed().find(",tenant=a\\,b\\=c\\ d:e|f#g_h_i__ count=1i\n") != std::string::npos);
  statsd.Ask("", 0);
  CHECK(statsd.Flushed().find("tenant:-\n") != std::string::npos);
  statsd.Ask(std::string(5000, 'x'), 0);
  CHECK(statsd.Flushed().find("tenant:" + std::string(64, 'x') + "\n") != std::string::npos);
}

TEST_CASE("made-up tenants are bounded, none is lost, and the settings' own keep their place") {
  Set set(false, 32768);
  for (int i = 0; i < 5000; ++i) set.Ask(std::string("t").append(std::to_string(i)), 0);
  set.Ask("akku-punkt-lu", 0);
  std::vector<std::string> lines = Lines(set.Flushed());
  long all = 0, names = 0, own = 0;
  for (const std::string& line : lines) {
    if (!line.starts_with("burlfall.requests:")) continue;
    ++names;
    all += std::stol(line.substr(18));
    own += line.find("tenant:akku-punkt-lu") != std::string::npos;
  }
  CHECK(all == 5001);
  CHECK(names <= 256 + 6);
  CHECK(own == 1);
  CHECK(set.counters.figures_dropped == 0);
  for (int i = 0; i < 70; ++i) set.Flushed();  // those that say nothing make room
  set.Ask("late-comer", 0);
  CHECK(set.Flushed().find("tenant:late-comer") != std::string::npos);
}

TEST_CASE("of more tenants than there is room for each has its place while it asks") {
  meadowslip::Settings names = Names();
  for (int i = 0; i < 60000; ++i)
    names.tenants.emplace_back().name = std::string("n").append(std::to_string(i));
  TextFile file;
  RealMachine machine;
  const size_t before = machine.ResidentBytes();
  Outlet errors(machine.scheduler(), machine.StandardError());
  Counters counters;
  Figures figures(machine, {.on = true, .target = file.path, .batch_bytes = 32768}, names, errors, counters);
  CHECK(machine.ResidentBytes() - before < size_t{16} << 20);
  for (int round = 0; round < 3; ++round) {
    for (int i = 0; i < 100; ++i) {
      const std::string tenant = std::string("n").append(std::to_string(20000 * round + i));
      figures.Add(figures.Of(0, &tenant), Figure::kRequests);
    }
    file.Write("");
    figures.Flush();
    const std::string text = file.Text();
    CHECK(Lines(text).size() == 100);
    CHECK(text.find("tenant:other") == std::string::npos);
  }
}

TEST_CASE("of many times some stand for all, by their rate") {
  Set set(false);
  for (int i = 0; i < 128; ++i) set.Ask("akku-punkt-lu", 1000);
  std::vector<std::string> lines = Lines(set.Flushed());
  CHECK(std::count(lines.begin(), lines.end(),
                   "burlfall.request_time:1.000|ms|@0.25|#class:swap-charge,tenant:akku-punkt-lu") == 32);
}

TEST_CASE("where nothing can be written figures are dropped, the oldest first, and counted") {
  Set set(false);
  std::filesystem::remove(set.file.path);
  std::filesystem::create_directory(set.file.path);  // no file can be opened there
  set.Ask("akku-punkt-lu", 0);
  set.figures.Flush();
  CHECK(set.counters.figures_dropped == 3);
  std::filesystem::remove(set.file.path);
  set.figures.Flush();
  CHECK(set.file.Text() == "burlfall.figures_dropped:3|c\n");
}

TEST_CASE("pipes and sockets that are full take lines later, whole and in order, and none of them blocks") {
  signal(SIGPIPE, SIG_IGN);  // as the program does
  for (std::string kind : {"opened anew", "shared", "socket"}) {
    CAPTURE(kind);
    int ends[2];
    REQUIRE((kind == "socket" ? socketpair(AF_UNIX, SOCK_STREAM, 0, ends) : pipe(ends)) == 0);
    Descriptor in(ends[0]), out(ends[1]);
    RealMachine machine;
    Outlet outlet(machine.scheduler(), MakeDescriptorWriter(out.get(), kind != "shared"));
    std::string sent;
    Outlet::Taken taken = Outlet::Taken::kYes;
    for (int i = 0; taken == Outlet::Taken::kYes; ++i) {
      const std::string lines = std::to_string(i) + std::string(6000, 'x') + "\n";
      taken = outlet.Offer(lines);
      if (taken == Outlet::Taken::kYes) sent += lines;
    }
    CHECK(taken == Outlet::Taken::kLater);
    outlet.Say("said\n");
    sent += "said\n";
    CHECK((fcntl(out.get(), F_GETFL) & O_NONBLOCK) == 0);
    CHECK_FALSE(outlet.Drain(50 * kMs));
    std::string heard;
    char piece[4096];
    while (heard.size() < sent.size()) {
      outlet.Drain(0);
      REQUIRE(Readable(in.get(), kPatience * 1000));
      heard.append(piece, static_cast<size_t>(read(in.get(), piece, sizeof piece)));
    }
    CHECK(heard == sent);
    in = Descriptor();
    CHECK(outlet.Offer("nobody\n") == Outlet::Taken::kNo);
  }
}

TEST_CASE("what waits for room stays under 64 KiB, and the oldest goes first") {
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  Descriptor in(ends[0]), out(ends[1]);
  REQUIRE(fcntl(out.get(), F_SETPIPE_SZ, 4096) == 4096);
  RealMachine machine;
  Outlet errors(machine.scheduler(), MakeDescriptorWriter(out.get()));
  Counters counters;
  Figures figures(machine, {.on = true}, Names(), errors, counters);
  const std::string tenant = "akku-punkt-lu";
  constexpr int kFlushes = 1500;
  for (int i = 0; i < kFlushes; ++i) {
    const Figures::Series s = figures.Of(0, &tenant);
    figures.Add(s, Figure::kRequests);
    figures.Opened(s);
    figures.Closed(s, Figure::kServed, i * kMs);
    figures.Flush();
  }
  const uint64_t dropped = counters.figures_dropped;
  CHECK(dropped > 0);
  std::string heard;
  char piece[4096];
  while (heard.find("request_time:1499.000") == std::string::npos) {
    figures.Flush();
    REQUIRE(Readable(in.get(), kPatience * 1000));
    heard.append(piece, static_cast<size_t>(read(in.get(), piece, sizeof piece)));
  }
  figures.Flush();
  while (Readable(in.get(), 0)) {
    heard.append(piece, static_cast<size_t>(read(in.get(), piece, sizeof piece)));
    figures.Flush();
  }
  CHECK(heard.size() < 4096 + 64 * 1024 + 100);
  CHECK(heard.find("request_time:0.000") != std::string::npos);    // in the pipe before it was full
  CHECK(heard.find("request_time:700.000") == std::string::npos);  // long waiting: gone
  CHECK(heard.find("request_time:1400.000") != std::string::npos);
  uint64_t told = 0, lines = 0;
  for (const std::string& line : Lines(heard)) {
    CAPTURE(line);
    if (line.starts_with("burlfall.figures_dropped:")) {
      told += std::stoul(line.substr(25));
    } else {
      CHECK(line.ends_with("|#class:swap-charge,tenant:akku-punkt-lu"));
      ++lines;
    }
  }
  CHECK(counters.figures_dropped == dropped);
  CHECK(lines + dropped >= 3 * kFlushes);  // those dropped may be lines that told of others
  CHECK(told > 0);
}

TEST_CASE("a file that was moved away is made anew, and a closed standard error is left alone") {
  Set set(false);
  set.Ask("akku-punkt-lu", 0);
  set.figures.Flush();
  TextFile moved;
  std::filesystem::rename(set.file.path, moved.path);
  set.Ask("akku-punkt-lu", 0);
  set.figures.Flush();
  CHECK_FALSE(std::filesystem::exists(set.file.path));
  set.figures.Reopen();
  set.Ask("akku-punkt-lu", 0);
  set.figures.Flush();
  CHECK(Lines(set.file.Text()).size() == 3);
  CHECK(Lines(moved.Text()).size() == 6);
  RealMachine machine;
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  Descriptor in(ends[0]);
  close(ends[1]);
  Outlet closed(machine.scheduler(), MakeDescriptorWriter(ends[1]));
  REQUIRE(dup2(in.get(), ends[1]) == ends[1]);  // the number is another's now
  Descriptor other(ends[1]);
  CHECK(closed.Offer("not for it\n") == Outlet::Taken::kNo);
}

TEST_CASE("over UDP no datagram is over its size, and a collector that is gone costs figures alone") {
  Peer server;
  std::optional<Collector> collector(std::in_place);
  TextFile file("figures.target = " + collector->target +
                "\nfigures.flush_ms = 20\nfigures.batch_bytes = 200\n");
  Program program(ConfigText({.known = Entry("s-1", server.port)}), {"serve", "--config", file.path});
  Link client = Link::To(program.port);
  std::optional<Link> link;
  auto ask = [&](const std::string& tenant) {
    client.Write(Query(tenant));
    if (!link) link.emplace(server.Accept());
    link->Read();
    link->Write(Ok("fine"));
    CHECK(client.Read().ends_with("fine"));
  };
  ask("wechselstrom-aare");
  std::string heard;
  while (heard.find("burlfall.request_time:") == std::string::npos) {
    std::string datagram = collector->Hear();
    CHECK(datagram.size() <= 200);
    CHECK(datagram.ends_with('\n'));
    heard += datagram;
  }
  CHECK(heard.find("burlfall.requests:1|c|#class:look,tenant:wechselstrom-aare\n") != std::string::npos);
  CHECK(heard.find("burlfall.served:1|c|#class:look,tenant:wechselstrom-aare\n") != std::string::npos);
  CHECK(heard.find("burlfall.attempts:1|c|#class:look,tenant:wechselstrom-aare\n") != std::string::npos);
  collector.reset();
  std::string counters;
  for (int i = 0; i < 500 && counters.find("figures_dropped=") == std::string::npos; ++i) {
    ask(std::string("t").append(std::to_string(i)));
    client.Write("GET /counters HTTP/1.1\r\n\r\n");
    counters = client.Read();
  }
  CHECK(counters.find("figures_dropped=") != std::string::npos);
  CHECK(program.Wait(SIGTERM) == 0);
}

TEST_CASE("a standard error that nobody reads stalls no query, and its other writers notice nothing") {
  Peer server;
  TextFile file("figures.flush_ms = 10\n");
  Program program(ConfigText({.known = Entry("s-1", server.port)}), {"serve", "--config", file.path});
  CHECK((fcntl(program.fd(), F_GETFL) & O_NONBLOCK) == 0);
  REQUIRE(fcntl(program.fd(), F_SETPIPE_SZ, 4096) == 4096);
  Link client = Link::To(program.port);
  std::optional<Link> link;
  for (int i = 0; i < 400; ++i) {
    client.Write(Query(std::string(60, 'x') + std::to_string(i % 50)));
    if (!link) link.emplace(server.Accept());
    link->Read();
    link->Write(Ok("fine"));
    REQUIRE(client.Read().ends_with("fine"));
    if (i == 200) program.Signal(SIGUSR1);
  }
  program.Signal(SIGHUP);
  client.Write("GET /counters HTTP/1.1\r\n\r\n");
  CHECK(client.Read().find("served=400") != std::string::npos);
  CHECK((fcntl(program.fd(), F_GETFL) & O_NONBLOCK) == 0);
  program.Signal(SIGTERM);
  CHECK(program.EndsUnread());
  CHECK(program.Wait() == 0);
  for (const std::string& line : Lines(program.output)) {  // none torn
    CAPTURE(line);
    CHECK((line.starts_with("burlfall: ") ||
           (line.starts_with("burlfall.") &&
            (line.find("|#class:look,tenant:xxx") != std::string::npos || line.ends_with("|c")))));
  }
}

TEST_CASE("the last figures are written at the exit") {
  TextFile out,
      file("figures.format = influx\nfigures.flush_ms = 3600000\nfigures.target = ./" + out.path + "\n");
  Peer server;
  Program program(ConfigText({.known = Entry("s-1", server.port)}), {"serve", "--config", file.path});
  Link client = Link::To(program.port);
  client.Write(Get("t"));
  Link link = server.Accept();
  link.Read();
  link.Write(Ok("fine"));
  CHECK(client.Read().ends_with("fine"));
  CHECK(out.Text().empty());
  CHECK(program.Wait(SIGTERM) == 0);
  CHECK(out.Text().starts_with("burlfall_requests,class=look,tenant=- count=1i\n"));
  CHECK(program.output.find("burlfall_") == std::string::npos);
}

}  // namespace burlfall
