// The data model of the capacity planner: nodes, volumes, placements, and the functions that evaluate a
// placement. It uses no solver library and does no I/O. Amounts are integers in thousandths, so that
// independent implementations agree exactly.
//
// A volume is placed on a fixed number of nodes and its load is spread evenly over them. When some of them
// fail, the survivors share the whole reserve evenly. docs/design/solver.md compares this with alternatives.
#pragma once
#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace yewmount::solver {

using Amount = std::int64_t;  // thousandths of a unit a second, or of a weight

constexpr int kMaxNodesPerVolume = 10;
// Loads are scaled by this common multiple of 1 to kMaxNodesPerVolume, so that a node's part is an integer.
constexpr Amount kLoadScale = 2520;

// The failure through which a volume's reserve must stay available.
enum class FailureDomain : std::uint8_t { none, node, zone };

struct Node {
  std::string name;
  int zone = 0;
  Amount capacity = 0;
  std::int64_t cost = 0;  // per unit a second of expected demand; cost sums are in thousandths
};

struct Volume {
  std::string name;
  Amount demand = 0;
  Amount reserve = 0;
  Amount weight = 1000;
  int node_count = 1;      // number of nodes the volume is placed on
  int min_zones = 1;       // number of distinct zones these nodes must span
  int min_node_count = 1;  // less than node_count only where the node count constraint is relaxed
  FailureDomain tolerated_failure = FailureDomain::none;
  std::int64_t move_cost = 1;      // for each node that does not hold the volume yet
  std::vector<int> current_nodes;  // nodes that hold the volume now and still exist; sorted
  bool is_placed = false;          // whether the volume has a current placement
};

// Nodes, volumes and zones are each sorted by name, so that the order in the input has no effect.
struct Problem {
  std::vector<std::string> zones;
  std::vector<Node> nodes;
  std::vector<Volume> volumes;
  std::vector<std::vector<int>> anti_affinity;  // sets of volumes of which no two may share a node
  int tie_tolerance_permille = 10;              // levels or costs that differ by less count as equal
  std::uint64_t seed = 1;
};

// The nodes of one volume, in ascending order.
struct NodeSet {
  std::array<std::int16_t, kMaxNodesPerVolume> ids{};
  std::int8_t count = 0;

  const std::int16_t* begin() const { return ids.data(); }
  const std::int16_t* end() const { return ids.data() + count; }
  bool contains(int node) const {
    for (int n : *this)
      if (n == node) return true;
    return false;
  }
  void add(int node);
  void remove(int node);
  bool operator==(const NodeSet& o) const {
    return count == o.count && std::equal(begin(), end(), o.begin());
  }
};

using Placement = std::vector<NodeSet>;  // indexed by volume

// Returns the part of the volume's demand beyond its reserve that it gets at a level, which is the amount
// beyond the reserve per unit of weight.
Amount share_at(const Volume& v, Amount level);

// Returns the discrete levels that the planner distinguishes, in descending order. The first meets every
// demand, each later one is lower by the tie tolerance, and the last is 0. Levels count as equal by this grid
// and by no other rule.
std::vector<Amount> level_grid(const Problem& problem);

// The lexicographic objective, minimized in the order of the members. docs/operate/plans.md documents the
// same order for operators.
struct Objective {
  int level_step = 0;          // index into level_grid() of the lowest volume's level
  std::int64_t cost_step = 0;  // cost in units of cost_step_width()
  std::int64_t move_cost = 0;  // move costs of all nodes that volumes are newly placed on
  std::int64_t cost = 0;
  std::int64_t rank = 0;  // final tie-breaker: the sum of fixed ranks of (volume, node) pairs
  auto operator<=>(const Objective&) const = default;
};

// Returns a rank of 0 to 999 that depends on the two names alone.
std::int64_t rank_of(const Volume& v, const Node& n);
// Returns the demand expected at each node where the volume is on that many nodes.
Amount demand_per_node(const Volume& v, int nodes);
// Returns the cost of the volume's expected demand on these nodes.
std::int64_t cost_of(const Problem& problem, int v, const NodeSet&);
std::int64_t move_cost_of(const Problem& problem, int v, const NodeSet&);
std::int64_t rank_of(const Problem& problem, int v, const NodeSet&);
// Returns a lower bound on the cost of any placement that ignores capacities.
std::int64_t uncapacitated_min_cost(const Problem& problem);
// Returns the width of a cost step, at least 1.
std::int64_t cost_step_width(const Problem& problem);

