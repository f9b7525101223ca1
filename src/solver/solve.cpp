#include "solver/solve.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

#include "solver/exact.h"

namespace yewmount::solver {
namespace {

// Size of the neighbourhood that an exact step optimizes.
constexpr int kNeighbourhoodVolumes = 7;
constexpr int kNeighbourhoodNodes = 8;
constexpr std::size_t kMaxCandidatesPerVolume = 40;
constexpr int kNeighbourhoodTreeNodes = 40;  // limit of branch and bound nodes
// Samples of a local search move.
constexpr int kMaxTargetNodes = 10;
constexpr int kMaxSampledVolumes = 16;
constexpr int kMaxPerturbationTries = 8;
constexpr int kMaxStalls = 12;  // exact steps without improvement before the search gives up on a level
// Final improvement at the best level.
constexpr int kMaxImprovementPasses = 40;
constexpr int kMaxIdlePasses = 2;
constexpr int kExactStepsPerPass = 8;

std::vector<int> all_nodes(const Problem& problem) {
  std::vector<int> all(problem.nodes.size());
  std::iota(all.begin(), all.end(), 0);
  return all;
}

std::int64_t min_move_cost(const Problem& problem) {
  std::int64_t sum = 0;
  for (const Volume& v : problem.volumes)
    if (v.is_placed)
      sum += v.move_cost * std::max(0, v.min_node_count - static_cast<int>(v.current_nodes.size()));
  return sum;
}

// Extends `chosen` to the volume's node count with the best nodes by `better`. Meets the zone constraint and
// avoids forbidden nodes where possible.
template <class Better>
NodeSet choose_nodes(const Problem& problem, int v, const std::vector<char>& is_forbidden, NodeSet chosen,
                     Better better) {
  const Volume& volume = problem.volumes[v];
  const bool needs_two_zones = volume.reserve > 0 && volume.tolerated_failure == FailureDomain::zone;
  const int wanted_zones = std::min(volume.node_count, std::max(volume.min_zones, needs_two_zones ? 2 : 1));
  std::vector<char> has_zone(problem.zones.size());
  int zones = 0;
  for (int n : chosen) {
    zones += !has_zone[problem.nodes[n].zone];
    has_zone[problem.nodes[n].zone] = 1;
  }
  while (chosen.count < std::min<int>(volume.node_count, static_cast<int>(problem.nodes.size()))) {
    int best = -1;
    // If each remaining node must be in a new zone, skip zones that are already used. The first pass applies
    // all rules, the second drops the zone rule, and the third also allows forbidden nodes.
    const bool needs_new_zone = wanted_zones - zones >= volume.node_count - chosen.count;
    for (int pass = 0; pass < 3 && best < 0; ++pass)
      for (int n = 0; n < static_cast<int>(problem.nodes.size()); ++n) {
        if (chosen.contains(n) || (pass < 2 && is_forbidden[n])) continue;
        if (pass < 1 && needs_new_zone && has_zone[problem.nodes[n].zone]) continue;
        if (best < 0 || better(n, best)) best = n;
      }
    if (best < 0) break;
    zones += !has_zone[problem.nodes[best].zone];
    has_zone[problem.nodes[best].zone] = 1;
    chosen.add(best);
  }
  return chosen;
}

std::vector<int> volumes_by_size(const Problem& problem) {
  std::vector<int> order(problem.volumes.size());
  std::iota(order.begin(), order.end(), 0);
  const auto size = [&](int v) {
    return std::max(problem.volumes[v].demand, problem.volumes[v].reserve) /
           std::max(1, problem.volumes[v].node_count);
  };
  std::stable_sort(order.begin(), order.end(), [&](int x, int y) { return size(x) > size(y); });
  return order;
}

// Local search with exact optimization of small neighbourhoods.
class Search {
 public:
  Search(const Problem& problem, const SolveOptions& options, Solution& solution)
      : problem_(problem),
        options_(options),
        solution_(solution),
        random_(static_cast<std::uint32_t>(problem.seed ^ (problem.seed >> 32))),
        grid_(level_grid(problem)),
        loads_(problem, 0),
        volumes_on_(problem.nodes.size()),
        sets_of_volume_(problem.volumes.size()),
        cost_step_width_(cost_step_width(problem)),
        placement_(problem.volumes.size()) {
    for (int s = 0; s < static_cast<int>(problem.anti_affinity.size()); ++s)
      for (int v : problem.anti_affinity[s]) sets_of_volume_[v].push_back(s);
  }

