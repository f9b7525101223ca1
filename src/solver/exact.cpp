#include "solver/exact.h"

#include <glpk.h>

#include <algorithm>
#include <cmath>

namespace yewmount::solver {

struct Exact::Program {
  Program(const Problem& problem, Amount at, const Loads& loads, const Placement& placement,
          std::vector<int> which, std::vector<std::vector<Nodes>> how)
      : p(problem),
        level(at),
        rest(loads),
        held(placement),
        volumes(std::move(which)),
        ways(std::move(how)),
        lp(glp_create_prob()) {
    glp_term_out(GLP_OFF);
    build();
  }
  ~Program() { glp_delete_prob(lp); }
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  const Problem& p;
  Amount level;
  const Loads& rest;
  const Placement& held;
  std::vector<int> volumes;
  std::vector<std::vector<Nodes>> ways;
  std::vector<int> first;  // the column of a volume's first way
  glp_prob* lp;
  int cost_row = 0, moved_row = 0;
  bool impossible = false;

  struct Limit {
    int left;
    const Until* until;
  };

  using Row = std::vector<std::pair<int, double>>;

  int add_row(const Row& row, double most) {
    const int at = glp_add_rows(lp, 1);
    glp_set_row_bnds(lp, at, GLP_UP, 0, most);
    std::vector<int> columns{0};
    std::vector<double> values{0};
    for (const auto& [column, value] : row) columns.push_back(column), values.push_back(value);
    glp_set_mat_row(lp, at, static_cast<int>(row.size()), columns.data(), values.data());
    return at;
  }

  // Amounts go in as parts of what a node bears: the library's tolerances are about 1.
  void add_capacity(const std::vector<std::pair<int, Amount>>& row, Amount room, int node) {
    if (row.empty()) return;
    const double bears = std::max(1.0, static_cast<double>(p.nodes[node].capacity * kParts));
    Row scaled;
    for (const auto& [column, amount] : row)
      if (amount > 0) scaled.emplace_back(column, static_cast<double>(amount) / bears);
    if (room < 0) {
      if (!scaled.empty()) add_row(scaled, 0);  // full without these: none of them may come
      return;
    }
    if (!scaled.empty()) add_row(scaled, static_cast<double>(room) / bears + 1e-9);
  }

  void build() {
    int columns = 0;
    for (std::size_t i = 0; i < volumes.size(); ++i) {
      first.push_back(columns + 1);
      columns += static_cast<int>(ways[i].size());
      if (ways[i].empty()) impossible = true;
    }
    if (impossible || columns == 0) return;
    glp_add_cols(lp, columns);
    for (int c = 1; c <= columns; ++c) glp_set_col_kind(lp, c, GLP_BV);
    for (std::size_t i = 0; i < volumes.size(); ++i) {
      Row one;
      for (std::size_t w = 0; w < ways[i].size(); ++w) one.emplace_back(first[i] + static_cast<int>(w), 1.0);
      glp_set_row_bnds(lp, add_row(one, 1), GLP_FX, 1, 1);
    }
    capacities();
    aparts();
    Row cost, moved;
    each([&](int column, int v, const Nodes& nodes) {
      if (const auto c = cost_of(p, v, nodes); c != 0) cost.emplace_back(column, static_cast<double>(c));
      if (const auto m = moved_of(p, v, nodes); m != 0) moved.emplace_back(column, static_cast<double>(m));
    });
    cost_row = add_row(cost, 0), moved_row = add_row(moved, 0);
    glp_set_row_bnds(lp, cost_row, GLP_FR, 0, 0);
    glp_set_row_bnds(lp, moved_row, GLP_FR, 0, 0);
  }

  template <class Do>
  void each(Do what) const {
    for (std::size_t i = 0; i < volumes.size(); ++i)
      for (std::size_t w = 0; w < ways[i].size(); ++w)
        what(first[i] + static_cast<int>(w), volumes[i], ways[i][w]);
  }

  void capacities() {
    const int nodes = static_cast<int>(p.nodes.size());
    struct Terms {
      std::vector<std::pair<int, Amount>> normal, reserve;
      std::vector<std::vector<std::pair<int, Amount>>> lost;  // what a loss adds
    };
    std::vector<Terms> at(p.nodes.size());
    for (Terms& t : at) t.lost.resize(static_cast<std::size_t>(rest.losses()));
    each([&](int column, int v, const Nodes& way) {
      // What this way alone puts on each node, by the same reckoning as everything else.
      const Volume& volume = p.volumes[v];
      const Amount part = volume.reserve * (kParts / way.count);
      const Amount whole = part + share_at(volume, level) * (kParts / way.count);
      for (int n : way) at[n].normal.emplace_back(column, whole), at[n].reserve.emplace_back(column, part);
      if (volume.keep == Keep::none || volume.reserve == 0 || way.count < 2) return;
      const Amount more = extra_part(volume.reserve, way.count, 1);
      for (int n : way)
        for (int lost : way)
          if (lost != n) at[n].lost[lost].emplace_back(column, more);
      if (volume.keep != Keep::zone) return;
      for (int n : way)
        for (int i = 0; i < way.count; ++i) {
          const int zone = p.nodes[way.at[i]].zone;
          bool before = false;
          int there = 0;
          for (int j = 0; j < way.count; ++j)
            if (p.nodes[way.at[j]].zone == zone) ++there, before |= j < i;
          if (before || zone == p.nodes[n].zone || there == way.count) continue;
          at[n].lost[nodes + zone].emplace_back(column, extra_part(volume.reserve, way.count, there));
        }
    });
    for (int n = 0; n < nodes; ++n) {
      const Amount bears = p.nodes[n].capacity * kParts;
      add_capacity(at[n].normal, bears - rest.normal(n), n);
      Amount elsewhere = 0;  // the worst of the losses that none of these ways adds to
      for (int loss = 0; loss < rest.losses(); ++loss) {
        if (at[n].lost[loss].empty()) {
          elsewhere = std::max(elsewhere, rest.extra(n, loss));
          continue;
        }
        std::vector<std::pair<int, Amount>> sum = at[n].reserve;
        std::size_t i = 0;
        for (const auto& [column, more] : at[n].lost[loss]) {
          while (sum[i].first != column) ++i;  // both in the order of the columns
          sum[i].second += more;
        }
        add_capacity(sum, bears - rest.reserve(n) - rest.extra(n, loss), n);
      }
      add_capacity(at[n].reserve, bears - rest.reserve(n) - elsewhere, n);
    }
  }

