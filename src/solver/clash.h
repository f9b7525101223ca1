// Why a problem can't be met: for each clash a set of constraints of which none can be left out, and what the
// least is that would do.
#pragma once
#include <string>

#include "solver/solve.h"

namespace yewmount::solver {

enum class Kind : std::uint8_t { reserve, keep, zones, spread, apart };

struct Constraint {
  Kind kind;
  int index;  // of the volume, or of the set of volumes that are apart
  bool operator==(const Constraint&) const = default;
};

// One change that alone does away with a clash, and nothing smaller of its kind does.
struct Relaxation {
  enum class What : std::uint8_t {
    reserves,
    all_reserves,
    capacities,
    keep,
    zones,
    spread,
    apart
  } what = What::reserves;
  int index = -1;              // of the volume or apart set
  int to = 0;                  // thousandths of reserves or capacities; the number of zones or nodes; Keep
  std::vector<int> volumes{};  // whose reserves
  Amount units = 0;            // by how much less reserve, or more capacity, in all
  std::string text{};          // in operators' words
};

struct Clash {
  std::vector<Constraint> set;
  bool minimal = true;  // shown that any one taken out lets the others be met
  Cut cut;              // where a bound tells what is short
  std::string text;
  std::vector<Relaxation> least;
};

struct Explanation {
  bool met = false;     // nothing clashes
  bool proven = false;  // it surely can't be met; with neither, it was not settled
  std::vector<Clash> clashes;
  bool together = false;  // the first relaxation of each, all at once, was seen to do
};

std::vector<Constraint> constraints(const Problem& p);
// With all constraints dropped that are not in the set.
Problem with_only(const Problem& p, const std::vector<Constraint>& set);
Problem relaxed(const Problem& p, const Relaxation& r);

Explanation explain(const Problem& p, const Effort& effort);

}  // namespace yewmount::solver