  // Returns the best placement found and its level step, or -1 if no placement met the reserves. `bound` is a
  // lower bound of the step.
  std::pair<Placement, int> run(int bound) {
    build_initial_placement();
    const int last = static_cast<int>(grid_.size()) - 1;
    if (!repair(last)) return {placement_, -1};
    Placement best = placement_;
    int step = best_step(problem_, best, grid_);
    int low = std::max(0, bound);
    while (low < step && !options_.deadline.has_passed()) {
      const int middle = low + (step - low) / 2;
      reset(best, middle);
      if (repair(middle)) {
        best = placement_;
        step = std::min(middle, best_step(problem_, best, grid_));
      } else {
        low = middle + 1;
      }
    }
    reset(best, step);
    improve_objective();
    return {placement_, step};
  }

 private:
  int random_index(std::size_t count) { return static_cast<int>(random_() % count); }
  bool is_time_over() {
    if (solution_.moves_tried++ % 64 == 0 && options_.deadline.has_passed())
      solution_.finished_in_time = false;
    return !solution_.finished_in_time;
  }

  void place(int v, const NodeSet& nodes) {
    placement_[v] = nodes;
    if (nodes.count == 0) return;
    loads_.add(v, nodes);
    for (int n : nodes) volumes_on_[n].push_back(v);
    cost_ += cost_of(problem_, v, nodes);
    move_cost_ += move_cost_of(problem_, v, nodes);
    rank_ += rank_of(problem_, v, nodes);
  }
  void unplace(int v) {
    const NodeSet nodes = placement_[v];
    if (nodes.count == 0) return;
    loads_.remove(v, nodes);
    for (int n : nodes) {
      auto& volumes = volumes_on_[n];
      *std::find(volumes.begin(), volumes.end(), v) = volumes.back();
      volumes.pop_back();
    }
    cost_ -= cost_of(problem_, v, nodes);
    move_cost_ -= move_cost_of(problem_, v, nodes);
    rank_ -= rank_of(problem_, v, nodes);
    placement_[v] = {};
  }

  void reset(const Placement& placement, int step) {
    level_ = grid_[step];
    loads_ = NodeLoads(problem_, level_);
    for (auto& volumes : volumes_on_) volumes.clear();
    cost_ = move_cost_ = rank_ = 0;
    for (int v = 0; v < static_cast<int>(placement.size()); ++v) place(v, placement[v]);
  }

  Objective objective() const { return {0, cost_ / cost_step_width_, move_cost_, cost_, rank_}; }

  bool keeps_anti_affinity(int v, const NodeSet& nodes) const {
    for (int s : sets_of_volume_[v])
      for (int other : problem_.anti_affinity[s])
        if (other != v)
          for (int n : nodes)
            if (placement_[other].contains(n)) return false;
    return true;
  }

  std::vector<char> forbidden_nodes(int v) const {
    std::vector<char> all(problem_.nodes.size());
    for (int s : sets_of_volume_[v])
      for (int other : problem_.anti_affinity[s])
        if (other != v)
          for (int n : placement_[other]) all[n] = 1;
    return all;
  }

  // Returns the load relative to the capacity: the higher of the normal load and the load at the worst loss.
  double utilization(int n) const {
    const double capacity = static_cast<double>(std::max<Amount>(1, problem_.nodes[n].capacity)) * kLoadScale;
    return static_cast<double>(std::max(loads_.normal(n), loads_.reserve(n) + loads_.worst_extra(n))) /
           capacity;
  }

