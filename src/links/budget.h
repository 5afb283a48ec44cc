// Limits the file descriptors that links may use, and has idle links closed when they run short. No I/O.
#ifndef BURLFALL_LINKS_BUDGET_H_
#define BURLFALL_LINKS_BUDGET_H_

#include <cstddef>
#include <vector>

namespace burlfall {

// An owner of links that can close idle ones on request.
class LinkHolder {
 public:
  virtual size_t open() const = 0;
  // Closes about `wanted` idle links. Returns false if none could be spared.
  virtual bool ReleaseIdle(size_t wanted) = 0;

 protected:
  ~LinkHolder() = default;
};

class LinkBudget {
 public:
  // For the listener, epoll, discovery, the standard streams, and a reserve.
  static constexpr size_t kSpareDescriptors = 32;

  // Sets the process's descriptor limit, and how many of them are reserved for other uses than links.
  void SetDescriptors(size_t descriptors, size_t reserved = 0);
  // Holders are asked to release links in the order in which they were added; each must outlive the budget.
  void Add(LinkHolder& holder) { holders_.push_back(&holder); }

  size_t open() const;
  size_t max_links() const { return max_links_; }
  size_t spare() const { return spare_; }  // kept free beside max_links(); kSpareDescriptors at most
  bool tight() const { return open() >= max_links_ * 3 / 4; }
  // No link is opened beyond this, even while links that were asked to close still hold their descriptors.
  size_t hard_limit() const { return max_links_ + spare_ / 2; }
  // Whether one more link fits. At the limit, the holders are first asked to release `wanted` idle links.
  bool EnsureCapacity(size_t wanted = 1);

 private:
  size_t max_links_ = 0;
  size_t spare_ = kSpareDescriptors;
  std::vector<LinkHolder*> holders_;
};

}  // namespace burlfall

#endif  // BURLFALL_LINKS_BUDGET_H_
