// The catalogue as a service for all heads: looks are answered from the last commit, changes of one turn of
// the loop are made durable together and told only then.
#pragma once
#include <asio.hpp>
#include <list>
#include <memory>
#include <vector>

#include "catalogue/store.h"
#include "net/link.h"

namespace yewmount::catalogue {

class Server : public net::LinkHandler {
 public:
  Server(asio::io_context& io, Store& store, const std::string& address, std::uint16_t port);
  ~Server() override {
    for (const auto& link : links_) link->close();
  }
  std::uint16_t port() const { return listener_.port(); }
  void turn_over();  // once after the handlers of a turn: commits, answers, flushes

  void on_frame(net::Link& link, const wire::Frame& frame) override;
  void on_closed(net::Link& link, const std::string& why) override;

 private:
  struct Waiting {
    std::weak_ptr<net::Link> link;
    std::uint64_t call;
  };
  Store& store_;
  std::uint64_t start_;
  std::list<std::shared_ptr<net::Link>> links_;
  std::vector<Waiting> waiting_;
  net::Listener listener_;
};

}  // namespace yewmount::catalogue
