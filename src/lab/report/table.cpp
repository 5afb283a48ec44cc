#include "lab/report/table.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "lab/judge/text.h"
#include "lab/report/html.h"

namespace burlfall::lab {
namespace {

using Key = std::pair<std::string, std::string>;  // subject, experiment

constexpr std::size_t kMostLetters = 120;  // of a line of text

std::string Count(uint64_t n, const char* one, const char* many) {
  return std::to_string(n) + " " + (n == 1 ? one : many);
}

// "0.842 ± 0.011 *", or why there is no such figure.
std::string ServiceText(const TableCell& cell) {
  if (cell.runs > 0) {
    std::string text = Format("%.3f", cell.service.mean);
    if (cell.runs > 1) text += Format(" ± %.3f", cell.service.deviation);
    return text + (cell.best ? " *" : "");
  }
  if (cell.too_late > 0) return "lab late";
  return cell.lost > 0 ? "lost" : "not run";
}

// "3 runs, 1 lost"
std::string Runs(const TableCell& cell) {
  std::string text;
  if (cell.runs > 0) text = Count(static_cast<uint64_t>(cell.runs), "run", "runs");
  const auto add = [&](const std::string& more) { text += (text.empty() ? "" : ", ") + more; };
  if (cell.too_late > 0) add(std::to_string(cell.too_late) + " left out (lab late)");
  if (cell.lost > 0) add(std::to_string(cell.lost) + " lost");
  return text;
}

std::string Rules(const TableCell& cell) {
  if (cell.runs + cell.too_late == 0) return "";
  if (cell.broken.empty()) return "rules kept";
  return Count(cell.broken.size(), "rule", "rules") + " broken, " + Count(cell.times, "time", "times");
}

std::string BrokenRules(const TableCell& cell) {
  std::string text;
  for (const std::string& rule : cell.broken) text += (text.empty() ? "" : ", ") + rule;
  return text;
}

const char* const kLegend =
    "Service, combined: mean ± standard deviation over runs. *: the highest mean among those that broke no "
    "rule.";

std::vector<std::string> Remarks(const Table& table) {
  std::vector<std::string> remarks;
  for (std::size_t s = 0; s < table.subjects.size(); ++s) {
    std::string not_best;
    int of = 0;
    int best = 0;
    for (std::size_t e = 0; e < table.experiments.size(); ++e) {
      const TableCell& cell = table.cells[s][e];
      if (cell.runs == 0) continue;
      ++of;
      best += cell.best ? 1 : 0;
      if (!cell.best) not_best += (not_best.empty() ? "" : ", ") + table.experiments[e];
    }
    if (of == 0 || table.subjects.size() < 2) continue;
    remarks.push_back(table.subjects[s] + ": best in " + std::to_string(best) + " of " + std::to_string(of) +
                      (not_best.empty() ? "" : ", not in " + not_best));
  }
  for (const LostRun& lost : table.lost) {
    remarks.push_back("lost: " + lost.subject + ", " + lost.experiment +
                      (lost.why.empty() ? "" : ": " + lost.why));
  }
  return remarks;
}

std::size_t Letters(const std::string& text) {  // as they are seen, as far as a terminal goes
  return static_cast<std::size_t>(std::count_if(
      text.begin(), text.end(), [](char c) { return (static_cast<unsigned char>(c) & 0xc0) != 0x80; }));
}

// One line: a name from a file must not make another.
std::string OneLine(std::string text) {
  std::replace_if(
      text.begin(), text.end(), [](char c) { return static_cast<unsigned char>(c) < 0x20; }, ' ');
  return text;
}

// A row for each subject, or for each experiment where `turned`. Each takes three lines: figures, runs,
// rules.
std::string Grid(const Table& table, bool turned, std::size_t& widest) {
  const std::vector<std::string>& rows = turned ? table.experiments : table.subjects;
  const std::vector<std::string>& columns = turned ? table.subjects : table.experiments;
  std::vector<std::vector<std::string>> lines = {{""}};
  for (const std::string& column : columns) lines[0].push_back(OneLine(column));
  for (std::size_t r = 0; r < rows.size(); ++r) {
    std::vector<std::string> figures = {OneLine(rows[r])};
    std::vector<std::string> runs = {""};
    std::vector<std::string> rules = {""};
    for (std::size_t c = 0; c < columns.size(); ++c) {
      const TableCell& cell = turned ? table.cells[c][r] : table.cells[r][c];
      figures.push_back(ServiceText(cell));
      runs.push_back(Runs(cell));
      rules.push_back(Rules(cell));
    }
    lines.insert(lines.end(), {figures, runs, rules});
  }
  std::vector<std::size_t> widths(columns.size() + 1, 0);
  for (const auto& line : lines) {
    for (std::size_t i = 0; i < line.size(); ++i) widths[i] = std::max(widths[i], Letters(line[i]));
  }
  std::string text;
  for (const auto& line : lines) {
    std::string row;
    for (std::size_t i = 0; i < line.size(); ++i) {
      row += line[i] + std::string(widths[i] - Letters(line[i]) + 2, ' ');
    }
    widest = std::max(widest, Letters(row));
    row.erase(row.find_last_not_of(' ') + 1);
    text += row + "\n";
  }
  return text;
}

std::string ForMarkdown(const std::string& text) {
  std::string escaped;
  for (const char c : OneLine(text)) {
    if (c == '|' || c == '\\' || c == '`' || c == '*' || c == '_' || c == '[' || c == ']') escaped += '\\';
    escaped += c == '<' ? std::string("&lt;") : c == '&' ? std::string("&amp;") : std::string(1, c);
  }
  return escaped;
}

}  // namespace

Table TableOf(const std::vector<const Verdict*>& runs, std::vector<LostRun> lost) {
  Table table;
  std::set<std::string> experiments;
  std::map<Key, std::vector<const Verdict*>> by_key;
  const auto note = [&](const std::string& subject, const std::string& experiment) {
    experiments.insert(experiment);
    if (std::find(table.subjects.begin(), table.subjects.end(), subject) == table.subjects.end()) {
      table.subjects.push_back(subject);
    }
  };
  for (const Verdict* run : runs) {
    note(run->subject, run->experiment);
    by_key[{run->subject, run->experiment}].push_back(run);
  }
  for (const LostRun& one : lost) note(one.subject, one.experiment);
  table.experiments.assign(experiments.begin(), experiments.end());
  table.cells.assign(table.subjects.size(), std::vector<TableCell>(table.experiments.size()));
  for (std::size_t e = 0; e < table.experiments.size(); ++e) {
    TableCell* best = nullptr;
    for (std::size_t s = 0; s < table.subjects.size(); ++s) {
      TableCell& cell = table.cells[s][e];
      const std::vector<const Verdict*>& all = by_key[{table.subjects[s], table.experiments[e]}];
      std::vector<double> service;
      for (const Verdict* run : all) {
        for (const RuleResult& rule : run->rules) cell.times += rule.broken;
        run->lab.too_late ? ++cell.too_late : ++cell.runs;
        if (!run->lab.too_late) service.push_back(run->service.combined);
      }
      cell.broken = ViolatedRules(all);
      cell.service = SpreadOf(service);
      cell.lost = static_cast<int>(std::count_if(lost.begin(), lost.end(), [&](const LostRun& one) {
        return one.subject == table.subjects[s] && one.experiment == table.experiments[e];
      }));
      if (cell.runs > 0 && cell.broken.empty() &&
          (best == nullptr || cell.service.mean > best->service.mean)) {
        best = &cell;
      }
    }
    if (best == nullptr || table.subjects.size() < 2) continue;
    for (std::size_t s = 0; s < table.subjects.size(); ++s) {  // those that are level are all best
      TableCell& cell = table.cells[s][e];
      cell.best = cell.runs > 0 && cell.broken.empty() && cell.service.mean >= best->service.mean;
    }
  }
  table.lost = std::move(lost);
  return table;
}

std::string ToText(const Table& table) {
  std::size_t widest = 0;
  std::string text = Grid(table, false, widest);
  if (widest > kMostLetters) text = Grid(table, true, widest);
  text += std::string(kLegend) + "\n";
  for (const std::string& remark : Remarks(table)) text += OneLine(remark) + "\n";
  return text;
}

std::string ToMarkdown(const Table& table) {
  std::string text = "|";
  const auto add = [&](const std::string& cell) { text.append(" ").append(cell).append(" |"); };
  add("subject");
  for (const std::string& experiment : table.experiments) add(ForMarkdown(experiment));
  text += "\n|";
  for (std::size_t i = 0; i <= table.experiments.size(); ++i) add("---");
  for (std::size_t s = 0; s < table.subjects.size(); ++s) {
    text += "\n|";
    add(ForMarkdown(table.subjects[s]));
    for (const TableCell& cell : table.cells[s]) {
      std::string all = ForMarkdown(ServiceText(cell));
      for (const std::string& more : {Runs(cell), Rules(cell), BrokenRules(cell)}) {
        if (!more.empty()) all.append("<br>").append(ForMarkdown(more));
      }
      add(all);
    }
  }
  text += "\n\n";
  text += ForMarkdown(kLegend);
  text += "\n";
  const std::vector<std::string> remarks = Remarks(table);
  if (!remarks.empty()) text += "\n";
  for (const std::string& remark : remarks) text.append("- ").append(ForMarkdown(remark)).append("\n");
  return text;
}

std::string ToHtml(const Table& table) {
  std::string html = "<div class=\"wide\"><table class=\"peers\"><thead><tr><th>subject</th>";
  for (const std::string& experiment : table.experiments) html += "<th>" + Escaped(experiment) + "</th>";
  html += "</tr></thead><tbody>\n";
  for (std::size_t s = 0; s < table.subjects.size(); ++s) {
    html += "<tr><th>" + Escaped(table.subjects[s]) + "</th>";
    for (const TableCell& cell : table.cells[s]) {
      const char* look = !cell.broken.empty() ? " class=\"bad\"" : cell.best ? " class=\"good\"" : "";
      html += std::string("<td") + look + "><b>" + Escaped(ServiceText(cell)) + "</b>";
      for (const std::string& more : {Runs(cell), Rules(cell), BrokenRules(cell)}) {
        if (!more.empty()) html += "<br><small>" + Escaped(more) + "</small>";
      }
      html += "</td>";
    }
    html += "</tr>\n";
  }
  html += "</tbody></table></div>\n<p class=\"note\">" + Escaped(kLegend) + "</p>\n";
  const std::vector<std::string> remarks = Remarks(table);
  if (remarks.empty()) return html;
  html += "<ul>";
  for (const std::string& remark : remarks) html += "<li>" + Escaped(remark) + "</li>";
  return html + "</ul>\n";
}

nlohmann::ordered_json ToJson(const Table& table) {
  nlohmann::ordered_json cells = nlohmann::ordered_json::array();
  for (std::size_t s = 0; s < table.subjects.size(); ++s) {
    for (std::size_t e = 0; e < table.experiments.size(); ++e) {
      const TableCell& cell = table.cells[s][e];
      cells.push_back({{"subject", table.subjects[s]},
                       {"experiment", table.experiments[e]},
                       {"runs", cell.runs},
                       {"too_late", cell.too_late},
                       {"lost", cell.lost},
                       {"service", {{"mean", cell.service.mean}, {"deviation", cell.service.deviation}}},
                       {"rules_broken", cell.broken},
                       {"times_broken", cell.times},
                       {"best", cell.best}});
    }
  }
  nlohmann::ordered_json lost = nlohmann::ordered_json::array();
  for (const LostRun& one : table.lost) {
    lost.push_back({{"subject", one.subject}, {"experiment", one.experiment}, {"why", one.why}});
  }
  return {{"cells", cells}, {"lost", lost}};
}

}  // namespace burlfall::lab
