#include "node_list/list_client.h"

#include <unistd.h>

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "base/base.h"
#include "settings/json_schema.h"

namespace yewmount::node_list {
namespace {

using nlohmann::json;

constexpr const char* kStateNames[] = {"gone", "ready", "draining"};

}  // namespace

ListClient::ListClient(asio::io_context& io, ListClientSettings settings, MembershipObserver& observer)
    : io_(io), settings_(std::move(settings)), observer_(observer) {}

ListClient::~ListClient() {
  *alive_ = false;
  if (link_) link_->close();
}

void ListClient::start(Micros now) {
  std::vector<NodeEntry> entries;
  std::string text;
  if (const std::string why = read_file(settings_.cache_file, text); why.empty()) {
    const json cached = settings::check(text, settings_.cache_file, "list");
    version_ = cached.at("version").get<std::uint64_t>();
    const Micros wall = wall_now();
    for (const json& entry : cached.at("nodes")) {
      const int index = nodes_.index_of(entry.at("name").get<std::string>());
      NodeRecord& node = nodes_[index];
      node.address = entry.at("address").get<std::string>();
      node.zone = entry.at("zone").get<std::string>();
      node.port = entry.at("port").get<std::uint16_t>();
      node.shard = entry.at("shard").get<int>();
      node.state = entry.at("state") == "ready" ? NodeState::ready : NodeState::draining;
      node.share = entry.at("share").get<double>();
      node.incarnation = std::stoull(entry.at("start").get<std::string>());
      const Micros up_since_wall = entry.at("up_since_wall_us").get<Micros>();
      // If the wall clock was set back, the start would lie in the future; it is then taken as now, so that a
      // cold node does not count as warm.
      node.up_since = up_since_wall == 0 ? 0 : now - std::max<Micros>(0, wall - up_since_wall);
      entries.push_back(nodes_.entry(index));
    }
  } else if (::access(settings_.cache_file.c_str(), F_OK) == 0) {
    throw std::runtime_error(why);
  }
  observer_.on_membership(ListKind::cached, entries);
}

void ListClient::write_cache() {
  json cached = {{"version", version_}, {"nodes", json::array()}};
  const Micros offset = wall_now() - monotonic_now();
  for (const NodeRecord& node : nodes_) {
    if (!node.used || node.state == NodeState::gone) continue;
    cached["nodes"].push_back({{"name", node.name},
                               {"address", node.address},
                               {"zone", node.zone},
                               {"port", node.port},
                               {"shard", node.shard},
                               {"state", kStateNames[static_cast<int>(node.state)]},
                               {"share", node.share},
                               {"start", std::to_string(node.incarnation)},
                               {"up_since_wall_us", node.up_since == 0 ? 0 : node.up_since + offset}});
  }
  // A failed write is logged and does not stop the service; the older cached list remains.
  if (const std::string why = write_file(settings_.cache_file, cached.dump(1)); !why.empty())
    logs::error("list cache not written", {{"why", why}});
}

void ListClient::watch() { request(true); }
void ListClient::fetch() { request(false); }

// Sends a request, or queues it and connects.
void ListClient::request(bool watch) {
  ++answers_due_;
  if (has_hello_) {
    wire::encode(link_->out(), wire::ListRequest{watch, version_});
    return;
  }
  queued_requests_.push_back(watch);
  if (is_connecting_ || link_) return;
  is_connecting_ = true;
  auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
  socket->async_connect(
      {net::parse_loopback_address(settings_.address), settings_.port},
      [this, socket, alive = alive_](std::error_code error) {
        if (!*alive) return;
        is_connecting_ = false;
        if (error) {
          logs::debug("list service unreachable", {{"why", error.message()}});
          queued_requests_.clear();
          answers_due_ = 0;
          observer_.on_membership(ListKind::failed, {});
          return;
        }
        link_ = std::make_shared<net::Link>(std::move(*socket), *this);
        wire::encode(link_->out(), wire::Hello{wire::Role::head, settings_.head_name, -1, 0});
        link_->start();
        link_->flush();
      });
}

void ListClient::flush() {
  if (link_) link_->flush();
}

void ListClient::apply(const wire::List& list, Micros now) {
  if (list.form == wire::ListForm::failed) {
    observer_.on_membership(ListKind::failed, {});
    return;
  }
  const bool is_full = list.form == wire::ListForm::full;
  // Versions of one list service only grow. A full list is always applied: a new instance of the service may
  // count from the start again.
  if (!is_full && list.version < version_) return;
  version_ = list.version;
  if (is_full)
    for (NodeRecord& node : nodes_) node.state = NodeState::gone;
  std::vector<NodeEntry> entries;
  for (const wire::ListEntry& entry : list.entries) {
    const int index = nodes_.index_of(entry.name);
    NodeRecord& node = nodes_[index];
    const bool is_same_incarnation = node.incarnation != 0 && node.incarnation == entry.incarnation;
    // The start time of an incarnation is computed once: a list that was delayed in transit would shift it.
    if (!is_same_incarnation) node.up_since = entry.uptime < 0 ? 0 : std::max<Micros>(1, now - entry.uptime);
    node.address = entry.address;
    node.zone = entry.zone;
    node.port = static_cast<std::uint16_t>(entry.port);
    node.shard = entry.shard;
    node.share = entry.share;
    node.incarnation = entry.incarnation;
    node.state = static_cast<NodeState>(entry.state);
    entries.push_back(nodes_.entry(index));
  }
  // Cached before it is reported, so that a head killed in between restarts with the list it had received.
  write_cache();
  observer_.on_membership(is_full ? ListKind::full : ListKind::delta, entries);
}

void ListClient::on_frame(net::Link& link, const wire::Frame& frame) {
  if (frame.type == wire::FrameType::hello) {
    wire::Hello hello;
    wire::decode(frame, hello);
    if (hello.role != wire::Role::list) throw wire::MalformedFrame("no list service answers here");
    has_hello_ = true;
    for (const bool watch : std::exchange(queued_requests_, {}))
      wire::encode(link.out(), wire::ListRequest{watch, version_});
    link.flush();
    return;
  }
  if (frame.type != wire::FrameType::list)
    throw wire::MalformedFrame("a head takes no frame of this type from a list");
  wire::List list;
  wire::decode(frame, list);
  // All entries are checked first, so that a list is applied whole or not at all.
  for (const wire::ListEntry& entry : list.entries) {
    std::error_code error;
    const auto address = asio::ip::make_address(entry.address, error);
    if (error || !address.is_loopback())
      throw wire::MalformedFrame("node '" + entry.name + "' has no loopback address");
  }
  if (answers_due_ > 0) --answers_due_;
  apply(list, monotonic_now());
}

void ListClient::on_closed(net::Link&, const std::string& why) {
  logs::warn("list lost", {{"why", why}});
  link_.reset();
  has_hello_ = false;
  queued_requests_.clear();
  answers_due_ = 0;
  observer_.on_membership(ListKind::failed, {});
}

void ListClient::release_indices() {
  nodes_.release_gone([&](int node) { return observer_.may_reuse(node); });
}

}  // namespace yewmount::node_list
