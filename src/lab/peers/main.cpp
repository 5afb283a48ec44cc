// `burlfall serve` with a peer in place of its decisions.
#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "config/properties.h"
#include "io/real_machine.h"
#include "lab/peers/peers.h"
#include "serve/serve.h"

namespace {

using namespace burlfall;

constexpr int kUsageError = 2;

int Run(int argc, char** argv) {
  CLI::App app("Serves as burlfall does, on the same sockets, and decides as a peer does.",
               "burlfall-lab-serve");
  std::string policy, path, format = "text";
  app.add_option("--policy", policy, "the peer that decides")
      ->required()
      ->check(CLI::IsMember(
          std::vector<std::string>(meadowslip::PeerNames().begin(), meadowslip::PeerNames().end())));
  app.add_option("--config", path, "the operators' properties; without them every feature is off");
  app.add_option("--log-format", format, "text, or json: each event of the log as one line of JSON")
      ->check(CLI::IsMember({"text", "json"}));
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : kUsageError;
  }
  if (!path.empty() && LoadProperties(path, RealMachine().files()).capture.on) {
    std::cerr << "burlfall-lab-serve: " << path << ": a peer has no state to capture: capture must be off\n";
    return 1;
  }
  meadowslip::UsePeer(policy);
  return Serve(path, *ReadLogFormat(format));
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << "burlfall-lab-serve: " << e.what() << "\n";
    return 1;
  }
}
