// Channels over Unix sockets of type SOCK_SEQPACKET; connections are passed as SCM_RIGHTS (unix(7)).
#ifndef BURLFALL_IO_REAL_CHANNEL_H_
#define BURLFALL_IO_REAL_CHANNEL_H_

#include <memory>
#include <string>

#include "io/network.h"
#include "io/real_machine.h"

namespace burlfall {

std::unique_ptr<Channel> ConnectRealChannel(RealScheduler& scheduler, const std::string& path);
std::unique_ptr<ChannelListener> ListenOnRealChannel(RealScheduler& scheduler, const std::string& path,
                                                     std::string& why);

}  // namespace burlfall

#endif  // BURLFALL_IO_REAL_CHANNEL_H_
