#include "node_connections/node_connections.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

#include "base/base.h"
#include "memory/byte_buffer.h"
#include "net/socket_errors.h"
#include "provision/provision.h"

namespace yewmount::node_connections {
namespace {

// Pause after a reply before its connection is reused. Excess bytes, such as a duplicate of the reply, arrive
// within this time and are then not taken for the reply to the next submit.
constexpr Micros kReuseDelayUs = 10'000;
constexpr Micros kTimeoutCheckIntervalUs = 1'000;
// Share of the idle timeout of nodes after which this side closes an idle connection: a submit that is sent
// while the node closes the connection may have run.
constexpr double kIdleTimeoutShare = 0.6;
constexpr double kMaxReportValue = 1e9;
constexpr Micros kReconnectDelayUs = 10'000;  // after this machine had no socket, port or route
// What a connection may always keep of an incomplete reply, however short memory is.
constexpr std::size_t kMinPartialReplyBytes = 1 << 10;

// Encodes a command's list of fields with the remaining time.
std::string fields_with_time_left(const Command& command, Micros time_left_ms) {
  std::string fields = command.fields;
  fields.insert(command.time_left_offset, std::to_string(time_left_ms));
  std::string encoded;
  resp::append_bulk_string(encoded, fields);
  return encoded;
}

}  // namespace

class NodeConnections::ConnectionStream : public net::Stream {
 public:
  ConnectionStream(asio::ip::tcp::socket socket, NodeConnections& owner, int connection_index)
      : Stream(std::move(socket), memory::Charge(owner.budget_, memory::Use::node_output)),
        partial_reply(owner.budget_, memory::Use::node_input),
        owner_(owner),
        connection_index_(connection_index) {}
  memory::ByteBuffer partial_reply;
  std::size_t reply_bytes = 0;       // length of the incomplete reply as far as it is known
  bool is_waiting_for_room = false;  // reading is paused
  int connection_index() const { return connection_index_; }

