#include "catalogue/server.h"

#include <algorithm>

#include "base/base.h"

namespace yewmount::catalogue {
namespace {

constexpr int kMaxObjectsPerPage = 200;  // bounds the size of a frame and the time to build it

}  // namespace

Server::Server(asio::io_context& io, Store& store, const std::string& address, std::uint16_t port)
    : store_(store),
      instance_id_(fresh_number()),
      listener_(io, address, port, [this](asio::ip::tcp::socket socket) {
        auto link = std::make_shared<net::Link>(std::move(socket), *this);
        links_.push_back(link);
        wire::put(link->out(), wire::Hello{wire::Role::catalogue, "catalogue", -1, instance_id_});
        link->start();
      }) {}

void Server::on_frame(net::Link& link, const wire::Frame& frame) {
  switch (frame.type) {
    case wire::Type::hello: {
      wire::Hello hello;
      wire::get(frame, hello);
      return;
    }
    case wire::Type::look: {
      wire::Look look;
      wire::get(frame, look);
      wire::Found found;
      found.call = look.call;
      found.there = store_.find(look.volume, look.object, found.object);
      wire::put(link.out(), found);
      return;
    }
    case wire::Type::walk: {
      wire::Walk walk;
      wire::get(frame, walk);
      wire::Walked walked;
      walked.call = walk.call;
      walked.end =
          store_.scan(walk.volume, walk.object, std::min(walk.most, kMaxObjectsPerPage), walked.entries);
      wire::put(link.out(), walked);
      return;
    }
    case wire::Type::change: {
      wire::Alter change;
      wire::get(frame, change);
      store_.enqueue(change);
      pending_replies_.push_back({std::static_pointer_cast<net::Link>(link.shared_from_this()), change.call});
      return;
    }
    default:
      throw wire::Malformed("a catalogue takes no frame of this type");
  }
}

void Server::on_closed(net::Link& link, const std::string& reason) {
  logs::debug("link closed", {{"why", reason}});
  links_.remove_if([&](const auto& other) { return other.get() == &link; });
}

void Server::commit_and_flush() {
  if (store_.pending_count() > 0) {
    std::string error;
    const std::vector<ChangeResult> results = store_.commit(error);
    if (!error.empty()) logs::error("nothing written", {{"why", error}, {"changes", results.size()}});
    for (std::size_t i = 0; i < results.size(); ++i)
      if (const auto link = pending_replies_[i].link.lock(); link && link->open())
        wire::put(link->out(), wire::Altered{pending_replies_[i].call_id, results[i].status,
                                             results[i].current, results[i].previous});
    pending_replies_.clear();
  }
  for (const auto& link : links_) link->flush();
}

}  // namespace yewmount::catalogue
