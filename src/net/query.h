// A query on its way: from its last byte to its final answer and the end of its last attempt.
#ifndef BURLFALL_NET_QUERY_H_
#define BURLFALL_NET_QUERY_H_

#include <string>
#include <vector>

#include "meadowslip/balancer.h"
#include "net/http.h"
#include "net/scheduler.h"

namespace burlfall {

class ClientLink;

struct Attempt {
  meadowslip::BackendId backend = 0;
  Micros sent_at = 0;
  bool ended = false;  // its outcome is known, though the module may not have heard yet
  Task<> task;
};

struct Query {
  meadowslip::Request request;
  HttpMessage message;
  ClientLink* client = nullptr;  // while it is owed an answer
  bool closed = false;           // answered, or the client has left
  // What the client called it, for the capture. The headers stay where they are when a message is moved.
  const std::string* trace = nullptr;
  const std::string* tenant = nullptr;
  std::string odd_class;  // where the settings don't name it
  uint32_t series = 0;    // of its figures
  Micros taken_at = 0;
  int out = 0;  // attempts whose results the module has not been told
  std::vector<Attempt> attempts;
};

}  // namespace burlfall

#endif  // BURLFALL_NET_QUERY_H_
