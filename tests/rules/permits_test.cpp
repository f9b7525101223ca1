// The safety checks on sending, repeating, refusing and closing.
#include "permits.h"

#include <gtest/gtest.h>

namespace yewmount::permits {
namespace {

constexpr Micros kSecond = 1'000'000;

IoGroup group(RepeatSafety repeat, DedupScope scope = DedupScope::all) {
  return {.latency_goal = kSecond,
          .hard_limit = 2 * kSecond,
          .dedup_window = kSecond,
          .goal_service_multiple = 0,
          .gain = 1,
          .late_gain_factor = 0,
          .repeat = repeat,
          .scope = scope,
          .streams = false,
          .keeps_order = false};
}

constexpr Target kReady{NodeState::ready, 1, 7};
constexpr Attempt kMayHaveRun{.sent_at = 0, .zone = 1, .shard = 7, .in_flight = false, .may_have_run = true};
constexpr Attempt kStillOut{.sent_at = 0, .zone = 1, .shard = 7, .in_flight = true, .may_have_run = false};
constexpr Attempt kTurnedAway{.sent_at = 0, .zone = 1, .shard = 7, .in_flight = false, .may_have_run = false};

TEST(Permits, ARepeatDependsOnTheGroupAndOnWhatMayHaveRun) {
  const auto ask = [](RepeatSafety repeat, const Attempt& earlier) {
    return may_repeat(group(repeat), {{earlier}}, kReady, kSecond / 2);
  };
  for (const Attempt& earlier : {kMayHaveRun, kStillOut}) {
    EXPECT_EQ(ask(RepeatSafety::idempotent, earlier), DenialReason::none);
    EXPECT_EQ(ask(RepeatSafety::fingerprinted, earlier), DenialReason::none);
    EXPECT_EQ(ask(RepeatSafety::side_effecting, earlier), DenialReason::effect_possible);
  }
  EXPECT_EQ(ask(RepeatSafety::side_effecting, kTurnedAway), DenialReason::none);
}

TEST(Permits, TheRepeatWindowEndsAMaximalPauseBeforeTheNodesForget) {
  const IoGroup g = group(RepeatSafety::fingerprinted);
  EXPECT_EQ(may_repeat(g, {{kMayHaveRun}}, kReady, kSecond - kMaxProcessPauseUs - 1), DenialReason::none);
  EXPECT_EQ(may_repeat(g, {{kMayHaveRun}}, kReady, kSecond - kMaxProcessPauseUs), DenialReason::memory_over);
}

TEST(Permits, ARepeatStaysWithinItsDedupScope) {
  const Target other_zone{NodeState::ready, 2, 7}, other_cell{NodeState::ready, 1, 8};
  const auto ask = [](DedupScope scope, const Target& target) {
    return may_repeat(group(RepeatSafety::fingerprinted, scope), {{kMayHaveRun}}, target, 0);
  };
  EXPECT_EQ(ask(DedupScope::zone, other_cell), DenialReason::none);
  EXPECT_EQ(ask(DedupScope::zone, other_zone), DenialReason::outside_scope);
  EXPECT_EQ(ask(DedupScope::cell, other_zone), DenialReason::none);
  EXPECT_EQ(ask(DedupScope::cell, other_cell), DenialReason::outside_scope);
  EXPECT_EQ(ask(DedupScope::all, other_zone), DenialReason::none);
}

TEST(Permits, NothingBeginsAtADrainingNodeOrAfterTheDeadline) {
  const IoGroup g = group(RepeatSafety::idempotent);
  EXPECT_EQ(may_begin(g, {}, kReady, 0, kSecond), DenialReason::none);
  EXPECT_EQ(may_begin(g, {}, kReady, kSecond, kSecond), DenialReason::time_over);
  EXPECT_EQ(may_begin(g, {}, {NodeState::draining, 1, 7}, 0, kSecond), DenialReason::node_not_ready);
  EXPECT_EQ(may_begin(g, {}, {NodeState::gone, 1, 7}, 0, kSecond), DenialReason::node_not_ready);
}

TEST(Permits, ARefusalPromisesThatARetryIsHarmless) {
  for (const Attempt& earlier : {kMayHaveRun, kStillOut}) {
    EXPECT_TRUE(may_refuse(group(RepeatSafety::idempotent), {{earlier}}));
    EXPECT_TRUE(may_refuse(group(RepeatSafety::fingerprinted, DedupScope::all), {{earlier}}));
    EXPECT_FALSE(may_refuse(group(RepeatSafety::fingerprinted, DedupScope::zone), {{earlier}}));
    EXPECT_FALSE(may_refuse(group(RepeatSafety::side_effecting), {{earlier}}));
  }
  EXPECT_TRUE(may_refuse(group(RepeatSafety::side_effecting), {{kTurnedAway}}));
}

TEST(Permits, OnlyABrokenOrStalledConnectionIsClosedWithARequestOpen) {
  for (std::size_t reason = 0; reason < kCloseReasons.size(); ++reason) {
    const auto why = static_cast<CloseReason>(reason);
    EXPECT_TRUE(may_close(why, 0));
    EXPECT_EQ(may_close(why, 1), why == CloseReason::broken || why == CloseReason::stalled);
  }
}

}  // namespace
}  // namespace yewmount::permits
