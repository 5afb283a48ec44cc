// `burlfall lab council`: the command line around councils of real processes.
#ifndef BURLFALL_LAB_COUNCIL_COMMAND_H_
#define BURLFALL_LAB_COUNCIL_COMMAND_H_

#include <CLI/CLI.hpp>

namespace burlfall::lab {

// Adds the command; once the line has been parsed, its exit code is in `code`.
void AddCouncil(CLI::App& lab, int& code);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_COUNCIL_COMMAND_H_
