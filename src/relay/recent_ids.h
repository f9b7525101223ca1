// Remembers the clients' ids of requests that may have run, so that none runs again when it comes a second
// time. Bounded: the oldest ids are forgotten first.
#pragma once
#include <cstdint>
#include <vector>

#include "rules/containers.h"

namespace yewmount::relay {

class RecentIds {
 public:
  explicit RecentIds(std::size_t max_size) : max_size_(max_size) {}

  bool contains(std::uint64_t id) const { return positions_.find(id) >= 0; }
  std::size_t size() const { return ids_.size(); }
  void add(std::uint64_t id) {
    if (contains(id)) return;
    if (ids_.size() < max_size_) {
      ids_.push_back(id);
      positions_.insert(id, static_cast<int>(ids_.size()) - 1);
      return;
    }
    positions_.erase(ids_[oldest_]);
    positions_.insert(id, static_cast<int>(oldest_));
    ids_[oldest_] = id;
    oldest_ = (oldest_ + 1) % max_size_;
  }

 private:
  const std::size_t max_size_;
  std::vector<std::uint64_t> ids_;  // a ring once it is full
  std::size_t oldest_ = 0;          // position in a full ring
  IdMap positions_;                 // of the ids in ids_
};

}  // namespace yewmount::relay
