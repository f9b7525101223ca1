// Compares the solver with an exhaustive search on small problems, and checks that the input order has no
// effect.
#include <gtest/gtest.h>

#include <algorithm>

#include "judge/plan.h"
#include "plans/report.h"
#include "solver/infeasibility.h"
#include "tests/solver/cases.h"

namespace yewmount::tests {
namespace {

constexpr unsigned kCases = 6400;
constexpr unsigned kShards = 8;

struct SmallProblem : ::testing::TestWithParam<unsigned> {};

TEST_P(SmallProblem, MatchesBruteForce) {
  int feasible = 0;
  int infeasible = 0;
  int ties = 0;
  for (unsigned seed = GetParam(); seed < kCases; seed += kShards) {
    const json given = small_case(seed);
    const solver::Problem p = problem_of(given);
    const auto best = judge::brute_force(given, 1e7);
    const solver::Solution solution = solver::solve(p, {});
    ASSERT_TRUE(solution.is_proven) << seed << ' ' << given.dump();
    ASSERT_EQ(solution.is_feasible, best.has_value()) << seed << ' ' << given.dump();
    if (!best) {
      ++infeasible;
      continue;
    }
    ++feasible;
    ties += best->cost == 0;
    const judge::PlanFigures reported{solution.objective.level_step, solution.objective.cost_step,
                                      solution.objective.move_cost, solution.objective.cost,
                                      solution.objective.rank};
    ASSERT_TRUE(reported == *best) << seed << " step " << reported.step << '/' << best->step << " cost "
                                   << reported.cost << '/' << best->cost << " moved " << reported.moved << '/'
                                   << best->moved << " rank " << reported.rank << '/' << best->rank << ' '
                                   << given.dump();
    ASSERT_GE(solution.level_bound, solution.level) << seed;
    ASSERT_GE(solution.objective.cost, solution.cost_bound) << seed;
    ASSERT_EQ(judge::check_plan(given, plans::plan_json(p, solution, 1)), "") << seed << ' ' << given.dump();
  }
  // The generated cases must cover feasible, infeasible and tied problems.
  EXPECT_GT(feasible, 100);
  EXPECT_GT(infeasible, 30);
  EXPECT_GT(ties, 20);
}

TEST_P(SmallProblem, InfeasibleSubsetsAreMinimal) {
  int infeasible = 0;
  for (unsigned seed = GetParam(); seed < kCases; seed += 2 * kShards) {
    const json given = small_case(seed);
    const solver::Problem p = problem_of(given);
    const auto best = judge::brute_force(given, 1e7);
    const solver::Explanation e = solver::explain(p, {});
    ASSERT_EQ(e.is_feasible, best.has_value()) << seed;
    if (best) continue;
    ++infeasible;
    ASSERT_TRUE(e.is_proven);
    ASSERT_FALSE(e.subsets.empty()) << seed << ' ' << given.dump();
    for (const solver::InfeasibleSubset& subset : e.subsets) {
      ASSERT_TRUE(subset.is_minimal) << seed;
      ASSERT_EQ(solver::check_feasible(solver::keep_only(p, subset.constraints), {}, false), false) << seed;
      for (std::size_t i = 0; i < subset.constraints.size(); ++i) {
        auto fewer = subset.constraints;
        fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(i));
        ASSERT_EQ(solver::check_feasible(solver::keep_only(p, fewer), {}, false), true)
            << seed << ' ' << subset.text;
      }
      EXPECT_FALSE(subset.text.empty());
    }
    if (e.subsets.size() > 1) continue;
    // By brute force, each relaxation is sufficient, and one that is smaller by one step is not.
    for (const solver::Relaxation& r : e.subsets[0].relaxations) {
      ASSERT_TRUE(judge::brute_force(plans::problem_json(solver::apply_relaxation(p, r)), 1e7))
          << seed << r.text;
      solver::Relaxation tighter = r;
      using Kind = solver::Relaxation::Kind;
      if (r.kind == Kind::anti_affinity) continue;
      tighter.to += r.kind == Kind::capacities ? -1 : 1;
      if (r.kind == Kind::min_zones || r.kind == Kind::node_count) {
        const auto& v = p.volumes[r.index];
        if (tighter.to == (r.kind == Kind::min_zones ? v.min_zones : v.node_count)) continue;
      }
      ASSERT_FALSE(judge::brute_force(plans::problem_json(solver::apply_relaxation(p, tighter)), 1e7))
          << seed << ' ' << r.text;
    }
  }
  EXPECT_GT(infeasible, 10);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SmallProblem, ::testing::Range(0u, kShards));

json shuffled(json given, unsigned seed) {
  std::ranlux24_base random(seed);
  for (const char* key : {"zones", "nodes", "volumes"})
    std::shuffle(given[key].begin(), given[key].end(), random);
  if (given.contains("apart"))
    for (json& set : given["apart"]) std::reverse(set.begin(), set.end());
  return given;
}

TEST(InputOrder, DoesNotAffectThePlan) {
  for (unsigned seed = 0; seed < 150; ++seed) {
    const json given = small_case(seed);
    const solver::Problem p = problem_of(given), q = problem_of(shuffled(given, seed + 1));
    const solver::Solution a = solver::solve(p, {}), b = solver::solve(q, {});
    ASSERT_EQ(a.is_feasible, b.is_feasible);
    if (a.is_feasible) {
      ASSERT_EQ(plans::plan_json(p, a, 1), plans::plan_json(q, b, 1)) << seed;
    }
  }
  const json given = large_case(5, {60, 12, 3});
  const solver::Problem p = problem_of(given), q = problem_of(shuffled(given, 9));
  ASSERT_EQ(plans::plan_json(p, solver::solve(p, {}), 1), plans::plan_json(q, solver::solve(q, {}), 1));
}

TEST(FlowBound, NeverRejectsAFeasibleLevel) {
  for (unsigned seed = 0; seed < 400; ++seed) {
    const json given = small_case(seed + 10000);
    const solver::Problem p = problem_of(given);
    const auto best = judge::brute_force(given, 1e7);
    if (!best) continue;
    const auto grid = solver::level_grid(p);
    ASSERT_GE(solver::best_step_bound(p, grid), 0) << seed;
    ASSERT_LE(solver::best_step_bound(p, grid), best->step) << seed;
  }
}

// Runs the local search on small problems with a known optimum. Its placement must be valid, never better
// than the optimum, and usually optimal.
TEST(LocalSearch, IsValidAndUsuallyOptimal) {
  int optimal = 0;
  int all = 0;
  for (unsigned seed = 0; seed < 300; ++seed) {
    const json given = small_case(seed);
    const solver::Problem p = problem_of(given);
    const auto best = judge::brute_force(given, 1e7);
    solver::SolveOptions options;
    options.use_exact = false;
    const solver::Solution solution = solver::solve(p, options);
    if (!best) {
      ASSERT_FALSE(solution.is_feasible) << seed;
      continue;
    }
    ++all;
    if (!solution.is_feasible) continue;
    ASSERT_EQ(judge::check_plan(given, plans::plan_json(p, solution, 1)), "") << seed;
    ASSERT_GE(solution.objective.level_step, best->step) << seed;
    optimal += solution.objective.level_step == best->step;
  }
  EXPECT_GT(optimal, all * 95 / 100) << all;
}

}  // namespace
}  // namespace yewmount::tests
