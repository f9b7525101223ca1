// Judges plans by the definition in docs/operate/plans.md alone, from files; shares no code with the solver.
#pragma once
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace yewmount::judge {

struct PlanFigures {
  long long step = 0, cost_step = 0, moved = 0, cost = 0, rank = 0;
  auto operator<=>(const PlanFigures&) const = default;
};

// Every placement there is, looked at in turn. Empty: none meets all.
// Throws std::runtime_error where there are more than `most` of them.
std::optional<PlanFigures> brute_force(const nlohmann::json& problem, double most);

// What is wrong with a plan for that problem; empty: it holds, and its figures are as it says.
std::string check_plan(const nlohmann::json& problem, const nlohmann::json& plan);

}  // namespace yewmount::judge
