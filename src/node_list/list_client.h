// Client of the list service: fetches and watches the list of nodes, assigns small indices to the nodes, and
// caches the latest list on disk, so that a head can start without the service.
#pragma once
#include <asio.hpp>
#include <memory>
#include <string>
#include <vector>

#include "event_loop/node_table.h"
#include "net/link.h"
#include "rules/rules.h"

namespace yewmount::node_list {

struct ListClientSettings {
  std::string address;
  std::string head_name;
  std::string cache_file;
  std::uint16_t port = 0;
};

// A node of the list.
struct NodeRecord : event_loop::ListedNode {
  std::string address;
  std::uint16_t port = 0;
  std::uint64_t incarnation = 0;  // differs between starts of the node's process; 0: not known
};

using MembershipObserver = event_loop::MembershipObserver;

// Keeps one connection to the list service; each request opens it again if it was lost.
class ListClient : public net::LinkHandler {
 public:
  ListClient(asio::io_context& io, ListClientSettings settings, MembershipObserver& observer);
  ~ListClient() override;

  // Loads the cached list and reports it as ListKind::cached; an absent file counts as an empty list. Throws
  // std::runtime_error, with a message of one line, if the file is unreadable or invalid.
  void start(Micros now);
  // Each request is answered once, by a list or by ListKind::failed; watch() also subscribes to later
  // changes.
  void watch();
  void fetch();
  // Frees the indices of nodes that have left the list, where the observer allows it; to be called regularly.
  void release_indices();
  void flush();

  const NodeRecord& node(int index) const { return nodes_[index]; }
  int find(const std::string& name) const { return nodes_.find(name); }  // -1: no index is assigned
  int size() const { return nodes_.size(); }
  std::uint64_t version() const { return version_; }

  void on_frame(net::Link& link, const wire::Frame& frame) override;
  void on_closed(net::Link& link, const std::string& why) override;

 private:
  void request(bool watch);
  void apply(const wire::List& list, Micros now);
  void write_cache();

  asio::io_context& io_;
  ListClientSettings settings_;
  MembershipObserver& observer_;
  std::shared_ptr<net::Link> link_;
  bool is_connecting_ = false;
  bool has_hello_ = false;  // the service's hello has arrived
  bool watching_ = false;
  std::vector<bool> queued_requests_;  // until the hello has arrived; true: watch, false: fetch
  int answers_due_ = 0;
  std::uint64_t version_ = 0;
  event_loop::NodeTable<NodeRecord> nodes_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace yewmount::node_list
