#include "solver/solve.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

#include "solver/exact.h"

namespace yewmount::solver {
namespace {

constexpr int kGroup = 7, kGroupNodes = 8;  // volumes and nodes of an exact step
constexpr std::size_t kGroupWays = 40;      // of one volume there
constexpr int kGroupTree = 40;              // search tree nodes
constexpr int kTargets = 10, kSample = 16;  // tried of each by a small move
constexpr int kStalls = 12;                 // exact steps without gain, until a level is left alone
constexpr int kPasses = 40, kSteps = 8;     // over all volumes, when all that's left is to polish

std::vector<int> all_nodes(const Problem& p) {
  std::vector<int> all(p.nodes.size());
  std::iota(all.begin(), all.end(), 0);
  return all;
}

std::int64_t moved_floor(const Problem& p) {
  std::int64_t sum = 0;
  for (const Volume& v : p.volumes)
    if (v.placed) sum += v.move_cost * std::max(0, v.nodes_least - static_cast<int>(v.present.size()));
  return sum;
}

// A volume's nodes in the order of `better`, zones and apart kept where that can be.
template <class Better>
Nodes choose(const Problem& p, int v, const std::vector<char>& barred, Nodes chosen, Better better) {
  const Volume& volume = p.volumes[v];
  const bool two = volume.reserve > 0 && volume.keep == Keep::zone;
  const int wanted_zones = std::min(volume.nodes, std::max(volume.zones, two ? 2 : 1));
  std::vector<char> zone(p.zones.size());
  int zones = 0;
  for (int n : chosen) zones += !zone[p.nodes[n].zone], zone[p.nodes[n].zone] = 1;
  while (chosen.count < std::min<int>(volume.nodes, static_cast<int>(p.nodes.size()))) {
    int best = -1;
    // Where as many zones are still wanted as nodes, only new ones will do.
    const bool only_new = wanted_zones - zones >= volume.nodes - chosen.count;
    for (int pass = 0; pass < 3 && best < 0; ++pass)
      for (int n = 0; n < static_cast<int>(p.nodes.size()); ++n) {
        if (chosen.has(n) || (pass < 2 && barred[n])) continue;
        if (pass < 1 && only_new && zone[p.nodes[n].zone]) continue;
        if (best < 0 || better(n, best)) best = n;
      }
    if (best < 0) break;
    zones += !zone[p.nodes[best].zone], zone[p.nodes[best].zone] = 1;
    chosen.add(best);
  }
  return chosen;
}

std::vector<int> by_size(const Problem& p) {
  std::vector<int> order(p.volumes.size());
  std::iota(order.begin(), order.end(), 0);
  const auto size = [&](int v) {
    return std::max(p.volumes[v].demand, p.volumes[v].reserve) / std::max(1, p.volumes[v].nodes);
  };
  std::stable_sort(order.begin(), order.end(), [&](int x, int y) { return size(x) > size(y); });
  return order;
}

class Search {
 public:
  Search(const Problem& p, const Effort& effort, Answer& told)
      : p_(p),
        effort_(effort),
        told_(told),
        chance_(static_cast<std::uint32_t>(p.seed ^ (p.seed >> 32))),
        grid_(levels(p)),
        loads_(p, 0),
        on_(p.nodes.size()),
        sets_(p.volumes.size()),
        width_(cost_grid(p)),
        now_(p.volumes.size()) {
    for (int s = 0; s < static_cast<int>(p.apart.size()); ++s)
      for (int v : p.apart[s]) sets_[v].push_back(s);
  }

  // The best placement found; its step, or -1 if not even the reserves hold.
  std::pair<Placement, int> run(int bound) {
    start();
    const int last = static_cast<int>(grid_.size()) - 1;
    if (!repair(last)) return {now_, -1};
    Placement best = now_;
    int step = step_of(p_, best, grid_);
    int low = std::max(0, bound);
    while (low < step && !effort_.until.over()) {
      const int middle = low + (step - low) / 2;
      reset(best, middle);
      if (repair(middle)) {
        best = now_;
        step = std::min(middle, step_of(p_, best, grid_));
      } else {
        low = middle + 1;
      }
    }
    reset(best, step);
    polish();
    return {now_, step};
  }

 private:
  int any(std::size_t count) { return static_cast<int>(chance_() % count); }
  bool over_time() {
    if (told_.steps++ % 64 == 0 && effort_.until.over()) told_.in_time = false;
    return !told_.in_time;
  }

