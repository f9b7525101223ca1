#include "cli/plan.h"

#include <iostream>

#include "base/base.h"
#include "judge/plan.h"
#include "plans/problem.h"
#include "plans/report.h"
#include "settings/json_schema.h"
#include "solver/infeasibility.h"

namespace yewmount::cli {

namespace {
constexpr int kExitBruteForceDiffers = 1;
constexpr int kExitInfeasible = 3;
constexpr double kMaxBruteForcePlacements = 1e8;
}  // namespace

struct PlanCommands::Options {
  CLI::App* plan;
  CLI::App* check;
  CLI::App* solve;
  CLI::App* explain;
  CLI::App* diff;
  std::string file;
  std::string other;
  std::string from;
  std::string members;
  std::string out;
  std::uint64_t number = 0;
  double limit_seconds = 30;
  bool use_brute_force = false;
  bool json = false;

  // Loads the problem with the current plan, if there is one, and the membership applied to it.
  solver::Problem load_problem(plans::Plan& before) const {
    solver::Problem problem = plans::load_problem(file);
    if (!from.empty()) {
      before = plans::load_plan(from);
      plans::apply_current_plan(problem, before);
    }
    if (!members.empty()) plans::apply_membership(problem, members);
    return problem;
  }

  solver::SolveOptions solve_options() const {
    solver::SolveOptions options;
    options.deadline.now = monotonic_now;
    options.deadline.end_us = monotonic_now() + static_cast<std::int64_t>(limit_seconds * 1e6);
    return options;
  }

  int report_infeasible(const solver::Problem& problem) const {
    const solver::Explanation e = solver::explain(problem, solve_options());
    if (json)
      std::cout << plans::explanation_json(problem, e).dump(1) << std::endl;
    else
      std::cerr << plans::explanation_text(e);
    return kExitInfeasible;
  }

  int compare_with_brute_force(const solver::Problem& problem, const solver::Solution& solution) const {
    std::optional<judge::PlanFigures> best;
    try {
      best = judge::brute_force(plans::problem_json(problem), kMaxBruteForcePlacements);
    } catch (const std::exception& e) {
      throw settings::SettingsError(e.what());
    }
    const auto& f = solution.objective;
    const bool is_same = solution.is_feasible ? best == judge::PlanFigures{f.level_step, f.cost_step,
                                                                           f.move_cost, f.cost, f.rank}
                                              : !best;
    std::cerr << (is_same ? "brute force: the same" : "brute force: a different result") << std::endl;
    return is_same ? 0 : kExitBruteForceDiffers;
  }

  int run_solve() const {
    plans::Plan before;
    const solver::Problem problem = load_problem(before);
    const solver::Solution solution = solver::solve(problem, solve_options());
    if (use_brute_force)
      if (const int code = compare_with_brute_force(problem, solution); code != 0) return code;
    if (!solution.is_feasible) return report_infeasible(problem);
    const std::uint64_t next = number > 0 ? number : before.number + 1;
    if (next <= before.number)
      throw settings::SettingsError("--number " + std::to_string(next) + ": the current plan is plan " +
                                    std::to_string(before.number) + " and heads accept only a later one");
    const std::string text = plans::plan_json(problem, solution, next).dump(1) + "\n";
    if (!out.empty())
      if (const std::string error = write_file(out, text); !error.empty())
        throw settings::SettingsError(error);
    if (json)
      std::cout << text;
    else
      std::cout << plans::plan_table(problem, solution);
    return 0;
  }

  int run_explain() const {
    plans::Plan before;
    const solver::Problem problem = load_problem(before);
    const solver::Solution solution = solver::solve(problem, solve_options());
    if (!solution.is_feasible) return report_infeasible(problem);
    if (json)
      std::cout << nlohmann::json{{"met", true}, {"tight", plans::bottleneck_text(problem, solution)}}.dump(1)
                << std::endl;
    else
      std::cout << "all can be met\n" << plans::bottleneck_text(problem, solution);
    return 0;
  }

  int run_diff() const {
    const plans::Difference d = plans::difference(plans::load_plan(file), plans::load_plan(other));
    if (json)
      std::cout << nlohmann::ordered_json{{"moved", d.moved_volumes},
                                          {"nodes_anew", d.added_nodes},
                                          {"new", d.added_volumes},
                                          {"gone", d.removed_volumes},
                                          {"reserves", d.changed_reserves},
                                          {"weights", d.changed_weights},
                                          {"volumes", d.changes}}
                       .dump(1)
                << std::endl;
    else
      std::cout << plans::difference_text(d);
    return 0;
  }
};

PlanCommands::PlanCommands(CLI::App& app) : options_(std::make_unique<Options>()) {
  Options& options = *options_;
  options.plan =
      app.add_subcommand("plan", "compute which nodes hold which volumes, and the volumes' shares");
  options.plan->require_subcommand(1);
  options.check = options.plan->add_subcommand(
      "check", "check a problem file; exit 2 with location and reason if invalid");
  options.solve = options.plan->add_subcommand(
      "solve", "compute a plan; exit 3 with the reasons if the problem is infeasible");
  options.explain = options.plan->add_subcommand(
      "explain", "explain why a problem is infeasible and what would resolve it, or which nodes are full");
  options.diff = options.plan->add_subcommand("diff", "show the changes from one plan to another");
  for (CLI::App* c : {options.check, options.solve, options.explain})
    c->add_option("FILE", options.file, "the problem (schema/problem.json)")->required();
  for (CLI::App* c : {options.solve, options.explain}) {
    c->add_option("--from", options.from, "the current plan; moves away from it are minimized");
    c->add_option("--members", options.members, "the available nodes (schema/members.json)");
    c->add_option("--limit", options.limit_seconds,
                  "time limit in seconds; then the best plan found so far is returned")
        ->check(CLI::Range(0.0, 86400.0));
  }
  options.solve->add_option("--number", options.number,
                            "the plan's number (default: one more than that of --from, or 1)");
  options.solve->add_option("--out", options.out, "write the plan to this file atomically");
  options.solve->add_flag("--brute", options.use_brute_force,
                          "verify against an exhaustive search; small problems only");
  for (CLI::App* c : {options.solve, options.explain, options.diff})
    c->add_flag("--json", options.json, "JSON on standard output");
  options.diff->add_option("OLD", options.file, "a plan (schema/plan.json)")->required();
  options.diff->add_option("NEW", options.other, "a later plan")->required();
}

PlanCommands::~PlanCommands() = default;

bool PlanCommands::parsed() const { return options_->plan->parsed(); }

int PlanCommands::run() const {
  const Options& options = *options_;
  if (options.solve->parsed()) return options.run_solve();
  if (options.explain->parsed()) return options.run_explain();
  if (options.diff->parsed()) return options.run_diff();
  const solver::Problem problem = plans::load_problem(options.file);
  std::cout << options.file << ": valid (" << problem.zones.size() << " zones, " << problem.nodes.size()
            << " nodes, " << problem.volumes.size() << " volumes, " << problem.anti_affinity.size()
            << " anti-affinity sets)" << std::endl;
  return 0;
}

}  // namespace yewmount::cli
