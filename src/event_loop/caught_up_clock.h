// Tells since when all events that were ready have been handled, also while more keep coming than the loop
// can handle at once. What is read from a socket has arrived after that time.
#pragma once
#include <asio.hpp>
#include <cstddef>
#include <deque>
#include <memory>

#include "rules/rules.h"

namespace yewmount::event_loop {

class CaughtUpClock {
 public:
  explicit CaughtUpClock(asio::io_context& io) : io_(io) {}
  ~CaughtUpClock() { *alive_ = false; }
  CaughtUpClock(const CaughtUpClock&) = delete;
  CaughtUpClock& operator=(const CaughtUpClock&) = delete;

  // To be called after each turn of the loop that started at `started_at` and has run all ready handlers, or
  // not. `descriptors` is the number of open ones.
  void update(bool has_run_all, std::size_t descriptors, Micros started_at) {
    if (has_run_all) {
      caught_up_at_ = started_at;
      passes_.clear();
      ++generation_;
      is_marker_posted_ = false;
      return;
    }
    passes_needed_ = descriptors / kEventsPerPass + kMorePasses;
    if (!is_marker_posted_) post_marker(started_at);
  }
  // 0: never yet.
  Micros caught_up_at() const { return caught_up_at_; }

 private:
  // The most events that asio's reactor takes from epoll in one pass, in the order in which they became
  // ready.
  static constexpr std::size_t kEventsPerPass = 128;
  // For the pass under way, the handlers of the last pass, and the rest of the division.
  static constexpr std::size_t kMorePasses = 3;

  // A marker runs after the handlers that are queued now and a pass of the reactor.
  void post_marker(Micros at) {
    is_marker_posted_ = true;
    asio::post(io_, [this, alive = alive_, generation = generation_, at] {
      if (!*alive || generation != generation_) return;
      is_marker_posted_ = false;
      passes_.push_back(at);
      for (; passes_.size() > passes_needed_; passes_.pop_front()) caught_up_at_ = passes_.front();
    });
  }

  asio::io_context& io_;
  Micros caught_up_at_ = 0;
  std::deque<Micros> passes_;  // when the latest markers were posted that have run
  std::size_t passes_needed_ = kMorePasses;
  bool is_marker_posted_ = false;
  std::uint64_t generation_ = 0;  // of the markers; those of earlier ones are ignored
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace yewmount::event_loop
