#include "background/background.h"

#include <algorithm>

namespace yewmount::background {
namespace {

constexpr double kMinRateFactor = 0.125;  // after pressure; doubled after each calm interval

}  // namespace

Scheduler::Scheduler(const Options& options, Micros now)
    : options_(options), refilled_at_(now), calm_since_(now), rate_factor_(kMinRateFactor) {}

void Scheduler::refill(Micros now) {
  // A clock that goes back adds no tokens.
  const double seconds = static_cast<double>(std::max<Micros>(0, now - refilled_at_)) / 1e6;
  refilled_at_ = std::max(refilled_at_, now);
  const auto add_tokens = [&](const Budget& budget, TokenBucket& bucket) {
    bucket.units = std::min(budget.burst, bucket.units + budget.rate * rate_factor_ * seconds);
  };
  for (int c = 0; c < kTaskClasses; ++c) add_tokens(options_.class_budgets[c], classes_[c].bucket);
  add_tokens(options_.total_budget, total_bucket_);
}

void Scheduler::report_foreground(Micros now, double calm) {
  refill(now);
  if (calm < options_.min_calm) {
    is_yielding_ = true;
    rate_factor_ = kMinRateFactor;
    calm_since_ = now;
    return;
  }
  if (now - calm_since_ < options_.recovery_interval_us) return;
  calm_since_ = now;
  if (is_yielding_)
    is_yielding_ = false;
  else
    rate_factor_ = std::min(1.0, 2 * rate_factor_);
}

void Scheduler::set_demand(Micros now, TaskClass task_class, bool has_work) {
  ClassState& state = classes_[static_cast<int>(task_class)];
  if (has_work && !state.has_work) state.waiting_since = now;
  state.has_work = has_work;
}

// A block I/O larger than the bucket may start when the bucket is full; the balance then goes negative.
bool Scheduler::has_tokens(const Budget& budget, const TokenBucket& bucket, double units) const {
  return budget.rate > 0 && bucket.units >= std::min(units, budget.burst) - 1e-9;
}

bool Scheduler::try_start(Micros now, TaskClass task_class, double units) {
  refill(now);
  const int own = static_cast<int>(task_class);
  if (is_yielding_ || in_flight_ >= options_.max_in_flight) return false;
  if (!has_tokens(options_.class_budgets[own], classes_[own].bucket, units) ||
      !has_tokens(options_.total_budget, total_bucket_, units))
    return false;
  // A class of higher priority that could start goes first, unless this class has waited for half of the
  // starvation threshold. Without that limit a class of higher priority could starve it forever.
  const bool has_waited_long = now - classes_[own].waiting_since >= options_.starvation_threshold_us / 2;
  for (int higher = 0; higher < own && !has_waited_long; ++higher)
    if (classes_[higher].has_work &&
        has_tokens(options_.class_budgets[higher], classes_[higher].bucket, units))
      return false;
  classes_[own].bucket.units -= units;
  total_bucket_.units -= units;
  classes_[own].waiting_since = now;
  ++in_flight_;
  return true;
}

void Scheduler::finish(Micros now, TaskClass, bool succeeded) {
  --in_flight_;
  if (!succeeded) report_foreground(now, -1);
}

bool Scheduler::is_starved(Micros now, TaskClass task_class) const {
  const ClassState& state = classes_[static_cast<int>(task_class)];
  return state.has_work && now - state.waiting_since >= options_.starvation_threshold_us;
}

void PassProgress::start_next(Micros wall_us) {
  const std::uint64_t processed = objects;
  *this = PassProgress{.number = number + 1,
                       .volume = {},
                       .object = {},
                       .previous_objects = processed,
                       .started_wall_us = wall_us};
}

Micros PassProgress::estimated_end(Micros wall_us) const {
  if (objects == 0 || previous_objects == 0 || wall_us <= started_wall_us) return 0;
  const double fraction = std::min(1.0, static_cast<double>(objects) / static_cast<double>(previous_objects));
  return started_wall_us + static_cast<Micros>(static_cast<double>(wall_us - started_wall_us) / fraction);
}

}  // namespace yewmount::background
