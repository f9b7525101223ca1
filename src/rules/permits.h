// What the rules permit at one moment: whether an attempt may begin at a node, be repeated, or end in a
// refusal that promises no effect, and whether a client's connection may be closed. Pure functions without
// state or I/O. The module asks when it decides, the network code again when the first byte is about to
// leave: a connection that comes up late lies between the two.
#pragma once
#include <array>
#include <cstdint>
#include <span>
#include <string_view>

#include "rules.h"

namespace yewmount::permits {

// Microseconds that a head may be held up between reading its clock and writing (operators' standing test).
inline constexpr Micros kHoldUp = 150'000;

// An earlier attempt of the same request.
struct Attempt {
  Micros sent;      // when it was decided, which is no later than when it ran
  int zone, shard;  // of its node
  bool out;         // no outcome so far
  bool may_have_run;
};

struct Target {
  NodeState state;
  int zone, shard;
};

// Whether no earlier attempt can have had an effect.
bool untouched(std::span<const Attempt> earlier);

// Whether a further attempt at the target keeps the rule that no effect happens twice.
Denial may_repeat(const IoGroup& group, std::span<const Attempt> earlier, const Target& target, Micros now);

// Whether an attempt may begin now: the above, and a node that wants work, and time left to the client.
Denial may_begin(const IoGroup& group, std::span<const Attempt> earlier, const Target& target, Micros now,
                 Micros give_up_at);

// Whether the request may be answered with a refusal, which tells the client that a retry is harmless.
bool may_refuse(const IoGroup& group, std::span<const Attempt> earlier);

// Why a client's connection is closed by this side, or what ended it.
enum class CloseReason : std::uint8_t {
  broken,      // reset by the client, or an error of the socket
  ended,       // the client ended its sending and has all its answers
  unreadable,  // what it sent can't be a command, or does not go on
  stalled,     // takes no answer for too long
  silent,      // never asked, or nothing for long
  evicted,     // its descriptor is needed
  idle,        // between commands, while the process ends
  stopping,    // the process has answered all and ends
  exception    // a fault of this program
};
inline constexpr std::array<std::string_view, 9> kCloseReasons = {
    "broken", "ended", "unreadable", "stalled", "silent", "evicted", "idle", "stopping", "exception"};

// A request that was read has to get its answer: only a client that has gone, or takes no answers, loses one.
bool may_close(CloseReason reason, std::size_t unanswered);

}  // namespace yewmount::permits
