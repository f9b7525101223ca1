#include "background/background.h"

#include <algorithm>

namespace yewmount::background {
namespace {

constexpr double kLeastPace = 0.125;  // after pressure: the rest of it comes back by doubling

}  // namespace

Scheduler::Scheduler(const Provisioning& given, Micros now)
    : given_(given), filled_(now), calm_since_(now), pace_(kLeastPace) {}

void Scheduler::fill(Micros now) {
  // A clock that goes back fills nothing.
  const double dt = static_cast<double>(std::max<Micros>(0, now - filled_)) / 1e6;
  filled_ = std::max(filled_, now);
  const auto more = [&](const Budget& b, Store& s) {
    s.units = std::min(b.burst, s.units + b.rate * pace_ * dt);
  };
  for (int c = 0; c < kClasses; ++c) more(given_.classes[c], lines_[c].store);
  more(given_.all, all_);
}

void Scheduler::live(Micros now, double calm) {
  fill(now);
  if (calm < given_.calm_from) {
    yielding_ = true;
    pace_ = kLeastPace;
    calm_since_ = now;
    return;
  }
  if (now - calm_since_ < given_.rest) return;
  calm_since_ = now;
  if (yielding_)
    yielding_ = false;
  else
    pace_ = std::min(1.0, 2 * pace_);
}

void Scheduler::wants(Micros now, Class c, bool work) {
  Line& line = lines_[static_cast<int>(c)];
  if (work && !line.wants) line.since = now;
  line.wants = work;
}

// One larger than a whole store goes when that is full, and is paid off after.
bool Scheduler::holds(const Budget& b, const Store& s, double units) const {
  return b.rate > 0 && s.units >= std::min(units, b.burst) - 1e-9;
}

bool Scheduler::begin(Micros now, Class c, double units) {
  fill(now);
  const int own = static_cast<int>(c);
  if (yielding_ || out_ >= given_.most_out) return false;
  if (!holds(given_.classes[own], lines_[own].store, units) || !holds(given_.all, all_, units)) return false;
  // What is more urgent and could go does so first, unless this one has waited for half of what counts as
  // starving: guards against a class that for ever finds a more urgent one before it.
  const bool waited = now - lines_[own].since >= given_.tell_after / 2;
  for (int higher = 0; higher < own && !waited; ++higher)
    if (lines_[higher].wants && holds(given_.classes[higher], lines_[higher].store, units)) return false;
  lines_[own].store.units -= units;
  all_.units -= units;
  lines_[own].since = now;
  ++out_;
  return true;
}

void Scheduler::ended(Micros now, Class, bool good) {
  --out_;
  if (!good) live(now, -1);
}

bool Scheduler::starved(Micros now, Class c) const {
  const Line& line = lines_[static_cast<int>(c)];
  return line.wants && now - line.since >= given_.tell_after;
}

void Round::over(Micros wall) {
  const std::uint64_t all = objects;
  *this = Round{.number = number + 1, .volume = {}, .object = {}, .last_objects = all, .began_wall = wall};
}

Micros Round::expected_end(Micros wall) const {
  if (objects == 0 || last_objects == 0 || wall <= began_wall) return 0;
  const double part = std::min(1.0, static_cast<double>(objects) / static_cast<double>(last_objects));
  return began_wall + static_cast<Micros>(static_cast<double>(wall - began_wall) / part);
}

}  // namespace yewmount::background
