// Where lines go: standard error, a file or a UDP collector. Nothing here ever waits, unless Drain() is told
// to.
#ifndef BURLFALL_NET_OUTLET_H_
#define BURLFALL_NET_OUTLET_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "net/config.h"
#include "net/scheduler.h"

namespace burlfall {

class Outlet {
 public:
  enum class Taken {
    kYes,
    kLater,  // there is no room now
    kNo,     // it can't be written at all
  };
  // Standard error may be shared with other programs, so its own description is never set not to block: a
  // pipe or terminal is opened anew, and where that can't be done it is only written to while it has room.
  static Outlet StandardError();
  static Outlet On(int fd, bool anew = true);  // the same for another; `anew` false: never opened anew
  static Outlet File(std::string path);        // opened, and made, with the first line
  static Outlet Udp(const Address& to);        // one datagram for each Offer()

  // Whole lines, all or none. What a pipe took only in part is finished before anything else is written.
  Taken Offer(std::string_view lines);
  // As Offer(), but what finds no room is kept for later, within reason.
  void Say(std::string_view line);
  // Waits until then for what is kept to go out; false where some is left.
  bool Drain(Micros patience);
  void AwaitRoom(Micros patience) const;
  void Reopen();  // a file that was moved away is made anew

 private:
  enum class Kind { kOwn, kShared, kPlain, kStream, kDatagram, kFile };

  Taken Flush();
  Taken Push(std::string_view& bytes);
  bool Open();
  int fd() const { return own_ ? own_.get() : shared_; }

  Kind kind_ = Kind::kShared;
  Descriptor own_;
  int shared_ = -1;
  std::string path_;
  std::string rest_;  // of lines that were begun
  std::string said_;  // whole lines that are to follow
};

}  // namespace burlfall

#endif  // BURLFALL_NET_OUTLET_H_
