// splitmix64: a hash of a 64-bit number, identical on every platform.
#ifndef BURLFALL_KIT_MIX_H_
#define BURLFALL_KIT_MIX_H_

#include <cstdint>

namespace burlfall::kit {

constexpr uint64_t Mix(uint64_t x) {
  x += 0x9e3779b97f4a7c15;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9;
  x = (x ^ (x >> 27)) * 0x94d049bb133111eb;
  return x ^ (x >> 31);
}

}  // namespace burlfall::kit

#endif  // BURLFALL_KIT_MIX_H_
