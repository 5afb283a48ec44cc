// The file that records which hosts operators have taken out of service, across restarts.
//
//   burlfall-out 1
//   1717000000123456 s-5be2a07c
//   end 1
//
// One line per host: since when (Unix time in microseconds) and its name, with blanks and control bytes as
// %XX.
#ifndef BURLFALL_MEMBERSHIP_OUT_FILE_H_
#define BURLFALL_MEMBERSHIP_OUT_FILE_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "io/time.h"

namespace burlfall {

// A host out of service.
struct OutHost {
  std::string name;
  Micros since = 0;
  bool operator==(const OutHost&) const = default;
};

std::string WriteOutFile(const std::vector<OutHost>& hosts);
// Returns nullopt if any part is malformed: such a file is rejected as a whole.
std::optional<std::vector<OutHost>> ReadOutFile(std::string_view text);

}  // namespace burlfall

#endif  // BURLFALL_MEMBERSHIP_OUT_FILE_H_
