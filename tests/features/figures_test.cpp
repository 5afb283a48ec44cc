// Figures (metrics): their text formats, their memory limits, and their targets.
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

// Figures written to a file.
struct FiguresInFile {
  explicit FiguresInFile(bool influx, size_t batch_bytes = 1400)
      : figures(machine, {.on = true, .influx = influx, .target = file.path, .batch_bytes = batch_bytes},
                Names(), errors, counters) {}
  std::string Flushed() {
    file.Write("");
    figures.Flush();
    return file.Text();
  }
  void SendRequest(const std::string& tenant, Micros took, int cls = 0) {
    Figures::Series s = figures.SeriesOf(cls, &tenant);
    figures.Add(s, Figure::kRequests);
    figures.Opened(s);
    figures.Closed(s, Figure::kServed, took);
  }
  TextFile file;
  RealMachine machine;
  LineSink errors{machine.scheduler(), machine.StandardError()};
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
  std::string Receive() {
    char piece[65536];
    REQUIRE(Readable(fd.get(), kTimeoutSeconds * 1000));
    return {piece, static_cast<size_t>(recv(fd.get(), piece, sizeof piece, 0))};
  }
  Descriptor fd;
  std::string target;
};

std::string Query(const std::string& tenant) { return Get("t", "X-Customer: " + tenant + "\r\n"); }

}  // namespace

TEST_CASE("the statsd text has the format that collectors parse") {
  FiguresInFile fixture(false);
  fixture.SendRequest("akku-punkt-lu", 12500);
  CHECK(fixture.Flushed() ==
        "burlfall.requests:1|c|#class:swap-charge,tenant:akku-punkt-lu\n"
        "burlfall.served:1|c|#class:swap-charge,tenant:akku-punkt-lu\n"
        "burlfall.request_time:12.500|ms|#class:swap-charge,tenant:akku-punkt-lu\n");
  CHECK(fixture.Flushed().empty());
  Figures::Series open = fixture.figures.SeriesOf(-1, nullptr);
  fixture.figures.Opened(open);
  CHECK(fixture.Flushed() == "burlfall.open:1|g|#class:other,tenant:-\n");
  CHECK(fixture.Flushed() == "burlfall.open:1|g|#class:other,tenant:-\n");
  fixture.figures.Closed(open, Figure::kLeft, 1000);
  CHECK(fixture.Flushed().find("burlfall.open:0|g|#class:other,tenant:-\n") != std::string::npos);
  CHECK(fixture.Flushed().empty());
}

TEST_CASE("the influx text has the format that collectors parse") {
  FiguresInFile fixture(true);
  fixture.SendRequest("akku-punkt-lu", 10000);
  fixture.SendRequest("akku-punkt-lu", 20000);
  CHECK(fixture.Flushed() ==
        "burlfall_requests,class=swap-charge,tenant=akku-punkt-lu count=2i\n"
        "burlfall_served,class=swap-charge,tenant=akku-punkt-lu count=2i\n"
        "burlfall_request_time,class=swap-charge,tenant=akku-punkt-lu "
        "count=2i,sum=30.000,min=10.000,max=20.000,mean=15.000\n");
}

TEST_CASE("a tenant's name can't break out of its tag") {
  const std::string odd = "a,b=c d:e|f#g\\h\ti\xc3\xbc";
  FiguresInFile statsd(false), influx(true);
  statsd.SendRequest(odd, 0);
  influx.SendRequest(odd, 0);
  CHECK(statsd.Flushed().find("tenant:a_b_c_d_e_f_g_h_i__\n") != std::string::npos);
  CHECK(influx.Flushed().find(",tenant=a\\,b\\=c\\ d:e|f#g_h_i__ count=1i\n") != std::string::npos);
  statsd.SendRequest("", 0);
  CHECK(statsd.Flushed().find("tenant:-\n") != std::string::npos);
  statsd.SendRequest(std::string(5000, 'x'), 0);
  CHECK(statsd.Flushed().find("tenant:" + std::string(64, 'x') + "\n") != std::string::npos);
}

TEST_CASE(
    "the number of made-up tenants is limited, none is lost, and configured tenants retain their series") {
  FiguresInFile fixture(false, 32768);
  for (int i = 0; i < 5000; ++i) fixture.SendRequest(std::string("t").append(std::to_string(i)), 0);
  fixture.SendRequest("akku-punkt-lu", 0);
  std::vector<std::string> lines = Lines(fixture.Flushed());
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
  CHECK(fixture.counters.figures_dropped == 0);
  for (int i = 0; i < 70; ++i) fixture.Flushed();  // idle tenants are released
  fixture.SendRequest("late-comer", 0);
  CHECK(fixture.Flushed().find("tenant:late-comer") != std::string::npos);
}

