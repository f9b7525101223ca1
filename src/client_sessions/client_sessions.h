// Client connections that speak RESP2: parses commands, passes them to a handler and sends the answers in the
// order of the commands. It does not interpret commands. Malformed input is answered with an error line, then
// the connection closes. All queues are bounded.
//
// An answer is kept until all earlier commands of its connection are answered and the socket has accepted
// nearly all output before it. Memory for this and for incomplete commands is drawn from the budget of the
// process. Where it is short, clients that stall pay first: see make_room() and make_input_room().
#pragma once
#include <asio.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "memory/budget.h"
#include "net/listener.h"
#include "net/stream.h"
#include "resp/resp.h"
#include "rules/containers.h"
#include "rules/permits.h"
#include "rules/rules.h"

namespace yewmount::client_sessions {

// Identifies a command that awaits its answer.
struct CommandId {
  int session = -1;                 // index of the session; reused after it closes
  std::uint64_t connection_id = 0;  // never reused
  std::uint64_t sequence = 0;       // position among the commands of the connection, from 0
};

// Receives the commands of all clients.
class CommandHandler {
 public:
  virtual ~CommandHandler() = default;
  // A command to be answered with ClientSessions::answer(), during the call or later. The views in `command`
  // are valid during the call only. `arrived_at` is when the last byte of the command arrived, which may be
  // long ago if the command had to wait behind others.
  virtual void on_command(const CommandId& id, const resp::Command& command, Micros arrived_at) = 0;
  // The client has disconnected; this command needs no answer.
  virtual void on_disconnect(const CommandId& id) = 0;
  // The client has ended its sending side and either has disconnected or only reads. No further attempt of
  // this command may begin; an answer that results from earlier attempts is still sent.
  virtual void on_half_close(const CommandId& id) = 0;
  // The answers behind this unanswered command need more memory than there is. It must be answered in this
  // call.
  virtual void on_answers_blocked(const CommandId& id) = 0;
};

using permits::CloseReason;

// Totals since the start.
struct Counts {
  std::uint64_t unreadable = 0;            // malformed or incomplete commands
  std::uint64_t rejected_connections = 0;  // closed because no session became free in time
  std::uint64_t half_closed = 0;           // clients that ended their sending side
  std::uint64_t lingering_closes = 0;
  std::uint64_t ended_for_memory = 0;  // commands that on_answers_blocked() was called for
  std::uint64_t dropped_values = 0;    // values replaced by errors because their clients do not read
  std::uint64_t reads_paused = 0;      // for lack of room for the rest of a command
  std::uint64_t refused_stalled = 0;   // incomplete commands refused because their clients sent nothing more
  std::uint64_t refused_waiting = 0;   // incomplete commands refused because they found no room in time
  std::uint64_t refused_queued = 0;    // commands refused because too many waited before them
  std::array<std::uint64_t, permits::kCloseReasons.size()> closed = {};  // by CloseReason
  // Violations, which must remain 0: connections closed with an unanswered request while the client was still
  // connected, and answers to a request that already had one.
  std::uint64_t closed_unanswered = 0;
  std::uint64_t duplicate_answers = 0;
};

// What all sessions hold, lingering ones included.
struct SessionTotals {
  std::size_t partial_commands = 0;  // sessions that hold an incomplete command
  std::size_t pending_output = 0;    // bytes of answers that the sockets have not accepted
};

// Accepts client connections and owns their sessions. Runs on one thread.
class ClientSessions {
 public:
  // Listens at `endpoint` and serves at most `max_connections` at a time.
  ClientSessions(asio::io_context& io, const asio::ip::tcp::endpoint& endpoint, std::size_t max_connections,
                 memory::Budget& budget, CommandHandler& handler);
  ~ClientSessions();

  std::uint16_t port() const { return listener_.port(); }
  // Sends a complete RESP reply once all earlier commands of the connection are answered. Does nothing if
  // the client has disconnected.
  void answer(const CommandId& id, std::string_view bytes);
  // Makes room for an answer of `bytes` bytes to this command. While the budget has no room for answers,
  // values for clients that do not read are replaced by errors, then incomplete commands of clients that
  // stall are refused, then the unanswered command is ended that blocks the most bytes. Returns false if the
  // answer still can't be kept; a short one always can. Not to be called within a call of CommandHandler.
  bool make_room(const CommandId& id, std::size_t bytes);
  // Whether the client has closed or half-closed its connection, according to its socket at this moment.
  bool has_client_closed(const CommandId& id) const;
  // Sets the last time at which all ready events had been handled. Input that is read long after it is taken
  // to have arrived then.
  void set_caught_up_at(Micros at) { caught_up_at_ = at; }
  // Answers with an error line; the connection stays open.
  void answer_error(const CommandId& id, std::string_view why);

  // Handles what earlier handlers deferred: half-closed clients, commands that waited for their session to
  // fall below its limits or for room, and connections that waited for a session.
  void run_deferred();
  void flush();                    // sends the output of all sessions that have some
  void close_overdue(Micros now);  // closes sessions and connections whose time limits have passed
  void stop_listening() { listener_.accept_pending_and_close(); }
  void close_idle();  // closes sessions that are between commands
  void close_all();   // answers queued commands with -BUSY and closes all sessions
  std::size_t size() const { return active_.size(); }
  bool is_closed() const { return active_.size() == 0 && lingering_.empty(); }
  const Counts& counts() const { return counts_; }
  SessionTotals totals() const;

 private:
  class Session;
  void on_accept(asio::ip::tcp::socket socket);
  void open_session(asio::ip::tcp::socket socket, Micros unread_since);
  Micros arrival_time() const;
  bool make_session_free();
  bool evict_idle_session(Micros min_idle_time);
  bool evict_partial_command();
  Session* longest_waiting_for_room();
  Session* longest_stalled(Micros now);
  bool refuse_stalled_command(Micros now);
  bool make_input_room(Session& session);
  void serve_room_waiters();
  void serve_whole_commands();
  void refuse_hiding_commands();
  void close_session(int index, CloseReason reason);
  Session* find(const CommandId& id) const;
  template <class BytesOf>
  std::shared_ptr<Session> largest_session(BytesOf bytes_of) const;
  bool drop_unread_values();
  bool end_blocking_command(const CommandId& id);

  asio::io_context& io_;
  const std::size_t max_connections_;
  memory::Budget& budget_;  // outlives all sessions
  CommandHandler& handler_;
  Slab<std::shared_ptr<Session>> sessions_;
  IndexSet active_;
  // Sessions, named by any of their command ids.
  std::vector<CommandId> unflushed_;
  std::vector<CommandId> flushing_;
  std::vector<CommandId> resumable_;
  std::vector<CommandId> resuming_;
  std::deque<CommandId> room_waiters_;      // in the order in which they began to wait
  std::vector<CommandId> new_half_closed_;  // reported by the run_deferred() after the next
  std::vector<CommandId> due_half_closed_;  // reported by the next run_deferred()
  std::deque<std::pair<Micros, std::shared_ptr<Session>>> lingering_;  // with the time limit of each
  // An accepted connection that waits for a session.
  struct WaitingConnection {
    Micros unread_since;
    Micros expires_at;
    asio::ip::tcp::socket socket;
  };
  std::deque<WaitingConnection> waiting_connections_;
  std::uint64_t last_connection_id_ = 0;
  Micros caught_up_at_ = 0;
  Micros whole_commands_served_at_ = 0;
  Counts counts_;
  net::Listener listener_;
};

}  // namespace yewmount::client_sessions
