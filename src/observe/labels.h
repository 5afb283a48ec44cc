// Names that a client gave with its query, for logs, figures and captures.
#ifndef BURLFALL_OBSERVE_LABELS_H_
#define BURLFALL_OBSERVE_LABELS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "meadowslip/balancer.h"

namespace burlfall {

struct Labels {
  const std::string* trace = nullptr;  // point into the query and live as long as it
  const std::string* tenant = nullptr;
  std::string unknown_class;  // the class as the client sent it, if the settings don't name it
  uint32_t series = 0;        // index of the query's series in Figures
};

// Maps the module's numeric server ids to names.
class ServerNames {
 public:
  virtual uint64_t version() const = 0;                                 // of the server list received last
  virtual std::string_view NameOf(meadowslip::BackendId id) const = 0;  // empty: unknown id
  virtual std::vector<std::pair<meadowslip::BackendId, std::string_view>> AllNames() const = 0;

 protected:
  ~ServerNames() = default;
};

}  // namespace burlfall

#endif  // BURLFALL_OBSERVE_LABELS_H_
