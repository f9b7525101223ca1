#include "net/link.h"

namespace yewmount::net {
namespace {

constexpr std::size_t kReadBytes = 64 << 10;

}  // namespace

Link::Link(asio::ip::tcp::socket socket, LinkOwner& owner) : socket_(std::move(socket)), owner_(&owner) {
  std::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void Link::start() { read(); }

void Link::read() {
  if (!open_ || reading_ || held_) return;
  reading_ = true;
  const auto room = inbox_.room(kReadBytes);
  socket_.async_read_some(
      asio::buffer(room.data(), room.size()),
      [self = shared_from_this()](std::error_code error, std::size_t bytes) {
        self->reading_ = false;
        if (!self->open_) return;
        if (error) {
          const bool half = self->inbox_.half();
          self->broken(error == asio::error::eof ? (half ? "closed within a frame" : "closed by the peer")
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
          wire::put(self->pending_, wire::Fault{e.what()});
          std::error_code ignored;
          if (!self->busy_) {
            self->socket_.non_blocking(true, ignored);
            self->handed_ += self->socket_.write_some(asio::buffer(self->pending_), ignored);
          }
          self->broken(why);
          return;
        }
        self->read();
      });
}

void Link::flush() {
  if (!open_ || busy_ || pending_.empty()) return;
  busy_ = true;
  writing_.clear();
  writing_.swap(pending_);
  written_ = 0;
  // write_some in a row rather than one composed write: handed_ must be true at each moment.
  auto more = [](auto& self, auto again) -> void {
    self->socket_.async_write_some(
        asio::buffer(self->writing_.data() + self->written_, self->writing_.size() - self->written_),
        [self, again](std::error_code error, std::size_t bytes) mutable {
          self->written_ += bytes;
          self->handed_ += bytes;
          if (!self->open_) return;
          if (error) return self->broken(error.message());
          if (self->written_ < self->writing_.size()) return again(self, again);
          self->busy_ = false;
          self->writing_.clear();
          self->written_ = 0;
          if (!self->pending_.empty()) return self->flush();
          if (self->closing_) self->close();
        });
  };
  auto self = shared_from_this();
  more(self, more);
}

void Link::take_back(std::uint64_t begin, std::uint64_t end) {
  const std::uint64_t first = first_pending();
  if (begin < first || end > appended() || begin > end) return;
  pending_.erase(begin - first, end - begin);
}

void Link::close() {
  open_ = false;
  std::error_code ignored;
  socket_.close(ignored);
}

void Link::close_after_flush() {
  closing_ = true;
  if (!busy_ && pending_.empty()) return close();
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
  acceptor_.async_accept([this](std::error_code error, asio::ip::tcp::socket socket) {
    if (!acceptor_.is_open()) return;
    if (!error) {
      taken_(std::move(socket));
      return accept();
    }
    // Guards against a spin when descriptors run out: the connection stays in the queue meanwhile.
    again_.expires_after(std::chrono::milliseconds(20));
    again_.async_wait([this](std::error_code stopped) {
      if (!stopped && acceptor_.is_open()) accept();
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
