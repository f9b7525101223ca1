// Whether a kept connection is still good for a submit, by how long it has been idle. Without I/O: told what
// became of submits on kept and on new connections, asked before the next.
#pragma once
#include <array>
#include <cmath>

#include "rules/rules.h"

namespace yewmount::nodes {

class Reuse {
 public:
  // Guards against connections that a machine on the way has let go of without a word: a submit on one is
  // reset, and may have run for all that is known. From the idle time on at which that happens clearly more
  // often than on new connections, new ones are used. It is forgotten after a while and tried again. Harms by
  // the work of new connections where resets had another cause.
  bool worth(Micros idle, Micros now) const {
    const double usual = fresh_.broken(now) + kClearly;
    for (int i = 0; i <= step(idle); ++i)
      if (kept_[i].broken(now) > usual) return false;
    return true;
  }
  void kept(Micros idle, bool broke, Micros now) { kept_[step(idle)].add(broke, now); }
  void fresh(bool broke, Micros now) { fresh_.add(broke, now); }

 private:
  static constexpr double kClearly = 0.15;
  static constexpr double kDoubt = 3;          // submits that a tally must outweigh
  static constexpr double kMemory = 5e6;       // over which a tally fades
  static constexpr Micros kShortest = 20'000;  // the first step of idle times; each is twice as long
  struct Tally {
    double all = 0, broke = 0;
    Micros at = 0;
    double kept(Micros now) const { return std::exp(-static_cast<double>(now - at) / kMemory); }
    double broken(Micros now) const { return broke * kept(now) / (all * kept(now) + kDoubt); }
    void add(bool one, Micros now) {
      all = all * kept(now) + 1;
      broke = broke * kept(now) + (one ? 1 : 0);
      at = now;
    }
  };
  static int step(Micros idle) {
    int i = 0;
    for (Micros most = kShortest; idle >= most && i + 1 < static_cast<int>(kSteps); most *= 2) ++i;
    return i;
  }
  static constexpr std::size_t kSteps = 11;
  Tally fresh_;
  std::array<Tally, kSteps> kept_;
};

}  // namespace yewmount::nodes