  void aparts() {
    for (const auto& set : p.apart) {
      std::vector<Row> rows(p.nodes.size());
      std::vector<char> taken(p.nodes.size());
      for (int v : set) {
        const auto it = std::find(volumes.begin(), volumes.end(), v);
        if (it == volumes.end()) {
          if (v < static_cast<int>(held.size()))
            for (int n : held[v]) taken[n] = 1;
          continue;
        }
        const std::size_t i = static_cast<std::size_t>(it - volumes.begin());
        for (std::size_t w = 0; w < ways[i].size(); ++w)
          for (int n : ways[i][w]) rows[n].emplace_back(first[i] + static_cast<int>(w), 1.0);
      }
      for (std::size_t n = 0; n < rows.size(); ++n)
        if (!rows[n].empty()) add_row(rows[n], taken[n] ? 0 : 1);
    }
  }

  static void watch(glp_tree* tree, void* info) {
    auto* limit = static_cast<Limit*>(info);
    if (glp_ios_reason(tree) != GLP_ISELECT) return;
    if (--limit->left < 0 || limit->until->over()) glp_ios_terminate(tree);
  }

  std::vector<int> chosen() const {
    std::vector<int> all;
    for (std::size_t i = 0; i < volumes.size(); ++i) {
      int best = 0;
      for (std::size_t w = 1; w < ways[i].size(); ++w)
        if (glp_mip_col_val(lp, first[i] + static_cast<int>(w)) > glp_mip_col_val(lp, first[i] + best))
          best = static_cast<int>(w);
      all.push_back(best);
    }
    return all;
  }

  bool right(const std::vector<int>& choice) const {
    Loads loads = rest;
    for (std::size_t i = 0; i < volumes.size(); ++i) loads.add(volumes[i], ways[i][choice[i]]);
    for (std::size_t i = 0; i < volumes.size(); ++i)
      for (int n : ways[i][choice[i]])
        if (loads.over(n) > 0) return false;
    return true;
  }

  Found find(Aim aim, int most, const Until& until) {
    if (impossible) return {true, {}};
    if (volumes.empty()) return {true, std::vector<Nodes>{}};
    each([&](int column, int v, const Nodes& nodes) {
      const std::int64_t c = aim == Aim::cost    ? cost_of(p, v, nodes)
                             : aim == Aim::moved ? moved_of(p, v, nodes)
                             : aim == Aim::rank  ? rank_of(p, v, nodes)
                                                 : 0;
      glp_set_obj_coef(lp, column, static_cast<double>(c));
    });
    glp_set_obj_dir(lp, GLP_MIN);
    Limit limit{most, &until};
    glp_iocp how;
    glp_init_iocp(&how);
    how.msg_lev = GLP_MSG_OFF;
    how.presolve = GLP_ON;
    how.cb_func = watch;
    how.cb_info = &limit;
    // What the library takes for right may be beyond a node by less than its tolerance: such an answer is
    // cut off and it is asked again.
    for (int again = 0; again < 200; ++again) {
      const int code = glp_intopt(lp, &how);
      if (code == GLP_ENOPFS || code == GLP_ENODFS) return {true, {}};
      const int status = glp_mip_status(lp);
      const bool whole = code == 0 && (status == GLP_OPT || status == GLP_NOFEAS);
      if (status != GLP_OPT && status != GLP_FEAS) return {whole, {}};
      const std::vector<int> choice = chosen();
      if (right(choice)) {
        Found found{whole, std::vector<Nodes>{}};
        for (std::size_t i = 0; i < volumes.size(); ++i) found.nodes->push_back(ways[i][choice[i]]);
        return found;
      }
      Row cut;
      for (std::size_t i = 0; i < volumes.size(); ++i) cut.emplace_back(first[i] + choice[i], 1.0);
      add_row(cut, static_cast<double>(volumes.size()) - 1);
    }
    return {};
  }
};

Exact::Exact(const Problem& p, Amount level, const Loads& rest, const Placement& held,
             std::vector<int> volumes, std::vector<std::vector<Nodes>> ways)
    : program_(std::make_unique<Program>(p, level, rest, held, std::move(volumes), std::move(ways))) {}
Exact::~Exact() = default;

void Exact::cost_at_most(std::int64_t most) {
  if (program_->cost_row > 0)
    glp_set_row_bnds(program_->lp, program_->cost_row, GLP_UP, 0, static_cast<double>(most) + 0.5);
}

void Exact::moved_at_most(std::int64_t most) {
  if (program_->moved_row > 0)
    glp_set_row_bnds(program_->lp, program_->moved_row, GLP_UP, 0, static_cast<double>(most) + 0.5);
}

Found Exact::find(Aim aim, int most_tree_nodes, const Until& until) {
  return program_->find(aim, most_tree_nodes, until);
}

}  // namespace yewmount::solver
