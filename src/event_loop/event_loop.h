// Utilities of event loops that drive a head's decision module: timers, bounded handler batches, and reusable
// indices for keys.
#pragma once
#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <iterator>
#include <list>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/base.h"
#include "rules/rules.h"

namespace yewmount::event_loop {

// Unordered list of one-shot timers, each with a token.
class TimerList {
 public:
  void add(Micros at, std::uint64_t token) { timers_.emplace_back(at, token); }
  // The time of the earliest timer, or `limit` if that is earlier.
  Micros next(Micros limit) const {
    for (const auto& [at, token] : timers_) limit = std::min(limit, at);
    return limit;
  }
  // Removes the timers that are due and calls `on_timer` with the token of each. Timers that `on_timer` adds
  // run in this call if they are due already, otherwise in a later one.
  template <class OnTimer>
  void run_due(Micros now, OnTimer on_timer) {
    for (std::size_t i = 0; i < timers_.size();) {
      if (timers_[i].first > now) {
        ++i;
        continue;
      }
      const std::uint64_t token = timers_[i].second;
      timers_[i] = timers_.back();
      timers_.pop_back();
      on_timer(token);
    }
  }

 private:
  std::vector<std::pair<Micros, std::uint64_t>> timers_;
};

// Waits for handlers until `until`, then runs those that are ready, up to limits in number and time that keep
// the module's ticks regular under load. Returns whether all ready handlers have run.
inline bool run_handlers(asio::io_context& io, Micros until) {
  constexpr std::size_t kMaxHandlersPerIteration = 256;
  constexpr Micros kMaxTimePerIterationUs = 2'000;
  const auto wait = std::chrono::microseconds(std::max<Micros>(0, until - monotonic_now()));
  // Polls even after a timeout or an interrupted wait: handlers may have become ready meanwhile.
  std::size_t handlers = io.run_one_for(wait);
  const Micros stop_at = monotonic_now() + kMaxTimePerIterationUs;
  bool is_caught_up = false;
  while (!is_caught_up && handlers < kMaxHandlersPerIteration && monotonic_now() < stop_at) {
    is_caught_up = io.poll_one() == 0;
    ++handlers;
  }
  if (io.stopped()) io.restart();
  return is_caught_up;
}

// Assigns small indices to keys. The index of a key that has been unused for long is recycled once its other
// users have released it. The number of keys is bounded, since clients choose them; keys that have been used
// only once give way first, so that a client with ever new keys does not displace those of others.
template <class Key>
class IndexPool {
 public:
  explicit IndexPool(std::size_t max_size = SIZE_MAX) : max_size_(max_size) {}

  // Returns the key's index, assigning one if needed, and marks the key as used at `now`. Where the pool is
  // full, an index is recycled for which `may_release(index)` returns true. Returns -1 if there is none.
  template <class MayRelease>
  int acquire(const Key& key, Micros now, MayRelease may_release) {
    if (const auto it = entries_.find(key); it != entries_.end()) {
      Entry& entry = it->second;
      entry.last_used = now;
      reused_.splice(reused_.end(), entry.is_reused ? reused_ : new_, entry.position);
      entry.is_reused = true;
      return entry.index;
    }
    if (entries_.size() >= max_size_ && !release_one(may_release)) return -1;
    new_.push_back(key);
    Entry& entry = entries_[key];
    entry.last_used = now;
    entry.position = std::prev(new_.end());
    if (free_.empty()) return entry.index = next_++;
    entry.index = free_.back();
    free_.pop_back();
    return entry.index;
  }
  // The same for a pool that is never full.
  int acquire(const Key& key, Micros now) {
    return acquire(key, now, [](int) { return false; });
  }
  // Recycles the indices of keys last used before `before` for which `may_release(index)` returns true.
  template <class MayRelease>
  void release_unused(Micros before, MayRelease may_release) {
    for (std::list<Key>* keys : {&new_, &reused_})
      for (auto it = keys->begin(); it != keys->end();) {
        const auto entry = entries_.find(*it++);
        if (entry->second.last_used >= before) break;
        if (may_release(entry->second.index)) release(entry);
      }
  }
  std::size_t size() const { return entries_.size(); }

 private:
  static constexpr int kMaxTries = 16;  // keys that are looked at to find one that may be released

  struct Entry {
    int index = -1;
    Micros last_used = 0;
    bool is_reused = false;
    typename std::list<Key>::iterator position;  // in reused_ or new_
  };
  using Entries = std::unordered_map<Key, Entry>;

  // Releases one of the keys that have been unused longest: of the new ones while they hold a quarter of the
  // pool, else of the reused ones.
  template <class MayRelease>
  bool release_one(MayRelease may_release) {
    const bool new_first = new_.size() >= max_size_ / 4;
    return release_from(new_first ? new_ : reused_, may_release) ||
           release_from(new_first ? reused_ : new_, may_release);
  }
  template <class MayRelease>
  bool release_from(std::list<Key>& keys, MayRelease may_release) {
    int tries = 0;
    for (auto it = keys.begin(); it != keys.end() && tries < kMaxTries; ++it, ++tries) {
      const auto entry = entries_.find(*it);
      if (!may_release(entry->second.index)) continue;
      release(entry);
      return true;
    }
    return false;
  }
  void release(typename Entries::iterator entry) {
    free_.push_back(entry->second.index);
    (entry->second.is_reused ? reused_ : new_).erase(entry->second.position);
    entries_.erase(entry);
  }

  std::size_t max_size_;
  Entries entries_;
  // The keys that have been used once, and more often; the one that has been unused longest first.
  std::list<Key> new_;
  std::list<Key> reused_;
  std::vector<int> free_;
  int next_ = 0;
};

}  // namespace yewmount::event_loop
