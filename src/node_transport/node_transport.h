// Sends submits to storage nodes over connection pools and reports how each one ended, exactly once. Whether
// a submit may have run is derived from the bytes that the socket has accepted and from the node's answer; if
// in doubt, it may have run. Routing, timeouts and retries are decided by the caller.
#pragma once
#include <asio.hpp>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "net/link.h"
#include "rules/containers.h"
#include "rules/rules.h"

namespace yewmount::node_transport {

// Settings of the connection pools; times are in microseconds.
struct TransportSettings {
  std::string head_name;
  int max_connections_per_node = 2;
  int max_in_flight_per_connection = 32;
  Micros connect_timeout = 250'000;  // until the node's hello has arrived
  Micros idle_timeout = 15'000'000;
};

// Where a node is reached, and which start of its process is expected there.
struct NodeEndpoint {
  std::string name;
  std::string address;
  std::uint16_t port = 0;
  std::uint64_t incarnation = 0;  // 0: any
};

// How a submit ended.
struct SubmitResult {
  std::uint64_t id;
  int attempt;
  int node;
  Result result;
  bool extent_not_found;  // with Result::ended: the node holds no such extent
  Micros latency;
  int volume_use;
  int from_others;
  LoadReport load;
  std::string_view data;                           // valid during the call only
  std::span<const std::uint64_t> block_checksums;  // valid as long as data
};

// Receives the results of submits and probes.
class TransportObserver {
 public:
  virtual ~TransportObserver() = default;
  // Called when a submit that waited for its node's hello is about to be sent; a denied one ends as
  // Result::not_sent.
  virtual DenialReason may_begin(std::uint64_t id, int attempt) = 0;
  virtual void on_submit_ended(const SubmitResult& result) = 0;
  virtual void on_probe_ended(int node, Result result, Micros latency, const LoadReport& load) = 0;
};

// Holds the connections to all nodes, which are known by small indices.
class NodeTransport : public net::LinkHandler {
 public:
  NodeTransport(asio::io_context& io, TransportSettings settings, TransportObserver& observer);
  ~NodeTransport() override;

  // Sets where a node is reached. If the address or the incarnation changes, connections to the old endpoint
  // are closed.
  void set_endpoint(int node, const NodeEndpoint& endpoint);
  // Withdraws the submits to a draining or removed node of which no byte has been sent; they end as
  // Result::not_sent.
  void withdraw_unsent(int node, Micros now);
  // Drops the node's connections and endpoint so that its index may be reused. Returns false, and does
  // nothing, while a submit or probe is in flight.
  bool forget_node(int node);

  // Never calls the observer directly: immediate failures are reported by the next deliver_results().
  void submit(int node, const wire::Submit& submit, std::string_view data, Micros now, Micros timeout);
  void cancel(std::uint64_t id, int attempt);
  void probe(int node, Micros now, Micros timeout);

  // Reports timeouts and immediate failures, and closes idle connections; to be called several times in each
  // iteration of the event loop.
  void deliver_results(Micros now);
  void flush();
  std::size_t in_flight() const { return active_.size(); }  // submits and probes
  std::size_t connections() const;
  std::size_t pending_timeouts() const { return timeouts_.size(); }  // for tests that memory stays bounded

  void on_frame(net::Link& link, const wire::Frame& frame) override;
  void on_closed(net::Link& link, const std::string& why) override;

 private:
  struct Connection {
    int node = -1;
    std::shared_ptr<net::Link> link;  // null while connecting
    std::shared_ptr<asio::ip::tcp::socket> socket;
    bool has_hello = false;  // the node's hello has arrived
    int in_flight = 0;
    Micros opened_at = 0;
    Micros used_at = 0;
  };
  struct Node {
    NodeEndpoint endpoint;
    std::vector<int> connections;
    bool is_known = false;
  };
  // A submit or a probe that has not ended.
  struct Request {
    bool is_probe = false;
    bool is_sent = false;  // appended to the link's output buffer
    std::uint64_t key = 0;
    std::uint64_t id = 0;
    int attempt = 0;
    int node = -1;
    int connection = -1;
    std::uint64_t begin = 0;  // position of the frame among the bytes appended to the link
    std::uint64_t end = 0;
    Micros started_at = 0;
    Micros deadline = 0;
    std::string frame;  // kept until the node's hello has arrived
  };
  struct Timeout {
    Micros deadline;
    std::uint64_t key;
    bool operator<(const Timeout& other) const { return deadline > other.deadline; }
  };

  int acquire_connection(int node, Micros now);
  void connect(int connection_index);
  void send_queued(int request_index);
  void add_request(int node, Request&& request, Micros now);
  void end_request(int request_index, Result result, Micros now, const wire::Answer* answer = nullptr,
                   std::string_view data = {});
  bool withdraw(int request_index);
  void on_connection_lost(int connection_index, const std::string& why);
  void close_connection(int connection_index);
  int find(std::uint64_t key) const { return index_.find(key); }

  asio::io_context& io_;
  TransportSettings settings_;
  TransportObserver& observer_;
  std::vector<Node> nodes_;
  Slab<Connection> connections_;
  IndexSet open_connections_;
  Slab<Request> requests_;
  IndexSet active_;
  IdMap index_;
  std::vector<Timeout> timeouts_;  // a heap, the earliest first; may hold entries of ended requests
  struct DeferredResult {
    std::uint64_t key;
    Result result;
  };
  std::vector<DeferredResult> deferred_, delivering_;
  std::vector<int> unflushed_;  // connections
  std::uint64_t last_probe_ = 0;
  Micros maintained_at_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  wire::Answer answer_;
};

}  // namespace yewmount::node_transport
