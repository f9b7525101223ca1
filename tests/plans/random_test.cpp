// Seeded random tests: mutated files are parsed completely or rejected with a one-line error, and plans that
// are recomputed after random cluster changes pass a checker that shares no code with the solver.
#include <gtest/gtest.h>

#include "judge/plan.h"
#include "plans/report.h"
#include "settings/json_schema.h"
#include "solver/infeasibility.h"
#include "tests/solver/cases.h"

namespace yewmount::tests {
namespace {

// Replaces or removes a random value.
void mutate(json& at, RandomSource& random, int depth = 0) {
  if ((at.is_object() || at.is_array()) && !at.empty() && (depth == 0 || !random.one_in(4))) {
    const int which = random.between(0, static_cast<int>(at.size()) - 1);
    auto it = at.begin();
    std::advance(it, which);
    if (random.one_in(12)) {
      at.erase(it);
      return;
    }
    return mutate(*it, random, depth + 1);
  }
  static const json values[] = {nullptr, -1,   0,    1e300, 0.0005,        "",
                                "n0",    "z9", true, 3,     100,           "node",
                                "v1",    0.1,  1e9,  -0.0,  json::array(), json::object()};
  at = values[random.between(0, 17)];
}

TEST(MutatedFile, ProblemIsSolvedOrRejectedWithOneLine) {
  int rejected = 0;
  int solved = 0;
  for (unsigned seed = 0; seed < 3000; ++seed) {
    RandomSource random{std::ranlux24_base(seed)};
    json given = small_case(seed % 500);
    for (int n = random.between(1, 3); n > 0; --n) mutate(given, random);
    solver::Problem p;
    try {
      p = problem_of(given);
    } catch (const settings::SettingsError& e) {
      ++rejected;
      const std::string error = e.what();
      ASSERT_TRUE(error.starts_with("case: ") && error.find('\n') == std::string::npos) << error;
      continue;
    }
    const solver::Solution solution = solver::solve(p, {});
    ASSERT_TRUE(solution.is_proven) << seed << ' ' << given.dump();
    if (!solution.is_feasible) {
      ASSERT_TRUE(solver::explain(p, {}).is_proven) << seed;
      continue;
    }
    ++solved;
    ASSERT_EQ(judge::check_plan(plans::problem_json(p), plans::plan_json(p, solution, 1)), "")
        << seed << ' ' << given.dump();
  }
  EXPECT_GT(rejected, 500);
  EXPECT_GT(solved, 40);
}

TEST(MutatedFile, TruncatedTextIsRejected) {
  const std::string whole = small_case(3).dump();
  const std::string plan = plans::serialize_plan({7, {{"a", {"n1", "n2"}, 1.5, 2}, {"b", {"n1"}, 0, 0.001}}});
  for (std::size_t cut = 0; cut < whole.size(); ++cut)
    ASSERT_THROW(plans::parse_problem(whole.substr(0, cut), "p"), settings::SettingsError) << cut;
  for (std::size_t cut = 0; cut + 2 < plan.size(); ++cut)
    ASSERT_THROW(plans::parse_plan(plan.substr(0, cut), "p"), settings::SettingsError) << cut;
}

struct Replanning : ::testing::TestWithParam<unsigned> {};

TEST_P(Replanning, EveryPlanIsFeasibleAndAvoidsMoves) {
  RandomSource random{std::ranlux24_base(GetParam() * 7919)};
  json cluster = large_case(GetParam(), {40, 9, 3, 0.6, "zone"});
  plans::Plan last;
  int plans_made = 0;
  int infeasible = 0;
  int next_name = 0;
  for (int step = 0; step < 20; ++step) {
    const int event = random.between(step == 0 ? 5 : 0, 5);  // 5: nothing changes
    auto& nodes = cluster["nodes"];
    auto& volumes = cluster["volumes"];
    const auto any = [&](json& list) -> json& {
      return list[static_cast<std::size_t>(random.between(0, static_cast<int>(list.size()) - 1))];
    };
    if (event == 0 && nodes.size() > 4) nodes.erase(static_cast<std::size_t>(random.between(0, 3)));
    if (event == 1)
      nodes.push_back({{"name", "x" + std::to_string(next_name++)},
                       {"zone", "z" + std::to_string(random.between(0, 2))},
                       {"capacity", 1000},
                       {"cost", 2}});
    if (event == 2) any(nodes)["capacity"] = random.between(300, 1500);
    if (event == 3) any(volumes)["demand"] = random.between(1, 300);
    if (event == 4) {
      json more = any(volumes);
      more["name"] = "w" + std::to_string(next_name++);
      volumes.push_back(more);
    }
    solver::Problem p = problem_of(cluster);
    if (last.number > 0) plans::apply_current_plan(p, last);
    const solver::Solution solution = solver::solve(p, {});
    if (!solution.is_feasible) {
      ++infeasible;
      continue;
    }
    ++plans_made;
    const json plan = plans::plan_json(p, solution, last.number + 1);
    ASSERT_EQ(judge::check_plan(plans::problem_json(p), plan), "") << step;
    ASSERT_GE(solution.objective.move_cost, solution.min_move_cost);
    // Volumes move only if the unmoved placement is infeasible or has a worse level or cost step.
    solver::Placement unmoved_placement;
    for (const auto& v : p.volumes) {
      unmoved_placement.emplace_back();
      for (int n : v.current_nodes) unmoved_placement.back().add(n);
    }
    const int unmoved_step =
        last.number > 0 ? solver::best_step(p, unmoved_placement, solver::level_grid(p)) : -1;
    if (unmoved_step >= 0 && solution.objective.move_cost > 0) {
      const solver::Objective unmoved = solver::objective_of(p, unmoved_placement, unmoved_step);
      ASSERT_TRUE(std::pair(solution.objective.level_step, solution.objective.cost_step) <
                  std::pair(unmoved.level_step, unmoved.cost_step))
          << step;
    }
    const plans::Plan next = plans::parse_plan(plan.dump(), "plan");
    plans::CurrentPlan current_plan;
    current_plan.restore(last);
    ASSERT_EQ(current_plan.offer(next, [](const std::string&) { return true; }).decision,
              plans::CurrentPlan::Decision::accepted);
    last = next;
  }
  EXPECT_GT(plans_made, 10) << infeasible;
}

INSTANTIATE_TEST_SUITE_P(Seeds, Replanning, ::testing::Range(1u, 7u));

}  // namespace
}  // namespace yewmount::tests
