// What a run takes of the machine for itself: addresses, and descriptors.
#ifndef BURLFALL_LAB_RUN_OWN_SHARE_H_
#define BURLFALL_LAB_RUN_OWN_SHARE_H_

#include <cstddef>
#include <string>

namespace burlfall::lab {

// Loopback has addresses to spare. Each run takes a block of its own ("127.64.7."), so that runs side by
// side, and the connections that the system gives ports to on 127.0.0.1, don't take a restarting child's
// port. `first`: from which of the 60 second bytes that a kind of run has; `number`: a further block of the
// same run.
std::string OwnLoopback(int first, int number = 0);

// Raises this process's limit of descriptors as far as it may; what stands in the way of so many, in one
// plain line; empty: nothing.
std::string MayHold(size_t descriptors);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_RUN_OWN_SHARE_H_
