// What every loop that drives a head's module has in common: wake-ups, the handlers of one turn, small
// indices for names that come and go.
#pragma once
#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/base.h"
#include "rules/rules.h"

namespace yewmount::turns {

class Wakes {
 public:
  void add(Micros at, std::uint64_t token) { all_.emplace_back(at, token); }
  Micros next(Micros otherwise) const {
    for (const auto& [at, token] : all_) otherwise = std::min(otherwise, at);
    return otherwise;
  }
  // Calls with each token that is due; what is added meanwhile waits for the next call or comes in this one.
  template <class Woke>
  void due(Micros now, Woke woke) {
    for (std::size_t i = 0; i < all_.size();) {
      if (all_[i].first > now) {
        ++i;
        continue;
      }
      const std::uint64_t token = all_[i].second;
      all_[i] = all_.back();
      all_.pop_back();
      woke(token);
    }
  }

 private:
  std::vector<std::pair<Micros, std::uint64_t>> all_;
};

// Waits for handlers until `until`, then runs those that are ready: a handful a turn, so that the module's
// ticks keep coming under any flood. Returns whether none is left.
inline bool gather(asio::io_context& io, Micros until) {
  constexpr std::size_t kHandlersATurn = 256;
  const auto wait = std::chrono::microseconds(std::max<Micros>(0, until - monotonic_now()));
  // A wait that timed out, or was interrupted, says nothing of what has come meanwhile.
  std::size_t handlers = io.run_one_for(wait);
  while (handlers < kHandlersATurn && io.poll_one() > 0) ++handlers;
  if (io.stopped()) io.restart();
  return handlers < kHandlersATurn;
}

// Small indices for keys that come and go; one long unused goes to the next key once its users let go.
template <class Key>
class Indices {
 public:
  int use(const Key& key, Micros now) {
    Use& use = uses_[key];
    use.used = now;
    if (use.index >= 0) return use.index;
    if (free_.empty()) return use.index = next_++;
    use.index = free_.back();
    free_.pop_back();
    return use.index;
  }
  template <class Forget>
  void tidy(Micros before, Forget forget) {
    for (auto it = uses_.begin(); it != uses_.end();) {
      if (it->second.used < before && forget(it->second.index)) {
        free_.push_back(it->second.index);
        it = uses_.erase(it);
      } else {
        ++it;
      }
    }
  }
  std::size_t size() const { return uses_.size(); }

 private:
  struct Use {
    int index = -1;
    Micros used = 0;
  };
  std::unordered_map<Key, Use> uses_;
  std::vector<int> free_;
  int next_ = 0;
};

}  // namespace yewmount::turns