  // Keeps current placements that are still valid. Places the other volumes by decreasing size on the least
  // utilized nodes.
  void build_initial_placement() {
    reset(Placement(problem_.volumes.size()), static_cast<int>(grid_.size()) - 1);
    loads_ =
        NodeLoads(problem_, grid_[0]);  // the full demand, so that it is balanced as well as the reserves
    const std::vector<int> order = volumes_by_size(problem_);
    std::vector<int> unplaced;
    for (int v : order) {
      NodeSet kept;
      for (int n : problem_.volumes[v].current_nodes)
        if (kept.count < problem_.volumes[v].node_count) kept.add(n);
      if (is_valid_node_set(problem_, v, kept) && keeps_anti_affinity(v, kept))
        place(v, kept);
      else
        unplaced.push_back(v);
    }
    for (int v : unplaced) {
      NodeSet kept;
      const std::vector<char> is_forbidden = forbidden_nodes(v);
      for (int n : problem_.volumes[v].current_nodes)
        if (kept.count < problem_.volumes[v].node_count && !is_forbidden[n]) kept.add(n);
      const auto less_utilized = [&](int x, int y) { return utilization(x) < utilization(y); };
      NodeSet chosen = choose_nodes(problem_, v, is_forbidden, kept, less_utilized);
      if (!is_valid_node_set(problem_, v, chosen))
        chosen = choose_nodes(problem_, v, is_forbidden, NodeSet{}, less_utilized);
      place(v, chosen);
    }
    const Placement initial = placement_;
    reset(initial, static_cast<int>(grid_.size()) - 1);
  }

  struct Move {
    int v = -1;  // -1: no move
    NodeSet to;
  };

  // Applies one or two moves together and reverts them unless they are valid and
  // `better(excess before, excess after, objective before)` returns true.
  template <class Better>
  bool try_move(const Move& first, const Move& second, Better better) {
    NodeSet touched = first.v >= 0 ? placement_[first.v] : NodeSet{};
    std::vector<int> nodes(touched.begin(), touched.end());
    const auto add_touched = [&](const NodeSet& other_nodes) {
      for (int n : other_nodes)
        if (std::find(nodes.begin(), nodes.end(), n) == nodes.end()) nodes.push_back(n);
    };
    add_touched(first.to);
    const NodeSet old_first = placement_[first.v];
    const NodeSet old_second = second.v >= 0 ? placement_[second.v] : NodeSet{};
    if (second.v >= 0) {
      add_touched(old_second);
      add_touched(second.to);
    }
    const auto excess = [&] {
      Amount all = 0;
      for (int n : nodes) all += loads_.excess(n);
      return all;
    };
    const Amount before = excess();
    const Objective previous = objective();
    unplace(first.v);
    if (second.v >= 0) unplace(second.v);
    place(first.v, first.to);
    if (second.v >= 0) place(second.v, second.to);
    const bool is_valid =
        is_valid_node_set(problem_, first.v, first.to) && keeps_anti_affinity(first.v, first.to) &&
        (second.v < 0 ||
         (is_valid_node_set(problem_, second.v, second.to) && keeps_anti_affinity(second.v, second.to)));
    if (is_valid && better(before, excess(), previous)) return true;
    unplace(first.v);
    if (second.v >= 0) unplace(second.v);
    place(first.v, old_first);
    if (second.v >= 0) place(second.v, old_second);
    return false;
  }

  NodeSet replace_node(int v, int from, int to) const {
    NodeSet n = placement_[v];
    n.remove(from);
    n.add(to);
    return n;
  }

  std::vector<int> nodes_by_utilization() const {
    std::vector<std::pair<double, int>> order;
    for (int n = 0; n < static_cast<int>(problem_.nodes.size()); ++n) order.emplace_back(utilization(n), n);
    std::sort(order.begin(), order.end());
    std::vector<int> all;
    for (const auto& [load, n] : order) all.push_back(n);
    return all;
  }

