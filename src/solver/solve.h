// Works out a placement: exactly where the ways are few, else by a start that fills nodes evenly, a search by
// small moves and exact steps over a few volumes and nodes at a time. What it tells of its own quality is
// proven: figures are checked in whole numbers, the gap is to a bound.
#pragma once
#include <optional>
#include <random>
#include <string>

#include "solver/model.h"

namespace yewmount::solver {

struct Effort {
  Until until;
  bool exact = true;    // false: search even where the ways are few
  int most_ways = 120;  // above, it is not tried exactly
  int most_tree_nodes = 5000;
};

struct Answer {
  bool met = false;     // all reserves, spreads and keeps hold
  bool proven = false;  // met: no better figures are possible; not met: none is possible at all
  bool in_time = true;  // false: time was over, and this is the best so far
  Placement placement;  // met or not; not met: the least beyond what nodes bear that was found
  Figures figures;
  Amount level = 0;        // the lowest volume's, beyond its reserve for a weight of one
  Amount level_bound = 0;  // no placement has a higher one
  std::int64_t cost_bound = 0;
  std::int64_t moved_floor = 0;     // move costs that can't be avoided: what lay on nodes that are gone
  Amount over = 0;                  // not met: by so much, all nodes together
  std::vector<Amount> shares;       // met: beyond the reserves
  long steps = 0, exact_steps = 0;  // how much was tried

  // How much higher the level could at most be, as a part of it.
  double level_gap() const;
  double cost_gap() const;
};

Answer solve(const Problem& p, const Effort& effort);

// Whether all reserves, spreads, keeps and aparts can be met at all; empty: not settled. `search`: also by
// search, which may find a placement where the ways are too many to try them exactly.
std::optional<bool> possible(const Problem& p, const Effort& effort, bool search);

// Two plain ways to compare with: the largest first, each to the nodes with most room; and each volume's
// nodes drawn in proportion to what they bear.
Placement greedy_by_size(const Problem& p);
Placement drawn_by_capacity(const Problem& p);
// What those come to, met or not.
Answer judge(const Problem& p, Placement placement);

}  // namespace yewmount::solver
