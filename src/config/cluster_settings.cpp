#include "config/cluster_settings.h"

#include "io/address.h"

namespace burlfall {

Schema<ClusterSettings> ClusterSchema() {
  Schema<ClusterSettings> s("how a balancer knows the others of its site");
  s.Key("site", &ClusterSettings::site, "members of another site are not listened to")
      .Required()
      .Length(1, 64);
  s.Key("listen", &ClusterSettings::listen,
        "HOST:PORT for datagrams and connections of other members; nothing else is bound")
      .Required()
      .Length(1, 64);
  s.Key("told", &ClusterSettings::told, "HOST:PORT where others reach it; left out: as `listen`")
      .Length(0, 64);
  s.Key("zone", &ClusterSettings::zone, "the zone that it stands in").Length(0, 64);
  s.Key("seeds", &ClusterSettings::seeds,
        "HOST:PORT of members that are asked first; some of them are enough, and it may be among them")
      .Length(0, 64);
  s.Key("folder", &ClusterSettings::folder,
        "where the socket for `burlfall cluster` is; $TMPDIR: the process's own folder; left out: nowhere")
      .Length(0, 4000);
  s.Key("most_members", &ClusterSettings::most_members, "that are kept, the dead among them")
      .Between(2, 4000);
  s.Key("period_ms", &ClusterSettings::period_ms, "from one probe to the next")
      .Unit("ms")
      .Between(100, 60000);
  s.Key("wait_s", &ClusterSettings::wait_s,
        "for an accused's own word before it is held dead: with accusers enough, and with one alone")
      .Unit("s")
      .Between(0.5, 600);
  s.Key("remember_s", &ClusterSettings::remember_s, "the dead are called for so long")
      .Unit("s")
      .Between(60, 31536000);
  s.Check([](const ClusterSettings& settings, Findings& findings) {
    auto check = [&findings](const std::string& key, const std::string& address) {
      if (!ReadAddress(address))
        findings.Add(key, "an address and a port, as 10.0.0.4:7946", Quoted(address));
    };
    check("listen", settings.listen);
    if (!settings.told.empty()) check("told", settings.told);
    for (size_t i = 0; i < settings.seeds.size(); ++i) {
      std::string key("seeds[");
      check(key.append(std::to_string(i)).append("]"), settings.seeds[i]);
    }
  });
  return s;
}

Loaded<ClusterSettings> ParseCluster(std::string_view file, std::string_view text) {
  static const Schema<ClusterSettings> kSchema = ClusterSchema();
  return kSchema.Parse(file, text);
}

}  // namespace burlfall
