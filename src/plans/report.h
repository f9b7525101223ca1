// What the solver found, for files and for people.
#pragma once
#include <nlohmann/json.hpp>
#include <string>

#include "plans/plan.h"
#include "solver/clash.h"

namespace yewmount::plans {

nlohmann::ordered_json plan_json(const solver::Problem& p, const solver::Answer& a, std::uint64_t number);
std::string plan_table(const solver::Problem& p, const solver::Answer& a);
nlohmann::ordered_json explanation_json(const solver::Problem& p, const solver::Explanation& e);
std::string explanation_text(const solver::Explanation& e);
// What holds the plan back: the nodes that are full, and the volumes on them.
std::string tight_text(const solver::Problem& p, const solver::Answer& a);

struct Difference {
  int moved = 0, appeared = 0, gone = 0, reserves = 0, weights = 0;
  int nodes_anew = 0;  // that volumes come to
  nlohmann::ordered_json lines = nlohmann::ordered_json::array();
};
Difference difference(const Plan& before, const Plan& after);
std::string difference_text(const Difference& d);

}  // namespace yewmount::plans
