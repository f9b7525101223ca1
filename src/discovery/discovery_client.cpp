#include "discovery/discovery_client.h"

#include <charconv>

#include "base/base.h"

namespace yewmount::discovery {
namespace {

using nlohmann::json;
using provision::BadInput;
using provision::get;
using provision::get_or;

constexpr Micros kWatchHoldUs = 2'000'000;  // how long the service holds a watch without changes
// How long lists older than the current one are rejected. Together with one unanswered request before, it
// stays below the four seconds after which a change counts as published where the service has moved.
constexpr Micros kStaleListRejectionUs = 2'000'000;
constexpr std::size_t kMaxBodyBytes = 4 << 20;
// Bounds of the values of a node's entry: cells index a table, weights are summed, start times are Unix times
// before 2100.
constexpr double kMaxCell = 1 << 16;
constexpr double kMaxWeight = 1e6;
constexpr double kMaxStartTimeMs = 4.1e12;
constexpr Micros kMaxListingDelayUs = 5'000'000;  // until the service lists a node that has started
constexpr Micros kClockToleranceUs = 50'000;      // the clocks are not read at the same moment

}  // namespace

asio::ip::tcp::endpoint parse_endpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  std::error_code error;
  const auto address = asio::ip::make_address(text.substr(0, colon == std::string::npos ? 0 : colon), error);
  unsigned port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, port_error] =
      std::from_chars(text.data() + (colon == std::string::npos ? text.size() : colon + 1), end, port);
  if (error || port_error != std::errc() || stop != end || port < 1 || port > 65535)
    throw BadInput("'" + text + "' is not an address with a port");
  return {address, static_cast<std::uint16_t>(port)};
}

namespace {

// Returns a number of a node's entry, or `otherwise` if it is missing. Throws BadInput if it is out of
// bounds.
double bounded(const json& entry, const char* name, double otherwise, double min, double max) {
  const double value = get_or<double>(entry, name, otherwise);
  if (value >= min && value <= max) return value;
  throw BadInput(std::string("field '") + name + "' is not within " + std::to_string(min) + " to " +
                 std::to_string(max));
}

}  // namespace

// A connection to the service; parses the HTTP responses.
class DiscoveryClient::Connection : public net::Stream {
 public:
  Connection(asio::ip::tcp::socket socket, DiscoveryClient& owner)
      : Stream(std::move(socket)), owner_(owner) {
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
  }

 private:
  static const http_parser_settings* settings() {
    static const http_parser_settings all = [] {
      http_parser_settings s;
      http_parser_settings_init(&s);
      s.on_body = [](http_parser* p, const char* at, size_t length) {
        Connection& connection = *static_cast<Connection*>(p->data);
        connection.body_.append(at, length);
        return connection.body_.size() > kMaxBodyBytes ? 1 : 0;
      };
      s.on_message_complete = [](http_parser* p) {
        Connection& connection = *static_cast<Connection*>(p->data);
        if (p->status_code / 100 == 1) return 0;  // an informational response precedes the final one
        connection.complete_ = true;
        connection.succeeded_ = p->status_code == 200;
        connection.keep_alive_ = http_should_keep_alive(p) != 0;
        http_parser_pause(p, 1);
        return 0;
      };
      return s;
    }();
    return &all;
  }

  std::span<char> read_buffer() override { return net::shared_read_buffer(); }
  void on_read(std::size_t bytes) override {
    parse(net::shared_read_buffer().data(), bytes, "response is incomplete");
  }

  // A body without a length ends with the connection, but only if the peer closed it regularly.
  void on_error(const std::error_code& error) override {
    if (error == asio::error::eof) return parse("", 0, "connection closed before the end of the response");
    owner_.on_failure(error.message());
  }

  // size 0: the end of the stream. incomplete_reason: the error if that leaves the response incomplete.
  void parse(const char* bytes, std::size_t size, const char* incomplete_reason) {
    owner_.received_at_ = monotonic_now();
    const std::size_t used = http_parser_execute(&parser_, settings(), bytes, size);
    const http_errno error = HTTP_PARSER_ERRNO(&parser_);
    if (!complete_) {
      if (error != HPE_OK) return owner_.on_failure(http_errno_description(error));
      if (size == 0) owner_.on_failure(incomplete_reason);
      return;
    }
    http_parser_pause(&parser_, 0);
    const bool reusable = open() && used == size && keep_alive_;  // bytes behind a response are unexpected
    complete_ = false;
    owner_.on_response(std::exchange(body_, {}), succeeded_, reusable);
  }

