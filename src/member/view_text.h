// The view of a cluster member as text and as JSON, for `burlfall cluster`.
#ifndef BURLFALL_MEMBER_VIEW_TEXT_H_
#define BURLFALL_MEMBER_VIEW_TEXT_H_

#include <string>
#include <vector>

#include "cluster/failure_detector.h"

namespace burlfall {

std::string MembersText(const cluster::FailureDetector& detector, Micros now);
std::string MembersJson(const cluster::FailureDetector& detector, Micros now);
std::string DifferencesText(const cluster::FailureDetector& detector, Micros now);
std::string DifferencesJson(const cluster::FailureDetector& detector, Micros now);
// `history`: lines about earlier changes of members, the oldest first.
std::string ExplainText(const cluster::FailureDetector& detector, const std::string& name, Micros now,
                        const std::vector<std::string>& history);
std::string ExplainJson(const cluster::FailureDetector& detector, const std::string& name, Micros now,
                        const std::vector<std::string>& history);

}  // namespace burlfall

#endif  // BURLFALL_MEMBER_VIEW_TEXT_H_
