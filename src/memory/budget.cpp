#include "memory/budget.h"

#include <algorithm>
#include <utility>

namespace yewmount::memory {
namespace {

// The parts of the limit that uses may take, as divisors. They add up to more than the limit, since a crowd
// of one kind seldom comes with one of another; the limit holds for their sum.
constexpr std::size_t kInputDivisor = 2;
constexpr std::size_t kCommandDivisor = 3;
constexpr std::size_t kAnswerDivisor = 2;

std::size_t divisor(Use use) {
  switch (use) {
    case Use::client_input:
    case Use::node_input:
      return kInputDivisor;
    case Use::commands:
    case Use::node_output:
      return kCommandDivisor;
    case Use::answers:
    case Use::client_output:
      return kAnswerDivisor;
  }
  return 1;
}

// The use that shares the part of another; the use itself if none does.
Use partner(Use use) {
  switch (use) {
    case Use::commands:
      return Use::node_output;
    case Use::node_output:
      return Use::commands;
    case Use::answers:
      return Use::client_output;
    case Use::client_output:
      return Use::answers;
    default:
      return use;
  }
}

std::size_t difference(std::size_t bound, std::size_t used) { return bound > used ? bound - used : 0; }

}  // namespace

std::size_t Budget::share(Use use) const { return limit_ / divisor(use); }

std::size_t Budget::room(Use use) const {
  const std::size_t of_partner = partner(use) == use ? 0 : used(partner(use));
  return std::min(difference(share(use), used(use) + of_partner), difference(limit_, used_));
}

void Budget::change(Use use, std::size_t from, std::size_t to) {
  used_ += to - from;
  used_by_[static_cast<std::size_t>(use)] += to - from;
  peak_ = std::max(peak_, used_);
}

Charge::Charge(Charge&& other) noexcept
    : budget_(other.budget_), use_(other.use_), bytes_(std::exchange(other.bytes_, 0)) {}

Charge& Charge::operator=(Charge&& other) noexcept {
  if (this == &other) return *this;
  set(0);
  budget_ = other.budget_;
  use_ = other.use_;
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

void Charge::set(std::size_t bytes) {
  if (budget_) budget_->change(use_, bytes_, bytes);
  bytes_ = bytes;
}

}  // namespace yewmount::memory
