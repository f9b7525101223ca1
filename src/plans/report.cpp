#include "plans/report.h"

#include <algorithm>
#include <cstdio>

#include "plans/problem.h"

namespace yewmount::plans {
namespace {

using nlohmann::ordered_json;
using solver::Amount;

constexpr std::size_t kLines = 40;  // of a table, before "and n more"

template <class... Values>
std::string line(const char* shape, Values... values) {
  char text[512];
  std::snprintf(text, sizeof text, shape, values...);
  return text;
}

std::string list(const std::vector<std::string>& names) {
  std::string text;
  for (const std::string& n : names) text += (text.empty() ? "" : " ") + n;
  return text;
}

std::vector<std::string> names(const solver::Problem& p, const solver::Nodes& nodes) {
  std::vector<std::string> all;
  for (int n : nodes) all.push_back(p.nodes[n].name);
  return all;
}

std::string loss_name(const solver::Problem& p, int loss) {
  const int nodes = static_cast<int>(p.nodes.size());
  return loss < nodes ? "node " + p.nodes[loss].name : "zone " + p.zones[loss - nodes];
}

struct Burden {  // of a node, in thousandths
  Amount reserve = 0, load = 0, worst = 0;
  int loss = -1;
};

std::vector<Burden> burdens(const solver::Problem& p, const solver::Answer& a) {
  solver::Loads loads(p, 0);
  std::vector<Burden> all(p.nodes.size());
  for (int v = 0; v < static_cast<int>(p.volumes.size()); ++v) {
    loads.add(v, a.placement[v]);
    for (int n : a.placement[v]) all[n].load += (p.volumes[v].reserve + a.shares[v]) / a.placement[v].count;
  }
  for (int n = 0; n < static_cast<int>(all.size()); ++n) {
    all[n].reserve = loads.reserve(n) / solver::kParts;
    all[n].worst = (loads.reserve(n) + loads.worst(n)) / solver::kParts;
    for (int loss = 0; loss < loads.losses() && loads.worst(n) > 0 && all[n].loss < 0; ++loss)
      if (loads.extra(n, loss) == loads.worst(n)) all[n].loss = loss;
  }
  return all;
}

}  // namespace

ordered_json plan_json(const solver::Problem& p, const solver::Answer& a, std::uint64_t number) {
  ordered_json all = {{"number", number}, {"volumes", ordered_json::array()}};
  for (int v = 0; v < static_cast<int>(p.volumes.size()); ++v)
    all["volumes"].push_back({{"name", p.volumes[v].name},
                              {"nodes", names(p, a.placement[v])},
                              {"reserve", in_units(p.volumes[v].reserve)},
                              {"weight", in_units(p.volumes[v].weight)},
                              {"reserve_each", in_units(p.volumes[v].reserve / a.placement[v].count)},
                              {"share", in_units(a.shares[v])}});
  const auto each = burdens(p, a);
  for (int n = 0; n < static_cast<int>(p.nodes.size()); ++n) {
    ordered_json one = {{"name", p.nodes[n].name},
                        {"zone", p.zones[p.nodes[n].zone]},
                        {"capacity", in_units(p.nodes[n].capacity)},
                        {"reserve", in_units(each[n].reserve)},
                        {"load", in_units(each[n].load)},
                        {"reserve_at_worst", in_units(each[n].worst)}};
    if (each[n].loss >= 0) one["worst"] = loss_name(p, each[n].loss);
    all["nodes"].push_back(one);
  }
  all["figures"] = {{"level", in_units(a.level)},
                    {"level_bound", in_units(a.level_bound)},
                    {"level_gap", a.level_gap()},
                    {"level_step", a.figures.step},
                    {"cost_step", a.figures.cost_step},
                    {"moved", a.figures.moved},
                    {"moved_at_least", a.moved_floor},
                    {"cost", in_units(a.figures.cost)},
                    {"cost_bound", in_units(a.cost_bound)},
                    {"rank", a.figures.rank},
                    {"proven_best", a.proven},
                    {"in_time", a.in_time}};
  return all;
}

std::string plan_table(const solver::Problem& p, const solver::Answer& a) {
  std::string text =
      line("%-24s %10s %10s %10s %8s  %s\n", "volume", "demand", "reserve", "share", "weight", "nodes");
  for (std::size_t v = 0; v < p.volumes.size() && v < kLines; ++v) {
    const auto& volume = p.volumes[v];
    text += line("%-24s %10.1f %10.1f %10.1f %8.2f  ", volume.name.c_str(), in_units(volume.demand),
                 in_units(volume.reserve), in_units(a.shares[v]), in_units(volume.weight)) +
            list(names(p, a.placement[v])) + "\n";
  }
  if (p.volumes.size() > kLines) text += line("and %zu more volumes\n", p.volumes.size() - kLines);
  text += line("\n%-24s %-16s %10s %10s %10s  %s\n", "node", "zone", "capacity", "load", "at worst",
               "worst loss");
  const auto each = burdens(p, a);
  for (std::size_t n = 0; n < p.nodes.size() && n < kLines; ++n)
    text += line("%-24s %-16s %10.1f %10.1f %10.1f  %s\n", p.nodes[n].name.c_str(),
                 p.zones[p.nodes[n].zone].c_str(), in_units(p.nodes[n].capacity), in_units(each[n].load),
                 in_units(each[n].worst), each[n].loss >= 0 ? loss_name(p, each[n].loss).c_str() : "-");
  if (p.nodes.size() > kLines) text += line("and %zu more nodes\n", p.nodes.size() - kLines);
  text += line(
      "\nlevel %.3f of at most %.3f a weight of one (gap %.2f %%), cost %.0f (at least %.0f), moved %lld "
      "(at least %lld)%s%s\n",
      in_units(a.level), in_units(a.level_bound), 100 * a.level_gap(), in_units(a.figures.cost),
      in_units(a.cost_bound), static_cast<long long>(a.figures.moved), static_cast<long long>(a.moved_floor),
      a.proven ? "; proven best" : "", a.in_time ? "" : "; time was over, best so far");
  return text;
}

std::string tight_text(const solver::Problem& p, const solver::Answer& a) {
  std::string text;
  const auto each = burdens(p, a);
  for (int n = 0; n < static_cast<int>(p.nodes.size()); ++n) {
    const double bears = std::max(1.0, static_cast<double>(p.nodes[n].capacity));
    const bool now = static_cast<double>(each[n].load) > 0.99 * bears;
    const bool worst = static_cast<double>(each[n].worst) > 0.99 * bears;
    if (!now && !worst) continue;
    std::vector<std::string> on;
    for (int v = 0; v < static_cast<int>(p.volumes.size()); ++v)
      if (a.placement[v].has(n)) on.push_back(p.volumes[v].name);
    const std::size_t more = on.size() > 8 ? on.size() - 8 : 0;
    if (more > 0) on.resize(8);
    text += "node " + p.nodes[n].name + " is full" +
            (now ? " now" : " when " + loss_name(p, each[n].loss) + " is lost") + " with " + list(on) +
            (more > 0 ? " and " + std::to_string(more) + " more" : "") + "\n";
  }
  if (text.empty()) text = "no node is full: every demand is met\n";
  return text;
}

ordered_json explanation_json(const solver::Problem& p, const solver::Explanation& e) {
  static const char* const kinds[] = {"reserve", "keep", "zones", "spread", "apart"};
  ordered_json all = {{"met", e.met}, {"proven", e.proven}, {"clashes", ordered_json::array()}};
  for (const auto& clash : e.clashes) {
    ordered_json one = {{"says", clash.text}, {"none_can_be_left_out", clash.minimal}};
    for (const auto& c : clash.set) {
      ordered_json member = {{"kind", kinds[static_cast<int>(c.kind)]}};
      if (c.kind == solver::Kind::apart) {
        for (int v : p.apart[c.index]) member["volumes"].push_back(p.volumes[v].name);
      } else {
        member["volume"] = p.volumes[c.index].name;
      }
      one["set"].push_back(member);
    }
    for (const auto& r : clash.least) one["least"].push_back(r.text);
    all["clashes"].push_back(one);
  }
  if (e.clashes.size() > 1) all["first_of_each_together_do"] = e.together;
  return all;
}

std::string explanation_text(const solver::Explanation& e) {
  if (e.met) return "all can be met\n";
  if (!e.proven)
    return "no placement was found that meets all, nor a proof that there is none; more time may tell\n";
  std::string text;
  for (const auto& clash : e.clashes) {
    text += "can't be met: " + clash.text + "\n";
    if (!clash.minimal) text += "  (that none of these can be left out was not shown)\n";
    for (const auto& r : clash.least) text += "  would do: " + r.text + "\n";
    if (clash.least.empty()) text += "  no single change was found that would do\n";
  }
  if (e.clashes.size() > 1)
    text += e.together ? "the first change of each, together, would do\n"
                       : "the first changes of each, together, were not seen to do\n";
  return text;
}

Difference difference(const Plan& before, const Plan& after) {
  Difference d;
  auto x = before.volumes.begin();
  auto y = after.volumes.begin();
  while (x != before.volumes.end() || y != after.volumes.end()) {
    if (y == after.volumes.end() || (x != before.volumes.end() && x->name < y->name)) {
      d.lines.push_back({{"volume", x++->name}, {"change", "gone"}});
      ++d.gone;
      continue;
    }
    if (x == before.volumes.end() || y->name < x->name) {
      d.lines.push_back({{"volume", y->name}, {"change", "new"}, {"to", y->nodes}});
      ++y, ++d.appeared;
      continue;
    }
    ordered_json one = {{"volume", x->name}};
    std::vector<std::string> leaves, comes;
    std::set_difference(x->nodes.begin(), x->nodes.end(), y->nodes.begin(), y->nodes.end(),
                        std::back_inserter(leaves));
    std::set_difference(y->nodes.begin(), y->nodes.end(), x->nodes.begin(), x->nodes.end(),
                        std::back_inserter(comes));
    if (!leaves.empty() || !comes.empty()) {
      one["leaves"] = leaves, one["comes_to"] = comes;
      ++d.moved;
      d.nodes_anew += static_cast<int>(comes.size());
    }
    if (x->reserve != y->reserve) one["reserve"] = {x->reserve, y->reserve}, ++d.reserves;
    if (x->weight != y->weight) one["weight"] = {x->weight, y->weight}, ++d.weights;
    if (one.size() > 1) d.lines.push_back(one);
    ++x, ++y;
  }
  return d;
}

std::string difference_text(const Difference& d) {
  std::string text;
  std::size_t told = 0;
  for (const auto& l : d.lines) {
    if (told++ == kLines) break;
    text += l["volume"].get<std::string>() + ":";
    if (l.contains("change")) text += " " + l["change"].get<std::string>();
    for (const char* key : {"to", "leaves", "comes_to", "reserve", "weight"})
      if (l.contains(key)) text += std::string(" ") + key + " " + l[key].dump();
    text += "\n";
  }
  if (d.lines.size() > kLines) text += line("and %zu more\n", d.lines.size() - kLines);
  return text + line("%d volumes move (%d nodes anew), %d new, %d gone, %d reserves and %d weights change\n",
                     d.moved, d.nodes_anew, d.appeared, d.gone, d.reserves, d.weights);
}

}  // namespace yewmount::plans
