#include "catalogue/server.h"

#include <algorithm>

#include "base/base.h"

namespace yewmount::catalogue {
namespace {

constexpr int kMaxObjectsPerPage = 200;  // bounds the size of a frame and the time to build it

}  // namespace

Server::Server(asio::io_context& io, Store& store, const std::string& address, std::uint16_t port)
    : store_(store),
      instance_id_(random_id()),
      listener_(io, address, port, [this](asio::ip::tcp::socket socket) {
        auto link = std::make_shared<net::Link>(std::move(socket), *this);
        links_.push_back(link);
        wire::encode(link->out(), wire::Hello{wire::Role::catalogue, "catalogue", -1, instance_id_});
        link->start();
      }) {}

void Server::on_frame(net::Link& link, const wire::Frame& frame) {
  switch (frame.type) {
    case wire::FrameType::hello: {
      wire::Hello hello;
      wire::decode(frame, hello);
      return;
    }
    case wire::FrameType::lookup: {
      wire::Lookup look;
      wire::decode(frame, look);
      wire::LookupReply found;
      found.call_id = look.call_id;
      found.exists = store_.find(look.volume, look.object, found.object);
      wire::encode(link.out(), found);
      return;
    }
    case wire::FrameType::scan: {
      wire::Scan walk;
      wire::decode(frame, walk);
      wire::ScanReply walked;
      walked.call_id = walk.call_id;
      walked.at_end = store_.scan(walk.volume, walk.object, std::min(walk.max_entries, kMaxObjectsPerPage),
                                  walked.entries);
      wire::encode(link.out(), walked);
      return;
    }
    case wire::FrameType::change: {
      wire::ChangeRequest change;
      wire::decode(frame, change);
      store_.enqueue(change);
      pending_replies_.push_back(
          {std::static_pointer_cast<net::Link>(link.shared_from_this()), change.call_id});
      return;
    }
    default:
      throw wire::MalformedFrame("a catalogue takes no frame of this type");
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
        wire::encode(link->out(), wire::ChangeReply{pending_replies_[i].call_id, results[i].status,
                                                    results[i].current, results[i].previous});
    pending_replies_.clear();
  }
  for (const auto& link : links_) link->flush();
}

}  // namespace yewmount::catalogue
