// Shared by the cases on cold shelfs: what a shelf bears, and the judge of it.
#pragma once
#include "kit.h"

namespace kit {

// Counts what reaches a shelf that has started cold. It falls when it gets more than N + 2 x root of N + 2 (N
// under 30: N + 3 x root of N + 3) requests of mean work within the time that the settings name; N is what the
// settings allow at that age.
struct ColdJudge {
  Settings settings;
  Micros up_since = 0;
  struct Came {
    Micros at;
    double requests;  // of mean work
    int head;
    bool told;  // whether the head had been told of the start
  };
  std::deque<Came> window;
  bool fell = false;
  double most = 0;          // the largest sum within a window
  double most_allowed = 0;  // what was allowed then
  double share_of_told = 0;
  double most_ratio = 0;

  double allowed(Micros age) const {
    const double warm = std::min(1.0, static_cast<double>(age) / (settings.warm_within_s * 1e6));
    const double speed = (settings.cold_from + (1 - settings.cold_from) * warm) / settings.cold_from;
    const double n = settings.cold_units / settings.usual_units * speed;
    return n < 30 ? n + 3 * std::sqrt(n) + 3 : n + 2 * std::sqrt(n) + 2;
  }
  void add(double units, int head, bool told) {
    if (up_since == 0) return;
    const Micros t = now();
    if (t - up_since > static_cast<Micros>(settings.warm_within_s * 1e6)) return;
    window.push_back({t, units / settings.usual_units, head, told});
    while (window.front().at < t - static_cast<Micros>(settings.overload_for_s * 1e6)) window.pop_front();
    double sum = 0;
    double by_told = 0;
    for (const Came& c : window) {
      sum += c.requests;
      if (c.told) by_told += c.requests;
    }
    const double bound = allowed(t - up_since);
    if (sum / bound > most_ratio) {
      most_ratio = sum / bound;
      most = sum;
      most_allowed = bound;
      share_of_told = by_told / sum;
    }
    if (!fell && sum > bound) {
      fell = true;
      record("judge: the cold shelf falls %.3f s after its start: %.1f requests of mean work in %.1f s, %.1f "
             "are allowed, %.0f %% of them from heads that were told",
             static_cast<double>(t - up_since) / 1e6, sum, settings.overload_for_s, bound, 100 * by_told / sum);
      is_breach = by_told > sum * 2 / 3;
    }
  }
  bool is_breach = false;
};

}  // namespace kit