 private:
  // No more is read than can be kept.
  std::span<char> read_buffer() override {
    const std::size_t kept = partial_reply.size();
    const std::size_t unconditional = kept < kMinPartialReplyBytes ? kMinPartialReplyBytes - kept : 0;
    const std::size_t room = partial_reply.spare() + owner_.budget_.room(memory::Use::node_input);
    const auto buffer = net::shared_read_buffer();
    return buffer.first(
        std::clamp<std::size_t>(room, std::max<std::size_t>(unconditional, 1), buffer.size()));
  }
  void on_read(std::size_t bytes) override {
    owner_.on_read(connection_index_, {net::shared_read_buffer().data(), bytes});
  }
  void on_error(const std::error_code& error) override {
    owner_.fail_connection(connection_index_, CloseReason::broken, error.message().c_str());
  }
  NodeConnections& owner_;
  const int connection_index_;
};

NodeConnections::NodeConnections(asio::io_context& io, Options options, memory::Budget& budget,
                                 SubmitHandler& handler)
    : io_(io), options_(std::move(options)), handler_(handler), budget_(budget) {}

NodeConnections::~NodeConnections() {
  *alive_ = false;
  for (int c : open_connections_)
    if (connections_[c].stream) connections_[c].stream->close();
}

void NodeConnections::set_node(int node, const std::string& name, const asio::ip::tcp::endpoint& endpoint,
                               Micros start_time) {
  if (node >= static_cast<int>(nodes_.size())) nodes_.resize(node + 1);
  Node& entry = nodes_[node];
  const bool restarted = entry.known && entry.start_time != start_time;
  const bool moved = entry.known && entry.endpoint != endpoint;
  entry.name = name;
  entry.endpoint = endpoint;
  entry.start_time = start_time;
  entry.known = true;
  if (!restarted && !moved) return;
  // A restart loses the outstanding submits; after a move they may still be answered at the former address.
  for (const int c : std::vector<int>(entry.connections)) {
    if (restarted && connections_[c].stream)
      fail_connection(c, CloseReason::retired, "the node has restarted");
    else if (connections_[c].submit < 0)
      close_connection(c, CloseReason::retired);
    else
      connections_[c].retired = true;
  }
}

bool NodeConnections::has_submits(int node) const {
  for (int s : outstanding_)
    if (submits_[s].node == node) return true;
  return false;
}

void NodeConnections::remove_node(int node) {
  if (node >= static_cast<int>(nodes_.size())) return;
  for (const int c : std::vector<int>(nodes_[node].connections)) close_connection(c, CloseReason::retired);
  nodes_[node] = Node{};
}

// Returns the most recently used idle connection that may be reused, else a new one; -1: the submit has to
// wait, because the limit on connections is reached and none is idle, or one to the node soon may be reused.
int NodeConnections::connection_for(int node, Micros now) {
  while (true) {
    const int best = latest_idle_connection(node, now);
    if (best < 0) break;
    const bool too_old = !reuse_.may_reuse(now - connections_[best].last_reply_at, now);
    if (!too_old && !connections_[best].stream->has_unread_input()) return best;
    close_connection(best, too_old ? CloseReason::too_old : CloseReason::unread);
  }
  const bool at_limit = open_connections_.size() >= options_.max_connections;
  if (at_limit && (has_resting_connection(node, now) || !evict_idle_connection())) return -1;
  const int index = connections_.allocate();
  open_connections_.insert(index);
  connections_[index].node = node;
  connections_[index].opened_at = connections_[index].last_reply_at = now;
  nodes_[node].connections.push_back(index);
  connect(index);
  return index;
}

// Whether a connection is up and carries no submit.
bool NodeConnections::is_idle(const Connection& connection) const {
  return connection.stream && !connection.retired && !connection.reading && connection.submit < 0;
}

// Returns the idle connection to a node that had the latest reply, of those that have rested since; -1: none.
int NodeConnections::latest_idle_connection(int node, Micros now) const {
  int latest = -1;
  for (int c : nodes_[node].connections) {
    const Connection& connection = connections_[c];
    if (!is_idle(connection) || now - connection.last_reply_at < kReuseDelayUs) continue;
    if (latest < 0 || connection.last_reply_at > connections_[latest].last_reply_at) latest = c;
  }
  return latest;
}

// Whether a connection to a node is idle but still rests after its latest reply.
bool NodeConnections::has_resting_connection(int node, Micros now) const {
  return std::ranges::any_of(nodes_[node].connections, [&](int c) {
    return is_idle(connections_[c]) && now - connections_[c].last_reply_at < kReuseDelayUs;
  });
}

// Closes the connection that has been idle the longest, to any node. Returns false if none is idle.
bool NodeConnections::evict_idle_connection() {
  int oldest = -1;
  for (int c : open_connections_) {
    const Connection& connection = connections_[c];
    if (connection.reading || connection.submit >= 0) continue;
    if (oldest < 0 || connection.last_reply_at < connections_[oldest].last_reply_at) oldest = c;
  }
  if (oldest < 0) return false;
  close_connection(oldest, CloseReason::room);
  return true;
}

void NodeConnections::connect(int connection_index) {
  ++counts_.opened;
  connections_[connection_index].reconnect_at = 0;
  auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
  connections_[connection_index].socket = socket;
  socket->async_connect(
      nodes_[connections_[connection_index].node].endpoint,
      [this, connection_index, socket, alive = alive_](std::error_code error) {
        if (!*alive || connections_[connection_index].socket != socket) return;
        Connection& connection = connections_[connection_index];
        if (error && net::retry_after_connect(error) == net::Retry::after_delay) {
          connection.socket.reset();
          connection.reconnect_at = monotonic_now() + kReconnectDelayUs;
          return;
        }
        if (error) return fail_connection(connection_index, CloseReason::not_up, error.message().c_str());
        connection.socket.reset();
        connection.stream = std::make_shared<ConnectionStream>(std::move(*socket), *this, connection_index);
        connection.stream->start();
        write_command(connection_index);
      });
}

// Sends the command of a connection's submit as soon as the connection is up: only then is the remaining time
// in the command right, and until then the submit can still be withdrawn.
void NodeConnections::write_command(int connection_index) {
  const std::shared_ptr<ConnectionStream> stream = connections_[connection_index].stream;
  const int submit_index = connections_[connection_index].submit;
  if (!stream || submit_index < 0) return;
  OutstandingSubmit& submit = submits_[submit_index];
  if (submit.end > 0) return;  // it has been appended before
  if (const DenialReason denial = handler_.may_begin(submit.id, submit.submit); denial != DenialReason::none)
    return deny(submit_index, denial);
  const Micros time_left_ms = std::max<Micros>(1, (submit.deadline - monotonic_now()) / 1000);
  submit.begin = stream->bytes_appended();
  stream->append_output(submit.command->prefix);
  stream->append_output(fields_with_time_left(*submit.command, time_left_ms));
  stream->append_output(submit.command->suffix);
  submit.end = stream->bytes_appended();
  submit.command.reset();
  stream->flush();
}

// Ends a submit that the handler denied right before its first byte was sent.
void NodeConnections::deny(int submit_index, DenialReason denial) {
  const OutstandingSubmit& submit = submits_[submit_index];
  ++counts_.denied[static_cast<std::size_t>(denial)];
  if (logs::is_debug_enabled())
    logs::debug("withheld", {{"id", submit.id},
                             {"no", submit.submit},
                             {"node", nodes_[submit.node].name},
                             {"why", kDenialReasonNames[static_cast<std::size_t>(denial)]}});
  const int connection = submit.connection;
  connections_[connection].submit = -1;
  detach(submit_index, Result::not_sent);
  if (connections_[connection].retired) close_connection(connection, CloseReason::retired);
}

void NodeConnections::submit(std::uint64_t id, int submit, int node, CommandPtr command, Micros now,
                             Micros timeout) {
  const int index = submits_.allocate_uncleared();
  outstanding_.insert(index);
  OutstandingSubmit& outstanding = submits_[index];
  outstanding.id = id;
  outstanding.submit = submit;
  outstanding.node = node;
  outstanding.connection = -1;
  outstanding.begin = outstanding.end = 0;
  outstanding.started_at = now;
  outstanding.deadline = now + timeout;
  outstanding.wait_until = now + options_.connect_timeout;
  const bool known = node >= 0 && node < static_cast<int>(nodes_.size()) && nodes_[node].known;
  if (!known) return detach(index, Result::no_connection);
  outstanding.command = std::move(command);
  connection_waiters_.push_back(index);
  const bool is_first = connection_waiters_.size() == 1;
  if (is_first) assign_connections(now);
  if (!connection_waiters_.empty()) ++counts_.waited_for_connection;
}

// Gives connections to the submits that wait for one, in their order. A submit whose node has none to spare
// does not hold up those for other nodes.
void NodeConnections::assign_connections(Micros now) {
  std::erase_if(connection_waiters_, [&](int submit_index) {
    const int connection_index = connection_for(submits_[submit_index].node, now);
    if (connection_index < 0) return false;
    OutstandingSubmit& submit = submits_[submit_index];
    Connection& connection = connections_[connection_index];
    submit.connection = connection_index;
    submit.connection_idle = connection.stream ? now - connection.last_reply_at : -1;
    submit.started_at = now;
    connection.submit = submit_index;
    if (connection.stream) unflushed_connections_.push_back(connection_index);
    return true;
  });
}

void NodeConnections::cancel(std::uint64_t id, int submit) {
  for (int s : outstanding_)
    if (submits_[s].id == id && submits_[s].submit == submit)
      pending_results_.push_back({s, id, submit, Result::called_off});
}

int NodeConnections::withdraw_unsent(std::uint64_t id) {
  int count = 0;
  for (int s : outstanding_) {
    if (submits_[s].id != id || !try_withdraw(s)) continue;
    detach(s, Result::not_sent);
    ++count;
  }
  return count;
}

void NodeConnections::flush() {
  assign_connections(monotonic_now());
  for (int c : unflushed_connections_) write_command(c);
  unflushed_connections_.clear();
}

// Separates a submit from its connection and queues its result for the next deliver_results().
void NodeConnections::detach(int submit_index, Result result) {
  OutstandingSubmit& submit = submits_[submit_index];
  submit.connection = -1;
  submit.deadline = INT64_MAX;
  submit.command.reset();
  pending_results_.push_back({submit_index, submit.id, submit.submit, result});
}

// Releases a submit and reports its result, with the values and the load report of its reply if there is one.
void NodeConnections::end_submit(int submit_index, Result result, Micros now, const resp::Reply* reply) {
  const OutstandingSubmit& submit = submits_[submit_index];
  const bool broke = result == Result::lost;
  if (broke || reply) {
    if (submit.connection_idle >= 0) reuse_.record_reused(submit.connection_idle, broke, now);
    if (submit.connection_idle == -1) reuse_.record_new(broke, now);
  }
  EndedSubmit ended{.id = submit.id,
                    .submit = submit.submit,
                    .node = submit.node,
                    .result = result,
                    .lag = now - submit.started_at,
                    .volume_use = 0,
                    .from_others = 0,
                    .report = {},
                    .value = {}};
  outstanding_.erase(submit_index);
  submits_[submit_index].id = 0;  // invalidates pending results of this submit
  submits_[submit_index].command.reset();
  submits_.release(submit_index);
  if (reply && reply->kind == resp::Reply::Kind::array) {
    ended.value = reply->values[0];
    for (int i = 1; i < reply->count; ++i) parse_report(reply->values[i], ended);
  } else if (reply) {
    std::string_view rest = reply->text;
    for (std::size_t space; (space = rest.find(' ')) != std::string_view::npos;) {
      rest.remove_prefix(space + 1);
      parse_report(rest.substr(0, rest.find(' ')), ended);
    }
  }
  handler_.on_submit_ended(ended);
}

// Parses names and values such as used=37,cost=4; ignores malformed and out-of-range ones.
void NodeConnections::parse_report(std::string_view text, EndedSubmit& ended) const {
  while (!text.empty()) {
    const std::size_t comma = std::min(text.find(','), text.size());
    const std::string_view pair = text.substr(0, comma);
    text.remove_prefix(std::min(comma + 1, text.size()));
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) continue;
    double value = 0;
    const auto [stop, error] = std::from_chars(pair.data() + equals + 1, pair.data() + pair.size(), value);
    if (error != std::errc() || stop != pair.data() + pair.size()) continue;
    if (!(value >= 0 && value <= kMaxReportValue)) continue;
    const std::string_view name = pair.substr(0, equals);
    if (name == "used")
      ended.volume_use = static_cast<int>(value) + 1;  // 0 means that none was reported
    else if (name == "cost")
      ended.from_others = static_cast<int>(value);
    else
      provision::set_load_value(ended.report, name, value);
  }
}

