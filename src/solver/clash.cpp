#include "solver/clash.h"

#include <algorithm>
#include <cstdio>

namespace yewmount::solver {
namespace {

constexpr int kMostClashes = 5;
constexpr std::size_t kChecked = 24;  // a larger set is not checked member by member by search
constexpr std::size_t kNamed = 8;     // volumes or nodes named before "and n more"
constexpr int kMostCapacity = 10000;  // thousandths more

std::string units(Amount amount) {
  char text[32];
  const bool whole = amount % 1000 == 0;
  std::snprintf(text, sizeof text, whole ? "%.0f" : "%.3f", static_cast<double>(amount) / 1000);
  return text;
}

std::string names(const std::vector<std::string>& all) {
  std::string text;
  for (std::size_t i = 0; i < all.size() && i < kNamed; ++i) text += (i ? ", " : "") + all[i];
  if (all.size() > kNamed) text += " and " + std::to_string(all.size() - kNamed) + " more";
  return text;
}

std::string volume_names(const Problem& p, const std::vector<int>& volumes) {
  std::vector<std::string> all;
  for (int v : volumes) all.push_back(p.volumes[v].name);
  return (volumes.size() == 1 ? "volume " : "volumes ") + names(all);
}

// Nodes by their zones where they are all of a zone.
std::string node_names(const Problem& p, const std::vector<int>& nodes) {
  if (nodes.size() == p.nodes.size()) return "all nodes together";
  std::vector<std::string> zones, single;
  for (int z = 0; z < static_cast<int>(p.zones.size()); ++z) {
    std::vector<std::string> in;
    int all = 0;
    for (int n = 0; n < static_cast<int>(p.nodes.size()); ++n) {
      if (p.nodes[n].zone != z) continue;
      ++all;
      if (std::find(nodes.begin(), nodes.end(), n) != nodes.end()) in.push_back(p.nodes[n].name);
    }
    if (all > 0 && static_cast<int>(in.size()) == all)
      zones.push_back(p.zones[z]);
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

std::string keep_word(Keep keep) {
  return keep == Keep::zone ? "zone" : keep == Keep::node ? "node" : "none";
}

std::string apart_names(const Problem& p, int set) { return volume_names(p, p.apart[set]); }

std::string told(const Problem& p, const Constraint& c) {
  const auto& v = p.volumes[c.kind == Kind::apart ? 0 : c.index];
  switch (c.kind) {
    case Kind::reserve:
      return "volume " + v.name + " has a reserve of " + units(v.reserve) + " units";
    case Kind::keep:
      return "volume " + v.name + " keeps its reserve when a " + keep_word(v.keep) + " is lost";
    case Kind::zones:
      return "volume " + v.name + " lies in " + std::to_string(v.zones) + " zones";
    case Kind::spread:
      return "volume " + v.name + " lies on " + std::to_string(v.nodes) + " nodes";
    case Kind::apart:
      return apart_names(p, c.index) + " share no node";
  }
  return {};
}

std::string told(const Problem& p, const Clash& clash) {
  std::vector<int> reserves;
  std::vector<Constraint> others;
  for (const Constraint& c : clash.set)
    if (c.kind == Kind::reserve)
      reserves.push_back(c.index);
    else
      others.push_back(c);
  std::string text;
  if (!clash.cut.allows && !reserves.empty()) {
    const int nodes = static_cast<int>(p.nodes.size());
    if (clash.cut.loss >= nodes)
      text = "with zone " + p.zones[clash.cut.loss - nodes] + " lost, ";
    else if (clash.cut.loss >= 0)
      text = "with node " + p.nodes[clash.cut.loss].name + " lost, ";
    text += node_names(p, clash.cut.nodes) + " can't bear the reserve of " + volume_names(p, reserves) +
            ": " + units(clash.cut.needed) + " units a second must lie there, there is room for " +
            units(clash.cut.there) + ": " + units(clash.cut.needed - clash.cut.there) + " units short";
    // The clash is as small as can be; what all reserves lack there may be far more.
    if (const Cut all = bound_allows(p, 0); !all.allows && all.loss == clash.cut.loss &&
                                            all.nodes == clash.cut.nodes &&
                                            all.needed - all.there > clash.cut.needed - clash.cut.there)
      text += " (with all reserves " + units(all.needed - all.there) + ")";
    if (others.empty()) return text;
    text += "; because ";
  } else {
    text = clash.set.size() == 1 ? "" : "these together: ";
    if (reserves.size() > kNamed) {
      Amount sum = 0;
      for (int v : reserves) sum += p.volumes[v].reserve;
      text += "reserves of " + units(sum) + " units of " + volume_names(p, reserves);
      if (!others.empty()) text += "; ";
    } else {
      for (std::size_t i = 0; i < reserves.size(); ++i)
        text += (i ? "; " : "") + told(p, Constraint{Kind::reserve, reserves[i]});
      if (!reserves.empty() && !others.empty()) text += "; ";
    }
  }
  for (std::size_t i = 0; i < others.size() && i < kNamed; ++i) text += (i ? "; " : "") + told(p, others[i]);
  if (others.size() > kNamed) text += "; and " + std::to_string(others.size() - kNamed) + " more";
  if (clash.cut.allows)
    text += " (there are " + std::to_string(p.nodes.size()) + " nodes in " + std::to_string(p.zones.size()) +
            " zones)";
  return text;
}

// The largest or least value that does, of values that do from some point on.
template <class Does>
int least_that(int low, int high, Does does) {  // does(high) must be true
  while (low < high) {
    const int middle = low + (high - low) / 2;
    if (does(middle))
      high = middle;
    else
      low = middle + 1;
  }
  return high;
}

std::vector<Relaxation> least(const Problem& p, const Clash& clash, const Effort& effort) {
  using What = Relaxation::What;
  std::vector<Relaxation> all;
  const auto does = [&](const Relaxation& r) { return possible(relaxed(p, r), effort, true) == true; };
  // `less` thousandths off reserves, the least that does.
  const auto reserves = [&](Relaxation r) {
    r.to = 0;
    if (r.volumes.empty() || !does(r)) return;
    const auto at = [&](int less) {
      r.to = 1000 - less;
      return does(r);
    };
    r.to = 1000 - least_that(1, 1000, at);
    const Problem then = relaxed(p, r);
    for (int v : r.volumes) r.units += p.volumes[v].reserve - then.volumes[v].reserve;
    r.text = "reserves of " +
             (r.what == What::all_reserves ? std::string("all volumes") : volume_names(p, r.volumes)) +
             " at " + units(r.to * 100) + " %: " + units(r.units) + " units less";
    all.push_back(std::move(r));
  };
  Relaxation some, every{.what = What::all_reserves};
  for (const Constraint& c : clash.set)
    if (c.kind == Kind::reserve) some.volumes.push_back(c.index);
  for (int v = 0; v < static_cast<int>(p.volumes.size()); ++v)
    if (p.volumes[v].reserve > 0) every.volumes.push_back(v);
  const bool differ = every.volumes != some.volumes;
  reserves(some);
  if (all.empty() && differ) reserves(every);
  Relaxation more{.what = What::capacities, .to = 1000 + kMostCapacity};
  if (does(more)) {
    const auto at = [&](int to) {
      more.to = to;
      return does(more);
    };
    more.to = least_that(1001, 1000 + kMostCapacity, at);
    const Problem then = relaxed(p, more);
    for (std::size_t n = 0; n < p.nodes.size(); ++n)
      more.units += then.nodes[n].capacity - p.nodes[n].capacity;
    more.text = "all nodes at " + units(more.to * 100) + " % of what they bear: " + units(more.units) +
                " units a second more";
    all.push_back(more);
  }
  for (const Constraint& c : clash.set) {
    if (c.kind == Kind::reserve || all.size() > kNamed) continue;
    Relaxation r{.what = What::apart, .index = c.index};
    bool done = false;
    if (c.kind == Kind::apart) {
      done = does(r);
      r.text = apart_names(p, c.index) + " may share nodes";
    } else {
      const Volume& v = p.volumes[c.index];
      r.what = c.kind == Kind::keep ? What::keep : c.kind == Kind::zones ? What::zones : What::spread;
      const int from = c.kind == Kind::keep    ? static_cast<int>(v.keep)
                       : c.kind == Kind::zones ? v.zones
                                               : v.nodes;
      for (int to = from - 1; to >= (c.kind == Kind::keep ? 0 : 1) && !done; --to) {
        r.to = to;
        done = does(r);
      }
      r.text = c.kind == Kind::keep
                   ? "volume " + v.name + " keeps its reserve when a node is lost only"
                   : "volume " + v.name + (c.kind == Kind::zones ? " in " : " on ") + std::to_string(r.to) +
                         (c.kind == Kind::zones ? " zones" : " nodes");
      if (c.kind == Kind::keep && r.to == 0)
        r.text = "volume " + v.name + " keeps its reserve through no loss";
    }
    if (done) all.push_back(std::move(r));
  }
  return all;
}

}  // namespace

std::vector<Constraint> constraints(const Problem& p) {
  std::vector<Constraint> all;
  // In the order in which they are tried to be left out: what says most of a cause stays longest.
  for (int s = 0; s < static_cast<int>(p.apart.size()); ++s) all.push_back({Kind::apart, s});
  std::vector<int> order;
  for (int v = 0; v < static_cast<int>(p.volumes.size()); ++v) order.push_back(v);
  std::stable_sort(order.begin(), order.end(),
                   [&](int x, int y) { return p.volumes[x].reserve < p.volumes[y].reserve; });
  for (int v : order)
    if (p.volumes[v].zones > 1) all.push_back({Kind::zones, v});
  for (int v : order)
    if (p.volumes[v].keep != Keep::none && p.volumes[v].reserve > 0) all.push_back({Kind::keep, v});
  for (int v : order)
    if (p.volumes[v].reserve > 0) all.push_back({Kind::reserve, v});
  for (int v : order)
    if (p.volumes[v].nodes > 1) all.push_back({Kind::spread, v});
  return all;
}

Problem with_only(const Problem& p, const std::vector<Constraint>& set) {
  const std::size_t volumes = p.volumes.size();
  std::vector<char> reserve(volumes), keep(volumes), zones(volumes), spread(volumes), apart(p.apart.size());
  for (const Constraint& c : set)
    (c.kind == Kind::reserve  ? reserve
     : c.kind == Kind::keep   ? keep
     : c.kind == Kind::zones  ? zones
     : c.kind == Kind::spread ? spread
                              : apart)[c.index] = 1;
  Problem q = p;
  for (std::size_t s = 0; s < apart.size(); ++s)
    if (!apart[s]) q.apart[s].clear();  // its place stays: the others keep their numbers
  for (std::size_t v = 0; v < volumes; ++v) {
    Volume& volume = q.volumes[v];
    if (!reserve[v]) volume.reserve = 0;
    if (!keep[v]) volume.keep = Keep::none;
    if (!zones[v]) volume.zones = 1;
    if (!spread[v]) volume.nodes_least = 1;
  }
  return q;
}

Problem relaxed(const Problem& p, const Relaxation& r) {
  using What = Relaxation::What;
  Problem q = p;
  switch (r.what) {
    case What::reserves:
    case What::all_reserves:
      for (int v : r.volumes) q.volumes[v].reserve = q.volumes[v].reserve * r.to / 1000;
      break;
    case What::capacities:
      for (Node& n : q.nodes) n.capacity = (n.capacity * r.to + 999) / 1000;
      break;
    case What::keep:
      q.volumes[r.index].keep = static_cast<Keep>(r.to);
      break;
    case What::zones:
      q.volumes[r.index].zones = r.to;
      break;
    case What::spread: {
      Volume& v = q.volumes[r.index];
      v.nodes = v.nodes_least = r.to;
      v.zones = std::min(v.zones, r.to);
      break;
    }
    case What::apart:
      q.apart[r.index].clear();
      break;
  }
  return q;
}

Explanation explain(const Problem& p, const Effort& effort) {
  Explanation e;
  const auto whole = possible(p, effort, true);
  e.met = whole == true;
  e.proven = whole == false;
  if (!e.proven) return e;
  std::vector<Constraint> left = constraints(p);
  for (int round = 0; round < kMostClashes; ++round) {
    if (possible(with_only(p, left), effort, false) != false) break;
    if (effort.until.over()) break;
    Clash clash;
    clash.set = left;
    // Each in turn is left out for good where the others clash without it. What is not settled stays in.
    for (const Constraint& c : left) {
      if (effort.until.over()) clash.minimal = false;
      if (!clash.minimal && effort.until.over()) break;
      std::vector<Constraint> fewer = clash.set;
      std::erase(fewer, c);
      const auto still = possible(with_only(p, fewer), effort, false);
      if (still == false) clash.set = std::move(fewer);
    }
    for (std::size_t i = 0; i < clash.set.size() && clash.minimal; ++i) {
      if (clash.set.size() > kChecked) clash.minimal = false;
      std::vector<Constraint> fewer = clash.set;
      fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(i));
      clash.minimal = clash.minimal && possible(with_only(p, fewer), effort, true) == true;
    }
    clash.cut = bound_allows(with_only(p, clash.set), 0);
    clash.text = told(p, clash);
    for (const Constraint& c : clash.set) std::erase(left, c);
    e.clashes.push_back(std::move(clash));
  }
  // Each clash is mended with the others out of the way, then all mendings are tried together.
  Problem all = p;
  bool each = !e.clashes.empty();
  for (std::size_t i = 0; i < e.clashes.size(); ++i) {
    std::vector<Constraint> rest = constraints(p);
    for (std::size_t j = 0; j < e.clashes.size(); ++j)
      if (j != i)
        for (const Constraint& c : e.clashes[j].set) std::erase(rest, c);
    Problem alone = with_only(p, rest);
    if (e.clashes.size() == 1) alone = p;
    e.clashes[i].least = least(alone, e.clashes[i], effort);
    each = each && !e.clashes[i].least.empty();
  }
  if (each) {
    for (const Clash& c : e.clashes) all = relaxed(all, c.least.front());
    e.together = possible(all, effort, true) == true;
  }
  return e;
}

}  // namespace yewmount::solver
