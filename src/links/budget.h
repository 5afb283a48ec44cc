// The descriptors that links may use, and who makes room where they run short. Decides without I/O.
#ifndef BURLFALL_LINKS_BUDGET_H_
#define BURLFALL_LINKS_BUDGET_H_

#include <cstddef>
#include <vector>

namespace burlfall {

// Whoever holds links. Told to make room, it lets go of idle ones.
class LinkHolder {
 public:
  virtual size_t open() const = 0;
  // False where it has none to spare; about as many as wanted otherwise.
  virtual bool MakeRoom(size_t wanted) = 0;

 protected:
  ~LinkHolder() = default;
};

class LinkBudget {
 public:
  static constexpr size_t kSpare = 32;  // the listener, epoll, discovery, the standard streams, and some

  // Of so many descriptors in all, of which some are others' and no links'.
  void Allow(size_t descriptors, size_t reserved = 0);
  // The holders that are asked first are added first; each must outlive the budget's use.
  void Add(LinkHolder& holder) { holders_.push_back(&holder); }

  size_t open() const;
  size_t most() const { return most_; }
  size_t spare() const { return spare_; }  // beside those, kSpare where there are enough
  bool tight() const { return open() >= most_ * 3 / 4; }
  // Whether one more link fits, once room was made for it where it had to be.
  bool MakeRoom(size_t wanted = 1);

 private:
  size_t most_ = 0;
  size_t spare_ = kSpare;
  std::vector<LinkHolder*> holders_;
};

}  // namespace burlfall

#endif  // BURLFALL_LINKS_BUDGET_H_
