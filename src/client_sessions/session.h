// The connection of one client: parses its commands, keeps the answers in their order, and holds incomplete
// input as far as the memory budget allows.
#pragma once
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "client_sessions/client_sessions.h"
#include "client_sessions/input_queue.h"
#include "net/stream.h"

namespace yewmount::client_sessions {

class ClientSessions::Session : public net::Stream {
 public:
  // `unread_since` is when bytes may have begun to wait in the socket, or 0 if none do.
  Session(asio::ip::tcp::socket socket, ClientSessions& owner, int index, std::uint64_t connection_id,
          Micros unread_since);

  int index() const { return index_; }
  std::uint64_t connection_id() const { return connection_id_; }
  bool has_sent_command() const { return has_sent_command_; }
  Micros last_used_at() const { return last_used_at_; }
  // Whether the session is between commands.
  bool is_idle() const {
    return answers_.empty() && input_.empty() && !input_.is_skipping() && pending_bytes() == 0;
  }
  std::size_t unanswered_count() const;

  // --- answers ---
  // Returns false if the command has its answer already.
  bool answer(std::uint64_t sequence, std::string_view bytes);
  bool is_unanswered(std::uint64_t sequence) const;
  CommandId first_unanswered() const { return command_id(first_sequence_); }
  // Memory of answers that wait behind an unanswered command.
  std::size_t blocked_bytes() const;
  // Memory of answers that wait for a client that does not read.
  std::size_t unread_answer_bytes(Micros now) const;
  // Whether the answer to this command would go straight to the socket, which has accepted all before it.
  bool can_send_now(std::uint64_t sequence) const;
  // Replaces all values that are not in the output buffer by errors; returns their number.
  std::uint64_t drop_waiting_values();
  // Moves the answers whose turn it is to the output buffer until that holds `max_pending` bytes. Returns
  // whether it moved any.
  bool move_answers_to_output(std::size_t max_pending);
  void flush_output();
  // Answers complete commands that were waiting and will not run with -BUSY, which tells the client that they
  // have not run.
  void reject_queued_commands();
  // Drops all commands of a closed session and calls `on_unanswered` for each that has no answer.
  template <class OnUnanswered>
  void drop_commands(OnUnanswered on_unanswered) {
    for (std::size_t i = 0; i < answers_.size(); ++i)
      if (!answers_[i].is_known) on_unanswered(command_id(first_sequence_ + i));
    std::vector<Answer>().swap(answers_);
    waiting_answer_bytes_ = 0;
    update_answer_charge();
    discard_input();
  }

  // --- input ---
  // Whether the client has closed or half-closed its connection, according to its socket at this moment. The
  // end is seen at any time, however much the client has sent before it: reading pauses for long only while
  // output is pending, for which a client that has closed gets the connection reset.
  bool has_client_closed() { return peer_eof_seen_ || has_peer_closed(); }
  // Resets `unread_since_` if no bytes have arrived since.
  void reset_unread_since_if_empty();
  // Continues with commands that had to wait because of a limit.
  void resume();
  // Reports each unanswered command to the handler as half-closed.
  void report_half_close();
  // Whether the session holds an incomplete command.
  bool has_partial_command() const { return !input_.empty() && !at_limit_ && !input_rejected_; }
  bool is_waiting_for_room() const { return is_waiting_for_room_; }
  Micros room_wanted_since() const { return room_wanted_since_; }
  // Whether the incomplete command must not wait for room any longer: the end of the stream may lie behind
  // what has long been unread, while earlier commands of the client may still begin.
  bool hides_close(Micros now) const;
  // How long nothing has been read for the incomplete command; 0 if there is none or this is not the client's
  // doing.
  Micros stalled_for(Micros now) const;
  // Whether the socket has no unread input either. If it has, the client counts as having sent it now.
  bool confirm_stall(Micros now);
  // Reads on if there is room for the rest of the incomplete command; returns whether there is.
  bool try_resume_reading();
  // Whether the socket holds the whole rest of the incomplete command, so that it needs room for a moment
  // only.
  bool has_whole_command() const;
  // Reads such a command if the budget has room for it, though its share may have none.
  bool try_read_whole_command();
  // Refuses the incomplete command with -BUSY and frees its memory. If its length is known, what still comes
  // of it is dropped and the session serves the commands behind it; else like refuse_partial_command().
  void skip_partial_command();
  // Refuses the incomplete command with -BUSY, frees its memory and takes no further input. The session
  // closes once its earlier commands are answered.
  void refuse_partial_command();
  // The reason for the close of a session that takes no further input.
  CloseReason rejection_reason() const {
    return is_refused_ ? CloseReason::no_memory : CloseReason::unreadable;
  }

