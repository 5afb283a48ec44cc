// Replays a capture: feeds its records to the decision module, without sockets, and compares the module's
// decisions with the captured ones.
#ifndef BURLFALL_REPLAY_REPLAY_H_
#define BURLFALL_REPLAY_REPLAY_H_

#include <ostream>
#include <string>

#include "io/files.h"

namespace burlfall {

// Exit codes of the command.
constexpr int kReplayMatches = 0;
constexpr int kReplayDiffers = 1;
constexpr int kReplayImpossible = 2;  // the capture can't be read or replayed

// Replays the file `capture` and returns one of the codes above. `config` is the path of a properties file,
// or of a platform configuration, whose settings then override the captured ones. Writes each difference and
// a summary line to `out`, and errors to `errors`. Throws BadConfig if `config` can't be used.
int Replay(const std::string& capture, const std::string& config, Files& files, std::ostream& out,
           std::ostream& errors);

}  // namespace burlfall

#endif  // BURLFALL_REPLAY_REPLAY_H_
