#include "replay/replay.h"

#include <deque>
#include <map>
#include <optional>
#include <sstream>
#include <string_view>
#include <utility>

#include "config/platform.h"
#include "config/platform_config.h"
#include "config/properties.h"
#include "config/settings.h"
#include "observe/capture_record.h"

namespace burlfall {
namespace {

using meadowslip::BackendId;
using meadowslip::Balancer;
using meadowslip::Micros;
using meadowslip::RequestId;
using meadowslip::Settings;
using Choice = Record::Choice;

// Returns the settings of a platform configuration, which begins like JSON. Returns nothing for a properties
// file, which is only checked.
std::optional<Settings> ReadSettings(const std::string& path, Files& files) {
  const std::string text = files.Read(path).value_or("");
  const size_t first = text.find_first_not_of(" \t\r\n");
  if (first == std::string::npos || text[first] != '{') {
    LoadProperties(path, files);  // reports a file that can't be used
    return std::nullopt;
  }
  auto variable = [&path](const char* name) {
    return std::string_view(name) == platform::kConfigVariable ? path.c_str() : nullptr;
  };
  return LoadConfig(variable, files).settings;
}

struct Decision {
  Choice did = Choice::kSend;
  RequestId id = 0;
  BackendId backend = 0;
  int attempt = 0;
  Micros span = 0;

  bool operator==(const Decision&) const = default;
};

// Records the module's decisions. Timers are not recorded: the capture has their expiries.
class RecordingSink : public meadowslip::ActionSink {
 public:
  void Send(RequestId id, BackendId backend, Micros timeout) override {
    decisions.push_back({Choice::kSend, id, backend, 0, timeout});
  }
  void Refuse(RequestId id, Micros retry_after) override {
    decisions.push_back({Choice::kRefuse, id, 0, 0, retry_after});
  }
  void Fail(RequestId id) override { decisions.push_back({Choice::kFail, id, 0, 0, 0}); }
  void Cancel(RequestId id, int attempt) override {
    decisions.push_back({Choice::kCancel, id, 0, attempt, 0});
  }
  void Schedule(Micros, uint64_t) override {}
  void Probe(BackendId) override {}
  void Subscribe() override { decisions.push_back({Choice::kAsk, 0, 0, 0, 0}); }

  std::deque<Decision> decisions;
};

class Replayer {
 public:
  Replayer(std::optional<Settings> settings, std::ostream& out) : settings_(std::move(settings)), out_(out) {}

  void Apply(const Record& r, long line, std::string_view text) {
    if (r.kind == Record::Kind::kDecision) return CompareDecision(r, line, text);
    EndEvent(line);
    switch (r.kind) {
      case Record::Kind::kStart:
        return Start(r);
      case Record::Kind::kCheckpoint:
        return Checkpoint(r);
      default:
        break;
    }
    Balancer& module = ActiveModule();
    ++event_count_;
    switch (r.kind) {
      case Record::Kind::kList: {
        meadowslip::BackendList list;
        list.kind = r.list_kind;
        for (const Record::Server& s : r.servers) {
          names_[s.entry.id] = s.name;
          list.entries.push_back(s.entry);
        }
        return module.OnList(r.at, list, sink_);
      }
      case Record::Kind::kQuery:
        return module.OnRequest(r.at, r.request, sink_);
      case Record::Kind::kResult:
        return module.OnResult(r.at, r.result, sink_);
      case Record::Kind::kStream:
        return module.OnStreamStarted(r.at, r.request.id, r.result.attempt, sink_);
      case Record::Kind::kLeft:
        return module.OnClientLeft(r.at, r.request.id, sink_);
      default:
        return module.OnTimer(r.at, r.timer, sink_);
    }
  }

  // Reports the module's decisions that were not captured for the event before this line. If the capture ends
  // in a torn line, they don't count as differences: the captured decisions may have been cut off.
  void EndEvent(long line, bool torn = false) {
    for (const Decision& decision : sink_.decisions) {
      out_ << "before line " << line << ": nothing captured\n  replay chose: " << Describe(decision) << "\n";
      if (torn) {
        out_ << "  not counted: the capture ends within this event\n";
      } else {
        ++difference_count_;
      }
    }
    sink_.decisions.clear();
  }

  bool started() const { return module_.has_value(); }
  int ReportTotals() {
    out_ << "replayed " << event_count_ << " events and " << decision_count_
         << " decisions: " << difference_count_
         << (difference_count_ == 1 ? " difference\n" : " differences\n");
    return difference_count_ == 0 ? kReplayMatches : kReplayDiffers;
  }

