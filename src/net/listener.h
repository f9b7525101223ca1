// Takes connections at one address.
#pragma once
#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace yewmount::net {

// Throws std::runtime_error with one line: not an address, or not loopback.
asio::ip::address loopback(const std::string& address);

class Listener {
 public:
  using Taken = std::function<void(asio::ip::tcp::socket)>;
  Listener(asio::io_context& io, const asio::ip::tcp::endpoint& at, Taken taken);
  Listener(asio::io_context& io, const std::string& address, std::uint16_t port, Taken taken)
      : Listener(io, {loopback(address), port}, std::move(taken)) {}
  ~Listener() { *alive_ = false; }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  void close() {
    std::error_code ignored;
    acceptor_.close(ignored);
  }
  // What has already connected is taken, then it closes: the peer may have sent something.
  void finish();
  // While connections may have had to wait in the queue: since when, in microseconds of the monotonic clock;
  // 0 otherwise. What they sent may be as old.
  std::int64_t behind_since() const { return behind_since_; }

 private:
  void open(const asio::ip::tcp& protocol);
  void wait();
  void take_all();
  bool take_one();  // false: no more for now
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer again_;
  Taken taken_;
  std::int64_t behind_since_ = 0;
  bool waits_for_room_ = false;  // the last accept failed for want of descriptors or memory
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace yewmount::net
