// Decides whether an idle connection may carry another submit, by how long it has been idle. Does no I/O: the
// caller records how submits on reused and on new connections ended, and asks before each reuse.
#pragma once
#include <array>
#include <cmath>

#include "rules/rules.h"

namespace yewmount::node_connections {

// All times are in microseconds.
class ConnectionReuse {
 public:
  // Returns whether a connection that has been idle for `idle` may be reused. Guards against middleboxes that
  // drop idle connections silently: a submit on such a connection is reset and may have run. Connections are
  // not reused from the idle time on at which they break clearly more often than new ones. The observations
  // decay, so that reuse is tried again after a while. The cost is needless connects where resets had another
  // cause.
  bool may_reuse(Micros idle, Micros now) const {
    const double max_break_rate = new_connections_.break_rate(now) + kBreakRateMargin;
    for (int i = 0; i <= idle_bucket(idle); ++i)
      if (reused_connections_[i].break_rate(now) > max_break_rate) return false;
    return true;
  }
  // Records whether the connection broke under a submit on a connection reused after `idle`.
  void record_reused(Micros idle, bool broke, Micros now) {
    reused_connections_[idle_bucket(idle)].add(broke, now);
  }
  // Records whether the connection broke under the first submit on a new connection.
  void record_new(bool broke, Micros now) { new_connections_.add(broke, now); }

 private:
  static constexpr double kBreakRateMargin = 0.15;
  static constexpr double kPriorSubmits = 3;        // unbroken submits that every rate starts from
  static constexpr double kDecayTimeUs = 5e6;       // time constant of the exponential decay
  static constexpr Micros kFirstBucketUs = 20'000;  // end of the first bucket of idle times; each end doubles
  // An exponentially decaying share of submits whose connection broke.
  struct DecayingRate {
    double submits = 0;
    double broken = 0;
    Micros updated_at = 0;
    double decay(Micros now) const { return std::exp(-static_cast<double>(now - updated_at) / kDecayTimeUs); }
    double break_rate(Micros now) const {
      return broken * decay(now) / (submits * decay(now) + kPriorSubmits);
    }
    void add(bool broke, Micros now) {
      submits = submits * decay(now) + 1;
      broken = broken * decay(now) + (broke ? 1 : 0);
      updated_at = now;
    }
  };
  static int idle_bucket(Micros idle) {
    int i = 0;
    for (Micros end = kFirstBucketUs; idle >= end && i + 1 < static_cast<int>(kIdleBuckets); end *= 2) ++i;
    return i;
  }
  static constexpr std::size_t kIdleBuckets = 11;
  DecayingRate new_connections_;
  std::array<DecayingRate, kIdleBuckets> reused_connections_;  // by idle_bucket()
};

}  // namespace yewmount::node_connections
