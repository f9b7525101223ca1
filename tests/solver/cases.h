// Random problem files: small ones with many ties, zones and infeasible constraints, and large ones.
#pragma once
#include <nlohmann/json.hpp>
#include <random>

#include "plans/problem.h"

namespace yewmount::tests {

using nlohmann::json;

struct RandomSource {
  std::ranlux24_base engine;
  int between(int low, int high) {
    return low + static_cast<int>(engine() % static_cast<unsigned>(high - low + 1));
  }
  template <class T>
  T pick(std::initializer_list<T> all) {
    return *(all.begin() + between(0, static_cast<int>(all.size()) - 1));
  }
  bool one_in(int n) { return between(1, n) == 1; }
};

inline json small_case(unsigned seed) {
  RandomSource random{std::ranlux24_base(seed)};
  json p = {{"seed", seed}, {"zones", json::array()}, {"nodes", json::array()}, {"volumes", json::array()}};
  const int zones = random.between(1, 3);
  const int nodes = random.between(1, 4);
  const int volumes = random.between(1, 8);
  for (int z = 0; z < zones; ++z) p["zones"].push_back("z" + std::to_string(z));
  // Round amounts produce ties.
  const bool use_round_amounts = random.one_in(2);
  const bool has_costs = random.one_in(2);
  const bool has_placement = random.one_in(2);
  const bool has_spare_capacity = random.one_in(3);
  for (int n = 0; n < nodes; ++n)
    p["nodes"].push_back(
        {{"name", "n" + std::to_string(n)},
         {"zone", "z" + std::to_string(random.between(0, zones - 1))},
         {"capacity", (use_round_amounts ? random.pick({40, 60, 60, 80}) : random.between(30, 99)) *
                          (has_spare_capacity ? 4 : 1)},
         {"cost", has_costs ? random.between(0, 3) : 0}});
  double placement_count = 1;
  for (int v = 0; v < volumes; ++v) {
    const int node_count = std::min(random.between(1, 3), random.one_in(12) ? 4 : nodes);
    json volume = {{"name", "v" + std::to_string(v)},
                   {"demand", use_round_amounts ? random.pick({10, 20, 30}) : random.between(1, 333) / 10.0},
                   {"reserve", random.one_in(3)    ? 0
                               : use_round_amounts ? random.pick({5, 10, 20})
                                                   : random.between(0, 200) / 10.0},
                   {"weight", random.pick({0.5, 1.0, 1.0, 2.0, 3.0})},
                   {"nodes", node_count},
                   {"zones", random.one_in(3) ? random.between(1, node_count) : 1},
                   {"keep", random.pick({"none", "none", "node", "zone"})},
                   {"move_cost", random.between(0, 3)}};
    if (has_placement && !random.one_in(4)) {
      volume["present"] = json::array();
      for (int n = 0; n < nodes; ++n)
        if (random.one_in(2)) volume["present"].push_back("n" + std::to_string(n));
    }
    const int choices = node_count == 1 || node_count == 3 ? 4 : node_count == 2 ? 6 : 1;
    if ((placement_count *= std::min(choices, 1 << nodes)) > 200000) break;
    p["volumes"].push_back(volume);
  }
  const int volume_count = static_cast<int>(p["volumes"].size());
  if (volume_count > 2 && random.one_in(3)) {
    json set = json::array();
    for (int v = 0; v < volume_count && set.size() < 3; ++v)
      if (random.one_in(2)) set.push_back("v" + std::to_string(v));
    if (set.size() > 1) p["apart"].push_back(set);
  }
  return p;
}

struct CaseSize {
  int volumes;
  int nodes;
  int zones;
  double demand_ratio = 0.9;  // total demand divided by total capacity
  const char* tolerated_failure = "node";
};

inline json large_case(unsigned seed, const CaseSize& size) {
  RandomSource random{std::ranlux24_base(seed)};
  json p = {{"seed", seed}, {"zones", json::array()}, {"nodes", json::array()}, {"volumes", json::array()}};
  p["keep"] = size.tolerated_failure;
  for (int z = 0; z < size.zones; ++z) p["zones"].push_back("z" + std::to_string(z));
  double capacity = 0;
  for (int n = 0; n < size.nodes; ++n) {
    const int node_capacity = random.pick({800, 1000, 1000, 1200, 2000});
    capacity += node_capacity;
    p["nodes"].push_back({{"name", "n" + std::to_string(1000 + n)},
                          {"zone", "z" + std::to_string(n % size.zones)},
                          {"capacity", node_capacity},
                          {"cost", random.between(1, 4)}});
  }
  // Volume sizes span two orders of magnitude.
  std::vector<double> sizes;
  double sum = 0;
  for (int v = 0; v < size.volumes; ++v)
    sum += sizes.emplace_back(std::pow(10.0, random.between(0, 200) / 100.0));
  for (int v = 0; v < size.volumes; ++v) {
    const double demand =
        std::round(sizes[static_cast<std::size_t>(v)] / sum * capacity * size.demand_ratio * 1000) / 1000;
    const int node_count = random.pick({2, 3, 3, 4});
    p["volumes"].push_back({{"name", "v" + std::to_string(100000 + v)},
                            {"demand", demand},
                            {"reserve", std::round(demand * random.pick({0.0, 0.3, 0.6}) * 1000) / 1000},
                            {"weight", random.pick({1.0, 1.0, 2.0})},
                            {"nodes", node_count},
                            {"zones", 2}});
  }
  return p;
}

inline solver::Problem problem_of(const json& document) {
  return plans::parse_problem(document.dump(), "case");
}

}  // namespace yewmount::tests
