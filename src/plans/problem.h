// What the solver is given, from files (schema/problem.json, schema/members.json) and an earlier plan.
#pragma once
#include <nlohmann/json.hpp>
#include <string>

#include "plans/plan.h"
#include "solver/model.h"

namespace yewmount::plans {

// All throw settings::SettingsError, one line with place and reason.
solver::Problem load_problem(const std::string& path);
solver::Problem read_problem(const std::string& text, const std::string& path);

// Nodes that the list does not name, or as gone or draining, are taken out; slow ones bear a part; new ones
// come in. Volumes' present nodes follow.
void take_members(solver::Problem& p, const std::string& path);
// Where volumes lie now, by an earlier plan. Nodes that are no longer there count as lost.
void take_present(solver::Problem& p, const Plan& plan);

// As a file that would be read as this problem; present nodes that are gone are no longer told.
nlohmann::json problem_json(const solver::Problem& p);

double in_units(solver::Amount amount);

}  // namespace yewmount::plans