  // Changes the placement until no node exceeds its capacity at that step. Returns false if the search stalls
  // or its time is over.
  bool repair(int step) {
    const Placement from = placement_;
    reset(from, step);
    if (!repair_node_sets()) return false;
    for (int stalls = 0;;) {
      int worst = -1;
      Amount max_excess = 0;
      for (int n = 0; n < static_cast<int>(problem_.nodes.size()); ++n)
        if (const Amount excess = loads_.excess(n); excess > max_excess) {
          max_excess = excess;
          worst = n;
        }
      if (worst < 0) return true;
      if (is_time_over() || stalls > kMaxStalls) return false;
      if (reduce_excess(worst)) continue;
      if (optimize_neighbourhood(worst, MipGoal::feasibility)) {
        stalls = 0;
        continue;
      }
      ++stalls;
      perturb(worst);
    }
  }

  // Places each volume with an invalid node set or a violated anti-affinity again, regardless of the load.
  bool repair_node_sets() {
    for (int v = 0, repairs = 0; v < static_cast<int>(placement_.size()); ++v) {
      if (is_valid_node_set(problem_, v, placement_[v]) && keeps_anti_affinity(v, placement_[v])) continue;
      unplace(v);
      const NodeSet chosen = choose_nodes(problem_, v, forbidden_nodes(v), NodeSet{},
                                          [&](int x, int y) { return utilization(x) < utilization(y); });
      place(v, chosen);
      if (is_valid_node_set(problem_, v, chosen) && keeps_anti_affinity(v, chosen)) continue;
      // Repairing one anti-affinity set may violate another, so the number of repairs is limited.
      if (++repairs > kMaxStalls || options_.deadline.has_passed() || !repair_anti_affinity(v)) return false;
      v = -1;
    }
    return true;
  }

  // Optimizes the volume together with all members of its anti-affinity sets, because these may have to move
  // first.
  bool repair_anti_affinity(int v) {
    std::vector<int> group{v};
    for (int s : sets_of_volume_[v])
      for (int other : problem_.anti_affinity[s])
        if (std::find(group.begin(), group.end(), other) == group.end()) group.push_back(other);
    if (!is_valid_node_set(problem_, v, placement_[v]) && group.size() == 1) return false;
    std::vector<int> nodes = nodes_by_utilization();
    std::size_t total_count = 0;
    for (int g : group) total_count += static_cast<std::size_t>(problem_.volumes[g].node_count);
    nodes.resize(std::min(nodes.size(), std::max<std::size_t>(total_count + 2, kNeighbourhoodNodes)));
    return optimize_volumes(group, nodes, MipGoal::feasibility) &&
           is_valid_node_set(problem_, v, placement_[v]) && keeps_anti_affinity(v, placement_[v]);
  }

  // Moves or swaps volumes of the most overloaded node. Returns true after the first move that reduces the
  // excess.
  bool reduce_excess(int worst) {
    const std::vector<int> targets = nodes_by_utilization();
    const int target_count = std::min<int>(kMaxTargetNodes, static_cast<int>(targets.size()));
    const std::vector<int> volumes = volumes_on_[worst];
    if (volumes.empty()) return false;
    const auto has_less_excess = [](Amount before, Amount after, const Objective&) { return after < before; };
    const int tries = std::min<int>(kMaxSampledVolumes, static_cast<int>(volumes.size()));
    const std::size_t from = random_() % volumes.size();
    for (int i = 0; i < tries; ++i) {
      const int v = volumes[(from + static_cast<std::size_t>(i)) % volumes.size()];
      for (int t = 0; t < target_count; ++t) {
        if (is_time_over()) return false;
        if (!placement_[v].contains(targets[t]) &&
            try_move({v, replace_node(v, worst, targets[t])}, {}, has_less_excess))
          return true;
      }
    }
    // Swap two volumes: a larger one leaves the node, a smaller one replaces it.
    for (int i = 0; i < tries; ++i) {
      const int v = volumes[(from + static_cast<std::size_t>(i)) % volumes.size()];
      for (int t = 0; t < target_count; ++t) {
        const int node = targets[t];
        if (placement_[v].contains(node)) continue;
        const std::vector<int> others = volumes_on_[node];
        for (int j = 0; j < std::min<int>(kMaxTargetNodes, static_cast<int>(others.size())); ++j) {
          const int w = others[static_cast<std::size_t>(random_index(others.size()))];
          if (is_time_over()) return false;
          if (w == v || placement_[w].contains(worst) || placement_[v].contains(node) ||
              !placement_[w].contains(node))
            continue;
          if (try_move({v, replace_node(v, worst, node)}, {w, replace_node(w, node, worst)}, has_less_excess))
            return true;
        }
      }
    }
    return false;
  }

