// Tests of the background scheduler: budgets, yielding to foreground I/O, priority, starvation and progress.
// Random sequences are checked after each step against the test's own bookkeeping.
#include "background/background.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>

namespace yewmount::background {
namespace {

constexpr Micros kMillisecond = 1000;
constexpr Micros kSecond = 1'000'000;

Options default_options() {
  Options options;
  options.class_budgets = {Budget{40, 8}, Budget{20, 6}, Budget{10, 6}};
  options.total_budget = {50, 12};
  options.max_in_flight = 2;
  return options;
}

struct StartedIo {
  Micros at;
  TaskClass task_class;
  double units;
};

TEST(Scheduler, RandomLoadStaysWithinBudgetsAndYields) {
  for (unsigned seed = 1; seed <= 60; ++seed) {
    std::mt19937 random(seed);
    const auto random_below = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
    const Options options = default_options();
    Scheduler scheduler(options, 0);
    std::vector<StartedIo> started;
    std::vector<TaskClass> in_flight;
    Micros now = 0;
    Micros last_pressure = -1;  // when foreground pressure was last reported
    for (int step = 0; step < 4000; ++step) {
      now += random_below(20) * kMillisecond;
      if (random_below(5) == 0) {
        const double calm = random_below(12) == 0 ? 0.2 : 0.9;
        scheduler.report_foreground(now, calm);
        if (calm < options.min_calm) last_pressure = now;
      }
      const auto task_class = static_cast<TaskClass>(random_below(3));
      scheduler.set_demand(now, task_class, random_below(3) > 0);
      const double units = 1 + random_below(8);
      const bool is_started = scheduler.try_start(now, task_class, units);
      if (is_started) {
        ASSERT_TRUE(last_pressure < 0 || now - last_pressure >= options.recovery_interval_us)
            << "started a block I/O under foreground pressure";
        in_flight.push_back(task_class);
        ASSERT_LE(static_cast<int>(in_flight.size()), options.max_in_flight);
        started.push_back({now, task_class, units});
      }
      if (!in_flight.empty() && random_below(2) == 0) {
        const bool succeeded = random_below(30) > 0;
        scheduler.finish(now, in_flight.back(), succeeded);
        in_flight.pop_back();
        if (!succeeded) last_pressure = now;
      }
      ASSERT_EQ(scheduler.in_flight(), static_cast<int>(in_flight.size()));
    }
    // In every interval the units are limited by refill, the full bucket and one I/O of up to 8 units that
    // may overdraw it.
    for (std::size_t i = 0; i < started.size(); i += 7) {
      double total = 0;
      double by_class[kTaskClasses] = {0, 0, 0};
      for (std::size_t j = i; j < started.size(); ++j) {
        const double seconds = static_cast<double>(started[j].at - started[i].at) / 1e6;
        total += started[j].units;
        by_class[static_cast<int>(started[j].task_class)] += started[j].units;
        ASSERT_LE(total, options.total_budget.rate * seconds + options.total_budget.burst + 8);
        for (int c = 0; c < kTaskClasses; ++c)
          ASSERT_LE(by_class[c],
                    options.class_budgets[c].rate * seconds + options.class_budgets[c].burst + 8);
      }
    }
    EXPECT_GT(started.size(), 50u);
  }
}

TEST(Scheduler, RateRecoversGraduallyToTheFullBudgetAfterPressure) {
  Options options = default_options();
  Scheduler scheduler(options, 0);
  Micros now = 0;
  const auto run_for = [&](Micros duration) {
    double units = 0;
    for (const Micros end = now + duration; now < end; now += 5 * kMillisecond) {
      scheduler.report_foreground(now, 1);
      scheduler.set_demand(now, TaskClass::scrub, true);
      if (scheduler.try_start(now, TaskClass::scrub, 1)) {
        units += 1;
        scheduler.finish(now, TaskClass::scrub, true);
      }
    }
    return units;
  };
  run_for(10 * kSecond);
  EXPECT_NEAR(run_for(10 * kSecond), 200, 10);
  scheduler.report_foreground(now, 0);
  EXPECT_TRUE(scheduler.is_yielding());
  EXPECT_LT(run_for(kSecond), 15) << "half a second of nothing, then an eighth of the rate";
  run_for(3 * kSecond);
  EXPECT_NEAR(run_for(10 * kSecond), 200, 10);
}

TEST(Scheduler, HigherPriorityGoesFirstWithoutStarvingOthers) {
  Options options = default_options();
  options.class_budgets[0] = {1000, 10};  // repair alone could use the whole total budget
  options.total_budget = {10, 10};
  Scheduler scheduler(options, 0);
  double repaired = 0;
  double scrubbed = 0;
  for (Micros now = 0; now < 60 * kSecond; now += 10 * kMillisecond) {
    scheduler.report_foreground(now, 1);
    for (const TaskClass task_class : {TaskClass::repair, TaskClass::scrub})
      scheduler.set_demand(now, task_class, true);
    for (const TaskClass task_class : {TaskClass::scrub, TaskClass::repair})
      if (scheduler.try_start(now, task_class, 1)) {
        (task_class == TaskClass::repair ? repaired : scrubbed) += 1;
        scheduler.finish(now, task_class, true);
      }
    ASSERT_FALSE(scheduler.is_starved(now, TaskClass::scrub));
  }
  EXPECT_GT(scrubbed, 5);
  EXPECT_GT(repaired, 10 * scrubbed);
}

TEST(Scheduler, ContinuousPressureIsReportedAsStarvation) {
  Scheduler scheduler(default_options(), 0);
  Micros now = 0;
  for (; now < 11 * kSecond; now += 100 * kMillisecond) {
    scheduler.report_foreground(now, 0.1);
    scheduler.set_demand(now, TaskClass::scrub, true);
    ASSERT_FALSE(scheduler.try_start(now, TaskClass::scrub, 1));
  }
  EXPECT_TRUE(scheduler.is_starved(now, TaskClass::scrub));
  EXPECT_FALSE(scheduler.is_starved(now, TaskClass::repair)) << "it has no work";
}

TEST(Scheduler, ClockGoingBackAddsNoTokens) {
  Scheduler scheduler(default_options(), 100 * kSecond);
  scheduler.report_foreground(50 * kSecond, 1);
  EXPECT_FALSE(scheduler.try_start(50 * kSecond, TaskClass::scrub, 6));
  EXPECT_FALSE(scheduler.try_start(100 * kSecond, TaskClass::scrub, 6));
}

TEST(PassProgress, EstimatesItsEndFromThePreviousPass) {
  PassProgress progress;
  progress.started_wall_us = kSecond;
  EXPECT_EQ(progress.estimated_end(5 * kSecond), 0) << "the first pass has no previous object count";
  for (int i = 0; i < 10; ++i) progress.advance("v", std::to_string(i));
  progress.start_next(11 * kSecond);
  EXPECT_EQ(progress.number, 2u);
  EXPECT_EQ(progress.volume + progress.object, "");
  for (int i = 0; i < 5; ++i) progress.advance("v", std::to_string(i));
  EXPECT_EQ(progress.estimated_end(21 * kSecond), 31 * kSecond);
}

}  // namespace
}  // namespace yewmount::background
