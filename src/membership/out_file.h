// The file that remembers which hosts operators have taken out, from one process to the next.
//
//   burlfall-out 1
//   1717000000123456 s-5be2a07c
//   end 1
//
// A line a host: since when, in microseconds of Unix time, and its name, with %XX for blanks and control
// bytes.
#ifndef BURLFALL_MEMBERSHIP_OUT_FILE_H_
#define BURLFALL_MEMBERSHIP_OUT_FILE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "io/time.h"

namespace burlfall {

struct OutHost {
  std::string name;
  Micros since = 0;
  bool operator==(const OutHost&) const = default;
};

std::string WriteOutFile(const std::vector<OutHost>& hosts);
// Nothing where any of it can't be what was written: such a file is refused whole.
std::optional<std::vector<OutHost>> ReadOutFile(std::string_view text);

}  // namespace burlfall

#endif  // BURLFALL_MEMBERSHIP_OUT_FILE_H_
