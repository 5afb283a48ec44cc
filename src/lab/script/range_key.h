// How the lab's ranges stand in TOML files: as those that the schema knows.
#ifndef BURLFALL_LAB_SCRIPT_RANGE_KEY_H_
#define BURLFALL_LAB_SCRIPT_RANGE_KEY_H_

#include "config/schema.h"
#include "lab/script/experiment.h"

namespace burlfall::schema_internal {

// The lab's ranges are numbers all, and known without the schema.
template <>
struct Codec<lab::Range> {
  static void Describe(KeySpec& key) { Codec<Range<double>>::Describe(key); }
  static lab::Range From(const TomlValue& value) {
    const Range<double> range = Codec<Range<double>>::From(value);
    return {range.low, range.high};
  }
  static TomlValue To(const lab::Range& e) { return Codec<Range<double>>::To({e.low, e.high}); }
};

}  // namespace burlfall::schema_internal

#endif  // BURLFALL_LAB_SCRIPT_RANGE_KEY_H_
