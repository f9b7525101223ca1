// What a client has sent and its session has not passed on: commands that wait because the session is at a
// limit, and an incomplete one at the end. Where it is full, the commands behind are refused: they are cut
// out of the input, and only their number is kept.
#pragma once
#include <cstddef>
#include <string_view>
#include <vector>

#include "memory/byte_buffer.h"
#include "resp/resp.h"
#include "rules/rules.h"

namespace yewmount::client_sessions {

class InputQueue {
 public:
  explicit InputQueue(memory::Budget& budget) : bytes_(budget, memory::Use::client_input) {}

  std::string_view view() const { return bytes_.view(); }
  std::size_t size() const { return bytes_.size(); }
  bool empty() const { return bytes_.empty(); }
  std::size_t capacity() const { return bytes_.capacity(); }
  std::size_t spare() const { return bytes_.spare(); }
  void reserve(std::size_t bytes) { bytes_.reserve(bytes); }
  void append(std::string_view bytes) { bytes_.append(bytes); }
  // Removes bytes from the front, which have been passed on.
  void consume(std::size_t bytes);
  void clear();

  // Records that the input behind the last recorded part arrived at this time. If `is_one_command`, all of it
  // belongs to one incomplete command, which arrives with its last part.
  void record_arrival(Micros arrived_at, bool is_one_command);
  // When the input up to position `end` had arrived.
  Micros arrival_time(std::size_t end) const;

  // Keeps bytes as far as the queue then holds at most `max_bytes`, and refuses the commands that don't fit.
  void append_or_refuse(std::string_view bytes, std::size_t max_bytes);
  // The number of commands that were refused behind the first `end` bytes; 0 if the queue still holds
  // commands before them. They count as taken then.
  std::size_t take_refused(std::size_t end);
  // Whether what follows the first `end` bytes can't be read. Refused commands before it have to be taken
  // first.
  bool is_malformed_behind(std::size_t end) const {
    return is_malformed_ && refused_count_ == 0 && end >= waiting_bytes_;
  }
  // All commands that the queue holds or has refused, an incomplete one not counted.
  std::size_t command_count() const;
  // Refuses the incomplete command that is all the queue holds: what still comes of it is dropped.
  void skip_command(std::size_t command_bytes);
  bool is_skipping() const { return skipped_bytes_ > 0; }
  std::size_t skipped_bytes() const { return skipped_bytes_; }  // still to come of a refused command
  // Drops what belongs to a refused command, and returns the rest of the bytes.
  std::string_view skip(std::string_view bytes);

 private:
  // A part of the input that arrived at one time and ends at `end`.
  struct Part {
    std::size_t end;
    Micros arrived_at;
  };
  void find_waiting_commands();
  std::string_view refuse_first_command(std::string_view bytes);
  void truncate();

  memory::ByteBuffer bytes_;
  std::vector<Part> parts_;
  std::size_t waiting_bytes_ = 0;  // at the front: complete commands, as far as they have been looked at
  std::size_t refused_count_ = 0;  // commands refused behind those
  std::size_t skipped_bytes_ = 0;
  bool is_malformed_ = false;  // behind the waiting and the refused commands: no more is kept
};

}  // namespace yewmount::client_sessions
