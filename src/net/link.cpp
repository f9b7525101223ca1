#include "net/link.h"

namespace yewmount::net {

std::span<char> Link::room() { return inbox_.room(kReadBytes); }

void Link::came(std::size_t bytes) {
  inbox_.came(bytes);
  try {
    wire::Frame frame;
    while (open() && inbox_.next(frame)) {
      if (frame.type == wire::Type::fault) {
        wire::Fault fault;
        wire::get(frame, fault);
        return told("the peer says: " + std::string(fault.reason));
      }
      owner_->on_frame(*this, frame);
    }
  } catch (const wire::Malformed& e) {
    if (!open()) return;
    const std::string why = std::string("malformed: ") + e.what();
    // What is pending may hold whole frames; the fault goes after them.
    wire::put(out(), wire::Fault{e.what()});
    flush();
    told(why);
  }
}

void Link::lost(const std::error_code& why) {
  if (why != asio::error::eof) return owner_->on_closed(*this, why.message());
  owner_->on_closed(*this, inbox_.half() ? "closed within a frame" : "closed by the peer");
}

void Link::told(const std::string& why) {
  if (!open()) return;
  auto self = shared_from_this();
  close();
  owner_->on_closed(*this, why);
}

}  // namespace yewmount::net
