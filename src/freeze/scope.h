// What a change or an incident applies to. A node carries its zone and host group, a balancer its zone, so
// that two scopes can be compared without further data.
#ifndef BURLFALL_FREEZE_SCOPE_H_
#define BURLFALL_FREEZE_SCOPE_H_

#include <compare>
#include <cstdint>
#include <string>

namespace burlfall::freeze {

struct Scope {
  enum class Kind : uint8_t { kSite, kZone, kGroup, kNode, kBalancer };
  Kind kind = Kind::kSite;
  std::string name;   // empty for the site
  std::string zone;   // of a node, a balancer, or a group within one zone. Empty: not known, or several
  std::string group;  // of a node
  auto operator<=>(const Scope&) const = default;

  static Scope Site() { return {}; }
  static Scope Zone(std::string name) { return {Kind::kZone, std::move(name), "", ""}; }
  static Scope Group(std::string name, std::string zone = "") {
    return {Kind::kGroup, std::move(name), std::move(zone), ""};
  }
  static Scope Node(std::string name, std::string zone, std::string group) {
    return {Kind::kNode, std::move(name), std::move(zone), std::move(group)};
  }
  static Scope Balancer(std::string name, std::string zone) {
    return {Kind::kBalancer, std::move(name), std::move(zone), ""};
  }
};

const char* NameOf(Scope::Kind kind);    // site, zone, group, node, balancer
std::string TextOf(const Scope& scope);  // "zone z1", "node n7", "site"

// Whether two scopes can have a member in common: one contains the other, or they intersect (a group and a
// zone that it may extend into). If a zone or group is not known, they overlap: it is better to refuse a
// change than to let two changes collide.
bool Overlap(const Scope& a, const Scope& b);

}  // namespace burlfall::freeze

#endif  // BURLFALL_FREEZE_SCOPE_H_
