#include "net/link.h"

namespace yewmount::net {
namespace {

constexpr std::size_t kReadBytes = 64 << 10;

}  // namespace

Link::Link(asio::ip::tcp::socket socket, LinkOwner& owner) : socket_(std::move(socket)), owner_(&owner) {
  std::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
}

void Link::start() { read(); }

void Link::read() {
  if (!open_ || reading_ || held_) return;
  reading_ = true;
  const auto room = inbox_.room(kReadBytes);
  socket_.async_read_some(asio::buffer(room.data(), room.size()),
                          [self = shared_from_this()](std::error_code error, std::size_t bytes) {
                            self->reading_ = false;
                            if (!self->open_) return;
                            if (error) {
                              const bool half = self->inbox_.half();
                              self->broken(error == asio::error::eof
                                               ? (half ? "closed within a frame" : "closed by the peer")
                                               : error.message());
                              return;
                            }
                            self->inbox_.came(bytes);
                            try {
                              wire::Frame frame;
                              while (self->open_ && self->inbox_.next(frame)) {
                                if (frame.type == wire::Type::fault) {
                                  wire::Fault fault;
                                  wire::get(frame, fault);
                                  self->broken("the peer says: " + std::string(fault.reason));
                                  return;
                                }
                                self->owner_->on_frame(*self, frame);
                              }
                            } catch (const wire::Malformed& e) {
                              if (!self->open_) return;
                              const std::string why = std::string("malformed: ") + e.what();
                              // What is pending may hold whole frames; the fault goes after them.
                              wire::put(self->out_, wire::Fault{e.what()});
                              self->flush();
                              self->broken(why);
                              return;
                            }
                            self->read();
                          });
}

// Written without waiting, here and now: a write that completes later would leave a time in which the peer
// has bytes that handed_ does not know of, and what it has read whole would be told as surely not run.
void Link::flush() {
  if (!open_ || busy_) return;
  while (at_ < out_.size()) {
    std::error_code error;
    const std::size_t n = socket_.write_some(asio::buffer(out_.data() + at_, out_.size() - at_), error);
    at_ += n;
    handed_ += n;
    if (error == asio::error::would_block) {
      busy_ = true;
      socket_.async_wait(asio::socket_base::wait_write, [self = shared_from_this()](std::error_code failed) {
        self->busy_ = false;
        if (!self->open_) return;
        if (failed) return self->broken(failed.message());
        self->flush();
      });
      if (at_ > kReadBytes) out_.erase(0, at_), at_ = 0;
      return;
    }
    if (error) {
      // Not from within the owner's own call: it hears of it on a turn of its own.
      asio::post(socket_.get_executor(),
                 [self = shared_from_this(), why = error.message()] { self->broken(why); });
      return;
    }
  }
  out_.clear();
  at_ = 0;
  if (closing_) close();
}

void Link::take_back(std::uint64_t begin, std::uint64_t end) {
  if (begin < handed_ || end > appended() || begin > end) return;
  out_.erase(at_ + (begin - handed_), end - begin);
}

void Link::close() {
  open_ = false;
  std::error_code ignored;
  socket_.close(ignored);
}

void Link::close_after_flush() {
  closing_ = true;
  flush();
}

void Link::hold_reading(bool held) {
  held_ = held;
  if (!held) read();
}

void Link::broken(const std::string& why) {
  if (!open_) return;
  auto self = shared_from_this();
  close();
  owner_->on_closed(*this, why);
}

Listener::Listener(asio::io_context& io, const std::string& address, std::uint16_t port, Taken taken)
    : acceptor_(io), again_(io), taken_(std::move(taken)) {
  const asio::ip::tcp::endpoint at(loopback(address), port);
  acceptor_.open(at.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen(1024);
  accept();
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
