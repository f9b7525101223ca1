#include "plans/report.h"

#include <algorithm>
#include <cstdio>

#include "plans/problem.h"

namespace yewmount::plans {
namespace {

using nlohmann::ordered_json;
using solver::Amount;

constexpr std::size_t kMaxTableRows = 40;     // further rows are summarized as "and n more"
constexpr std::size_t kMaxListedVolumes = 8;  // further volumes of a node are summarized likewise
constexpr double kFullUtilization = 0.99;     // a node counts as full above this

template <class... Values>
std::string line(const char* format, Values... values) {
  char text[512];
  std::snprintf(text, sizeof text, format, values...);
  return text;
}

std::string join(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& n : names) text += (text.empty() ? "" : " ") + n;
  return text;
}

std::vector<std::string> names(const solver::Problem& problem, const solver::NodeSet& nodes) {
  std::vector<std::string> all;
  for (int n : nodes) all.push_back(problem.nodes[n].name);
  return all;
}

std::string loss_name(const solver::Problem& problem, int loss) {
  const int nodes = static_cast<int>(problem.nodes.size());
  return loss < nodes ? "node " + problem.nodes[loss].name : "zone " + problem.zones[loss - nodes];
}

// The load of a node in thousandths of a unit a second.
struct NodeUsage {
  Amount reserve = 0;
  Amount load = 0;   // reserves and shares
  Amount worst = 0;  // reserves at the worst loss
  int loss = -1;     // the worst loss, as in solver::NodeLoads; -1: none
};

std::vector<NodeUsage> node_usage(const solver::Problem& problem, const solver::Solution& solution) {
  solver::NodeLoads loads(problem, 0);
  std::vector<NodeUsage> all(problem.nodes.size());
  for (int v = 0; v < static_cast<int>(problem.volumes.size()); ++v) {
    loads.add(v, solution.placement[v]);
    for (int n : solution.placement[v])
      all[n].load += (problem.volumes[v].reserve + solution.shares[v]) / solution.placement[v].count;
  }
  for (int n = 0; n < static_cast<int>(all.size()); ++n) {
    all[n].reserve = loads.reserve(n) / solver::kLoadScale;
    all[n].worst = (loads.reserve(n) + loads.worst_extra(n)) / solver::kLoadScale;
    for (int loss = 0; loss < loads.loss_count() && loads.worst_extra(n) > 0 && all[n].loss < 0; ++loss)
      if (loads.extra(n, loss) == loads.worst_extra(n)) all[n].loss = loss;
  }
  return all;
}

}  // namespace

ordered_json plan_json(const solver::Problem& problem, const solver::Solution& solution,
                       std::uint64_t number) {
  ordered_json all = {{"number", number}, {"volumes", ordered_json::array()}};
  for (int v = 0; v < static_cast<int>(problem.volumes.size()); ++v)
    all["volumes"].push_back(
        {{"name", problem.volumes[v].name},
         {"nodes", names(problem, solution.placement[v])},
         {"reserve", in_units(problem.volumes[v].reserve)},
         {"weight", in_units(problem.volumes[v].weight)},
         {"reserve_each", in_units(problem.volumes[v].reserve / solution.placement[v].count)},
         {"share", in_units(solution.shares[v])}});
  const auto usage = node_usage(problem, solution);
  for (int n = 0; n < static_cast<int>(problem.nodes.size()); ++n) {
    ordered_json entry = {{"name", problem.nodes[n].name},
                          {"zone", problem.zones[problem.nodes[n].zone]},
                          {"capacity", in_units(problem.nodes[n].capacity)},
                          {"reserve", in_units(usage[n].reserve)},
                          {"load", in_units(usage[n].load)},
                          {"reserve_at_worst", in_units(usage[n].worst)}};
    if (usage[n].loss >= 0) entry["worst"] = loss_name(problem, usage[n].loss);
    all["nodes"].push_back(entry);
  }
  all["figures"] = {
      {"level", in_units(solution.level)},           {"level_bound", in_units(solution.level_bound)},
      {"level_gap", solution.level_gap()},           {"level_step", solution.objective.level_step},
      {"cost_step", solution.objective.cost_step},   {"moved", solution.objective.move_cost},
      {"moved_at_least", solution.min_move_cost},    {"cost", in_units(solution.objective.cost)},
      {"cost_bound", in_units(solution.cost_bound)}, {"rank", solution.objective.rank},
      {"proven_best", solution.is_proven},           {"in_time", solution.finished_in_time}};
  return all;
}

