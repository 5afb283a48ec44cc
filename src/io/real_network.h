// The network, by sockets.
#ifndef BURLFALL_IO_REAL_NETWORK_H_
#define BURLFALL_IO_REAL_NETWORK_H_

#include <memory>

#include "io/network.h"

namespace burlfall {

class RealScheduler;

std::unique_ptr<Network> MakeRealNetwork(RealScheduler& scheduler);
int DescriptorOf(const Stream& stream);  // the stream keeps ownership

}  // namespace burlfall

#endif  // BURLFALL_IO_REAL_NETWORK_H_
