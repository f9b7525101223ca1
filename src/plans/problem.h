// Reads the solver's input from files (schema/problem.json, schema/members.json) and from an earlier plan.
#pragma once
#include <nlohmann/json.hpp>
#include <string>

#include "plans/plan.h"
#include "solver/model.h"

namespace yewmount::plans {

// These functions throw settings::Bad with one line that names the location and the reason.
solver::Problem load_problem(const std::string& path);
solver::Problem parse_problem(const std::string& text, const std::string& path);

// Applies a membership file. Removes nodes that are not listed or are listed as gone or draining, reduces
// the capacity of slow nodes, adds new nodes, and updates the volumes' current nodes.
void apply_membership(solver::Problem& problem, const std::string& path);
// Takes the volumes' current nodes from an earlier plan. Nodes that no longer exist count as lost.
void apply_current_plan(solver::Problem& problem, const Plan& plan);

// Serializes a problem so that it can be read back; current nodes that no longer exist are omitted.
nlohmann::json problem_json(const solver::Problem& problem);

double in_units(solver::Amount amount);

}  // namespace yewmount::plans
