#include "council/view.h"

#include <cstdio>

namespace burlfall::council {
namespace {

std::string Seconds(Micros span) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f s", static_cast<double>(span) / 1e6);
  return text;
}

std::string Number(uint64_t number) { return std::to_string(number); }

std::string Pair(const char* key, const std::string& value) {
  return std::string("\"").append(key).append("\":").append(value);
}

std::string List(const std::vector<std::string>& words) {
  std::string out = "[";
  for (const std::string& word : words) out.append(out.size() > 1 ? "," : "").append(Quote(word));
  return out + "]";
}

std::string Json(const VoterView& voter) {
  return std::string("{") + Pair("name", Quote(voter.name)) + "," + Pair("disk", Quote(Number(voter.disk))) +
         "," + Pair("address", Quote(voter.address)) + "," + Pair("leads", voter.leads ? "true" : "false") +
         "," + Pair("heard_ms_ago", std::to_string(voter.heard_ago < 0 ? -1 : voter.heard_ago / kMs)) + "}";
}

std::string Json(const WorkView& work) {
  return std::string("{") + Pair("work", Quote(work.work)) + "," + Pair("owner", Quote(work.owner)) + "," +
         Pair("life", Number(work.life)) + "," + Pair("epoch", Number(work.epoch)) + "," +
         Pair("obeyed", Number(work.obeyed)) + "," + Pair("own", work.own ? "true" : "false") + "," +
         Pair("left_ms", std::to_string(work.left / kMs)) + "," +
         Pair("ending", Quote(owner::NameOf(work.ending))) + "," + Pair("line", List(work.line)) + "}";
}

std::string Text(const VoterView& voter) {
  std::string out = voter.name + "  " + voter.address + "  disk " + Number(voter.disk);
  if (voter.leads) out += "  leads";
  if (voter.heard_ago >= 0) out.append("  heard ") += Seconds(voter.heard_ago) + " ago";
  return out;
}

std::string Text(const WorkView& work) {
  std::string out =
      work.work + "  " + (work.owner.empty() ? "nobody's" : work.owner) + "  epoch " + Number(work.epoch);
  if (work.own) out.append("  own, for ") += Seconds(work.left);
  if (work.ending != owner::Error::kNone) out += std::string("  ends: ") + owner::NameOf(work.ending);
  for (const std::string& next : work.line) out += "  then " + next;
  return out + "  obeyed here: " + Number(work.obeyed);
}

}  // namespace

std::string Quote(const std::string& text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') out += '\\';
    out += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
  }
  return out += '"';
}

std::string StatusText(const View& view) {
  std::string out = view.name + ": " + view.role + ", " + view.standing + "; term " + Number(view.term) +
                    ", leader " + (view.leader.empty() ? "unknown" : view.leader) + "; log " +
                    Number(view.first) + " to " + Number(view.last) + ", agreed " + Number(view.commit) +
                    ", carried out " + Number(view.applied) + "\n";
  if (!view.fault.empty()) out += "disk: " + view.fault + "\n";
  for (const std::string& missing : view.missing) out += "missing: " + missing + "\n";
  for (const VoterView& voter : view.voters) out.append("voter ") += Text(voter) + "\n";
  for (const WorkView& work : view.works) out.append("work ") += Text(work) + "\n";
  for (const IncidentView& one : view.incidents) {
    out.append("incident ") += Number(one.id) + "  " + one.scope + "  " + one.kind + "  " +
                               (one.in_force ? "in force" : "not yet in force") + "  by " + one.by + ": " +
                               one.reason + "\n";
  }
  for (const ChangeView& one : view.changes) {
    out.append("change ") += Number(one.id) + "  " + one.kind + "  " + one.scope + "  by " + one.owner +
                             (one.granted ? "  granted" : "") + "\n";
  }
  return out + "acts obeyed " + Number(view.obeyed) + ", refused " + Number(view.fenced) + "; " +
         Number(view.followers) + " follow here\n";
}

std::string StatusJson(const View& view) {
  std::string voters, works, incidents, changes;
  for (const IncidentView& one : view.incidents) {
    incidents.append(incidents.empty() ? "{" : ",{");
    incidents += Pair("incident", Number(one.id)) + "," + Pair("kind", Quote(one.kind)) + "," +
                 Pair("scope", Quote(one.scope)) + "," + Pair("in_force", one.in_force ? "true" : "false") +
                 "," + Pair("pending", Number(one.pending)) + "," + Pair("by", Quote(one.by)) + "," +
                 Pair("reason", Quote(one.reason)) + "}";
  }
  for (const ChangeView& one : view.changes) {
    changes.append(changes.empty() ? "{" : ",{");
    changes += Pair("change", Number(one.id)) + "," + Pair("kind", Quote(one.kind)) + "," +
               Pair("scope", Quote(one.scope)) + "," + Pair("owner", Quote(one.owner)) + "," +
               Pair("granted", one.granted ? "true" : "false") + "}";
  }
  for (const VoterView& voter : view.voters) voters.append(voters.empty() ? "" : ",").append(Json(voter));
  for (const WorkView& work : view.works) works.append(works.empty() ? "" : ",").append(Json(work));
  return std::string("{") + Pair("name", Quote(view.name)) + "," + Pair("role", Quote(view.role)) + "," +
         Pair("standing", Quote(view.standing)) + "," + Pair("fault", Quote(view.fault)) + "," +
         Pair("disk", Quote(Number(view.disk))) + "," + Pair("term", Number(view.term)) + "," +
         Pair("leader", Quote(view.leader)) + "," + Pair("commit", Number(view.commit)) + "," +
         Pair("applied", Number(view.applied)) + "," + Pair("first", Number(view.first)) + "," +
         Pair("last", Number(view.last)) + "," + Pair("missing", List(view.missing)) + "," +
         Pair("followers", Number(view.followers)) + "," + Pair("obeyed", Number(view.obeyed)) + "," +
         Pair("fenced", Number(view.fenced)) + "," + Pair("voters", "[" + voters + "]") + "," +
         Pair("works", "[" + works + "]") + "," + Pair("incidents", "[" + incidents + "]") + "," +
         Pair("changes", "[" + changes + "]") + "}\n";
}

std::string ExplainText(const View& view, const std::string& name) {
  std::string out;
  for (const VoterView& voter : view.voters) {
    if (voter.name == name) out.append("voter ") += Text(voter) + "\n";
  }
  for (const WorkView& work : view.works) {
    if (work.work == name || work.owner == name) out.append("work ") += Text(work) + "\n";
  }
  std::string told;
  for (const std::string& line : view.history) {
    if (line.find(name) != std::string::npos) told += "  " + line + "\n";
  }
  if (out.empty() && told.empty()) return "";
  return out + told;
}

std::string ExplainJson(const View& view, const std::string& name) {
  std::string voters, works;
  for (const VoterView& voter : view.voters) {
    if (voter.name == name) voters.append(voters.empty() ? "" : ",").append(Json(voter));
  }
  for (const WorkView& work : view.works) {
    if (work.work == name || work.owner == name) works.append(works.empty() ? "" : ",").append(Json(work));
  }
  std::vector<std::string> told;
  for (const std::string& line : view.history) {
    if (line.find(name) != std::string::npos) told.push_back(line);
  }
  if (voters.empty() && works.empty() && told.empty()) return "";
  return std::string("{") + Pair("name", Quote(name)) + "," + Pair("voters", "[" + voters + "]") + "," +
         Pair("works", "[" + works + "]") + "," + Pair("told", List(told)) + "}\n";
}

}  // namespace burlfall::council