void NodeConnections::on_read(int connection_index, std::string_view bytes) {
  const std::shared_ptr<ConnectionStream> stream = connections_[connection_index].stream;
  memory::ByteBuffer& partial = stream->partial_reply;
  const bool continued = !partial.empty();
  if (continued) partial.append(bytes);
  std::string_view unparsed = continued ? partial.view() : bytes;
  connections_[connection_index].reading = true;
  resp::Reply reply;
  while (!unparsed.empty()) {
    if (connections_[connection_index].submit < 0) {
      ++counts_.unexpected_replies;
      return close_connection(connection_index, CloseReason::stray);
    }
    const resp::ParseStatus status = resp::parse(unparsed, reply, options_.max_value_bytes);
    if (status == resp::ParseStatus::partial) break;
    if (status == resp::ParseStatus::malformed) return on_malformed_reply(connection_index, reply.why);
    unparsed.remove_prefix(reply.bytes);
    connections_[connection_index].partial_reply_at = 0;
    on_reply(connection_index, reply);
    if (!stream->open()) return;
  }
  Connection& connection = connections_[connection_index];
  connection.reading = false;
  if (continued)
    partial.consume(partial.size() - unparsed.size());
  else
    partial.append(unparsed);
  if (!partial.empty()) return keep_partial_reply(connection_index, reply.bytes);
  if (connection.submit < 0 && connection.retired) close_connection(connection_index, CloseReason::retired);
}

