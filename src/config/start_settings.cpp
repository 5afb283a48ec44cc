#include "config/start_settings.h"

namespace burlfall {
namespace {

Schema<ListServiceSettings> ListServiceSchema() {
  Schema<ListServiceSettings> s("the service that hands out the list of nodes");
  s.Key("paced", &ListServiceSettings::paced,
        "calls to it are spread over all balancers' starts and changes");
  s.Key("calls_per_s", &ListServiceSettings::calls_per_s, "that it can handle, of all balancers together")
      .Unit("per_s")
      .Between(0.1, 1e6);
  return s;
}

Schema<SavedListSettings> SavedListSchema() {
  Schema<SavedListSettings> s("the last list, kept on disk for the next start");
  s.Key("folder", &SavedListSettings::folder,
        "where it is kept, or $TMPDIR for the process's own; several balancers may share it; left out: "
        "nowhere")
      .Length(0, 4000);
  s.Key("site", &SavedListSettings::site,
        "the name of the site; a list of another one is refused; left out: told by zones, kinds and classes")
      .Length(0, 200);
  s.Key("write_every_s", &SavedListSettings::write_every_s, "at most so often, where it has changed")
      .Unit("s")
      .Between(0.5, 86400);
  s.Key("oldest_s", &SavedListSettings::oldest_s, "an older one is refused").Unit("s").Between(1, 31536000);
  return s;
}

}  // namespace

Schema<StartSettings> StartSchema() {
  Schema<StartSettings> s("how a balancer that starts spares the list service and the nodes");
  s.Key("balancers", &StartSettings::balancers,
        "that share the list service and the nodes; 0: as many as the platform's settings say")
      .Between(0, 1000000);
  s.Table("list_service", &StartSettings::list_service, ListServiceSchema(), "calls for the list");
  s.Table("saved_list", &StartSettings::saved_list, SavedListSchema(), "the list from start to start");
  return s;
}

std::string WriteStart(const StartSettings& settings) {
  static const Schema<StartSettings> kSchema = StartSchema();
  StartSettings copy = settings;
  std::string out, tables;
  for (const KeySpec& key : kSchema.Spec().keys) {
    if (key.type != KeySpec::Type::kTable) {
      out.append(key.name).append(" = ").append(ShowToml(key.get(&copy))).append("\n");
      continue;
    }
    tables.append("\n[").append(key.name).append("]\n");
    const void* table = key.at(&copy, 0);
    for (const KeySpec& inner : key.table->keys) {
      tables.append(inner.name).append(" = ").append(ShowToml(inner.get(table))).append("\n");
    }
  }
  return out + tables;
}

Loaded<StartSettings> ParseStart(std::string_view file, std::string_view text) {
  static const Schema<StartSettings> kSchema = StartSchema();
  return kSchema.Parse(file, text);
}

}  // namespace burlfall
