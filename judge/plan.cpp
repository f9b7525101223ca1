#include "judge/plan.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <stdexcept>

namespace yewmount::judge {
namespace {

using nlohmann::json;
using Int = long long;
__extension__ typedef __int128 WideInt;

// Loads are multiplied by 2520, the least common multiple of 1 to 10, so that dividing a load among up to ten
// nodes is exact.
constexpr Int kLoadScale = 2520;

struct Node {
  std::string name;
  std::string zone;
  Int capacity;
  Int cost;
};

struct Volume {
  std::string name;
  std::string keep;  // failure that the reserve must survive: none, node or zone
  Int demand;
  Int reserve;
  Int weight;
  Int move_cost;
  unsigned nodes;
  unsigned zones;
  std::set<std::string> present;
  bool is_placed;
};

Int thousandths(const json& object, const char* key, double default_value) {
  return std::llround(object.value(key, default_value) * 1000);
}

// The hash that ranks derive from (docs/operate/plans.md); a separate implementation from the solver's.
Int rank(const std::string& volume, const std::string& node) {
  unsigned long long hash = 0x14650FB0739D0383ULL;
  for (const char c : volume + "\n" + node) {
    hash ^= static_cast<unsigned char>(c);
    hash *= 0x100000001B3ULL;
  }
  hash ^= hash >> 32;
  hash *= 0x9E3779B97F4A7C15ULL;
  hash ^= hash >> 29;
  return static_cast<Int>(hash % 1000);
}

// The problem in fixed-point numbers (thousandths), with the grid of share levels that figures refer to.
struct Model {
  std::vector<Node> nodes;
  std::vector<Volume> volumes;
  std::vector<std::string> zones;
  std::vector<std::set<std::string>> apart_sets;
  std::vector<Int> grid;  // levels of shares, from the highest down to zero
  Int cost_step_width = 1;

  explicit Model(const json& problem) {
    for (const json& n : problem.at("nodes"))
      nodes.push_back({n.at("name"), n.at("zone"), thousandths(n, "capacity", 0), n.value("cost", Int{0})});
    for (const json& v : problem.at("volumes")) {
      Volume volume{v.at("name"),
                    v.value("keep", problem.value("keep", "none")),
                    thousandths(v, "demand", 0),
                    thousandths(v, "reserve", 0),
                    thousandths(v, "weight", 1),
                    v.value("move_cost", Int{1}),
                    v.value("nodes", 1u),
                    v.value("zones", 1u),
                    {},
                    v.contains("present")};
      if (volume.is_placed) volume.present = v["present"].get<std::set<std::string>>();
      volumes.push_back(volume);
    }
    std::set<std::string> zone_names;
    for (const Node& n : nodes) zone_names.insert(n.zone);
    zones.assign(zone_names.begin(), zone_names.end());
    for (const json& set : problem.value("apart", json::array()))
      apart_sets.push_back(set.get<std::set<std::string>>());
    const Int tolerance = std::llround(problem.value("near", 0.01) * 1000);
    Int max_level = 0;
    Int min_cost = 0;
    for (const Volume& v : volumes) {
      const Int extra = std::max<Int>(0, v.demand - v.reserve);
      Int level = static_cast<Int>(WideInt{extra} * 1000 / v.weight);
      while (WideInt{level} * v.weight < WideInt{extra} * 1000) ++level;
      max_level = std::max(max_level, level);
      std::vector<Int> costs;
      for (const Node& n : nodes) costs.push_back(n.cost);
      std::sort(costs.begin(), costs.end());
      if (costs.size() >= v.nodes)
        for (unsigned i = 0; i < v.nodes; ++i) min_cost += costs[i] * demand_per_node(v);
    }
    while (max_level > 0) {
      grid.push_back(max_level);
      const Int next = static_cast<Int>(WideInt{max_level} * 1000 / (1000 + tolerance));
      max_level = next < max_level - 1 ? next : max_level - 1;
    }
    grid.push_back(0);
    cost_step_width = std::max<Int>(1, min_cost * tolerance / 1000);
  }

  static Int demand_per_node(const Volume& v) { return v.demand / static_cast<Int>(v.nodes); }

  bool may_be_placed(const Volume& v, const std::vector<int>& placement) const {
    std::set<std::string> zones;
    for (int n : placement) zones.insert(nodes[n].zone);
    if (placement.size() != v.nodes || zones.size() < v.zones) return false;
    if (v.reserve == 0 || v.keep == "none") return true;
    return placement.size() > 1 && (v.keep == "node" || zones.size() > 1);
  }

