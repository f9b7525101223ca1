// Mechanics only: a slab with reused places, an index and orders over its places, a hash, sums that fade.
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

// Places are reused last-freed first; a reference stays good until the next claim().
template <class T>
class Slab {
 public:
  int claim() {
    if (free_.empty()) {
      places_.emplace_back();
      return static_cast<int>(places_.size()) - 1;
    }
    int at = free_.back();
    free_.pop_back();
    places_[at] = T{};
    return at;
  }
  // The place as its last owner left it, for owners that keep what they have allocated.
  int claim_as_left() {
    if (free_.empty()) return claim();
    int at = free_.back();
    free_.pop_back();
    return at;
  }
  void release(int at) { free_.push_back(at); }
  T& operator[](int at) { return places_[at]; }
  const T& operator[](int at) const { return places_[at]; }

 private:
  std::vector<T> places_;
  std::vector<int> free_;
};

// Places in no order, each added once; dropping one costs the same however many there are.
class DensePlaces {
 public:
  void add(int at) {
    if (at >= static_cast<int>(where_.size())) where_.resize(at + 1);
    where_[at] = static_cast<int>(all_.size());
    all_.push_back(at);
  }
  void drop(int at) {
    all_[where_[at]] = all_.back();
    where_[all_.back()] = where_[at];
    all_.pop_back();
  }
  std::size_t size() const { return all_.size(); }
  auto begin() const { return all_.begin(); }
  auto end() const { return all_.end(); }

 private:
  std::vector<int> all_, where_;
};

// Places in order; new ones are merged in together, each after its equals.
class SortedPlaces {
 public:
  template <class Sooner>
  void join(std::vector<int>& joining, Sooner sooner) {
    if (joining.empty()) return;
    std::stable_sort(joining.begin(), joining.end(), sooner);
    spare_.resize(all_.size() + joining.size());
    std::merge(all_.begin(), all_.end(), joining.begin(), joining.end(), spare_.begin(), sooner);
    all_.swap(spare_);
    joining.clear();
  }
  template <class Wanted>
  void keep(Wanted wanted) {
    std::erase_if(all_, [&](int at) { return !wanted(at); });
  }
  std::size_t size() const { return all_.size(); }
  auto begin() const { return all_.begin(); }
  auto end() const { return all_.end(); }

 private:
  std::vector<int> all_, spare_;
};

// A heap of places by gain, the least first, equals by turn.
class LeastFirst {
 public:
  struct Entry {
    double gain;
    int turn, at;
    bool operator<(const Entry& o) const { return gain != o.gain ? gain > o.gain : turn > o.turn; }
  };
  void clear() { heap_.clear(); }
  void add(double gain, int turn, int at) {
    heap_.push_back({gain, turn, at});
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

// A line of places linked through their fields before and behind; ends in fields first and last, -1: none.
template <class T, class Line>
void link_last(Slab<T>& slab, Line& line, int at) {
  (line.first < 0 ? line.first : slab[line.last].behind) = at;
  slab[at].before = line.last;
  line.last = at;
}
template <class T, class Line>
void unlink(Slab<T>& slab, Line& line, int at) {
  const T& t = slab[at];
  (t.before < 0 ? line.first : slab[t.before].behind) = t.behind;
  (t.behind < 0 ? line.last : slab[t.behind].before) = t.before;
}

// A straight line fitted through points, of which the newest count most.
struct FadingFit {
  double count = 0, x = 0, y = 0, x2 = 0, xy = 0;
  void add(double at, double value, double keep) {
    for (double* v : {&count, &x, &y, &x2, &xy}) *v *= keep;
    count += 1, x += at, y += value, x2 += at * at, xy += at * value;
  }
  double spread() const { return count > 0 ? std::max(0.0, x2 - x * x / count) : 0; }
  double cross() const { return count > 0 ? xy - x * y / count : 0; }
};

// Open addressing from a 64-bit id to a place; allocates only when it grows.
class TicketIndex {
 public:
  TicketIndex() : slots_(64) {}
  int find(std::uint64_t id) const {
    for (std::size_t i = home(id);; i = next(i)) {
      if (slots_[i].place < 0) return -1;
      if (slots_[i].id == id) return slots_[i].place;
    }
  }
  void add(std::uint64_t id, int place) {
    if (2 * ++used_ > slots_.size()) grow();
    put(id, place);
  }
  void drop(std::uint64_t id) {
    std::size_t i = home(id);
    while (slots_[i].place >= 0 && slots_[i].id != id) i = next(i);
    if (slots_[i].place < 0) return;
    --used_;
    for (std::size_t j = next(i); slots_[j].place >= 0; j = next(j)) {
      std::size_t want = home(slots_[j].id);
      bool between = i <= j ? (i < want && want <= j) : (i < want || want <= j);
      if (between) continue;
      slots_[i] = slots_[j];
      i = j;
    }
    slots_[i].place = -1;
  }

 private:
  struct Slot {
    std::uint64_t id = 0;
    int place = -1;
  };
  std::size_t home(std::uint64_t id) const {
    return (id * 0x9E3779B97F4A7C15ULL >> 20) & (slots_.size() - 1);
  }
  std::size_t next(std::size_t i) const { return (i + 1) & (slots_.size() - 1); }
  void put(std::uint64_t id, int place) {
    std::size_t i = home(id);
    while (slots_[i].place >= 0) i = next(i);
    slots_[i] = {id, place};
  }
  void grow() {
    std::vector<Slot> old(slots_.size() * 2);
    old.swap(slots_);
    for (const Slot& s : old)
      if (s.place >= 0) put(s.id, s.place);
  }
  std::vector<Slot> slots_;
  std::size_t used_ = 0;
};

// Moments in the order they came, until they are too old.
class RecentMoments {
 public:
  void add(std::int64_t now, std::int64_t oldest) {
    all_.push_back(now);
    since(oldest);
  }
  double since(std::int64_t oldest) {
    while (!all_.empty() && all_.front() < oldest) all_.pop_front();
    return static_cast<double>(all_.size());
  }
  std::size_t size() const { return all_.size(); }

 private:
  std::deque<std::int64_t> all_;
};

// Sum over a sliding window in coarse slots; it never tells less than what truly lies in the window.
class SlidingSum {
 public:
  void add(std::int64_t now, std::int64_t window, double amount) {
    roll(now, window);
    slots_[last_ % kSlots] += amount;
  }
  double sum(std::int64_t now, std::int64_t window) {
    roll(now, window);
    double all = 0;
    for (double s : slots_) all += s;
    return all;
  }

 private:
  static constexpr std::int64_t kSlots = 33;
  void roll(std::int64_t now, std::int64_t window) {
    std::int64_t wide = window / (kSlots - 1);
    std::int64_t slot = now / (wide > 0 ? wide : 1);
    if (slot - last_ >= kSlots) slots_.fill(0), last_ = slot;
    while (last_ < slot) slots_[++last_ % kSlots] = 0;
  }
  std::array<double, kSlots> slots_{};
  std::int64_t last_ = 0;
};

}  // namespace yewmount
