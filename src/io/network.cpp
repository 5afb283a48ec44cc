#include "io/network.h"

namespace burlfall {

Task<bool> Connected(Stream& stream, Micros until) {
  while (true) {
    const Stream::State state = stream.Opened();
    if (state != Stream::State::kOpening) co_return state == Stream::State::kUp;
    bool notified = co_await stream.Wait(until);
    if (!notified) co_return false;
  }
}

Task<bool> WriteAll(Stream& stream, std::string_view bytes, Micros until) {
  while (!bytes.empty()) {
    if (stream.Write(bytes) == Io::kBroken) co_return false;
    if (bytes.empty()) break;
    bool notified = co_await stream.Wait(until);
    if (!notified && stream.scheduler().Now() >= until) co_return false;
  }
  co_return true;
}

}  // namespace burlfall