TEST_CASE("with more configured tenants than fixed series, each has a series while it is active") {
  meadowslip::Settings names = Names();
  for (int i = 0; i < 60000; ++i)
    names.tenants.emplace_back().name = std::string("n").append(std::to_string(i));
  TextFile file;
  RealMachine machine;
  const size_t before = machine.ResidentBytes();
  LineSink errors(machine.scheduler(), machine.StandardError());
  Counters counters;
  Figures figures(machine, {.on = true, .target = file.path, .batch_bytes = 32768}, names, errors, counters);
  CHECK(machine.ResidentBytes() - before < size_t{16} << 20);
  for (int round = 0; round < 3; ++round) {
    for (int i = 0; i < 100; ++i) {
      const std::string tenant = std::string("n").append(std::to_string(20000 * round + i));
      figures.Add(figures.SeriesOf(0, &tenant), Figure::kRequests);
    }
    file.Write("");
    figures.Flush();
    const std::string text = file.Text();
    CHECK(Lines(text).size() == 100);
    CHECK(text.find("tenant:other") == std::string::npos);
  }
}

TEST_CASE("many times are sampled, with the sample rate") {
  FiguresInFile fixture(false);
  for (int i = 0; i < 128; ++i) fixture.SendRequest("akku-punkt-lu", 1000);
  std::vector<std::string> lines = Lines(fixture.Flushed());
  CHECK(std::count(lines.begin(), lines.end(),
                   "burlfall.request_time:1.000|ms|@0.25|#class:swap-charge,tenant:akku-punkt-lu") == 32);
}

TEST_CASE("if nothing can be written, figures are dropped, the oldest first, and counted") {
  FiguresInFile fixture(false);
  std::filesystem::remove(fixture.file.path);
  std::filesystem::create_directory(fixture.file.path);  // a folder, so no file can be opened
  fixture.SendRequest("akku-punkt-lu", 0);
  fixture.figures.Flush();
  CHECK(fixture.counters.figures_dropped == 3);
  std::filesystem::remove(fixture.file.path);
  fixture.figures.Flush();
  CHECK(fixture.file.Text() == "burlfall.figures_dropped:3|c\n");
}

TEST_CASE("full pipes and sockets get lines later, complete and in order, and no write blocks") {
  signal(SIGPIPE, SIG_IGN);  // as the program does
  for (std::string kind : {"opened anew", "shared", "socket"}) {
    CAPTURE(kind);
    int ends[2];
    REQUIRE((kind == "socket" ? socketpair(AF_UNIX, SOCK_STREAM, 0, ends) : pipe(ends)) == 0);
    Descriptor in(ends[0]), out(ends[1]);
    RealMachine machine;
    LineSink sink(machine.scheduler(), MakeDescriptorWriter(out.get(), kind != "shared"));
    std::string sent;
    LineSink::Result taken = LineSink::Result::kWritten;
    for (int i = 0; taken == LineSink::Result::kWritten; ++i) {
      const std::string lines = std::to_string(i) + std::string(6000, 'x') + "\n";
      taken = sink.TryWrite(lines);
      if (taken == LineSink::Result::kWritten) sent += lines;
    }
    CHECK(taken == LineSink::Result::kNoRoom);
    sink.WriteOrBuffer("said\n");
    sent += "said\n";
    CHECK((fcntl(out.get(), F_GETFL) & O_NONBLOCK) == 0);
    CHECK_FALSE(sink.Drain(50 * kMs));
    std::string received;
    char piece[4096];
    while (received.size() < sent.size()) {
      sink.Drain(0);
      REQUIRE(Readable(in.get(), kTimeoutSeconds * 1000));
      received.append(piece, static_cast<size_t>(read(in.get(), piece, sizeof piece)));
    }
    CHECK(received == sent);
    in = Descriptor();
    CHECK(sink.TryWrite("nobody\n") == LineSink::Result::kFailed);
  }
}