  // The reserve load of volume v, placed on those nodes, on each node in every failure case: first with all
  // nodes available, then with each node lost, then with each zone lost. Load on lost nodes is zero.
  std::vector<Int> failure_loads(const Volume& v, const std::vector<int>& placement) const {
    const std::size_t count = nodes.size();
    std::vector<Int> loads((1 + count + zones.size()) * count);
    const auto set_case = [&](std::size_t row, auto lost) {
      Int lost_count = 0;
      for (int n : placement) lost_count += lost(n);
      for (int n : placement)
        if (!lost(n))
          loads[row * count + static_cast<std::size_t>(n)] =
              v.reserve * (kLoadScale / (static_cast<Int>(placement.size()) - lost_count));
    };
    set_case(0, [](int) { return false; });
    for (std::size_t i = 0; i < count; ++i)
      set_case(1 + i, [&](int n) { return v.keep != "none" && n == static_cast<int>(i); });
    for (std::size_t z = 0; z < zones.size(); ++z)
      set_case(1 + count + z, [&](int n) { return v.keep == "zone" && nodes[n].zone == zones[z]; });
    return loads;
  }

  bool is_within_capacity(const std::vector<Int>& load_sum) const {
    for (std::size_t i = 0; i < load_sum.size(); ++i)
      if (load_sum[i] > nodes[i % nodes.size()].capacity * kLoadScale) return false;
    return true;
  }

  bool shares_fit(const std::vector<std::vector<int>>& placements, Int level) const {
    std::vector<Int> load_sum(nodes.size());
    for (std::size_t v = 0; v < placements.size(); ++v) {
      const Volume& volume = volumes[v];
      const WideInt weighted = WideInt{volume.weight} * level / 1000;
      const Int extra = std::max<Int>(0, volume.demand - volume.reserve);
      const Int share = weighted < extra ? static_cast<Int>(weighted) : extra;
      for (int n : placements[v])
        load_sum[n] += (volume.reserve + share) * (kLoadScale / static_cast<Int>(placements[v].size()));
    }
    for (std::size_t n = 0; n < load_sum.size(); ++n)
      if (load_sum[n] > nodes[n].capacity * kLoadScale) return false;
    return true;
  }

  bool keeps_apart(const std::vector<std::vector<int>>& placements) const {
    for (const auto& set : apart_sets) {
      std::set<int> taken;
      for (std::size_t v = 0; v < placements.size(); ++v)
        if (set.count(volumes[v].name))
          for (int n : placements[v])
            if (!taken.insert(n).second) return false;
    }
    return true;
  }

  PlanFigures figures(const std::vector<std::vector<int>>& placements, Int step) const {
    PlanFigures found;
    found.step = step;
    for (std::size_t v = 0; v < placements.size(); ++v)
      for (int n : placements[v]) {
        found.cost += nodes[n].cost * demand_per_node(volumes[v]);
        found.rank += rank(volumes[v].name, nodes[n].name);
        if (volumes[v].is_placed && !volumes[v].present.count(nodes[n].name))
          found.moved += volumes[v].move_cost;
      }
    found.cost_step = found.cost / cost_step_width;
    return found;
  }
};

// Depth-first search over all placements.
struct PlacementSearch {
  const Model& model;
  std::vector<std::vector<std::vector<int>>> options;
  std::vector<std::vector<std::vector<Int>>> loads;
  std::vector<std::vector<int>> placements{};
  std::vector<Int> load_sum{};
  std::optional<PlanFigures> best{};

  void add_load(const std::vector<Int>& extra, int sign) {
    for (std::size_t i = 0; i < extra.size(); ++i) load_sum[i] += sign * extra[i];
  }

