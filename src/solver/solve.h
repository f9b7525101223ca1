// Computes a placement. Small problems are solved exactly. Larger ones start from a greedy placement that
// balances utilization, followed by local search and exact optimization of small neighbourhoods. Reported
// figures are verified in integer arithmetic, and gaps refer to proven bounds.
#pragma once
#include <optional>
#include <random>
#include <string>

#include "solver/model.h"

namespace yewmount::solver {

struct SolveOptions {
  Deadline deadline;
  bool use_exact = true;     // false: use local search even for small problems
  int max_candidates = 120;  // candidate node sets of all volumes up to which the exact solver is tried
  int max_tree_nodes = 5000;
};

struct Solution {
  bool is_feasible =
      false;  // all reserves, node and zone counts, failure tolerances and anti-affinities are met
  bool is_proven = false;        // feasible: proven optimal; otherwise proven infeasible
  bool finished_in_time = true;  // false: the deadline passed, and this is the incumbent
  Placement placement;           // if infeasible, the placement found with the least excess load
  Objective objective;
  Amount level = 0;        // the lowest volume's amount beyond its reserve per unit of weight
  Amount level_bound = 0;  // upper bound of the level
  std::int64_t cost_bound = 0;
  std::int64_t min_move_cost = 0;  // unavoidable: replaces nodes that no longer exist
  Amount excess = 0;               // if infeasible: load beyond capacity, summed over all nodes
  std::vector<Amount> shares;      // if feasible: each volume's share beyond its reserve
  long moves_tried = 0;
  long exact_steps = 0;

  // Returns the relative gap between the level and its bound.
  double level_gap() const;
  double cost_gap() const;
};

Solution solve(const Problem& problem, const SolveOptions& options);

// Returns whether all hard constraints can be met, or nothing if that is undecided. With `search`, also uses
// local search, which may find a placement where there are too many candidates for the exact solver.
std::optional<bool> check_feasible(const Problem& problem, const SolveOptions& options, bool search);

// Baselines for comparison. The greedy one places the largest volumes first, each on the least utilized
// nodes. The random one draws each volume's nodes with probability proportional to capacity.
Placement greedy_placement(const Problem& problem);
Placement weighted_random_placement(const Problem& problem);
// Evaluates a placement, whether it is feasible or not.
Solution evaluate(const Problem& problem, Placement placement);

}  // namespace yewmount::solver