std::string plan_table(const solver::Problem& problem, const solver::Solution& solution) {
  std::string text =
      line("%-24s %10s %10s %10s %8s  %s\n", "volume", "demand", "reserve", "share", "weight", "nodes");
  for (std::size_t v = 0; v < problem.volumes.size() && v < kMaxTableRows; ++v) {
    const auto& volume = problem.volumes[v];
    text += line("%-24s %10.1f %10.1f %10.1f %8.2f  ", volume.name.c_str(), in_units(volume.demand),
                 in_units(volume.reserve), in_units(solution.shares[v]), in_units(volume.weight)) +
            join(names(problem, solution.placement[v])) + "\n";
  }
  if (problem.volumes.size() > kMaxTableRows)
    text += line("and %zu more volumes\n", problem.volumes.size() - kMaxTableRows);
  text += line("\n%-24s %-16s %10s %10s %10s  %s\n", "node", "zone", "capacity", "load", "at worst",
               "worst loss");
  const auto usage = node_usage(problem, solution);
  for (std::size_t n = 0; n < problem.nodes.size() && n < kMaxTableRows; ++n)
    text += line("%-24s %-16s %10.1f %10.1f %10.1f  %s\n", problem.nodes[n].name.c_str(),
                 problem.zones[problem.nodes[n].zone].c_str(), in_units(problem.nodes[n].capacity),
                 in_units(usage[n].load), in_units(usage[n].worst),
                 usage[n].loss >= 0 ? loss_name(problem, usage[n].loss).c_str() : "-");
  if (problem.nodes.size() > kMaxTableRows)
    text += line("and %zu more nodes\n", problem.nodes.size() - kMaxTableRows);
  text += line(
      "\nlevel %.3f of at most %.3f per unit of weight (gap %.2f %%), cost %.0f (at least %.0f), moved %lld "
      "(at least %lld)%s%s\n",
      in_units(solution.level), in_units(solution.level_bound), 100 * solution.level_gap(),
      in_units(solution.objective.cost), in_units(solution.cost_bound),
      static_cast<long long>(solution.objective.move_cost), static_cast<long long>(solution.min_move_cost),
      solution.is_proven ? "; proven best" : "",
      solution.finished_in_time ? "" : "; time limit reached, best found so far");
  return text;
}

std::string bottleneck_text(const solver::Problem& problem, const solver::Solution& solution) {
  std::string text;
  const auto usage = node_usage(problem, solution);
  for (int n = 0; n < static_cast<int>(problem.nodes.size()); ++n) {
    const double capacity = std::max(1.0, static_cast<double>(problem.nodes[n].capacity));
    const bool is_full_now = static_cast<double>(usage[n].load) > kFullUtilization * capacity;
    const bool is_full_at_worst = static_cast<double>(usage[n].worst) > kFullUtilization * capacity;
    if (!is_full_now && !is_full_at_worst) continue;
    std::vector<std::string> volumes_on_node;
    for (int v = 0; v < static_cast<int>(problem.volumes.size()); ++v)
      if (solution.placement[v].contains(n)) volumes_on_node.push_back(problem.volumes[v].name);
    const std::size_t omitted =
        volumes_on_node.size() > kMaxListedVolumes ? volumes_on_node.size() - kMaxListedVolumes : 0;
    if (omitted > 0) volumes_on_node.resize(kMaxListedVolumes);
    text += "node " + problem.nodes[n].name + " is full" +
            (is_full_now ? " now" : " when " + loss_name(problem, usage[n].loss) + " is lost") + " with " +
            join(volumes_on_node) + (omitted > 0 ? " and " + std::to_string(omitted) + " more" : "") + "\n";
  }
  if (text.empty()) text = "no node is full: every demand is met\n";
  return text;
}

