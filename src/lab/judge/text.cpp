#include "lab/judge/text.h"

#include <cstdarg>
#include <cstdio>

namespace burlfall::lab {

std::string Format(const char* format, ...) {
  char text[512];  // longer texts are truncated: names come from an experiment's file
  va_list values;
  va_start(values, format);
  std::vsnprintf(text, sizeof text, format, values);
  va_end(values);
  return text;
}

std::string HexOf(uint64_t trace) { return Format("%016llx", static_cast<unsigned long long>(trace)); }

}  // namespace burlfall::lab
