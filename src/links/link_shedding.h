// Which client links make room for others, where descriptors run short: by least progress. Decides without
// I/O.
#ifndef BURLFALL_LINKS_LINK_SHEDDING_H_
#define BURLFALL_LINKS_LINK_SHEDDING_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace burlfall {

// What a client link is doing, and for how long nothing has come on it, in microseconds.
struct LinkStanding {
  enum class Doing {
    kSilent,  // it never said anything
    kHalf,    // a query was begun and is not whole
    kIdle,    // it has asked before, and does not now
    kBusy,    // it is owed an answer, or ends
  };
  Doing doing = Doing::kBusy;
  int64_t stalled = 0;
};

// At most so many of them, those that go first first. None that may well go on: whoever connects sends soon
// after, whoever writes slowly brings something now and then, whoever asked a moment ago may ask again.
std::vector<size_t> WhoMakesRoom(std::span<const LinkStanding> links, size_t wanted);

}  // namespace burlfall

#endif  // BURLFALL_LINKS_LINK_SHEDDING_H_
