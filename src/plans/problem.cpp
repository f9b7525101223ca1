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
using solver::Keep;

struct Where {
  std::string path, at;
  [[noreturn]] void bad(const std::string& why) const { throw SettingsError(path + ": " + at + ": " + why); }
  Where operator/(const std::string& part) const { return {path, at + '/' + part}; }
};

Amount amount(const json& holder, const char* key, double otherwise, const Where& where) {
  const double given = holder.value(key, otherwise) * 1000;
  const double whole = std::round(given);
  if (std::abs(given - whole) > 1e-6 * std::max(1.0, std::abs(given)))
    (where / key).bad("finer than a thousandth");
  return static_cast<Amount>(whole);
}

Keep keep(const json& holder, Keep otherwise) {
  if (!holder.contains("keep")) return otherwise;
  const std::string word = holder["keep"];
  return word == "zone" ? Keep::zone : word == "node" ? Keep::node : Keep::none;
}

const char* keep_word(Keep k) { return k == Keep::zone ? "zone" : k == Keep::node ? "node" : "none"; }

int index_of(const std::vector<std::string>& sorted, const std::string& name) {
  const auto it = std::lower_bound(sorted.begin(), sorted.end(), name);
  return it != sorted.end() && *it == name ? static_cast<int>(it - sorted.begin()) : -1;
}

std::vector<std::string> sorted_names(const json& list, const Where& where, bool objects) {
  std::vector<std::string> names;
  std::set<std::string> seen;
  int i = 0;
  for (const json& one : list) {
    const std::string name = objects ? one.at("name") : one;
    if (!seen.insert(name).second)
      (objects ? where / std::to_string(i) / "name" : where / std::to_string(i))
          .bad("'" + name + "' stands here twice");
    ++i;
  }
  names.assign(seen.begin(), seen.end());
  return names;
}

std::vector<std::string> node_names(const solver::Problem& p) {
  std::vector<std::string> names;
  for (const auto& n : p.nodes) names.push_back(n.name);
  return names;
}

}  // namespace

double in_units(Amount amount) { return static_cast<double>(amount) / 1000; }

solver::Problem read_problem(const std::string& text, const std::string& path) {
  const json given = settings::check(text, path, "problem");
  const Where top{path, ""};
  solver::Problem p;
  p.seed = given.value("seed", std::uint64_t{1});
  p.near = static_cast<int>(std::lround(given.value("near", 0.01) * 1000));
  p.zones = sorted_names(given["zones"], top / "zones", false);
  const auto nodes = sorted_names(given["nodes"], top / "nodes", true);
  const auto volumes = sorted_names(given["volumes"], top / "volumes", true);
  p.nodes.resize(nodes.size());
  p.volumes.resize(volumes.size());
  int i = 0;
  for (const json& n : given["nodes"]) {
    const Where here = top / "nodes" / std::to_string(i++);
    solver::Node node;
    node.name = n["name"];
    node.zone = index_of(p.zones, n["zone"]);
    if (node.zone < 0) (here / "zone").bad("unknown zone '" + n["zone"].get<std::string>() + "'");
    node.capacity = amount(n, "capacity", 0, here);
    node.cost = n.value("cost", 0);
    p.nodes[index_of(nodes, node.name)] = node;
  }
  const Keep usual = keep(given, Keep::none);
  i = 0;
  for (const json& v : given["volumes"]) {
    const Where here = top / "volumes" / std::to_string(i++);
    solver::Volume volume;
    volume.name = v["name"];
    volume.demand = amount(v, "demand", 0, here);
    volume.reserve = amount(v, "reserve", 0, here);
    volume.weight = amount(v, "weight", 1, here);
    volume.nodes = volume.nodes_least = v.value("nodes", 1);
    volume.zones = v.value("zones", 1);
    if (volume.zones > volume.nodes) (here / "zones").bad("more than the volume's nodes");
    volume.keep = keep(v, usual);
    volume.move_cost = v.value("move_cost", 1);
    if (v.contains("present")) {
      volume.placed = true;
      for (const std::string& name : sorted_names(v["present"], here / "present", false)) {
        const int n = index_of(nodes, name);
        if (n < 0) (here / "present").bad("unknown node '" + name + "'");
        volume.present.push_back(n);
      }
    }
    p.volumes[index_of(volumes, volume.name)] = volume;
  }
  i = 0;
  for (const json& set : given.value("apart", json::array())) {
    const Where here = top / "apart" / std::to_string(i++);
    std::vector<int> members;
    for (const std::string& name : sorted_names(set, here, false)) {
      members.push_back(index_of(volumes, name));
      if (members.back() < 0) here.bad("unknown volume '" + name + "'");
    }
    p.apart.push_back(members);
  }
  std::sort(p.apart.begin(), p.apart.end());
  p.apart.erase(std::unique(p.apart.begin(), p.apart.end()), p.apart.end());
  return p;
}

