// Checks plans against the definition in docs/operate/plans.md. Works on JSON alone and shares no code with
// the solver, so that a fault of the solver is not repeated here.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace yewmount::judge {

// The figures by which plans are compared, most significant first; smaller is better.
struct PlanFigures {
  long long step = 0;
  long long cost_step = 0;
  long long moved = 0;
  long long cost = 0;
  long long rank = 0;
  auto operator<=>(const PlanFigures&) const = default;
};

// The figures of the best plan, found by enumerating every placement; empty where none meets all conditions.
// Throws std::runtime_error where there are more than `max_placements` placements.
std::optional<PlanFigures> brute_force(const nlohmann::json& problem, double max_placements);

// Describes the first fault of a plan for that problem. Empty where the plan is valid and its stated figures
// are right.
std::string check_plan(const nlohmann::json& problem, const nlohmann::json& plan);

}  // namespace yewmount::judge
