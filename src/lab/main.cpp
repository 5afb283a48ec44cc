// The command line of burlfall-lab, which `burlfall lab` starts.
#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>

#include "lab/commands.h"
#include "lab/load_command.h"
#include "lab/node_command.h"

namespace {

constexpr int kUsageError = 2;

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Load and experiments around burlfall.", "burlfall lab");
  app.require_subcommand(1);
  int code = 0;
  burlfall::lab::AddExperiments(app, code);
  burlfall::lab::AddLoad(app, code);
  burlfall::lab::AddNode(app, code);
  try {
    app.parse(argc, argv);
    return code;
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : kUsageError;
  } catch (const std::exception& e) {
    std::cerr << "burlfall lab: " << e.what() << "\n";
    return 1;
  }
}
