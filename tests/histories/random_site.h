// A small site with faults, randomly generated from a seed, as the text of an experiment file. Settings range
// far beyond those of any one deployment.
#ifndef BURLFALL_TESTS_HISTORIES_RANDOM_SITE_H_
#define BURLFALL_TESTS_HISTORIES_RANDOM_SITE_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>

#include "lab/script/experiment_file.h"
#include "lab/script/script.h"

namespace burlfall::lab {

inline std::string RandomSite(uint64_t seed) {
  Stream64 random(seed, "site");
  const auto one_of = [&](auto... values) {
    const std::array all = {values...};
    return all[static_cast<std::size_t>(random.Below(static_cast<int>(all.size())))];
  };
  std::ostringstream out;
  const bool two_zones = random.Chance(0.6);
  const int balancers = two_zones ? one_of(2, 3) : one_of(1, 2);
  out << "title = \"Drawn from " << seed
      << "\"\nlength_s = 4\nsettle_s = 0.5\n[site]\nzones = " << (two_zones ? "[\"a\", \"b\"]" : "[\"a\"]")
      << "\nmost_attempts = " << one_of(1, 2, 3, 5)
      << "\nsecond_copies = " << (random.Chance(0.5) ? "true" : "false")
      << "\nconnect_timeout_ms = " << one_of(40, 150, 400) << "\ndrain_grace_ms = " << one_of(200, 750)
      << "\noverload_window_ms = " << one_of(500, 1500) << "\nidle_close_s = " << one_of(0.3, 2.0, 10.0)
      << "\nmust_ask_s = " << one_of(4, 10) << "\n[site.balancers]\ncount = " << balancers
      << "\ndescriptors = " << one_of(96, 256, 1024) << "\n[site.discovery]\nlate_ms = [20, "
      << one_of(60, 800) << "]\n[[site.nodes]]\nkind = \"n\"\ncount = " << one_of(2, 3, 5, 8)
      << "\nspeed = [0.6, 1.1]\nqueue_per_core = [" << one_of(2, 30)
      << ", 60]\nerror_share = " << one_of(0.0, 0.02) << "\ncold_s = [0.5, 6]\nlinks = [" << one_of(20, 400)
      << ", 500]\n[load]\nrate_per_s = " << one_of(25, 50, 90) << "\nkeys = " << one_of(5, 300) << "\n";
  const int deadline = one_of(400, 1000, 2500);
  const char* effects[] = {"safe", "unsafe", "keyed"};
  for (const char* effect : effects) {
    out << "[[classes]]\nname = \"" << effect << "\"\neffect = \"" << effect
        << "\"\nwork_ms = [5, 30]\naim_ms = " << deadline * one_of(0.3, 0.6) << "\ndeadline_ms = " << deadline
        << "\n";
    if (effect == std::string_view("keyed"))
      out << "window_ms = " << deadline * one_of(0.3, 1.0, 2.0) << "\n";
  }
  out << "[[tenants]]\nname = \"t\"\nquota_per_s = " << one_of(0, 20)
      << "\n[clients]\nmost_retries = " << one_of(0, 1, 2) << "\n";
  for (int i = 2 + random.Below(4); i > 0; --i) {
    const auto& all = AllFaults();
    const FaultTraits& fault = all[static_cast<std::size_t>(random.Below(static_cast<int>(all.size())))];
    if (fault.hits == FaultHits::kZone && !two_zones) continue;
    if (fault.kind == FaultKind::kBalancersPaused) continue;  // the virtual machines can't pause
    const double at = 0.6 + 2.2 * random.Uniform();
    out << "[[faults]]\nkind = \"" << fault.kind_name << "\"\nat_s = [" << at << ", " << at << "]\n";
    if (fault.lasts) out << "for_s = [0.3, " << one_of(0.5, 1.5) << "]\n";
    const bool hits_some = fault.hits == FaultHits::kNodes || fault.hits == FaultHits::kBalancers;
    if (hits_some) out << "share = " << one_of(0.2, 0.5, 1.0) << "\n";
    if (!fault.size.empty()) {
      const double max_size = std::min(fault.size_max, fault.kind == FaultKind::kTrafficJump ? 4.0 : 30.0);
      const double size = std::max(fault.size_min, max_size * random.Uniform());
      out << "size = [" << size << ", " << size << "]\n";
    }
  }
  return out.str();
}

}  // namespace burlfall::lab

#endif  // BURLFALL_TESTS_HISTORIES_RANDOM_SITE_H_
