#include "solver/exact.h"

#include <glpk.h>

#include <algorithm>
#include <cmath>

namespace yewmount::solver {

namespace {

constexpr double kCapacityTolerance = 1e-9;  // keeps rounding errors from excluding exact fits
constexpr int kMaxSolverRuns = 200;

}  // namespace

struct MipSolver::Model {
  Model(const Problem& given_problem, Amount share_level, const NodeLoads& loads, const Placement& placement,
        std::vector<int> free_volumes, std::vector<std::vector<NodeSet>> candidate_sets)
      : problem(given_problem),
        level(share_level),
        fixed_loads(loads),
        fixed_placement(placement),
        volumes(std::move(free_volumes)),
        candidates(std::move(candidate_sets)),
        lp(glp_create_prob()) {
    glp_term_out(GLP_OFF);
    build();
  }
  ~Model() { glp_delete_prob(lp); }
  Model(const Model&) = delete;
  Model& operator=(const Model&) = delete;

  const Problem& problem;
  Amount level;
  const NodeLoads& fixed_loads;
  const Placement& fixed_placement;
  std::vector<int> volumes;
  std::vector<std::vector<NodeSet>> candidates;
  std::vector<int> first_column;  // the column of each volume's first candidate
  glp_prob* lp;
  int cost_row = 0;
  int move_cost_row = 0;
  bool is_infeasible = false;

  struct SearchLimit {
    int tree_nodes_left;
    const Deadline* deadline;
  };

  using Row = std::vector<std::pair<int, double>>;

  int add_row(const Row& row, double upper_bound) {
    const int row_index = glp_add_rows(lp, 1);
    glp_set_row_bnds(lp, row_index, GLP_UP, 0, upper_bound);
    std::vector<int> columns{0};
    std::vector<double> values{0};
    for (const auto& [column, value] : row) {
      columns.push_back(column);
      values.push_back(value);
    }
    glp_set_mat_row(lp, row_index, static_cast<int>(row.size()), columns.data(), values.data());
    return row_index;
  }

  // Scales amounts by the node's capacity, because GLPK's tolerances assume coefficients of about 1.
  void add_capacity(const std::vector<std::pair<int, Amount>>& row, Amount available, int node) {
    if (row.empty()) return;
    const double capacity = std::max(1.0, static_cast<double>(problem.nodes[node].capacity * kLoadScale));
    Row scaled;
    for (const auto& [column, amount] : row)
      if (amount > 0) scaled.emplace_back(column, static_cast<double>(amount) / capacity);
    if (available < 0) {
      if (!scaled.empty())
        add_row(scaled, 0);  // the fixed volumes already fill the node: exclude all candidates that use it
      return;
    }
    if (!scaled.empty()) add_row(scaled, static_cast<double>(available) / capacity + kCapacityTolerance);
  }

  void build() {
    int columns = 0;
    for (std::size_t i = 0; i < volumes.size(); ++i) {
      first_column.push_back(columns + 1);
      columns += static_cast<int>(candidates[i].size());
      if (candidates[i].empty()) is_infeasible = true;
    }
    if (is_infeasible || columns == 0) return;
    glp_add_cols(lp, columns);
    for (int c = 1; c <= columns; ++c) glp_set_col_kind(lp, c, GLP_BV);
    for (std::size_t i = 0; i < volumes.size(); ++i) {
      Row selection;
      for (std::size_t w = 0; w < candidates[i].size(); ++w)
        selection.emplace_back(first_column[i] + static_cast<int>(w), 1.0);
      glp_set_row_bnds(lp, add_row(selection, 1), GLP_FX, 1, 1);
    }
    add_capacity_rows();
    add_anti_affinity_rows();
    Row cost;
    Row move_cost;
    for_each_candidate([&](int column, int v, const NodeSet& nodes) {
      if (const auto c = cost_of(problem, v, nodes); c != 0)
        cost.emplace_back(column, static_cast<double>(c));
      if (const auto m = move_cost_of(problem, v, nodes); m != 0)
        move_cost.emplace_back(column, static_cast<double>(m));
    });
    cost_row = add_row(cost, 0);
    move_cost_row = add_row(move_cost, 0);
    glp_set_row_bnds(lp, cost_row, GLP_FR, 0, 0);
    glp_set_row_bnds(lp, move_cost_row, GLP_FR, 0, 0);
  }

