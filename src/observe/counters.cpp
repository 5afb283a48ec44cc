#include "observe/counters.h"

namespace burlfall {

std::vector<std::pair<const char*, uint64_t>> Counters::All() const {
  std::vector<std::pair<const char*, uint64_t>> all = {{"taken", taken},
                                                       {"sent", sent},
                                                       {"served", served},
                                                       {"throttled", throttled},
                                                       {"failed", failed},
                                                       {"left", left},
                                                       {"bad", bad},
                                                       {"client_links", client_links},
                                                       {"server_links", server_links},
                                                       {"ok", ok},
                                                       {"error", error},
                                                       {"full", full},
                                                       {"timeout", timeout},
                                                       {"connect_failed", connect_failed},
                                                       {"reset", reset},
                                                       {"cancelled", cancelled},
                                                       {"moot", moot},
                                                       {"lists", lists},
                                                       {"lists_failed", lists_failed},
                                                       {"list_calls", list_calls}};
  auto rare = [&all](const char* name, uint64_t value) {
    if (value > 0) all.emplace_back(name, value);
  };
  rare("unasked", unasked);
  rare("unsound", unsound);
  rare("repeated_ids", repeated_ids);
  rare("refused_unread", refused_unread);
  rare("refused_memory", refused_memory);
  rare("expired", expired);
  rare("refused_open", refused_open);
  rare("unfinished", unfinished);
  rare("closed_short", closed_short);
  rare("denied", denied);
  rare("limited", limited);
  rare("not_ready", not_ready);
  rare("capture_dropped", capture_dropped);
  rare("capture_errors", capture_errors);
  rare("figures_dropped", figures_dropped);
  rare("cluster_alive", cluster_alive);
  rare("cluster_in", cluster_in);
  rare("cluster_out", cluster_out);
  rare("cluster_bytes_out", cluster_bytes_out);
  rare("cluster_calls", cluster_calls);
  rare("council_applied", council_applied);
  rare("council_led", council_led);
  rare("council_proposals", council_proposals);
  rare("council_flushes", council_flushes);
  rare("council_acts", council_acts);
  rare("council_obeyed", council_obeyed);
  rare("council_fenced", council_fenced);
  rare("council_bytes_out", council_bytes_out);
  rare("log_dropped", log_dropped);
  return all;
}

std::string Counters::Text() const {
  std::string text;
  for (const auto& [name, value] : All()) {
    if (!text.empty()) text += ' ';
    text.append(name).append("=").append(std::to_string(value));
  }
  return text;
}

}  // namespace burlfall
