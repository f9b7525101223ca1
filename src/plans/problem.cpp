#include "plans/problem.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <set>

#include "base/base.h"
#include "settings/json_schema.h"

namespace yewmount::plans {
namespace {

using nlohmann::json;
using settings::SettingsError;
using solver::Amount;
using solver::FailureDomain;

// A place in an input file, as a JSON pointer, for error messages.
struct Location {
  std::string path;
  std::string pointer;
  [[noreturn]] void fail(const std::string& reason) const {
    throw SettingsError(path + ": " + pointer + ": " + reason);
  }
  Location operator/(const std::string& part) const { return {path, pointer + '/' + part}; }
};

// Reads an amount in units and converts it to thousandths.
Amount parse_amount(const json& object, const char* key, double default_value, const Location& location) {
  const double scaled = object.value(key, default_value) * 1000;
  const double whole = std::round(scaled);
  if (std::abs(scaled - whole) > 1e-6 * std::max(1.0, std::abs(scaled)))
    (location / key).fail("has more than three decimal places");
  return static_cast<Amount>(whole);
}

FailureDomain parse_failure_domain(const json& object, FailureDomain default_value) {
  if (!object.contains("keep")) return default_value;
  const std::string word = object["keep"];
  return word == "zone" ? FailureDomain::zone : word == "node" ? FailureDomain::node : FailureDomain::none;
}

const char* failure_domain_name(FailureDomain domain) {
  return domain == FailureDomain::zone ? "zone" : domain == FailureDomain::node ? "node" : "none";
}

int index_of(const std::vector<std::string>& sorted, const std::string& name) {
  const auto it = std::lower_bound(sorted.begin(), sorted.end(), name);
  return it != sorted.end() && *it == name ? static_cast<int>(it - sorted.begin()) : -1;
}

// Returns the names in a list of strings, or of objects with a name, in order. Rejects duplicates.
std::vector<std::string> sorted_names(const json& list, const Location& location, bool are_objects) {
  std::vector<std::string> names;
  std::set<std::string> seen;
  int i = 0;
  for (const json& entry : list) {
    const std::string name = are_objects ? entry.at("name") : entry;
    if (!seen.insert(name).second)
      (are_objects ? location / std::to_string(i) / "name" : location / std::to_string(i))
          .fail("'" + name + "' appears more than once");
    ++i;
  }
  names.assign(seen.begin(), seen.end());
  return names;
}

std::vector<std::string> node_names(const solver::Problem& problem) {
  std::vector<std::string> names;
  for (const auto& n : problem.nodes) names.push_back(n.name);
  return names;
}

}  // namespace

double in_units(Amount amount) { return static_cast<double>(amount) / 1000; }

solver::Problem parse_problem(const std::string& text, const std::string& path) {
  const json document = settings::check(text, path, "problem");
  const Location root{path, ""};
  solver::Problem problem;
  problem.seed = document.value("seed", std::uint64_t{1});
  problem.tie_tolerance_permille = static_cast<int>(std::lround(document.value("near", 0.01) * 1000));
  problem.zones = sorted_names(document["zones"], root / "zones", false);
  const auto nodes = sorted_names(document["nodes"], root / "nodes", true);
  const auto volumes = sorted_names(document["volumes"], root / "volumes", true);
  problem.nodes.resize(nodes.size());
  problem.volumes.resize(volumes.size());
  int i = 0;
  for (const json& n : document["nodes"]) {
    const Location location = root / "nodes" / std::to_string(i++);
    solver::Node node;
    node.name = n["name"];
    node.zone = index_of(problem.zones, n["zone"]);
    if (node.zone < 0) (location / "zone").fail("unknown zone '" + n["zone"].get<std::string>() + "'");
    node.capacity = parse_amount(n, "capacity", 0, location);
    node.cost = n.value("cost", 0);
    problem.nodes[index_of(nodes, node.name)] = node;
  }
  const FailureDomain default_failure_domain = parse_failure_domain(document, FailureDomain::none);
  i = 0;
  for (const json& v : document["volumes"]) {
    const Location location = root / "volumes" / std::to_string(i++);
    solver::Volume volume;
    volume.name = v["name"];
    volume.demand = parse_amount(v, "demand", 0, location);
    volume.reserve = parse_amount(v, "reserve", 0, location);
    volume.weight = parse_amount(v, "weight", 1, location);
    volume.node_count = volume.min_node_count = v.value("nodes", 1);
    volume.min_zones = v.value("zones", 1);
    if (volume.min_zones > volume.node_count) (location / "zones").fail("more than the volume's nodes");
    volume.tolerated_failure = parse_failure_domain(v, default_failure_domain);
    volume.move_cost = v.value("move_cost", 1);
    if (v.contains("present")) {
      volume.is_placed = true;
      for (const std::string& name : sorted_names(v["present"], location / "present", false)) {
        const int n = index_of(nodes, name);
        if (n < 0) (location / "present").fail("unknown node '" + name + "'");
        volume.current_nodes.push_back(n);
      }
    }
    problem.volumes[index_of(volumes, volume.name)] = volume;
  }
  i = 0;
  for (const json& set : document.value("apart", json::array())) {
    const Location location = root / "apart" / std::to_string(i++);
    std::vector<int> members;
    for (const std::string& name : sorted_names(set, location, false)) {
      members.push_back(index_of(volumes, name));
      if (members.back() < 0) location.fail("unknown volume '" + name + "'");
    }
    problem.anti_affinity.push_back(members);
  }
  std::sort(problem.anti_affinity.begin(), problem.anti_affinity.end());
  problem.anti_affinity.erase(std::unique(problem.anti_affinity.begin(), problem.anti_affinity.end()),
                              problem.anti_affinity.end());
  return problem;
}

solver::Problem load_problem(const std::string& path) {
  std::string text;
  if (const std::string error = read_file(path, text); !error.empty()) throw SettingsError(error);
  return parse_problem(text, path);
}

void apply_membership(solver::Problem& problem, const std::string& path) {
  const json document = settings::load(path, "members");
  const Location root{path, "/nodes"};
  static_cast<void>(sorted_names(document["nodes"], root, true));
  const std::vector<std::string> old_names = node_names(problem);
  std::map<std::string, solver::Node> available_nodes;
  int i = 0;
  for (const json& n : document["nodes"]) {
    const Location location = root / std::to_string(i++);
    const std::string name = n["name"];
    const std::string state = n.value("state", "ready");
    const int known = index_of(old_names, name);
    solver::Node node = known >= 0 ? problem.nodes[known] : solver::Node{};
    node.name = name;
    if (known < 0 && (!n.contains("zone") || !n.contains("capacity")))
      location.fail("a new node needs its zone and capacity");
    if (n.contains("zone")) node.zone = index_of(problem.zones, n["zone"]);
    if (node.zone < 0) (location / "zone").fail("unknown zone '" + n["zone"].get<std::string>() + "'");
    if (n.contains("capacity")) node.capacity = parse_amount(n, "capacity", 0, location);
    if (n.contains("cost")) node.cost = n["cost"];
    if (state == "slow" && !n.contains("part"))
      location.fail("a slow node needs the part of its capacity that is left");
    if (state != "slow" && n.contains("part")) (location / "part").fail("only for a slow node");
    if (n.contains("part"))
      node.capacity = static_cast<Amount>(static_cast<double>(node.capacity) * n["part"].get<double>());
    if (state == "ready" || state == "slow") available_nodes[name] = node;
  }
  if (available_nodes.empty()) root.fail("no available node is left");
  std::vector<int> new_index(old_names.size(), -1);
  problem.nodes.clear();
  for (auto& [name, node] : available_nodes) {
    if (const int old = index_of(old_names, name); old >= 0)
      new_index[old] = static_cast<int>(problem.nodes.size());
    problem.nodes.push_back(node);
  }
  for (solver::Volume& v : problem.volumes) {
    std::vector<int> remaining;
    for (int n : v.current_nodes)
      if (new_index[n] >= 0) remaining.push_back(new_index[n]);
    v.current_nodes = remaining;
  }
}

void apply_current_plan(solver::Problem& problem, const Plan& plan) {
  const std::vector<std::string> nodes = node_names(problem);
  for (solver::Volume& v : problem.volumes) {
    const auto it =
        std::lower_bound(plan.volumes.begin(), plan.volumes.end(), v.name,
                         [](const VolumeAssignment& x, const std::string& name) { return x.name < name; });
    if (it == plan.volumes.end() || it->name != v.name) continue;
    v.is_placed = true;
    v.current_nodes.clear();
    for (const std::string& name : it->nodes)
      if (const int n = index_of(nodes, name); n >= 0) v.current_nodes.push_back(n);
  }
}

json problem_json(const solver::Problem& problem) {
  json all = {{"seed", problem.seed},
              {"near", problem.tie_tolerance_permille / 1000.0},
              {"zones", problem.zones},
              {"nodes", json::array()}};
  all["volumes"] = json::array();
  for (const auto& n : problem.nodes)
    all["nodes"].push_back({{"name", n.name},
                            {"zone", problem.zones[n.zone]},
                            {"capacity", in_units(n.capacity)},
                            {"cost", n.cost}});
  for (const auto& v : problem.volumes) {
    json entry = {{"name", v.name},
                  {"demand", in_units(v.demand)},
                  {"reserve", in_units(v.reserve)},
                  {"nodes", v.node_count},
                  {"weight", in_units(v.weight)},
                  {"zones", v.min_zones},
                  {"keep", failure_domain_name(v.tolerated_failure)},
                  {"move_cost", v.move_cost}};
    if (v.is_placed) {
      entry["present"] = json::array();
      for (int n : v.current_nodes) entry["present"].push_back(problem.nodes[n].name);
    }
    all["volumes"].push_back(entry);
  }
  for (const auto& set : problem.anti_affinity) {
    json names = json::array();
    for (int v : set) names.push_back(problem.volumes[v].name);
    all["apart"].push_back(names);
  }
  return all;
}

}  // namespace yewmount::plans
