// The operators' properties file: the effect of each line, and the errors for invalid ones.
#define CATCH_CONFIG_MAIN
#include "config/properties.h"

#include <algorithm>

#include "stories/peers.h"

namespace burlfall {
namespace {

std::string ErrorOf(const std::string& text) {
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

TEST_CASE("a feature is on if the file has one of its keys, unless enabled is false") {
  CHECK(Load("").EnabledFeatures() == "none");
  CHECK(Load("# figures.format = influx\n\n").EnabledFeatures() == "none");
  Properties some = Load("figures.flush_ms=250\r\n  figures.format =  influx  # of two\n");
  CHECK(some.EnabledFeatures() == "figures");
  CHECK(some.figures.influx);
  CHECK(some.figures.flush == 250 * kMs);
  CHECK(some.figures.batch_bytes == 1400);
  CHECK(some.figures.target == "stderr");
  CHECK(Load("figures.enabled = true").EnabledFeatures() == "figures");
  CHECK(Load("figures.flush_ms = 250\nfigures.enabled = false\n").EnabledFeatures() == "none");
  CHECK(Load("figures.enabled = false\nfigures.flush_ms = 250\n").EnabledFeatures() == "none");
  CHECK(Load("figures.target = 127.0.0.1:8125").figures.collector);
  CHECK_FALSE(Load("figures.target = /tmp/a:b").figures.collector);
}

TEST_CASE("errors are one line that names the key") {
  CHECK(ErrorOf("figures.colour = red") == "unknown key figures.colour");
  CHECK(ErrorOf("figure.format = statsd") == "unknown key figure.format");
  CHECK(ErrorOf("enabled = true") == "unknown key enabled");
  CHECK(ErrorOf("figures.format = xml") == "figures.format: neither statsd nor influx: xml");
  CHECK(ErrorOf("figures.enabled = yes") == "figures.enabled: neither true nor false: yes");
  CHECK(ErrorOf("figures.flush_ms = 1\nfigures.flush_ms = 2").find("figures.flush_ms: ") == 0);
  CHECK(ErrorOf("figures.flush_ms = 50\nfigures.flush_ms = 60") == "figures.flush_ms: stands there twice");
  CHECK(ErrorOf("figures.target = localhost:8125") == "figures.target: not an address: localhost:8125");
  CHECK(ErrorOf("figures.target = 127.0.0.1:99999").find("not an address") != std::string::npos);
  for (std::string bad : {"", "-1", "1.5", "50x", "0", "99999999999999999999"}) {
    CAPTURE(bad);
    CHECK(ErrorOf("figures.flush_ms = " + bad).find("figures.flush_ms: not a whole number") == 0);
    CHECK(ErrorOf("figures.batch_bytes = " + bad).find("figures.batch_bytes: not a whole number") == 0);
  }
  CHECK(ErrorOf("door.key = colour") == "door.key: neither tenant nor address: colour");
  CHECK(ErrorOf("door.rate. = 5") == "unknown key door.rate.");
  CHECK(ErrorOf("door.rates.a = 5") == "unknown key door.rates.a");
  for (std::string bad : {"", "-1", "x", "nan", "inf", "1e9", "5/s"}) {
    CAPTURE(bad);
    CHECK(ErrorOf("door.rate.a = " + bad).find("door.rate.a: not a number from 0") == 0);
    CHECK(ErrorOf("door.burst.default = " + bad).find("door.burst.default: not a number from 1") == 0);
  }
  CHECK(ErrorOf("door.max_keys = 0").find("door.max_keys: not a whole number") == 0);
  CHECK(ErrorOf("just words") == "a line that is not key = value");
}

TEST_CASE("an invalid file on the command line gives one line and exit code 2, before anything starts") {
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

TEST_CASE("SIGHUP reloads the file, and an invalid one leaves the old settings in force") {
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
