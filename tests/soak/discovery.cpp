// Discovery: whole lists and watches over HTTP/1.1, in several of the forms that the protocol allows. Each
// head has a port of its own at both addresses.
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

constexpr Micros kNotice = 300 * kMillisecond;  // until discovery has a node's restart

class Discovery {
 public:
  Discovery(asio::io_context& io, const Plan& plan, const std::string& records)
      : io_(io), plan_(plan), record_(records), chance_(plan.seed), changes_(changes(plan)), tick_(io) {
    for (int which = 0; which < 2; ++which)
      for (int head = 0; head < plan.heads; ++head) serve(which, head);
    for (std::size_t i = 0; i < changes_.size(); ++i)
      record_.write(plan.start + changes_[i].at, "change", i + 2, changes_[i].node, changes_[i].view.state);
    tick();
  }

 private:
  struct Call : std::enable_shared_from_this<Call> {
    Call(tcp::socket s, int head) : socket(std::move(s)), head(head) {}
    tcp::socket socket;
    int head;
    std::string in;
    std::array<char, 4096> part;
    std::int64_t from = -1;  // of a watch
    Micros until = 0;
    bool open = true;
  };

  void serve(int which, int head) {
    const tcp::endpoint at{asio::ip::make_address(plan_.discovery(which)),
                           static_cast<std::uint16_t>(Plan::kDiscoveryPort + head)};
    acceptors_.push_back(std::make_unique<tcp::acceptor>(io_, at));
    accept(*acceptors_.back(), head);
  }

  void accept(tcp::acceptor& acceptor, int head) {
    acceptor.async_accept([this, &acceptor, head](std::error_code error, tcp::socket socket) {
      if (!error) read(std::make_shared<Call>(std::move(socket), head));
      accept(acceptor, head);
    });
  }

  void read(std::shared_ptr<Call> c) {
    c->socket.async_read_some(asio::buffer(c->part), [this, c](std::error_code error, std::size_t n) {
      if (error || !c->open) {
        c->open = false;
        return;
      }
      c->in.append(c->part.data(), n);
      for (std::size_t end; c->open && (end = c->in.find("\r\n\r\n")) != std::string::npos;) {
        const std::string target = c->in.substr(4, c->in.find(' ', 4) - 4);
        c->in.erase(0, end + 4);
        take(c, target);
      }
      read(c);
    });
  }

  void take(const std::shared_ptr<Call>& c, const std::string& target) {
    const std::size_t from = target.find("from=");
    if (from == std::string::npos) return answer(*c, true);
    c->from = std::stoll(target.substr(from + 5));
    c->until = now() + std::stoll(target.substr(target.find("hold_ms=") + 8)) * kMillisecond;
    waiting_.push_back(c);
  }

  std::int64_t version() const {
    return 1 + std::ranges::count_if(changes_, [&](const Change& x) { return plan_.start + x.at <= now(); });
  }

  void answer(Call& c, bool whole) {
    json list = list_of(plan_, now() - plan_.start);
    list["version"] = version();
    list["full"] = whole;
    if (!whole) {
      json changed = json::array();
      for (std::int64_t v = c.from; v < version(); ++v)
        changed.push_back(
            list["servers"][static_cast<std::size_t>(changes_[static_cast<std::size_t>(v - 1)].node)]);
      list["servers"] = changed;
    }
    send(c, list.dump(chance_() % 2 ? -1 : 2));
    record_.write(now(), "told", c.head, version());
  }

  void send(Call& c, const std::string& body) {
    std::string out = chance_() % 4 == 0 ? "HTTP/1.1 100 Continue\r\n\r\n" : "";
    const unsigned form = chance_() % 8;
    if (form == 0) {  // ends with the connection
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
    asio::write(c.socket, asio::buffer(out), error);
    if (form != 0) return;
    c.socket.shutdown(tcp::socket::shutdown_send, error);
    c.open = false;
  }

  void tick() {
    for (auto& c : std::exchange(waiting_, {})) {
      if (!c->open) continue;
      if (version() > c->from || now() >= c->until)
        answer(*c, false);
      else
        waiting_.push_back(c);
    }
    tick_.expires_after(std::chrono::milliseconds(5));
    tick_.async_wait([this](std::error_code) { tick(); });
  }

  asio::io_context& io_;
  const Plan& plan_;
  Recorder record_;
  std::mt19937_64 chance_;
  const std::vector<Change> changes_;
  asio::steady_timer tick_;
  std::vector<std::unique_ptr<tcp::acceptor>> acceptors_;
  std::vector<std::shared_ptr<Call>> waiting_;
};

}  // namespace

std::vector<Change> changes(const Plan& plan) {
  std::vector<Change> all;
  for (const Event& e : plan.events) {
    if (e.trouble == Trouble::drain_node) {
      all.push_back({e.from, e.target, {"Terminating", 0}});
      all.push_back({e.until, e.target, {"Ready", 0}});
    }
    if (e.trouble == Trouble::restart_node)
      all.push_back({e.from + kNotice, e.target, {"Ready", plan.wall_start_ms + e.from / kMillisecond}});
  }
  std::ranges::stable_sort(all, {}, &Change::at);
  std::vector<std::int64_t> started(static_cast<std::size_t>(plan.nodes), 0);
  for (Change& c : all) {
    std::int64_t& start = started[static_cast<std::size_t>(c.node)];
    if (c.view.started_ms > 0) start = c.view.started_ms;
    c.view.started_ms = start;
  }
  return all;
}

json list_of(const Plan& plan, Micros at) {
  std::vector<NodeView> views(static_cast<std::size_t>(plan.nodes));
  for (const Change& c : changes(plan))
    if (c.at <= at) views[static_cast<std::size_t>(c.node)] = c.view;
  json servers = json::array();
  for (int i = 0; i < plan.nodes; ++i) {
    const NodeView& view = views[static_cast<std::size_t>(i)];
    servers.push_back({{"id", "s-" + std::to_string(i)},
                       {"addr", plan.node_proxy(i) + ":" + std::to_string(Plan::kPort)},
                       {"zone", i % 2 ? "b" : "a"},
                       {"kind", "k"},
                       {"cell", i},
                       {"state", view.state},
                       {"weight", 1.0},
                       {"started_ms", view.started_ms}});
  }
  return {{"version", 1}, {"full", true}, {"servers", servers}};
}

void run_discovery(const Plan& plan, const std::string& records) {
  asio::io_context io(1);
  Discovery discovery(io, plan, records);
  io.run();
}

}  // namespace yewmount::soak