  // Escapes a local optimum: moves a random volume of the node to a random other node. Later steps repair any
  // excess that this causes.
  void perturb(int worst) {
    for (int tries = 0; tries < kMaxPerturbationTries && !volumes_on_[worst].empty(); ++tries) {
      const int v = volumes_on_[worst][static_cast<std::size_t>(random_index(volumes_on_[worst].size()))];
      const int to = random_index(problem_.nodes.size());
      if (placement_[v].contains(to)) continue;
      if (try_move({v, replace_node(v, worst, to)}, {},
                   [](Amount, Amount, const Objective&) { return true; }))
        return;
    }
  }

  // Exact step: optimizes a few volumes of this and other nodes over this node, the least utilized nodes and
  // some random ones.
  bool optimize_neighbourhood(int node, MipGoal goal) {
    std::vector<int> nodes = nodes_by_utilization();
    nodes.resize(std::min<std::size_t>(nodes.size(), kNeighbourhoodNodes / 2));
    if (std::find(nodes.begin(), nodes.end(), node) == nodes.end()) nodes.push_back(node);
    while (static_cast<int>(nodes.size()) <
           std::min<int>(kNeighbourhoodNodes, static_cast<int>(problem_.nodes.size()))) {
      const int n = random_index(problem_.nodes.size());
      if (std::find(nodes.begin(), nodes.end(), n) == nodes.end()) nodes.push_back(n);
    }
    std::vector<int> group;
    const auto add_volumes_of = [&](int n, int max_count) {
      for (int tries = 0; tries < 3 * max_count && !volumes_on_[n].empty() &&
                          static_cast<int>(group.size()) < kNeighbourhoodVolumes;
           ++tries) {
        const int v = volumes_on_[n][static_cast<std::size_t>(random_index(volumes_on_[n].size()))];
        if (std::find(group.begin(), group.end(), v) != group.end()) continue;
        group.push_back(v);
        if (--max_count == 0) return;
      }
    };
    add_volumes_of(node, 3);
    for (int n : nodes)
      if (n != node) add_volumes_of(n, 1);
    return !group.empty() && optimize_volumes(group, nodes, goal);
  }

  // Exact step: optimizes the placement of a group of volumes over the given nodes while all others stay
  // fixed. For feasibility the new placement must reduce the excess; otherwise it must improve the objective
  // without any excess. If it does not, the old placement is kept.
  bool optimize_volumes(const std::vector<int>& group, std::vector<int> nodes, MipGoal goal) {
    std::sort(nodes.begin(), nodes.end());
    ++solution_.exact_steps;
    Placement old;
    std::vector<std::vector<NodeSet>> candidates;
    const Objective previous = objective();
    const Amount before = loads_.excess();
    for (int v : group) {
      old.push_back(placement_[v]);
      unplace(v);
    }
    for (std::size_t i = 0; i < group.size(); ++i) {
      std::vector<NodeSet> node_sets =
          enumerate_node_sets(problem_, group[i], nodes, kMaxCandidatesPerVolume);
      if (node_sets.size() > kMaxCandidatesPerVolume) node_sets.resize(kMaxCandidatesPerVolume);
      // The old node set stays a candidate if it is valid, even where it uses other nodes.
      if (is_valid_node_set(problem_, group[i], old[i]) &&
          std::find(node_sets.begin(), node_sets.end(), old[i]) == node_sets.end())
        node_sets.push_back(old[i]);
      candidates.push_back(std::move(node_sets));
    }
    MipSolver solver(problem_, level_, loads_, placement_, group, candidates);
    const MipResult result = solver.solve(goal, kNeighbourhoodTreeNodes, options_.deadline);
    if (result.node_sets) {
      for (std::size_t i = 0; i < group.size(); ++i) place(group[i], (*result.node_sets)[i]);
      if (goal == MipGoal::feasibility ? loads_.excess() < before || before == 0
                                       : loads_.excess() == 0 && objective() < previous)
        return true;
      for (int v : group) unplace(v);
    }
    for (std::size_t i = 0; i < group.size(); ++i) place(group[i], old[i]);
    return false;
  }

