// The line with which the body of a node's answer begins, so that an answer can be attributed to its query.
#ifndef BURLFALL_LAB_SITE_MARK_H_
#define BURLFALL_LAB_SITE_MARK_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "lab/witness/observer.h"

namespace burlfall::lab {

// Appends "burl trace=00000000000000ff node=3 attempt=17\n", and padding up to `size`.
void AppendMark(std::string& body, const Mark& mark, size_t size = 0);
// Parses a body. Returns a mark without a trace unless the complete body is one that AppendMark() writes.
Mark ReadMark(std::string_view body);

// Parses a trace ID as in a header: 16 hexadecimal digits. 0: the text is malformed.
TraceId ReadTrace(std::string_view text);
void AppendTrace(std::string& to, TraceId trace);
std::string TraceText(TraceId trace);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_SITE_MARK_H_
