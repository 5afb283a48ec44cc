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

std::string JsonField(const char* key, const std::string& value) {
  return std::string("\"").append(key).append("\":").append(value);
}

std::string JsonList(const std::vector<std::string>& words) {
  std::string out = "[";
  for (const std::string& word : words) out.append(out.size() > 1 ? "," : "").append(JsonString(word));
  return out + "]";
}

std::string Json(const VoterView& voter) {
  return std::string("{") + JsonField("name", JsonString(voter.name)) + "," +
         JsonField("disk", JsonString(Number(voter.disk))) + "," +
         JsonField("address", JsonString(voter.address)) + "," +
         JsonField("leads", voter.is_leader ? "true" : "false") + "," +
         JsonField("heard_ms_ago",
                   std::to_string(voter.last_contact_ago < 0 ? -1 : voter.last_contact_ago / kMs)) +
         "}";
}

std::string Json(const TaskView& task) {
  return std::string("{") + JsonField("work", JsonString(task.task)) + "," +
         JsonField("owner", JsonString(task.owner)) + "," + JsonField("life", Number(task.incarnation)) +
         "," + JsonField("epoch", Number(task.epoch)) + "," +
         JsonField("obeyed", Number(task.highest_epoch)) + "," +
         JsonField("own", task.owned_here ? "true" : "false") + "," +
         JsonField("left_ms", std::to_string(task.lease_left / kMs)) + "," +
         JsonField("ending", JsonString(owner::NameOf(task.ending))) + "," +
         JsonField("line", JsonList(task.waiting)) + "}";
}

std::string Text(const VoterView& voter) {
  std::string out = voter.name + "  " + voter.address + "  disk " + Number(voter.disk);
  if (voter.is_leader) out += "  leads";
  if (voter.last_contact_ago >= 0) out.append("  heard ") += Seconds(voter.last_contact_ago) + " ago";
  return out;
}

std::string Text(const TaskView& task) {
  std::string out =
      task.task + "  " + (task.owner.empty() ? "nobody's" : task.owner) + "  epoch " + Number(task.epoch);
  if (task.owned_here) out.append("  own, for ") += Seconds(task.lease_left);
  if (task.ending != owner::Error::kNone) out += std::string("  ends: ") + owner::NameOf(task.ending);
  for (const std::string& next : task.waiting) out += "  then " + next;
  return out + "  obeyed here: " + Number(task.highest_epoch);
}

}  // namespace

std::string JsonString(const std::string& text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') out += '\\';
    out += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
  }
  return out += '"';
}

std::string StatusText(const View& view) {
  std::string out = view.name + ": " + view.role + ", " + view.status + "; term " + Number(view.term) +
                    ", leader " + (view.leader.empty() ? "unknown" : view.leader) + "; log " +
                    Number(view.first) + " to " + Number(view.last) + ", committed " + Number(view.commit) +
                    ", applied " + Number(view.applied) + "\n";
  if (!view.fault.empty()) out += "disk: " + view.fault + "\n";
  for (const std::string& missing : view.missing) out += "missing: " + missing + "\n";
  for (const VoterView& voter : view.voters) out.append("voter ") += Text(voter) + "\n";
  for (const TaskView& task : view.tasks) out.append("work ") += Text(task) + "\n";
  for (const IncidentView& one : view.incidents) {
    out.append("incident ") += Number(one.id) + "  " + one.scope + "  " + one.kind + "  " +
                               (one.in_force ? "in force" : "not yet in force") + "  by " + one.by + ": " +
                               one.reason + "\n";
  }
  for (const ChangeView& one : view.changes) {
    out.append("change ") += Number(one.id) + "  " + one.kind + "  " + one.scope + "  by " + one.owner +
                             (one.granted ? "  granted" : "") + "\n";
  }
  return out + "acts obeyed " + Number(view.accepted_actions) + ", refused " + Number(view.rejected_actions) +
         "; " + Number(view.followers) + " follow here\n";
}

