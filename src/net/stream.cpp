#include "net/stream.h"

#include <poll.h>

#include <array>

#include "base/buffer.h"
#include "memory/byte_buffer.h"
#include "net/socket_errors.h"

namespace yewmount::net {

std::span<char> shared_read_buffer() {
  thread_local std::array<char, kReadBufferBytes> buffer;
  return buffer;
}

Stream::Stream(asio::ip::tcp::socket socket, memory::Charge output_charge)
    : socket_(std::move(socket)), output_charge_(std::move(output_charge)) {
  std::error_code ignored;
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
  socket_.non_blocking(true, ignored);
}

void Stream::append_output(std::string_view bytes) {
  out_ += bytes;
  update_output_charge();
}

void Stream::free_output() {
  clear_buffer(out_);
  sent_offset_ = 0;
  update_output_charge();
}

void Stream::update_output_charge() { output_charge_.set(memory::charged_bytes(out_.capacity())); }

void Stream::read() {
  if (!open_ || read_pending_ || paused_ || peer_eof_) return;
  read_pending_ = true;
  socket_.async_wait(asio::socket_base::wait_read, [self = shared_from_this()](std::error_code error) {
    self->read_pending_ = false;
    if (!self->open_ || self->paused_) return;
    std::size_t bytes = 0;
    if (!error) bytes = self->read_available(error);
    if (error == asio::error::eof && self->stays_open_after_eof()) return;
    if (error && retry_after_transfer(error) == Retry::never) return self->fail(error);
    if (self->lingering_)
      self->discard(bytes);
    else if (bytes > 0)
      self->on_read(bytes);
    self->read();
  });
}

std::size_t Stream::read_available(std::error_code& error) {
  const auto buffer = read_buffer();
  std::size_t bytes = 0;
  do {
    bytes = socket_.read_some(asio::buffer(buffer.data(), buffer.size()), error);
  } while (error && retry_after_transfer(error) == Retry::immediately);
  return bytes;
}

// Called at the peer's end of stream.
bool Stream::stays_open_after_eof() {
  peer_eof_ = true;
  if (!lingering_) return on_peer_eof();
  return pending_bytes() > 0;  // otherwise the lingering close is complete
}

void Stream::discard(std::size_t bytes) {
  discarded_bytes_ += bytes;
  if (discarded_bytes_ > kMaxLingerBytes) close();
}

// Writes synchronously without blocking. With an asynchronous write the peer could hold bytes that
// bytes_written_ does not count yet, and a request that it has read completely would be reported as certainly
// not executed.
void Stream::flush() {
  if (!open_ || write_pending_) return;
  while (sent_offset_ < out_.size()) {
    std::error_code error;
    const std::size_t n =
        socket_.write_some(asio::buffer(out_.data() + sent_offset_, out_.size() - sent_offset_), error);
    sent_offset_ += n;
    bytes_written_ += n;
    if (!error) continue;
    switch (retry_after_transfer(error)) {
      case Retry::immediately:
        continue;
      case Retry::when_ready:
      case Retry::after_delay:
        return flush_when_writable();
      case Retry::never:
        // Posted, so that the owner's handler doesn't run within the owner's own call of flush().
        asio::post(socket_.get_executor(), [self = shared_from_this(), error] { self->fail(error); });
        return;
    }
  }
  free_output();
  if (close_after_flush_) return close();
  if (!lingering_) return;
  if (peer_eof_) return close();
  std::error_code ignored;
  socket_.shutdown(asio::socket_base::shutdown_send, ignored);
}

void Stream::flush_when_writable() {
  write_pending_ = true;
  socket_.async_wait(asio::socket_base::wait_write, [self = shared_from_this()](std::error_code error) {
    self->write_pending_ = false;
    if (!self->open_) return;
    if (error) return self->fail(error);
    self->flush();
    // A lingering stream reports nothing to its owner.
    if (self->open_ && !self->lingering_) self->on_write_progress();
  });
  if (sent_offset_ > kReadBufferBytes) {
    out_.erase(0, sent_offset_);
    sent_offset_ = 0;
  }
}

void Stream::remove_pending(std::uint64_t begin, std::uint64_t end) {
  if (begin < bytes_written_ || end > bytes_appended() || begin > end) return;
  out_.erase(sent_offset_ + (begin - bytes_written_), end - begin);
}

void Stream::close() {
  open_ = false;
  std::error_code ignored;
  socket_.close(ignored);
  free_output();
}

void Stream::close_after_flush() {
  close_after_flush_ = true;
  flush();
}

void Stream::close_lingering() {
  lingering_ = true;
  paused_ = false;
  const auto self = shared_from_this();
  flush();
  read();
}

void Stream::pause_reading(bool paused) {
  paused_ = paused;
  if (!paused) read();
}

std::size_t Stream::unread_bytes() const {
  std::error_code error;
  const std::size_t bytes = socket_.available(error);
  return error ? 0 : bytes;
}

bool Stream::has_unread_input() {
  char byte;
  while (::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0) {
    const Retry retry = retry_after_transfer({errno, std::system_category()});
    if (retry != Retry::immediately) return retry == Retry::never;
  }
  return true;
}

bool Stream::has_peer_closed() {
  pollfd descriptor{socket_.native_handle(), POLLRDHUP, 0};
  int ready = 0;
  do {
    ready = ::poll(&descriptor, 1, 0);
  } while (ready < 0 && errno == EINTR);
  return ready > 0 && (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void Stream::fail(const std::error_code& error) {
  if (!open_) return;
  auto self = shared_from_this();
  close();
  if (!lingering_) on_error(error);
}

}  // namespace yewmount::net