ordered_json explanation_json(const solver::Problem& problem, const solver::Explanation& e) {
  static const char* const kinds[] = {"reserve", "keep", "zones", "spread", "apart"};
  ordered_json all = {{"met", e.is_feasible}, {"proven", e.is_proven}, {"clashes", ordered_json::array()}};
  for (const auto& subset : e.subsets) {
    ordered_json entry = {{"says", subset.text}, {"none_can_be_left_out", subset.is_minimal}};
    for (const auto& c : subset.constraints) {
      ordered_json member = {{"kind", kinds[static_cast<int>(c.kind)]}};
      if (c.kind == solver::ConstraintKind::anti_affinity) {
        for (int v : problem.anti_affinity[c.index]) member["volumes"].push_back(problem.volumes[v].name);
      } else {
        member["volume"] = problem.volumes[c.index].name;
      }
      entry["set"].push_back(member);
    }
    for (const auto& r : subset.relaxations) entry["least"].push_back(r.text);
    all["clashes"].push_back(entry);
  }
  if (e.subsets.size() > 1) all["first_of_each_together_do"] = e.first_relaxations_suffice;
  return all;
}

std::string explanation_text(const solver::Explanation& e) {
  if (e.is_feasible) return "all can be met\n";
  if (!e.is_proven)
    return "no feasible placement was found, and infeasibility was not proven; a longer time limit may "
           "help\n";
  std::string text;
  for (const auto& subset : e.subsets) {
    text += "can't be met: " + subset.text + "\n";
    if (!subset.is_minimal) text += "  (not proven to be a minimal set)\n";
    for (const auto& r : subset.relaxations) text += "  would do: " + r.text + "\n";
    if (subset.relaxations.empty()) text += "  no single change was found that would do\n";
  }
  if (e.subsets.size() > 1)
    text += e.first_relaxations_suffice ? "the first change of each, together, would do\n"
                                        : "the first changes of each, together, were not found to do\n";
  return text;
}

Difference difference(const Plan& before, const Plan& after) {
  Difference d;
  auto x = before.volumes.begin();
  auto y = after.volumes.begin();
  while (x != before.volumes.end() || y != after.volumes.end()) {
    if (y == after.volumes.end() || (x != before.volumes.end() && x->name < y->name)) {
      d.changes.push_back({{"volume", x++->name}, {"change", "gone"}});
      ++d.removed_volumes;
      continue;
    }
    if (x == before.volumes.end() || y->name < x->name) {
      d.changes.push_back({{"volume", y->name}, {"change", "new"}, {"to", y->nodes}});
      ++y;
      ++d.added_volumes;
      continue;
    }
    ordered_json entry = {{"volume", x->name}};
    std::vector<std::string> removed;
    std::vector<std::string> added;
    std::set_difference(x->nodes.begin(), x->nodes.end(), y->nodes.begin(), y->nodes.end(),
                        std::back_inserter(removed));
    std::set_difference(y->nodes.begin(), y->nodes.end(), x->nodes.begin(), x->nodes.end(),
                        std::back_inserter(added));
    if (!removed.empty() || !added.empty()) {
      entry["leaves"] = removed;
      entry["comes_to"] = added;
      ++d.moved_volumes;
      d.added_nodes += static_cast<int>(added.size());
    }
    if (x->reserve != y->reserve) {
      entry["reserve"] = {x->reserve, y->reserve};
      ++d.changed_reserves;
    }
    if (x->weight != y->weight) {
      entry["weight"] = {x->weight, y->weight};
      ++d.changed_weights;
    }
    if (entry.size() > 1) d.changes.push_back(entry);
    ++x;
    ++y;
  }
  return d;
}

std::string difference_text(const Difference& d) {
  std::string text;
  std::size_t shown = 0;
  for (const auto& l : d.changes) {
    if (shown++ == kMaxTableRows) break;
    text += l["volume"].get<std::string>() + ":";
    if (l.contains("change")) text += " " + l["change"].get<std::string>();
    for (const char* key : {"to", "leaves", "comes_to", "reserve", "weight"})
      if (l.contains(key)) text += std::string(" ") + key + " " + l[key].dump();
    text += "\n";
  }
  if (d.changes.size() > kMaxTableRows) text += line("and %zu more\n", d.changes.size() - kMaxTableRows);
  return text + line("%d volumes move (%d new nodes), %d new, %d gone, %d reserves and %d weights change\n",
                     d.moved_volumes, d.added_nodes, d.added_volumes, d.removed_volumes, d.changed_reserves,
                     d.changed_weights);
}

}  // namespace yewmount::plans
