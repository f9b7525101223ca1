// ConnectionReuse learns from what idle time on connections break, and retries reuse after a while.
#include "node_connections/connection_reuse.h"

#include <gtest/gtest.h>

#include <random>

namespace yewmount::tests {
namespace {

TEST(ConnectionReuse, StopsReuseFromTheIdleTimeAtWhichConnectionsBreak) {
  node_connections::ConnectionReuse reuse;
  std::ranlux24_base random(3);
  std::int64_t now = 0;
  int broken_while_old = 0;
  int reused = 0;
  for (int i = 0; i < 4000; ++i) {
    now += 1000;
    const std::int64_t idle = random() % 300'000;
    if (!reuse.may_reuse(idle, now)) {
      reuse.record_new(random() % 100 < 9, now);
      continue;
    }
    ++reused;
    const bool broke = random() % 100 < (idle > 80'000 ? 42 : 6);
    broken_while_old += broke && idle > 80'000;
    reuse.record_reused(idle, broke, now);
  }
  EXPECT_TRUE(reuse.may_reuse(30'000, now));
  EXPECT_FALSE(reuse.may_reuse(200'000, now));
  EXPECT_FALSE(reuse.may_reuse(10'000'000, now));  // longer than any idle time seen
  EXPECT_LT(broken_while_old, 40);
  EXPECT_GT(reused, 800);
  EXPECT_TRUE(reuse.may_reuse(200'000, now + 60'000'000));  // the observations have decayed
}

TEST(ConnectionReuse, ContinuesIfNewConnectionsBreakAsOften) {
  node_connections::ConnectionReuse reuse;
  for (int i = 0; i < 300; ++i) {
    reuse.record_reused(100'000, i % 4 == 0, i);
    reuse.record_new(i % 4 == 0, i);
  }
  EXPECT_TRUE(reuse.may_reuse(100'000, 300));
}

}  // namespace
}  // namespace yewmount::tests
