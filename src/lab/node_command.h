// `burlfall lab node`: a stand-in node alone, to put a load tool on.
#ifndef BURLFALL_LAB_NODE_COMMAND_H_
#define BURLFALL_LAB_NODE_COMMAND_H_

#include <CLI/CLI.hpp>

namespace burlfall::lab {

void AddNode(CLI::App& lab, int& code);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_NODE_COMMAND_H_
