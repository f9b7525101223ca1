// Seeded random days: budgets, yielding, order of classes and starvation checked after every step, by a
// reckoning of the test's own.
#include "background/background.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>

namespace yewmount::background {
namespace {

constexpr Micros ms = 1000, second = 1'000'000;

Provisioning usual() {
  Provisioning p;
  p.classes = {Budget{40, 8}, Budget{20, 6}, Budget{10, 6}};
  p.all = {50, 12};
  p.most_out = 2;
  return p;
}

struct Begun {
  Micros at;
  Class c;
  double units;
};

TEST(Scheduler, RandomDaysKeepBudgetsAndYield) {
  for (unsigned seed = 1; seed <= 60; ++seed) {
    std::mt19937 chance(seed);
    const auto any = [&](int n) { return static_cast<int>(chance() % static_cast<unsigned>(n)); };
    const Provisioning p = usual();
    Scheduler s(p, 0);
    std::vector<Begun> begun;
    std::vector<Class> out;
    Micros now = 0, pressed = -1;  // when live work was last told to be under pressure
    for (int step = 0; step < 4000; ++step) {
      now += any(20) * ms;
      if (any(5) == 0) {
        const double calm = any(12) == 0 ? 0.2 : 0.9;
        s.live(now, calm);
        if (calm < p.calm_from) pressed = now;
      }
      const auto c = static_cast<Class>(any(3));
      s.wants(now, c, any(3) > 0);
      const double units = 1 + any(8);
      const bool may = s.begin(now, c, units);
      if (may) {
        ASSERT_TRUE(pressed < 0 || now - pressed >= p.rest) << "it went on under pressure";
        out.push_back(c);
        ASSERT_LE(static_cast<int>(out.size()), p.most_out);
        begun.push_back({now, c, units});
      }
      if (!out.empty() && any(2) == 0) {
        const bool good = any(30) > 0;
        s.ended(now, out.back(), good);
        out.pop_back();
        if (!good) pressed = now;
      }
      ASSERT_EQ(s.out(), static_cast<int>(out.size()));
    }
    // Over every span: what a budget fills, what it held, and one that was larger than the rest.
    for (std::size_t i = 0; i < begun.size(); i += 7) {
      double all = 0, own[kClasses] = {0, 0, 0};
      for (std::size_t j = i; j < begun.size(); ++j) {
        const double seconds = static_cast<double>(begun[j].at - begun[i].at) / 1e6;
        all += begun[j].units;
        own[static_cast<int>(begun[j].c)] += begun[j].units;
        ASSERT_LE(all, p.all.rate * seconds + p.all.burst + 8);
        for (int c = 0; c < kClasses; ++c)
          ASSERT_LE(own[c], p.classes[c].rate * seconds + p.classes[c].burst + 8);
      }
    }
    EXPECT_GT(begun.size(), 50u);
  }
}

TEST(Scheduler, ComesBackWithCareAndReachesItsBudget) {
  Provisioning p = usual();
  Scheduler s(p, 0);
  Micros now = 0;
  const auto served = [&](Micros span) {
    double units = 0;
    for (const Micros end = now + span; now < end; now += 5 * ms) {
      s.live(now, 1);
      s.wants(now, Class::scrub, true);
      if (s.begin(now, Class::scrub, 1)) units += 1, s.ended(now, Class::scrub, true);
    }
    return units;
  };
  served(10 * second);
  EXPECT_NEAR(served(10 * second), 200, 10);
  s.live(now, 0);
  EXPECT_TRUE(s.yielding());
  EXPECT_LT(served(second), 15) << "half a second of nothing, then an eighth of its pace";
  served(3 * second);
  EXPECT_NEAR(served(10 * second), 200, 10);
}

TEST(Scheduler, UrgentFirstButNobodyStarves) {
  Provisioning p = usual();
  p.classes[0] = {1000, 10};  // repair could take everything
  p.all = {10, 10};
  Scheduler s(p, 0);
  double repaired = 0, scrubbed = 0;
  for (Micros now = 0; now < 60 * second; now += 10 * ms) {
    s.live(now, 1);
    for (const Class c : {Class::repair, Class::scrub}) s.wants(now, c, true);
    for (const Class c : {Class::scrub, Class::repair})
      if (s.begin(now, c, 1)) (c == Class::repair ? repaired : scrubbed) += 1, s.ended(now, c, true);
    ASSERT_FALSE(s.starved(now, Class::scrub));
  }
  EXPECT_GT(scrubbed, 5);
  EXPECT_GT(repaired, 10 * scrubbed);
}

TEST(Scheduler, EndlessPressureIsTold) {
  Scheduler s(usual(), 0);
  Micros now = 0;
  for (; now < 11 * second; now += 100 * ms) {
    s.live(now, 0.1);
    s.wants(now, Class::scrub, true);
    ASSERT_FALSE(s.begin(now, Class::scrub, 1));
  }
  EXPECT_TRUE(s.starved(now, Class::scrub));
  EXPECT_FALSE(s.starved(now, Class::repair)) << "it wants nothing";
}

TEST(Scheduler, AClockThatGoesBackFillsNothing) {
  Scheduler s(usual(), 100 * second);
  s.live(50 * second, 1);
  EXPECT_FALSE(s.begin(50 * second, Class::scrub, 6));
  EXPECT_FALSE(s.begin(100 * second, Class::scrub, 6));
}

TEST(Round, GoesOnWhereItWasAndTellsItsEnd) {
  Round r;
  r.began_wall = second;
  EXPECT_EQ(r.expected_end(5 * second), 0) << "the first round knows no number of objects";
  for (int i = 0; i < 10; ++i) r.passed("v", std::to_string(i));
  r.over(11 * second);
  EXPECT_EQ(r.number, 2u);
  EXPECT_EQ(r.volume + r.object, "");
  for (int i = 0; i < 5; ++i) r.passed("v", std::to_string(i));
  EXPECT_EQ(r.expected_end(21 * second), 31 * second);
}

}  // namespace
}  // namespace yewmount::background