// Returns whether the volume may be placed on these nodes, regardless of other volumes.
bool is_valid_node_set(const Problem& problem, int v, const NodeSet& nodes);
// Returns the valid node sets of a volume out of `candidates` (ascending). Stops once there are more than
// `max_count`.
std::vector<NodeSet> enumerate_node_sets(const Problem& problem, int v, const std::vector<int>& candidates,
                                         std::size_t max_count);

// The load of each node, updated incrementally as volumes are added and removed. Loads are scaled by
// kLoadScale. A loss is identified by the index of the lost node, or by the number of nodes plus the index of
// the lost zone.
class NodeLoads {
 public:
  NodeLoads(const Problem& problem, Amount level);
  void add(int v, const NodeSet& nodes) { change(v, nodes, 1); }
  void remove(int v, const NodeSet& nodes) { change(v, nodes, -1); }

  // Returns by how much a node's load exceeds its capacity: the excess without a loss plus the excess at its
  // worst loss. 0 means that the node has enough capacity.
  Amount excess(int node) const;
  Amount excess() const;
  Amount normal(int node) const { return normal_[node]; }    // reserves and shares
  Amount reserve(int node) const { return reserve_[node]; }  // reserves alone
  // Returns the load that a loss adds to the node's reserves.
  Amount extra(int node, int loss) const { return extra_[index(node, loss)]; }
  Amount worst_extra(int node) const;  // the maximum of extra() over all losses
  int loss_count() const { return loss_count_; }

 private:
  std::size_t index(int node, int loss) const {
    return static_cast<std::size_t>(node) * static_cast<std::size_t>(loss_count_) +
           static_cast<std::size_t>(loss);
  }
  void change(int v, const NodeSet& nodes, int sign);

  const Problem* problem_;
  int loss_count_;
  std::vector<Amount> share_;
  std::vector<Amount> normal_;
  std::vector<Amount> reserve_;
  std::vector<Amount> extra_;
};

// Returns the additional load, scaled by kLoadScale, of each surviving node when `lost` of `count` nodes
// fail.
inline Amount extra_load_per_survivor(Amount reserve, int count, int lost) {
  return reserve * (kLoadScale / (count - lost)) - reserve * (kLoadScale / count);
}

bool satisfies_anti_affinity(const Problem& problem, const Placement& placement);
// Returns whether the placement meets all constraints at that level: valid node sets, anti-affinity, and
// capacities without a loss and with each loss.
bool is_feasible(const Problem& problem, const Placement& placement, Amount level);
// Returns the best step of the grid at which the placement is feasible, or -1 if it is infeasible even at
// level 0.
int best_step(const Problem& problem, const Placement& placement, const std::vector<Amount>& grid);
// Returns the highest level up to `upper_limit` at which the placement is feasible. It must be feasible at 0.
Amount max_level(const Problem& problem, const Placement& placement, Amount upper_limit);
Objective objective_of(const Problem& problem, const Placement& placement, int step);

// Returns each volume's share beyond its reserve: the weighted max-min fair allocation for this placement.
std::vector<Amount> max_min_fair_shares(const Problem& problem, const Placement& placement);

// The result of the flow bound. Where it is infeasible, it names a set of nodes that is too small.
struct FlowCut {
  bool may_be_feasible = true;
  int loss = -1;           // the loss under which the cut is violated, as in NodeLoads; -1: without a loss
  std::vector<int> nodes;  // the nodes that together lack capacity
  Amount needed = 0;       // thousandths of a unit a second
  Amount available = 0;    // thousandths of a unit a second
};
// Checks a max-flow relaxation (volumes to nodes), with and without each loss. False proves that no placement
// is feasible at that level; true proves nothing.
FlowCut check_flow_bound(const Problem& problem, Amount level);
// Returns the best step of the grid that the flow bound allows, or -1 if it excludes all of them.
int best_step_bound(const Problem& problem, const std::vector<Amount>& grid);
// Returns the highest level up to `upper_limit` that the flow bound allows. It must allow 0.
Amount level_upper_bound(const Problem& problem, Amount upper_limit);
// Returns a lower bound on the cost of any placement that is feasible at the level. Unlike
// uncapacitated_min_cost() it respects capacities.
std::int64_t cost_lower_bound(const Problem& problem, Amount level);

// The time limit of a search. The clock is injected by the caller.
struct Deadline {
  std::function<std::int64_t()> now = [] { return std::int64_t{0}; };
  std::int64_t end_us = INT64_MAX;
  bool has_passed() const { return now() >= end_us; }
};

}  // namespace yewmount::solver
