#include "solver/infeasibility.h"

#include <algorithm>
#include <cstdio>

namespace yewmount::solver {
namespace {

constexpr int kMaxSubsets = 5;
constexpr std::size_t kMaxCheckedConstraints = 24;  // minimality of larger subsets is not verified by search
constexpr std::size_t kMaxListedNames = 8;          // further ones are summarized as "and n more"
constexpr int kMaxExtraCapacityPermille = 10000;

std::string units(Amount amount) {
  char text[32];
  const bool whole = amount % 1000 == 0;
  std::snprintf(text, sizeof text, whole ? "%.0f" : "%.3f", static_cast<double>(amount) / 1000);
  return text;
}

std::string names(const std::vector<std::string>& all) {
  std::string text;
  for (std::size_t i = 0; i < all.size() && i < kMaxListedNames; ++i) text += (i ? ", " : "") + all[i];
  if (all.size() > kMaxListedNames) text += " and " + std::to_string(all.size() - kMaxListedNames) + " more";
  return text;
}

std::string volume_names(const Problem& problem, const std::vector<int>& volumes) {
  std::vector<std::string> all;
  for (int v : volumes) all.push_back(problem.volumes[v].name);
  return (volumes.size() == 1 ? "volume " : "volumes ") + names(all);
}

// Lists nodes, and names the zone instead where all nodes of a zone are included.
std::string node_names(const Problem& problem, const std::vector<int>& nodes) {
  if (nodes.size() == problem.nodes.size()) return "all nodes together";
  std::vector<std::string> zones, single;
  for (int z = 0; z < static_cast<int>(problem.zones.size()); ++z) {
    std::vector<std::string> in;
    int all = 0;
    for (int n = 0; n < static_cast<int>(problem.nodes.size()); ++n) {
      if (problem.nodes[n].zone != z) continue;
      ++all;
      if (std::find(nodes.begin(), nodes.end(), n) != nodes.end()) in.push_back(problem.nodes[n].name);
    }
    if (all > 0 && static_cast<int>(in.size()) == all)
      zones.push_back(problem.zones[z]);
    else
      single.insert(single.end(), in.begin(), in.end());
  }
  std::string text;
  if (!zones.empty()) text = (zones.size() == 1 ? "zone " : "zones ") + names(zones);
  if (!single.empty())
    text +=
        (text.empty() ? "" : " and ") + std::string(single.size() == 1 ? "node " : "nodes ") + names(single);
  return text;
}

std::string failure_domain_name(FailureDomain domain) {
  return domain == FailureDomain::zone ? "zone" : domain == FailureDomain::node ? "node" : "none";
}

std::string anti_affinity_names(const Problem& problem, int set) {
  return volume_names(problem, problem.anti_affinity[set]);
}

std::string describe(const Problem& problem, const Constraint& c) {
  const auto& v = problem.volumes[c.kind == ConstraintKind::anti_affinity ? 0 : c.index];
  switch (c.kind) {
    case ConstraintKind::reserve:
      return "volume " + v.name + " has a reserve of " + units(v.reserve) + " units";
    case ConstraintKind::tolerated_failure:
      return "volume " + v.name + " keeps its reserve when a " + failure_domain_name(v.tolerated_failure) +
             " is lost";
    case ConstraintKind::min_zones:
      return "volume " + v.name + " must span " + std::to_string(v.min_zones) + " zones";
    case ConstraintKind::node_count:
      return "volume " + v.name + " must be on " + std::to_string(v.node_count) + " nodes";
    case ConstraintKind::anti_affinity:
      return anti_affinity_names(problem, c.index) + " share no node";
  }
  return {};
}

std::string describe(const Problem& problem, const InfeasibleSubset& subset) {
  std::vector<int> reserves;
  std::vector<Constraint> others;
  for (const Constraint& c : subset.constraints)
    if (c.kind == ConstraintKind::reserve)
      reserves.push_back(c.index);
    else
      others.push_back(c);
  std::string text;
  if (!subset.cut.may_be_feasible && !reserves.empty()) {
    const int nodes = static_cast<int>(problem.nodes.size());
    if (subset.cut.loss >= nodes)
      text = "with zone " + problem.zones[subset.cut.loss - nodes] + " lost, ";
    else if (subset.cut.loss >= 0)
      text = "with node " + problem.nodes[subset.cut.loss].name + " lost, ";
    text += node_names(problem, subset.cut.nodes) + " can't bear the reserve of " +
            volume_names(problem, reserves) + ": " + units(subset.cut.needed) +
            " units a second are needed there, the capacity is " + units(subset.cut.available) + ": " +
            units(subset.cut.needed - subset.cut.available) + " units short";
    // The subset is minimal, so the shortage with all reserves may be much larger.
    if (const FlowCut all = check_flow_bound(problem, 0);
        !all.may_be_feasible && all.loss == subset.cut.loss && all.nodes == subset.cut.nodes &&
        all.needed - all.available > subset.cut.needed - subset.cut.available)
      text += " (with all reserves " + units(all.needed - all.available) + ")";
    if (others.empty()) return text;
    text += "; because ";
  } else {
    text = subset.constraints.size() == 1 ? "" : "these together: ";
    if (reserves.size() > kMaxListedNames) {
      Amount sum = 0;
      for (int v : reserves) sum += problem.volumes[v].reserve;
      text += "reserves of " + units(sum) + " units of " + volume_names(problem, reserves);
      if (!others.empty()) text += "; ";
    } else {
      for (std::size_t i = 0; i < reserves.size(); ++i)
        text += (i ? "; " : "") + describe(problem, Constraint{ConstraintKind::reserve, reserves[i]});
      if (!reserves.empty() && !others.empty()) text += "; ";
    }
  }
  for (std::size_t i = 0; i < others.size() && i < kMaxListedNames; ++i)
    text += (i ? "; " : "") + describe(problem, others[i]);
  if (others.size() > kMaxListedNames)
    text += "; and " + std::to_string(others.size() - kMaxListedNames) + " more";
  if (subset.cut.may_be_feasible)
    text += " (there are " + std::to_string(problem.nodes.size()) + " nodes in " +
            std::to_string(problem.zones.size()) + " zones)";
  return text;
}

// Binary search for the smallest value that satisfies a monotonic predicate, which must be true at `high`.
template <class Predicate>
int min_satisfying(int low, int high, Predicate is_satisfied) {
  while (low < high) {
    const int middle = low + (high - low) / 2;
    if (is_satisfied(middle))
      high = middle;
    else
      low = middle + 1;
  }
  return high;
}

std::vector<Relaxation> find_relaxations(const Problem& problem, const InfeasibleSubset& subset,
                                         const SolveOptions& options) {
  using Kind = Relaxation::Kind;
  std::vector<Relaxation> all;
  const auto is_sufficient = [&](const Relaxation& r) {
    return check_feasible(apply_relaxation(problem, r), options, true) == true;
  };
  // Finds the smallest reduction of the reserves, in permille, that is sufficient.
  const auto add_reserve_relaxation = [&](Relaxation r) {
    r.to = 0;
    if (r.volumes.empty() || !is_sufficient(r)) return;
    const auto is_sufficient_reduction = [&](int reduction) {
      r.to = 1000 - reduction;
      return is_sufficient(r);
    };
    r.to = 1000 - min_satisfying(1, 1000, is_sufficient_reduction);
    const Problem result = apply_relaxation(problem, r);
    for (int v : r.volumes) r.units += problem.volumes[v].reserve - result.volumes[v].reserve;
    r.text = "reserves of " +
             (r.kind == Kind::all_reserves ? std::string("all volumes") : volume_names(problem, r.volumes)) +
             " at " + units(r.to * 100) + " %: " + units(r.units) + " units less";
    all.push_back(std::move(r));
  };
  Relaxation subset_reserves;
  Relaxation all_reserves{.kind = Kind::all_reserves};
  for (const Constraint& c : subset.constraints)
    if (c.kind == ConstraintKind::reserve) subset_reserves.volumes.push_back(c.index);
  for (int v = 0; v < static_cast<int>(problem.volumes.size()); ++v)
    if (problem.volumes[v].reserve > 0) all_reserves.volumes.push_back(v);
  const bool differ = all_reserves.volumes != subset_reserves.volumes;
  add_reserve_relaxation(subset_reserves);
  if (all.empty() && differ) add_reserve_relaxation(all_reserves);
  Relaxation capacity{.kind = Kind::capacities, .to = 1000 + kMaxExtraCapacityPermille};
  if (is_sufficient(capacity)) {
    const auto is_sufficient_capacity = [&](int to) {
      capacity.to = to;
      return is_sufficient(capacity);
    };
    capacity.to = min_satisfying(1001, 1000 + kMaxExtraCapacityPermille, is_sufficient_capacity);
    const Problem result = apply_relaxation(problem, capacity);
    for (std::size_t n = 0; n < problem.nodes.size(); ++n)
      capacity.units += result.nodes[n].capacity - problem.nodes[n].capacity;
    capacity.text = "all nodes at " + units(capacity.to * 100) +
                    " % of their capacity: " + units(capacity.units) + " units a second more";
    all.push_back(capacity);
  }
  for (const Constraint& c : subset.constraints) {
    if (c.kind == ConstraintKind::reserve || all.size() > kMaxListedNames) continue;
    Relaxation r{.kind = Kind::anti_affinity, .index = c.index};
    bool is_enough = false;
    if (c.kind == ConstraintKind::anti_affinity) {
      is_enough = is_sufficient(r);
      r.text = anti_affinity_names(problem, c.index) + " may share nodes";
    } else {
      const Volume& v = problem.volumes[c.index];
      r.kind = c.kind == ConstraintKind::tolerated_failure ? Kind::tolerated_failure
               : c.kind == ConstraintKind::min_zones       ? Kind::min_zones
                                                           : Kind::node_count;
      const int from = c.kind == ConstraintKind::tolerated_failure ? static_cast<int>(v.tolerated_failure)
                       : c.kind == ConstraintKind::min_zones       ? v.min_zones
                                                                   : v.node_count;
      for (int to = from - 1; to >= (c.kind == ConstraintKind::tolerated_failure ? 0 : 1) && !is_enough;
           --to) {
        r.to = to;
        is_enough = is_sufficient(r);
      }
      r.text = c.kind == ConstraintKind::tolerated_failure
                   ? "volume " + v.name + " keeps its reserve when a node is lost only"
                   : "volume " + v.name + (c.kind == ConstraintKind::min_zones ? " in " : " on ") +
                         std::to_string(r.to) + (c.kind == ConstraintKind::min_zones ? " zones" : " nodes");
      if (c.kind == ConstraintKind::tolerated_failure && r.to == 0)
        r.text = "volume " + v.name + " does not keep its reserve on any loss";
    }
    if (is_enough) all.push_back(std::move(r));
  }
  return all;
}

}  // namespace

std::vector<Constraint> all_constraints(const Problem& problem) {
  std::vector<Constraint> all;
  // explain() tries to remove the constraints in this order, so the most informative kinds come last.
  for (int s = 0; s < static_cast<int>(problem.anti_affinity.size()); ++s)
    all.push_back({ConstraintKind::anti_affinity, s});
  std::vector<int> order;
  for (int v = 0; v < static_cast<int>(problem.volumes.size()); ++v) order.push_back(v);
  std::stable_sort(order.begin(), order.end(),
                   [&](int x, int y) { return problem.volumes[x].reserve < problem.volumes[y].reserve; });
  for (int v : order)
    if (problem.volumes[v].min_zones > 1) all.push_back({ConstraintKind::min_zones, v});
  for (int v : order)
    if (problem.volumes[v].tolerated_failure != FailureDomain::none && problem.volumes[v].reserve > 0)
      all.push_back({ConstraintKind::tolerated_failure, v});
  for (int v : order)
    if (problem.volumes[v].reserve > 0) all.push_back({ConstraintKind::reserve, v});
  for (int v : order)
    if (problem.volumes[v].node_count > 1) all.push_back({ConstraintKind::node_count, v});
  return all;
}

Problem keep_only(const Problem& problem, const std::vector<Constraint>& set) {
  const std::size_t volumes = problem.volumes.size();
  std::vector<char> reserve(volumes);
  std::vector<char> tolerated_failure(volumes);
  std::vector<char> min_zones(volumes);
  std::vector<char> node_count(volumes);
  std::vector<char> anti_affinity(problem.anti_affinity.size());
  for (const Constraint& c : set)
    (c.kind == ConstraintKind::reserve             ? reserve
     : c.kind == ConstraintKind::tolerated_failure ? tolerated_failure
     : c.kind == ConstraintKind::min_zones         ? min_zones
     : c.kind == ConstraintKind::node_count        ? node_count
                                                   : anti_affinity)[c.index] = 1;
  Problem modified = problem;
  for (std::size_t s = 0; s < anti_affinity.size(); ++s)
    if (!anti_affinity[s])
      modified.anti_affinity[s]
          .clear();  // stays as an empty set, so that the indices of the others don't change
  for (std::size_t v = 0; v < volumes; ++v) {
    Volume& volume = modified.volumes[v];
    if (!reserve[v]) volume.reserve = 0;
    if (!tolerated_failure[v]) volume.tolerated_failure = FailureDomain::none;
    if (!min_zones[v]) volume.min_zones = 1;
    if (!node_count[v]) volume.min_node_count = 1;
  }
  return modified;
}

Problem apply_relaxation(const Problem& problem, const Relaxation& r) {
  using Kind = Relaxation::Kind;
  Problem modified = problem;
  switch (r.kind) {
    case Kind::reserves:
    case Kind::all_reserves:
      for (int v : r.volumes) modified.volumes[v].reserve = modified.volumes[v].reserve * r.to / 1000;
      break;
    case Kind::capacities:
      for (Node& n : modified.nodes) n.capacity = (n.capacity * r.to + 999) / 1000;
      break;
    case Kind::tolerated_failure:
      modified.volumes[r.index].tolerated_failure = static_cast<FailureDomain>(r.to);
      break;
    case Kind::min_zones:
      modified.volumes[r.index].min_zones = r.to;
      break;
    case Kind::node_count: {
      Volume& v = modified.volumes[r.index];
      v.node_count = v.min_node_count = r.to;
      v.min_zones = std::min(v.min_zones, r.to);
      break;
    }
    case Kind::anti_affinity:
      modified.anti_affinity[r.index].clear();
      break;
  }
  return modified;
}

Explanation explain(const Problem& problem, const SolveOptions& options) {
  Explanation e;
  const auto is_feasible = check_feasible(problem, options, true);
  e.is_feasible = is_feasible == true;
  e.is_proven = is_feasible == false;
  if (!e.is_proven) return e;
  std::vector<Constraint> remaining = all_constraints(problem);
  for (int round = 0; round < kMaxSubsets; ++round) {
    if (check_feasible(keep_only(problem, remaining), options, false) != false) break;
    if (options.deadline.has_passed()) break;
    InfeasibleSubset subset;
    subset.constraints = remaining;
    // Deletion filter: a constraint is removed if the others are infeasible without it. Undecided ones stay.
    for (const Constraint& c : remaining) {
      if (options.deadline.has_passed()) subset.is_minimal = false;
      if (!subset.is_minimal && options.deadline.has_passed()) break;
      std::vector<Constraint> fewer = subset.constraints;
      std::erase(fewer, c);
      const auto fewer_feasible = check_feasible(keep_only(problem, fewer), options, false);
      if (fewer_feasible == false) subset.constraints = std::move(fewer);
    }
    for (std::size_t i = 0; i < subset.constraints.size() && subset.is_minimal; ++i) {
      if (subset.constraints.size() > kMaxCheckedConstraints) subset.is_minimal = false;
      std::vector<Constraint> fewer = subset.constraints;
      fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(i));
      subset.is_minimal =
          subset.is_minimal && check_feasible(keep_only(problem, fewer), options, true) == true;
    }
    subset.cut = check_flow_bound(keep_only(problem, subset.constraints), 0);
    subset.text = describe(problem, subset);
    for (const Constraint& c : subset.constraints) std::erase(remaining, c);
    e.subsets.push_back(std::move(subset));
  }
  // Relaxations are found for each subset without the constraints of the other subsets. Then the first
  // relaxation of every subset is applied at once.
  Problem all = problem;
  bool all_have_relaxations = !e.subsets.empty();
  for (std::size_t i = 0; i < e.subsets.size(); ++i) {
    std::vector<Constraint> rest = all_constraints(problem);
    for (std::size_t j = 0; j < e.subsets.size(); ++j)
      if (j != i)
        for (const Constraint& c : e.subsets[j].constraints) std::erase(rest, c);
    Problem alone = keep_only(problem, rest);
    if (e.subsets.size() == 1) alone = problem;
    e.subsets[i].relaxations = find_relaxations(alone, e.subsets[i], options);
    all_have_relaxations = all_have_relaxations && !e.subsets[i].relaxations.empty();
  }
  if (all_have_relaxations) {
    for (const InfeasibleSubset& c : e.subsets) all = apply_relaxation(all, c.relaxations.front());
    e.first_relaxations_suffice = check_feasible(all, options, true) == true;
  }
  return e;
}

}  // namespace yewmount::solver
