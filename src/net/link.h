// One connection that carries frames: bytes in cut into frames, frames out written together once a turn of
// the loop.
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

}  // namespace yewmount::net
