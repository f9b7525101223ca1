#include "solver/model.h"

#include <algorithm>
#include <numeric>

#include "rules/containers.h"

namespace yewmount::solver {
namespace {

__extension__ typedef __int128 Wide;  // holds products of weights and levels without overflow

Amount demand_beyond_reserve(const Volume& v) { return std::max<Amount>(0, v.demand - v.reserve); }

// Returns the lowest level that meets the volume's whole demand.
Amount level_meeting_demand(const Volume& v) {
  return static_cast<Amount>((Wide{demand_beyond_reserve(v)} * 1000 + v.weight - 1) / v.weight);
}

}  // namespace

void NodeSet::add(int node) {
  int i = count++;
  for (; i > 0 && ids[i - 1] > node; --i) ids[i] = ids[i - 1];
  ids[i] = static_cast<std::int16_t>(node);
}

void NodeSet::remove(int node) {
  int kept = 0;
  for (int i = 0; i < count; ++i)
    if (ids[i] != node) ids[kept++] = ids[i];
  count = static_cast<std::int8_t>(kept);
}

Amount share_at(const Volume& v, Amount level) {
  const Wide share = Wide{v.weight} * level / 1000;
  return share < demand_beyond_reserve(v) ? static_cast<Amount>(share) : demand_beyond_reserve(v);
}

std::vector<Amount> level_grid(const Problem& problem) {
  Amount level = 0;
  for (const Volume& v : problem.volumes) level = std::max(level, level_meeting_demand(v));
  std::vector<Amount> all;
  for (; level > 0; level = std::min(level - 1, static_cast<Amount>(Wide{level} * 1000 /
                                                                    (1000 + problem.tie_tolerance_permille))))
    all.push_back(level);
  all.push_back(0);
  return all;
}

std::int64_t rank_of(const Volume& v, const Node& n) {
  return static_cast<std::int64_t>(stable_hash(v.name + '\n' + n.name) % 1000);
}

Amount demand_per_node(const Volume& v, int nodes) { return v.demand / nodes; }

std::int64_t cost_of(const Problem& problem, int v, const NodeSet& nodes) {
  const Amount demand = demand_per_node(problem.volumes[v], nodes.count);
  std::int64_t sum = 0;
  for (int n : nodes) sum += problem.nodes[n].cost * demand;
  return sum;
}

std::int64_t move_cost_of(const Problem& problem, int v, const NodeSet& nodes) {
  const Volume& volume = problem.volumes[v];
  if (!volume.is_placed) return 0;
  std::int64_t sum = 0;
  for (int n : nodes)
    if (!std::binary_search(volume.current_nodes.begin(), volume.current_nodes.end(), n))
      sum += volume.move_cost;
  return sum;
}

std::int64_t rank_of(const Problem& problem, int v, const NodeSet& nodes) {
  std::int64_t sum = 0;
  for (int n : nodes) sum += rank_of(problem.volumes[v], problem.nodes[n]);
  return sum;
}

std::int64_t uncapacitated_min_cost(const Problem& problem) {
  std::vector<std::int64_t> costs;
  for (const Node& n : problem.nodes) costs.push_back(n.cost);
  std::sort(costs.begin(), costs.end());
  std::int64_t sum = 0;
  for (const Volume& v : problem.volumes) {
    std::int64_t min_cost = INT64_MAX;
    std::int64_t cheapest_nodes = 0;  // cost per unit of the k cheapest nodes
    for (int k = 1; k <= std::min<int>(v.node_count, static_cast<int>(costs.size())); ++k) {
      cheapest_nodes += costs[static_cast<std::size_t>(k - 1)];
      if (k >= v.min_node_count) min_cost = std::min(min_cost, cheapest_nodes * demand_per_node(v, k));
    }
    if (min_cost != INT64_MAX) sum += min_cost;
  }
  return sum;
}

std::int64_t cost_step_width(const Problem& problem) {
  return std::max<std::int64_t>(1, uncapacitated_min_cost(problem) * problem.tie_tolerance_permille / 1000);
}

bool is_valid_node_set(const Problem& problem, int v, const NodeSet& nodes) {
  const Volume& volume = problem.volumes[v];
  if (nodes.count < volume.min_node_count || nodes.count > volume.node_count) return false;
  int zones = 0;
  for (int i = 0; i < nodes.count; ++i) {
    bool is_repeated = false;
    for (int j = 0; j < i; ++j)
      is_repeated |= problem.nodes[nodes.ids[j]].zone == problem.nodes[nodes.ids[i]].zone;
    zones += !is_repeated;
  }
  if (zones < volume.min_zones) return false;
  if (volume.reserve == 0 || volume.tolerated_failure == FailureDomain::none) return true;
  return nodes.count >= 2 && (volume.tolerated_failure == FailureDomain::node || zones >= 2);
}

std::vector<NodeSet> enumerate_node_sets(const Problem& problem, int v, const std::vector<int>& candidates,
                                         std::size_t max_count) {
  std::vector<NodeSet> all;
  NodeSet current;
  const std::function<void(std::size_t)> extend = [&](std::size_t i) {
    if (all.size() > max_count) return;
    if (current.count > 0 && is_valid_node_set(problem, v, current)) all.push_back(current);
    if (current.count == problem.volumes[v].node_count) return;
    for (; i < candidates.size(); ++i) {
      current.ids[current.count++] = static_cast<std::int16_t>(candidates[i]);
      extend(i + 1);
      --current.count;
    }
  };
  extend(0);
  return all;
}

NodeLoads::NodeLoads(const Problem& problem, Amount level)
    : problem_(&problem),
      loss_count_(static_cast<int>(problem.nodes.size() + problem.zones.size())),
      normal_(problem.nodes.size()),
      reserve_(problem.nodes.size()),
      extra_(problem.nodes.size() * static_cast<std::size_t>(loss_count_)) {
  for (const Volume& v : problem.volumes) share_.push_back(share_at(v, level));
}

void NodeLoads::change(int v, const NodeSet& nodes, int sign) {
  const Volume& volume = problem_->volumes[v];
  const Amount part = sign * volume.reserve * (kLoadScale / nodes.count);
  const Amount total = part + sign * share_[v] * (kLoadScale / nodes.count);
  for (int n : nodes) {
    reserve_[n] += part;
    normal_[n] += total;
  }
  if (volume.tolerated_failure == FailureDomain::none || volume.reserve == 0 || nodes.count < 2) return;
  const Amount extra_load = sign * extra_load_per_survivor(volume.reserve, nodes.count, 1);
  for (int n : nodes)
    for (int lost : nodes)
      if (lost != n) extra_[index(n, lost)] += extra_load;
  if (volume.tolerated_failure != FailureDomain::zone) return;
  for (int i = 0; i < nodes.count; ++i) {
    const int zone = problem_->nodes[nodes.ids[i]].zone;
    int lost = 0;     // nodes of the volume in this zone
    int earlier = 0;  // of these, nodes before index i: the zone has already been handled
    for (int j = 0; j < nodes.count; ++j) {
      if (problem_->nodes[nodes.ids[j]].zone != zone) continue;
      ++lost;
      earlier += j < i;
    }
    if (earlier > 0 || lost == nodes.count) continue;
    const Amount extra = sign * extra_load_per_survivor(volume.reserve, nodes.count, lost);
    for (int n : nodes)
      if (problem_->nodes[n].zone != zone)
        extra_[index(n, static_cast<int>(problem_->nodes.size()) + zone)] += extra;
  }
}

Amount NodeLoads::worst_extra(int node) const {
  const auto first = extra_.begin() + static_cast<std::ptrdiff_t>(index(node, 0));
  return *std::max_element(first, first + loss_count_);
}

Amount NodeLoads::excess(int node) const {
  const Amount capacity = problem_->nodes[node].capacity * kLoadScale;
  return std::max<Amount>(0, normal_[node] - capacity) +
         std::max<Amount>(0, reserve_[node] + worst_extra(node) - capacity);
}

Amount NodeLoads::excess() const {
  Amount sum = 0;
  for (int n = 0; n < static_cast<int>(problem_->nodes.size()); ++n) sum += excess(n);
  return sum;
}

bool satisfies_anti_affinity(const Problem& problem, const Placement& placement) {
  for (const auto& set : problem.anti_affinity)
    for (std::size_t i = 0; i < set.size(); ++i)
      for (std::size_t j = 0; j < i; ++j)
        for (int n : placement[set[i]])
          if (placement[set[j]].contains(n)) return false;
  return true;
}

namespace {

NodeLoads loads_of(const Problem& problem, const Placement& placement, Amount level) {
  NodeLoads loads(problem, level);
  for (int v = 0; v < static_cast<int>(placement.size()); ++v) loads.add(v, placement[v]);
  return loads;
}

// Binary search for the first index at which a monotonic predicate is true, or -1 if there is none.
template <class Predicate>
int first_true_index(int count, Predicate is_true) {
  int low = 0;  // the predicate is false below low and true from high on
  int high = count;
  while (low < high) {
    const int middle = low + (high - low) / 2;
    if (is_true(middle))
      high = middle;
    else
      low = middle + 1;
  }
  return low < count ? low : -1;
}

// Binary search for the largest value up to `max_value` at which a monotonic predicate is true. It must be
// true at 0.
template <class Predicate>
Amount last_true_value(Amount max_value, Predicate is_true) {
  Amount low = 0;
  Amount high = max_value;
  while (low < high) {
    const Amount middle = low + (high - low + 1) / 2;
    if (is_true(middle))
      low = middle;
    else
      high = middle - 1;
  }
  return low;
}

}  // namespace

bool is_feasible(const Problem& problem, const Placement& placement, Amount level) {
  for (int v = 0; v < static_cast<int>(placement.size()); ++v)
    if (!is_valid_node_set(problem, v, placement[v])) return false;
  return satisfies_anti_affinity(problem, placement) && loads_of(problem, placement, level).excess() == 0;
}

int best_step(const Problem& problem, const Placement& placement, const std::vector<Amount>& grid) {
  for (int v = 0; v < static_cast<int>(placement.size()); ++v)
    if (!is_valid_node_set(problem, v, placement[v])) return -1;
  if (!satisfies_anti_affinity(problem, placement)) return -1;
  return first_true_index(static_cast<int>(grid.size()),
                          [&](int i) { return loads_of(problem, placement, grid[i]).excess() == 0; });
}

Amount max_level(const Problem& problem, const Placement& placement, Amount upper_limit) {
  return last_true_value(upper_limit,
                         [&](Amount level) { return loads_of(problem, placement, level).excess() == 0; });
}

Objective objective_of(const Problem& problem, const Placement& placement, int step) {
  Objective f;
  f.level_step = step;
  for (int v = 0; v < static_cast<int>(placement.size()); ++v) {
    if (placement[v].count == 0) continue;
    f.cost += cost_of(problem, v, placement[v]);
    f.move_cost += move_cost_of(problem, v, placement[v]);
    f.rank += rank_of(problem, v, placement[v]);
  }
  f.cost_step = f.cost / cost_step_width(problem);
  return f;
}

// Water filling: the shares of all active volumes grow in proportion to their weights. At each event either a
// node becomes full or a volume's demand is met; the shares of the affected volumes are fixed from then on.
std::vector<Amount> max_min_fair_shares(const Problem& problem, const Placement& placement) {
  const std::size_t volumes = problem.volumes.size();
  const std::size_t nodes = problem.nodes.size();
  std::vector<double> remaining(nodes);  // free capacity of each node
  std::vector<double> fill_rate(nodes);  // growth of each node's load per level
  std::vector<double> share(volumes);
  std::vector<char> is_active(volumes);
  for (std::size_t n = 0; n < nodes; ++n) remaining[n] = static_cast<double>(problem.nodes[n].capacity);
  std::vector<std::vector<int>> volumes_on(nodes);
  std::vector<std::pair<double, int>> demand_levels;  // level at which a volume's demand is met
  for (std::size_t v = 0; v < volumes; ++v) {
    const Volume& volume = problem.volumes[v];
    const NodeSet& at = placement[v];
    for (int n : at) remaining[n] -= static_cast<double>(volume.reserve) / at.count;
    if (demand_beyond_reserve(volume) == 0) continue;
    is_active[v] = 1;
    demand_levels.emplace_back(
        static_cast<double>(demand_beyond_reserve(volume)) / static_cast<double>(volume.weight),
        static_cast<int>(v));
    for (int n : at) volumes_on[n].push_back(static_cast<int>(v));
    for (int n : at) fill_rate[n] += static_cast<double>(volume.weight) / at.count;
  }
  std::sort(demand_levels.begin(), demand_levels.end());
  double level = 0;
  const auto freeze = [&](int v) {
    if (!is_active[v]) return;
    is_active[v] = 0;
    const Volume& volume = problem.volumes[v];
    share[v] = std::min(level * static_cast<double>(volume.weight),
                        static_cast<double>(demand_beyond_reserve(volume)));
    for (int n : placement[v]) fill_rate[n] -= static_cast<double>(volume.weight) / placement[v].count;
  };
  const double min_fill_rate = 1e-6;  // lower rates are rounding errors
  for (std::size_t next = 0; next < demand_levels.size();) {
    if (!is_active[demand_levels[next].second]) {
      ++next;
      continue;
    }
    double next_level = demand_levels[next].first;
    int full_node = -1;
    for (std::size_t n = 0; n < nodes; ++n)
      if (fill_rate[n] > min_fill_rate && level + std::max(0.0, remaining[n]) / fill_rate[n] < next_level) {
        next_level = level + std::max(0.0, remaining[n]) / fill_rate[n];
        full_node = static_cast<int>(n);
      }
    for (std::size_t n = 0; n < nodes; ++n)
      if (fill_rate[n] > min_fill_rate) remaining[n] -= (next_level - level) * fill_rate[n];
    level = next_level;
    if (full_node < 0) {
      freeze(demand_levels[next].second);
      continue;
    }
    remaining[full_node] = 0;
    for (int v : volumes_on[full_node]) freeze(v);
  }
  std::vector<Amount> rounded;
  for (double s : share) rounded.push_back(static_cast<Amount>(s));
  return rounded;
}

// The relaxation is a max-flow from volumes to nodes in which a volume's arcs to all nodes have the same
// capacity. A cut is then a set of nodes, and among the sets of one size the nodes with the least capacity
// are the tightest. The flow into them must be at least what the other nodes can't take from a volume. With a
// loss, the survivors must carry all reserves that tolerate the loss. Their other load is ignored.
FlowCut check_flow_bound(const Problem& problem, Amount level) {
  const int nodes = static_cast<int>(problem.nodes.size());
  std::vector<int> order(problem.nodes.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(),
            [&](int x, int y) { return problem.nodes[x].capacity < problem.nodes[y].capacity; });
  FlowCut cut;
  // Scaled load of all volumes, indexed by their number of nodes. Volumes whose node count is relaxed count
  // as being on one node.
  using Need = std::array<Wide, kMaxNodesPerVolume + 1>;
  const auto violates_cut = [&](const Need& need, int loss, const std::function<bool(int)>& is_lost) {
    std::vector<int> survivors;
    for (int n : order)
      if (!is_lost(n)) survivors.push_back(n);
    Wide available = 0;
    for (std::size_t size = 1; size <= survivors.size(); ++size) {
      available += Wide{problem.nodes[survivors[size - 1]].capacity} * kLoadScale;
      Wide required = 0;
      const int others = static_cast<int>(survivors.size() - size);
      for (int k = 1; k <= kMaxNodesPerVolume; ++k)
        if (k > others) required += need[k] / k * (k - others);
      if (required <= available) continue;
      cut = {false,
             loss,
             {survivors.begin(), survivors.begin() + static_cast<std::ptrdiff_t>(size)},
             static_cast<Amount>(required / kLoadScale),
             static_cast<Amount>(available / kLoadScale)};
      std::sort(cut.nodes.begin(), cut.nodes.end());
      return true;
    }
    return false;
  };
  Need all{};
  Need kept_on_node_loss{};
  Need kept_on_zone_loss{};
  for (const Volume& v : problem.volumes) {
    const int k = v.min_node_count < v.node_count ? 1 : v.node_count;
    if (k > nodes && v.reserve > 0)
      continue;  // reported as a node count that can't be met, not as a capacity shortage
    all[k] += Wide{v.reserve + share_at(v, level)} * kLoadScale;
    // Each survivor carries more after a loss: a volume on k nodes may then have its whole load on k - 1.
    const int surviving_nodes = std::max(1, v.min_node_count < v.node_count ? 1 : k - 1);
    if (v.tolerated_failure >= FailureDomain::node)
      kept_on_node_loss[surviving_nodes] += Wide{v.reserve} * kLoadScale;
    if (v.tolerated_failure == FailureDomain::zone) kept_on_zone_loss[1] += Wide{v.reserve} * kLoadScale;
  }
  if (violates_cut(all, -1, [](int) { return false; })) return cut;
  for (int lost = 0; lost < nodes && nodes > 1; ++lost)
    if (violates_cut(kept_on_node_loss, lost, [&](int n) { return n == lost; })) return cut;
  for (int zone = 0; zone < static_cast<int>(problem.zones.size()) && problem.zones.size() > 1; ++zone)
    if (violates_cut(kept_on_zone_loss, nodes + zone, [&](int n) { return problem.nodes[n].zone == zone; }))
      return cut;
  // One zone can hold only some of the nodes of a volume that must span several; the other zones must have
  // capacity for the rest.
  for (int zone = 0; zone < static_cast<int>(problem.zones.size()) && problem.zones.size() > 1; ++zone) {
    Wide required = 0;
    Wide available = 0;
    int zone_size = 0;
    for (const Node& n : problem.nodes)
      if (n.zone == zone) ++zone_size;
    for (const Volume& v : problem.volumes) {
      if (v.min_node_count < v.node_count) continue;
      const int outside = std::max(v.min_zones - 1, v.node_count - zone_size);
      if (outside > 0) required += Wide{v.reserve + share_at(v, level)} * kLoadScale / v.node_count * outside;
    }
    for (int n = 0; n < nodes; ++n)
      if (problem.nodes[n].zone != zone) available += Wide{problem.nodes[n].capacity} * kLoadScale;
    if (required <= available) continue;
    cut = {false,
           -1,
           {},
           static_cast<Amount>(required / kLoadScale),
           static_cast<Amount>(available / kLoadScale)};
    for (int n = 0; n < nodes; ++n)
      if (problem.nodes[n].zone != zone) cut.nodes.push_back(n);
    return cut;
  }
  return cut;
}

int best_step_bound(const Problem& problem, const std::vector<Amount>& grid) {
  return first_true_index(static_cast<int>(grid.size()),
                          [&](int i) { return check_flow_bound(problem, grid[i]).may_be_feasible; });
}

Amount level_upper_bound(const Problem& problem, Amount upper_limit) {
  return last_true_value(upper_limit,
                         [&](Amount level) { return check_flow_bound(problem, level).may_be_feasible; });
}

std::int64_t cost_lower_bound(const Problem& problem, Amount level) {
  std::vector<const Node*> order;
  for (const Node& n : problem.nodes) order.push_back(&n);
  std::sort(order.begin(), order.end(), [](const Node* x, const Node* y) { return x->cost < y->cost; });
  Wide remaining = 0;  // load that is carried for certain; it fills the cheapest nodes up to their capacity
  Wide sum = 0;
  Wide total_expected = 0;  // the part beyond `remaining` is charged at the lowest cost of any node
  for (const Volume& v : problem.volumes) {
    const Amount expected =
        v.min_node_count < v.node_count ? 0 : demand_per_node(v, v.node_count) * v.node_count;
    total_expected += expected;
    remaining += std::min(expected, v.reserve + share_at(v, level));
  }
  const Wide extra = total_expected - remaining;
  if (!order.empty()) sum += extra * order.front()->cost;
  for (const Node* n : order) {
    const Wide carried = std::min<Wide>(remaining, n->capacity);
    sum += carried * n->cost;
    remaining -= carried;
  }
  return std::max(uncapacitated_min_cost(problem), static_cast<std::int64_t>(sum));
}

}  // namespace yewmount::solver
