// Holds the rules against what the processes of a soak recorded. Shares no code with the head.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "tests/soak/plan.h"

namespace yewmount::soak {

struct Verdict {
  std::vector<std::string> violations;  // one line each
  std::map<std::string, long> counts;   // asked, served, refused, failed, excused, runs
};

// Reads all records and head logs of the folder.
Verdict judge(const Plan& plan, const std::string& folder);

}  // namespace yewmount::soak
