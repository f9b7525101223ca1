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

Listener::Listener(asio::io_context& io, const asio::ip::tcp::endpoint& at, Taken taken)
    : acceptor_(io), again_(io), taken_(std::move(taken)) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen(1024);
  acceptor_.non_blocking(true);
  accept();
}

void Listener::finish() {
  std::error_code error;
  while (acceptor_.is_open()) {
    asio::ip::tcp::socket socket(acceptor_.get_executor());
    acceptor_.accept(socket, error);
    if (error) break;
    taken_(std::move(socket));
  }
  acceptor_.close(error);
}

void Listener::accept() {
  acceptor_.async_accept([this, alive = alive_](std::error_code error, asio::ip::tcp::socket socket) {
    if (!*alive || !acceptor_.is_open()) return;
    if (!error) {
      taken_(std::move(socket));
      return accept();
    }
    // Guards against a spin when descriptors run out: the connection stays in the queue meanwhile.
    again_.expires_after(std::chrono::milliseconds(20));
    again_.async_wait([this, alive](std::error_code stopped) {
      if (!stopped && *alive && acceptor_.is_open()) accept();
    });
  });
}

asio::ip::address loopback(const std::string& address) {
  std::error_code error;
  const auto parsed = asio::ip::make_address(address, error);
  if (error) throw std::runtime_error("'" + address + "' is not an address");
  if (!parsed.is_loopback()) throw std::runtime_error("'" + address + "' is not a loopback address");
  return parsed;
}

}  // namespace yewmount::net
