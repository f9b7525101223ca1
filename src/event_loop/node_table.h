// Table of the known nodes under small indices. A node keeps its index until it has left the membership and
// all users of the index have released it.
#pragma once
#include <deque>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "rules/rules.h"

namespace yewmount::event_loop {

// What every membership source tells about a node.
struct ListedNode {
  std::string name;
  std::string zone;
  int shard = -1;
  NodeState state = NodeState::gone;
  double share = 1;
  Micros up_since = 0;  // on this machine's monotonic clock; 0: long ago
  bool used = false;    // whether this index is assigned to a node
};

// Receives membership lists.
class MembershipObserver {
 public:
  virtual ~MembershipObserver() = default;
  // The names in `entries` stay valid as long as their node keeps its index.
  virtual void on_membership(ListKind kind, std::span<const NodeEntry> entries) = 0;
  // Whether all other users have released the index of a node that is gone.
  virtual bool may_reuse(int node) = 0;
};

// Node is a ListedNode with the further fields of its membership source.
template <class Node>
class NodeTable {
 public:
  // Describes a node for the decision module.
  NodeEntry entry(int index) {
    const Node& node = nodes_[index];
    const int zone = zones_.try_emplace(node.zone, static_cast<int>(zones_.size())).first->second;
    return {index, node.name, node.state, node.shard, zone, node.share, node.up_since};
  }
  // Returns the node's index, assigning one if needed.
  int index_of(const std::string& name) {
    if (const auto it = indices_.find(name); it != indices_.end()) return it->second;
    int index = size();
    if (free_.empty()) {
      nodes_.emplace_back();
    } else {
      index = free_.back();
      free_.pop_back();
    }
    nodes_[index] = Node{};
    nodes_[index].name = name;
    nodes_[index].used = true;
    indices_[name] = index;
    return index;
  }
  // Returns the node's index, or -1.
  int find(const std::string& name) const {
    const auto it = indices_.find(name);
    return it != indices_.end() ? it->second : -1;
  }
  // Frees the indices of nodes that are gone and for which `may_reuse(index)` returns true.
  template <class MayReuse>
  void release_gone(MayReuse may_reuse) {
    for (int index = 0; index < size(); ++index) {
      Node& node = nodes_[index];
      if (!node.used || node.state != NodeState::gone || !may_reuse(index)) continue;
      indices_.erase(node.name);
      node = Node{};
      free_.push_back(index);
    }
  }
  int size() const { return static_cast<int>(nodes_.size()); }  // indices ever assigned
  std::size_t used() const { return indices_.size(); }          // indices assigned now
  Node& operator[](int index) { return nodes_[index]; }
  const Node& operator[](int index) const { return nodes_[index]; }
  auto begin() { return nodes_.begin(); }
  auto end() { return nodes_.end(); }

 private:
  std::deque<Node> nodes_;
  std::unordered_map<std::string, int> indices_;
  std::unordered_map<std::string, int> zones_;
  std::vector<int> free_;
};

}  // namespace yewmount::event_loop
