// Runs a scenario (a day file) end to end with processes: list service, catalogue, storage nodes, heads and
// clients, and the scripted faults.
#pragma once
#include <string>

namespace yewmount::days {

// Runs the scenario and writes its copy, the records for the judge and the logs to `directory` (day.json,
// record/, log/). binaries: directory of the programs; head_program: path of another yewmountd to run
// instead. Throws std::runtime_error or settings::Bad with a one-line message if the scenario can't be run.
void run_scenario(const std::string& day_file, const std::string& directory, const std::string& binaries,
                  const std::string& head_program = {});

}  // namespace yewmount::days
