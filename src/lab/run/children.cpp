#include "lab/run/children.h"

#include <signal.h>

#include <algorithm>
#include <iterator>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "config/platform.h"
#include "observe/events.h"

namespace burlfall::lab {
namespace {

constexpr Micros kLastWords = 500 * kMs;  // for what an ended child has written, where others hold its pipe
constexpr std::string_view kServing = "serving";
static_assert(EventAt(events::kAll, kServing) < std::size(events::kAll));
constexpr std::string_view kTextReady = " serves at ";  // of a program whose log is text
constexpr std::string_view kOther = "other";

std::string ConfigName(int i) { return "balancer-" + std::to_string(i) + ".json"; }

}  // namespace

std::string ChildEnd::Text() const {
  std::string text = name + (crashed ? " crashed: " : asked ? " ended as asked: " : " ended: ") + exit.Text();
  if (!crashed) return text;
  text += last_lines.empty() ? "; it wrote nothing" : "; its last lines:";
  for (const std::string& line : last_lines) text += "\n  " + line;
  return text;
}

Children::Child::Child(RealScheduler& scheduler, const ProcessSpec& start, const std::string& its_name,
                       uint64_t its_life)
    : name(its_name), life(its_life), process(scheduler, start), read(scheduler) {}

Children::Children(RealScheduler& scheduler, Settings settings, Hears hears)
    : scheduler_(scheduler),
      settings_(std::move(settings)),
      hears_(std::move(hears)),
      folder_(settings_.folder),
      noticed_(scheduler),
      ended_(scheduler) {
  if (settings_.keep_folder) folder_.Keep();
  if (settings_.start.empty() && !settings_.start_text.empty()) {
    folder_.Write("start.toml", settings_.start_text);
    settings_.start = folder_.Path("start.toml");
  }
  telling_ = Tell();
  telling_.Start();
}

Children::~Children() = default;

bool Children::Start(int i, const ChildSpec& spec) {
  if (stopping_) return false;
  if (Running(i)) throw std::logic_error(spec.name + " runs already");
  folder_.Write(ConfigName(i), spec.config);
  ProcessSpec start;
  if (settings_.command.empty()) {
    start.program = SiblingProgramPath("burlfall");
    start.arguments = {"serve", "--log-format", "json"};
    if (!settings_.properties.empty()) {
      start.arguments.insert(start.arguments.end(), {"--config", settings_.properties});
    }
    if (!settings_.start.empty()) {
      start.arguments.insert(start.arguments.end(), {"--start", settings_.start});
    }
  } else {
    start.program = settings_.command.front();
    start.arguments.assign(settings_.command.begin() + 1, settings_.command.end());
  }
  start.arguments.insert(start.arguments.end(), spec.arguments.begin(), spec.arguments.end());
  start.environment.emplace_back(platform::kConfigVariable, folder_.Path(ConfigName(i)));
  auto tell = [&start](const char* variable, const std::string& value) {
    if (!value.empty()) start.environment.emplace_back(variable, value);
  };
  tell(platform::kNameVariable, spec.name);
  tell(platform::kListenVariable, spec.listen);
  tell(platform::kDiscoveryVariable, spec.discovery);
  tell(platform::kFolderVariable, spec.folder);
  start.max_descriptors = spec.descriptors;
  start.max_address_space = spec.address_space_bytes;
  start.cores = spec.cores;
  start.cpu_share = spec.cpu_share;
  auto child = std::make_unique<Child>(scheduler_, start, spec.name, ++lives_);
  heard_[i] = Heard();
  child->reading = 2;
  child->output = Read(i, *child, child->process.output());
  child->error = Read(i, *child, child->process.error());
  child->watch = Watch(i, *child);
  Child& started = *child;
  children_[i] = std::move(child);
  started.output.Start();
  started.error.Start();
  started.watch.Start();
  return true;
}

// ---- What a child says -----------------------------------------------------------------------------------

Task<> Children::Read(int i, Child& child, Stream& from) {
  co_await ReadLines(from, kLongestLine, [this, i](std::string_view line) { Hear(i, line); });
  --child.reading;
  child.read.Notify();
}

void Children::Hear(int i, std::string_view line) {
  Heard& heard = heard_[i];
  heard.lines.emplace_back(line);
  if (heard.lines.size() > kLinesKept) heard.lines.pop_front();
  if (!line.starts_with("{\"event\":")) {
    const size_t at = line.find(kTextReady);
    if (at != std::string_view::npos && line.starts_with("burlfall: ")) {
      IsReady(i, std::string(line.substr(at + kTextReady.size())));
    }
    return;
  }
  const nlohmann::json event = nlohmann::json::parse(line, nullptr, false);
  if (!event.is_object() || !event["event"].is_string()) return;
  const std::string& name = event["event"].get_ref<const std::string&>();
  const bool counted = heard.events.contains(name) || heard.events.size() < kEventNames;
  ++heard.events[counted ? name : std::string(kOther)];
  // Whatever the program is: an address that is no text must not end the lab.
  const auto address = event.find("address");
  const bool text = address != event.end() && address->is_string();
  if (name == kServing) IsReady(i, text ? address->get<std::string>() : std::string());
  hears_.event(i, name, event);
}

void Children::IsReady(int i, std::string address) {
  Child* child = Find(i);
  if (child == nullptr || std::exchange(child->ready, true)) return;
  notices_.push_back({.child = i, .life = child->life, .ready = std::move(address), .end = {}});
  noticed_.Notify();
}

// ---- Its end ---------------------------------------------------------------------------------------------

Task<> Children::Watch(int i, Child& child) {
  std::optional<ProcessExit> exit;
  while (!(exit = child.process.Exit())) co_await child.process.Wait();
  const Micros until = scheduler_.Now() + kLastWords;
  while (child.reading > 0 && scheduler_.Now() < until) co_await child.read.Wait(until);
  const bool killed = exit->by_signal && exit->code == SIGKILL;
  const bool ended = !exit->by_signal && exit->code == 0;
  // A signal to end that comes before the program takes signals ends it at once.
  const bool ended_early = exit->by_signal && exit->code == SIGTERM;
  ChildEnd end;
  end.name = child.name;
  end.exit = *exit;
  end.asked = child.asked != Asked::kNothing;
  end.crashed = !(child.asked == Asked::kTerminate ? ended || ended_early
                  : child.asked == Asked::kKill    ? ended || ended_early || killed
                                                   : false);
  end.usage = child.process.Usage();
  end.last_lines = LastLines(i);
  notices_.push_back({.child = i, .life = child.life, .ready = {}, .end = std::move(end)});
  noticed_.Notify();
}

// What a child's own tasks come to know is told from here: whoever hears of it may start it again.
Task<> Children::Tell() {
  while (true) {
    while (!notices_.empty()) {
      const Notice notice = std::move(notices_.front());
      notices_.pop_front();
      const Child* child = Find(notice.child);
      if (child == nullptr || child->life != notice.life) continue;  // late word of an earlier life
      if (notice.ready) hears_.ready(notice.child, *notice.ready);
      if (!notice.end) continue;
      children_.erase(notice.child);
      ended_.Notify();
      hears_.ended(notice.child, *notice.end);
    }
    co_await noticed_.Wait();
  }
}

// ---- What is asked of it ---------------------------------------------------------------------------------

void Children::Ask(int i, Asked what) {
  Child* child = Find(i);
  if (child == nullptr || child->process.Exit()) return;  // it has ended by itself
  child->process.Kill(what == Asked::kKill ? SIGKILL : SIGTERM);
  child->asked = std::max(child->asked, what);
}

void Children::Terminate(int i) { Ask(i, Asked::kTerminate); }

void Children::Kill(int i) { Ask(i, Asked::kKill); }

void Children::Reload(int i, const std::string& config) {
  Child* child = Find(i);
  if (child == nullptr) return;
  folder_.Write(ConfigName(i), config);
  child->process.Kill(SIGHUP);
}

void Children::TellCounters(int i) {
  if (Child* child = Find(i)) child->process.Kill(SIGUSR1);
}

void Children::Pause(int i, bool on) {
  if (Child* child = Find(i)) child->process.Kill(on ? SIGSTOP : SIGCONT);
}

Task<> Children::StopAll(Micros patience) {
  stopping_ = true;
  for (const auto& [i, child] : children_) {
    Terminate(i);
    Pause(i, false);  // one that stands still hears of nothing
  }
  const Micros until = scheduler_.Now() + patience;
  while (!children_.empty() && scheduler_.Now() < until) co_await ended_.Wait(until);
  for (const auto& [i, child] : children_) Kill(i);
  while (!children_.empty()) co_await ended_.Wait();
}

// ---- What is known of it ---------------------------------------------------------------------------------

Children::Child* Children::Find(int i) const {
  auto it = children_.find(i);
  return it == children_.end() ? nullptr : it->second.get();
}

size_t Children::running() const { return children_.size(); }

bool Children::Ready(int i) const {
  const Child* child = Find(i);
  return child != nullptr && child->ready;
}

pid_t Children::Pid(int i) const {
  const Child* child = Find(i);
  return child == nullptr ? -1 : child->process.pid();
}

std::optional<ProcessUsage> Children::Usage(int i) const {
  Child* child = Find(i);
  if (child == nullptr) return {};
  return child->process.Usage();
}

const Process::Share* Children::Share(int i) const {
  const Child* child = Find(i);
  return child == nullptr ? nullptr : &child->process.share();
}

std::vector<std::string> Children::LastLines(int i) const {
  auto it = heard_.find(i);
  if (it == heard_.end()) return {};
  return {it->second.lines.begin(), it->second.lines.end()};
}

std::map<std::string, uint64_t, std::less<>> Children::Events(int i) const {
  auto it = heard_.find(i);
  return it == heard_.end() ? std::map<std::string, uint64_t, std::less<>>() : it->second.events;
}

}  // namespace burlfall::lab
