// The discovery service: full lists and long polls over HTTP/1.1, in several of the response forms that the
// protocol allows. Each head has its own port at both addresses.
#include <algorithm>
#include <asio.hpp>
#include <memory>
#include <random>

#include "tests/soak/record.h"
#include "tests/soak/roles.h"

namespace yewmount::soak {
namespace {

using asio::ip::tcp;
using nlohmann::json;

constexpr Micros kRestartDetectionDelay = 300 * kMillisecond;  // until discovery lists a node's restart

class Discovery {
 public:
  Discovery(asio::io_context& io, const Plan& plan, const std::string& records)
      : io_(io), plan_(plan), record_(records), random_(plan.seed), changes_(node_changes(plan)), timer_(io) {
    for (int which = 0; which < 2; ++which)
      for (int head = 0; head < plan.heads; ++head) serve(which, head);
    for (std::size_t i = 0; i < changes_.size(); ++i)
      record_.write(plan.start + changes_[i].at, "change", i + 2, changes_[i].node, changes_[i].status.state);
    tick();
  }

 private:
  struct Request : std::enable_shared_from_this<Request> {
    Request(tcp::socket s, int head) : socket(std::move(s)), head(head) {}
    tcp::socket socket;
    int head;
    std::string in;
    std::array<char, 4096> buffer;
    std::int64_t from = -1;  // version that a long poll already has
    Micros until = 0;
    bool is_open = true;
  };

  void serve(int which, int head) {
    const tcp::endpoint at{asio::ip::make_address(plan_.discovery(which)),
                           static_cast<std::uint16_t>(Plan::kDiscoveryPort + head)};
    acceptors_.push_back(std::make_unique<tcp::acceptor>(io_, at));
    accept(*acceptors_.back(), head);
  }

  void accept(tcp::acceptor& acceptor, int head) {
    acceptor.async_accept([this, &acceptor, head](std::error_code error, tcp::socket socket) {
      if (!error) read(std::make_shared<Request>(std::move(socket), head));
      accept(acceptor, head);
    });
  }

  void read(std::shared_ptr<Request> request) {
    request->socket.async_read_some(asio::buffer(request->buffer), [this, request](std::error_code error,
                                                                                   std::size_t size) {
      if (error || !request->is_open) {
        request->is_open = false;
        return;
      }
      request->in.append(request->buffer.data(), size);
      for (std::size_t end; request->is_open && (end = request->in.find("\r\n\r\n")) != std::string::npos;) {
        const std::string target = request->in.substr(4, request->in.find(' ', 4) - 4);
        request->in.erase(0, end + 4);
        handle_request(request, target);
      }
      read(request);
    });
  }

  void handle_request(const std::shared_ptr<Request>& request, const std::string& target) {
    const std::size_t from = target.find("from=");
    if (from == std::string::npos) return answer(*request, true);
    request->from = std::stoll(target.substr(from + 5));
    request->until = monotonic_now() + std::stoll(target.substr(target.find("hold_ms=") + 8)) * kMillisecond;
    pending_.push_back(request);
  }

  std::int64_t version() const {
    return 1 + std::ranges::count_if(changes_, [&](const NodeChange& change) {
             return plan_.start + change.at <= monotonic_now();
           });
  }

  void answer(Request& request, bool is_full) {
    json list = node_list(plan_, monotonic_now() - plan_.start);
    list["version"] = version();
    list["full"] = is_full;
    if (!is_full) {
      json changed = json::array();
      for (std::int64_t v = request.from; v < version(); ++v)
        changed.push_back(
            list["servers"][static_cast<std::size_t>(changes_[static_cast<std::size_t>(v - 1)].node)]);
      list["servers"] = changed;
    }
    send(request, list.dump(random_() % 2 ? -1 : 2));
    record_.write(monotonic_now(), "told", request.head, version());
  }

  void send(Request& request, const std::string& body) {
    std::string out = random_() % 4 == 0 ? "HTTP/1.1 100 Continue\r\n\r\n" : "";
    const unsigned form = random_() % 8;
    if (form == 0) {  // the end of the connection ends the body
      out += "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body;
    } else if (form < 4) {
      char size[32];
      std::snprintf(size, sizeof size, "%zx", body.size());
      out += std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") + size + "\r\n" + body +
             "\r\n0\r\n\r\n";
    } else {
      out += "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    std::error_code error;
    asio::write(request.socket, asio::buffer(out), error);
    if (form != 0) return;
    request.socket.shutdown(tcp::socket::shutdown_send, error);
    request.is_open = false;
  }

  void tick() {
    for (auto& request : std::exchange(pending_, {})) {
      if (!request->is_open) continue;
      if (version() > request->from || monotonic_now() >= request->until)
        answer(*request, false);
      else
        pending_.push_back(request);
    }
    timer_.expires_after(std::chrono::milliseconds(5));
    timer_.async_wait([this](std::error_code) { tick(); });
  }

  asio::io_context& io_;
  const Plan& plan_;
  Recorder record_;
  std::mt19937_64 random_;
  const std::vector<NodeChange> changes_;
  asio::steady_timer timer_;
  std::vector<std::unique_ptr<tcp::acceptor>> acceptors_;
  std::vector<std::shared_ptr<Request>> pending_;
};

}  // namespace

std::vector<NodeChange> node_changes(const Plan& plan) {
  std::vector<NodeChange> changes;
  for (const FaultEvent& event : plan.events) {
    if (event.fault == Fault::drain_node) {
      changes.push_back({event.from, event.target, {"Terminating", 0}});
      changes.push_back({event.until, event.target, {"Ready", 0}});
    }
    if (event.fault == Fault::restart_node)
      changes.push_back({event.from + kRestartDetectionDelay,
                         event.target,
                         {"Ready", plan.wall_start_ms + event.from / kMillisecond}});
  }
  std::ranges::stable_sort(changes, {}, &NodeChange::at);
  std::vector<std::int64_t> started(static_cast<std::size_t>(plan.nodes), 0);
  for (NodeChange& change : changes) {
    std::int64_t& start = started[static_cast<std::size_t>(change.node)];
    if (change.status.started_ms > 0) start = change.status.started_ms;
    change.status.started_ms = start;
  }
  return changes;
}

json node_list(const Plan& plan, Micros at) {
  std::vector<NodeStatus> statuses(static_cast<std::size_t>(plan.nodes));
  for (const NodeChange& change : node_changes(plan))
    if (change.at <= at) statuses[static_cast<std::size_t>(change.node)] = change.status;
  json servers = json::array();
  for (int i = 0; i < plan.nodes; ++i) {
    const NodeStatus& status = statuses[static_cast<std::size_t>(i)];
    servers.push_back({{"id", "s-" + std::to_string(i)},
                       {"addr", plan.node_proxy(i) + ":" + std::to_string(Plan::kPort)},
                       {"zone", i % 2 ? "b" : "a"},
                       {"kind", "k"},
                       {"cell", i},
                       {"state", status.state},
                       {"weight", 1.0},
                       {"started_ms", status.started_ms}});
  }
  return {{"version", 1}, {"full", true}, {"servers", servers}};
}

void run_discovery(const Plan& plan, const std::string& records) {
  asio::io_context io(1);
  Discovery discovery(io, plan, records);
  io.run();
}

}  // namespace yewmount::soak
