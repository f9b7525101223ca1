// Data structures of the scheduler and the connection code: a slab allocator, sets and orders of its indexes,
// an id hash map, a stable string hash, and decayed or windowed statistics. They allocate only when they
// grow.
#pragma once
#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <vector>

namespace yewmount {

// FNV-1a with a final mix: the same on every machine and run, unlike std::hash.
constexpr std::uint64_t stable_hash(std::string_view text) {
  std::uint64_t h = 1469598103934665603ULL;
  for (char c : text) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  h ^= h >> 32;
  h *= 0x9E3779B97F4A7C15ULL;
  return h ^ (h >> 29);
}

// Objects addressed by a small index. Released indexes are reused, the last released first. A reference is
// valid until the next allocate().
template <class T>
class Slab {
 public:
  int allocate() {
    if (free_.empty()) {
      objects_.emplace_back();
      return static_cast<int>(objects_.size()) - 1;
    }
    int at = free_.back();
    free_.pop_back();
    objects_[at] = T{};
    return at;
  }
  // Does not reset a reused object, so that its owner can keep the memory it holds.
  int allocate_uncleared() {
    if (free_.empty()) return allocate();
    int at = free_.back();
    free_.pop_back();
    return at;
  }
  void release(int at) { free_.push_back(at); }
  T& operator[](int at) { return objects_[at]; }
  const T& operator[](int at) const { return objects_[at]; }

 private:
  std::vector<T> objects_;
  std::vector<int> free_;
};

// An unordered set of indexes with insert and erase in constant time. An index may be inserted only once.
class IndexSet {
 public:
  void insert(int at) {
    if (at >= static_cast<int>(positions_.size())) positions_.resize(at + 1);
    positions_[at] = static_cast<int>(all_.size());
    all_.push_back(at);
  }
  void erase(int at) {
    all_[positions_[at]] = all_.back();
    positions_[all_.back()] = positions_[at];
    all_.pop_back();
  }
  std::size_t size() const { return all_.size(); }
  auto begin() const { return all_.begin(); }
  auto end() const { return all_.end(); }

 private:
  std::vector<int> all_;
  std::vector<int> positions_;
};

// A sorted list of indexes. New ones are merged in together, each after its equals.
class SortedIndexes {
 public:
  // Merges the added indexes in and clears `added`.
  template <class Less>
  void merge(std::vector<int>& added, Less less) {
    if (added.empty()) return;
    std::stable_sort(added.begin(), added.end(), less);
    spare_.resize(all_.size() + added.size());
    std::merge(all_.begin(), all_.end(), added.begin(), added.end(), spare_.begin(), less);
    all_.swap(spare_);
    added.clear();
  }
  template <class Predicate>
  void keep_if(Predicate predicate) {
    std::erase_if(all_, [&](int at) { return !predicate(at); });
  }
  std::size_t size() const { return all_.size(); }
  auto begin() const { return all_.begin(); }
  auto end() const { return all_.end(); }

 private:
  std::vector<int> all_;
  std::vector<int> spare_;
};

// A min-heap of indexes by gain; equal gains in the order of their sequence numbers.
class MinGainHeap {
 public:
  struct Entry {
    double gain;
    int sequence;
    int at;
    bool operator<(const Entry& o) const { return gain != o.gain ? gain > o.gain : sequence > o.sequence; }
  };
  void clear() { heap_.clear(); }
  void add(double gain, int sequence, int at) {
    heap_.push_back({gain, sequence, at});
    std::push_heap(heap_.begin(), heap_.end());
  }
  const Entry& least() const { return heap_.front(); }
  void drop_least() {
    std::pop_heap(heap_.begin(), heap_.end());
    heap_.pop_back();
  }

