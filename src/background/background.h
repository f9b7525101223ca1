// Decides when background tasks may start without slowing down foreground I/O. Does no I/O and reads no
// clock: the caller passes the current time. Times are microseconds; work is counted in I/O units.
#pragma once
#include <array>
#include <cstdint>
#include <string>

namespace yewmount::background {

using Micros = std::int64_t;

enum class TaskClass : std::uint8_t { repair, scrub, maintenance };  // in order of priority, highest first
inline constexpr int kTaskClasses = 3;

// A token bucket: units a second and its capacity in units. With a rate of 0 nothing may start.
struct Budget {
  double rate = 0;
  double burst = 0;
};

struct Options {
  std::array<Budget, kTaskClasses> class_budgets;
  Budget total_budget;                          // of all classes together
  double min_calm = 0.5;                        // foreground I/O is under pressure below it (0 to 1)
  Micros recovery_interval_us = 500'000;        // calm time before work resumes and before each doubling
  Micros starvation_threshold_us = 10'000'000;  // waiting time after which a class counts as starved
  int max_in_flight = 1;                        // block I/Os
};

class Scheduler {
 public:
  Scheduler(const Options& options, Micros now);

  // Reports the state of foreground I/O: 1 is calm, 0 is full pressure. Under pressure no block I/O
  // starts. Those in flight are left to finish, so it yields within max_in_flight block I/Os.
  void report_foreground(Micros now, double calm);
  // Sets whether a class has work to do.
  void set_demand(Micros now, TaskClass task_class, bool has_work);
  // Starts a block I/O of the class if it may start now; returns whether it did.
  bool try_start(Micros now, TaskClass task_class, double units);
  // Ends a started block I/O. succeeded: false if it was shed or missed its deadline, which counts as
  // pressure.
  void finish(Micros now, TaskClass task_class, bool succeeded);

  // Whether background work is suspended because of foreground pressure.
  bool is_yielding() const { return is_yielding_; }
  // The fraction of the budgets' rates that is currently used.
  double rate_factor() const { return rate_factor_; }
  int in_flight() const { return in_flight_; }
  // Whether the class has had work but could not start any for the starvation threshold. For reports only.
  bool is_starved(Micros now, TaskClass task_class) const;

 private:
  struct TokenBucket {
    double units = 0;
  };
  struct ClassState {
    TokenBucket bucket;
    bool has_work = false;
    Micros waiting_since = 0;
  };
  void refill(Micros now);
  bool has_tokens(const Budget& budget, const TokenBucket& bucket, double units) const;

  Options options_;
  std::array<ClassState, kTaskClasses> classes_;
  TokenBucket total_bucket_;
  Micros refilled_at_;
  Micros calm_since_;
  bool is_yielding_ = false;
  double rate_factor_;
  int in_flight_ = 0;
};

// Progress of one pass over all objects. It is saved to disk, so that a restarted process resumes there.
struct PassProgress {
  std::uint64_t number = 1;
  std::string volume;  // the last processed object; both empty at the start of a pass
  std::string object;
  std::uint64_t objects = 0;
  std::uint64_t extents = 0;
  std::uint64_t damaged = 0;
  std::uint64_t missing = 0;
  std::uint64_t previous_objects = 0;  // processed by the previous pass
  Micros started_wall_us = 0;

  // Records that an object has been processed.
  void advance(const std::string& object_volume, const std::string& object_name) {
    volume = object_volume;
    object = object_name;
    ++objects;
  }
  // Starts the next pass.
  void start_next(Micros wall_us);
  // Estimates the wall time at which the pass ends, assuming as many objects as in the previous one. Returns
  // 0 if there is not enough data.
  Micros estimated_end(Micros wall_us) const;
};

}  // namespace yewmount::background