  void put(int v, const Nodes& nodes) {
    now_[v] = nodes;
    if (nodes.count == 0) return;
    loads_.add(v, nodes);
    for (int n : nodes) on_[n].push_back(v);
    cost_ += cost_of(p_, v, nodes), moved_ += moved_of(p_, v, nodes), rank_ += rank_of(p_, v, nodes);
  }
  void take(int v) {
    const Nodes nodes = now_[v];
    if (nodes.count == 0) return;
    loads_.drop(v, nodes);
    for (int n : nodes) {
      auto& there = on_[n];
      *std::find(there.begin(), there.end(), v) = there.back();
      there.pop_back();
    }
    cost_ -= cost_of(p_, v, nodes), moved_ -= moved_of(p_, v, nodes), rank_ -= rank_of(p_, v, nodes);
    now_[v] = {};
  }

  void reset(const Placement& placement, int step) {
    level_ = grid_[step];
    loads_ = Loads(p_, level_);
    for (auto& there : on_) there.clear();
    cost_ = moved_ = rank_ = 0;
    for (int v = 0; v < static_cast<int>(placement.size()); ++v) put(v, placement[v]);
  }

  Figures figures() const { return {0, cost_ / width_, moved_, cost_, rank_}; }

  bool apart_ok(int v, const Nodes& nodes) const {
    for (int s : sets_[v])
      for (int other : p_.apart[s])
        if (other != v)
          for (int n : nodes)
            if (now_[other].has(n)) return false;
    return true;
  }

  std::vector<char> barred(int v) const {
    std::vector<char> all(p_.nodes.size());
    for (int s : sets_[v])
      for (int other : p_.apart[s])
        if (other != v)
          for (int n : now_[other]) all[n] = 1;
    return all;
  }

  double fill(int n) const {  // how full, by the fuller of the two tests
    const double bears = static_cast<double>(std::max<Amount>(1, p_.nodes[n].capacity)) * kParts;
    return static_cast<double>(std::max(loads_.normal(n), loads_.reserve(n) + loads_.worst(n))) / bears;
  }

  // Where things lie now, if anywhere; the rest by size, each to the nodes that are least full.
  void start() {
    reset(Placement(p_.volumes.size()), static_cast<int>(grid_.size()) - 1);
    loads_ = Loads(p_, grid_[0]);  // so that demands, not only reserves, are spread
    const std::vector<int> order = by_size(p_);
    std::vector<int> rest;
    for (int v : order) {
      Nodes there;
      for (int n : p_.volumes[v].present)
        if (there.count < p_.volumes[v].nodes) there.add(n);
      if (fits(p_, v, there) && apart_ok(v, there))
        put(v, there);
      else
        rest.push_back(v);
    }
    for (int v : rest) {
      Nodes there;
      const std::vector<char> bar = barred(v);
      for (int n : p_.volumes[v].present)
        if (there.count < p_.volumes[v].nodes && !bar[n]) there.add(n);
      const auto fuller = [&](int x, int y) { return fill(x) < fill(y); };
      Nodes chosen = choose(p_, v, bar, there, fuller);
      if (!fits(p_, v, chosen)) chosen = choose(p_, v, bar, Nodes{}, fuller);
      put(v, chosen);
    }
    const Placement begun = now_;
    reset(begun, static_cast<int>(grid_.size()) - 1);
  }

  struct Change {
    int v = -1;
    Nodes to;
  };

  // Tries one or two changes together; they stand if `better(before, after, figures before)` says so.
  template <class Better>
  bool attempt(const Change& one, const Change& two, Better better) {
    Nodes touched = one.v >= 0 ? now_[one.v] : Nodes{};
    std::vector<int> nodes(touched.begin(), touched.end());
    const auto also = [&](const Nodes& more) {
      for (int n : more)
        if (std::find(nodes.begin(), nodes.end(), n) == nodes.end()) nodes.push_back(n);
    };
    also(one.to);
    const Nodes old_one = now_[one.v], old_two = two.v >= 0 ? now_[two.v] : Nodes{};
    if (two.v >= 0) also(old_two), also(two.to);
    const auto sum = [&] {
      Amount all = 0;
      for (int n : nodes) all += loads_.over(n);
      return all;
    };
    const Amount before = sum();
    const Figures was = figures();
    take(one.v);
    if (two.v >= 0) take(two.v);
    put(one.v, one.to);
    if (two.v >= 0) put(two.v, two.to);
    const bool fine = fits(p_, one.v, one.to) && apart_ok(one.v, one.to) &&
                      (two.v < 0 || (fits(p_, two.v, two.to) && apart_ok(two.v, two.to)));
    if (fine && better(before, sum(), was)) return true;
    take(one.v);
    if (two.v >= 0) take(two.v);
    put(one.v, old_one);
    if (two.v >= 0) put(two.v, old_two);
    return false;
  }

