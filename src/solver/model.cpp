#include "solver/model.h"

#include <algorithm>
#include <numeric>

#include "rules/containers.h"

namespace yewmount::solver {
namespace {

__extension__ typedef __int128 Wide;  // products of weights and levels

Amount beyond(const Volume& v) { return std::max<Amount>(0, v.demand - v.reserve); }

// The least level that meets the volume's whole demand.
Amount enough(const Volume& v) {
  return static_cast<Amount>((Wide{beyond(v)} * 1000 + v.weight - 1) / v.weight);
}

}  // namespace

void Nodes::add(int node) {
  int i = count++;
  for (; i > 0 && at[i - 1] > node; --i) at[i] = at[i - 1];
  at[i] = static_cast<std::int16_t>(node);
}

void Nodes::drop(int node) {
  int to = 0;
  for (int i = 0; i < count; ++i)
    if (at[i] != node) at[to++] = at[i];
  count = static_cast<std::int8_t>(to);
}

Amount share_at(const Volume& v, Amount level) {
  const Wide due = Wide{v.weight} * level / 1000;
  return due < beyond(v) ? static_cast<Amount>(due) : beyond(v);
}

std::vector<Amount> levels(const Problem& p) {
  Amount level = 0;
  for (const Volume& v : p.volumes) level = std::max(level, enough(v));
  std::vector<Amount> all;
  for (; level > 0; level = std::min(level - 1, static_cast<Amount>(Wide{level} * 1000 / (1000 + p.near))))
    all.push_back(level);
  all.push_back(0);
  return all;
}

std::int64_t rank_of(const Volume& v, const Node& n) {
  return static_cast<std::int64_t>(stable_hash(v.name + '\n' + n.name) % 1000);
}

Amount part_of(const Volume& v, int nodes) { return v.demand / nodes; }

std::int64_t cost_of(const Problem& p, int v, const Nodes& nodes) {
  const Amount part = part_of(p.volumes[v], nodes.count);
  std::int64_t sum = 0;
  for (int n : nodes) sum += p.nodes[n].cost * part;
  return sum;
}

std::int64_t moved_of(const Problem& p, int v, const Nodes& nodes) {
  const Volume& volume = p.volumes[v];
  if (!volume.placed) return 0;
  std::int64_t sum = 0;
  for (int n : nodes)
    if (!std::binary_search(volume.present.begin(), volume.present.end(), n)) sum += volume.move_cost;
  return sum;
}

std::int64_t rank_of(const Problem& p, int v, const Nodes& nodes) {
  std::int64_t sum = 0;
  for (int n : nodes) sum += rank_of(p.volumes[v], p.nodes[n]);
  return sum;
}

std::int64_t cost_floor(const Problem& p) {
  std::vector<std::int64_t> costs;
  for (const Node& n : p.nodes) costs.push_back(n.cost);
  std::sort(costs.begin(), costs.end());
  std::int64_t sum = 0;
  for (const Volume& v : p.volumes) {
    std::int64_t least = INT64_MAX, cheapest = 0;
    for (int k = 1; k <= std::min<int>(v.nodes, static_cast<int>(costs.size())); ++k) {
      cheapest += costs[static_cast<std::size_t>(k - 1)];
      if (k >= v.nodes_least) least = std::min(least, cheapest * part_of(v, k));
    }
    if (least != INT64_MAX) sum += least;
  }
  return sum;
}

std::int64_t cost_grid(const Problem& p) { return std::max<std::int64_t>(1, cost_floor(p) * p.near / 1000); }

bool fits(const Problem& p, int v, const Nodes& nodes) {
  const Volume& volume = p.volumes[v];
  if (nodes.count < volume.nodes_least || nodes.count > volume.nodes) return false;
  int zones = 0;
  for (int i = 0; i < nodes.count; ++i) {
    bool seen = false;
    for (int j = 0; j < i; ++j) seen |= p.nodes[nodes.at[j]].zone == p.nodes[nodes.at[i]].zone;
    zones += !seen;
  }
  if (zones < volume.zones) return false;
  if (volume.reserve == 0 || volume.keep == Keep::none) return true;
  return nodes.count >= 2 && (volume.keep == Keep::node || zones >= 2);
}

std::vector<Nodes> ways(const Problem& p, int v, const std::vector<int>& from, std::size_t most) {
  std::vector<Nodes> all;
  Nodes now;
  const std::function<void(std::size_t)> go = [&](std::size_t i) {
    if (all.size() > most) return;
    if (now.count > 0 && fits(p, v, now)) all.push_back(now);
    if (now.count == p.volumes[v].nodes) return;
    for (; i < from.size(); ++i) {
      now.at[now.count++] = static_cast<std::int16_t>(from[i]);
      go(i + 1);
      --now.count;
    }
  };
  go(0);
  return all;
}

Loads::Loads(const Problem& p, Amount level)
    : p_(&p),
      losses_(static_cast<int>(p.nodes.size() + p.zones.size())),
      normal_(p.nodes.size()),
      reserve_(p.nodes.size()),
      extra_(p.nodes.size() * static_cast<std::size_t>(losses_)) {
  for (const Volume& v : p.volumes) share_.push_back(share_at(v, level));
}

void Loads::change(int v, const Nodes& nodes, int sign) {
  const Volume& volume = p_->volumes[v];
  const Amount part = sign * volume.reserve * (kParts / nodes.count);
  const Amount whole = part + sign * share_[v] * (kParts / nodes.count);
  for (int n : nodes) reserve_[n] += part, normal_[n] += whole;
  if (volume.keep == Keep::none || volume.reserve == 0 || nodes.count < 2) return;
  const Amount more = sign * extra_part(volume.reserve, nodes.count, 1);
  for (int n : nodes)
    for (int lost : nodes)
      if (lost != n) extra_[index(n, lost)] += more;
  if (volume.keep != Keep::zone) return;
  for (int i = 0; i < nodes.count; ++i) {
    const int zone = p_->nodes[nodes.at[i]].zone;
    int there = 0, before = 0;
    for (int j = 0; j < nodes.count; ++j) {
      if (p_->nodes[nodes.at[j]].zone != zone) continue;
      ++there;
      before += j < i;
    }
    if (before > 0 || there == nodes.count) continue;
    const Amount rest = sign * extra_part(volume.reserve, nodes.count, there);
    for (int n : nodes)
      if (p_->nodes[n].zone != zone) extra_[index(n, static_cast<int>(p_->nodes.size()) + zone)] += rest;
  }
}

Amount Loads::worst(int node) const {
  const auto first = extra_.begin() + static_cast<std::ptrdiff_t>(index(node, 0));
  return *std::max_element(first, first + losses_);
}

Amount Loads::over(int node) const {
  const Amount bears = p_->nodes[node].capacity * kParts;
  return std::max<Amount>(0, normal_[node] - bears) +
         std::max<Amount>(0, reserve_[node] + worst(node) - bears);
}

Amount Loads::over() const {
  Amount sum = 0;
  for (int n = 0; n < static_cast<int>(p_->nodes.size()); ++n) sum += over(n);
  return sum;
}

bool apart_kept(const Problem& p, const Placement& placement) {
  for (const auto& set : p.apart)
    for (std::size_t i = 0; i < set.size(); ++i)
      for (std::size_t j = 0; j < i; ++j)
        for (int n : placement[set[i]])
          if (placement[set[j]].has(n)) return false;
  return true;
}

namespace {

Loads loads_of(const Problem& p, const Placement& placement, Amount level) {
  Loads loads(p, level);
  for (int v = 0; v < static_cast<int>(placement.size()); ++v) loads.add(v, placement[v]);
  return loads;
}

// The highest level of 0..most, or the first index of a falling grid, at which a thing that can only come
// true as the level falls is true.
template <class True>
int first_true(int count, True is) {
  int low = 0, high = count;  // all before low are false, all from high on true
  while (low < high) {
    const int middle = low + (high - low) / 2;
    if (is(middle))
      high = middle;
    else
      low = middle + 1;
  }
  return low < count ? low : -1;
}

template <class True>
Amount last_true(Amount most, True is) {  // it must be true at 0
  Amount low = 0, high = most;
  while (low < high) {
    const Amount middle = low + (high - low + 1) / 2;
    if (is(middle))
      low = middle;
    else
      high = middle - 1;
  }
  return low;
}

}  // namespace

bool holds(const Problem& p, const Placement& placement, Amount level) {
  for (int v = 0; v < static_cast<int>(placement.size()); ++v)
    if (!fits(p, v, placement[v])) return false;
  return apart_kept(p, placement) && loads_of(p, placement, level).over() == 0;
}

int step_of(const Problem& p, const Placement& placement, const std::vector<Amount>& grid) {
  for (int v = 0; v < static_cast<int>(placement.size()); ++v)
    if (!fits(p, v, placement[v])) return -1;
  if (!apart_kept(p, placement)) return -1;
  return first_true(static_cast<int>(grid.size()),
                    [&](int i) { return loads_of(p, placement, grid[i]).over() == 0; });
}

Amount level_of(const Problem& p, const Placement& placement, Amount most) {
  return last_true(most, [&](Amount level) { return loads_of(p, placement, level).over() == 0; });
}

Figures figures(const Problem& p, const Placement& placement, int step) {
  Figures f;
  f.step = step;
  for (int v = 0; v < static_cast<int>(placement.size()); ++v) {
    if (placement[v].count == 0) continue;
    f.cost += cost_of(p, v, placement[v]);
    f.moved += moved_of(p, v, placement[v]);
    f.rank += rank_of(p, v, placement[v]);
  }
  f.cost_step = f.cost / cost_grid(p);
  return f;
}

// Progressive filling: all that still rise do so in step with their weights; at each event one node fills up
// or one volume has its demand, and what hangs on it stands still from there.
std::vector<Amount> fill_shares(const Problem& p, const Placement& placement) {
  const std::size_t volumes = p.volumes.size(), nodes = p.nodes.size();
  std::vector<double> left(nodes), pull(nodes), share(volumes);
  std::vector<char> rising(volumes);
  for (std::size_t n = 0; n < nodes; ++n) left[n] = static_cast<double>(p.nodes[n].capacity);
  std::vector<std::vector<int>> on(nodes);
  std::vector<std::pair<double, int>> met;  // level at which a volume has its demand
  for (std::size_t v = 0; v < volumes; ++v) {
    const Volume& volume = p.volumes[v];
    const Nodes& at = placement[v];
    for (int n : at) left[n] -= static_cast<double>(volume.reserve) / at.count;
    if (beyond(volume) == 0) continue;
    rising[v] = 1;
    met.emplace_back(static_cast<double>(beyond(volume)) / static_cast<double>(volume.weight),
                     static_cast<int>(v));
    for (int n : at) on[n].push_back(static_cast<int>(v));
    for (int n : at) pull[n] += static_cast<double>(volume.weight) / at.count;
  }
  std::sort(met.begin(), met.end());
  double level = 0;
  const auto stop = [&](int v) {
    if (!rising[v]) return;
    rising[v] = 0;
    const Volume& volume = p.volumes[v];
    share[v] = std::min(level * static_cast<double>(volume.weight), static_cast<double>(beyond(volume)));
    for (int n : placement[v]) pull[n] -= static_cast<double>(volume.weight) / placement[v].count;
  };
  const double nothing = 1e-6;
  for (std::size_t next = 0; next < met.size();) {
    if (!rising[met[next].second]) {
      ++next;
      continue;
    }
    double to = met[next].first;
    int full = -1;
    for (std::size_t n = 0; n < nodes; ++n)
      if (pull[n] > nothing && level + std::max(0.0, left[n]) / pull[n] < to)
        to = level + std::max(0.0, left[n]) / pull[n], full = static_cast<int>(n);
    for (std::size_t n = 0; n < nodes; ++n)
      if (pull[n] > nothing) left[n] -= (to - level) * pull[n];
    level = to;
    if (full < 0) {
      stop(met[next].second);
      continue;
    }
    left[full] = 0;
    for (int v : on[full]) stop(v);
  }
  std::vector<Amount> whole;
  for (double s : share) whole.push_back(static_cast<Amount>(s));
  return whole;
}

// Max-flow from volumes to nodes where every volume has the same room towards each node: a cut is a set of
// nodes, and of each size the smallest nodes are the worst. What must flow into them is what the other nodes
// can't take from a volume. With a loss the survivors bear all that is kept, and at least what they had of
// the rest.
Cut bound_allows(const Problem& p, Amount level) {
  const int nodes = static_cast<int>(p.nodes.size());
  std::vector<int> order(p.nodes.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(),
            [&](int x, int y) { return p.nodes[x].capacity < p.nodes[y].capacity; });
  Cut cut;
  // By how many nodes a volume is on: what all such volumes need, in parts. `relaxed` ones count as on one.
  using Need = std::array<Wide, kMostNodesOfVolume + 1>;
  const auto fails = [&](const Need& need, int loss, const std::function<bool(int)>& lost) {
    std::vector<int> there;
    for (int n : order)
      if (!lost(n)) there.push_back(n);
    Wide room = 0;
    for (std::size_t a = 1; a <= there.size(); ++a) {
      room += Wide{p.nodes[there[a - 1]].capacity} * kParts;
      Wide must = 0;
      const int others = static_cast<int>(there.size() - a);
      for (int k = 1; k <= kMostNodesOfVolume; ++k)
        if (k > others) must += need[k] / k * (k - others);
      if (must <= room) continue;
      cut = {false,
             loss,
             {there.begin(), there.begin() + static_cast<std::ptrdiff_t>(a)},
             static_cast<Amount>(must / kParts),
             static_cast<Amount>(room / kParts)};
      std::sort(cut.nodes.begin(), cut.nodes.end());
      return true;
    }
    return false;
  };
  Need all{}, kept_node{}, kept_zone{};
  for (const Volume& v : p.volumes) {
    const int k = v.nodes_least < v.nodes ? 1 : v.nodes;
    if (k > nodes && v.reserve > 0) continue;  // told as what it is: too few nodes
    all[k] += Wide{v.reserve + share_at(v, level)} * kParts;
    // The survivors' parts are larger after a loss; a volume on k may then need all of it from k - 1.
    const int fewer = std::max(1, v.nodes_least < v.nodes ? 1 : k - 1);
    if (v.keep >= Keep::node) kept_node[fewer] += Wide{v.reserve} * kParts;
    if (v.keep == Keep::zone) kept_zone[1] += Wide{v.reserve} * kParts;
  }
  if (fails(all, -1, [](int) { return false; })) return cut;
  for (int lost = 0; lost < nodes && nodes > 1; ++lost)
    if (fails(kept_node, lost, [&](int n) { return n == lost; })) return cut;
  for (int zone = 0; zone < static_cast<int>(p.zones.size()) && p.zones.size() > 1; ++zone)
    if (fails(kept_zone, nodes + zone, [&](int n) { return p.nodes[n].zone == zone; })) return cut;
  // A zone can take only part of a volume that must lie in several: the others must hold the rest.
  for (int zone = 0; zone < static_cast<int>(p.zones.size()) && p.zones.size() > 1; ++zone) {
    Wide must = 0, room = 0;
    int size = 0;
    for (const Node& n : p.nodes)
      if (n.zone == zone) ++size;
    for (const Volume& v : p.volumes) {
      if (v.nodes_least < v.nodes) continue;
      const int outside = std::max(v.zones - 1, v.nodes - size);
      if (outside > 0) must += Wide{v.reserve + share_at(v, level)} * kParts / v.nodes * outside;
    }
    for (int n = 0; n < nodes; ++n)
      if (p.nodes[n].zone != zone) room += Wide{p.nodes[n].capacity} * kParts;
    if (must <= room) continue;
    cut = {false, -1, {}, static_cast<Amount>(must / kParts), static_cast<Amount>(room / kParts)};
    for (int n = 0; n < nodes; ++n)
      if (p.nodes[n].zone != zone) cut.nodes.push_back(n);
    return cut;
  }
  return cut;
}

int bound_step(const Problem& p, const std::vector<Amount>& grid) {
  return first_true(static_cast<int>(grid.size()), [&](int i) { return bound_allows(p, grid[i]).allows; });
}

Amount bound_level(const Problem& p, Amount most) {
  return last_true(most, [&](Amount level) { return bound_allows(p, level).allows; });
}

std::int64_t bound_cost(const Problem& p, Amount level) {
  std::vector<const Node*> order;
  for (const Node& n : p.nodes) order.push_back(&n);
  std::sort(order.begin(), order.end(), [](const Node* x, const Node* y) { return x->cost < y->cost; });
  Wide left = 0, sum = 0;  // what surely is carried; what is expected beyond it costs the least
  Wide wanted = 0;
  for (const Volume& v : p.volumes) {
    const Amount told = v.nodes_least < v.nodes ? 0 : part_of(v, v.nodes) * v.nodes;
    wanted += told;
    left += std::min(told, v.reserve + share_at(v, level));
  }
  const Wide rest = wanted - left;
  if (!order.empty()) sum += rest * order.front()->cost;
  for (const Node* n : order) {
    const Wide here = std::min<Wide>(left, n->capacity);
    sum += here * n->cost;
    left -= here;
  }
  return std::max(cost_floor(p), static_cast<std::int64_t>(sum));
}

}  // namespace yewmount::solver
