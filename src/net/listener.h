// Accepts TCP connections at a loopback address.
#pragma once
#include <asio.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace yewmount::net {

// Parses a loopback address. Throws std::runtime_error, with a message of one line, for any other text.
asio::ip::address parse_loopback_address(const std::string& address);

// Passes each accepted connection to a handler on the loop's thread.
class Listener {
 public:
  using AcceptHandler = std::function<void(asio::ip::tcp::socket)>;
  Listener(asio::io_context& io, const asio::ip::tcp::endpoint& endpoint, AcceptHandler on_accept);
  Listener(asio::io_context& io, const std::string& address, std::uint16_t port, AcceptHandler on_accept)
      : Listener(io, {parse_loopback_address(address), port}, std::move(on_accept)) {}
  ~Listener() { *alive_ = false; }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  void close() {
    std::error_code ignored;
    acceptor_.close(ignored);
  }
  // Accepts the connections in the queue, whose peers may have sent requests already, then closes.
  void accept_pending_and_close();
  // Since when the connection that was accepted last may have been waiting in the accept queue, in
  // microseconds of the monotonic clock; 0 when the queue is known to have been empty. Requests on it may be
  // as old as that.
  std::int64_t backlogged_since() const { return backlogged_since_; }

 private:
  void open(const asio::ip::tcp& protocol);
  void wait();
  void accept_available();
  bool accept_one();  // false: none can be accepted for now
  void note_backlog();
  void note_empty_queue();
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;
  AcceptHandler on_accept_;
  std::int64_t backlogged_since_ = 0;
  std::uint64_t accepted_ = 0;  // connections in all
  // While the queue is not known to be empty: what accepted_ was at times, in their order.
  struct Accepted {
    std::uint64_t count;
    std::int64_t at;
  };
  std::deque<Accepted> history_;
  bool lacks_resources_ = false;  // the last accept failed for lack of descriptors or memory
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace yewmount::net