  template <class Function>
  void for_each_candidate(Function function) const {
    for (std::size_t i = 0; i < volumes.size(); ++i)
      for (std::size_t w = 0; w < candidates[i].size(); ++w)
        function(first_column[i] + static_cast<int>(w), volumes[i], candidates[i][w]);
  }

  void add_capacity_rows() {
    const int node_count = static_cast<int>(problem.nodes.size());
    struct Terms {
      std::vector<std::pair<int, Amount>> normal;
      std::vector<std::pair<int, Amount>> reserve;
      std::vector<std::vector<std::pair<int, Amount>>> extra;  // added by each loss
    };
    std::vector<Terms> terms(problem.nodes.size());
    for (Terms& t : terms) t.extra.resize(static_cast<std::size_t>(fixed_loads.loss_count()));
    for_each_candidate([&](int column, int v, const NodeSet& nodes) {
      // The load that this candidate alone puts on each node, computed as in NodeLoads::change().
      const Volume& volume = problem.volumes[v];
      const Amount part = volume.reserve * (kLoadScale / nodes.count);
      const Amount total = part + share_at(volume, level) * (kLoadScale / nodes.count);
      for (int n : nodes) {
        terms[n].normal.emplace_back(column, total);
        terms[n].reserve.emplace_back(column, part);
      }
      if (volume.tolerated_failure == FailureDomain::none || volume.reserve == 0 || nodes.count < 2) return;
      const Amount extra_load = extra_load_per_survivor(volume.reserve, nodes.count, 1);
      for (int n : nodes)
        for (int lost : nodes)
          if (lost != n) terms[n].extra[lost].emplace_back(column, extra_load);
      if (volume.tolerated_failure != FailureDomain::zone) return;
      for (int n : nodes)
        for (int i = 0; i < nodes.count; ++i) {
          const int zone = problem.nodes[nodes.ids[i]].zone;
          bool is_repeated = false;
          int lost_count = 0;
          for (int j = 0; j < nodes.count; ++j)
            if (problem.nodes[nodes.ids[j]].zone == zone) {
              ++lost_count;
              is_repeated |= j < i;
            }
          if (is_repeated || zone == problem.nodes[n].zone || lost_count == nodes.count) continue;
          terms[n].extra[node_count + zone].emplace_back(
              column, extra_load_per_survivor(volume.reserve, nodes.count, lost_count));
        }
    });
    for (int n = 0; n < node_count; ++n) {
      const Amount capacity = problem.nodes[n].capacity * kLoadScale;
      add_capacity(terms[n].normal, capacity - fixed_loads.normal(n), n);
      Amount max_other_extra = 0;  // over the losses to which no candidate adds load
      for (int loss = 0; loss < fixed_loads.loss_count(); ++loss) {
        if (terms[n].extra[loss].empty()) {
          max_other_extra = std::max(max_other_extra, fixed_loads.extra(n, loss));
          continue;
        }
        std::vector<std::pair<int, Amount>> sum = terms[n].reserve;
        std::size_t i = 0;
        for (const auto& [column, extra_load] : terms[n].extra[loss]) {
          while (sum[i].first != column) ++i;  // both are sorted by column
          sum[i].second += extra_load;
        }
        add_capacity(sum, capacity - fixed_loads.reserve(n) - fixed_loads.extra(n, loss), n);
      }
      add_capacity(terms[n].reserve, capacity - fixed_loads.reserve(n) - max_other_extra, n);
    }
  }

  void add_anti_affinity_rows() {
    for (const auto& set : problem.anti_affinity) {
      std::vector<Row> rows(problem.nodes.size());
      std::vector<char> is_occupied(problem.nodes.size());
      for (int v : set) {
        const auto it = std::find(volumes.begin(), volumes.end(), v);
        if (it == volumes.end()) {
          if (v < static_cast<int>(fixed_placement.size()))
            for (int n : fixed_placement[v]) is_occupied[n] = 1;
          continue;
        }
        const std::size_t i = static_cast<std::size_t>(it - volumes.begin());
        for (std::size_t w = 0; w < candidates[i].size(); ++w)
          for (int n : candidates[i][w]) rows[n].emplace_back(first_column[i] + static_cast<int>(w), 1.0);
      }
      for (std::size_t n = 0; n < rows.size(); ++n)
        if (!rows[n].empty()) add_row(rows[n], is_occupied[n] ? 0 : 1);
    }
  }