// Makes sure that the rest of an incomplete reply can be kept. `reply_bytes` is its least length.
void NodeConnections::keep_partial_reply(int connection_index, std::size_t reply_bytes) {
  Connection& connection = connections_[connection_index];
  connection.partial_reply_at = monotonic_now();
  ConnectionStream& stream = *connection.stream;
  stream.reply_bytes = std::max(reply_bytes, stream.partial_reply.size() + 1);
  if (reserve_reply(stream)) return;
  ++counts_.reads_paused;
  stream.is_waiting_for_room = true;
  stream.pause_reading(true);
  room_waiters_.push_back(connection.stream);
}

// Reserves memory for the whole reply, so that a connection that reads on can finish; returns false if there
// is no room.
bool NodeConnections::reserve_reply(ConnectionStream& stream) {
  memory::ByteBuffer& partial = stream.partial_reply;
  if (stream.reply_bytes <= partial.capacity() || stream.reply_bytes <= kMinPartialReplyBytes) return true;
  if (stream.reply_bytes - partial.capacity() > budget_.room(memory::Use::node_input)) return false;
  partial.reserve(stream.reply_bytes);
  return true;
}

// Lets the connections that wait for room read on, the one that waits longest first.
void NodeConnections::resume_reading() {
  while (!room_waiters_.empty()) {
    const std::shared_ptr<ConnectionStream> stream = room_waiters_.front().lock();
    if (stream && stream->open()) {
      if (!reserve_reply(*stream)) return;
      stream->is_waiting_for_room = false;
      connections_[stream->connection_index()].partial_reply_at = monotonic_now();
      stream->pause_reading(false);
    }
    room_waiters_.pop_front();
  }
}