  Nodes with(int v, int from, int to) const {
    Nodes n = now_[v];
    n.drop(from);
    n.add(to);
    return n;
  }

  std::vector<int> emptiest() const {
    std::vector<std::pair<double, int>> order;
    for (int n = 0; n < static_cast<int>(p_.nodes.size()); ++n) order.emplace_back(fill(n), n);
    std::sort(order.begin(), order.end());
    std::vector<int> all;
    for (const auto& [full, n] : order) all.push_back(n);
    return all;
  }

  // Until no node is beyond what it bears at that step.
  bool repair(int step) {
    const Placement from = now_;
    reset(from, step);
    if (!mend_shapes()) return false;
    for (int stalls = 0;;) {
      int worst = -1;
      Amount most = 0;
      for (int n = 0; n < static_cast<int>(p_.nodes.size()); ++n)
        if (const Amount o = loads_.over(n); o > most) most = o, worst = n;
      if (worst < 0) return true;
      if (over_time() || stalls > kStalls) return false;
      if (relieve(worst)) continue;
      if (exact_step(worst, Aim::any)) {
        stalls = 0;
        continue;
      }
      ++stalls;
      shake(worst);
    }
  }

  // Ways that are none (too few zones, apart not kept): anew, whatever it costs.
  bool mend_shapes() {
    for (int v = 0, sets = 0; v < static_cast<int>(now_.size()); ++v) {
      if (fits(p_, v, now_[v]) && apart_ok(v, now_[v])) continue;
      take(v);
      const Nodes chosen = choose(p_, v, barred(v), Nodes{}, [&](int x, int y) { return fill(x) < fill(y); });
      put(v, chosen);
      if (fits(p_, v, chosen) && apart_ok(v, chosen)) continue;
      // Mending one set may break another: so often, and no more.
      if (++sets > kStalls || effort_.until.over() || !mend_apart(v)) return false;
      v = -1;
    }
    return true;
  }

  // Those it must be apart from may have to move first: an exact step over the whole set.
  bool mend_apart(int v) {
    std::vector<int> group{v};
    for (int s : sets_[v])
      for (int other : p_.apart[s])
        if (std::find(group.begin(), group.end(), other) == group.end()) group.push_back(other);
    if (!fits(p_, v, now_[v]) && group.size() == 1) return false;
    std::vector<int> nodes = emptiest();
    std::size_t wanted = 0;
    for (int g : group) wanted += static_cast<std::size_t>(p_.volumes[g].nodes);
    nodes.resize(std::min(nodes.size(), std::max<std::size_t>(wanted + 2, kGroupNodes)));
    return exact_over(group, nodes, Aim::any) && fits(p_, v, now_[v]) && apart_ok(v, now_[v]);
  }

  bool relieve(int worst) {
    const std::vector<int> targets = emptiest();
    const int near = std::min<int>(kTargets, static_cast<int>(targets.size()));
    const std::vector<int> there = on_[worst];
    if (there.empty()) return false;
    const auto less = [](Amount before, Amount after, const Figures&) { return after < before; };
    const int tries = std::min<int>(kSample, static_cast<int>(there.size()));
    const std::size_t from = chance_() % there.size();
    for (int i = 0; i < tries; ++i) {
      const int v = there[(from + static_cast<std::size_t>(i)) % there.size()];
      for (int t = 0; t < near; ++t) {
        if (over_time()) return false;
        if (!now_[v].has(targets[t]) && attempt({v, with(v, worst, targets[t])}, {}, less)) return true;
      }
    }
    // Two change places: a large one leaves, a small one comes.
    for (int i = 0; i < tries; ++i) {
      const int v = there[(from + static_cast<std::size_t>(i)) % there.size()];
      for (int t = 0; t < near; ++t) {
        const int node = targets[t];
        if (now_[v].has(node)) continue;
        const std::vector<int> others = on_[node];
        for (int j = 0; j < std::min<int>(kTargets, static_cast<int>(others.size())); ++j) {
          const int w = others[static_cast<std::size_t>(any(others.size()))];
          if (over_time()) return false;
          if (w == v || now_[w].has(worst) || now_[v].has(node) || !now_[w].has(node)) continue;
          if (attempt({v, with(v, worst, node)}, {w, with(w, node, worst)}, less)) return true;
        }
      }
    }
    return false;
  }

