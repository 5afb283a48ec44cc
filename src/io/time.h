// Times and durations, everywhere in microseconds.
#ifndef BURLFALL_IO_TIME_H_
#define BURLFALL_IO_TIME_H_

#include <cstdint>
#include <limits>

namespace burlfall {

using Micros = int64_t;  // a point in time (Unix time), or a duration
constexpr Micros kMs = 1000;
constexpr Micros kSecond = 1000 * kMs;
constexpr Micros kNever = std::numeric_limits<Micros>::max();

}  // namespace burlfall

#endif  // BURLFALL_IO_TIME_H_