  void visit() {
    const std::size_t v = placements.size();
    // Load only grows as volumes are added: a node beyond its capacity, or a share level worse than the best
    // so far, cannot improve. Such branches are cut.
    if (v > 0 && (!model.is_within_capacity(load_sum) || !model.keeps_apart(placements))) return;
    const std::size_t last = model.grid.size() - 1;
    if (best && !model.shares_fit(placements, model.grid[static_cast<std::size_t>(best->step)])) return;
    if (v < model.volumes.size()) {
      for (std::size_t w = 0; w < options[v].size(); ++w) {
        placements.push_back(options[v][w]);
        add_load(loads[v][w], 1);
        visit();
        add_load(loads[v][w], -1);
        placements.pop_back();
      }
      return;
    }
    std::size_t step = best ? static_cast<std::size_t>(best->step) : last;
    if (!best && !model.shares_fit(placements, 0)) return;
    while (step > 0 && model.shares_fit(placements, model.grid[step - 1])) --step;
    const PlanFigures found = model.figures(placements, static_cast<Int>(step));
    if (!best || found < *best) best = found;
  }
};

}  // namespace

std::optional<PlanFigures> brute_force(const json& problem, double max_placements) {
  const Model model(problem);
  PlacementSearch search{model, {}, {}};
  double count = 1;
  for (const Volume& v : model.volumes) {
    std::vector<std::vector<int>> options_of_volume;
    if (model.nodes.size() > 20) throw std::runtime_error("brute force: more than 20 nodes");
    for (unsigned bits = 1; bits < 1u << model.nodes.size(); ++bits) {
      std::vector<int> placement;
      for (int n = 0; n < static_cast<int>(model.nodes.size()); ++n)
        if (bits >> n & 1) placement.push_back(n);
      if (model.may_be_placed(v, placement)) options_of_volume.push_back(placement);
    }
    count *= static_cast<double>(options_of_volume.size());
    search.loads.emplace_back();
    for (const auto& placement : options_of_volume)
      search.loads.back().push_back(model.failure_loads(v, placement));
    search.options.push_back(options_of_volume);
  }
  if (count > max_placements)
    throw std::runtime_error("brute force: more than " +
                             std::to_string(static_cast<long long>(max_placements)) + " placements");
  search.load_sum.resize((1 + model.nodes.size() + model.zones.size()) * model.nodes.size());
  search.visit();
  return search.best;
}

std::string check_plan(const json& problem, const json& plan) {
  const Model model(problem);
  std::map<std::string, json> by_name;
  for (const json& v : plan.at("volumes")) by_name[v.at("name")] = v;
  if (by_name.size() != model.volumes.size()) return "the plan does not have one entry for each volume";
  std::vector<std::vector<int>> placements;
  for (const Volume& v : model.volumes) {
    const auto it = by_name.find(v.name);
    if (it == by_name.end()) return "no entry for volume " + v.name;
    std::vector<int> placement;
    for (const std::string& name : it->second.at("nodes").get<std::set<std::string>>()) {
      const auto n = std::find_if(model.nodes.begin(), model.nodes.end(),
                                  [&](const Node& node) { return node.name == name; });
      if (n == model.nodes.end()) return v.name + " is placed on unknown node " + name;
      placement.push_back(static_cast<int>(n - model.nodes.begin()));
    }
    if (!model.may_be_placed(v, placement)) return v.name + " is placed on an invalid set of nodes";
    if (thousandths(it->second, "reserve", -1) != v.reserve) return v.name + " has the wrong reserve";
    placements.push_back(placement);
  }
  if (!model.keeps_apart(placements)) return "volumes that must be kept apart share a node";
  std::vector<Int> load((1 + model.nodes.size() + model.zones.size()) * model.nodes.size());
  for (std::size_t v = 0; v < placements.size(); ++v) {
    const std::vector<Int> extra = model.failure_loads(model.volumes[v], placements[v]);
    for (std::size_t i = 0; i < load.size(); ++i) load[i] += extra[i];
  }
  if (!model.is_within_capacity(load)) return "reserves exceed the capacity of a node";
  std::size_t step = model.grid.size() - 1;
  if (!model.shares_fit(placements, 0)) return "reserves exceed the capacity of a node without any failure";
  while (step > 0 && model.shares_fit(placements, model.grid[step - 1])) --step;
  const PlanFigures found = model.figures(placements, static_cast<Int>(step));
  const json& figures = plan.at("figures");
  const PlanFigures stated{figures.at("level_step"), figures.at("cost_step"), figures.at("moved"),
                           thousandths(figures, "cost", -1), figures.at("rank")};
  if (found != stated) return "the stated figures are wrong";
  // Shares must not exceed a node's capacity or a volume's demand, nor be below the level that all can have.
  std::vector<Int> load_sum(model.nodes.size());
  for (std::size_t v = 0; v < placements.size(); ++v) {
    const Int share = thousandths(by_name[model.volumes[v].name], "share", -1);
    const Int extra = std::max<Int>(0, model.volumes[v].demand - model.volumes[v].reserve);
    const WideInt weighted = WideInt{model.volumes[v].weight} * model.grid[step] / 1000;
    if (share > extra) return model.volumes[v].name + " has a share beyond its demand";
    if (share + 2 < (weighted < extra ? static_cast<Int>(weighted) : extra))
      return model.volumes[v].name + " has a share below the common level";
    for (int n : placements[v])
      load_sum[n] +=
          (model.volumes[v].reserve + share) * (kLoadScale / static_cast<Int>(placements[v].size()));
  }
  for (std::size_t n = 0; n < load_sum.size(); ++n)
    if (load_sum[n] > (model.nodes[n].capacity + 2) * kLoadScale)
      return "shares exceed the capacity of " + model.nodes[n].name;
  return {};
}

}  // namespace yewmount::judge
