#include "list/follower.h"

#include <unistd.h>

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "base/base.h"
#include "settings/json_schema.h"

namespace yewmount::list {
namespace {

using nlohmann::json;

constexpr const char* kStates[] = {"gone", "ready", "draining"};

}  // namespace

Follower::Follower(asio::io_context& io, Provision given, Told& told)
    : io_(io), given_(std::move(given)), told_(told) {}

Follower::~Follower() {
  *alive_ = false;
  if (link_) link_->close();
}

void Follower::start(Micros now) {
  std::vector<NodeEntry> entries;
  std::string text;
  if (const std::string why = read_file(given_.file, text); why.empty()) {
    const json kept = settings::check(text, given_.file, "list");
    version_ = kept.at("version").get<std::uint64_t>();
    const Micros wall = wall_now();
    for (const json& e : kept.at("nodes")) {
      const int at = nodes_.index_of(e.at("name").get<std::string>());
      Known& n = nodes_[at];
      n.address = e.at("address").get<std::string>();
      n.zone = e.at("zone").get<std::string>();
      n.port = e.at("port").get<std::uint16_t>();
      n.shard = e.at("shard").get<int>();
      n.state = e.at("state") == "ready" ? NodeState::ready : NodeState::draining;
      n.share = e.at("share").get<double>();
      n.start = std::stoull(e.at("start").get<std::string>());
      const Micros born = e.at("up_since_wall_us").get<Micros>();
      // A wall clock that was set back must not make a cold node look warm: its start is at most now.
      n.up_since = born == 0 ? 0 : now - std::max<Micros>(0, wall - born);
      entries.push_back(nodes_.entry(at));
    }
  } else if (::access(given_.file.c_str(), F_OK) == 0) {
    throw std::runtime_error(why);
  }
  told_.on_membership(ListKind::cached, entries);
}

void Follower::save() {
  json kept = {{"version", version_}, {"nodes", json::array()}};
  const Micros offset = wall_now() - monotonic_now();
  for (const Known& n : nodes_) {
    if (!n.used || n.state == NodeState::gone) continue;
    kept["nodes"].push_back({{"name", n.name},
                             {"address", n.address},
                             {"zone", n.zone},
                             {"port", n.port},
                             {"shard", n.shard},
                             {"state", kStates[static_cast<int>(n.state)]},
                             {"share", n.share},
                             {"start", std::to_string(n.start)},
                             {"up_since_wall_us", n.up_since == 0 ? 0 : n.up_since + offset}});
  }
  // A disk that does not take it must not stop the service: the older list stands, and this is said.
  if (const std::string why = write_file(given_.file, kept.dump(1)); !why.empty())
    logs::error("list not kept", {{"why", why}});
}

void Follower::watch() { ask(true); }
void Follower::fetch() { ask(false); }

void Follower::ask(bool watch) {
  ++answers_due_;
  if (greeted_) {
    wire::encode(link_->out(), wire::ListRequest{watch, version_});
    return;
  }
  asks_.push_back(watch);
  if (connecting_ || link_) return;
  connecting_ = true;
  auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
  socket->async_connect({net::parse_loopback_address(given_.address), given_.port},
                        [this, socket, alive = alive_](std::error_code error) {
                          if (!*alive) return;
                          connecting_ = false;
                          if (error) {
                            logs::debug("list away", {{"why", error.message()}});
                            asks_.clear();
                            answers_due_ = 0;
                            told_.on_membership(ListKind::failed, {});
                            return;
                          }
                          link_ = std::make_shared<net::Link>(std::move(*socket), *this);
                          wire::encode(link_->out(), wire::Hello{wire::Role::head, given_.head_name, -1, 0});
                          link_->start();
                          link_->flush();
                        });
}

void Follower::flush() {
  if (link_) link_->flush();
}

void Follower::take(const wire::List& list, Micros now) {
  if (list.form == wire::ListForm::failed) {
    told_.on_membership(ListKind::failed, {});
    return;
  }
  const bool full = list.form == wire::ListForm::full;
  // Versions never go backwards within one list service; a full list of a new one starts over.
  if (!full && list.version < version_) return;
  version_ = list.version;
  if (full)
    for (Known& n : nodes_) n.state = NodeState::gone;
  std::vector<NodeEntry> entries;
  for (const wire::ListEntry& e : list.entries) {
    const int at = nodes_.index_of(e.name);
    Known& n = nodes_[at];
    const bool again = n.start != 0 && n.start == e.incarnation;
    // One start has one time, however often it is listed: lists on their way for longer must not move it.
    if (!again) n.up_since = e.uptime < 0 ? 0 : std::max<Micros>(1, now - e.uptime);
    n.address = e.address, n.zone = e.zone, n.port = static_cast<std::uint16_t>(e.port);
    n.shard = e.shard, n.share = e.share, n.start = e.incarnation;
    n.state = static_cast<NodeState>(e.state);
    entries.push_back(nodes_.entry(at));
  }
  // First kept, then acted on: a head killed in between starts from what it was told.
  save();
  told_.on_membership(full ? ListKind::full : ListKind::delta, entries);
}

void Follower::on_frame(net::Link& link, const wire::Frame& frame) {
  if (frame.type == wire::FrameType::hello) {
    wire::Hello hello;
    wire::decode(frame, hello);
    if (hello.role != wire::Role::list) throw wire::MalformedFrame("no list service answers here");
    greeted_ = true;
    for (const bool watch : std::exchange(asks_, {}))
      wire::encode(link.out(), wire::ListRequest{watch, version_});
    link.flush();
    return;
  }
  if (frame.type != wire::FrameType::list)
    throw wire::MalformedFrame("a head takes no frame of this type from a list");
  wire::List list;
  wire::decode(frame, list);
  for (const wire::ListEntry& e : list.entries) {
    std::error_code error;
    const auto address = asio::ip::make_address(e.address, error);
    if (error || !address.is_loopback())
      throw wire::MalformedFrame("node '" + e.name + "' has no loopback address");
  }
  if (answers_due_ > 0) --answers_due_;
  take(list, monotonic_now());
}

void Follower::on_closed(net::Link&, const std::string& why) {
  logs::warn("list lost", {{"why", why}});
  link_.reset();
  greeted_ = false;
  asks_.clear();
  answers_due_ = 0;
  told_.on_membership(ListKind::failed, {});
}

void Follower::tidy() {
  nodes_.release_gone([&](int node) { return told_.may_reuse(node); });
}

}  // namespace yewmount::list
