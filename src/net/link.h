// One connection that carries frames: bytes in cut into frames, frames out written together once a turn of
// the loop.
#pragma once
#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "net/stream.h"
#include "wire/wire.h"

namespace yewmount::net {

class Link;

class LinkOwner {
 public:
  virtual ~LinkOwner() = default;
  // What these throw as wire::Malformed is told to the peer in one fault frame; then the link is closed.
  virtual void on_frame(Link& link, const wire::Frame& frame) = 0;
  // Once for each link, unless the owner closed it itself. Nothing more comes after it.
  virtual void on_closed(Link& link, const std::string& why) = 0;
};

class Link : public Stream {
 public:
  Link(asio::ip::tcp::socket socket, LinkOwner& owner) : Stream(std::move(socket)), owner_(&owner) {}
  int number = 0;        // for the owner's use
  void* user = nullptr;  // for the owner's use

 private:
  std::span<char> room() override;
  void came(std::size_t bytes) override;
  void lost(const std::error_code& why) override;
  void told(const std::string& why);
  LinkOwner* owner_;
  wire::Inbox inbox_;
};

// Throws std::runtime_error with one line: not an address, or not loopback.
asio::ip::address loopback(const std::string& address);

// Takes connections at one address.
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
  void finish();  // what has already connected is taken, then it closes: the peer may have sent something

 private:
  void accept();
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer again_;
  Taken taken_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace yewmount::net