// Handles the reply to the submit of a connection.
void NodeConnections::on_reply(int connection_index, const resp::Reply& reply) {
  using Kind = resp::Reply::Kind;
  const bool has_value = reply.kind == Kind::array && reply.count == 3 && reply.values[0].data();
  if (!has_value && reply.kind != Kind::error)
    return on_malformed_reply(connection_index, "reply is neither a value nor an error");
  const Micros now = monotonic_now();
  Connection& connection = connections_[connection_index];
  const int submit_index = connection.submit;
  // A node runs a command only after its last byte has arrived: before that, only a refusal can be a reply to
  // it.
  const bool refused = !has_value && reply.text.starts_with("BUSY");
  if (!refused && !is_fully_sent(connection, submits_[submit_index])) {
    ++counts_.unexpected_replies;
    return fail_connection(connection_index, CloseReason::stray,
                           "reply arrived before its command was fully sent");
  }
  connection.submit = -1;
  connection.last_reply_at = now;
  const Result result = has_value ? Result::ended : refused ? Result::turned_away : Result::error;
  if (reply.text.starts_with("SYNTAX"))
    logs::error("a node can't read our command", {{"node", nodes_[connection.node].name}});
  end_submit(submit_index, result, now, &reply);
}

// Closes a connection whose current reply is unusable. Its submit ends as an error, as it may have run.
void NodeConnections::on_malformed_reply(int connection_index, const char* why) {
  ++counts_.malformed_replies;
  Connection& connection = connections_[connection_index];
  logs::debug("malformed reply", {{"node", nodes_[connection.node].name}, {"why", why}});
  if (const int submit_index = std::exchange(connection.submit, -1); submit_index >= 0)
    detach(submit_index, Result::error);
  fail_connection(connection_index, CloseReason::spoilt, why);
}

// Whether the socket has accepted the whole command.
bool NodeConnections::is_fully_sent(const Connection& connection, const OutstandingSubmit& submit) const {
  return connection.stream && submit.end > 0 && submit.end <= connection.stream->bytes_written();
}

// Closes a connection and ends its submit.
void NodeConnections::fail_connection(int connection_index, CloseReason reason, const char* why) {
  Connection& connection = connections_[connection_index];
  if (connection.submit >= 0) {
    ++counts_.connections_lost;
    logs::debug("connection gone", {{"node", nodes_[connection.node].name}, {"why", why}});
    // A command that the socket has not accepted in full can't have reached the node in full, so it has not
    // run. If a local error prevented the connect, the node must not be blamed for it.
    const Result unsent_result = connection.reconnect_at > 0 ? Result::not_sent : Result::no_connection;
    detach(connection.submit,
           is_fully_sent(connection, submits_[connection.submit]) ? Result::lost : unsent_result);
  }
  close_connection(connection_index, reason);
}

// Closes a connection and releases its slot; does not end its submit.
void NodeConnections::close_connection(int connection_index, CloseReason reason) {
  Connection& connection = connections_[connection_index];
  ++counts_.closed[static_cast<std::size_t>(reason)];
  if (logs::is_debug_enabled())
    logs::debug("node connection closed", {{"node", nodes_[connection.node].name},
                                           {"why", kCloseReasonNames[static_cast<std::size_t>(reason)]}});
  if (connection.stream) {
    connection.stream->close();
  }
  if (connection.socket) {
    std::error_code ignored;
    connection.socket->close(ignored);
  }
  std::erase(nodes_[connection.node].connections, connection_index);
  open_connections_.erase(connection_index);
  connection = Connection{};
  connections_.release(connection_index);
}

