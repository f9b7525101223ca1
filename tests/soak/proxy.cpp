// The proxy in front of the nodes: forwards bytes, and in its troubled times resets connections in the midst
// of them, swallows them, or lets no new connection come up.
#include <sys/socket.h>

#include <asio.hpp>
#include <memory>
#include <random>

#include "tests/soak/record.h"
#include "tests/soak/roles.h"

namespace yewmount::soak {
namespace {

using asio::ip::tcp;

constexpr unsigned kResetOneIn = 20;  // pieces of bytes, in a time of resets
constexpr int kFillers = 8;           // connections that fill a listen queue of length zero

class NodeProxy {
 public:
  NodeProxy(asio::io_context& io, const Plan& plan, int node)
      : io_(io),
        plan_(plan),
        node_(node),
        chance_(plan.seed * 31 + static_cast<unsigned>(node)),
        acceptor_(io, {asio::ip::make_address(plan.node_proxy(node)), Plan::kPort}),
        tick_(io) {
    accept();
    tick();
  }

 private:
  struct Side {
    explicit Side(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    std::array<char, 65536> part;
  };
  struct Link {
    Link(tcp::socket head, tcp::socket node) : head(std::move(head)), node(std::move(node)) {}
    Side head, node;
    bool open = true, swallowed = false;
    void reset() {
      open = false;
      for (Side* side : {&head, &node}) {
        std::error_code ignored;
        side->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        side->socket.close(ignored);
      }
    }
  };

  bool has(Trouble trouble) const { return plan_.active(trouble, node_, now()); }

  void accept() {
    acceptor_.async_accept([this](std::error_code error, tcp::socket socket) {
      if (held_) return;
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
                                      for (Side* side : {&link->head, &link->node})
                                        side->socket.set_option(tcp::no_delay(true));
                                      pump(link, link->head, link->node);
                                      pump(link, link->node, link->head);
                                    });
  }

  void pump(std::shared_ptr<Link> link, Side& from, Side& to) {
    from.socket.async_read_some(
        asio::buffer(from.part), [=, this, &from, &to](std::error_code error, std::size_t n) {
          if (!link->open) return;
          if (error == asio::error::eof) {
            std::error_code ignored;
            to.socket.shutdown(tcp::socket::shutdown_send, ignored);
            return;
          }
          if (error) return link->reset();
          if (has(Trouble::silence_links)) {
            link->swallowed = true;
          } else {
            const bool breaks = has(Trouble::reset_links) && chance_() % kResetOneIn == 0;
            std::error_code ignored;
            asio::write(to.socket, asio::buffer(from.part, breaks ? chance_() % (n + 1) : n), ignored);
            if (breaks) return link->reset();
          }
          pump(link, from, to);
        });
  }

  void tick() {
    if (has(Trouble::late_links) != held_) held_ ? let_on() : hold();
    std::erase_if(links_, [&](const std::shared_ptr<Link>& link) {
      if (link->swallowed && !has(Trouble::silence_links)) link->reset();
      return !link->open;
    });
    tick_.expires_after(std::chrono::milliseconds(10));
    tick_.async_wait([this](std::error_code) { tick(); });
  }

  // No more connections fit into the kernel's queue, and none is taken.
  void hold() {
    held_ = true;
    std::error_code ignored;
    acceptor_.cancel(ignored);
    ::listen(acceptor_.native_handle(), 0);
    for (int i = 0; i < kFillers; ++i) {
      fillers_.emplace_back(io_);
      fillers_.back().open(tcp::v4());
      fillers_.back().native_non_blocking(true);
      const tcp::endpoint to = acceptor_.local_endpoint();
      ::connect(fillers_.back().native_handle(), to.data(), static_cast<socklen_t>(to.size()));
    }
  }

  void let_on() {
    held_ = false;
    fillers_.clear();
    ::listen(acceptor_.native_handle(), 128);
    accept();
  }

  asio::io_context& io_;
  const Plan& plan_;
  const int node_;
  std::mt19937_64 chance_;
  tcp::acceptor acceptor_;
  asio::steady_timer tick_;
  bool held_ = false;
  std::vector<tcp::socket> fillers_;
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
