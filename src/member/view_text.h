// A member's view as people and programs read it.
#ifndef BURLFALL_MEMBER_VIEW_TEXT_H_
#define BURLFALL_MEMBER_VIEW_TEXT_H_

#include <string>
#include <vector>

#include "cluster/failure_detector.h"

namespace burlfall {

std::string MembersText(const cluster::Mind& mind, Micros now);
std::string MembersJson(const cluster::Mind& mind, Micros now);
std::string DiffersText(const cluster::Mind& mind, Micros now);
std::string DiffersJson(const cluster::Mind& mind, Micros now);
// `history`: lines that were told of members, the oldest first.
std::string ExplainText(const cluster::Mind& mind, const std::string& name, Micros now,
                        const std::vector<std::string>& history);
std::string ExplainJson(const cluster::Mind& mind, const std::string& name, Micros now,
                        const std::vector<std::string>& history);

}  // namespace burlfall

#endif  // BURLFALL_MEMBER_VIEW_TEXT_H_
