// Formats solver results as JSON for files and as text for operators.
#pragma once
#include <nlohmann/json.hpp>
#include <string>

#include "plans/plan.h"
#include "solver/infeasibility.h"

namespace yewmount::plans {

nlohmann::ordered_json plan_json(const solver::Problem& problem, const solver::Solution& solution,
                                 std::uint64_t number);
std::string plan_table(const solver::Problem& problem, const solver::Solution& solution);
nlohmann::ordered_json explanation_json(const solver::Problem& problem, const solver::Explanation& e);
std::string explanation_text(const solver::Explanation& e);
// Lists the bottlenecks of a plan: the nodes without spare capacity, and the volumes on them.
std::string bottleneck_text(const solver::Problem& problem, const solver::Solution& solution);

struct Difference {
  int moved_volumes = 0;
  int added_volumes = 0;
  int removed_volumes = 0;
  int changed_reserves = 0;
  int changed_weights = 0;
  int added_nodes = 0;  // over all moved volumes
  nlohmann::ordered_json changes = nlohmann::ordered_json::array();
};
Difference difference(const Plan& before, const Plan& after);
std::string difference_text(const Difference& d);

}  // namespace yewmount::plans
