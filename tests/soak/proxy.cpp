// The proxy in front of the nodes. It forwards bytes; while a fault is active it resets connections in the
// middle of a transfer, discards bytes, or accepts no new connections.
#include <sys/socket.h>

#include <asio.hpp>
#include <memory>
#include <random>

#include "tests/soak/record.h"
#include "tests/soak/roles.h"

namespace yewmount::soak {
namespace {

using asio::ip::tcp;

constexpr unsigned kResetOneInChunks = 20;  // received chunks, while connections are reset
constexpr int kQueueFillers = 8;            // connections that fill a listen queue of length zero

// Forwards the connections to one node.
class NodeProxy {
 public:
  NodeProxy(asio::io_context& io, const Plan& plan, int node)
      : io_(io),
        plan_(plan),
        node_(node),
        random_(plan.seed * 31 + static_cast<unsigned>(node)),
        acceptor_(io, {asio::ip::make_address(plan.node_proxy(node)), Plan::kPort}),
        timer_(io) {
    accept();
    tick();
  }

 private:
  struct Endpoint {
    explicit Endpoint(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    std::array<char, 65536> buffer;
  };
  struct Link {
    Link(tcp::socket head, tcp::socket node) : head(std::move(head)), node(std::move(node)) {}
    Endpoint head;
    Endpoint node;
    bool is_open = true;
    bool has_discarded = false;
    void reset() {
      is_open = false;
      for (Endpoint* endpoint : {&head, &node}) {
        std::error_code ignored;
        endpoint->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        endpoint->socket.close(ignored);
      }
    }
  };

  bool is_active(Fault fault) const { return plan_.is_active(fault, node_, monotonic_now()); }

  void accept() {
    acceptor_.async_accept([this](std::error_code error, tcp::socket socket) {
      if (is_blocked_) return;
      if (!error) connect(std::move(socket));
      accept();
    });
  }

  void connect(tcp::socket head) {
    auto link = std::make_shared<Link>(std::move(head), tcp::socket(io_));
    link->node.socket.async_connect({asio::ip::make_address(plan_.node(node_)), Plan::kPort},
                                    [this, link](std::error_code error) {
                                      if (error) return link->reset();
                                      links_.push_back(link);
                                      for (Endpoint* endpoint : {&link->head, &link->node})
                                        endpoint->socket.set_option(tcp::no_delay(true));
                                      forward(link, link->head, link->node);
                                      forward(link, link->node, link->head);
                                    });
  }

  void forward(std::shared_ptr<Link> link, Endpoint& from, Endpoint& to) {
    from.socket.async_read_some(asio::buffer(from.buffer), [=, this, &from, &to](std::error_code error,
                                                                                 std::size_t n) {
      if (!link->is_open) return;
      if (error == asio::error::eof) {
        std::error_code ignored;
        to.socket.shutdown(tcp::socket::shutdown_send, ignored);
        return;
      }
      if (error) return link->reset();
      if (is_active(Fault::silence_links)) {
        link->has_discarded = true;
      } else {
        const bool should_reset = is_active(Fault::reset_links) && random_() % kResetOneInChunks == 0;
        std::error_code ignored;
        asio::write(to.socket, asio::buffer(from.buffer, should_reset ? random_() % (n + 1) : n), ignored);
        if (should_reset) return link->reset();
      }
      forward(link, from, to);
    });
  }

  void tick() {
    if (is_active(Fault::late_links) != is_blocked_)
      is_blocked_ ? unblock_connections() : block_connections();
    std::erase_if(links_, [&](const std::shared_ptr<Link>& link) {
      if (link->has_discarded && !is_active(Fault::silence_links)) link->reset();
      return !link->is_open;
    });
    timer_.expires_after(std::chrono::milliseconds(10));
    timer_.async_wait([this](std::error_code) { tick(); });
  }

  // Fills the kernel's listen queue and accepts nothing, so that new connections are not established.
  void block_connections() {
    is_blocked_ = true;
    std::error_code ignored;
    acceptor_.cancel(ignored);
    ::listen(acceptor_.native_handle(), 0);
    for (int i = 0; i < kQueueFillers; ++i) {
      queue_fillers_.emplace_back(io_);
      queue_fillers_.back().open(tcp::v4());
      queue_fillers_.back().native_non_blocking(true);
      const tcp::endpoint to = acceptor_.local_endpoint();
      ::connect(queue_fillers_.back().native_handle(), to.data(), static_cast<socklen_t>(to.size()));
    }
  }

  void unblock_connections() {
    is_blocked_ = false;
    queue_fillers_.clear();
    ::listen(acceptor_.native_handle(), 128);
    accept();
  }

  asio::io_context& io_;
  const Plan& plan_;
  const int node_;
  std::mt19937_64 random_;
  tcp::acceptor acceptor_;
  asio::steady_timer timer_;
  bool is_blocked_ = false;
  std::vector<tcp::socket> queue_fillers_;
  std::vector<std::shared_ptr<Link>> links_;
};

}  // namespace

void run_proxy(const Plan& plan, const std::string&) {
  asio::io_context io(1);
  std::vector<std::unique_ptr<NodeProxy>> proxies;
  for (int node = 0; node < plan.nodes; ++node)
    proxies.push_back(std::make_unique<NodeProxy>(io, plan, node));
  io.run();
}

}  // namespace yewmount::soak