  DiscoveryClient& owner_;
  http_parser parser_;
  std::string body_;
  bool complete_ = false;
  bool succeeded_ = false;
  bool keep_alive_ = false;
};

DiscoveryClient::DiscoveryClient(asio::io_context& io, bool polls_list, std::uint64_t seed,
                                 Observer& observer)
    : io_(io),
      observer_(observer),
      policy_(polls_list, seed),
      wall_offset_at_start_(wall_now() - monotonic_now()) {}

DiscoveryClient::~DiscoveryClient() {
  *alive_ = false;
  if (connection_) connection_->close();
}

void DiscoveryClient::load_cached_list(const json& list) { apply_list(ListKind::cached, list); }

// Parses the whole list before applying any of it, so that an invalid list changes nothing.
void DiscoveryClient::apply_list(ListKind kind, const json& list) {
  struct ParsedEntry {
    std::string name;
    DiscoveredNode node;
  };
  std::vector<ParsedEntry> parsed;
  for (const json& e : provision::require_typed(list, "servers", json::value_t::array)) {
    if (!e.is_object()) throw BadInput("the entry of a node is not an object");
    ParsedEntry entry{get<std::string>(e, "id"), {}};
    const std::string state = get<std::string>(e, "state");
    entry.node.state = provision::parse_enum(
        state,
        {std::pair{"Ready", NodeState::ready}, std::pair{"Terminating", NodeState::draining},
         std::pair{"Gone", NodeState::gone}},
        "state");
    if (entry.node.state != NodeState::gone)
      entry.node.endpoint = parse_endpoint(get<std::string>(e, "addr"));
    entry.node.zone = get_or<std::string>(e, "zone", "");
    entry.node.shard = static_cast<int>(bounded(e, "cell", -1, -1, kMaxCell));
    entry.node.share = bounded(e, "weight", 1, 0, kMaxWeight);
    entry.node.unix_start_time = static_cast<Micros>(bounded(e, "started_ms", 0, 0, kMaxStartTimeMs)) * 1000;
    parsed.push_back(std::move(entry));
  }
  const std::int64_t version = get<std::int64_t>(list, "version");
  // Rejects lists of a service that lags behind. If the version stays lower, the service has restarted
  // its numbering.
  if (kind != ListKind::cached && version < version_) {
    const Micros now = monotonic_now();
    if (stale_since_ == 0) stale_since_ = now;
    if (kind == ListKind::delta || now - stale_since_ < kStaleListRejectionUs)
      throw BadInput("list is older than the current one");
  }
  stale_since_ = 0;
  version_ = version;
  if (kind != ListKind::delta)
    for (DiscoveredNode& node : nodes_) node.state = NodeState::gone;
  const Micros now = monotonic_now();
  std::vector<NodeEntry> entries;
  for (ParsedEntry& entry : parsed) {
    const int index = nodes_.index_of(entry.name);
    DiscoveredNode& node = nodes_[index];
    const Micros since = up_since(node, entry.node.unix_start_time, now);
    node = std::move(entry.node);
    node.name = std::move(entry.name);
    node.used = true;
    node.up_since = since;
    entries.push_back(nodes_.entry(index));
  }
  if (kind != ListKind::cached) listed_at_ = now;
  observer_.on_membership(kind, entries);
}

// Converts a node's start time to this machine's monotonic clock. Start times are given by the wall clock,
// which may be stepped on this machine or on all, before or after the start of this process. A start that is
// new in this list lies between the previous list, less the delay with which the service lists a start, and
// now. Of the conversions by the clock offset at the start of this process and by the current one, the latest
// that lies in this range is returned, or else the current time: taking a node for colder than it is costs
// little, while taking a cold node for warm overloads it. The first list has no previous one: there
// only a start in the future shows that the clock is wrong.
Micros DiscoveryClient::up_since(const DiscoveredNode& before, Micros unix_start_time, Micros now) const {
  if (unix_start_time <= 0) return 0;
  if (before.unix_start_time == unix_start_time) return before.up_since;
  const Micros earliest = listed_at_ > 0 ? std::max<Micros>(1, listed_at_ - kMaxListingDelayUs) : 1;
  Micros latest = 0;
  for (const Micros offset : {wall_offset_at_start_, wall_now() - now}) {
    const Micros converted = unix_start_time - offset;
    if (listed_at_ == 0 && converted < earliest) return 1;  // long ago
    if (converted >= earliest && converted <= now + kClockToleranceUs)
      latest = std::max(latest, std::min(converted, now));
  }
  return latest > 0 ? latest : now;
}

