#include "freeze/scope.h"

namespace burlfall::freeze {
namespace {

// Compares two names of a zone or group; an empty name is not known and matches any.
bool MayBeSame(const std::string& a, const std::string& b) { return a.empty() || b.empty() || a == b; }

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

bool Overlap(const Scope& a, const Scope& b) {
  using Kind = Scope::Kind;
  if (a.kind > b.kind) return Overlap(b, a);
  switch (a.kind) {
    case Kind::kSite:
      return true;
    case Kind::kZone:
      return MayBeSame(a.name, b.kind == Kind::kZone ? b.name : b.zone);
    case Kind::kGroup:
      if (b.kind == Kind::kGroup) return a.name == b.name && MayBeSame(a.zone, b.zone);
      return b.kind == Kind::kNode && MayBeSame(a.name, b.group) && MayBeSame(a.zone, b.zone);
    case Kind::kNode:
    case Kind::kBalancer:
      return a.kind == b.kind && a.name == b.name;
  }
  return true;
}

}  // namespace burlfall::freeze
