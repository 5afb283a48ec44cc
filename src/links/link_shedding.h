// Chooses the client links to close when file descriptors run short: those with the least progress. No I/O.
#ifndef BURLFALL_LINKS_LINK_SHEDDING_H_
#define BURLFALL_LINKS_LINK_SHEDDING_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace burlfall {

// What a client link is doing, and how long ago it last received anything.
struct LinkStatus {
  enum class Activity {
    kNoQueryYet,    // has not sent anything
    kPartialQuery,  // part of a query has been received
    kIdle,          // has sent queries before; none is in progress
    kBusy,          // awaits an answer, or is being closed
  };
  Activity activity = Activity::kBusy;
  int64_t stalled = 0;  // microseconds
};

// Returns the indices of at most `wanted` links in the order to close them. Leaves out links that are likely
// to continue: a new client sends soon after connecting, a slow one sends something now and then, and one
// that was answered a moment ago may send its next query.
std::vector<size_t> ChooseLinksToClose(std::span<const LinkStatus> links, size_t wanted);

// What a link holds of a request that is still arriving.
struct HeldRequestBytes {
  size_t bytes = 0;     // 0: none that could be given up
  int64_t stalled = 0;  // microseconds since it last received anything
};

// Returns the indices of the links to give up so that at least `wanted` bytes become free, if that many can
// be freed: those whose bytes have made no progress for longest first. Leaves out links that still make
// progress.
std::vector<size_t> ChooseLinksToFree(std::span<const HeldRequestBytes> links, size_t wanted);

}  // namespace burlfall

#endif  // BURLFALL_LINKS_LINK_SHEDDING_H_
