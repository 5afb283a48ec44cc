// The command lines of `burlfall lab` around experiments: list, check, run, compare, report, table.
#ifndef BURLFALL_LAB_COMMANDS_H_
#define BURLFALL_LAB_COMMANDS_H_

#include <CLI/CLI.hpp>

namespace burlfall::lab {

// Adds the commands; once the line has been parsed, the exit code is in `code`: 0 done, 1 it went wrong or a
// rule broke, 2 a file that can't be used.
void AddExperiments(CLI::App& lab, int& code);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_COMMANDS_H_
