// Message channels in memory: what the processes of one simulated machine say to one another at a path.
// Messages arrive at once and in order. Connections can't be passed along with them.
#ifndef BURLFALL_WORLD_VIRTUAL_CHANNEL_H_
#define BURLFALL_WORLD_VIRTUAL_CHANNEL_H_

#include <map>
#include <memory>
#include <string>

#include "io/network.h"

namespace burlfall::world {

class VirtualChannelListener;

// The listeners of all machines, by path.
using ChannelListeners = std::map<std::string, VirtualChannelListener*>;

// Connects to the listener at this path; nullptr if there is none or its queue is full.
std::unique_ptr<Channel> ConnectVirtualChannel(Scheduler& scheduler, ChannelListeners& listeners,
                                               const std::string& path);
// Listens at this path, in place of an earlier listener. `listeners` must outlive the result.
std::unique_ptr<ChannelListener> ListenOnVirtualChannel(Scheduler& scheduler, ChannelListeners& listeners,
                                                        const std::string& path);

}  // namespace burlfall::world

#endif  // BURLFALL_WORLD_VIRTUAL_CHANNEL_H_
