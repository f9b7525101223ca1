#include "permits.h"

#include <algorithm>

namespace yewmount::permits {
namespace {

bool counts(const Attempt& a) { return a.out || a.may_have_run; }

// Whether the nodes that would recognise a repeat of `a` include the target.
bool recognised(const IoGroup& group, const Attempt& a, const Target& target) {
  switch (group.scope) {
    case Scope::all:
      return true;
    case Scope::zone:
      return a.zone == target.zone;
    case Scope::cell:
      return a.shard == target.shard;
  }
  return false;
}

}  // namespace

bool untouched(std::span<const Attempt> earlier) { return std::ranges::none_of(earlier, counts); }

Denial may_repeat(const IoGroup& group, std::span<const Attempt> earlier, const Target& target, Micros now) {
  if (group.repeat == Repeat::idempotent || untouched(earlier)) return Denial::none;
  if (group.repeat == Repeat::side_effecting) return Denial::effect_possible;
  for (const Attempt& a : earlier) {
    if (!counts(a)) continue;
    if (now + kHoldUp >= a.sent + group.memory_span) return Denial::memory_over;
    if (!recognised(group, a, target)) return Denial::outside_scope;
  }
  return Denial::none;
}

Denial may_begin(const IoGroup& group, std::span<const Attempt> earlier, const Target& target, Micros now,
                 Micros give_up_at) {
  if (target.state != NodeState::ready) return Denial::node_not_ready;
  if (now >= give_up_at) return Denial::time_over;
  return may_repeat(group, earlier, target, now);
}

bool may_refuse(const IoGroup& group, std::span<const Attempt> earlier) {
  return group.repeat == Repeat::idempotent || untouched(earlier) ||
         (group.repeat == Repeat::fingerprinted && group.scope == Scope::all);
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