  // Off a standstill: something from the worst node goes anywhere, and the search mends what that breaks.
  void shake(int worst) {
    for (int tries = 0; tries < 8 && !on_[worst].empty(); ++tries) {
      const int v = on_[worst][static_cast<std::size_t>(any(on_[worst].size()))];
      const int to = any(p_.nodes.size());
      if (now_[v].has(to)) continue;
      if (attempt({v, with(v, worst, to)}, {}, [](Amount, Amount, const Figures&) { return true; })) return;
    }
  }

  // A few volumes around a node, over it and the emptiest nodes.
  bool exact_step(int node, Aim aim) {
    std::vector<int> nodes = emptiest();
    nodes.resize(std::min<std::size_t>(nodes.size(), kGroupNodes / 2));
    if (std::find(nodes.begin(), nodes.end(), node) == nodes.end()) nodes.push_back(node);
    while (static_cast<int>(nodes.size()) < std::min<int>(kGroupNodes, static_cast<int>(p_.nodes.size()))) {
      const int n = any(p_.nodes.size());
      if (std::find(nodes.begin(), nodes.end(), n) == nodes.end()) nodes.push_back(n);
    }
    std::vector<int> group;
    const auto join = [&](int n, int most) {
      for (int tries = 0; tries < 3 * most && !on_[n].empty() && static_cast<int>(group.size()) < kGroup;
           ++tries) {
        const int v = on_[n][static_cast<std::size_t>(any(on_[n].size()))];
        if (std::find(group.begin(), group.end(), v) != group.end()) continue;
        group.push_back(v);
        if (--most == 0) return;
      }
    };
    join(node, 3);
    for (int n : nodes)
      if (n != node) join(n, 1);
    return !group.empty() && exact_over(group, nodes, aim);
  }

  bool exact_over(const std::vector<int>& group, std::vector<int> nodes, Aim aim) {
    std::sort(nodes.begin(), nodes.end());
    ++told_.exact_steps;
    Placement old;
    std::vector<std::vector<Nodes>> options;
    const Figures was = figures();
    const Amount before = loads_.over();
    for (int v : group) old.push_back(now_[v]), take(v);
    for (std::size_t i = 0; i < group.size(); ++i) {
      std::vector<Nodes> some = ways(p_, group[i], nodes, kGroupWays);
      if (some.size() > kGroupWays) some.resize(kGroupWays);
      // What lies on other nodes may stay there, if it may lie so at all.
      if (fits(p_, group[i], old[i]) && std::find(some.begin(), some.end(), old[i]) == some.end())
        some.push_back(old[i]);
      options.push_back(std::move(some));
    }
    Exact exact(p_, level_, loads_, now_, group, options);
    const Found found = exact.find(aim, kGroupTree, effort_.until);
    if (found.nodes) {
      for (std::size_t i = 0; i < group.size(); ++i) put(group[i], (*found.nodes)[i]);
      if (aim == Aim::any ? loads_.over() < before || before == 0 : loads_.over() == 0 && figures() < was)
        return true;
      for (int v : group) take(v);
    }
    for (std::size_t i = 0; i < group.size(); ++i) put(group[i], old[i]);
    return false;
  }

  // Cost, then what moves, then rank, at the step that stands.
  void polish() {
    const auto better = [&](Amount before, Amount after, const Figures& was) {
      return after == 0 && before == 0 && figures() < was;
    };
    std::vector<int> order(p_.volumes.size());
    std::iota(order.begin(), order.end(), 0);
    for (int pass = 0, idle = 0; pass < kPasses && idle < 2; ++pass) {
      const Figures before = figures();
      std::shuffle(order.begin(), order.end(), chance_);
      for (int v : order) {
        if (over_time()) return;
        put_back(v, better);
        cheaper(v, better);
      }
      for (int i = 0; i < kSteps && !over_time(); ++i)
        exact_step(any(p_.nodes.size()), pass % 2 == 0 ? Aim::cost : Aim::moved);
      // Ranks go on getting better for long; they only tell equals apart.
      const bool gain = moved_ < before.moved || before.cost - cost_ > before.cost / 1000;
      idle = gain ? 0 : idle + 1;
    }
  }

