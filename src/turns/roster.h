// Small indices for nodes that come and go, with what is known of each. An index stays a node's until it is
// gone from the list and all who know the index have let go of it.
#pragma once
#include <deque>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "rules/rules.h"

namespace yewmount::turns {

struct ListedNode {
  std::string name, zone;
  int shard = -1;
  NodeState state = NodeState::gone;
  double share = 1;
  Micros up_since = 0;  // of this machine's monotonic clock; 0: long ago
  bool used = false;    // this index stands for a node
};

class ListTold {
 public:
  virtual ~ListTold() = default;
  // entries' names are good as long as the index is that node's.
  virtual void listed(ListKind kind, std::span<const NodeEntry> entries) = 0;
  // Whether all others have let go of the index of a node that is gone.
  virtual bool may_reuse(int node) = 0;
};

// Known is a ListedNode with what else its list tells.
template <class Known>
class Roster {
 public:
  NodeEntry entry(int at) {
    const Known& n = all_[at];
    const int zone = zones_.try_emplace(n.zone, static_cast<int>(zones_.size())).first->second;
    return {at, n.name, n.state, n.shard, zone, n.share, n.up_since};
  }
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
  std::unordered_map<std::string, int> indices_, zones_;
  std::vector<int> free_;
};

}  // namespace yewmount::turns
