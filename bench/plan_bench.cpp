// How long plans take, how far from the bound they are, and what moves when a node is lost; beside two plain
// ways. plan_bench [VOLUMES NODES ZONES [SEED [SECONDS]]]; without arguments, the sizes in docs/results.md.
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

double seconds(std::int64_t since) { return static_cast<double>(monotonic_now() - since) / 1e6; }

double memory() {
  rusage used{};
  getrusage(RUSAGE_SELF, &used);
  return static_cast<double>(used.ru_maxrss) / 1024;
}

void told(const char* what, const solver::Answer& a, double took) {
  std::printf(
      "  %-22s %7.2f s  level %10.3f  gap %6.2f %%  cost %9.0f (gap %5.1f %%)  moved %5lld of at least "
      "%5lld%s\n",
      what, took, static_cast<double>(a.level) / 1000, 100 * a.level_gap(),
      static_cast<double>(a.figures.cost) / 1000, 100 * a.cost_gap(), static_cast<long long>(a.figures.moved),
      static_cast<long long>(a.moved_floor), a.met ? "" : "  NOT MET");
  std::fflush(stdout);
}

void run(const tests::Size& size, unsigned seed, double limit) {
  std::printf(
      "%d volumes x %d nodes in %d zones, demand %.0f %% of what nodes bear, kept through the loss of a %s, "
      "seed %u\n",
      size.volumes, size.nodes, size.zones, 100 * size.filled, size.keep, seed);
  tests::json given = tests::large_case(seed, size);
  solver::Problem p = tests::problem_of(given);
  solver::Effort effort;
  effort.until.now = monotonic_now;
  const auto timed = [&](const solver::Problem& problem, const char* what) {
    const std::int64_t begun = monotonic_now();
    effort.until.end = begun + static_cast<std::int64_t>(limit * 1e6);
    solver::Answer a = solver::solve(problem, effort);
    told(what, a, seconds(begun));
    std::printf("  %-22s %ld small moves, %ld exact steps, %.0f MiB\n", "", a.steps, a.exact_steps, memory());
    return a;
  };
  const solver::Answer a = timed(p, "solve");
  std::int64_t begun = monotonic_now();
  told("greedy by size", solver::judge(p, solver::greedy_by_size(p)), seconds(begun));
  begun = monotonic_now();
  told("drawn by capacity", solver::judge(p, solver::drawn_by_capacity(p)), seconds(begun));
  if (!a.met) return;
  const plans::Plan plan = plans::read_plan(plans::plan_json(p, a, 1).dump(), "plan");
  given["nodes"].erase(static_cast<std::size_t>(size.nodes / 3));
  solver::Problem q = tests::problem_of(given);
  plans::take_present(q, plan);
  timed(q, "a node lost");
  // One volume asks for a twentieth more: what moves is what a small change costs.
  tests::json more = tests::large_case(seed, size);
  tests::json& grown = more["volumes"][static_cast<std::size_t>(size.volumes / 2)];
  grown["demand"] = std::round(grown["demand"].get<double>() * 1050) / 1000;
  solver::Problem r = tests::problem_of(more);
  plans::take_present(r, plan);
  timed(r, "one asks 5 % more");
  // A plain re-plan, which knows nothing of where things lie.
  told("lost, greedy by size", solver::judge(q, solver::greedy_by_size(q)), 0);
}

}  // namespace

int main(int argc, char** argv) {
  const double limit = argc > 5 ? std::atof(argv[5]) : 60;
  const unsigned seed = argc > 4 ? static_cast<unsigned>(std::atoi(argv[4])) : 1;
  if (argc > 3) {
    run({std::atoi(argv[1]), std::atoi(argv[2]), std::atoi(argv[3])}, seed, limit);
    return 0;
  }
  for (const double filled : {0.9, 1.2}) {
    for (const unsigned s : {1u, 2u, 3u}) run({64, 16, 4, filled}, s, limit);
    for (const unsigned s : {1u, 2u, 3u}) run({2000, 45, 3, filled}, s, limit);
    run({10000, 100, 5, filled}, 1, limit);
  }
  run({2000, 45, 3, 1.2, "zone"}, 1, limit);
}
