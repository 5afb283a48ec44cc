// The operators' file: what each line does, and how a bad one is told.
#define CATCH_CONFIG_MAIN
#include "config/properties.h"

#include <algorithm>

#include "stories/peers.h"

namespace burlfall {
namespace {

std::string Complaint(const std::string& text) {
  TextFile file(text);
  try {
    LoadProperties(file.path, *MakeRealFiles());
  } catch (const BadConfig& e) {
    std::string what = e.what();
    CHECK(what.starts_with(file.path + ": "));
    return what.substr(file.path.size() + 2);
  }
  return "";
}

Properties Load(const std::string& text) {
  TextFile file(text);
  return LoadProperties(file.path, *MakeRealFiles());
}

}  // namespace

TEST_CASE("a feature is on when the file holds one of its keys, unless it is told not to be") {
  CHECK(Load("").On() == "none");
  CHECK(Load("# figures.format = influx\n\n").On() == "none");
  Properties some = Load("figures.flush_ms=250\r\n  figures.format =  influx  # of two\n");
  CHECK(some.On() == "figures");
  CHECK(some.figures.influx);
  CHECK(some.figures.flush == 250 * kMs);
  CHECK(some.figures.batch_bytes == 1400);
  CHECK(some.figures.target == "stderr");
  CHECK(Load("figures.enabled = true").On() == "figures");
  CHECK(Load("figures.flush_ms = 250\nfigures.enabled = false\n").On() == "none");
  CHECK(Load("figures.enabled = false\nfigures.flush_ms = 250\n").On() == "none");
  CHECK(Load("figures.target = 127.0.0.1:8125").figures.collector);
  CHECK_FALSE(Load("figures.target = /tmp/a:b").figures.collector);
}

TEST_CASE("what can't be used is told in one line that names the key") {
  CHECK(Complaint("figures.colour = red") == "unknown key figures.colour");
  CHECK(Complaint("figure.format = statsd") == "unknown key figure.format");
  CHECK(Complaint("enabled = true") == "unknown key enabled");
  CHECK(Complaint("figures.format = xml") == "figures.format: neither statsd nor influx: xml");
  CHECK(Complaint("figures.enabled = yes") == "figures.enabled: neither true nor false: yes");
  CHECK(Complaint("figures.flush_ms = 1\nfigures.flush_ms = 2").find("figures.flush_ms: ") == 0);
  CHECK(Complaint("figures.flush_ms = 50\nfigures.flush_ms = 60") == "figures.flush_ms: stands there twice");
  CHECK(Complaint("figures.target = localhost:8125") == "figures.target: not an address: localhost:8125");
  CHECK(Complaint("figures.target = 127.0.0.1:99999").find("not an address") != std::string::npos);
  for (std::string bad : {"", "-1", "1.5", "50x", "0", "99999999999999999999"}) {
    CAPTURE(bad);
    CHECK(Complaint("figures.flush_ms = " + bad).find("figures.flush_ms: not a whole number") == 0);
    CHECK(Complaint("figures.batch_bytes = " + bad).find("figures.batch_bytes: not a whole number") == 0);
  }
  CHECK(Complaint("door.key = colour") == "door.key: neither tenant nor address: colour");
  CHECK(Complaint("door.rate. = 5") == "unknown key door.rate.");
  CHECK(Complaint("door.rates.a = 5") == "unknown key door.rates.a");
  for (std::string bad : {"", "-1", "x", "nan", "inf", "1e9", "5/s"}) {
    CAPTURE(bad);
    CHECK(Complaint("door.rate.a = " + bad).find("door.rate.a: not a number from 0") == 0);
    CHECK(Complaint("door.burst.default = " + bad).find("door.burst.default: not a number from 1") == 0);
  }
  CHECK(Complaint("door.max_keys = 0").find("door.max_keys: not a whole number") == 0);
  CHECK(Complaint("just words") == "a line that is not key = value");
}

TEST_CASE("on the command line a bad file is one line and exit code 2, before anything starts") {
  const std::string config = ConfigText({.known = Entry("s-1", 1)});
  TextFile good("figures.format = influx\n"), bad("figures.format = xml\n");
  for (std::string command : {"serve", "check-config"}) {
    for (std::string file : {bad.path, std::string("/nowhere/at.all"), std::string("/")}) {
      CAPTURE(command, file);
      Program program(config, {command, "--config", file});
      CHECK(program.Wait() == 2);
      CHECK(program.output.starts_with("burlfall: " + file + ": "));
      CHECK(std::count(program.output.begin(), program.output.end(), '\n') == 1);
    }
  }
  Program check(config, {"check-config", "--config", good.path});
  CHECK(check.Wait() == 0);
  CHECK(check.output.ends_with("; features on: figures\n"));
  CHECK(Program(config, {"serve", "--config"}).Wait() == 2);
  CHECK(Program(config, {"serve", "--config", ""}).Wait() == 2);
  CHECK(Program(config, {"serve", "--config="}).Wait() == 2);
  CHECK(Program(config, {"serve", "more"}).Wait() == 2);
  CHECK(Program(config, {"serve", "--help"}).Wait() == 0);
}

TEST_CASE("on SIGHUP the file is read anew, and a bad one leaves the old in force") {
  Peer discovery;
  TextFile file("figures.flush_ms = 3600000\n");
  Program program(ConfigText({.discovery = discovery.port}), {"serve", "--config", file.path});
  file.Write("figures.flush_ms = soon\n");
  program.Signal(SIGHUP);
  CHECK(program.ReadLineExceptDiscovery() == "burlfall: configuration read anew\n");
  CHECK(program.ReadLineExceptDiscovery().starts_with("burlfall: properties kept as they were: "));
  file.Write("figures.flush_ms = 3600000\n");
  program.Signal(SIGHUP);
  CHECK(program.ReadLineExceptDiscovery() == "burlfall: configuration read anew\n");
  CHECK(program.ReadLineExceptDiscovery().starts_with("burlfall: properties read anew"));
  CHECK(program.Wait(SIGTERM) == 0);
}

}  // namespace burlfall
