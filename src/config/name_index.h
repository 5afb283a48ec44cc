// Where a name stands in a list of the settings, found alike fast among three and among many thousand.
#ifndef BURLFALL_CONFIG_NAME_INDEX_H_
#define BURLFALL_CONFIG_NAME_INDEX_H_

#include <cstddef>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace burlfall {

class NameIndex {
 public:
  // Of elements with a `name`, which outlive this and stay as they are. Of equal ones the first counts.
  template <typename Named>
  explicit NameIndex(const std::vector<Named>& all) {
    places_.reserve(all.size());
    for (std::size_t i = 0; i < all.size(); ++i) places_.emplace(all[i].name, static_cast<int>(i));
  }
  int Find(std::string_view name) const {  // -1: it is none of them
    const auto it = places_.find(name);
    return it == places_.end() ? -1 : it->second;
  }

 private:
  std::unordered_map<std::string_view, int> places_;
};

}  // namespace burlfall

#endif  // BURLFALL_CONFIG_NAME_INDEX_H_
