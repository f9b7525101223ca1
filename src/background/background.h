// When background work may go on beside live work. No I/O, no clock: calls with the time in, answers out.
// Microseconds; units as of block I/Os.
#pragma once
#include <array>
#include <cstdint>
#include <string>

namespace yewmount::background {

using Micros = std::int64_t;

enum class Class : std::uint8_t { repair, scrub, upkeep };  // the most urgent first
inline constexpr int kClasses = 3;

struct Budget {
  double rate = 0, burst = 0;  // units a second, units; rate 0: nothing of it ever goes
};

struct Provisioning {
  std::array<Budget, kClasses> classes;
  Budget all;                      // of all classes together
  double calm_from = 0.5;          // live work counts as under pressure below that calm (0 to 1)
  Micros rest = 500'000;           // of calm, until it goes on, and until its pace doubles
  Micros tell_after = 10'000'000;  // of wanting in vain, until a class counts as starved
  int most_out = 1;                // block I/Os out together
};

class Scheduler {
 public:
  Scheduler(const Provisioning& given, Micros now);

  // How live work stands: 1 calm, 0 under full pressure. Under pressure nothing begins from here on; what is
  // out ends by itself, so it yields within most_out block I/Os.
  void live(Micros now, double calm);
  void wants(Micros now, Class c, bool work);
  // Whether a block I/O of that class may go now; if so it counts as begun.
  bool begin(Micros now, Class c, double units);
  // One that was begun is over. Not good: shed or failed for want of time, which is pressure told late.
  void ended(Micros now, Class c, bool good);

  bool yielding() const { return yielding_; }
  double pace() const { return pace_; }  // the part of the budgets that is used now
  int out() const { return out_; }
  // It has wanted to go on for long and never could: to be told, not acted on.
  bool starved(Micros now, Class c) const;

 private:
  struct Store {
    double units = 0;
  };
  struct Line {
    Store store;
    bool wants = false;
    Micros since = 0;  // that it wants in vain
  };
  void fill(Micros now);
  bool holds(const Budget& b, const Store& s, double units) const;

  Provisioning given_;
  std::array<Line, kClasses> lines_;
  Store all_;
  Micros filled_, calm_since_;
  bool yielding_ = false;
  double pace_;
  int out_ = 0;
};

// How far a walk over everything has come; kept on disk, so that a restart goes on from there.
struct Round {
  std::uint64_t number = 1;
  std::string volume, object;  // everything up to here is done
  std::uint64_t objects = 0, extents = 0, damaged = 0, missing = 0, last_objects = 0;
  Micros began_wall = 0;

  void passed(const std::string& v, const std::string& o) { volume = v, object = o, ++objects; }
  void over(Micros wall);
  // When it will be through, by how long the last one's number of objects would take; 0: it can't be told.
  Micros expected_end(Micros wall) const;
};

}  // namespace yewmount::background
