#include "catalogue/server.h"

#include <algorithm>

#include "base/base.h"

namespace yewmount::catalogue {
namespace {

constexpr int kMostWalked = 200;  // objects of one answer: a frame and a turn have their lengths

}  // namespace

Server::Server(asio::io_context& io, Store& store, const std::string& address, std::uint16_t port)
    : store_(store), start_(random_id()), listener_(io, address, port, [this](asio::ip::tcp::socket s) {
        auto link = std::make_shared<net::Link>(std::move(s), *this);
        links_.push_back(link);
        wire::encode(link->out(), wire::Hello{wire::Role::catalogue, "catalogue", -1, start_});
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
      found.exists = store_.look(look.volume, look.object, found.object);
      wire::encode(link.out(), found);
      return;
    }
    case wire::FrameType::scan: {
      wire::Scan walk;
      wire::decode(frame, walk);
      wire::ScanReply walked;
      walked.call_id = walk.call_id;
      walked.at_end =
          store_.walk(walk.volume, walk.object, std::min(walk.max_entries, kMostWalked), walked.entries);
      wire::encode(link.out(), walked);
      return;
    }
    case wire::FrameType::change: {
      wire::ChangeRequest change;
      wire::decode(frame, change);
      store_.gather(change);
      waiting_.push_back({std::static_pointer_cast<net::Link>(link.shared_from_this()), change.call_id});
      return;
    }
    default:
      throw wire::MalformedFrame("a catalogue takes no frame of this type");
  }
}

void Server::on_closed(net::Link& link, const std::string& why) {
  logs::debug("link closed", {{"why", why}});
  links_.remove_if([&](const auto& l) { return l.get() == &link; });
}

void Server::turn_over() {
  if (store_.gathered() > 0) {
    std::string why;
    const std::vector<Outcome> outcomes = store_.commit(why);
    if (!why.empty()) logs::error("nothing written", {{"why", why}, {"changes", outcomes.size()}});
    for (std::size_t i = 0; i < outcomes.size(); ++i)
      if (const auto link = waiting_[i].link.lock(); link && link->open())
        wire::encode(link->out(), wire::ChangeReply{waiting_[i].call, outcomes[i].changed, outcomes[i].now,
                                                    outcomes[i].before});
    waiting_.clear();
  }
  for (const auto& link : links_) link->flush();
}

}  // namespace yewmount::catalogue
