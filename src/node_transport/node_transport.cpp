#include "node_transport/node_transport.h"

#include <algorithm>

#include "base/base.h"
#include "base/buffer.h"

namespace yewmount::node_transport {
namespace {

// Marks the keys of probes; block I/O ids stay below it when shifted left by kAttemptBits.
constexpr std::uint64_t kProbeKey = 1ULL << 63;
constexpr int kAttemptBits = 3;
constexpr Micros kMaintenanceIntervalUs = 100'000;
constexpr std::size_t kMaxStaleTimeouts = 1024;  // kept in the heap in addition to twice the active requests

std::uint64_t key_of(std::uint64_t id, int attempt) {
  return id << kAttemptBits | static_cast<unsigned>(attempt);
}

LoadReport load_report(const wire::Load& load) {
  return {load.outstanding, load.backlog, load.utilization, load.recent_latency};
}

}  // namespace

NodeTransport::NodeTransport(asio::io_context& io, TransportSettings settings, TransportObserver& observer)
    : io_(io), settings_(std::move(settings)), observer_(observer) {}

NodeTransport::~NodeTransport() {
  *alive_ = false;
  for (int index : open_connections_)
    if (connections_[index].link) connections_[index].link->close();
}

void NodeTransport::set_endpoint(int node_index, const NodeEndpoint& endpoint) {
  if (node_index >= static_cast<int>(nodes_.size())) nodes_.resize(node_index + 1);
  Node& node = nodes_[node_index];
  const bool has_changed =
      node.is_known && (node.endpoint.address != endpoint.address || node.endpoint.port != endpoint.port ||
                        node.endpoint.name != endpoint.name ||
                        (endpoint.incarnation && node.endpoint.incarnation != endpoint.incarnation));
  node.endpoint = endpoint;
  node.is_known = true;
  if (!has_changed) return;
  // Requests to the former incarnation end as lost or as never sent; nothing more is sent to it.
  for (const int connection : std::vector<int>(node.connections))
    on_connection_lost(connection, "the node's endpoint has changed");
}

bool NodeTransport::forget_node(int node) {
  if (node >= static_cast<int>(nodes_.size())) return true;
  for (int index : active_)
    if (requests_[index].node == node) return false;
  for (const int connection : std::vector<int>(nodes_[node].connections)) close_connection(connection);
  nodes_[node] = Node{};
  return true;
}

std::size_t NodeTransport::connections() const { return open_connections_.size(); }

// Returns the least used connection to the node, opening another if all are in use and the limit allows it;
// -1 if all are at their limit of requests in flight.
int NodeTransport::acquire_connection(int node_index, Micros now) {
  Node& node = nodes_[node_index];
  int best = -1;
  for (int index : node.connections)
    if (best < 0 || connections_[index].in_flight < connections_[best].in_flight) best = index;
  const bool is_full = best >= 0 && connections_[best].in_flight >= settings_.max_in_flight_per_connection;
  if (best >= 0 && (connections_[best].in_flight == 0 ||
                    static_cast<int>(node.connections.size()) >= settings_.max_connections_per_node))
    return is_full ? -1 : best;
  const int index = connections_.allocate();
  open_connections_.insert(index);
  connections_[index].node = node_index;
  connections_[index].opened_at = connections_[index].used_at = now;
  node.connections.push_back(index);
  connect(index);
  return index;
}

void NodeTransport::connect(int connection_index) {
  Connection& connection = connections_[connection_index];
  const Node& node = nodes_[connection.node];
  connection.socket = std::make_shared<asio::ip::tcp::socket>(io_);
  auto socket = connection.socket;
  socket->async_connect(
      {net::parse_loopback_address(node.endpoint.address), node.endpoint.port},
      [this, connection_index, socket, alive = alive_](std::error_code error) {
        if (!*alive || connections_[connection_index].socket != socket) return;
        Connection& connection = connections_[connection_index];
        if (error) return on_connection_lost(connection_index, error.message());
        connection.socket.reset();
        connection.link = std::make_shared<net::Link>(std::move(*socket), *this);
        connection.link->number = connection_index;
        wire::encode(connection.link->out(), wire::Hello{wire::Role::head, settings_.head_name, -1, 0});
        connection.link->start();
        connection.link->flush();
      });
}

// Sends a request's frame once the node's hello has confirmed its identity, so that a request for another
// node or protocol version certainly has not run.
void NodeTransport::send_queued(int request_index) {
  Request& request = requests_[request_index];
  Connection& connection = connections_[request.connection];
  if (!connection.has_hello) return;
  if (!request.is_probe && observer_.may_begin(request.id, request.attempt) != DenialReason::none) {
    deferred_.push_back({request.key, Result::not_sent});
    return;
  }
  request.begin = connection.link->bytes_appended();
  connection.link->out() += request.frame;
  request.end = connection.link->bytes_appended();
  request.is_sent = true;
  clear_buffer(request.frame);
  unflushed_.push_back(request.connection);
}

void NodeTransport::add_request(int node, Request&& given, Micros now) {
  const int index = requests_.allocate();
  active_.insert(index);
  requests_[index] = std::move(given);
  Request& request = requests_[index];
  request.node = node;
  request.started_at = now;
  index_.insert(request.key, index);
  // Rebuilds the heap from the active requests; entries of ended requests would otherwise accumulate at the
  // request rate until their deadlines, which may be hours away.
  if (timeouts_.size() > 2 * active_.size() + kMaxStaleTimeouts) {
    timeouts_.clear();
    for (int active : active_)
      if (requests_[active].deadline < INT64_MAX)
        timeouts_.push_back({requests_[active].deadline, requests_[active].key});
    std::make_heap(timeouts_.begin(), timeouts_.end());
  } else {
    timeouts_.push_back({request.deadline, request.key});
    std::push_heap(timeouts_.begin(), timeouts_.end());
  }
  const bool is_known = node >= 0 && node < static_cast<int>(nodes_.size()) && nodes_[node].is_known;
  request.connection = is_known ? acquire_connection(node, now) : -1;
  if (request.connection < 0) {
    deferred_.push_back({request.key, Result::no_connection});
    return;
  }
  ++connections_[request.connection].in_flight;
  connections_[request.connection].used_at = now;
}

void NodeTransport::submit(int node, const wire::Submit& submit, std::string_view data, Micros now,
                           Micros timeout) {
  Request given;
  given.id = submit.id;
  given.attempt = submit.attempt;
  given.key = key_of(submit.id, submit.attempt);
  given.deadline = now + timeout;
  add_request(node, std::move(given), now);
  const int index = find(key_of(submit.id, submit.attempt));
  Request& request = requests_[index];
  if (request.connection < 0) return;
  Connection& connection = connections_[request.connection];
  if (!connection.has_hello) {
    wire::encode(request.frame, submit, data);
    return;
  }
  request.begin = connection.link->bytes_appended();
  wire::encode(connection.link->out(), submit, data);
  request.end = connection.link->bytes_appended();
  request.is_sent = true;
  unflushed_.push_back(request.connection);
}

void NodeTransport::probe(int node, Micros now, Micros timeout) {
  Request given;
  given.is_probe = true;
  given.key = kProbeKey | ++last_probe_;
  given.deadline = now + timeout;
  const std::uint64_t key = given.key;
  add_request(node, std::move(given), now);
  Request& request = requests_[find(key)];
  if (request.connection < 0) return;
  wire::encode(request.frame, wire::Probe{key});
  send_queued(find(key));
}

void NodeTransport::cancel(std::uint64_t id, int attempt) {
  const int index = find(key_of(id, attempt));
  if (index < 0) return;
  Request& request = requests_[index];
  if (request.is_sent && request.connection >= 0) {
    wire::encode(connections_[request.connection].link->out(), wire::Cancel{id, attempt});
    unflushed_.push_back(request.connection);
  }
  deferred_.push_back({request.key, Result::called_off});
}

void NodeTransport::end_request(int request_index, Result result, Micros now, const wire::Answer* answer,
                                std::string_view data) {
  Request& request = requests_[request_index];
  if (request.connection >= 0) {
    --connections_[request.connection].in_flight;
    connections_[request.connection].used_at = now;
  }
  const Request ended{.is_probe = request.is_probe,
                      .is_sent = request.is_sent,
                      .key = request.key,
                      .id = request.id,
                      .attempt = request.attempt,
                      .node = request.node,
                      .connection = request.connection,
                      .begin = request.begin,
                      .end = request.end,
                      .started_at = request.started_at,
                      .deadline = request.deadline,
                      .frame = {}};
  index_.erase(request.key);
  active_.erase(request_index);
  requests_.release(request_index);
  if (ended.is_probe) {
    observer_.on_probe_ended(ended.node, result, now - ended.started_at,
                             answer ? load_report(answer->load) : LoadReport{});
    return;
  }
  SubmitResult submit_result{.id = ended.id,
                             .attempt = ended.attempt,
                             .node = ended.node,
                             .result = result,
                             .extent_not_found = answer && answer->outcome == wire::Outcome::not_found,
                             .latency = now - ended.started_at,
                             .volume_use = answer ? answer->volume_use : 0,
                             .from_others = answer ? answer->from_others : 0,
                             .load = answer ? load_report(answer->load) : LoadReport{},
                             .data = data,
                             .block_checksums = answer
                                                    ? std::span<const std::uint64_t>(answer->block_checksums)
                                                    : std::span<const std::uint64_t>{}};
  observer_.on_submit_ended(submit_result);
}

// Removes a frame from the link's output buffer. Returns false if the socket has accepted part of it.
bool NodeTransport::withdraw(int request_index) {
  const Request request = requests_[request_index];
  if (!request.is_sent || request.connection < 0) return false;
  Connection& connection = connections_[request.connection];
  if (!connection.link || !connection.link->open() || request.begin < connection.link->bytes_written())
    return false;
  const std::uint64_t size = request.end - request.begin;
  connection.link->remove_pending(request.begin, request.end);
  for (int index : active_)
    if (Request& other = requests_[index];
        other.connection == request.connection && other.is_sent && other.begin > request.begin) {
      other.begin -= size;
      other.end -= size;
    }
  return true;
}

// Without this, submits that wait for a full socket or for a connection to open could reach a draining node
// after its grace period.
void NodeTransport::withdraw_unsent(int node, Micros now) {
  std::vector<int> candidates;
  for (int index : active_)
    if (requests_[index].node == node && requests_[index].connection >= 0) candidates.push_back(index);
  // Last appended first, so that the positions of the earlier frames stay valid.
  std::sort(candidates.begin(), candidates.end(),
            [&](int left, int right) { return requests_[left].begin > requests_[right].begin; });
  for (int index : candidates)
    if (!requests_[index].is_sent || withdraw(index)) end_request(index, Result::not_sent, now);
}

void NodeTransport::deliver_results(Micros now) {
  delivering_.swap(deferred_);
  for (const DeferredResult& deferred : delivering_)
    if (const int index = find(deferred.key); index >= 0) end_request(index, deferred.result, now);
  delivering_.clear();
  while (!timeouts_.empty() && timeouts_.front().deadline <= now) {
    const std::uint64_t key = timeouts_.front().key;
    std::pop_heap(timeouts_.begin(), timeouts_.end());
    timeouts_.pop_back();
    const int index = find(key);
    if (index < 0 || requests_[index].deadline > now) continue;
    // A frame that has been sent in part counts as possibly run, since a repeat could cause a second effect.
    // Only a frame that is still buffered whole can be withdrawn and certainly never runs.
    const bool is_sent = requests_[index].is_sent;
    const Result result = !is_sent          ? Result::no_connection
                          : withdraw(index) ? Result::not_sent
                                            : Result::no_answer;
    end_request(index, result, now);
  }
  if (now - maintained_at_ < kMaintenanceIntervalUs) return;
  maintained_at_ = now;
  std::vector<int> open(open_connections_.begin(), open_connections_.end());
  for (int index : open) {
    Connection& connection = connections_[index];
    if (!connection.has_hello && now - connection.opened_at > settings_.connect_timeout)
      on_connection_lost(index, "connect timeout");
    else if (connection.has_hello && connection.in_flight == 0 &&
             now - connection.used_at > settings_.idle_timeout)
      close_connection(index);
  }
}

void NodeTransport::flush() {
  for (int index : unflushed_)
    if (connections_[index].link) connections_[index].link->flush();
  unflushed_.clear();
}

void NodeTransport::close_connection(int connection_index) {
  Connection& connection = connections_[connection_index];
  if (connection.link) connection.link->close();
  if (connection.socket) {
    std::error_code ignored;
    connection.socket->close(ignored);
  }
  std::erase(nodes_[connection.node].connections, connection_index);
  open_connections_.erase(connection_index);
  connection = Connection{};
  connections_.release(connection_index);
}

void NodeTransport::on_connection_lost(int connection_index, const std::string& why) {
  Connection& connection = connections_[connection_index];
  logs::debug("connection gone",
              {{"node", nodes_[connection.node].endpoint.name}, {"why", why}, {"out", connection.in_flight}});
  const std::uint64_t written = connection.link ? connection.link->bytes_written() : 0;
  for (int index : active_) {
    Request& request = requests_[index];
    if (request.connection != connection_index) continue;
    // If the socket has not accepted the last byte of a frame, the node can't have read it whole, and the
    // request certainly has not run.
    deferred_.push_back(
        {request.key, request.is_sent && request.end <= written ? Result::lost : Result::no_connection});
    request.connection = -1;
    request.deadline = INT64_MAX;
  }
  close_connection(connection_index);
}

void NodeTransport::on_frame(net::Link& link, const wire::Frame& frame) {
  const int connection_index = link.number;
  Connection& connection = connections_[connection_index];
  switch (frame.type) {
    case wire::FrameType::hello: {
      wire::Hello hello;
      wire::decode(frame, hello);
      const NodeEndpoint& expected = nodes_[connection.node].endpoint;
      if (hello.role != wire::Role::node || hello.name != expected.name ||
          (expected.incarnation && hello.incarnation != expected.incarnation))
        throw wire::MalformedFrame("'" + std::string(hello.name) + "' answers where '" + expected.name +
                                   "' or its present start was looked for");
      connection.has_hello = true;
      for (int index : active_)
        if (requests_[index].connection == connection_index && !requests_[index].is_sent) send_queued(index);
      link.flush();
      return;
    }
    case wire::FrameType::answer: {
      wire::Answer& answer = answer_;  // a member, to reuse the memory of its checksums
      wire::decode(frame, answer);
      const int index =
          answer.attempt >= 0 && answer.attempt < (1 << kAttemptBits) && answer.id < kProbeKey >> kAttemptBits
              ? find(key_of(answer.id, answer.attempt))
              : -1;
      if (index < 0 || requests_[index].connection != connection_index) return;  // it has ended before
      static constexpr Result results[] = {Result::ended, Result::error, Result::turned_away, Result::ended,
                                           Result::turned_away};  // by wire::Outcome
      return end_request(index, results[static_cast<int>(answer.outcome)], monotonic_now(), &answer,
                         frame.data);
    }
    case wire::FrameType::probe_reply: {
      wire::ProbeReply reply;
      wire::decode(frame, reply);
      const int index = find(reply.serial);
      if (index < 0 || !requests_[index].is_probe || requests_[index].connection != connection_index) return;
      wire::Answer answer;
      answer.load = reply.load;
      return end_request(index,
                         reply.outcome == wire::Outcome::completed ? Result::ended : Result::turned_away,
                         monotonic_now(), &answer);
    }
    default:
      throw wire::MalformedFrame("a head takes no frame of this type from a node");
  }
}

void NodeTransport::on_closed(net::Link& link, const std::string& why) {
  if (why.starts_with("malformed"))
    logs::warn("node spoke badly",
               {{"node", nodes_[connections_[link.number].node].endpoint.name}, {"why", why}});
  on_connection_lost(link.number, why);
}

}  // namespace yewmount::node_transport
