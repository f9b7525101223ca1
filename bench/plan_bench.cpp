// Measures the time to compute plans, their gap to the bound, and the moves after a node loss, compared with
// two baselines. Usage: plan_bench [VOLUMES NODES ZONES [SEED [SECONDS]]]. Without arguments it runs the
// sizes in docs/results.md.
#include <sys/resource.h>

#include <cmath>
#include <cstdio>
#include <cstdlib>

#include "base/base.h"
#include "plans/report.h"
#include "solver/solve.h"
#include "tests/solver/cases.h"

namespace {

using namespace yewmount;

double seconds_since(std::int64_t since) { return static_cast<double>(monotonic_now() - since) / 1e6; }

double peak_memory_mib() {
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  return static_cast<double>(used.ru_maxrss) / 1024;
}

void print_solution(const char* what, const solver::Solution& solution, double elapsed_seconds) {
  std::printf(
      "  %-22s %7.2f s  level %10.3f  gap %6.2f %%  cost %9.0f (gap %5.1f %%)  moved %5lld of at least "
      "%5lld%s\n",
      what, elapsed_seconds, static_cast<double>(solution.level) / 1000, 100 * solution.level_gap(),
      static_cast<double>(solution.objective.cost) / 1000, 100 * solution.cost_gap(),
      static_cast<long long>(solution.objective.move_cost), static_cast<long long>(solution.min_move_cost),
      solution.is_feasible ? "" : "  NOT MET");
  std::fflush(stdout);
}

void run(const tests::CaseSize& size, unsigned seed, double limit_seconds) {
  std::printf(
      "%d volumes x %d nodes in %d zones, demand %.0f %% of capacity, reserves kept at the loss of a %s, "
      "seed %u\n",
      size.volumes, size.nodes, size.zones, 100 * size.demand_ratio, size.tolerated_failure, seed);
  tests::json given = tests::large_case(seed, size);
  solver::Problem p = tests::problem_of(given);
  solver::SolveOptions options;
  options.deadline.now = monotonic_now;
  const auto solve_timed = [&](const solver::Problem& problem, const char* what) {
    const std::int64_t started_us = monotonic_now();
    options.deadline.end_us = started_us + static_cast<std::int64_t>(limit_seconds * 1e6);
    solver::Solution solution = solver::solve(problem, options);
    print_solution(what, solution, seconds_since(started_us));
    std::printf("  %-22s %ld small moves, %ld exact steps, %.0f MiB\n", "", solution.moves_tried,
                solution.exact_steps, peak_memory_mib());
    return solution;
  };
  const solver::Solution solution = solve_timed(p, "solve");
  std::int64_t started_us = monotonic_now();
  print_solution("greedy by size", solver::evaluate(p, solver::greedy_placement(p)),
                 seconds_since(started_us));
  started_us = monotonic_now();
  print_solution("drawn by capacity", solver::evaluate(p, solver::weighted_random_placement(p)),
                 seconds_since(started_us));
  if (!solution.is_feasible) return;
  const plans::Plan plan = plans::parse_plan(plans::plan_json(p, solution, 1).dump(), "plan");
  given["nodes"].erase(static_cast<std::size_t>(size.nodes / 3));
  solver::Problem q = tests::problem_of(given);
  plans::apply_current_plan(q, plan);
  solve_timed(q, "a node lost");
  // The demand of one volume grows by 5 %: the moves are the cost of a small change.
  tests::json more = tests::large_case(seed, size);
  tests::json& grown = more["volumes"][static_cast<std::size_t>(size.volumes / 2)];
  grown["demand"] = std::round(grown["demand"].get<double>() * 1050) / 1000;
  solver::Problem r = tests::problem_of(more);
  plans::apply_current_plan(r, plan);
  solve_timed(r, "one asks 5 % more");
  // Replanning with the baseline, which ignores the current placement.
  print_solution("lost, greedy by size", solver::evaluate(q, solver::greedy_placement(q)), 0);
}

}  // namespace

int main(int argc, char** argv) {
  const double limit_seconds = argc > 5 ? std::atof(argv[5]) : 60;
  const unsigned seed = argc > 4 ? static_cast<unsigned>(std::atoi(argv[4])) : 1;
  if (argc > 3) {
    run({std::atoi(argv[1]), std::atoi(argv[2]), std::atoi(argv[3])}, seed, limit_seconds);
    return 0;
  }
  for (const double demand_ratio : {0.9, 1.2}) {
    for (const unsigned s : {1u, 2u, 3u}) run({64, 16, 4, demand_ratio}, s, limit_seconds);
    for (const unsigned s : {1u, 2u, 3u}) run({2000, 45, 3, demand_ratio}, s, limit_seconds);
    run({10000, 100, 5, demand_ratio}, 1, limit_seconds);
  }
  run({2000, 45, 3, 1.2, "zone"}, 1, limit_seconds);
}
