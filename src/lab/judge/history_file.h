// A history file: everything that was observed of a run from outside, one event a line, written as it
// happens. It is readable, and the run checker can check it again. docs/history.md describes the format.
// Nothing in it comes from a balancer's log, counters or memory.
//
//   HistoryWriter writer(facts, [&](std::string_view line) { file << line; });
//   ... use it as an Observer ...
//   writer.End(now);
#ifndef BURLFALL_LAB_JUDGE_HISTORY_FILE_H_
#define BURLFALL_LAB_JUDGE_HISTORY_FILE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lab/judge/facts.h"
#include "lab/judge/result.h"
#include "lab/witness/observer.h"

namespace burlfall::lab {

constexpr int kHistoryVersion = 1;

// Writes the events of a run as lines of a history.
class HistoryWriter final : public Observer {
 public:
  using LineSink = std::function<void(std::string_view line)>;  // including the line break
  HistoryWriter(const Facts& facts, LineSink sink);
  // Writes the last line. A history without it is rejected as truncated.
  void End(Micros at);

  void Due(const Try& one) override;
  void Written(TraceId trace, Micros at) override;
  void Ended(TraceId trace, Micros at, lab::End how, int status, const Mark& mark,
             Micros refused_for) override;
  void SentLate(Micros late_by) override;
  void Arrived(const ArrivedAttempt& attempt) override;
  void Ran(uint64_t attempt, Micros at, bool effect) override;
  void AttemptEnded(uint64_t attempt, Micros at, AttemptEnd how) override;
  void LinkEnded(uint64_t attempt, Micros at) override;
  void HandshakeAt(int node, int balancer, Micros at) override;
  void NodeChanged(int node, NodeChange change, Micros at,
                   const std::vector<double>& work_by_balancer) override;
  void UnexpectedRequest(int node, int balancer, Micros at) override;
  void Listed(int node, meadowslip::BackendState state, Micros started_at, Micros at) override;
  void NodeStateSent(int balancer, int node, meadowslip::BackendState state, Micros started_at,
                     Micros at) override;
  void ListRequested(int balancer, Micros at, bool watching) override;
  void ListRequestFailed(int balancer, Micros at) override;
  void ManualDrain(int balancer, int node, bool out, Micros at) override;
  void BalancerUp(int balancer, Micros at) override;
  void BalancerDown(int balancer, Micros at, bool planned) override;
  void FaultBegan(int action, Micros at) override;
  void FaultEnded(int action, Micros at) override;

 private:
  struct Line;
  void WriteEvent(const Line& line);

  const Micros begins_at_;
  const LineSink sink_;
  Micros last_at_;
  uint64_t events_ = 0;
  bool over_ = false;  // later events, of processes being stopped, are not written: the run checker does not
                       // get them either
};

// Why a text is not a valid history.
struct HistoryError {
  std::size_t line = 0;  // from 1
  std::string why;
};

// Replays the events of a history, in order, to the observer that `on_header` creates from the first line.
// Read() returns false if the text is not a valid history; the events replayed until then must be discarded.
struct HistoryReader {
  std::function<Observer&(const Facts& facts)> on_header;
  std::function<void(std::size_t line)> before_event = [](std::size_t) {};  // called before each event
  Micros ended_at = 0;
  HistoryError parse_error;
  bool Read(std::string_view text);
};

// The result of checking a history: the same as that of the run itself.
struct CheckedHistory {
  Verdict verdict;
  struct LocatedFinding {
    std::string rule;
    Finding finding;
    std::size_t line =
        0;  // of the event that violated the rule; for an event that never came, of the last one before
  };
  std::vector<LocatedFinding> broken;
};
std::optional<CheckedHistory> CheckHistory(std::string_view text, HistoryError& parse_error);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_JUDGE_HISTORY_FILE_H_
