// The TOML file of an experiment: its schema, and the checks that concern several keys.
#ifndef BURLFALL_LAB_SCRIPT_EXPERIMENT_FILE_H_
#define BURLFALL_LAB_SCRIPT_EXPERIMENT_FILE_H_

#include <string_view>

#include "config/schema.h"
#include "lab/script/experiment.h"

namespace burlfall::lab {

// Upper limits for every run, so that a typing error in a file does not exhaust the machine.
constexpr int kMaxBalancers = 1000;
constexpr int kMaxNodes = 5000;
constexpr int kMaxFaults = 200;

Schema<Experiment> ExperimentSchema();

// Parses and checks the text of a file. The experiment gets the file's base name without its extension; error
// messages name `file`.
Loaded<Experiment> ParseExperiment(std::string_view file, std::string_view text);

// The load divided by the capacity of all nodes, at the base rate and with the middle of each range.
double Utilisation(const Experiment& experiment);

}  // namespace burlfall::lab

#endif  // BURLFALL_LAB_SCRIPT_EXPERIMENT_FILE_H_
