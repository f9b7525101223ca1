// Exact placement of some volumes while all others stay fixed: a mixed integer program (MIP) that selects one
// candidate node set for each volume, solved by GLPK. Each result is verified in integer arithmetic, because
// GLPK works with floating-point tolerances.
#pragma once
#include <memory>
#include <optional>

#include "solver/model.h"

namespace yewmount::solver {

// The term that is minimized; `feasibility` accepts any feasible selection.
enum class MipGoal : std::uint8_t { feasibility, cost, move_cost, rank };

struct MipResult {
  bool is_proven = false;  // the selection is proven optimal, or without node sets, proven infeasible
  std::optional<std::vector<NodeSet>> node_sets;  // in the order of the volumes to be placed
};

class MipSolver {
 public:
  // `fixed_loads`: loads of all other volumes at that level. `fixed_placement`: their placement, for
  // anti-affinity. `volumes`: the volumes to be placed, and `candidates` the node sets allowed for each. The
  // references must outlive the solver.
  MipSolver(const Problem& problem, Amount level, const NodeLoads& fixed_loads,
            const Placement& fixed_placement, std::vector<int> volumes,
            std::vector<std::vector<NodeSet>> candidates);
  ~MipSolver();
  MipSolver(const MipSolver&) = delete;
  MipSolver& operator=(const MipSolver&) = delete;

  // Limit the sum over the volumes to be placed, for all later calls of solve().
  void limit_cost(std::int64_t max_cost);
  void limit_move_cost(std::int64_t max_cost);
  // Stops after `max_tree_nodes` branch and bound nodes, so that the result is deterministic, or once the
  // deadline has passed.
  MipResult solve(MipGoal goal, int max_tree_nodes, const Deadline& deadline);

 private:
  struct Model;
  std::unique_ptr<Model> model_;
};

}  // namespace yewmount::solver
