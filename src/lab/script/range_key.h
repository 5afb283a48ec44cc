// The TOML representation of lab::Range: the same as that of the schema's own Range<double>.
#ifndef BURLFALL_LAB_SCRIPT_RANGE_KEY_H_
#define BURLFALL_LAB_SCRIPT_RANGE_KEY_H_

#include "config/schema.h"
#include "lab/script/experiment.h"

namespace burlfall::schema_internal {

// lab::Range is a type of its own so that experiment.h does not depend on the schema.
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
