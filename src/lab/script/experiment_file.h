// The TOML file that an experiment is written in: its keys, and the checks across them.
#ifndef BURLFALL_LAB_SCRIPT_EXPERIMENT_FILE_H_
#define BURLFALL_LAB_SCRIPT_EXPERIMENT_FILE_H_

#include <string_view>

#include "config/schema.h"
#include "lab/script/experiment.h"

namespace burlfall::lab {

// What no run may go beyond, lest a slip of the pen take the machine down.
constexpr int kMostBalancers = 1000;
constexpr int kMostNodes = 5000;
constexpr int kMostFaults = 200;

Schema<Experiment> ExperimentSchema();

// `file` names the experiment, by what stands before its ending, and is blamed in errors.
Loaded<Experiment> ParseExperiment(std::string_view file, std::string_view text);

// The load, at its usual rate and by the middles of the ranges, over what all nodes together can do.
double Utilisation(const Experiment& experiment);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_SCRIPT_EXPERIMENT_FILE_H_
