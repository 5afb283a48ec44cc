#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>

#include "lab/ejection_world/fleet.h"

namespace burlfall::ejection_world {
namespace {
TEST(Try, One) {
  for (int run = 0; run < 10; ++run) {
    const int votes = run > 0;
    Plan plan;
    plan.seed = static_cast<uint64_t>(run) + 1;
    plan.span = 80 * kSecond;
    plan.measured_from = 20 * kSecond;
    plan.votes = votes == 1;
    plan.troubles.push_back({.host = 7, .begin = 20 * kSecond, .share = std::atof(getenv("SHARE"))});
    const Figures f = Play(plan);
    std::printf("votes %d: queries %lu lost %lu minute %lu troubled %lu quiet %.1f ejections %lu wrong %lu entries %lu most %lu paths %lu classes %lu suspects %lu incidents %lu held %lu refused %lu state %lu differs %d\n", votes,
      f.queries, f.lost, f.lost_minute, f.lost_at_troubled, double(f.quiet_after) / 1e6, f.ejections, f.wrong, f.entries, f.entries_most, f.paths, f.classes, f.suspects, f.incidents, f.held, f.refused, f.largest_state, f.differs);
    for (auto& b : f.broken) std::printf("  %s\n", b.c_str());
  }
}
}  // namespace
}  // namespace burlfall::ejection_world
