// One run of gnuplot: a script in, a picture out.
#ifndef BURLFALL_LAB_REPORT_GNUPLOT_H_
#define BURLFALL_LAB_REPORT_GNUPLOT_H_

#include <chrono>
#include <string>
#include <string_view>

namespace burlfall::lab {

struct Picture {
  std::string svg;       // what gnuplot wrote; empty where it failed
  std::string error;     // why it failed, in one line
  std::string warning;   // what it said though it did not fail, the last line
  bool missing = false;  // there is no such program
};

// Blocks until the program ends or `limit` is over; then it is killed. `program` is looked up in PATH. No
// shell, no settings of the user's.
Picture RunGnuplot(const std::string& program, const std::string& script, std::chrono::milliseconds limit);

// A text between single quotes for a script: one line, at most `most` characters, nothing that could be more
// than text.
std::string Quoted(std::string_view text, std::size_t most = 60);

// An SVG by gnuplot made part of a page: without prologue, tooltips and marks that are not used, its ids
// begun with `id`, and `about` for those who can't see it. Empty where it is none.
std::string Inlined(std::string_view svg, const std::string& id, std::string_view about);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_REPORT_GNUPLOT_H_
