#include "cli/plan.h"

#include <iostream>

#include "base/base.h"
#include "judge/plan.h"
#include "plans/problem.h"
#include "plans/report.h"
#include "settings/json_schema.h"
#include "solver/clash.h"

namespace yewmount::cli {

namespace {
constexpr int kNotSame = 1, kNotMet = 3;
constexpr double kMostBrute = 1e8;
}  // namespace

struct PlanCommands::Given {
  CLI::App *plan, *check, *solve, *explain, *diff;
  std::string file, other, from, members, out;
  std::uint64_t number = 0;
  double limit = 30;
  bool brute = false, json = false;

  solver::Problem problem(plans::Plan& before) const {
    solver::Problem p = plans::load_problem(file);
    if (!from.empty()) {
      before = plans::load_plan(from);
      plans::take_present(p, before);
    }
    if (!members.empty()) plans::take_members(p, members);
    return p;
  }

  solver::Effort effort() const {
    solver::Effort e;
    e.until.now = monotonic_now;
    e.until.end = monotonic_now() + static_cast<std::int64_t>(limit * 1e6);
    return e;
  }

  int not_met(const solver::Problem& p) const {
    const solver::Explanation e = solver::explain(p, effort());
    if (json)
      std::cout << plans::explanation_json(p, e).dump(1) << std::endl;
    else
      std::cerr << plans::explanation_text(e);
    return kNotMet;
  }

  int compared(const solver::Problem& p, const solver::Answer& a) const {
    std::optional<judge::PlanFigures> best;
    try {
      best = judge::brute_force(plans::problem_json(p), kMostBrute);
    } catch (const std::exception& e) {
      throw settings::SettingsError(e.what());
    }
    const auto& f = a.figures;
    const bool same =
        a.met ? best == judge::PlanFigures{f.step, f.cost_step, f.moved, f.cost, f.rank} : !best;
    std::cerr << (same ? "brute force: the same" : "brute force: another answer") << std::endl;
    return same ? 0 : kNotSame;
  }

  int solved() const {
    plans::Plan before;
    const solver::Problem p = problem(before);
    const solver::Answer a = solver::solve(p, effort());
    if (brute)
      if (const int code = compared(p, a); code != 0) return code;
    if (!a.met) return not_met(p);
    const std::uint64_t next = number > 0 ? number : before.number + 1;
    if (next <= before.number)
      throw settings::SettingsError("--number " + std::to_string(next) + ": heads hold plan " +
                          std::to_string(before.number) + " and take only a later one");
    const std::string text = plans::plan_json(p, a, next).dump(1) + "\n";
    if (!out.empty())
      if (const std::string why = write_file(out, text); !why.empty()) throw settings::SettingsError(why);
    if (json)
      std::cout << text;
    else
      std::cout << plans::plan_table(p, a);
    return 0;
  }

  int explained() const {
    plans::Plan before;
    const solver::Problem p = problem(before);
    const solver::Answer a = solver::solve(p, effort());
    if (!a.met) return not_met(p);
    if (json)
      std::cout << nlohmann::json{{"met", true}, {"tight", plans::tight_text(p, a)}}.dump(1) << std::endl;
    else
      std::cout << "all can be met\n" << plans::tight_text(p, a);
    return 0;
  }

  int compare() const {
    const plans::Difference d = plans::difference(plans::load_plan(file), plans::load_plan(other));
    if (json)
      std::cout << nlohmann::ordered_json{{"moved", d.moved},       {"nodes_anew", d.nodes_anew},
                                          {"new", d.appeared},      {"gone", d.gone},
                                          {"reserves", d.reserves}, {"weights", d.weights},
                                          {"volumes", d.lines}}
                       .dump(1)
                << std::endl;
    else
      std::cout << plans::difference_text(d);
    return 0;
  }
};

PlanCommands::PlanCommands(CLI::App& app) : given_(std::make_unique<Given>()) {
  Given& g = *given_;
  g.plan = app.add_subcommand("plan", "work out which nodes hold which volumes, and their shares");
  g.plan->require_subcommand(1);
  g.check = g.plan->add_subcommand("check", "read a problem; exit 2 with place and reason if bad");
  g.solve = g.plan->add_subcommand("solve", "work a plan out; exit 3 with the reasons if it can't be met");
  g.explain = g.plan->add_subcommand("explain", "why it can't be met and what would do, or what is full");
  g.diff = g.plan->add_subcommand("diff", "what changes from one plan to another");
  for (CLI::App* c : {g.check, g.solve, g.explain})
    c->add_option("FILE", g.file, "the problem (schema/problem.json)")->required();
  for (CLI::App* c : {g.solve, g.explain}) {
    c->add_option("--from", g.from, "the plan that holds now: as few moves from it as may be");
    c->add_option("--members", g.members, "which nodes are there (schema/members.json)");
    c->add_option("--limit", g.limit, "seconds to search; the best so far is told then")
        ->check(CLI::Range(0.0, 86400.0));
  }
  g.solve->add_option("--number", g.number, "the plan's number; one more than --from's otherwise, or 1");
  g.solve->add_option("--out", g.out, "write the plan to this file, whole or not at all");
  g.solve->add_flag("--brute", g.brute, "compare with every placement there is; small problems only");
  for (CLI::App* c : {g.solve, g.explain, g.diff}) c->add_flag("--json", g.json, "JSON on standard output");
  g.diff->add_option("OLD", g.file, "a plan (schema/plan.json)")->required();
  g.diff->add_option("NEW", g.other, "a later one")->required();
}

PlanCommands::~PlanCommands() = default;

bool PlanCommands::parsed() const { return given_->plan->parsed(); }

int PlanCommands::run() const {
  const Given& g = *given_;
  if (g.solve->parsed()) return g.solved();
  if (g.explain->parsed()) return g.explained();
  if (g.diff->parsed()) return g.compare();
  const solver::Problem p = plans::load_problem(g.file);
  std::cout << g.file << ": fine (" << p.zones.size() << " zones, " << p.nodes.size() << " nodes, "
            << p.volumes.size() << " volumes, " << p.apart.size() << " apart)" << std::endl;
  return 0;
}

}  // namespace yewmount::cli