 private:
  std::vector<Entry> heap_;
};

// Intrusive doubly linked lists of slab objects: the links are the objects' fields previous and next, the
// ends the list's fields first and last; -1: none.
template <class T, class List>
void link_last(Slab<T>& slab, List& list, int at) {
  (list.first < 0 ? list.first : slab[list.last].next) = at;
  slab[at].previous = list.last;
  list.last = at;
}
template <class T, class List>
void unlink(Slab<T>& slab, List& list, int at) {
  const T& object = slab[at];
  (object.previous < 0 ? list.first : slab[object.previous].next) = object.next;
  (object.next < 0 ? list.last : slab[object.next].previous) = object.previous;
}

// The sums of a linear regression with exponentially decaying weights.
struct DecayedLinearFit {
  double count = 0;
  double x = 0;
  double y = 0;
  double x2 = 0;
  double xy = 0;
  // Adds a point; the earlier ones keep the part `keep` of their weight.
  void add(double at, double value, double keep) {
    for (double* v : {&count, &x, &y, &x2, &xy}) *v *= keep;
    count += 1;
    x += at;
    y += value;
    x2 += at * at;
    xy += at * value;
  }
  double variance_sum() const { return count > 0 ? std::max(0.0, x2 - x * x / count) : 0; }
  double covariance_sum() const { return count > 0 ? xy - x * y / count : 0; }
};

// A hash map with open addressing from a 64-bit id to an index.
class IdMap {
 public:
  IdMap() : slots_(64) {}
  // -1: not found.
  int find(std::uint64_t id) const {
    for (std::size_t i = first_slot(id);; i = next(i)) {
      if (slots_[i].index < 0) return -1;
      if (slots_[i].id == id) return slots_[i].index;
    }
  }
  void insert(std::uint64_t id, int index) {
    if (2 * ++used_ > slots_.size()) grow();
    put(id, index);
  }
  void erase(std::uint64_t id) {
    std::size_t i = first_slot(id);
    while (slots_[i].index >= 0 && slots_[i].id != id) i = next(i);
    if (slots_[i].index < 0) return;
    --used_;
    for (std::size_t j = next(i); slots_[j].index >= 0; j = next(j)) {
      std::size_t home_slot = first_slot(slots_[j].id);
      bool is_in_place = i <= j ? (i < home_slot && home_slot <= j) : (i < home_slot || home_slot <= j);
      if (is_in_place) continue;
      slots_[i] = slots_[j];
      i = j;
    }
    slots_[i].index = -1;
  }

 private:
  struct Slot {
    std::uint64_t id = 0;
    int index = -1;
  };
  std::size_t first_slot(std::uint64_t id) const {
    return (id * 0x9E3779B97F4A7C15ULL >> 20) & (slots_.size() - 1);
  }
  std::size_t next(std::size_t i) const { return (i + 1) & (slots_.size() - 1); }
  void put(std::uint64_t id, int index) {
    std::size_t i = first_slot(id);
    while (slots_[i].index >= 0) i = next(i);
    slots_[i] = {id, index};
  }
  void grow() {
    std::vector<Slot> old(slots_.size() * 2);
    old.swap(slots_);
    for (const Slot& s : old)
      if (s.index >= 0) put(s.id, s.index);
  }
  std::vector<Slot> slots_;
  std::size_t used_ = 0;
};

// Timestamps in ascending order; old ones are removed. At most `max_size` are kept, the latest.
class RecentTimestamps {
 public:
  explicit RecentTimestamps(std::size_t max_size) : max_size_(max_size) {}
  void add(std::int64_t now, std::int64_t oldest) {
    if (all_.size() == max_size_) all_.pop_front();
    all_.push_back(now);
    count_since(oldest);
  }
  double count_since(std::int64_t oldest) {
    while (!all_.empty() && all_.front() < oldest) all_.pop_front();
    return static_cast<double>(all_.size());
  }
  std::size_t size() const { return all_.size(); }

 private:
  std::size_t max_size_;
  std::deque<std::int64_t> all_;
};

// The sum of amounts in a sliding window, kept in coarse slots. It may include amounts that are a little
// older than the window, and never misses one within it.
class SlidingWindowSum {
 public:
  void add(std::int64_t now, std::int64_t window, double amount) {
    advance(now, window);
    slots_[last_ % kSlots] += amount;
  }
  double sum(std::int64_t now, std::int64_t window) {
    advance(now, window);
    double total = 0;
    for (double slot : slots_) total += slot;
    return total;
  }

 private:
  static constexpr std::int64_t kSlots = 33;
  void advance(std::int64_t now, std::int64_t window) {
    std::int64_t slot_width = window / (kSlots - 1);
    std::int64_t slot = now / (slot_width > 0 ? slot_width : 1);
    if (slot - last_ >= kSlots) {
      slots_.fill(0);
      last_ = slot;
    }
    while (last_ < slot) slots_[++last_ % kSlots] = 0;
  }
  std::array<double, kSlots> slots_{};
  std::int64_t last_ = 0;
};

}  // namespace yewmount
