// Serves the catalogue to all heads. Lookups read the last commit. Changes received in one iteration of the
// event loop are committed together and answered once they are durable.
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
  // Commits the pending changes, answers them and flushes all links. To be called once after the handlers of
  // each iteration of the event loop.
  void commit_and_flush();

  void on_frame(net::Link& link, const wire::Frame& frame) override;
  void on_closed(net::Link& link, const std::string& reason) override;

 private:
  struct PendingReply {
    std::weak_ptr<net::Link> link;
    std::uint64_t call_id;
  };
  Store& store_;
  std::uint64_t instance_id_;
  std::list<std::shared_ptr<net::Link>> links_;
  std::vector<PendingReply> pending_replies_;  // in the order of the store's pending changes
  net::Listener listener_;
};

}  // namespace yewmount::catalogue
