// Sends submits to storage nodes over RESP2. Each submit ends exactly once, with a result derived from the
// node's reply and from whether the last byte of the command was sent; a submit in doubt counts as one that
// may have run. The choice of the node, the time and the timeout is the caller's.
//
// A connection carries one submit at a time. Replies carry no id and come in the order of the commands, and a
// node may drop a command without a reply: with two submits out, the reply to one could be taken for that to
// the other. At the limit on connections, submits wait for one.
#pragma once
#include <array>
#include <asio.hpp>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "memory/budget.h"
#include "net/stream.h"
#include "node_connections/connection_reuse.h"
#include "resp/resp.h"
#include "rules/containers.h"
#include "rules/rules.h"

namespace yewmount::node_connections {

// Limits and timeouts; times are in microseconds.
struct Options {
  std::size_t max_connections = 1;  // to all nodes together
  Micros connect_timeout = 0;  // also the longest pause within a reply, and the longest wait at the limit
  Micros idle_timeout = 0;     // after which nodes close an idle connection
  std::size_t max_value_bytes = 0;
};

// A RESP command for a node without the client's remaining time, which is inserted as the command is sent.
// All submits of a request share it.
struct Command {
  std::string prefix;                // encoded words before the list of fields
  std::string fields;                // the list of names and values, not encoded yet
  std::string suffix;                // encoded words after the list of fields
  std::size_t time_left_offset = 0;  // position in `fields` of the remaining time, in milliseconds
  memory::Charge charge;             // for its memory, held until the last submit has been sent
};
using CommandPtr = std::shared_ptr<const Command>;

// The result of a submit.
struct EndedSubmit {
  std::uint64_t id;
  int submit;  // its number within the block I/O
  int node;
  Result result;
  Micros lag;       // to the result, from when the submit got a connection
  int volume_use;   // use of the volume over all heads, 1 + percent of its nominal rate; 0: not reported
  int from_others;  // units that other heads sent for the volume since the last reply
  LoadReport report;
  std::string_view value;  // valid only during the call of on_submit_ended()
};

// Receives the results of submits.
class SubmitHandler {
 public:
  virtual ~SubmitHandler() = default;
  // Called right before the first byte of a submit is sent; a denied submit ends as Result::not_sent.
  virtual DenialReason may_begin(std::uint64_t id, int submit) = 0;
  virtual void on_submit_ended(const EndedSubmit& ended) = 0;
};

// Why a connection to a node was closed.
enum class CloseReason : std::uint8_t {
  idle,             // idle for most of the idle timeout of the node
  too_old,          // idle for so long that such connections have been reset
  unread,           // has unexpected input or an end of stream before reuse
  stray,            // received bytes that belong to no command
  spoilt,           // received a malformed or incomplete reply
  broken,           // reset or closed by the node
  not_up,           // refused or timed out while connecting
  given_up,         // its submit was abandoned
  quiet_neighbour,  // another connection to the node timed out
  retired,          // the node is draining, is gone, has moved or has restarted
  room              // evicted at the limit on connections
};
// The names of CloseReason, by value.
inline constexpr std::array<std::string_view, 11> kCloseReasonNames = {
    "idle",   "too_old",  "unread",          "stray",   "spoilt", "broken",
    "not_up", "given_up", "quiet_neighbour", "retired", "room"};

struct Counts {
  std::uint64_t opened = 0;
  std::uint64_t connections_lost = 0;       // with a submit outstanding
  std::uint64_t malformed_replies = 0;      // includes incomplete replies
  std::uint64_t unexpected_replies = 0;     // without a command that was fully sent
  std::uint64_t waited_for_connection = 0;  // submits that met the limit on connections
  std::uint64_t no_connection_free = 0;     // of these, given up because no connection became free in time
  std::array<std::uint64_t, kCloseReasonNames.size()> closed = {};  // by CloseReason
  std::uint64_t reads_paused = 0;  // for lack of room for the rest of a reply
  std::array<std::uint64_t, kDenialReasonNames.size()> denied = {};  // by DenialReason
};

// The connection pool to all nodes. Nodes are identified by small indices that the caller assigns.
class NodeConnections {
 public:
  // The buffers of all connections are charged to `budget`. Where it has no room for the rest of a reply, the
  // connection waits until there is some; its submit may time out meanwhile.
  NodeConnections(asio::io_context& io, Options options, memory::Budget& budget, SubmitHandler& handler);
  ~NodeConnections();

  // Sets or updates a node's name, address and start time. Closes connections to an earlier address once they
  // have no submit, and established connections to an earlier start at once.
  void set_node(int node, const std::string& name, const asio::ip::tcp::endpoint& endpoint,
                Micros start_time);
  // Withdraws the unsent submits to a node that is draining or gone, and closes its connections once they
  // have no submit.
  void drain_node(int node);
  bool has_submits(int node) const;  // whether submits to the node are outstanding
  // Closes the connections to a node without outstanding submits; its index may then be assigned anew.
  void remove_node(int node);

