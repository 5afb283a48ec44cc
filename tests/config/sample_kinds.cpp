// The list of kinds for burlfall-config-sample: only the sample kind of file.
#include "config/kinds.h"
#include "config/sample.h"

namespace burlfall {

const std::vector<Kind>& Kinds() {
  static const std::vector<Kind> kKinds = {
      {"sample", "what the tests read", sample::SiteSchema().Spec(), "nodes"},
  };
  return kKinds;
}

}  // namespace burlfall
