// Large problems: solutions are feasible, the time limit is kept, and replanning moves few volumes.
#include <gtest/gtest.h>

#include "base/base.h"
#include "judge/plan.h"
#include "plans/report.h"
#include "solver/infeasibility.h"
#include "tests/solver/cases.h"

namespace yewmount::tests {
namespace {

solver::SolveOptions with_time_limit(std::int64_t limit_us) {
  solver::SolveOptions options;
  options.deadline.now = monotonic_now;
  options.deadline.end_us = monotonic_now() + limit_us;
  return options;
}

TEST(LargeProblem, SolutionIsFeasibleAndNoWorseThanBaselines) {
  for (unsigned seed = 1; seed <= 6; ++seed) {
    const json given = large_case(seed, {50 + 20 * static_cast<int>(seed), 16, 4});
    const solver::Problem p = problem_of(given);
    const solver::Solution solution = solver::solve(p, {});
    ASSERT_TRUE(solution.is_feasible) << seed;
    EXPECT_TRUE(solution.finished_in_time);
    ASSERT_EQ(judge::check_plan(given, plans::plan_json(p, solution, 1)), "") << seed;
    ASSERT_GE(solution.level_bound, solution.level);
    EXPECT_LT(solution.level_gap(), 0.1);
    // The search must not be worse than the baselines.
    for (const auto& baseline : {solver::greedy_placement(p), solver::weighted_random_placement(p)}) {
      const solver::Solution other = solver::evaluate(p, baseline);
      if (other.is_feasible) {
        EXPECT_LE(solution.objective.level_step, other.objective.level_step) << seed;
      }
    }
  }
}

TEST(LargeProblem, ReturnsTheBestSolutionWithinTheTimeLimit) {
  const solver::Problem p = problem_of(large_case(3, {1500, 45, 3, 0.99}));
  for (const std::int64_t limit_us : {0, 50'000, 300'000}) {
    const std::int64_t started_us = monotonic_now();
    const solver::Solution solution = solver::solve(p, with_time_limit(limit_us));
    // The margin allows for other load on the machine; without the limit the run takes several times as long.
    EXPECT_LT(monotonic_now() - started_us, limit_us + 5'000'000);
    EXPECT_EQ(solution.placement.size(), p.volumes.size());
    if (limit_us == 0) {
      EXPECT_FALSE(solution.finished_in_time);
    }
    if (solution.is_feasible) {
      EXPECT_TRUE(solver::is_feasible(p, solution.placement, 0));
    }
  }
}

TEST(LargeProblem, SameSeedGivesTheSamePlan) {
  const solver::Problem p = problem_of(large_case(4, {120, 16, 4}));
  EXPECT_EQ(plans::plan_json(p, solver::solve(p, {}), 1), plans::plan_json(p, solver::solve(p, {}), 1));
}

TEST(LargeProblem, LosingANodeMovesFewOtherVolumes) {
  json given = large_case(7, {200, 16, 4, 0.7});
  solver::Problem p = problem_of(given);
  const solver::Solution before = solver::solve(p, {});
  ASSERT_TRUE(before.is_feasible);
  const plans::Plan plan = plans::parse_plan(plans::plan_json(p, before, 1).dump(), "plan");
  given["nodes"].erase(3);
  solver::Problem q = problem_of(given);
  plans::apply_current_plan(q, plan);
  const solver::Solution after = solver::solve(q, {});
  ASSERT_TRUE(after.is_feasible);
  EXPECT_GT(after.min_move_cost, 0);
  EXPECT_LE(after.objective.move_cost, 2 * after.min_move_cost);
  // Solving the same problem again moves nothing.
  const plans::Plan next = plans::parse_plan(plans::plan_json(q, after, 2).dump(), "plan");
  solver::Problem same = problem_of(given);
  plans::apply_current_plan(same, next);
  EXPECT_EQ(solver::solve(same, {}).objective.move_cost, 0);
}

TEST(LargeProblem, SmallDemandChangeMovesFewVolumes) {
  json given = large_case(8, {200, 16, 4, 0.8});
  const solver::Problem p = problem_of(given);
  const plans::Plan plan = plans::parse_plan(plans::plan_json(p, solver::solve(p, {}), 1).dump(), "plan");
  given["volumes"][17]["demand"] = given["volumes"][17]["demand"].get<double>() + 5;
  solver::Problem q = problem_of(given);
  plans::apply_current_plan(q, plan);
  const solver::Solution solution = solver::solve(q, {});
  ASSERT_TRUE(solution.is_feasible);
  EXPECT_LE(solution.objective.move_cost, 20);
}

TEST(LargeProblem, ExplainsExcessiveTotalReserve) {
  json given = large_case(9, {300, 16, 4});
  for (json& v : given["volumes"]) v["reserve"] = v["demand"].get<double>() * 1.3;
  for (json& v : given["volumes"]) v["reserve"] = std::round(v["reserve"].get<double>() * 1000) / 1000;
  const solver::Problem p = problem_of(given);
  const solver::Explanation e = solver::explain(p, with_time_limit(60'000'000));
  ASSERT_TRUE(e.is_proven);
  ASSERT_EQ(e.subsets.size(), 1u);
  EXPECT_NE(e.subsets[0].text.find("units short"), std::string::npos) << e.subsets[0].text;
  ASSERT_FALSE(e.subsets[0].relaxations.empty());
  EXPECT_EQ(solver::check_feasible(solver::apply_relaxation(p, e.subsets[0].relaxations[0]), {}, true), true);
}

}  // namespace
}  // namespace yewmount::tests