TEST_CASE("the output queue stays under 64 KiB, and drops the oldest first") {
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  Descriptor in(ends[0]), out(ends[1]);
  REQUIRE(fcntl(out.get(), F_SETPIPE_SZ, 4096) == 4096);
  RealMachine machine;
  LineSink errors(machine.scheduler(), MakeDescriptorWriter(out.get()));
  Counters counters;
  Figures figures(machine, {.on = true}, Names(), errors, counters);
  const std::string tenant = "akku-punkt-lu";
  constexpr int kFlushes = 1500;
  for (int i = 0; i < kFlushes; ++i) {
    const Figures::Series s = figures.SeriesOf(0, &tenant);
    figures.Add(s, Figure::kRequests);
    figures.Opened(s);
    figures.Closed(s, Figure::kServed, i * kMs);
    figures.Flush();
  }
  const uint64_t dropped = counters.figures_dropped;
  CHECK(dropped > 0);
  std::string received;
  char piece[4096];
  while (received.find("request_time:1499.000") == std::string::npos) {
    figures.Flush();
    REQUIRE(Readable(in.get(), kTimeoutSeconds * 1000));
    received.append(piece, static_cast<size_t>(read(in.get(), piece, sizeof piece)));
  }
  figures.Flush();
  while (Readable(in.get(), 0)) {
    received.append(piece, static_cast<size_t>(read(in.get(), piece, sizeof piece)));
    figures.Flush();
  }
  CHECK(received.size() < 4096 + 64 * 1024 + 100);
  CHECK(received.find("request_time:0.000") != std::string::npos);  // written to the pipe before it was full
  CHECK(received.find("request_time:700.000") == std::string::npos);  // dropped from the queue
  CHECK(received.find("request_time:1400.000") != std::string::npos);
  uint64_t told = 0, lines = 0;
  for (const std::string& line : Lines(received)) {
    CAPTURE(line);
    if (line.starts_with("burlfall.figures_dropped:")) {
      told += std::stoul(line.substr(25));
    } else {
      CHECK(line.ends_with("|#class:swap-charge,tenant:akku-punkt-lu"));
      ++lines;
    }
  }
  CHECK(counters.figures_dropped == dropped);
  CHECK(lines + dropped >= 3 * kFlushes);  // dropped lines may include earlier figures_dropped lines
  CHECK(told > 0);
}

TEST_CASE("a file that was moved away is reopened, and a closed standard error is not written to") {
  FiguresInFile fixture(false);
  fixture.SendRequest("akku-punkt-lu", 0);
  fixture.figures.Flush();
  TextFile moved;
  std::filesystem::rename(fixture.file.path, moved.path);
  fixture.SendRequest("akku-punkt-lu", 0);
  fixture.figures.Flush();
  CHECK_FALSE(std::filesystem::exists(fixture.file.path));
  fixture.figures.Reopen();
  fixture.SendRequest("akku-punkt-lu", 0);
  fixture.figures.Flush();
  CHECK(Lines(fixture.file.Text()).size() == 3);
  CHECK(Lines(moved.Text()).size() == 6);
  RealMachine machine;
  int ends[2];
  REQUIRE(pipe(ends) == 0);
  Descriptor in(ends[0]);
  close(ends[1]);
  LineSink closed(machine.scheduler(), MakeDescriptorWriter(ends[1]));
  REQUIRE(dup2(in.get(), ends[1]) == ends[1]);  // the descriptor's number now belongs to another file
  Descriptor other(ends[1]);
  CHECK(closed.TryWrite("not for it\n") == LineSink::Result::kFailed);
}

TEST_CASE("no UDP datagram exceeds its size, and a collector that is gone costs only figures") {
  Peer server;
  std::optional<Collector> collector(std::in_place);
  TextFile file("figures.target = " + collector->target +
                "\nfigures.flush_ms = 20\nfigures.batch_bytes = 200\n");
  Program program(ConfigText({.known = Entry("s-1", server.port)}), {"serve", "--config", file.path});
  Link client = Link::To(program.port);
  std::optional<Link> link;
  auto ask = [&](const std::string& tenant) {
    client.Write(Query(tenant));
    server.AwaitQuery(link);
    link->Read();
    link->Write(Ok("fine"));
    CHECK(client.Read().ends_with("fine"));
  };
  ask("wechselstrom-aare");
  std::string received;
  while (received.find("burlfall.request_time:") == std::string::npos) {
    std::string datagram = collector->Receive();
    CHECK(datagram.size() <= 200);
    CHECK(datagram.ends_with('\n'));
    received += datagram;
  }
  CHECK(received.find("burlfall.requests:1|c|#class:look,tenant:wechselstrom-aare\n") != std::string::npos);
  CHECK(received.find("burlfall.served:1|c|#class:look,tenant:wechselstrom-aare\n") != std::string::npos);
  CHECK(received.find("burlfall.attempts:1|c|#class:look,tenant:wechselstrom-aare\n") != std::string::npos);
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
    server.AwaitQuery(link);
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
  CHECK(program.ExitsWithoutReader());
  CHECK(program.Wait() == 0);
  for (const std::string& line : Lines(program.output)) {  // no line is truncated or mixed
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
