#include "member/view_text.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "cluster/differences.h"

namespace burlfall {
namespace {

using cluster::FailureDetector;
using cluster::Member;

std::string Quote(const std::string& text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') out += '\\';
    if (static_cast<unsigned char>(c) < 0x20) {
      out += ' ';
    } else {
      out += c;
    }
  }
  return out += '"';
}

std::string Ago(Micros since, Micros now) {
  if (since == 0) return "never";
  char text[32];
  std::snprintf(text, sizeof text, "%.1f s", static_cast<double>(std::max<Micros>(0, now - since)) / 1e6);
  return text;
}

std::string Join(const std::vector<std::string>& words) {
  std::string out;
  for (const std::string& word : words) out += std::string(out.empty() ? "" : ", ") + word;
  return out;
}

using Row = std::array<std::string, 8>;

std::string Table(const std::vector<Row>& rows) {
  std::array<size_t, 8> widths{};
  for (const Row& row : rows) {
    for (size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  std::string out;
  for (const Row& row : rows) {
    std::string line;
    for (size_t i = 0; i < row.size(); ++i) line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
    line.erase(line.find_last_not_of(' ') + 1);
    out += line + "\n";
  }
  return out;
}

std::string Percent(const cluster::Facts& facts) { return std::to_string(facts.used_percent) + "%"; }

Row RowOf(const cluster::Identity& who, const std::string& state, const cluster::Facts& facts,
          const std::string& since, const std::string& received) {
  return {who.name,      state, since, received, facts.zone, facts.build, std::to_string(facts.list_version),
          Percent(facts)};
}

std::string JsonOf(const cluster::Identity& who, const std::string& state, const cluster::Facts& facts) {
  std::string out = std::string("{\"name\":") + Quote(who.name) + ",\"address\":" + Quote(who.address) +
                    ",\"state\":" + Quote(state);
  out.append(",\"start\":").append(std::to_string(who.generation.start));
  out.append(",\"incarnation\":").append(std::to_string(who.generation.incarnation));
  out += std::string(",\"zone\":") + Quote(facts.zone) + ",\"build\":" + Quote(facts.build);
  out.append(",\"phase\":").append(std::to_string(facts.phase));
  out.append(",\"configuration\":").append(std::to_string(facts.configuration));
  out.append(",\"list_version\":").append(std::to_string(facts.list_version));
  out.append(",\"list_age_ms\":").append(std::to_string(facts.list_age_ms));
  out.append(",\"used_percent\":").append(std::to_string(facts.used_percent));
  return out;
}

std::string ListOf(const std::vector<std::string>& words) {
  std::string out = "[";
  for (const std::string& word : words) out += std::string(out.size() > 1 ? "," : "") + Quote(word);
  return out += "]";
}

std::string JsonOf(const Member& member, Micros now) {
  std::string out = JsonOf(member.who, NameOf(member.state), member.facts);
  out.append(",\"since_ms\":").append(std::to_string((now - member.since) / kMs));
  out.append(",\"heard_ms_ago\":")
      .append(member.received_at == 0 ? "null" : std::to_string((now - member.received_at) / kMs));
  out.append(",\"answered_ms_ago\":")
      .append(member.acked_at == 0 ? "null" : std::to_string((now - member.acked_at) / kMs));
  out += std::string(",\"accusers\":") + ListOf(member.suspected_by);
  out += std::string(",\"refused\":") + (member.refused ? "true" : "false");
  return out += "}";
}

}  // namespace

std::string MembersText(const FailureDetector& detector, Micros now) {
  std::vector<Row> rows = {{"NAME", "STATE", "SINCE", "HEARD", "ZONE", "BUILD", "LIST", "USED"}};
  rows.push_back(RowOf(detector.self(), std::string("this one, ") + NameOf(detector.status()),
                       detector.facts(), "", ""));
  size_t counts[4] = {1, 0, 0, 0};
  for (const auto& [name, member] : detector.members()) {
    ++counts[static_cast<size_t>(member.state)];
    rows.push_back(RowOf(member.who, NameOf(member.state), member.facts, Ago(member.since, now),
                         Ago(member.received_at, now)));
  }
  std::string out = Table(rows);
  for (size_t state = 0; state < 4; ++state) {
    out.append(state == 0 ? "" : ", ").append(std::to_string(counts[state])).append(" ");
    out += NameOf(static_cast<cluster::State>(state));
  }
  return out += "\n";
}

std::string MembersJson(const FailureDetector& detector, Micros now) {
  std::string out = std::string("{\"standing\":") + Quote(NameOf(detector.status()));
  out.append(",\"alive\":").append(std::to_string(detector.alive_count()));
  out.append(",\"digest\":").append(std::to_string(detector.digest()));
  out += std::string(",\"self\":") + JsonOf(detector.self(), "alive", detector.facts()) + "},\"members\":[";
  bool first = true;
  for (const auto& [name, member] : detector.members()) {
    out += std::string(first ? "" : ",") + JsonOf(member, now);
    first = false;
  }
  out += "],\"dropped\":{";
  first = true;
  for (const auto& [why, count] : detector.dropped()) {
    out += std::string(first ? "" : ",") + Quote(why) + ":" + std::to_string(count);
    first = false;
  }
  return out += "}}\n";
}

std::string DifferencesText(const FailureDetector& detector, Micros now) {
  std::string out;
  for (const cluster::Difference& one : cluster::FindDifferences(detector, now)) {
    out += (one.who.empty() ? "all of them" : one.who) + ": " + one.why + "\n";
  }
  return out.empty() ? "nobody differs\n" : out;
}

std::string DifferencesJson(const FailureDetector& detector, Micros now) {
  std::string out = "[";
  for (const cluster::Difference& one : cluster::FindDifferences(detector, now)) {
    out += std::string(out.size() > 1 ? "," : "") + std::string("{\"who\":") + Quote(one.who) +
           ",\"why\":" + Quote(one.why) + "}";
  }
  return out += "]\n";
}

std::string ExplainText(const FailureDetector& detector, const std::string& name, Micros now,
                        const std::vector<std::string>& history) {
  std::string out;
  const auto it = detector.members().find(name);
  if (name == detector.self().name) {
    out = name + " is this process, status: " + NameOf(detector.status()) + "\n";
  } else if (it == detector.members().end()) {
    out = name + " is not known here\n";
  } else {
    const Member& member = it->second;
    out = name + " at " + member.who.address + " is " + NameOf(member.state) + ", for " +
          Ago(member.since, now) + "\n";
    out.append("  start ").append(std::to_string(member.who.generation.start));
    out.append(", incarnation ").append(std::to_string(member.who.generation.incarnation)).append("\n");
    out += std::string("  it answered this one ") + Ago(member.acked_at, now) +
           " ago; the last message from it came " + Ago(member.received_at, now) + " ago\n";
    if (!member.suspected_by.empty()) {
      out += std::string("  not reached by ") + Join(member.suspected_by) + "\n";
    }
    if (member.refused) out += "  its host refused a connection\n";
    if (member.state == cluster::State::kSuspect) {
      out +=
          std::string("  it has ") + Ago(now, member.suspicion_ends_at) + " left to refute the suspicion\n";
    }
  }
  for (const std::string& line : history) {
    if (line.find(std::string(" ") + name + " ") != std::string::npos) out += std::string("  ") + line + "\n";
  }
  return out;
}

std::string ExplainJson(const FailureDetector& detector, const std::string& name, Micros now,
                        const std::vector<std::string>& history) {
  std::vector<std::string> lines;
  for (const std::string& line : history) {
    if (line.find(std::string(" ") + name + " ") != std::string::npos) lines.push_back(line);
  }
  const auto it = detector.members().find(name);
  const std::string is = it == detector.members().end() ? "null" : JsonOf(it->second, now);
  return std::string("{\"name\":") + Quote(name) + ",\"member\":" + is + ",\"history\":" + ListOf(lines) +
         "}\n";
}

}  // namespace burlfall
