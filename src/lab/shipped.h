// The experiments that ship with the program, within it: `burlfall lab run demo` needs no file.
#ifndef BURLFALL_LAB_SHIPPED_H_
#define BURLFALL_LAB_SHIPPED_H_

#include <string_view>
#include <vector>

namespace burlfall::lab {

struct Shipped {
  // Fleets are hundreds of processes, which `lab fleet` plays; members are scenarios of `lab members`.
  enum class Kind { kExperiment, kFleet, kMembers };
  std::string_view name;  // the file's, without its ending
  std::string_view text;
  Kind kind = Kind::kExperiment;
};
const std::vector<Shipped>& AllShipped();  // by name
std::string_view ShippedStart();           // deploy/start.toml

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_SHIPPED_H_