  template <class Better>
  void put_back(int v, Better better) {
    const auto& present = p_.volumes[v].present;
    const auto anew = [&](int w, int n) {
      const auto& homes = p_.volumes[w].present;
      return !std::binary_search(homes.begin(), homes.end(), n);
    };
    for (int home : present) {
      if (now_[v].has(home)) continue;
      bool done = false;
      const Nodes there = now_[v];
      for (int n : there) {
        if (!anew(v, n)) continue;
        if ((done = attempt({v, with(v, n, home)}, {}, better))) break;
        // Someone who came to it anew may take the place that is left.
        const std::vector<int> others = on_[home];
        for (int w : others) {
          if (w == v || now_[w].has(n) || !anew(w, home)) continue;
          if ((done = attempt({v, with(v, n, home)}, {w, with(w, home, n)}, better))) break;
        }
        if (done) break;
      }
    }
  }

  template <class Better>
  void cheaper(int v, Better better) {
    const Nodes there = now_[v];
    const int count = static_cast<int>(p_.nodes.size());
    for (int n : there)
      for (int i = 0; i < std::min(kTargets, count); ++i) {
        const int to = count <= kTargets ? i : any(p_.nodes.size());
        if (now_[v].has(to) || !now_[v].has(n) || p_.nodes[to].cost > p_.nodes[n].cost) continue;
        attempt({v, with(v, n, to)}, {}, better);
      }
  }

