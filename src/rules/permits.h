// Safety checks, as pure functions: whether an attempt may begin at a node, be repeated, or end in a refusal
// that promises no effect, and whether a client's connection may be closed. The scheduler checks when it
// decides; the network code checks again before it sends the first byte, because opening a connection may
// take long.
#pragma once
#include <array>
#include <cstdint>
#include <span>
#include <string_view>

#include "rules.h"

namespace yewmount::permits {

// The longest pause of the process between reading the clock and writing that repeats must be safe against.
inline constexpr Micros kMaxProcessPauseUs = 150'000;

// An earlier attempt of the same request.
struct Attempt {
  Micros sent_at;  // when it was decided, which is no later than when it ran
  int zone;        // of its node
  int shard;       // of its node
  bool in_flight;
  bool may_have_run;
};

// The node that an attempt is to be sent to.
struct Target {
  NodeState state;
  int zone;
  int shard;
};

// Whether no earlier attempt can have had an effect.
bool no_effect_possible(std::span<const Attempt> earlier);

// Whether a further attempt at the target cannot cause an effect twice.
DenialReason may_repeat(const IoGroup& group, std::span<const Attempt> earlier, const Target& target,
                        Micros now);

// Whether an attempt may begin now: a repeat is safe, the node is ready, and the deadline has not passed.
DenialReason may_begin(const IoGroup& group, std::span<const Attempt> earlier, const Target& target,
                       Micros now, Micros give_up_at);

// Whether the request may be answered with a refusal, which tells the client that a retry is harmless.
bool may_refuse(const IoGroup& group, std::span<const Attempt> earlier);

// Why a client connection ended.
enum class CloseReason : std::uint8_t {
  broken,      // reset by the client, or a socket error
  ended,       // half-closed by the client, and all answers are sent
  unreadable,  // malformed or incomplete command
  stalled,     // the client did not read its answers for too long
  silent,      // idle timeout
  evicted,     // closed to free a file descriptor
  idle,        // between commands during a graceful shutdown
  stopping,    // all answers are sent, and the process stops
  exception,   // internal error
  no_memory    // refused to free the memory of an incomplete command
};
inline constexpr std::array<std::string_view, 10> kCloseReasons = {
    "broken",  "ended", "unreadable", "stalled",   "silent",
    "evicted", "idle",  "stopping",   "exception", "no_memory"};

// Whether a connection with unanswered requests may be closed. Each request that was read must be answered,
// unless the client has disconnected or does not read its answers.
bool may_close(CloseReason reason, std::size_t unanswered);

}  // namespace yewmount::permits
