// The oracle of the soak: checks the records of a run against the rules. Shares no code with the head.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "tests/soak/plan.h"

namespace yewmount::soak {

struct Verdict {
  std::vector<std::string> violations;  // one line each
  std::map<std::string, long> counts;   // asked, served, refused, failed, excused, lost, runs
};

// Checks all records and head logs in the folder.
Verdict check_run(const Plan& plan, const std::string& folder);

}  // namespace yewmount::soak
