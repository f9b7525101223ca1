// The rules on what may be sent, repeated, refused and closed, case by case.
#include "permits.h"

#include <gtest/gtest.h>

namespace yewmount::permits {
namespace {

constexpr Micros kSecond = 1'000'000;

IoGroup group(Repeat repeat, Scope scope = Scope::all) {
  return {.latency_goal = kSecond,
          .hard_limit = 2 * kSecond,
          .memory_span = kSecond,
          .goal_stretch = 0,
          .gain = 1,
          .late_part = 0,
          .repeat = repeat,
          .scope = scope,
          .streams = false,
          .keeps_order = false};
}

constexpr Target kReady{NodeState::ready, 1, 7};
constexpr Attempt kMayHaveRun{.sent = 0, .zone = 1, .shard = 7, .out = false, .may_have_run = true};
constexpr Attempt kStillOut{.sent = 0, .zone = 1, .shard = 7, .out = true, .may_have_run = false};
constexpr Attempt kTurnedAway{.sent = 0, .zone = 1, .shard = 7, .out = false, .may_have_run = false};

TEST(Permits, ARepeatGoesByWhatTheClassAllowsAndWhatMayHaveRun) {
  const auto ask = [](Repeat repeat, const Attempt& earlier) {
    return may_repeat(group(repeat), {{earlier}}, kReady, kSecond / 2);
  };
  for (const Attempt& earlier : {kMayHaveRun, kStillOut}) {
    EXPECT_EQ(ask(Repeat::idempotent, earlier), Denial::none);
    EXPECT_EQ(ask(Repeat::fingerprinted, earlier), Denial::none);
    EXPECT_EQ(ask(Repeat::side_effecting, earlier), Denial::effect_possible);
  }
  EXPECT_EQ(ask(Repeat::side_effecting, kTurnedAway), Denial::none);
}

TEST(Permits, TheWindowOfARepeatEndsAHoldUpBeforeTheNodesForget) {
  const IoGroup g = group(Repeat::fingerprinted);
  EXPECT_EQ(may_repeat(g, {{kMayHaveRun}}, kReady, kSecond - kHoldUp - 1), Denial::none);
  EXPECT_EQ(may_repeat(g, {{kMayHaveRun}}, kReady, kSecond - kHoldUp), Denial::memory_over);
}

TEST(Permits, ARepeatStaysWhereItIsRecognised) {
  const Target other_zone{NodeState::ready, 2, 7}, other_cell{NodeState::ready, 1, 8};
  const auto ask = [](Scope scope, const Target& target) {
    return may_repeat(group(Repeat::fingerprinted, scope), {{kMayHaveRun}}, target, 0);
  };
  EXPECT_EQ(ask(Scope::zone, other_cell), Denial::none);
  EXPECT_EQ(ask(Scope::zone, other_zone), Denial::outside_scope);
  EXPECT_EQ(ask(Scope::cell, other_zone), Denial::none);
  EXPECT_EQ(ask(Scope::cell, other_cell), Denial::outside_scope);
  EXPECT_EQ(ask(Scope::all, other_zone), Denial::none);
}

TEST(Permits, NothingBeginsAtANodeThatDrainsOrWithoutTime) {
  const IoGroup g = group(Repeat::idempotent);
  EXPECT_EQ(may_begin(g, {}, kReady, 0, kSecond), Denial::none);
  EXPECT_EQ(may_begin(g, {}, kReady, kSecond, kSecond), Denial::time_over);
  EXPECT_EQ(may_begin(g, {}, {NodeState::draining, 1, 7}, 0, kSecond), Denial::node_not_ready);
  EXPECT_EQ(may_begin(g, {}, {NodeState::gone, 1, 7}, 0, kSecond), Denial::node_not_ready);
}

TEST(Permits, ARefusalPromisesThatARetryIsHarmless) {
  for (const Attempt& earlier : {kMayHaveRun, kStillOut}) {
    EXPECT_TRUE(may_refuse(group(Repeat::idempotent), {{earlier}}));
    EXPECT_TRUE(may_refuse(group(Repeat::fingerprinted, Scope::all), {{earlier}}));
    EXPECT_FALSE(may_refuse(group(Repeat::fingerprinted, Scope::zone), {{earlier}}));
    EXPECT_FALSE(may_refuse(group(Repeat::side_effecting), {{earlier}}));
  }
  EXPECT_TRUE(may_refuse(group(Repeat::side_effecting), {{kTurnedAway}}));
}

TEST(Permits, OnlyAClientThatHasGoneOrReadsNothingIsClosedWithARequestOpen) {
  for (std::size_t reason = 0; reason < kCloseReasons.size(); ++reason) {
    const auto why = static_cast<CloseReason>(reason);
    EXPECT_TRUE(may_close(why, 0));
    EXPECT_EQ(may_close(why, 1), why == CloseReason::broken || why == CloseReason::stalled);
  }
}

}  // namespace
}  // namespace yewmount::permits