 private:
  void Start(const Record& r) {
    module_.reset();
    if (r.format != meadowslip::kStateFormat) {
      throw BadRecord("captured by version " + std::string(r.version) + " with decisions of format " +
                      std::to_string(r.format) + ": this version replays format " +
                      std::to_string(meadowslip::kStateFormat) + " alone");
    }
    Settings captured;
    try {
      captured = meadowslip::ParseSettings(FlattenSettings(r.settings));
    } catch (const std::exception& e) {
      throw BadRecord(std::string("settings: ") + e.what());
    }
    if (settings_ && *settings_ != captured && !std::exchange(settings_difference_reported_, true)) {
      out_ << "replayed with the settings of the configuration, which differ from the captured ones\n";
    }
    pending_module_.emplace(settings_ ? *settings_ : captured, r.seed);
  }

  void Checkpoint(const Record& r) {
    if (!pending_module_) throw BadRecord("a checkpoint without a start record before it");
    if (!pending_module_->Load(r.state))
      throw BadRecord("a checkpoint that the module can't take over with these settings");
    module_ = std::move(pending_module_);
    pending_module_.reset();
    for (const Record::Server& s : r.servers) names_[s.entry.id] = s.name;
  }

  Balancer& ActiveModule() {
    if (pending_module_) throw BadRecord("no checkpoint behind the start record");
    if (!module_)
      throw BadRecord("no start record and checkpoint before it: what the module knew is not captured");
    return *module_;
  }

  void CompareDecision(const Record& r, long line, std::string_view text) {
    ActiveModule();
    ++decision_count_;
    const Decision captured = {r.choice, r.request.id, r.backend, r.result.attempt, r.span};
    std::optional<Decision> decision;
    if (!sink_.decisions.empty()) {
      decision = sink_.decisions.front();
      sink_.decisions.pop_front();
      // The captured attempt number counts from the query's first attempt, which may precede this segment.
      if (decision->did == Choice::kSend) decision->attempt = captured.attempt;
    }
    if (decision == captured) return;
    ++difference_count_;
    out_ << "line " << line << ": " << text
         << "\n  replay chose: " << (decision ? Describe(*decision) : "nothing") << "\n";
  }

  std::string Describe(const Decision& decision) const {
    constexpr const char* kChoiceNames[] = {"send", "refuse", "fail", "cancel", "ask discovery"};
    std::string text = kChoiceNames[static_cast<size_t>(decision.did)];
    if (decision.did == Choice::kAsk) return text;
    text += " query " + std::to_string(decision.id);
    if (decision.did == Choice::kSend) {
      auto it = names_.find(decision.backend);
      text += " to " + (it == names_.end() ? std::to_string(decision.backend) : it->second);
    }
    if (decision.did == Choice::kCancel) text += " attempt " + std::to_string(decision.attempt);
    if (decision.span > 0) text += ", " + std::to_string(decision.span) + " us";
    return text;
  }

  std::optional<Settings> settings_;
  std::ostream& out_;
  std::optional<Balancer> pending_module_;  // started, but its checkpoint has not been read
  std::optional<Balancer> module_;
  RecordingSink sink_;
  std::map<BackendId, std::string> names_;
  long event_count_ = 0;
  long decision_count_ = 0;
  long difference_count_ = 0;
  bool settings_difference_reported_ = false;
};

}  // namespace

int Replay(const std::string& capture, const std::string& config, Files& files, std::ostream& out,
           std::ostream& errors) {
  Replayer replayer(ReadSettings(config, files), out);
  const std::optional<std::string> content = files.Read(capture);
  if (!content || content->empty()) {
    errors << "burlfall: " << capture << ": can't be read, or is empty\n";
    return kReplayImpossible;
  }
  std::istringstream file(*content);
  RecordReader reader;
  long line = 0, skipped = 0, torn = 0;
  std::string torn_error;
  auto fail = [&](long at, const std::string& what) {
    errors << "burlfall: " << capture << ": line " << at << ": " << what << "\n";
    return kReplayImpossible;
  };
  for (std::string text; std::getline(file, text);) {
    ++line;
    if (!text.starts_with('{') || text.starts_with("{\"event\":")) {  // other lines of a log
      skipped += !text.empty();
      continue;
    }
    try {
      const Record record = reader.Read(text);
      if (torn > 0) {
        // Records behind a torn line can't be trusted, unless they begin with a start record: the program was
        // restarted.
        if (record.kind != Record::Kind::kStart) return fail(torn, torn_error);
        replayer.EndEvent(torn, true);
        out << "line " << torn << ": torn, skipped\n";
        torn = 0;
      }
      replayer.Apply(record, line, text);
    } catch (const BadRecord& e) {
      if (e.why == BadRecord::Why::kEvent) {
        ++skipped;
        continue;
      }
      if (e.why != BadRecord::Why::kJson) return fail(line, e.what());
      if (torn > 0) return fail(torn, torn_error);
      torn = line;
      torn_error = e.what();
    }
  }
  if (torn > 0) out << "line " << torn << ": torn, skipped\n";
  if (skipped > 0) out << skipped << " lines that are no records skipped\n";
  if (!replayer.started()) return fail(line, "no start record and checkpoint: there is nothing to replay");
  replayer.EndEvent(line + 1, torn > 0);
  return replayer.ReportTotals();
}

}  // namespace burlfall
