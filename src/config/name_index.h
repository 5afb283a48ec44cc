// Finds the index of a name in a list of the settings, in constant time for lists of any length.
#ifndef BURLFALL_CONFIG_NAME_INDEX_H_
#define BURLFALL_CONFIG_NAME_INDEX_H_

#include <cstddef>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace burlfall {

class NameIndex {
 public:
  // Indexes elements with a `name`, which must outlive this and not change. Find() gives the
  // first of equal names.
  template <typename Named>
  explicit NameIndex(const std::vector<Named>& all) {
    index_.reserve(all.size());
    for (std::size_t i = 0; i < all.size(); ++i) index_.emplace(all[i].name, static_cast<int>(i));
  }
  int Find(std::string_view name) const {  // -1: not in the list
    const auto it = index_.find(name);
    return it == index_.end() ? -1 : it->second;
  }

 private:
  std::unordered_map<std::string_view, int> index_;
};

}  // namespace burlfall

#endif  // BURLFALL_CONFIG_NAME_INDEX_H_
