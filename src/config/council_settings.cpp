#include "config/council_settings.h"

#include <algorithm>
#include <iterator>
#include <set>

#include "io/address.h"

namespace burlfall {
namespace {

// The tasks that a balancer may ask to own. Other names are refused, because with a misspelt name the
// balancer would never own anything.
constexpr std::string_view kTasks[] = {"freeze", "ejection", "list_call"};

constexpr std::string_view kChanges[] = {"node_out", "node_back", "drain",   "undrain",
                                         "reload",   "upgrade",   "restart", "voters"};
constexpr std::string_view kIncidents[] = {"operator", "zone_down", "no_lists", "ejection_cap", "refusals"};
constexpr std::string_view kReaches[] = {"nowhere", "where_scopes_meet", "everywhere"};

template <size_t n>
bool Contains(const std::string_view (&words)[n], const std::string& word) {
  return std::ranges::find(words, word) != std::end(words);
}

template <size_t n>
std::string OneOf(const std::string_view (&words)[n]) {
  std::string all = "one of";
  for (const std::string_view word : words) all.append(" ").append(word);
  return all;
}

Schema<CouncilForbids> ForbidsSchema() {
  Schema<CouncilForbids> s("a line of what incidents forbid; the first that fits decides");
  s.Key("incident", &CouncilForbids::incident,
        "operator, zone_down, no_lists, ejection_cap or refusals; left out: any")
      .Length(0, 32);
  s.Key("change", &CouncilForbids::change,
        "node_out, node_back, drain, undrain, reload, upgrade, restart or voters; left out: any")
      .Length(0, 32);
  s.Key("reach", &CouncilForbids::reach, "nowhere, where_scopes_meet or everywhere").Length(1, 32);
  return s;
}

Schema<CouncilFreeze> FreezeSchema() {
  Schema<CouncilFreeze> s("changes, and what incidents forbid");
  s.Key("step_lease_s", &CouncilFreeze::step_lease_s, "in which a granted step may begin")
      .Unit("s")
      .Between(0.2, 600);
  s.Key("change_lease_s", &CouncilFreeze::change_lease_s, "without a word of its owner a change is abandoned")
      .Unit("s")
      .Between(0.5, 86400);
  s.Key("most_balancers_of_zone", &CouncilFreeze::most_balancers_of_zone, "with a change under way at once")
      .Between(1, 1000);
  s.Key("most_nodes_of_group", &CouncilFreeze::most_nodes_of_group, "with a change under way at once")
      .Between(1, 1000);
  s.Key("ask_again_s", &CouncilFreeze::ask_again_s, "told to whoever is refused").Unit("s").Between(1, 3600);
  s.Key("emergencies", &CouncilFreeze::emergencies,
        "kinds of change that go on without a majority, by name and reason, and are told afterwards")
      .Length(0, 8);
  s.Tables("forbids", &CouncilFreeze::forbids, ForbidsSchema(),
           "left out: where scopes meet, and upgrades and changes of voters everywhere while a zone is down")
      .Length(0, 64);
  return s;
}

void CheckFreeze(const CouncilFreeze& freeze, Findings& findings) {
  if (freeze.change_lease_s < freeze.step_lease_s)
    findings.Add("freeze.change_lease_s", "step_lease_s at least", std::to_string(freeze.change_lease_s));
  for (size_t i = 0; i < freeze.emergencies.size(); ++i) {
    if (Contains(kChanges, freeze.emergencies[i])) continue;
    findings.Add("freeze.emergencies[" + std::to_string(i) + "]", OneOf(kChanges),
                 Quoted(freeze.emergencies[i]));
  }
  for (size_t i = 0; i < freeze.forbids.size(); ++i) {
    const CouncilForbids& line = freeze.forbids[i];
    const std::string at = "freeze.forbids[" + std::to_string(i) + "].";
    if (!line.incident.empty() && !Contains(kIncidents, line.incident))
      findings.Add(at + "incident", OneOf(kIncidents), Quoted(line.incident));
    if (!line.change.empty() && !Contains(kChanges, line.change))
      findings.Add(at + "change", OneOf(kChanges), Quoted(line.change));
    if (!Contains(kReaches, line.reach)) findings.Add(at + "reach", OneOf(kReaches), Quoted(line.reach));
  }
}

Schema<CouncilVoter> VoterSchema() {
  Schema<CouncilVoter> s("a balancer that votes");
  s.Key("name", &CouncilVoter::name, "as its platform calls it").Required().Length(1, 64);
  s.Key("address", &CouncilVoter::address, "HOST:PORT where others reach its council")
      .Required()
      .Length(1, 64);
  return s;
}

void CheckAddress(Findings& findings, const std::string& key, const std::string& address) {
  if (!ReadAddress(address)) findings.Add(key, "an address and a port, as 10.0.0.4:7950", Quoted(address));
}

void CheckVoters(const CouncilSettings& settings, Findings& findings) {
  const size_t n = settings.voters.size();
  if (n != 3 && n != 5 && n != 7) findings.Add("voters", "3, 5 or 7 of them", std::to_string(n));
  std::set<std::string> names, addresses;
  for (size_t i = 0; i < n; ++i) {
    const std::string at = "voters[" + std::to_string(i) + "].";
    const CouncilVoter& voter = settings.voters[i];
    CheckAddress(findings, at + "address", voter.address);
    if (!names.insert(voter.name).second) findings.Add(at + "name", "a name of its own", Quoted(voter.name));
    if (!addresses.insert(voter.address).second)
      findings.Add(at + "address", "an address of its own", Quoted(voter.address));
  }
}

}  // namespace

Schema<CouncilSettings> CouncilSchema() {
  Schema<CouncilSettings> s("what the balancers of a site decide together, and who votes");
  s.Key("site", &CouncilSettings::site, "members of another site are not listened to")
      .Required()
      .Length(1, 64);
  s.Key("listen", &CouncilSettings::listen,
        "HOST:PORT for connections of other members; nothing else is bound")
      .Required()
      .Length(1, 64);
  s.Key("told", &CouncilSettings::told, "HOST:PORT where others reach it; left out: as `listen`")
      .Length(0, 64);
  s.Key("folder", &CouncilSettings::folder,
        "where a voter's log and everybody's highest epochs are kept, and the socket for `burlfall council`; "
        "it must outlast a restart; $TMPDIR: the process's own folder")
      .Required()
      .Length(1, 4000);
  s.Tables("voters", &CouncilSettings::voters, VoterSchema(), "the same in the files of all members")
      .Required()
      .Length(3, 7);
  s.Key("wants", &CouncilSettings::wants,
        "work that it asks to own: freeze (who opens incidents by what the fleet sees), ejection (who counts "
        "votes), list_call")
      .Length(0, 3);
  s.Key("heartbeat_ms", &CouncilSettings::heartbeat_ms, "from one word of the leader to the next")
      .Unit("ms")
      .Between(20, 10000);
  s.Key("election_ms", &CouncilSettings::election_ms,
        "without a leader's word before a voter asks for votes, drawn anew each time")
      .Unit("ms")
      .Between(100, 60000);
  s.Key("lease_s", &CouncilSettings::lease_s, "an owner without renewal may act so long")
      .Unit("s")
      .Between(0.5, 3600);
  s.Key("drift", &CouncilSettings::drift, "the share by which two machines' clocks may run apart")
      .Between(0.001, 0.5);
  s.Key("ask_ms", &CouncilSettings::ask_ms,
        "for the council's answer, before it counts as without a majority")
      .Unit("ms")
      .Between(100, 60000);
  s.Key("most_log", &CouncilSettings::most_log, "entries that a voter keeps before it writes a snapshot")
      .Between(64, 1000000);
  s.Key("step_ms", &CouncilSettings::step_ms,
        "for laboratories: stands still between an owner's check and its act, where real machines are paused")
      .Unit("ms")
      .Between(0, 60000);
  s.Table("freeze", &CouncilSettings::freeze, FreezeSchema(), "when operators' changes may begin");
  s.Check([](const CouncilSettings& settings, Findings& findings) {
    CheckFreeze(settings.freeze, findings);
    CheckAddress(findings, "listen", settings.listen);
    if (!settings.told.empty()) CheckAddress(findings, "told", settings.told);
    CheckVoters(settings, findings);
    for (size_t i = 0; i < settings.wants.size(); ++i) {
      if (std::ranges::find(kTasks, settings.wants[i]) != std::end(kTasks)) continue;
      findings.Add("wants[" + std::to_string(i) + "]", "freeze, ejection or list_call",
                   Quoted(settings.wants[i]));
    }
    if (settings.election_ms.low < 3 * settings.heartbeat_ms)
      findings.Add("election_ms", "three heartbeats at least", std::to_string(settings.election_ms.low));
  });
  return s;
}

Loaded<CouncilSettings> ParseCouncil(std::string_view file, std::string_view text) {
  static const Schema<CouncilSettings> kSchema = CouncilSchema();
  return kSchema.Parse(file, text);
}

}  // namespace burlfall
