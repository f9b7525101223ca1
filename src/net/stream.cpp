#include "net/stream.h"

#include <poll.h>

#include <array>

#include "net/socket_errors.h"

namespace yewmount::net {

std::span<char> shared_room() {
  thread_local std::array<char, kReadBytes> room;
  return room;
}

Stream::Stream(asio::ip::tcp::socket socket) : socket_(std::move(socket)) {
  std::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
}

void Stream::read() {
  if (!open_ || reading_ || held_ || ended_) return;
  reading_ = true;
  socket_.async_wait(asio::socket_base::wait_read, [self = shared_from_this()](std::error_code error) {
    self->reading_ = false;
    if (!self->open_ || self->held_) return;
    std::size_t bytes = 0;
    if (!error) bytes = self->read_now(error);
    if (error == asio::error::eof && self->stays()) return;
    if (error && after_transfer(error) == NextCall::never) return self->broken(error);
    if (self->lingering_)
      self->read_off(bytes);
    else if (bytes > 0)
      self->came(bytes);
    self->read();
  });
}

std::size_t Stream::read_now(std::error_code& error) {
  const auto room = this->room();
  std::size_t bytes = 0;
  do {
    bytes = socket_.read_some(asio::buffer(room.data(), room.size()), error);
  } while (error && after_transfer(error) == NextCall::again);
  return bytes;
}

// After the other end's last byte.
bool Stream::stays() {
  ended_ = true;
  if (!lingering_) return ended();
  return pending() > 0;  // else it has served its purpose
}

void Stream::read_off(std::size_t bytes) {
  read_off_ += bytes;
  if (read_off_ > kMostReadOff) close();
}

// Written without waiting, here and now: a write that completes later would leave a time in which the peer
// has bytes that handed_ does not know of, and what it has read whole would be told as surely not run.
void Stream::flush() {
  if (!open_ || busy_) return;
  while (at_ < out_.size()) {
    std::error_code error;
    const std::size_t n = socket_.write_some(asio::buffer(out_.data() + at_, out_.size() - at_), error);
    at_ += n;
    handed_ += n;
    if (!error) continue;
    switch (after_transfer(error)) {
      case NextCall::again:
        continue;
      case NextCall::ready:
      case NextCall::later:
        return flush_when_writable();
      case NextCall::never:
        // Not from within the owner's own call: it hears of it on a turn of its own.
        asio::post(socket_.get_executor(), [self = shared_from_this(), error] { self->broken(error); });
        return;
    }
  }
  out_.clear();
  at_ = 0;
  if (closing_) return close();
  if (!lingering_) return;
  if (ended_) return close();
  std::error_code ignored;
  socket_.shutdown(asio::socket_base::shutdown_send, ignored);
}

void Stream::flush_when_writable() {
  busy_ = true;
  socket_.async_wait(asio::socket_base::wait_write, [self = shared_from_this()](std::error_code failed) {
    self->busy_ = false;
    if (!self->open_) return;
    if (failed) return self->broken(failed);
    self->flush();
    if (self->open_ && !self->lingering_) self->moved();  // its owner has let go of it
  });
  if (at_ > kReadBytes) out_.erase(0, at_), at_ = 0;
}

void Stream::take_back(std::uint64_t begin, std::uint64_t end) {
  if (begin < handed_ || end > appended() || begin > end) return;
  out_.erase(at_ + (begin - handed_), end - begin);
}

void Stream::close() {
  open_ = false;
  std::error_code ignored;
  socket_.close(ignored);
}

void Stream::close_after_flush() {
  closing_ = true;
  flush();
}

void Stream::linger() {
  lingering_ = true;
  held_ = false;
  const auto self = shared_from_this();
  flush();
  read();
}

void Stream::hold_reading(bool held) {
  held_ = held;
  if (!held) read();
}

bool Stream::unread() {
  char byte;
  while (::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0) {
    const NextCall next = after_transfer({errno, std::system_category()});
    if (next != NextCall::again) return next == NextCall::never;
  }
  return true;
}

bool Stream::hung_up() {
  pollfd of{socket_.native_handle(), POLLRDHUP, 0};
  int ready = 0;
  do {
    ready = ::poll(&of, 1, 0);
  } while (ready < 0 && errno == EINTR);
  return ready > 0 && (of.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void Stream::broken(const std::error_code& why) {
  if (!open_) return;
  auto self = shared_from_this();
  close();
  if (!lingering_) lost(why);
}

}  // namespace yewmount::net
