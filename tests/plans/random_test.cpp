// Seeded: files changed at random are read whole or refused in one line; and a cluster's life of re-plans,
// each judged by code that shares nothing with the solver.
#include <gtest/gtest.h>

#include "judge/plan.h"
#include "plans/report.h"
#include "settings/json_schema.h"
#include "solver/clash.h"
#include "tests/solver/cases.h"

namespace yewmount::tests {
namespace {

void change(json& at, Dice& dice, int depth = 0) {
  if ((at.is_object() || at.is_array()) && !at.empty() && (depth == 0 || !dice.one_in(4))) {
    const int which = dice.in(0, static_cast<int>(at.size()) - 1);
    auto it = at.begin();
    std::advance(it, which);
    if (dice.one_in(12)) {
      at.erase(it);
      return;
    }
    return change(*it, dice, depth + 1);
  }
  static const json values[] = {nullptr, -1,   0,    1e300, 0.0005,        "",
                                "n0",    "z9", true, 3,     100,           "node",
                                "v1",    0.1,  1e9,  -0.0,  json::array(), json::object()};
  at = values[dice.in(0, 17)];
}

TEST(Changed, ProblemsAreReadWholeOrRefusedInOneLine) {
  int refused = 0, solved = 0;
  for (unsigned seed = 0; seed < 3000; ++seed) {
    Dice dice{std::ranlux24_base(seed)};
    json given = small_case(seed % 500);
    for (int n = dice.in(1, 3); n > 0; --n) change(given, dice);
    solver::Problem p;
    try {
      p = problem_of(given);
    } catch (const settings::SettingsError& e) {
      ++refused;
      const std::string why = e.what();
      ASSERT_TRUE(why.starts_with("case: ") && why.find('\n') == std::string::npos) << why;
      continue;
    }
    const solver::Answer a = solver::solve(p, {});
    ASSERT_TRUE(a.proven) << seed << ' ' << given.dump();
    if (!a.met) {
      ASSERT_TRUE(solver::explain(p, {}).proven) << seed;
      continue;
    }
    ++solved;
    ASSERT_EQ(judge::check_plan(plans::problem_json(p), plans::plan_json(p, a, 1)), "")
        << seed << ' ' << given.dump();
  }
  EXPECT_GT(refused, 500);
  EXPECT_GT(solved, 40);
}

TEST(Changed, TextsCutAnywhereAreRefusedOrTheSame) {
  const std::string whole = small_case(3).dump();
  const std::string plan = plans::plan_text({7, {{"a", {"n1", "n2"}, 1.5, 2}, {"b", {"n1"}, 0, 0.001}}});
  for (std::size_t cut = 0; cut < whole.size(); ++cut)
    ASSERT_THROW(plans::read_problem(whole.substr(0, cut), "p"), settings::SettingsError) << cut;
  for (std::size_t cut = 0; cut + 2 < plan.size(); ++cut)
    ASSERT_THROW(plans::read_plan(plan.substr(0, cut), "p"), settings::SettingsError) << cut;
}

struct Life : ::testing::TestWithParam<unsigned> {};

TEST_P(Life, EveryPlanHoldsAndFewThingsMove) {
  Dice dice{std::ranlux24_base(GetParam() * 7919)};
  json now = large_case(GetParam(), {40, 9, 3, 0.6, "zone"});
  plans::Plan last;
  int plans_made = 0, not_met = 0, next_name = 0;
  for (int step = 0; step < 20; ++step) {
    const int what = dice.in(step == 0 ? 5 : 0, 5);  // 5: nothing changes
    auto& nodes = now["nodes"];
    auto& volumes = now["volumes"];
    const auto any = [&](json& list) -> json& {
      return list[static_cast<std::size_t>(dice.in(0, static_cast<int>(list.size()) - 1))];
    };
    if (what == 0 && nodes.size() > 4) nodes.erase(static_cast<std::size_t>(dice.in(0, 3)));
    if (what == 1)
      nodes.push_back({{"name", "x" + std::to_string(next_name++)},
                       {"zone", "z" + std::to_string(dice.in(0, 2))},
                       {"capacity", 1000},
                       {"cost", 2}});
    if (what == 2) any(nodes)["capacity"] = dice.in(300, 1500);
    if (what == 3) any(volumes)["demand"] = dice.in(1, 300);
    if (what == 4) {
      json more = any(volumes);
      more["name"] = "w" + std::to_string(next_name++);
      volumes.push_back(more);
    }
    solver::Problem p = problem_of(now);
    if (last.number > 0) plans::take_present(p, last);
    const solver::Answer a = solver::solve(p, {});
    if (!a.met) {
      ++not_met;
      continue;
    }
    ++plans_made;
    const json plan = plans::plan_json(p, a, last.number + 1);
    ASSERT_EQ(judge::check_plan(plans::problem_json(p), plan), "") << step;
    ASSERT_GE(a.figures.moved, a.moved_floor);
    // What moves beyond what was lost does so for a better level or cost, and for nothing less.
    solver::Placement stays;
    for (const auto& v : p.volumes) {
      stays.emplace_back();
      for (int n : v.present) stays.back().add(n);
    }
    const int step_there = last.number > 0 ? solver::step_of(p, stays, solver::levels(p)) : -1;
    if (step_there >= 0 && a.figures.moved > 0) {
      const solver::Figures there = solver::figures(p, stays, step_there);
      ASSERT_TRUE(std::pair(a.figures.step, a.figures.cost_step) < std::pair(there.step, there.cost_step))
          << step;
    }
    const plans::Plan next = plans::read_plan(plan.dump(), "plan");
    plans::Holder held;
    held.remember(last);
    ASSERT_EQ(held.offer(next, [](const std::string&) { return true; }).verdict,
              plans::Holder::Verdict::taken);
    last = next;
  }
  EXPECT_GT(plans_made, 10) << not_met;
}

INSTANTIATE_TEST_SUITE_P(Seeds, Life, ::testing::Range(1u, 7u));

}  // namespace
}  // namespace yewmount::tests
