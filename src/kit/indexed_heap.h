// A heap whose elements store their own position, so that an element whose key has changed is moved, or an
// element is removed, in O(log n). The ordering is defined by Order.
#ifndef BURLFALL_KIT_INDEXED_HEAP_H_
#define BURLFALL_KIT_INDEXED_HEAP_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <utility>
#include <vector>

namespace burlfall::kit {

constexpr uint32_t kNotInHeap = std::numeric_limits<uint32_t>::max();

// Order provides Key(h); the smallest key is on top. If all keys differ, the output does not depend on the
// order of insertion. Order also provides Position(h), a reference to the uint32_t that the element stores,
// initially kNotInHeap. Keys are stored in the heap and four children lie side by side, so that sifting down
// costs one cache line a level instead of one an element.
template <typename Handle, typename Order>
class IndexedHeap {
 public:
  using Key = decltype(std::declval<Order>().Key(std::declval<Handle>()));

  explicit IndexedHeap(Order order = {}) : order_(std::move(order)) {}

  bool empty() const { return heap_.empty(); }
  size_t size() const { return heap_.size(); }
  Handle Top() const { return heap_.front().handle; }
  const Key& TopKey() const { return heap_.front().key; }
  bool Contains(Handle h) { return order_.Position(h) != kNotInHeap; }

  // Inserts the element, or moves it after its key has changed.
  void InsertOrUpdate(Handle h) {
    const Entry entry = {order_.Key(h), h};
    if (!Contains(h)) {
      heap_.push_back(entry);
      order_.Position(h) = static_cast<uint32_t>(heap_.size() - 1);
    }
    SiftDown(SiftUp(order_.Position(h), entry), entry);
  }

  void Erase(Handle h) {
    if (!Contains(h)) return;
    const size_t at = order_.Position(h);
    order_.Position(h) = kNotInHeap;
    const Entry last = heap_.back();
    heap_.pop_back();
    if (at < heap_.size()) SiftDown(SiftUp(at, last), last);
  }

 private:
  static constexpr size_t kChildren = 4;
  struct Entry {
    Key key;
    Handle handle;
  };

  void Store(size_t at, const Entry& e) {
    heap_[at] = e;
    order_.Position(e.handle) = static_cast<uint32_t>(at);
  }
  // Returns the position of the entry when it is sifted up from `at`; entries that it passes are moved down.
  size_t SiftUp(size_t at, const Entry& e) {
    while (at > 0 && e.key < heap_[(at - 1) / kChildren].key) {
      Store(at, heap_[(at - 1) / kChildren]);
      at = (at - 1) / kChildren;
    }
    return at;
  }
  void SiftDown(size_t at, const Entry& e) {
    for (size_t child; (child = kChildren * at + 1) < heap_.size();) {
      size_t smallest = child;
      const size_t end = std::min(child + kChildren, heap_.size());
      while (++child < end) {
        if (heap_[child].key < heap_[smallest].key) smallest = child;
      }
      if (!(heap_[smallest].key < e.key)) break;
      Store(at, heap_[smallest]);
      at = smallest;
    }
    Store(at, e);
  }

  std::vector<Entry> heap_;
  Order order_;
};

}  // namespace burlfall::kit

#endif  // BURLFALL_KIT_INDEXED_HEAP_H_