  // Improves cost, move cost and rank, in this order, without changing the level step.
  void improve_objective() {
    const auto better = [&](Amount before, Amount after, const Objective& previous) {
      return after == 0 && before == 0 && objective() < previous;
    };
    std::vector<int> order(problem_.volumes.size());
    std::iota(order.begin(), order.end(), 0);
    for (int pass = 0, idle_passes = 0; pass < kMaxImprovementPasses && idle_passes < kMaxIdlePasses;
         ++pass) {
      const Objective before = objective();
      std::shuffle(order.begin(), order.end(), random_);
      for (int v : order) {
        if (is_time_over()) return;
        move_back(v, better);
        move_to_cheaper_nodes(v, better);
      }
      for (int i = 0; i < kExactStepsPerPass && !is_time_over(); ++i)
        optimize_neighbourhood(random_index(problem_.nodes.size()),
                               pass % 2 == 0 ? MipGoal::cost : MipGoal::move_cost);
      // An improvement of the rank alone does not count: ranks keep improving for long but only break ties.
      const bool has_improved = move_cost_ < before.move_cost || before.cost - cost_ > before.cost / 1000;
      idle_passes = has_improved ? 0 : idle_passes + 1;
    }
  }

  // Moves a volume back to the nodes that hold it now.
  template <class Better>
  void move_back(int v, Better better) {
    const auto& old_nodes = problem_.volumes[v].current_nodes;
    const auto is_new = [&](int w, int n) {
      const auto& current_nodes = problem_.volumes[w].current_nodes;
      return !std::binary_search(current_nodes.begin(), current_nodes.end(), n);
    };
    for (int old_node : old_nodes) {
      if (placement_[v].contains(old_node)) continue;
      bool has_moved = false;
      const NodeSet nodes = placement_[v];
      for (int n : nodes) {
        if (!is_new(v, n)) continue;
        if ((has_moved = try_move({v, replace_node(v, n, old_node)}, {}, better))) break;
        // Swap with a volume that was newly placed on the old node.
        const std::vector<int> others = volumes_on_[old_node];
        for (int w : others) {
          if (w == v || placement_[w].contains(n) || !is_new(w, old_node)) continue;
          if ((has_moved =
                   try_move({v, replace_node(v, n, old_node)}, {w, replace_node(w, old_node, n)}, better)))
            break;
        }
        if (has_moved) break;
      }
    }
  }

  // Tries moves to nodes of equal or lower cost.
  template <class Better>
  void move_to_cheaper_nodes(int v, Better better) {
    const NodeSet nodes = placement_[v];
    const int count = static_cast<int>(problem_.nodes.size());
    for (int n : nodes)
      for (int i = 0; i < std::min(kMaxTargetNodes, count); ++i) {
        const int to = count <= kMaxTargetNodes ? i : random_index(problem_.nodes.size());
        if (placement_[v].contains(to) || !placement_[v].contains(n) ||
            problem_.nodes[to].cost > problem_.nodes[n].cost)
          continue;
        try_move({v, replace_node(v, n, to)}, {}, better);
      }
  }

