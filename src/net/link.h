// A connection that carries wire frames: decodes incoming bytes into frames and batches outgoing frames until
// the next flush.
#pragma once
#include <asio.hpp>
#include <cstdint>
#include <memory>
#include <string>

#include "net/listener.h"
#include "net/stream.h"
#include "wire/wire.h"

namespace yewmount::net {

class Link;

// Receives the frames and the end of its links.
class LinkHandler {
 public:
  virtual ~LinkHandler() = default;
  // May throw wire::MalformedFrame: the reason is then sent to the peer in a fault frame and the link is
  // closed.
  virtual void on_frame(Link& link, const wire::Frame& frame) = 0;
  // Called once for each link, as its last call, unless the handler closed the link itself.
  virtual void on_closed(Link& link, const std::string& why) = 0;
};

// A stream of frames. Its handler must outlive it.
class Link : public Stream {
 public:
  Link(asio::ip::tcp::socket socket, LinkHandler& handler) : Stream(std::move(socket)), handler_(&handler) {}
  int number = 0;        // set and read by the handler only
  void* user = nullptr;  // set and read by the handler only

 private:
  std::span<char> read_buffer() override;
  void on_read(std::size_t bytes) override;
  void on_error(const std::error_code& error) override;
  void close_and_report(const std::string& why);
  LinkHandler* handler_;
  wire::FrameDecoder decoder_;
};

}  // namespace yewmount::net
