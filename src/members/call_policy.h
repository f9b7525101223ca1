// When a call for the list of nodes is given up, and when the next is made. Decides without I/O; the client
// of discovery asks it.
//
// Where lists are pushed, discovery is an agent on this machine that answers at once and at no cost: silence
// soon means a dead connection. Where they are asked for, it is a service of limited capacity that all heads
// share. It answers a call within two seconds or turns it away, so an answer is worth waiting for, and calls
// that fail are made again ever later.
#pragma once
#include <cstdint>
#include <random>

#include "rules/rules.h"

namespace yewmount::members {

class CallPolicy {
 public:
  CallPolicy(bool asked, std::uint64_t seed)
      : asked_(asked), chance_(static_cast<std::uint32_t>(seed ^ (seed >> 32))) {}

  // Microseconds until a call, or the wait of a watch, has to be answered, and until the next part of an
  // answer. continued: a watch that goes on from an answer, which costs the service nothing.
  Micros answer_within(bool continued) const { return asked_ && !continued ? kSlowAnswer : kPromptAnswer; }
  Micros part_within() const { return kPromptAnswer; }
  // And until all of it is here.
  Micros whole_within(bool continued) const {
    return answer_within(continued) + kPromptWhole - kPromptAnswer;
  }

  // Whether a call after one that failed may name the version that stands: its answer is shorter, and all of
  // the service's changes are in it.
  bool names_version() const { return asked_; }

  // Microseconds until the next call, after one that failed. Spread, so that a fleet that lost its service at
  // one moment does not come back at one.
  Micros wait_after_failure() {
    const Micros base = asked_ ? kAskedAgain << std::min(failures_, kDoublings) : kPushedAgain;
    ++failures_;
    return base / 2 + static_cast<Micros>(chance_() % static_cast<std::uint32_t>(base));
  }
  void answered() { failures_ = 0; }

 private:
  // Together they keep a change within six seconds of when it could have been had: a silent watch (kHold and
  // kPromptAnswer), one wait and one slow answer where nothing was refused.
  static constexpr Micros kPromptAnswer = 500'000, kPromptWhole = 2'000'000, kSlowAnswer = 2'200'000;
  static constexpr Micros kPushedAgain = 100'000, kAskedAgain = 250'000;
  static constexpr int kDoublings = 2;

  const bool asked_;
  int failures_ = 0;  // in a row
  std::ranlux24_base chance_;
};

}  // namespace yewmount::members
