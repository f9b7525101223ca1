// The exact part: which of the given ways each of some volumes takes, as a mixed integer program solved by
// GLPK, the other volumes standing still. Whatever the library finds is checked again in whole numbers.
#pragma once
#include <memory>
#include <optional>

#include "solver/model.h"

namespace yewmount::solver {

enum class Aim : std::uint8_t { any, cost, moved, rank };

struct Found {
  bool proven = false;                      // nothing better is there; with no placement: there is none
  std::optional<std::vector<Nodes>> nodes;  // by the volumes asked for
};

class Exact {
 public:
  // `rest`: the loads of all other volumes at that level; `held`: where they lie (apart); volumes: which are
  // to be placed, each with its ways.
  Exact(const Problem& p, Amount level, const Loads& rest, const Placement& held, std::vector<int> volumes,
        std::vector<std::vector<Nodes>> ways);
  ~Exact();
  Exact(const Exact&) = delete;
  Exact& operator=(const Exact&) = delete;

  // Sums over the volumes asked for; they hold for every later find().
  void cost_at_most(std::int64_t most);
  void moved_at_most(std::int64_t most);
  // Gives up after so many nodes of its search tree, so that the same input always gives the same answer, or
  // once time is over.
  Found find(Aim aim, int most_tree_nodes, const Until& until);

 private:
  struct Program;
  std::unique_ptr<Program> program_;
};

}  // namespace yewmount::solver