  // Returns the reason for closing the session if one of its time limits has passed. Answers a command that
  // stays incomplete for too long with an error line.
  std::optional<CloseReason> check_timeouts(Micros now);

 private:
  struct Answer {
    bool is_known = false;
    std::size_t copies = 1;  // the commands in a row that it answers
    std::string bytes;       // until it is moved to the output buffer
  };

  std::span<char> read_buffer() override;
  void on_read(std::size_t bytes) override;
  void on_write_progress() override;
  bool on_peer_eof() override;
  void on_error(const std::error_code&) override { owner_.close_session(index_, CloseReason::broken); }

  CommandId command_id(std::uint64_t sequence) const { return {index_, connection_id_, sequence}; }
  void append_answer(std::string_view line, std::size_t copies = 1);
  bool move_answer_to_output(Answer& answer, std::size_t max_pending);
  void update_answer_charge();
  bool is_at_limit() const;
  bool is_close_reported() const { return pending_bytes() > 0; }
  std::size_t max_queued_bytes() const;
  void handle_input(std::string_view bytes, Micros arrived_at);
  void parse_commands(std::string_view bytes, Micros arrived_at);
  void queue_input(std::string_view bytes, Micros arrived_at);
  void keep_input(std::string_view rest, std::size_t used, Micros arrived_at);
  void answer_refused_commands(std::size_t used);
  Micros waiting_since(Micros now) const;
  void mark_socket_drained(Micros now);
  std::string_view skip_refused_command(std::string_view bytes);
  bool reserve_partial_command();
  void update_reading();
  void discard_input();
  void stop_taking_input();
  void reject_input(std::string_view why);

  ClientSessions& owner_;
  const int index_;
  const std::uint64_t connection_id_;
  std::vector<Answer> answers_;  // from the first that is not in the output buffer on
  std::uint64_t first_sequence_ = 0;
  std::uint64_t last_bytes_written_ = 0;
  InputQueue input_;
  std::size_t partial_command_bytes_ = 0;  // length of the incomplete command as far as it is known
  bool is_partial_length_known_ = false;   // whether that is its whole length
  std::size_t waiting_answer_bytes_ = 0;   // memory of answers_
  memory::Charge answer_charge_;
  bool has_sent_command_ = false;
  bool at_limit_ = false;
  bool reading_paused_ = false;
  bool is_waiting_for_room_ = false;  // reading is paused until there is room for the incomplete command
  bool input_rejected_ = false;
  bool is_refused_ = false;  // by refuse_partial_command()
  bool peer_eof_seen_ = false;
  Micros opened_at_;
  Micros last_used_at_;
  Micros last_write_progress_at_;
  Micros last_input_at_;
  Micros room_wanted_since_ = 0;
  Micros partial_since_ = 0;  // since when input_ holds unparsed bytes; 0: it does not
  Micros unread_since_;       // since when bytes may be waiting in the socket; 0: none are
  bool is_socket_drained_ =
      false;           // since unread_since_ was set; the peer may still hold bytes for lack of room
  Micros resumed_at_;  // when reading began or went on after a pause
  std::size_t read_buffer_bytes_ = 0;  // size of the buffer of the latest read
};

}  // namespace yewmount::client_sessions
