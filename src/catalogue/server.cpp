#include "catalogue/server.h"

#include <algorithm>

#include "base/base.h"

namespace yewmount::catalogue {
namespace {

constexpr int kMostWalked = 200;  // objects of one answer: a frame and a turn have their lengths

}  // namespace

Server::Server(asio::io_context& io, Store& store, const std::string& address, std::uint16_t port)
    : store_(store), start_(fresh_number()), listener_(io, address, port, [this](asio::ip::tcp::socket s) {
        auto link = std::make_shared<net::Link>(std::move(s), *this);
        links_.push_back(link);
        wire::put(link->out(), wire::Hello{wire::Role::catalogue, "catalogue", -1, start_});
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
      found.there = store_.look(look.volume, look.object, found.object);
      wire::put(link.out(), found);
      return;
    }
    case wire::Type::walk: {
      wire::Walk walk;
      wire::get(frame, walk);
      wire::Walked walked;
      walked.call = walk.call;
      walked.end = store_.walk(walk.volume, walk.object, std::min(walk.most, kMostWalked), walked.entries);
      wire::put(link.out(), walked);
      return;
    }
    case wire::Type::change: {
      wire::Alter change;
      wire::get(frame, change);
      store_.gather(change);
      waiting_.push_back({std::static_pointer_cast<net::Link>(link.shared_from_this()), change.call});
      return;
    }
    default:
      throw wire::Malformed("a catalogue takes no frame of this type");
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
        wire::put(link->out(),
                  wire::Altered{waiting_[i].call, outcomes[i].changed, outcomes[i].now, outcomes[i].before});
    waiting_.clear();
  }
  for (const auto& link : links_) link->flush();
}

}  // namespace yewmount::catalogue
