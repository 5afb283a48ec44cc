// What a command line names: a file, or one of those that ship with the program.
#ifndef BURLFALL_LAB_SOURCE_H_
#define BURLFALL_LAB_SOURCE_H_

#include <optional>
#include <string>

namespace burlfall::lab {

struct Source {
  std::string name;
  std::string text;
};

// Nothing, and a line on standard error, where there is none of that name. `what` it would be, and which
// command of the lab names those that ship, are for that line.
std::optional<Source> FindSource(const std::string& word, const std::string& what, const std::string& list);

void Complain(const std::string& what);  // a line on standard error

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_SOURCE_H_
