// Small indices for nodes that come and go, with what is known of each. An index stays a node's until it is
// gone from the list and all who know the index have let go of it.
#pragma once
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "rules/rules.h"

namespace yewmount::turns {

// Known has a name, a state, and whether its index stands for a node (used).
template <class Known>
class Roster {
 public:
  int index_of(const std::string& name) {
    if (const auto it = indices_.find(name); it != indices_.end()) return it->second;
    int at = size();
    if (free_.empty()) {
      all_.emplace_back();
    } else {
      at = free_.back();
      free_.pop_back();
    }
    all_[at] = Known{};
    all_[at].name = name;
    all_[at].used = true;
    indices_[name] = at;
    return at;
  }
  int find(const std::string& name) const {
    const auto it = indices_.find(name);
    return it != indices_.end() ? it->second : -1;
  }
  template <class MayReuse>
  void tidy(MayReuse may_reuse) {
    for (int at = 0; at < size(); ++at) {
      Known& n = all_[at];
      if (!n.used || n.state != NodeState::gone || !may_reuse(at)) continue;
      indices_.erase(n.name);
      n = Known{};
      free_.push_back(at);
    }
  }
  int size() const { return static_cast<int>(all_.size()); }
  std::size_t used() const { return indices_.size(); }
  Known& operator[](int at) { return all_[at]; }
  const Known& operator[](int at) const { return all_[at]; }
  auto begin() { return all_.begin(); }
  auto end() { return all_.end(); }

 private:
  std::deque<Known> all_;
  std::unordered_map<std::string, int> indices_;
  std::vector<int> free_;
};

}  // namespace yewmount::turns
