// The line that a node writes at the front of an answer's body, and reading it back.
#ifndef BURLFALL_LAB_SITE_MARK_H_
#define BURLFALL_LAB_SITE_MARK_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "lab/witness/observer.h"

namespace burlfall::lab {

// "burl trace=00000000000000ff node=3 attempt=17\n", and padding up to `size`.
void AppendMark(std::string& body, const Mark& mark, size_t size = 0);
// Of a body that AppendMark() made, to its last byte; else a mark with no trace.
Mark ReadMark(std::string_view body);

// A trace as it stands in a header: 16 hexadecimal digits. 0: it is no such text.
TraceId ReadTrace(std::string_view text);
void AppendTrace(std::string& to, TraceId trace);
std::string TraceText(TraceId trace);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_SITE_MARK_H_
