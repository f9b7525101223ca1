// Timeouts and backoff of the requests for the list of nodes. Does no I/O; used by the discovery client.
//
// In push mode, discovery is an agent on this machine that answers at once and at no cost, so that silence
// soon means a dead connection. In poll mode, it is a service of limited capacity that all heads share. It
// answers a request within two seconds or rejects it: a response is worth waiting for, and failed requests
// are retried with exponential backoff.
#pragma once
#include <cstdint>
#include <random>

#include "rules/rules.h"

namespace yewmount::discovery {

// All times are in microseconds.
class RequestPolicy {
 public:
  // polls_list: poll mode. seed: of the random part of the backoff.
  RequestPolicy(bool polls_list, std::uint64_t seed)
      : polls_list_(polls_list), random_(static_cast<std::uint32_t>(seed ^ (seed >> 32))) {}

  // Timeout of the first byte of a response, counted from the request or from the end of a watch's hold time.
  // continued: the request is a watch that follows a response, which costs the service nothing.
  Micros response_timeout(bool continued) const {
    return polls_list_ && !continued ? kSlowResponseTimeoutUs : kPromptResponseTimeoutUs;
  }
  // Longest pause within a response.
  Micros pause_timeout() const { return kPromptResponseTimeoutUs; }
  // Timeout of the whole response, counted like response_timeout().
  Micros total_timeout(bool continued) const {
    return response_timeout(continued) + kPromptTotalTimeoutUs - kPromptResponseTimeoutUs;
  }

  // Whether the request after a failed one may ask for the changes since the current version: the response is
  // shorter than the whole list, and complete in poll mode.
  bool may_request_changes() const { return polls_list_; }

  // Counts a failed request and returns the delay until the next one. The delay has a random part, so that
  // heads that lost the service at the same time don't all return at the same time.
  Micros backoff_after_failure() {
    const Micros base =
        polls_list_ ? kPollBackoffUs << std::min(failures_, kMaxBackoffDoublings) : kPushBackoffUs;
    ++failures_;
    return base / 2 + static_cast<Micros>(random_() % static_cast<std::uint32_t>(base));
  }
  void reset_backoff() { failures_ = 0; }

 private:
  // Together they bound the delay of a change to six seconds from when it was available: a silent watch (its
  // hold time and kPromptResponseTimeoutUs), one backoff and one slow response if no request was rejected.
  static constexpr Micros kPromptResponseTimeoutUs = 500'000;
  static constexpr Micros kPromptTotalTimeoutUs = 2'000'000;
  static constexpr Micros kSlowResponseTimeoutUs = 2'200'000;
  static constexpr Micros kPushBackoffUs = 100'000;
  static constexpr Micros kPollBackoffUs = 250'000;
  static constexpr int kMaxBackoffDoublings = 2;

  const bool polls_list_;
  int failures_ = 0;  // consecutive
  std::ranlux24_base random_;
};

}  // namespace yewmount::discovery
