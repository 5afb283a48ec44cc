// `burlfall lab members`: the command line around clusters of members.
#ifndef BURLFALL_LAB_MEMBERS_COMMAND_H_
#define BURLFALL_LAB_MEMBERS_COMMAND_H_

#include <CLI/CLI.hpp>

namespace burlfall::lab {

// Adds the command; once the line has been parsed, its exit code is in `code`.
void AddMembers(CLI::App& lab, int& code);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_MEMBERS_COMMAND_H_