void DiscoveryClient::follow(const asio::ip::tcp::endpoint& endpoint) {
  if (following_ && endpoint == endpoint_) return;
  // The list that this process was started with has a version of this service: requesting the changes since
  // then is cheaper, which matters as the last head of a fleet that starts at once waits for the service's
  // capacity.
  request_kind_ = !following_ && version_ >= 0 && policy_.may_request_changes() ? RequestKind::changes
                                                                                : RequestKind::full_list;
  endpoint_ = endpoint;
  following_ = true;
  retry_at_ = 0;
  policy_.reset_backoff();
  close_connection();
  send_request();
}

void DiscoveryClient::close_connection() {
  if (connection_) connection_->close();
  connection_.reset();
  socket_.reset();
  awaiting_response_ = false;
}

// Sends the next request; connects first if there is no connection.
void DiscoveryClient::send_request() {
  requested_at_ = monotonic_now();
  received_at_ = 0;
  if (connection_) {
    awaiting_response_ = true;
    connection_->out() += "GET /catalog/members";
    if (request_kind_ != RequestKind::full_list) {
      const Micros hold = request_kind_ == RequestKind::watch ? kWatchHoldUs : 0;
      connection_->out() += "?from=" + std::to_string(version_);
      connection_->out() += "&hold_ms=" + std::to_string(hold / 1000);
    }
    connection_->out() += " HTTP/1.1\r\nHost: members\r\n\r\n";
    connection_->flush();
    return;
  }
  socket_ = std::make_shared<asio::ip::tcp::socket>(io_);
  socket_->async_connect(endpoint_, [this, socket = socket_, alive = alive_](std::error_code error) {
    if (!*alive || socket_ != socket) return;
    socket_.reset();
    if (error) return on_failure(error.message());
    connection_ = std::make_shared<Connection>(std::move(*socket), *this);
    connection_->start();
    send_request();
  });
}

void DiscoveryClient::on_failure(const std::string& why, bool version_trusted) {
  ++failures_;
  logs::debug("node list request failed", {{"why", why}});
  close_connection();
  // Requests the changes since the current version at once, without a hold time. The service may not know
  // that version: then its response says so, or the whole list is requested.
  request_kind_ = request_kind_ != RequestKind::full_list && version_trusted && policy_.may_request_changes()
                      ? RequestKind::changes
                      : RequestKind::full_list;
  retry_at_ = monotonic_now() + policy_.backoff_after_failure();
  observer_.on_membership(ListKind::failed, {});
}

// Handles a complete response. succeeded: the status is 200. reusable: the connection can carry a further
// request.
void DiscoveryClient::on_response(const std::string& body, bool succeeded, bool reusable) {
  awaiting_response_ = false;
  if (!reusable) close_connection();
  try {
    if (!succeeded) throw BadInput("unexpected HTTP status");
    const json list = json::parse(body);
    if (!list.is_object()) throw BadInput("the list is not an object");
    const bool full = get<bool>(list, "full");
    if (request_kind_ == RequestKind::full_list && !full)
      throw BadInput("response has changes only, but the whole list was requested");
    apply_list(full ? ListKind::full : ListKind::delta, list);
    request_kind_ = RequestKind::watch;
    policy_.reset_backoff();
  } catch (const std::exception& e) {
    return on_failure(e.what(), !succeeded);
  }
  send_request();
}

// The timeouts detect dead connections and a service that is down.
void DiscoveryClient::check_timeouts(Micros now) {
  if (!following_) return;
  if (retry_at_ > 0 && now >= retry_at_) {
    retry_at_ = 0;
    return send_request();
  }
  if (retry_at_ > 0) return;
  const bool continued = awaiting_response_ && request_kind_ == RequestKind::watch;
  const Micros due = requested_at_ + (continued ? kWatchHoldUs : 0);
  const Micros timeout = received_at_ > due ? policy_.pause_timeout() : policy_.response_timeout(continued);
  if (now - std::max(due, received_at_) > timeout || now - due > policy_.total_timeout(continued))
    on_failure("request timed out");
}

void DiscoveryClient::release_gone_nodes() {
  nodes_.release_gone([&](int node) { return observer_.may_reuse(node); });
}

}  // namespace yewmount::discovery
