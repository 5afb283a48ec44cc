#include "lab/store.h"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <utility>

#include "io/real_files.h"

namespace burlfall::lab {
namespace {

namespace fs = std::filesystem;

constexpr char kResult[] = "result.json";
constexpr char kLost[] = "lost.txt";
constexpr char kExperiment[] = "experiment.toml";

// A name that is one folder, whatever it holds.
std::string Folder(const std::string& name) {
  std::string plain;
  for (char c : name) {
    const bool word = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
    plain += word || c == '-' || c == '_' || c == '.' ? c : '_';
  }
  return plain.empty() || plain[0] == '.' ? "_" + plain : plain;
}

std::string ReadText(const fs::path& file) {
  std::optional<std::string> text = MakeRealFiles()->Read(file.string());
  if (!text) throw std::runtime_error(file.string() + ": can't be read");
  return std::move(*text);
}

void LoadOne(const fs::path& file, StoredRuns& into) {
  Verdict verdict;
  std::string error;
  const auto json = nlohmann::ordered_json::parse(ReadText(file), nullptr, false);
  if (json.is_discarded()) throw std::runtime_error(file.string() + ": no JSON");
  if (!FromJson(json, verdict, error)) throw std::runtime_error(file.string() + ": " + error);
  into.verdicts.push_back(std::move(verdict));
  const fs::path experiment = file.parent_path() / kExperiment;
  into.experiments.push_back(fs::exists(experiment) ? ReadText(experiment) : "");
}

}  // namespace

fs::path RunPath(const fs::path& dir, const std::string& experiment, const std::string& subject,
                 uint64_t seed) {
  return dir / Folder(experiment) / Folder(subject) / ("seed-" + std::to_string(seed));
}

// Whole or not at all: a run that is cut off must not leave half a result. What is there and no plain file is
// written into, as a new file in its place would take a device, a pipe or a link from the system.
void SaveText(const fs::path& file, const std::string& text) {
  std::error_code error;
  if (file.has_parent_path()) fs::create_directories(file.parent_path(), error);
  const fs::file_status there = fs::symlink_status(file, error);
  const bool plain = !fs::exists(there) || fs::is_regular_file(there);
  // A name of its own: another run may write the same page.
  const fs::path half = plain ? file.string() + "." + std::to_string(getpid()) + ".part" : file.string();
  std::ofstream out(half, std::ios::binary);
  out << text;
  out.close();
  error.clear();
  if (out && plain) fs::rename(half, file, error);
  if (out && !error) return;
  std::error_code ignored;
  if (plain) fs::remove(half, ignored);
  throw std::runtime_error(file.string() + ": can't be written");
}

void NeedFolder(const fs::path& dir) {
  std::error_code error;
  if (!dir.empty()) fs::create_directories(dir, error);
  if (error || (!dir.empty() && access(dir.c_str(), W_OK | X_OK) != 0)) {
    throw std::runtime_error(dir.string() + ": no folder that can be written to");
  }
}

void SaveRun(const fs::path& run, const Verdict& verdict, const std::string& experiment,
             const std::string& why_not) {
  std::error_code ignored;
  if (why_not.empty()) fs::remove(run / kLost, ignored);
  // First: the result of a part must at no time pass for that of a whole.
  if (!why_not.empty()) SaveText(run / kLost, why_not + "\n");
  SaveText(run / kExperiment, experiment);
  SaveText(run / kResult, ToJson(verdict).dump(1) + "\n");
}

void SaveLost(const fs::path& run, const std::string& why) {
  std::error_code ignored;
  fs::remove(run / kResult, ignored);
  SaveText(run / kLost, why + "\n");
}

StoredRuns LoadRuns(const fs::path& where, Parts parts) {
  StoredRuns runs;
  if (fs::is_regular_file(where)) {
    LoadOne(where, runs);
    return runs;
  }
  if (!fs::is_directory(where)) throw std::runtime_error(where.string() + ": no folder or file");
  std::vector<fs::path> files;
  for (const auto& entry : fs::recursive_directory_iterator(where)) {
    const fs::path name = entry.path().filename();
    if (name == kResult || name == kLost) files.push_back(entry.path());
  }
  std::sort(files.begin(), files.end());
  for (const fs::path& file : files) {
    if (file.filename() == kResult) {
      const bool part = fs::exists(file.parent_path() / kLost);
      if (!part || parts == Parts::kToo) LoadOne(file, runs);
      continue;
    }
    LostRun lost;
    lost.subject = file.parent_path().parent_path().filename().string();
    lost.experiment = file.parent_path().parent_path().parent_path().filename().string();
    lost.why = ReadText(file);
    lost.why.resize(std::min(lost.why.find('\n'), lost.why.size()));
    runs.lost.push_back(std::move(lost));
  }
  if (files.empty()) throw std::runtime_error(where.string() + ": holds no results");
  return runs;
}

}  // namespace burlfall::lab