  const Problem& problem_;
  const SolveOptions& options_;
  Solution& solution_;
  std::ranlux24_base random_;
  std::vector<Amount> grid_;
  NodeLoads loads_;
  std::vector<std::vector<int>> volumes_on_;      // by node
  std::vector<std::vector<int>> sets_of_volume_;  // anti-affinity sets of each volume
  std::int64_t cost_step_width_;
  std::int64_t cost_ = 0;
  std::int64_t move_cost_ = 0;
  std::int64_t rank_ = 0;
  Amount level_ = 0;
  Placement placement_;
};

// The result of the exact solver over all candidates of all volumes.
struct ExactResult {
  bool is_feasible = false;
  Placement placement;
  int step = -1;
};

// Returns nothing if there are too many candidates or the limits did not allow a proof.
std::optional<ExactResult> solve_exactly(const Problem& problem, const SolveOptions& options,
                                         const std::vector<Amount>& grid, int bound, Solution& solution,
                                         bool stop_at_first = false) {
  std::vector<int> volumes(problem.volumes.size());
  std::iota(volumes.begin(), volumes.end(), 0);
  std::vector<std::vector<NodeSet>> candidates;
  std::size_t candidate_count = 0;
  for (int v : volumes) {
    candidates.push_back(enumerate_node_sets(problem, v, all_nodes(problem),
                                             static_cast<std::size_t>(options.max_candidates)));
    if ((candidate_count += candidates.back().size()) > static_cast<std::size_t>(options.max_candidates))
      return {};
  }
  const Placement none(problem.volumes.size());
  const auto solve_at = [&](int step, MipGoal goal, std::int64_t cost, std::int64_t move_cost) {
    const NodeLoads empty(problem, grid[step]);
    MipSolver solver(problem, grid[step], empty, none, volumes, candidates);
    if (cost >= 0) solver.limit_cost(cost);
    if (move_cost >= 0) solver.limit_move_cost(move_cost);
    ++solution.exact_steps;
    return solver.solve(goal, options.max_tree_nodes, options.deadline);
  };
  const int last = static_cast<int>(grid.size()) - 1;
  const MipResult any = solve_at(last, MipGoal::feasibility, -1, -1);
  if (!any.is_proven) return {};
  if (!any.node_sets) return ExactResult{};
  ExactResult s{true, *any.node_sets, best_step(problem, *any.node_sets, grid)};
  if (stop_at_first) return s;
  for (int low = std::max(0, bound); low < s.step;) {
    const int middle = low + (s.step - low) / 2;
    const MipResult f = solve_at(middle, MipGoal::feasibility, -1, -1);
    if (!f.is_proven) return {};
    if (!f.node_sets) {
      low = middle + 1;
      continue;
    }
    s.placement = *f.node_sets;
    s.step = std::min(middle, best_step(problem, s.placement, grid));
  }
  const std::int64_t width = cost_step_width(problem);
  std::int64_t cost = -1;  // limits for the next solve; -1: none
  std::int64_t move_cost = -1;
  for (const MipGoal goal : {MipGoal::cost, MipGoal::move_cost, MipGoal::cost, MipGoal::rank}) {
    const MipResult f = solve_at(s.step, goal, cost, move_cost);
    if (!f.is_proven || !f.node_sets) return {};
    s.placement = *f.node_sets;
    const Objective current = objective_of(problem, s.placement, s.step);
    // While the move cost is minimized, the cost may rise again within its step.
    if (goal == MipGoal::cost) cost = move_cost < 0 ? (current.cost_step + 1) * width - 1 : current.cost;
    if (goal == MipGoal::move_cost) move_cost = current.move_cost;
  }
  return s;
}

}  // namespace

double Solution::level_gap() const {
  if (level_bound <= level) return 0;
  return static_cast<double>(level_bound - level) / static_cast<double>(level_bound);
}

double Solution::cost_gap() const {
  if (objective.cost <= cost_bound) return 0;
  return static_cast<double>(objective.cost - cost_bound) / static_cast<double>(objective.cost);
}

Solution evaluate(const Problem& problem, Placement placement) {
  Solution solution;
  const std::vector<Amount> grid = level_grid(problem);
  const int step = best_step(problem, placement, grid);
  solution.is_feasible = step >= 0;
  solution.placement = std::move(placement);
  solution.level_bound =
      check_flow_bound(problem, 0).may_be_feasible ? level_upper_bound(problem, grid.front()) : 0;
  solution.cost_bound = cost_lower_bound(problem, step >= 0 ? grid[step] : 0);
  solution.min_move_cost = min_move_cost(problem);
  solution.objective = objective_of(problem, solution.placement, std::max(step, 0));
  if (solution.is_feasible) {
    solution.level = max_level(problem, solution.placement, grid.front());
    solution.shares = max_min_fair_shares(problem, solution.placement);
  } else {
    NodeLoads loads(problem, 0);
    for (int v = 0; v < static_cast<int>(solution.placement.size()); ++v)
      if (solution.placement[v].count > 0) loads.add(v, solution.placement[v]);
    solution.excess = loads.excess() / kLoadScale;
  }
  return solution;
}

Solution solve(const Problem& problem, const SolveOptions& options) {
  const std::vector<Amount> grid = level_grid(problem);
  const int bound = best_step_bound(problem, grid);
  Solution progress;  // counters and time flag of the search
  if (bound < 0) {
    progress.is_proven = true;
    return progress;
  }
  if (options.use_exact) {
    if (const auto exact_result = solve_exactly(problem, options, grid, bound, progress)) {
      Solution solution = exact_result->is_feasible ? evaluate(problem, exact_result->placement) : Solution{};
      solution.is_proven = true;
      solution.exact_steps = progress.exact_steps;
      return solution;
    }
    if (options.deadline.has_passed()) progress.finished_in_time = false;
  }
  auto [placement, step] = Search(problem, options, progress).run(bound);
  Solution solution = evaluate(problem, std::move(placement));
  solution.finished_in_time = progress.finished_in_time;
  solution.moves_tried = progress.moves_tried;
  solution.exact_steps = progress.exact_steps;
  return solution;
}

std::optional<bool> check_feasible(const Problem& problem, const SolveOptions& options, bool search) {
  if (!check_flow_bound(problem, 0).may_be_feasible) return false;
  for (const Volume& v : problem.volumes) {
    // Reject constraints that no node set can meet without enumerating any.
    const int nodes = std::min<int>(v.node_count, static_cast<int>(problem.nodes.size()));
    if (static_cast<int>(problem.nodes.size()) < v.min_node_count ||
        v.min_zones > std::min<int>(nodes, problem.zones.size()))
      return false;
    if (v.reserve > 0 && v.tolerated_failure != FailureDomain::none && nodes < 2) return false;
  }
  Solution progress;  // counters only
  const std::vector<Amount> lowest{0};
  if (const auto exact_result = solve_exactly(problem, options, lowest, 0, progress, true))
    return exact_result->is_feasible;
  if (!search) return {};
  Problem reserves = problem;
  for (Volume& v : reserves.volumes) v.demand = 0;
  if (Search(reserves, options, progress).run(0).second >= 0) return true;
  return {};
}

Placement greedy_placement(const Problem& problem) {
  Placement all(problem.volumes.size());
  NodeLoads loads(problem, level_grid(problem).front());
  const auto utilization = [&](int n) {
    return static_cast<double>(loads.normal(n)) /
           static_cast<double>(std::max<Amount>(1, problem.nodes[n].capacity));
  };
  const std::vector<char> none_forbidden(problem.nodes.size());
  for (int v : volumes_by_size(problem)) {
    all[v] = choose_nodes(problem, v, none_forbidden, {},
                          [&](int x, int y) { return utilization(x) < utilization(y); });
    loads.add(v, all[v]);
  }
  return all;
}

Placement weighted_random_placement(const Problem& problem) {
  Placement all(problem.volumes.size());
  std::ranlux24_base random(static_cast<std::uint32_t>(problem.seed));
  const std::vector<char> none_forbidden(problem.nodes.size());
  for (int v = 0; v < static_cast<int>(all.size()); ++v) {
    // Weighted sampling without replacement: the nodes with the largest u^(1/capacity), compared by
    // logarithm.
    std::vector<double> key;
    for (const Node& n : problem.nodes)
      key.push_back(std::log((static_cast<double>(random()) + 1) / 16777217.0) /
                    static_cast<double>(std::max<Amount>(1, n.capacity)));
    all[v] = choose_nodes(problem, v, none_forbidden, {}, [&](int x, int y) { return key[x] > key[y]; });
  }
  return all;
}

}  // namespace yewmount::solver