  // GLPK callback that ends the branch and bound search at the limit.
  static void stop_at_limit(glp_tree* tree, void* info) {
    auto* limit = static_cast<SearchLimit*>(info);
    if (glp_ios_reason(tree) != GLP_ISELECT) return;
    if (--limit->tree_nodes_left < 0 || limit->deadline->has_passed()) glp_ios_terminate(tree);
  }

  std::vector<int> selected_candidates() const {
    std::vector<int> all;
    for (std::size_t i = 0; i < volumes.size(); ++i) {
      int best = 0;
      for (std::size_t w = 1; w < candidates[i].size(); ++w)
        if (glp_mip_col_val(lp, first_column[i] + static_cast<int>(w)) >
            glp_mip_col_val(lp, first_column[i] + best))
          best = static_cast<int>(w);
      all.push_back(best);
    }
    return all;
  }

  bool is_within_capacity(const std::vector<int>& choice) const {
    NodeLoads loads = fixed_loads;
    for (std::size_t i = 0; i < volumes.size(); ++i) loads.add(volumes[i], candidates[i][choice[i]]);
    for (std::size_t i = 0; i < volumes.size(); ++i)
      for (int n : candidates[i][choice[i]])
        if (loads.excess(n) > 0) return false;
    return true;
  }

  MipResult solve(MipGoal goal, int max_tree_nodes, const Deadline& deadline) {
    if (is_infeasible) return {true, {}};
    if (volumes.empty()) return {true, std::vector<NodeSet>{}};
    for_each_candidate([&](int column, int v, const NodeSet& nodes) {
      const std::int64_t c = goal == MipGoal::cost        ? cost_of(problem, v, nodes)
                             : goal == MipGoal::move_cost ? move_cost_of(problem, v, nodes)
                             : goal == MipGoal::rank      ? rank_of(problem, v, nodes)
                                                          : 0;
      glp_set_obj_coef(lp, column, static_cast<double>(c));
    });
    glp_set_obj_dir(lp, GLP_MIN);
    SearchLimit limit{max_tree_nodes, &deadline};
    glp_iocp parameters;
    glp_init_iocp(&parameters);
    parameters.msg_lev = GLP_MSG_OFF;
    parameters.presolve = GLP_ON;
    parameters.cb_func = stop_at_limit;
    parameters.cb_info = &limit;
    // A result may exceed a node's capacity by less than GLPK's tolerance. Such a result is excluded by a
    // cut, and the problem is solved again.
    for (int run = 0; run < kMaxSolverRuns; ++run) {
      const int code = glp_intopt(lp, &parameters);
      if (code == GLP_ENOPFS || code == GLP_ENODFS) return {true, {}};
      const int status = glp_mip_status(lp);
      const bool is_proven = code == 0 && (status == GLP_OPT || status == GLP_NOFEAS);
      if (status != GLP_OPT && status != GLP_FEAS) return {is_proven, {}};
      const std::vector<int> choice = selected_candidates();
      if (is_within_capacity(choice)) {
        MipResult result{is_proven, std::vector<NodeSet>{}};
        for (std::size_t i = 0; i < volumes.size(); ++i)
          result.node_sets->push_back(candidates[i][choice[i]]);
        return result;
      }
      Row cut;
      for (std::size_t i = 0; i < volumes.size(); ++i) cut.emplace_back(first_column[i] + choice[i], 1.0);
      add_row(cut, static_cast<double>(volumes.size()) - 1);
    }
    return {};
  }
};

MipSolver::MipSolver(const Problem& problem, Amount level, const NodeLoads& fixed_loads,
                     const Placement& fixed_placement, std::vector<int> volumes,
                     std::vector<std::vector<NodeSet>> candidates)
    : model_(std::make_unique<Model>(problem, level, fixed_loads, fixed_placement, std::move(volumes),
                                     std::move(candidates))) {}
MipSolver::~MipSolver() = default;

void MipSolver::limit_cost(std::int64_t max_cost) {
  if (model_->cost_row > 0)
    glp_set_row_bnds(model_->lp, model_->cost_row, GLP_UP, 0, static_cast<double>(max_cost) + 0.5);
}

void MipSolver::limit_move_cost(std::int64_t max_cost) {
  if (model_->move_cost_row > 0)
    glp_set_row_bnds(model_->lp, model_->move_cost_row, GLP_UP, 0, static_cast<double>(max_cost) + 0.5);
}

MipResult MipSolver::solve(MipGoal goal, int max_tree_nodes, const Deadline& deadline) {
  return model_->solve(goal, max_tree_nodes, deadline);
}

}  // namespace yewmount::solver
