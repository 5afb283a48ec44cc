// The table of events: what the log of the balancer can say, in which words, and what it means. Programs read
// these names, so they stay as they are; docs/events.md is made from this table.
#ifndef BURLFALL_OBSERVE_EVENTS_H_
#define BURLFALL_OBSERVE_EVENTS_H_

#include <array>
#include <cstddef>
#include <span>
#include <string_view>

namespace burlfall {

enum class LogLevel { kInfo, kWarning, kError };

struct LogField {
  enum class Type { kNumber, kText, kCounters };
  std::string_view name = {};
  Type type = Type::kText;
  std::string_view meaning = {};
};

struct LogEvent {
  std::string_view name;
  LogLevel level;
  // The line in text: {field} is its value, and what stands in brackets goes where a field in it is 0 or
  // empty.
  std::string_view text;
  std::string_view meaning;
  std::array<LogField, 8> all_fields = {};  // those behind the last have no name

  constexpr std::span<const LogField> fields() const {
    size_t n = 0;
    while (n < all_fields.size() && !all_fields[n].name.empty()) ++n;
    return {all_fields.data(), n};
  }
};

namespace events {

using enum LogField::Type;

inline constexpr LogEvent kAll[] = {
    {"starting",
     LogLevel::kInfo,
     "{name} starts: version {version}, discovery at {discovery}, {known} known servers, at most "
     "{descriptors} descriptors, features on: {features}",
     "The files are read and the address is bound; nothing is accepted yet.",
     {{{"name", kText, "the balancer's name"},
       {"version", kText, "the program's version"},
       {"discovery", kText, "where discovery is asked"},
       {"known", kNumber, "the servers of the list that the configuration came with"},
       {"descriptors", kNumber, "how many descriptors may be open, by the configuration and the system"},
       {"features", kText, "the operators' features that are on, or `none`"}}}},
    {"serving",
     LogLevel::kInfo,
     "{name} serves at {address}",
     "Queries are accepted from now on.",
     {{{"name", kText, "the balancer's name"}, {"address", kText, "where clients connect"}}}},
    {"start_phase",
     LogLevel::kInfo,
     "start: {phase} after {after_ms} ms, next call to discovery in {next_ms} ms (all balancers together "
     "need "
     "{window_ms} ms), {calls} calls so far",
     "With `--start`: where the start stands. `without_list`: nothing can be sent anywhere. `older_list`: it "
     "serves from a list of before, or has lost its watch. `listed`: it has its list, and gives way to those "
     "that "
     "have none. `following`: it watches for news.",
     {{{"phase", kText, "where the start stands"},
       {"after_ms", kNumber, "since it began to serve"},
       {"next_ms", kNumber, "until discovery is called next, at the earliest"},
       {"window_ms", kNumber, "over which the first calls of all balancers are spread now"},
       {"calls", kNumber, "to discovery so far"}}}},
    {"start_again",
     LogLevel::kWarning,
     "was started {before} times before within {span_ms} ms, without an orderly end",
     "With `--start` and a folder: this process may be in a loop of crashes. Each round asks discovery "
     "later.",
     {{{"before", kNumber, "starts before this one"},
       {"span_ms", kNumber, "the time over which they count"}}}},
    {"saved_list_used",
     LogLevel::kInfo,
     "starts from a saved list: {nodes} nodes, version {version}, {age_ms} ms old",
     "With `--start`: discovery has not been heard yet, the list of before holds until then.",
     {{{"nodes", kNumber, "in the list"},
       {"version", kNumber, "of the list, as discovery counts"},
       {"age_ms", kNumber, "since discovery last said that it is so"}}}},
    {"saved_list_refused",
     LogLevel::kWarning,
     "{file} is not used: {why}",
     "With `--start`: a saved list that can't be used. The start goes on without it.",
     {{{"file", kText, "its path"}, {"why", kText, "what is wrong with it"}}}},
    {"saved_list_error",
     LogLevel::kWarning,
     "{file} can't be written: {why}",
     "With `--start`: the list can't be kept for the next start. Service goes on; it is tried again, and "
     "told "
     "again once it has worked in between.",
     {{{"file", kText, "its path"}, {"why", kText, "the system's word"}}}},
    {"draining",
     LogLevel::kInfo,
     "draining: {client_links} client links are open",
     "It was told to end. It still accepts and answers, and asks clients to go elsewhere.",
     {{{"client_links", kNumber, "the clients' connections that are open"}}}},
    {"closing",
     LogLevel::kInfo,
     "closing: {client_links} client links are open",
     "It accepts nothing more, and answers what it owes.",
     {{{"client_links", kNumber, "the clients' connections that are open"}}}},
    {"drained",
     LogLevel::kInfo,
     "drained by hand: {client_links} client links are open",
     "An operator told it to drain: `/up` says no, clients are asked to go elsewhere, idle links are closed. "
     "It "
     "runs on until `back_to_work` or its end.",
     {{{"client_links", kNumber, "the clients' connections that are open"}}}},
    {"back_to_work",
     LogLevel::kInfo,
     "back to work, after {drained_ms} ms",
     "An operator ended the drain: `/up` says yes again.",
     {{{"drained_ms", kNumber, "since `drained`"}}}},
    {"admin_serving",
     LogLevel::kInfo,
     "operators are heard at {address}",
     "The second address takes calls from now on.",
     {{{"address", kText, "where operators call"}}}},
    {"node_out",
     LogLevel::kInfo,
     "{node} is out by hand; {out} nodes are",
     "An operator took a node out: nothing new goes there until `node_back`, whatever discovery says.",
     {{{"node", kText, "its id"}, {"out", kNumber, "how many are out now"}}}},
    {"node_back",
     LogLevel::kInfo,
     "{node} is back; {out} nodes are out",
     "An operator put a node back: it is as discovery has it, and starts cold.",
     {{{"node", kText, "its id"}, {"out", kNumber, "how many are out now"}}}},
    {"nodes_kept_out",
     LogLevel::kInfo,
     "{out} nodes are out by hand since before this start",
     "The file of the nodes that are out was read at the start.",
     {{{"out", kNumber, "how many"}}}},
    {"out_file_refused",
     LogLevel::kError,
     "{file} is damaged and was not read: nodes that were out by hand are not",
     "The file of the nodes that are out can't be what was written. Take them out again.",
     {{{"file", kText, "its path"}}}},
    {"out_file_error",
     LogLevel::kError,
     "{file} can't be written: {why}",
     "A call for a node could not be kept. A call out was then refused; a call back holds, and is written as "
     "soon as it can be: until `out_file_written` the node is out again after a restart.",
     {{{"file", kText, "its path"}, {"why", kText, "the system's word"}}}},
    {"out_file_written",
     LogLevel::kInfo,
     "{file} is written again",
     "The file of the nodes that are out says so again, after `out_file_error`.",
     {{{"file", kText, "its path"}}}},
    {"taken_over",
     LogLevel::kInfo,
     "took over: {hosts} known nodes, {out} out by hand; {queries} queries stay with the process before",
     "This process takes the place of one that serves, and goes on where that left off.",
     {{{"hosts", kNumber, "nodes that the other knew, those that are gone too"},
       {"out", kNumber, "how many of them are out by hand"},
       {"queries", kNumber, "those on their way, which the other process answers"}}}},
    {"state_refused",
     LogLevel::kWarning,
     "took over without what the process before had learned: {why}",
     "The nodes, those out by hand and a drain were taken over; limits, sleeps and latencies begin anew.",
     {{{"why", kText, "what is wrong with the state"}}}},
    {"handed_over",
     LogLevel::kInfo,
     "handed over: {client_links} client links and {queries} queries to go",
     "Another process serves in this one's place. This one answers what it owes, passes its links on, and "
     "ends.",
     {{{"client_links", kNumber, "the clients' connections that are open"},
       {"queries", kNumber, "those on their way"}}}},
    {"two_processes",
     LogLevel::kInfo,
     "the process before holds {other_descriptors} descriptors and {other_memory_kb} KiB, this one "
     "{descriptors} and {memory_kb} KiB; {most} descriptors for both",
     "What both hold together, once after a hand-over. This one keeps its links within what the other "
     "leaves.",
     {{{"other_descriptors", kNumber, "the other's, as it tells"},
       {"other_memory_kb", kNumber, "the other's resident memory"},
       {"descriptors", kNumber, "this one's links, and what it keeps in reserve"},
       {"memory_kb", kNumber, "this one's resident memory"},
       {"most", kNumber, "how many descriptors both may hold"}}}},
    {"door_kept",
     LogLevel::kWarning,
     "the process that was to take over did not come to serve; this one serves on",
     "A hand-over that was begun broke off, or took too long.",
     {}},
    {"taken_back",
     LogLevel::kError,
     "the process that took over is gone; this one serves again",
     "The other broke off without a word of an orderly end.",
     {}},
    {"handover_refused",
     LogLevel::kWarning,
     "nothing taken over: {why}",
     "A process that serves was found, but did not hand over. This one begins by itself.",
     {{{"why", kText, "the other's word, or how it failed"}}}},
    {"handover_message_refused",
     LogLevel::kWarning,
     "hand-over: refused {why}",
     "The other process of a hand-over said something that can't be taken; both go on.",
     {{{"why", kText, "what it was"}}}},
    {"handover_unavailable",
     LogLevel::kWarning,
     "no hand-over at {path}: {why}",
     "The next process can't take over from this one: it will begin by itself.",
     {{{"path", kText, "where the processes were to meet"}, {"why", kText, "the system's word"}}}},
    {"stopped",
     LogLevel::kInfo,
     "stopped after {ran_ms} ms",
     "The last event: nothing is owed any more, and the process ends with exit code 0.",
     {{{"ran_ms", kNumber, "since `serving`"}}}},
    {"counters",
     LogLevel::kInfo,
     "counters: {counters} phase={phase}",
     "The counters, on SIGUSR1 and at the end.",
     {{{"counters", kCounters, "each counter of the README, under its name"},
       {"phase", kNumber,
        "0 starting, 1 serving, 2 draining, 3 closing, 4 stopped, 5 drained by hand, 6 handed over"}}}},
    {"config_read",
     LogLevel::kInfo,
     "configuration read anew[; {waits} change with the next start only]",
     "The platform's configuration was read on SIGHUP.",
     {{{"waits", kText, "what differs, or may, and is not taken up now; empty: nothing"}}}},
    {"config_kept",
     LogLevel::kWarning,
     "configuration kept as it was: {why}",
     "The platform's configuration can't be used; the one before stays in force.",
     {{{"why", kText, "what is wrong with it"}}}},
    {"properties_read",
     LogLevel::kInfo,
     "properties read anew; {waits} change with the next start only",
     "The operators' properties were read on SIGHUP.",
     {{{"waits", kText, "what is never taken up before the next start"}}}},
    {"properties_kept",
     LogLevel::kWarning,
     "properties kept as they were: {why}",
     "The operators' properties can't be used; those before stay in force.",
     {{{"why", kText, "what is wrong with them"}}}},
    {"list_heard",
     LogLevel::kInfo,
     "discovery: list {version}, {servers} servers ready[, {added} added][, {removed} removed]"
     "[, {draining} began to drain][, {restarted} restarted]",
     "Servers changed. At most one a second: it sums up what changed since the last.",
     {{{"version", kNumber, "discovery's version of the list"},
       {"servers", kNumber, "the servers that are ready now"},
       {"added", kNumber, "those that are ready and were not"},
       {"removed", kNumber, "those that are gone"},
       {"draining", kNumber, "those that began to drain"},
       {"restarted", kNumber, "those that stayed ready, but were started anew or moved"}}}},
    {"list_failed",
     LogLevel::kWarning,
     "discovery: {calls} calls in a row failed, the last one: {why}",
     "Calls to discovery fail; the last list stays in force. Told at the first, then every 10 s at most.",
     {{{"calls", kNumber, "how many failed in a row"}, {"why", kText, "how the last one did"}}}},
    {"list_back",
     LogLevel::kInfo,
     "discovery: answers again, after {calls} failed calls in {after_ms} ms",
     "The first list after a `list_failed`.",
     {{{"calls", kNumber, "how many failed in a row"}, {"after_ms", kNumber, "since the first of them"}}}},
    {"capture_disk_error",
     LogLevel::kError,
     "capture: {file}: {why}; told once a trouble, then counted",
     "The capture can't write its file. It tries again every second, and counts further errors as "
     "`capture_errors`.",
     {{{"file", kText, "the file's path"}, {"why", kText, "the system's word"}}}},
    {"capture_busy",
     LogLevel::kWarning,
     "capture: still writing what was asked for before",
     "SIGUSR1 came while the capture was still being written out; the earlier one goes on.",
     {}},
    {"log_dropped",
     LogLevel::kWarning,
     "{lines} lines of this log were dropped: nobody read them in time",
     "Standard error had no room for so long that lines were lost. Told once there is room again; "
     "the counter `log_dropped` has the sum since the start.",
     {{{"lines", kNumber, "how many, since this was told last"}}}},
    {"descriptors_tight",
     LogLevel::kWarning,
     "descriptors run short: {open} links are open, of {most}",
     "Three quarters of what links may use are in use: idle links are closed early, and clients asked to "
     "close theirs.",
     {{{"open", kNumber, "links open, to clients and to servers"}, {"most", kNumber, "how many may be"}}}},
    {"descriptors_enough",
     LogLevel::kInfo,
     "descriptors suffice again: {open} links are open, of {most}",
     "Less than half are in use, after a `descriptors_tight`.",
     {{{"open", kNumber, "links open, to clients and to servers"}, {"most", kNumber, "how many may be"}}}},
    {"cluster_serving",
     LogLevel::kInfo,
     "cluster {site}: this member is reached at {address}",
     "With `--cluster`: its address is bound, and others are looked for.",
     {{{"site", kText, "the site's name"}, {"address", kText, "where others reach it"}}}},
    {"cluster_unavailable",
     LogLevel::kWarning,
     "cluster: {address} can't be bound: {why}; it is tried again",
     "The process before may still hold it, as in an upgrade. Service goes on; others don't see this member "
     "yet.",
     {{{"address", kText, "as the settings name it"}, {"why", kText, "the system's word"}}}},
    {"cluster_socket_unavailable",
     LogLevel::kWarning,
     "cluster: nobody can ask at {path}: {why}",
     "`burlfall cluster` finds no socket; the member does its work all the same.",
     {{{"path", kText, "the socket's path"}, {"why", kText, "the system's word"}}}},
    {"cluster_standing",
     LogLevel::kWarning,
     "cluster: this member stands: {standing}; it holds {others} others alive",
     "`alone`: it has heard of nobody. `in`: others answer it. `cut off`: nobody does, or they say that they "
     "hold it "
     "dead; its view is what it last knew, and it accuses nobody. `double`: another process goes by its "
     "name, and it "
     "is silent. `left`: it ends.",
     {{{"standing", kText, "where it stands"}, {"others", kNumber, "alive or suspect"}}}},
    {"cluster_accused",
     LogLevel::kWarning,
     "cluster: accused by {by}; it says that it lives, incarnation {incarnation}",
     "Others found no way to this member. Now and then it is their trouble; again and again it is this "
     "one's.",
     {{{"by", kText, "one of those that accused it"},
       {"incarnation", kNumber, "how often it has had to say so"}}}},
    {"cluster_paused",
     LogLevel::kWarning,
     "cluster: this process stood still for {ms} ms; it accuses nobody for silence in that time",
     "Its timers came so late: it was stopped, or had no core.",
     {{{"ms", kNumber, "milliseconds"}}}},
    {"cluster_dropped",
     LogLevel::kWarning,
     "cluster: something was dropped: {why}, from {from}",
     "The first of each kind; `burlfall cluster members --json` counts them.",
     {{{"why", kText, "what was wrong with it"}, {"from", kText, "who sent it, as far as that is known"}}}},
    {"cluster_list_behind",
     LogLevel::kWarning,
     "cluster: others have list {newest}, this balancer has {has}: discovery is asked anew",
     "For 3 s it has been without what another member has: its watch may be lost, or it has asked a service "
     "that is "
     "behind.",
     {{{"has", kNumber, "the version of its list"}, {"newest", kNumber, "the latest that a member has"}}}},
    {"member_joined",
     LogLevel::kInfo,
     "cluster: {who} is there[, {how}]; {alive} alive",
     "A new member, or one in a new life.",
     {{{"who", kText, "its name"},
       {"how", kText, "who told of it; `again`, or `from` the address of its life before"},
       {"start", kNumber, "the number of its life"},
       {"alive", kNumber, "members alive or suspect, this one among them"}}}},
    {"member_suspected",
     LogLevel::kInfo,
     "cluster: no way to {who}, says {by}",
     "It is held dead unless it says in time that it lives.",
     {{{"who", kText, "its name"}, {"by", kText, "who found no way first"}}}},
    {"member_cleared",
     LogLevel::kInfo,
     "cluster: {who} says that it lives",
     "The end of a suspicion.",
     {{{"who", kText, "its name"}, {"incarnation", kNumber, "how often it has had to say so"}}}},
    {"member_died",
     LogLevel::kWarning,
     "cluster: {who} is held dead; no way to it by {by}; {alive} alive",
     "It did not say in time that it lives. It is called now and then.",
     {{{"who", kText, "its name"},
       {"by", kText, "those that found no way"},
       {"alive", kNumber, "members alive or suspect, this one among them"}}}},
    {"member_returned",
     LogLevel::kInfo,
     "cluster: {who} is back; {alive} alive",
     "It was held dead, and lives, in the same life.",
     {{{"who", kText, "its name"}, {"alive", kNumber, "members alive or suspect, this one among them"}}}},
    {"member_left",
     LogLevel::kInfo,
     "cluster: {who} has left; {alive} alive",
     "In order: nobody looks for it.",
     {{{"who", kText, "its name"}, {"alive", kNumber, "members alive or suspect, this one among them"}}}},
};

}  // namespace events

// Its place in the table; the table's size where there is none of the name.
constexpr size_t EventAt(std::span<const LogEvent> table, std::string_view name) {
  size_t at = 0;
  while (at < table.size() && table[at].name != name) ++at;
  return at;
}

constexpr bool Fits(const LogEvent& event, std::span<const LogField::Type> types) {
  const std::span<const LogField> fields = event.fields();
  if (fields.size() != types.size()) return false;
  for (size_t i = 0; i < fields.size(); ++i) {
    if (fields[i].type != types[i]) return false;
  }
  return true;
}

}  // namespace burlfall

#endif  // BURLFALL_OBSERVE_EVENTS_H_
