// Explains why a problem is infeasible: finds minimal infeasible subsets (IIS) of its constraints, and the
// smallest relaxations that resolve each of them.
#pragma once
#include <string>

#include "solver/solve.h"

namespace yewmount::solver {

enum class ConstraintKind : std::uint8_t { reserve, tolerated_failure, min_zones, node_count, anti_affinity };

struct Constraint {
  ConstraintKind kind;
  int index;  // of the volume, or of the anti-affinity set
  bool operator==(const Constraint&) const = default;
};

// One change that resolves an infeasible subset on its own; no smaller change of the same kind does.
struct Relaxation {
  enum class Kind : std::uint8_t {
    reserves,
    all_reserves,
    capacities,
    tolerated_failure,
    min_zones,
    node_count,
    anti_affinity
  } kind = Kind::reserves;
  int index = -1;              // of the volume or anti-affinity set
  int to = 0;                  // reserves, capacities: permille; zones or nodes: the count; a FailureDomain
  std::vector<int> volumes{};  // whose reserves are reduced
  Amount units = 0;            // total reserve removed or capacity added
  std::string text{};          // description for operators
};

struct InfeasibleSubset {
  std::vector<Constraint> constraints;
  bool is_minimal = true;  // proven: without any one constraint the others can be met
  FlowCut cut;             // the capacity shortage, where the flow bound shows one
  std::string text;
  std::vector<Relaxation> relaxations;
};

struct Explanation {
  bool is_feasible = false;
  bool is_proven = false;  // proven infeasible; if neither flag is set, feasibility is undecided
  std::vector<InfeasibleSubset> subsets;
  // Whether applying the first relaxation of every subset at once was found to be feasible.
  bool first_relaxations_suffice = false;
};

std::vector<Constraint> all_constraints(const Problem& problem);
// Returns the problem without any constraint that is not in the set.
Problem keep_only(const Problem& problem, const std::vector<Constraint>& set);
Problem apply_relaxation(const Problem& problem, const Relaxation& r);

Explanation explain(const Problem& problem, const SolveOptions& options);

}  // namespace yewmount::solver
