// A client's query as it stands on the wire.
#ifndef BURLFALL_LAB_LOAD_QUERY_TEXT_H_
#define BURLFALL_LAB_LOAD_QUERY_TEXT_H_

#include <string>
#include <vector>

#include "lab/script/experiment.h"
#include "lab/script/script.h"
#include "lab/witness/observer.h"

namespace burlfall::lab {

class QueryText {
 public:
  QueryText(const std::vector<ClassSpec>& classes, const std::vector<TenantSpec>& tenants);

  // `number`: of the try; `left`: for how long its client goes on waiting.
  void Append(std::string& out, const Arrival& query, TraceId trace, int number, Micros left) const;

 private:
  struct Class {
    std::string start;  // of the first line, up to the key
    std::string end;    // of the head, and the body
    bool keyed = false;
  };
  std::vector<Class> classes_;
  std::vector<std::string> tenants_;  // the header
};

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_LOAD_QUERY_TEXT_H_