solver::Problem load_problem(const std::string& path) {
  std::string text;
  if (const std::string why = read_file(path, text); !why.empty()) throw SettingsError(why);
  return read_problem(text, path);
}

void take_members(solver::Problem& p, const std::string& path) {
  const json given = settings::load(path, "members");
  const Where top{path, "/nodes"};
  static_cast<void>(sorted_names(given["nodes"], top, true));
  const std::vector<std::string> before = node_names(p);
  std::map<std::string, solver::Node> there;
  int i = 0;
  for (const json& n : given["nodes"]) {
    const Where here = top / std::to_string(i++);
    const std::string name = n["name"], state = n.value("state", "ready");
    const int known = index_of(before, name);
    solver::Node node = known >= 0 ? p.nodes[known] : solver::Node{};
    node.name = name;
    if (known < 0 && (!n.contains("zone") || !n.contains("capacity")))
      here.bad("a new node needs its zone and capacity");
    if (n.contains("zone")) node.zone = index_of(p.zones, n["zone"]);
    if (node.zone < 0) (here / "zone").bad("unknown zone '" + n["zone"].get<std::string>() + "'");
    if (n.contains("capacity")) node.capacity = amount(n, "capacity", 0, here);
    if (n.contains("cost")) node.cost = n["cost"];
    if (state == "slow" && !n.contains("part")) here.bad("a slow node needs the part that it still bears");
    if (state != "slow" && n.contains("part")) (here / "part").bad("only for a slow node");
    if (n.contains("part"))
      node.capacity = static_cast<Amount>(static_cast<double>(node.capacity) * n["part"].get<double>());
    if (state == "ready" || state == "slow") there[name] = node;
  }
  if (there.empty()) top.bad("no node is left");
  std::vector<int> now(before.size(), -1);
  p.nodes.clear();
  for (auto& [name, node] : there) {
    if (const int old = index_of(before, name); old >= 0) now[old] = static_cast<int>(p.nodes.size());
    p.nodes.push_back(node);
  }
  for (solver::Volume& v : p.volumes) {
    std::vector<int> left;
    for (int n : v.present)
      if (now[n] >= 0) left.push_back(now[n]);
    v.present = left;
  }
}

void take_present(solver::Problem& p, const Plan& plan) {
  const std::vector<std::string> nodes = node_names(p);
  for (solver::Volume& v : p.volumes) {
    const auto it = std::lower_bound(plan.volumes.begin(), plan.volumes.end(), v.name,
                                     [](const Planned& x, const std::string& name) { return x.name < name; });
    if (it == plan.volumes.end() || it->name != v.name) continue;
    v.placed = true;
    v.present.clear();
    for (const std::string& name : it->nodes)
      if (const int n = index_of(nodes, name); n >= 0) v.present.push_back(n);
  }
}

json problem_json(const solver::Problem& p) {
  json all = {{"seed", p.seed}, {"near", p.near / 1000.0}, {"zones", p.zones}, {"nodes", json::array()}};
  all["volumes"] = json::array();
  for (const auto& n : p.nodes)
    all["nodes"].push_back(
        {{"name", n.name}, {"zone", p.zones[n.zone]}, {"capacity", in_units(n.capacity)}, {"cost", n.cost}});
  for (const auto& v : p.volumes) {
    json one = {{"name", v.name},
                {"demand", in_units(v.demand)},
                {"reserve", in_units(v.reserve)},
                {"nodes", v.nodes},
                {"weight", in_units(v.weight)},
                {"zones", v.zones},
                {"keep", keep_word(v.keep)},
                {"move_cost", v.move_cost}};
    if (v.placed) {
      one["present"] = json::array();
      for (int n : v.present) one["present"].push_back(p.nodes[n].name);
    }
    all["volumes"].push_back(one);
  }
  for (const auto& set : p.apart) {
    json names = json::array();
    for (int v : set) names.push_back(p.volumes[v].name);
    all["apart"].push_back(names);
  }
  return all;
}

}  // namespace yewmount::plans
