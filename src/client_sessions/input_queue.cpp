#include "client_sessions/input_queue.h"

#include <algorithm>
#include <utility>

#include "base/base.h"

namespace yewmount::client_sessions {
namespace {

// Parts of the input that arrive within this time of each other count as arrived with the first.
constexpr Micros kArrivalResolutionUs = 5'000;
// The most that a command can have before its last word, whose length is then known.
constexpr std::size_t kMaxCommandHeadBytes = (resp::kMaxWords + 1) * (resp::kMaxLineBytes + 16);

}  // namespace

void InputQueue::consume(std::size_t bytes) {
  bytes_.consume(bytes);
  waiting_bytes_ -= std::min(waiting_bytes_, bytes);
  std::erase_if(parts_, [&](Part& part) {
    part.end -= std::min(part.end, bytes);
    return part.end == 0;
  });
  if (bytes_.empty()) std::vector<Part>().swap(parts_);
}

void InputQueue::clear() {
  bytes_.clear();
  std::vector<Part>().swap(parts_);
  waiting_bytes_ = 0;
  refused_count_ = 0;
  is_malformed_ = false;
}

// The time of a part is that of its first bytes, since a command may not count as younger than it is.
void InputQueue::record_arrival(Micros arrived_at, bool is_one_command) {
  const std::size_t end = bytes_.size();
  if (end == 0) return;
  if (!parts_.empty() && parts_.back().end >= end) return;
  if (is_one_command) parts_.clear();
  if (!parts_.empty() && arrived_at - parts_.back().arrived_at < kArrivalResolutionUs)
    parts_.back().end = end;
  else
    parts_.push_back({end, arrived_at});
}

Micros InputQueue::arrival_time(std::size_t end) const {
  for (const Part& part : parts_)
    if (part.end >= end) return part.arrived_at;
  return monotonic_now();
}

// Finds the end of the last complete command.
void InputQueue::find_waiting_commands() {
  resp::Command command;
  while (resp::parse(bytes_.view().substr(waiting_bytes_), command) == resp::ParseStatus::complete)
    waiting_bytes_ += command.bytes;
}

void InputQueue::append_or_refuse(std::string_view bytes, std::size_t max_bytes) {
  if (is_malformed_) return;
  if (refused_count_ == 0 && bytes_.size() < max_bytes) {
    const std::size_t kept = std::min(bytes.size(), max_bytes - bytes_.size());
    bytes_.append(bytes.substr(0, kept));
    bytes.remove_prefix(kept);
  }
  if (bytes.empty()) return;
  if (refused_count_ == 0) find_waiting_commands();
  while (!bytes.empty() && !is_malformed_) bytes = refuse_first_command(skip(bytes));
}

// Refuses the command that begins behind the waiting ones and goes on with `bytes`. Returns what follows it.
std::string_view InputQueue::refuse_first_command(std::string_view bytes) {
  const std::size_t begun = bytes_.size() - waiting_bytes_;
  if (begun == 0 && bytes.empty()) return {};
  // A command that has begun is put together as far as its length is known then.
  const std::size_t joined = begun > 0 ? std::min(bytes.size(), kMaxCommandHeadBytes) : 0;
  bytes_.append(bytes.substr(0, joined));
  const std::string_view all = begun > 0 ? bytes_.view().substr(waiting_bytes_) : bytes;
  resp::Command command;
  const resp::ParseStatus status = resp::parse(all, command);
  if (status == resp::ParseStatus::malformed) {
    is_malformed_ = true;
    truncate();
    return {};
  }
  if (status == resp::ParseStatus::partial && !command.is_length_known) {
    if (begun == 0) bytes_.append(bytes);
    return begun == 0 ? std::string_view() : bytes.substr(joined);
  }
  ++refused_count_;
  truncate();
  const std::size_t rest = command.bytes - std::min(command.bytes, begun);
  const std::size_t used = std::min(rest, bytes.size());
  skipped_bytes_ = rest - used;
  return bytes.substr(used);
}

// Removes what lies behind the waiting commands.
void InputQueue::truncate() {
  bytes_.truncate(waiting_bytes_);
  std::erase_if(parts_, [&, is_last = false](Part& part) mutable {
    if (is_last) return true;
    is_last = part.end >= waiting_bytes_;
    part.end = std::min(part.end, waiting_bytes_);
    return part.end == 0;
  });
}

std::size_t InputQueue::take_refused(std::size_t end) {
  return end >= waiting_bytes_ ? std::exchange(refused_count_, 0) : 0;
}

std::size_t InputQueue::command_count() const {
  std::size_t count = refused_count_;
  resp::Command command;
  for (std::string_view rest = bytes_.view(); resp::parse(rest, command) == resp::ParseStatus::complete;
       ++count)
    rest.remove_prefix(command.bytes);
  return count;
}

void InputQueue::skip_command(std::size_t command_bytes) {
  skipped_bytes_ = command_bytes - bytes_.size();
  clear();
}

std::string_view InputQueue::skip(std::string_view bytes) {
  const std::size_t skipped = std::min(skipped_bytes_, bytes.size());
  skipped_bytes_ -= skipped;
  return bytes.substr(skipped);
}

}  // namespace yewmount::client_sessions
