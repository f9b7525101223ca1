// Plays a scripted day with processes: list, catalogue, nodes, heads, clients, and what goes wrong with them.
#pragma once
#include <string>

namespace yewmount::days {

// Leaves DIR/day.json and DIR/record/ for the judge, and logs beside them. Throws std::runtime_error (or
// settings::SettingsError) with one line where the day can't be played. binaries: the folder of the programs;
// head_program: another yewmountd than the one there.
void play(const std::string& day_file, const std::string& folder, const std::string& binaries,
          const std::string& head_program = {});

}  // namespace yewmount::days
