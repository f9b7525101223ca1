// From what idle time on a kept connection is not used again: learned, kept to, forgotten.
#include "nodes/reuse.h"

#include <gtest/gtest.h>

#include <random>

namespace yewmount::tests {
namespace {

TEST(Reuse, LearnsTheIdleTimeFromWhichConnectionsBreakAndNoMore) {
  nodes::Reuse reuse;
  std::ranlux24_base chance(3);
  std::int64_t now = 0;
  int broken = 0, kept = 0;
  for (int i = 0; i < 4000; ++i) {
    now += 1000;
    const std::int64_t idle = chance() % 300'000;
    if (!reuse.worth(idle, now)) {
      reuse.fresh(chance() % 100 < 9, now);
      continue;
    }
    ++kept;
    const bool broke = chance() % 100 < (idle > 80'000 ? 42 : 6);
    broken += broke && idle > 80'000;
    reuse.kept(idle, broke, now);
  }
  EXPECT_TRUE(reuse.worth(30'000, now));
  EXPECT_FALSE(reuse.worth(200'000, now));
  EXPECT_FALSE(reuse.worth(10'000'000, now));  // older than what breaks
  EXPECT_LT(broken, 40);
  EXPECT_GT(kept, 800);
  EXPECT_TRUE(reuse.worth(200'000, now + 60'000'000));
}

TEST(Reuse, ResetsThatNewConnectionsMeetAsWellAreNoReason) {
  nodes::Reuse reuse;
  for (int i = 0; i < 300; ++i) reuse.kept(100'000, i % 4 == 0, i), reuse.fresh(i % 4 == 0, i);
  EXPECT_TRUE(reuse.worth(100'000, 300));
}

}  // namespace
}  // namespace yewmount::tests