  // Starts a submit that times out after `timeout`. At the limit on connections it waits for one, for the
  // connect timeout at most, and then ends as Result::not_sent. Never calls the handler: the result of a
  // submit that fails at once is reported by the next deliver_results().
  void submit(std::uint64_t id, int submit, int node, CommandPtr command, Micros now, Micros timeout);
  // Abandons a submit; its result is reported by the next deliver_results().
  void cancel(std::uint64_t id, int submit);
  // Withdraws the unsent submits of a block I/O and returns their number. They are reported as
  // Result::not_sent by the next deliver_results().
  int withdraw_unsent(std::uint64_t id);
  // Reports pending results and handles timeouts.
  void deliver_results(Micros now);
  // Sends the submits started since the last call.
  void flush();
  std::size_t connection_count() const { return open_connections_.size(); }
  const Counts& counts() const { return counts_; }
  // Memory in bytes that an outstanding submit holds here, besides its command.
  static constexpr std::size_t submit_bytes() { return sizeof(OutstandingSubmit); }

 private:
  struct Connection;
  class ConnectionStream;
  struct OutstandingSubmit {
    std::uint64_t id = 0;
    int submit = 0;
    int node = -1;
    int connection = -1;  // -1: none yet, or none any more
    std::uint64_t begin = 0;
    std::uint64_t end = 0;  // its bytes are [begin, end) of those appended to its stream; 0: not appended yet
    Micros started_at = 0;
    Micros deadline = 0;
    Micros wait_until = 0;       // for a connection
    Micros connection_idle = 0;  // idle time before this submit; -1: new connection
    CommandPtr command;          // until it is appended to the stream
  };
  struct Connection {
    int node = -1;
    bool reading = false;                           // while received bytes are being handled
    bool retired = false;                           // to be closed once its submit has ended
    std::shared_ptr<asio::ip::tcp::socket> socket;  // while connecting
    std::shared_ptr<ConnectionStream> stream;       // once connected
    int submit = -1;                                // outstanding; -1: none
    Micros opened_at = 0;
    Micros last_reply_at = 0;
    Micros reconnect_at = 0;      // next attempt after a local error prevented the connect
    Micros partial_reply_at = 0;  // when the latest part of an incomplete reply arrived; 0: none pending
  };
  struct Node {
    std::string name;
    asio::ip::tcp::endpoint endpoint;
    Micros start_time = 0;
    bool known = false;
    std::vector<int> connections;
  };
  // A result to be reported by the next deliver_results().
  struct PendingResult {
    int index;  // of the submit
    std::uint64_t id;
    int submit;
    Result result;
  };

  int connection_for(int node, Micros now);
  bool is_idle(const Connection& connection) const;
  int latest_idle_connection(int node, Micros now) const;
  bool has_resting_connection(int node, Micros now) const;
  bool evict_idle_connection();
  void assign_connections(Micros now);
  void end_overdue_waits(Micros now);
  void connect(int connection_index);
  void write_command(int connection_index);
  void on_read(int connection_index, std::string_view bytes);
  void keep_partial_reply(int connection_index, std::size_t reply_bytes);
  bool reserve_reply(ConnectionStream& stream);
  void resume_reading();
  void on_reply(int connection_index, const resp::Reply& reply);
  void on_malformed_reply(int connection_index, const char* why);
  bool is_fully_sent(const Connection& connection, const OutstandingSubmit& submit) const;
  void fail_connection(int connection_index, CloseReason reason, const char* why);
  void close_connection(int connection_index, CloseReason reason);
  void deny(int submit_index, DenialReason denial);
  void close_idle_connections(int node, Micros idle_since);
  void end_submit(int submit_index, Result result, Micros now, const resp::Reply* reply = nullptr);
  void abandon(int submit_index, Result result, Micros now);
  bool try_withdraw(int submit_index);
  void detach(int submit_index, Result result);
  void parse_report(std::string_view text, EndedSubmit& ended) const;

  asio::io_context& io_;
  const Options options_;
  SubmitHandler& handler_;
  std::vector<Node> nodes_;
  Slab<Connection> connections_;
  IndexSet open_connections_;  // includes those that are connecting
  Slab<OutstandingSubmit> submits_;
  IndexSet outstanding_;  // the submits that have not been reported
  std::vector<PendingResult> pending_results_;
  std::vector<PendingResult> delivering_results_;
  std::vector<int> connection_waiters_;  // submits without a connection, in their order
  std::vector<int> unflushed_connections_;
  std::vector<int> scratch_;
  Micros last_timeout_check_ = 0;
  memory::Budget& budget_;
  std::deque<std::weak_ptr<ConnectionStream>> room_waiters_;  // paused until there is room for their reply
  Counts counts_;
  ConnectionReuse reuse_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false once destroyed
};

}  // namespace yewmount::node_connections