// Closes the connections to a node that have been idle since `idle_since`. Called after a timeout: if the
// peer has vanished without closing, other connections that have been idle meanwhile may be dead too. The
// cost is a new connection where the node was merely slow.
void NodeConnections::close_idle_connections(int node, Micros idle_since) {
  for (const int c : std::vector<int>(nodes_[node].connections))
    if (connections_[c].submit < 0 && connections_[c].last_reply_at < idle_since)
      close_connection(c, CloseReason::quiet_neighbour);
}

// Removes a submit from its connection, or from those that wait for one, if none of its bytes have been sent;
// returns whether it did.
bool NodeConnections::try_withdraw(int submit_index) {
  if (std::erase(connection_waiters_, submit_index) > 0) return true;
  const OutstandingSubmit& submit = submits_[submit_index];
  if (submit.connection < 0) return false;
  Connection& connection = connections_[submit.connection];
  if (submit.end > 0) {
    if (submit.begin < connection.stream->bytes_written()) return false;
    connection.stream->remove_pending(submit.begin, submit.end);
  }
  connection.submit = -1;
  return true;
}

// Ends a submit that was cancelled or has timed out. Closes its connection, as replies carry no id: the next
// one there might answer this submit, or a later one if the node has dropped this.
void NodeConnections::abandon(int submit_index, Result result, Micros now) {
  const OutstandingSubmit& submit = submits_[submit_index];
  const int connection_index = submit.connection;
  const int node = submit.node;
  if (try_withdraw(submit_index)) {
    const bool is_connecting = connection_index >= 0 && !connections_[connection_index].stream;
    result = is_connecting ? Result::no_connection : Result::not_sent;
  } else if (connection_index >= 0) {
    close_connection(connection_index, CloseReason::given_up);
    if (result == Result::no_answer) close_idle_connections(node, submit.started_at);
  }
  end_submit(submit_index, result, now);
}

void NodeConnections::drain_node(int node) {
  if (node >= static_cast<int>(nodes_.size())) return;
  scratch_.clear();
  for (int s : outstanding_)
    if (submits_[s].node == node) scratch_.push_back(s);
  for (int s : scratch_)
    if (try_withdraw(s)) detach(s, Result::not_sent);
  for (const int c : std::vector<int>(nodes_[node].connections)) {
    connections_[c].retired = true;
    if (connections_[c].submit < 0) close_connection(c, CloseReason::retired);
  }
}

void NodeConnections::deliver_results(Micros now) {
  delivering_results_.swap(pending_results_);
  for (const PendingResult& pending : delivering_results_) {
    const OutstandingSubmit& submit = submits_[pending.index];
    if (submit.id != pending.id || submit.submit != pending.submit) continue;
    if (pending.result == Result::called_off)
      abandon(pending.index, pending.result, now);
    else
      end_submit(pending.index, pending.result, now);
  }
  delivering_results_.clear();
  resume_reading();
  if (now - last_timeout_check_ < kTimeoutCheckIntervalUs) return;
  last_timeout_check_ = now;
  std::vector<int> due;
  due.swap(scratch_);
  due.clear();
  for (int s : outstanding_)
    if (submits_[s].deadline <= now) due.push_back(s);
  for (int s : due) abandon(s, Result::no_answer, now);
  end_overdue_waits(now);
  due.assign(open_connections_.begin(), open_connections_.end());
  for (int c : due) {
    const Connection& connection = connections_[c];
    if (connection.node < 0) continue;
    const bool idle = connection.submit < 0;
    if (!connection.stream && now - connection.opened_at > options_.connect_timeout)
      fail_connection(c, CloseReason::not_up, "connect timed out");
    else if (connection.reconnect_at > 0 && !connection.socket && now >= connection.reconnect_at)
      connect(c);
    else if (connection.partial_reply_at > 0 && !connection.stream->is_waiting_for_room &&
             now - connection.partial_reply_at > options_.connect_timeout)
      on_malformed_reply(c, "the rest of a reply did not arrive in time");
    else if (connection.stream && idle &&
             now - connection.last_reply_at > static_cast<Micros>(kIdleTimeoutShare * options_.idle_timeout))
      close_connection(c, CloseReason::idle);
  }
  due.swap(scratch_);
}

// Ends the submits that have waited for a connection as long as a connect may take.
void NodeConnections::end_overdue_waits(Micros now) {
  std::erase_if(connection_waiters_, [&](int submit_index) {
    if (now < submits_[submit_index].wait_until) return false;
    ++counts_.no_connection_free;
    detach(submit_index, Result::not_sent);
    return true;
  });
}

}  // namespace yewmount::node_connections