  const Problem& p_;
  const Effort& effort_;
  Answer& told_;
  std::ranlux24_base chance_;
  std::vector<Amount> grid_;
  Loads loads_;
  std::vector<std::vector<int>> on_, sets_;
  std::int64_t width_, cost_ = 0, moved_ = 0, rank_ = 0;
  Amount level_ = 0;
  Placement now_;
};

// Every way of every volume at once. Empty: it was not settled within the effort.
struct Settled {
  bool met = false;
  Placement placement;
  int step = -1;
};

std::optional<Settled> exactly(const Problem& p, const Effort& effort, const std::vector<Amount>& grid,
                               int bound, Answer& told, bool any_will_do = false) {
  std::vector<int> volumes(p.volumes.size());
  std::iota(volumes.begin(), volumes.end(), 0);
  std::vector<std::vector<Nodes>> options;
  std::size_t sum = 0;
  for (int v : volumes) {
    options.push_back(ways(p, v, all_nodes(p), static_cast<std::size_t>(effort.most_ways)));
    if ((sum += options.back().size()) > static_cast<std::size_t>(effort.most_ways)) return {};
  }
  const Placement none(p.volumes.size());
  const auto at = [&](int step, Aim aim, std::int64_t cost, std::int64_t moved) {
    const Loads empty(p, grid[step]);
    Exact exact(p, grid[step], empty, none, volumes, options);
    if (cost >= 0) exact.cost_at_most(cost);
    if (moved >= 0) exact.moved_at_most(moved);
    ++told.exact_steps;
    return exact.find(aim, effort.most_tree_nodes, effort.until);
  };
  const int last = static_cast<int>(grid.size()) - 1;
  const Found any = at(last, Aim::any, -1, -1);
  if (!any.proven) return {};
  if (!any.nodes) return Settled{};
  Settled s{true, *any.nodes, step_of(p, *any.nodes, grid)};
  if (any_will_do) return s;
  for (int low = std::max(0, bound); low < s.step;) {
    const int middle = low + (s.step - low) / 2;
    const Found f = at(middle, Aim::any, -1, -1);
    if (!f.proven) return {};
    if (!f.nodes) {
      low = middle + 1;
      continue;
    }
    s.placement = *f.nodes;
    s.step = std::min(middle, step_of(p, s.placement, grid));
  }
  const std::int64_t width = cost_grid(p);
  std::int64_t cost = -1, moved = -1;
  for (const Aim aim : {Aim::cost, Aim::moved, Aim::cost, Aim::rank}) {
    const Found f = at(s.step, aim, cost, moved);
    if (!f.proven || !f.nodes) return {};
    s.placement = *f.nodes;
    const Figures now = figures(p, s.placement, s.step);
    // The cost may rise again within its step to move less, and only that.
    if (aim == Aim::cost) cost = moved < 0 ? (now.cost_step + 1) * width - 1 : now.cost;
    if (aim == Aim::moved) moved = now.moved;
  }
  return s;
}

}  // namespace

double Answer::level_gap() const {
  if (level_bound <= level) return 0;
  return static_cast<double>(level_bound - level) / static_cast<double>(level_bound);
}

double Answer::cost_gap() const {
  if (figures.cost <= cost_bound) return 0;
  return static_cast<double>(figures.cost - cost_bound) / static_cast<double>(figures.cost);
}

Answer judge(const Problem& p, Placement placement) {
  Answer a;
  const std::vector<Amount> grid = levels(p);
  const int step = step_of(p, placement, grid);
  a.met = step >= 0;
  a.placement = std::move(placement);
  a.level_bound = bound_allows(p, 0).allows ? bound_level(p, grid.front()) : 0;
  a.cost_bound = bound_cost(p, step >= 0 ? grid[step] : 0);
  a.moved_floor = moved_floor(p);
  a.figures = figures(p, a.placement, std::max(step, 0));
  if (a.met) {
    a.level = level_of(p, a.placement, grid.front());
    a.shares = fill_shares(p, a.placement);
  } else {
    Loads loads(p, 0);
    for (int v = 0; v < static_cast<int>(a.placement.size()); ++v)
      if (a.placement[v].count > 0) loads.add(v, a.placement[v]);
    a.over = loads.over() / kParts;
  }
  return a;
}

Answer solve(const Problem& p, const Effort& effort) {
  const std::vector<Amount> grid = levels(p);
  const int bound = bound_step(p, grid);
  Answer told;
  if (bound < 0) {
    told.proven = true;
    return told;
  }
  if (effort.exact) {
    if (const auto settled = exactly(p, effort, grid, bound, told)) {
      Answer a = settled->met ? judge(p, settled->placement) : Answer{};
      a.proven = true;
      a.exact_steps = told.exact_steps;
      return a;
    }
    if (effort.until.over()) told.in_time = false;
  }
  auto [placement, step] = Search(p, effort, told).run(bound);
  Answer a = judge(p, std::move(placement));
  a.in_time = told.in_time;
  a.steps = told.steps, a.exact_steps = told.exact_steps;
  return a;
}

std::optional<bool> possible(const Problem& p, const Effort& effort, bool search) {
  if (!bound_allows(p, 0).allows) return false;
  for (const Volume& v : p.volumes) {
    // What no way can mend is seen without looking at any.
    const int nodes = std::min<int>(v.nodes, static_cast<int>(p.nodes.size()));
    if (static_cast<int>(p.nodes.size()) < v.nodes_least || v.zones > std::min<int>(nodes, p.zones.size()))
      return false;
    if (v.reserve > 0 && v.keep != Keep::none && nodes < 2) return false;
  }
  Answer told;
  const std::vector<Amount> lowest{0};
  if (const auto settled = exactly(p, effort, lowest, 0, told, true)) return settled->met;
  if (!search) return {};
  Problem reserves = p;
  for (Volume& v : reserves.volumes) v.demand = 0;
  if (Search(reserves, effort, told).run(0).second >= 0) return true;
  return {};
}

Placement greedy_by_size(const Problem& p) {
  Placement all(p.volumes.size());
  Loads loads(p, levels(p).front());
  const auto full = [&](int n) {
    return static_cast<double>(loads.normal(n)) /
           static_cast<double>(std::max<Amount>(1, p.nodes[n].capacity));
  };
  const std::vector<char> open(p.nodes.size());
  for (int v : by_size(p)) {
    all[v] = choose(p, v, open, {}, [&](int x, int y) { return full(x) < full(y); });
    loads.add(v, all[v]);
  }
  return all;
}

Placement drawn_by_capacity(const Problem& p) {
  Placement all(p.volumes.size());
  std::ranlux24_base chance(static_cast<std::uint32_t>(p.seed));
  const std::vector<char> open(p.nodes.size());
  for (int v = 0; v < static_cast<int>(all.size()); ++v) {
    // The largest of u^(1/capacity): a draw without putting back, in proportion.
    std::vector<double> key;
    for (const Node& n : p.nodes)
      key.push_back(std::log((static_cast<double>(chance()) + 1) / 16777217.0) /
                    static_cast<double>(std::max<Amount>(1, n.capacity)));
    all[v] = choose(p, v, open, {}, [&](int x, int y) { return key[x] > key[y]; });
  }
  return all;
}

}  // namespace yewmount::solver
