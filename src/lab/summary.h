// A result in words, for a terminal.
#ifndef BURLFALL_LAB_SUMMARY_H_
#define BURLFALL_LAB_SUMMARY_H_

#include <string>

#include "lab/judge/result.h"
#include "lab/script/experiment.h"

namespace burlfall::lab {

// What was served, and whether each rule held.
std::string Summary(const Verdict& verdict, const Goals& goals);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_SUMMARY_H_
