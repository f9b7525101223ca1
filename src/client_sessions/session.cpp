#include "client_sessions/session.h"

#include <algorithm>

#include "base/base.h"

namespace yewmount::client_sessions {
namespace {

constexpr Micros kSecondUs = 1'000'000;
// These protect the head's descriptors and memory from clients that send nothing, leave a command incomplete
// or do not read their answers. The cost: a client that needs longer than kCommandTimeoutUs to send a single
// command is cut off.
constexpr Micros kCommandTimeoutUs = 2 * kSecondUs;
constexpr Micros kStalledTimeoutUs = 5 * kSecondUs;
// A client that has accepted no output for this long counts as one that does not read.
constexpr Micros kUnreadTimeoutUs = kSecondUs / 2;
constexpr Micros kIdleTimeoutUs = 20 * kSecondUs;
// Limits of one connection. At the first two, further commands wait.
constexpr std::size_t kMaxOpenCommands = 32;        // commands whose answers have not been sent
constexpr std::size_t kMaxUnreadBytes = 256 << 10;  // of answers that only wait for the client to read
constexpr std::size_t kMaxLastCommands = 32;        // further ones that are taken at the end of the stream
// What a connection may hold of waiting commands, and as a part of what all connections may hold, where that
// is more.
constexpr std::size_t kMaxQueuedBytes = 256 << 10;
constexpr std::size_t kQueuedShareDivisor = 16;
// How long unread input may hide the end of the stream; operators allow 0.1 s until nothing begins any more.
constexpr Micros kMaxHiddenCloseUs = 50'000;
// Answers are moved to the output buffer while it holds less than this. What is there can't be dropped.
constexpr std::size_t kOutputWindowBytes = 16 << 10;
// What is read at once where no large command is under way: a connection that floods the head with small ones
// leaves processor time to the others.
constexpr std::size_t kReadBytes = 4 << 10;
// What a connection may always hold, however short memory is, so that small commands are served.
constexpr std::size_t kMinInputBytes = 1 << 10;
constexpr std::size_t kMinUnreadBytes = 2 << 10;
// After a pause of reading, bytes that the client has sent before may still be on their way for this long, as
// there was no room for them on this machine.
constexpr Micros kFlowControlUs = 50'000;
constexpr std::string_view kFailedAnswer = "-ERR failed\r\n";
constexpr std::string_view kBusyAnswer = "-BUSY\r\n";

// The memory that a string holds outside of itself.
std::size_t heap_bytes(const std::string& text) {
  static const std::size_t inline_capacity = std::string().capacity();
  return text.capacity() > inline_capacity ? memory::charged_bytes(text.capacity()) : 0;
}

}  // namespace

ClientSessions::Session::Session(asio::ip::tcp::socket socket, ClientSessions& owner, int index,
                                 std::uint64_t connection_id, Micros unread_since)
    : Stream(std::move(socket), memory::Charge(owner.budget_, memory::Use::client_output)),
      owner_(owner),
      index_(index),
      connection_id_(connection_id),
      input_(owner.budget_),
      answer_charge_(owner.budget_, memory::Use::answers),
      opened_at_(monotonic_now()),
      last_used_at_(opened_at_),
      last_write_progress_at_(opened_at_),
      last_input_at_(opened_at_),
      unread_since_(unread_since),
      resumed_at_(opened_at_) {}

std::size_t ClientSessions::Session::unanswered_count() const {
  return static_cast<std::size_t>(std::ranges::count(answers_, false, &Answer::is_known));
}

// --- answers ----------------------------------------------------------------------------------------------

bool ClientSessions::Session::answer(std::uint64_t sequence, std::string_view bytes) {
  if (!is_unanswered(sequence)) return false;
  Answer& entry = answers_[sequence - first_sequence_];
  entry.is_known = true;
  if (sequence == first_sequence_ && entry.copies == 1 && pending_bytes() < kOutputWindowBytes) {
    append_output(bytes);  // without a copy in between
  } else {
    entry.bytes = bytes;
    waiting_answer_bytes_ += heap_bytes(entry.bytes);
  }
  move_answers_to_output(kOutputWindowBytes);
  return true;
}

bool ClientSessions::Session::is_unanswered(std::uint64_t sequence) const {
  return sequence >= first_sequence_ && sequence - first_sequence_ < answers_.size() &&
         !answers_[sequence - first_sequence_].is_known;
}

std::size_t ClientSessions::Session::blocked_bytes() const {
  return answers_.empty() || answers_.front().is_known ? 0 : waiting_answer_bytes_;
}

std::size_t ClientSessions::Session::unread_answer_bytes(Micros now) const {
  const bool does_not_read = pending_bytes() > 0 && now - last_write_progress_at_ > kUnreadTimeoutUs;
  return does_not_read ? waiting_answer_bytes_ : 0;
}

bool ClientSessions::Session::can_send_now(std::uint64_t sequence) const {
  return sequence == first_sequence_ && pending_bytes() == 0;
}

std::uint64_t ClientSessions::Session::drop_waiting_values() {
  std::uint64_t dropped = 0;
  for (Answer& answer : answers_) {
    if (answer.bytes.size() <= resp::kMaxLineBytes) continue;
    waiting_answer_bytes_ -= heap_bytes(answer.bytes);
    std::string(kFailedAnswer).swap(answer.bytes);
    waiting_answer_bytes_ += heap_bytes(answer.bytes);
    ++dropped;
  }
  update_answer_charge();
  return dropped;
}

bool ClientSessions::Session::move_answers_to_output(std::size_t max_pending) {
  const std::uint64_t appended_before = bytes_appended();
  std::size_t count = 0;
  while (count < answers_.size() && move_answer_to_output(answers_[count], max_pending)) ++count;
  if (count > 0) {
    answers_.erase(answers_.begin(), answers_.begin() + static_cast<std::ptrdiff_t>(count));
    first_sequence_ += count;
    last_used_at_ = monotonic_now();
    if (answers_.empty()) std::vector<Answer>().swap(answers_);
  }
  update_answer_charge();
  return count > 0 || bytes_appended() > appended_before;
}

// Moves an answer to the output buffer, as far as that holds less than `max_pending` bytes; returns whether
// all of it was moved.
bool ClientSessions::Session::move_answer_to_output(Answer& answer, std::size_t max_pending) {
  if (!answer.is_known) return false;
  for (; answer.copies > 0; --answer.copies) {
    if (!answer.bytes.empty() && pending_bytes() >= max_pending) return false;
    append_output(answer.bytes);
  }
  waiting_answer_bytes_ -= heap_bytes(answer.bytes);
  std::string().swap(answer.bytes);
  return true;
}

void ClientSessions::Session::update_answer_charge() {
  answer_charge_.set(waiting_answer_bytes_ + memory::charged_bytes(answers_.capacity() * sizeof(Answer)));
}

void ClientSessions::Session::flush_output() {
  if (!open()) return;
  flush();
  if (open()) on_write_progress();
}

// Adds commands in a row with a given answer at the end.
void ClientSessions::Session::append_answer(std::string_view line, std::size_t copies) {
  answers_.push_back({.is_known = false, .copies = copies, .bytes = {}});
  answer(first_sequence_ + answers_.size() - 1, line);
}

void ClientSessions::Session::reject_queued_commands() {
  const std::size_t count = input_rejected_ ? 0 : input_.command_count();
  discard_input();
  if (count > 0) append_answer(kBusyAnswer, count);
}

// Closes the session after its last answer, or lets commands continue that waited for pending output.
void ClientSessions::Session::on_write_progress() {
  while (open() && move_answers_to_output(kOutputWindowBytes)) flush();
  if (!open()) return;
  if (answers_.empty() && pending_bytes() == 0 && (input_rejected_ || peer_eof_seen_))
    return owner_.close_session(index_, input_rejected_ ? rejection_reason() : CloseReason::ended);
  if (!at_limit_) return;
  if (!is_at_limit())
    owner_.resumable_.push_back(command_id(0));
  else if (reading_paused_ && !is_close_reported())
    update_reading();
}

// --- input ------------------------------------------------------------------------------------------------

// No more is read than can be kept.
std::span<char> ClientSessions::Session::read_buffer() {
  const std::size_t kept = input_.size();
  const std::size_t unconditional =
      std::max(input_.skipped_bytes(), kept < kMinInputBytes ? kMinInputBytes - kept : 1);
  const std::size_t room = input_.spare() + owner_.budget_.room(memory::Use::client_input);
  const std::size_t rest_of_command = partial_command_bytes_ - std::min(kept, partial_command_bytes_);
  // While commands wait, the end of the stream may lie behind the input. What finds no room is refused.
  const std::size_t wanted = std::max(kReadBytes, rest_of_command);
  const auto buffer = net::shared_read_buffer();
  if (at_limit_) {
    read_buffer_bytes_ = buffer.size();
    return buffer;
  }
  read_buffer_bytes_ = std::min(std::max(std::min(room, wanted), unconditional), buffer.size());
  return buffer.first(read_buffer_bytes_);
}

void ClientSessions::Session::on_read(std::size_t bytes) {
  const Micros now = monotonic_now();
  unread_since_ = waiting_since(now);
  const Micros arrived_at = unread_since_ > 0 ? unread_since_ : owner_.arrival_time();
  last_input_at_ = now;
  if (bytes < read_buffer_bytes_) {
    mark_socket_drained(now);
  } else {
    is_socket_drained_ = false;
    unread_since_ = arrived_at;  // what is left may be as old
  }
  if (!input_rejected_) handle_input({net::shared_read_buffer().data(), bytes}, arrived_at);
}

// Since when the bytes may wait that the socket holds or will bring next; 0 if they arrive as they come.
Micros ClientSessions::Session::waiting_since(Micros now) const {
  return is_socket_drained_ && now - resumed_at_ >= kFlowControlUs ? 0 : unread_since_;
}

void ClientSessions::Session::mark_socket_drained(Micros now) {
  is_socket_drained_ = true;
  unread_since_ = waiting_since(now);
}

// An exception ends only the connection whose input caused it.
void ClientSessions::Session::handle_input(std::string_view bytes, Micros arrived_at) {
  try {
    parse_commands(bytes, arrived_at);
  } catch (const std::exception& e) {
    logs::warn("connection ended", {{"why", e.what()}});
    owner_.close_session(index_, CloseReason::exception);
  }
}

// Passes complete commands to the handler until a limit is reached, and keeps the rest of the input.
void ClientSessions::Session::parse_commands(std::string_view bytes, Micros arrived_at) {
  bytes = skip_refused_command(bytes);
  partial_command_bytes_ = 0;
  const bool commands_wait = at_limit_;
  at_limit_ = is_at_limit();
  if (commands_wait || at_limit_) {
    queue_input(bytes, arrived_at);
    bytes = {};
  }
  if (at_limit_) return update_reading();
  const std::size_t kept_before = input_.size();
  if (kept_before > 0) input_.append(bytes);
  const std::string_view all = kept_before > 0 ? input_.view() : bytes;
  std::size_t used = 0;
  while (true) {
    answer_refused_commands(used);
    if (input_.is_malformed_behind(used)) return reject_input("a command that can't be read");
    if (used >= all.size() || (at_limit_ = is_at_limit())) break;
    resp::Command command;
    const resp::ParseStatus status = resp::parse(all.substr(used), command);
    if (status == resp::ParseStatus::malformed) return reject_input(command.why);
    if (status == resp::ParseStatus::partial) {
      partial_command_bytes_ = std::max(command.bytes, all.size() - used + 1);
      is_partial_length_known_ = command.is_length_known;
      break;
    }
    used += command.bytes;
    partial_since_ = 0;
    has_sent_command_ = true;
    answers_.emplace_back();
    owner_.handler_.on_command(command_id(first_sequence_ + answers_.size() - 1), command,
                               used > kept_before ? arrived_at : input_.arrival_time(used));
  }
  update_answer_charge();
  keep_input(all.substr(used), used, arrived_at);
  update_reading();
}

// Answers the commands that were refused behind the first `used` bytes of the input.
void ClientSessions::Session::answer_refused_commands(std::size_t used) {
  const std::size_t count = input_.take_refused(used);
  if (count == 0) return;
  owner_.counts_.refused_queued += count;
  append_answer(kBusyAnswer, count);
  owner_.unflushed_.push_back(command_id(0));
}

// Drops what belongs to a refused command, and returns the rest of the bytes.
std::string_view ClientSessions::Session::skip_refused_command(std::string_view bytes) {
  if (!input_.is_skipping()) return bytes;
  const std::string_view rest = input_.skip(bytes);
  if (!input_.is_skipping()) partial_since_ = 0;
  return rest;
}

// Keeps input behind commands that wait because of a limit.
void ClientSessions::Session::queue_input(std::string_view bytes, Micros arrived_at) {
  input_.append_or_refuse(bytes, max_queued_bytes());
  input_.record_arrival(arrived_at, false);
  if (input_.is_skipping() || (partial_since_ == 0 && !input_.empty())) partial_since_ = monotonic_now();
}

// Keeps unparsed input, with the arrival times of its parts. `used` is the number of parsed bytes.
void ClientSessions::Session::keep_input(std::string_view rest, std::size_t used, Micros arrived_at) {
  if (!input_.empty())
    input_.consume(used);
  else if (at_limit_)
    return queue_input(rest, arrived_at);
  else
    input_.append(rest);
  input_.record_arrival(arrived_at, !at_limit_);
  if (partial_since_ == 0 && !rest.empty()) partial_since_ = monotonic_now();
}

// The most bytes of commands that may wait in the input, so that all connections find room.
std::size_t ClientSessions::Session::max_queued_bytes() const {
  const std::size_t most =
      std::max(kMaxQueuedBytes, owner_.budget_.share(memory::Use::client_input) / kQueuedShareDivisor);
  return std::clamp(owner_.budget_.room(memory::Use::client_input), kMinInputBytes, most);
}

bool ClientSessions::Session::is_at_limit() const {
  const bool is_blocked = !answers_.empty() && !answers_.front().is_known;
  const std::size_t unread_bytes = pending_bytes() + (is_blocked ? 0 : waiting_answer_bytes_);
  const std::size_t max_unread_bytes =
      std::clamp(owner_.budget_.room(memory::Use::client_output), kMinUnreadBytes, kMaxUnreadBytes);
  const std::size_t max_open_commands = kMaxOpenCommands + (peer_eof_seen_ ? kMaxLastCommands : 0);
  return answers_.size() >= max_open_commands || unread_bytes >= max_unread_bytes;
}

// Reserves memory for the whole of the incomplete command, so that a client that is read from can finish;
// returns false if there is no room.
bool ClientSessions::Session::reserve_partial_command() {
  const std::size_t bytes = partial_command_bytes_;
  if (bytes <= input_.capacity() || bytes <= kMinInputBytes) return true;
  if (bytes - input_.capacity() > owner_.budget_.room(memory::Use::client_input)) return false;
  input_.reserve(bytes);
  return true;
}

// Pauses reading while commands wait for the client to read and much input is kept, or while there is no room
// for the rest of a command.
void ClientSessions::Session::update_reading() {
  const bool was_paused = reading_paused_;
  if (at_limit_) {
    is_waiting_for_room_ = false;
    reading_paused_ = is_close_reported() && input_.size() >= max_queued_bytes();
  } else {
    reading_paused_ = !reserve_partial_command();
    if (reading_paused_ && hides_close(monotonic_now())) return skip_partial_command();
    if (reading_paused_ && !is_waiting_for_room_) {
      room_wanted_since_ = monotonic_now();
      owner_.room_waiters_.push_back(command_id(0));
      ++owner_.counts_.reads_paused;
    }
    is_waiting_for_room_ = reading_paused_;
  }
  const Micros now = monotonic_now();
  if (was_paused && !reading_paused_) resumed_at_ = now;
  if (reading_paused_) {
    unread_since_ = waiting_since(now);
    if (unread_since_ == 0) unread_since_ = now;
    is_socket_drained_ = false;
  }
  if (!reading_paused_) reset_unread_since_if_empty();
  pause_reading(reading_paused_);
}

bool ClientSessions::Session::hides_close(Micros now) const {
  const bool has_waited = unread_since_ > 0 && now - unread_since_ > kMaxHiddenCloseUs;
  if (!has_waited || is_close_reported() || unanswered_count() == 0) return false;
  const std::size_t rest_of_command =
      partial_command_bytes_ - std::min(input_.size(), partial_command_bytes_);
  return unread_bytes() > rest_of_command;
}

bool ClientSessions::Session::try_resume_reading() {
  if (!reserve_partial_command()) return false;
  last_input_at_ = monotonic_now();  // the wait was not the client's
  update_reading();
  return true;
}

bool ClientSessions::Session::has_whole_command() const {
  return is_partial_length_known_ && input_.size() + unread_bytes() >= partial_command_bytes_;
}

bool ClientSessions::Session::try_read_whole_command() {
  if (owner_.budget_.used() + partial_command_bytes_ > owner_.budget_.limit()) return false;
  input_.reserve(partial_command_bytes_);
  return try_resume_reading();
}

Micros ClientSessions::Session::stalled_for(Micros now) const {
  if (!has_partial_command() || is_waiting_for_room_ || peer_eof_seen_) return 0;
  return now - last_input_at_;
}

bool ClientSessions::Session::confirm_stall(Micros now) {
  if (!has_unread_input()) return true;
  last_input_at_ = now;
  return false;
}

void ClientSessions::Session::skip_partial_command() {
  if (!is_partial_length_known_) return refuse_partial_command();
  input_.skip_command(partial_command_bytes_);
  partial_command_bytes_ = 0;
  append_answer(kBusyAnswer);
  owner_.unflushed_.push_back(command_id(0));
  update_reading();
}

void ClientSessions::Session::refuse_partial_command() {
  is_refused_ = true;
  stop_taking_input();
  append_answer(kBusyAnswer);
}

// Ignores all further input: what still comes is read and dropped.
void ClientSessions::Session::stop_taking_input() {
  input_rejected_ = true;
  is_waiting_for_room_ = false;
  reading_paused_ = false;
  discard_input();
  pause_reading(false);
  owner_.unflushed_.push_back(command_id(0));
}

// Answers malformed input with an error line, after the answers to earlier commands, and ignores all further
// input.
void ClientSessions::Session::reject_input(std::string_view why) {
  ++owner_.counts_.unreadable;
  stop_taking_input();
  std::string line = "-ERR ";
  append_answer((line += why) += "\r\n");
}

void ClientSessions::Session::discard_input() {
  input_.clear();
  partial_command_bytes_ = 0;
}

void ClientSessions::Session::reset_unread_since_if_empty() {
  if (unread_since_ > 0 && !has_unread_input()) mark_socket_drained(monotonic_now());
}

void ClientSessions::Session::resume() {
  if (input_rejected_ || peer_eof_seen_ || !at_limit_) return;
  handle_input({}, monotonic_now());
}

void ClientSessions::Session::report_half_close() {
  std::vector<CommandId> unanswered;  // a copy: the handler may answer, which changes answers_
  for (std::size_t i = 0; i < answers_.size(); ++i)
    if (!answers_[i].is_known) unanswered.push_back(command_id(first_sequence_ + i));
  for (const CommandId& id : unanswered) owner_.handler_.on_half_close(id);
}

// The client has closed the connection or only its sending side; the two cannot be told apart here. Running
// commands are still answered, since the client may read on. The handler is told one loop iteration later, so
// that commands that arrived together with the end may still begin; the first that waited because of the
// limit on open commands are taken for that, and the others are rejected.
bool ClientSessions::Session::on_peer_eof() {
  ++owner_.counts_.half_closed;
  peer_eof_seen_ = true;
  const bool was_waiting_for_room = is_waiting_for_room_;
  if (at_limit_ && !input_rejected_) handle_input({}, monotonic_now());
  is_waiting_for_room_ = false;
  reject_queued_commands();
  if (was_waiting_for_room) append_answer(kBusyAnswer);  // the rest of the command may be in the socket
  owner_.new_half_closed_.push_back(command_id(0));
  owner_.unflushed_.push_back(command_id(0));
  return true;
}

std::optional<CloseReason> ClientSessions::Session::check_timeouts(Micros now) {
  if (pending_bytes() == 0) last_write_progress_at_ = now;
  if (bytes_written() != last_bytes_written_) {
    last_bytes_written_ = bytes_written();
    last_write_progress_at_ = now;
  }
  if (now - last_write_progress_at_ > kStalledTimeoutUs) return CloseReason::stalled;
  // While reading is paused, the end of the stream behind unread input is noticed only here.
  if (reading_paused_ && !peer_eof_seen_ && has_client_closed()) {
    on_peer_eof();
    return {};  // it may have closed the session
  }
  if (input_rejected_ || !answers_.empty()) return {};
  const bool is_within_command = (!input_.empty() && !at_limit_) || input_.is_skipping();
  if (is_within_command && now - partial_since_ > kCommandTimeoutUs) {
    reject_input("a command that doesn't end");
    return {};
  }
  const bool is_silent = has_sent_command_ ? is_idle() && now - last_used_at_ > kIdleTimeoutUs
                                           : now - opened_at_ > kCommandTimeoutUs;
  if (!is_silent || (is_idle() && has_unread_input())) return {};
  return CloseReason::silent;
}

}  // namespace yewmount::client_sessions
