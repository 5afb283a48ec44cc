// Helpers for readable text: lines of timelines, reasons and tables.
#ifndef BURLFALL_LAB_JUDGE_TEXT_H_
#define BURLFALL_LAB_JUDGE_TEXT_H_

#include <cstdint>
#include <string>

#include "io/time.h"

namespace burlfall::lab {

__attribute__((format(printf, 1, 2))) std::string Format(const char* format, ...);
std::string HexOf(uint64_t trace);  // as in X-Trace-Id
inline double Ms(Micros span) { return static_cast<double>(span) / kMs; }

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_JUDGE_TEXT_H_
