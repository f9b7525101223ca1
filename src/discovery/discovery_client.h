// Follows the platform's list of nodes over HTTP/1.1: requests the whole list once, then sends a watch
// request after each response. Assigns small indices to nodes and recycles them. An invalid response changes
// nothing: the current list stays valid and the request is retried.
#pragma once
#include <http_parser.h>

#include <asio.hpp>
#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <span>
#include <string>
#include <vector>

#include "discovery/request_policy.h"
#include "event_loop/node_table.h"
#include "net/stream.h"
#include "provision/provision.h"
#include "rules/rules.h"

namespace yewmount::discovery {

struct DiscoveredNode : event_loop::ListedNode {
  asio::ip::tcp::endpoint endpoint;
  Micros unix_start_time = 0;  // in microseconds, by the node's clock; 0: long ago
};

using Observer = event_loop::MembershipObserver;

// Parses an address with a port, such as "10.2.0.1:8500". Throws provision::BadInput.
asio::ip::tcp::endpoint parse_endpoint(const std::string& text);

class DiscoveryClient {
 public:
  // polls_list: lists come only on request, from a service that all heads share. seed: of the backoff.
  DiscoveryClient(asio::io_context& io, bool polls_list, std::uint64_t seed, Observer& observer);
  ~DiscoveryClient();

  // Applies the list that the head was started with, as ListKind::cached. Throws provision::BadInput.
  void load_cached_list(const nlohmann::json& list);
  // Follows the list at `endpoint` from now on. After a change of the endpoint, the whole list is requested.
  void follow(const asio::ip::tcp::endpoint& endpoint);
  // Fails requests that have timed out and sends retries that are due.
  void check_timeouts(Micros now);
  // Recycles the indices of nodes that are gone.
  void release_gone_nodes();

  const DiscoveredNode& node(int index) const { return nodes_[index]; }
  int size() const { return nodes_.size(); }                // indices ever assigned
  std::size_t node_count() const { return nodes_.used(); }  // indices assigned now
  std::int64_t version() const { return version_; }         // of the current list; -1: there is none
  std::uint64_t failures() const { return failures_; }      // failed requests since the start

 private:
  class Connection;
  void send_request();
  // version_trusted: the service has not indicated that the current version is invalid.
  void on_failure(const std::string& why, bool version_trusted = true);
  void on_response(const std::string& body, bool succeeded, bool reusable);
  void close_connection();
  void apply_list(ListKind kind, const nlohmann::json& list);
  Micros up_since(const DiscoveredNode& before, Micros unix_start_time, Micros now) const;

  asio::io_context& io_;
  Observer& observer_;
  asio::ip::tcp::endpoint endpoint_;
  std::shared_ptr<Connection> connection_;         // once connected
  std::shared_ptr<asio::ip::tcp::socket> socket_;  // while connecting
  // What the current or the next request asks for. changes: those since the current version, at once. watch:
  // the same, but the service holds the request until there are changes or the hold time ends.
  enum class RequestKind { full_list, changes, watch };
  bool following_ = false;
  bool awaiting_response_ = false;
  RequestKind request_kind_ = RequestKind::full_list;
  Micros requested_at_ = 0;  // when the current request or the connect for it began
  Micros received_at_ = 0;   // when the latest part of the current response arrived; 0: none yet
  Micros retry_at_ = 0;      // 0: no retry is due
  Micros stale_since_ = 0;   // since when the service sends older lists than the current one; 0: it doesn't
  RequestPolicy policy_;
  std::int64_t version_ = -1;
  event_loop::NodeTable<DiscoveredNode> nodes_;
  const Micros wall_offset_at_start_;  // wall clock minus monotonic clock
  Micros listed_at_ = 0;               // when the service last sent a list; 0: not yet
  std::uint64_t failures_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // false once destroyed
};

}  // namespace yewmount::discovery
