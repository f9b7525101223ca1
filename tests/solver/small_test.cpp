// Small problems against every placement there is, and what must not matter.
#include <gtest/gtest.h>

#include <algorithm>

#include "judge/plan.h"
#include "plans/report.h"
#include "solver/clash.h"
#include "tests/solver/cases.h"

namespace yewmount::tests {
namespace {

constexpr unsigned kCases = 6400, kParts = 8;

struct Small : ::testing::TestWithParam<unsigned> {};

TEST_P(Small, SameAsEveryPlacementTried) {
  int met = 0, not_met = 0, ties = 0;
  for (unsigned seed = GetParam(); seed < kCases; seed += kParts) {
    const json given = small_case(seed);
    const solver::Problem p = problem_of(given);
    const auto best = judge::brute_force(given, 1e7);
    const solver::Answer a = solver::solve(p, {});
    ASSERT_TRUE(a.proven) << seed << ' ' << given.dump();
    ASSERT_EQ(a.met, best.has_value()) << seed << ' ' << given.dump();
    if (!best) {
      ++not_met;
      continue;
    }
    ++met;
    ties += best->cost == 0;
    const judge::PlanFigures told{a.figures.step, a.figures.cost_step, a.figures.moved, a.figures.cost,
                                  a.figures.rank};
    ASSERT_TRUE(told == *best) << seed << " step " << told.step << '/' << best->step << " cost " << told.cost
                               << '/' << best->cost << " moved " << told.moved << '/' << best->moved
                               << " rank " << told.rank << '/' << best->rank << ' ' << given.dump();
    ASSERT_GE(a.level_bound, a.level) << seed;
    ASSERT_GE(a.figures.cost, a.cost_bound) << seed;
    ASSERT_EQ(judge::check_plan(given, plans::plan_json(p, a, 1)), "") << seed << ' ' << given.dump();
  }
  // All kinds came up, or the cases say nothing.
  EXPECT_GT(met, 100);
  EXPECT_GT(not_met, 30);
  EXPECT_GT(ties, 20);
}

TEST_P(Small, AClashIsOneAndNoneOfItCanBeLeftOut) {
  int seen = 0;
  for (unsigned seed = GetParam(); seed < kCases; seed += 2 * kParts) {
    const json given = small_case(seed);
    const solver::Problem p = problem_of(given);
    const auto best = judge::brute_force(given, 1e7);
    const solver::Explanation e = solver::explain(p, {});
    ASSERT_EQ(e.met, best.has_value()) << seed;
    if (best) continue;
    ++seen;
    ASSERT_TRUE(e.proven);
    ASSERT_FALSE(e.clashes.empty()) << seed << ' ' << given.dump();
    for (const solver::Clash& clash : e.clashes) {
      ASSERT_TRUE(clash.minimal) << seed;
      ASSERT_EQ(solver::possible(solver::with_only(p, clash.set), {}, false), false) << seed;
      for (std::size_t i = 0; i < clash.set.size(); ++i) {
        auto fewer = clash.set;
        fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(i));
        ASSERT_EQ(solver::possible(solver::with_only(p, fewer), {}, false), true)
            << seed << ' ' << clash.text;
      }
      EXPECT_FALSE(clash.text.empty());
    }
    if (e.clashes.size() > 1) continue;
    // Each relaxation does, by brute force, and a step less of it does not.
    for (const solver::Relaxation& r : e.clashes[0].least) {
      ASSERT_TRUE(judge::brute_force(plans::problem_json(solver::relaxed(p, r)), 1e7)) << seed << r.text;
      solver::Relaxation less = r;
      using What = solver::Relaxation::What;
      if (r.what == What::apart) continue;
      less.to += r.what == What::capacities ? -1 : 1;
      if (r.what == What::zones || r.what == What::spread) {
        const auto& v = p.volumes[r.index];
        if (less.to == (r.what == What::zones ? v.zones : v.nodes)) continue;
      }
      ASSERT_FALSE(judge::brute_force(plans::problem_json(solver::relaxed(p, less)), 1e7))
          << seed << ' ' << r.text;
    }
  }
  EXPECT_GT(seen, 10);
}

INSTANTIATE_TEST_SUITE_P(Seeds, Small, ::testing::Range(0u, kParts));

json shuffled(json given, unsigned seed) {
  std::ranlux24_base chance(seed);
  for (const char* key : {"zones", "nodes", "volumes"})
    std::shuffle(given[key].begin(), given[key].end(), chance);
  if (given.contains("apart"))
    for (json& set : given["apart"]) std::reverse(set.begin(), set.end());
  return given;
}

TEST(Order, OfLinesNeverTells) {
  for (unsigned seed = 0; seed < 150; ++seed) {
    const json given = small_case(seed);
    const solver::Problem p = problem_of(given), q = problem_of(shuffled(given, seed + 1));
    const solver::Answer a = solver::solve(p, {}), b = solver::solve(q, {});
    ASSERT_EQ(a.met, b.met);
    if (a.met) {
      ASSERT_EQ(plans::plan_json(p, a, 1), plans::plan_json(q, b, 1)) << seed;
    }
  }
  const json given = large_case(5, {60, 12, 3});
  const solver::Problem p = problem_of(given), q = problem_of(shuffled(given, 9));
  ASSERT_EQ(plans::plan_json(p, solver::solve(p, {}), 1), plans::plan_json(q, solver::solve(q, {}), 1));
}

TEST(Bound, NeverDeniesWhatIsThere) {
  for (unsigned seed = 0; seed < 400; ++seed) {
    const json given = small_case(seed + 10000);
    const solver::Problem p = problem_of(given);
    const auto best = judge::brute_force(given, 1e7);
    if (!best) continue;
    const auto grid = solver::levels(p);
    ASSERT_GE(solver::bound_step(p, grid), 0) << seed;
    ASSERT_LE(solver::bound_step(p, grid), best->step) << seed;
  }
}

// The search, held to small problems where the best is known: what it tells must hold, never be better than
// the best, and mostly be the best.
TEST(Searched, IsRightAndMostlyTheBest) {
  int same = 0, all = 0;
  for (unsigned seed = 0; seed < 300; ++seed) {
    const json given = small_case(seed);
    const solver::Problem p = problem_of(given);
    const auto best = judge::brute_force(given, 1e7);
    solver::Effort effort;
    effort.exact = false;
    const solver::Answer a = solver::solve(p, effort);
    if (!best) {
      ASSERT_FALSE(a.met) << seed;
      continue;
    }
    ++all;
    if (!a.met) continue;
    ASSERT_EQ(judge::check_plan(given, plans::plan_json(p, a, 1)), "") << seed;
    ASSERT_GE(a.figures.step, best->step) << seed;
    same += a.figures.step == best->step;
  }
  EXPECT_GT(same, all * 95 / 100) << all;
}

}  // namespace
}  // namespace yewmount::tests