std::string StatusJson(const View& view) {
  std::string voters, tasks, incidents, changes;
  for (const IncidentView& one : view.incidents) {
    incidents.append(incidents.empty() ? "{" : ",{");
    incidents += JsonField("incident", Number(one.id)) + "," + JsonField("kind", JsonString(one.kind)) + "," +
                 JsonField("scope", JsonString(one.scope)) + "," +
                 JsonField("in_force", one.in_force ? "true" : "false") + "," +
                 JsonField("pending", Number(one.pending)) + "," + JsonField("by", JsonString(one.by)) + "," +
                 JsonField("reason", JsonString(one.reason)) + "}";
  }
  for (const ChangeView& one : view.changes) {
    changes.append(changes.empty() ? "{" : ",{");
    changes += JsonField("change", Number(one.id)) + "," + JsonField("kind", JsonString(one.kind)) + "," +
               JsonField("scope", JsonString(one.scope)) + "," + JsonField("owner", JsonString(one.owner)) +
               "," + JsonField("granted", one.granted ? "true" : "false") + "}";
  }
  for (const VoterView& voter : view.voters) voters.append(voters.empty() ? "" : ",").append(Json(voter));
  for (const TaskView& task : view.tasks) tasks.append(tasks.empty() ? "" : ",").append(Json(task));
  return std::string("{") + JsonField("name", JsonString(view.name)) + "," +
         JsonField("role", JsonString(view.role)) + "," + JsonField("standing", JsonString(view.status)) +
         "," + JsonField("fault", JsonString(view.fault)) + "," +
         JsonField("disk", JsonString(Number(view.disk))) + "," + JsonField("term", Number(view.term)) + "," +
         JsonField("leader", JsonString(view.leader)) + "," + JsonField("commit", Number(view.commit)) + "," +
         JsonField("applied", Number(view.applied)) + "," + JsonField("first", Number(view.first)) + "," +
         JsonField("last", Number(view.last)) + "," + JsonField("missing", JsonList(view.missing)) + "," +
         JsonField("followers", Number(view.followers)) + "," +
         JsonField("obeyed", Number(view.accepted_actions)) + "," +
         JsonField("fenced", Number(view.rejected_actions)) + "," + JsonField("voters", "[" + voters + "]") +
         "," + JsonField("works", "[" + tasks + "]") + "," + JsonField("incidents", "[" + incidents + "]") +
         "," + JsonField("changes", "[" + changes + "]") + "}\n";
}

std::string ExplainText(const View& view, const std::string& name) {
  std::string out;
  for (const VoterView& voter : view.voters) {
    if (voter.name == name) out.append("voter ") += Text(voter) + "\n";
  }
  for (const TaskView& task : view.tasks) {
    if (task.task == name || task.owner == name) out.append("work ") += Text(task) + "\n";
  }
  std::string matches;
  for (const std::string& line : view.history) {
    if (line.find(name) != std::string::npos) matches += "  " + line + "\n";
  }
  if (out.empty() && matches.empty()) return "";
  return out + matches;
}

std::string ExplainJson(const View& view, const std::string& name) {
  std::string voters, tasks;
  for (const VoterView& voter : view.voters) {
    if (voter.name == name) voters.append(voters.empty() ? "" : ",").append(Json(voter));
  }
  for (const TaskView& task : view.tasks) {
    if (task.task == name || task.owner == name) tasks.append(tasks.empty() ? "" : ",").append(Json(task));
  }
  std::vector<std::string> matches;
  for (const std::string& line : view.history) {
    if (line.find(name) != std::string::npos) matches.push_back(line);
  }
  if (voters.empty() && tasks.empty() && matches.empty()) return "";
  return std::string("{") + JsonField("name", JsonString(name)) + "," +
         JsonField("voters", "[" + voters + "]") + "," + JsonField("works", "[" + tasks + "]") + "," +
         JsonField("told", JsonList(matches)) + "}\n";
}

}  // namespace burlfall::council
