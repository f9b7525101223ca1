#include "permits.h"

#include <algorithm>

namespace yewmount::permits {
namespace {

bool may_have_effect(const Attempt& attempt) { return attempt.in_flight || attempt.may_have_run; }

// Whether the target would recognise a repeat of the attempt by its fingerprint.
bool is_in_dedup_scope(const IoGroup& group, const Attempt& attempt, const Target& target) {
  switch (group.scope) {
    case DedupScope::all:
      return true;
    case DedupScope::zone:
      return attempt.zone == target.zone;
    case DedupScope::cell:
      return attempt.shard == target.shard;
  }
  return false;
}

}  // namespace

bool no_effect_possible(std::span<const Attempt> earlier) {
  return std::ranges::none_of(earlier, may_have_effect);
}

DenialReason may_repeat(const IoGroup& group, std::span<const Attempt> earlier, const Target& target,
                        Micros now) {
  if (group.repeat == RepeatSafety::idempotent || no_effect_possible(earlier)) return DenialReason::none;
  if (group.repeat == RepeatSafety::side_effecting) return DenialReason::effect_possible;
  for (const Attempt& attempt : earlier) {
    if (!may_have_effect(attempt)) continue;
    if (now + kMaxProcessPauseUs >= attempt.sent_at + group.dedup_window) return DenialReason::memory_over;
    if (!is_in_dedup_scope(group, attempt, target)) return DenialReason::outside_scope;
  }
  return DenialReason::none;
}

DenialReason may_begin(const IoGroup& group, std::span<const Attempt> earlier, const Target& target,
                       Micros now, Micros give_up_at) {
  if (target.state != NodeState::ready) return DenialReason::node_not_ready;
  if (now >= give_up_at) return DenialReason::time_over;
  return may_repeat(group, earlier, target, now);
}

bool may_refuse(const IoGroup& group, std::span<const Attempt> earlier) {
  return group.repeat == RepeatSafety::idempotent || no_effect_possible(earlier) ||
         (group.repeat == RepeatSafety::fingerprinted && group.scope == DedupScope::all);
}

bool may_close(CloseReason reason, std::size_t unanswered) {
  switch (reason) {
    case CloseReason::broken:
    case CloseReason::stalled:
      return true;
    default:
      return unanswered == 0;
  }
}

}  // namespace yewmount::permits
