// The kinds of configuration files that `burlfall-config` supports. A library adds its own
// with one line in src/tools/kinds.cpp:
//
//   {"experiment", "what the laboratory plays", ExperimentSchema().Spec()},
#ifndef BURLFALL_CONFIG_KINDS_H_
#define BURLFALL_CONFIG_KINDS_H_

#include <string>
#include <string_view>
#include <vector>

#include "config/key_spec.h"

namespace burlfall {

struct Kind {
  std::string name;  // of its reference page, and of its files: NAME.toml and anything.NAME.toml
  std::string what;  // description in one line
  TableSpec schema;
  // A top-level key that identifies files of this kind, whatever their name; empty: `name`.
  std::string top_key = "";
};

// Defined by each program, because the list depends on libraries that depend on this one.
const std::vector<Kind>& Kinds();

// Returns the kind of a file by its name or, failing that, by the first top-level key that identifies one;
// nullptr if neither does. `text` need not be valid TOML.
const Kind* KindOfFile(const std::vector<Kind>& kinds, std::string_view file, std::string_view text);

}  // namespace burlfall

#endif  // BURLFALL_CONFIG_KINDS_H_
