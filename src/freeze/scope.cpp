#include "freeze/scope.h"

namespace burlfall::freeze {
namespace {

// Two names of a zone or group, either of which may not be known.
bool MayBeOne(const std::string& a, const std::string& b) { return a.empty() || b.empty() || a == b; }

}  // namespace

const char* NameOf(Scope::Kind kind) {
  constexpr const char* kNames[] = {"site", "zone", "group", "node", "balancer"};
  return kNames[static_cast<size_t>(kind)];
}

std::string TextOf(const Scope& scope) {
  std::string text = NameOf(scope.kind);
  if (!scope.name.empty()) text += " " + scope.name;
  return text;
}

bool Meet(const Scope& a, const Scope& b) {
  using Kind = Scope::Kind;
  if (a.kind > b.kind) return Meet(b, a);
  switch (a.kind) {
    case Kind::kSite:
      return true;
    case Kind::kZone:
      return MayBeOne(a.name, b.kind == Kind::kZone ? b.name : b.zone);
    case Kind::kGroup:
      if (b.kind == Kind::kGroup) return a.name == b.name && MayBeOne(a.zone, b.zone);
      return b.kind == Kind::kNode && MayBeOne(a.name, b.group) && MayBeOne(a.zone, b.zone);
    case Kind::kNode:
    case Kind::kBalancer:
      return a.kind == b.kind && a.name == b.name;
  }
  return true;
}

}  // namespace burlfall::freeze
