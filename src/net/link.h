// One connection that carries frames: bytes in cut into frames, frames out written together once a turn of
// the loop. It knows how many bytes the socket has taken, which tells what surely never left.
#pragma once
#include <asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

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

class Link : public std::enable_shared_from_this<Link> {
 public:
  Link(asio::ip::tcp::socket socket, LinkOwner& owner);
  void start();  // reads from now on

  // Frames are appended to out(); flush() hands over what the socket takes now, the rest when it takes more.
  std::string& out() { return out_; }
  void flush();
  std::uint64_t appended() const { return handed_ + out_.size() - at_; }
  // Bytes that the socket has taken so far, of all appended since the start; true at any moment.
  std::uint64_t handed() const { return handed_; }
  // Removes bytes that were appended and not handed over, all from `begin` (at least handed()) up to `end`.
  void take_back(std::uint64_t begin, std::uint64_t end);

  bool open() const { return open_; }
  void close();                  // the owner hears nothing
  void close_after_flush();      // what is pending goes out first
  void hold_reading(bool held);  // stand-ins: take nothing from the socket for a while
  int number = 0;                // for the owner's use
  void* user = nullptr;          // for the owner's use

 private:
  void read();
  void broken(const std::string& why);
  asio::ip::tcp::socket socket_;
  LinkOwner* owner_;
  wire::Inbox inbox_;
  std::string out_;
  std::size_t at_ = 0;  // of out_: what has been handed over
  std::uint64_t handed_ = 0;
  bool open_ = true, busy_ = false, closing_ = false, held_ = false, reading_ = false;
};

// Takes connections on loopback and makes links of them.
class Listener {
 public:
  using Taken = std::function<void(asio::ip::tcp::socket)>;
  Listener(asio::io_context& io, const std::string& address, std::uint16_t port, Taken taken);
  ~Listener() { *alive_ = false; }
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;
  std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
  void close() {
    std::error_code ignored;
    acceptor_.close(ignored);
  }

 private:
  void accept();
  asio::ip::tcp::acceptor acceptor_;
  asio::steady_timer again_;
  Taken taken_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Throws std::runtime_error with one line: not an address, or not loopback.
asio::ip::address loopback(const std::string& address);

}  // namespace yewmount::net
