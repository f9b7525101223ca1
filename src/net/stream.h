// A TCP connection that carries bytes. Incoming bytes are handed to the owner as they arrive, outgoing bytes
// are buffered until flush(). The stream counts the bytes that the socket has accepted, so that an owner can
// tell which requests certainly never left this process.
#pragma once
#include <asio.hpp>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "memory/budget.h"

namespace yewmount::net {

// Base class of connections. The derived class is the owner: it supplies the read buffer and handles the
// events.
class Stream : public std::enable_shared_from_this<Stream> {
 public:
  explicit Stream(asio::ip::tcp::socket socket) : Stream(std::move(socket), memory::Charge()) {}
  // Charges the output buffer to a budget; the owner appends with append_output() then.
  Stream(asio::ip::tcp::socket socket, memory::Charge output_charge);
  virtual ~Stream() = default;
  void start() { read(); }  // starts reading

  // The output buffer; append to it, then call flush().
  std::string& out() { return out_; }
  // Appends to the output buffer; call flush() then.
  void append_output(std::string_view bytes);
  // Writes what the socket accepts now; the rest follows when the socket becomes writable.
  void flush();
  // Bytes appended to the output buffer since the start.
  std::uint64_t bytes_appended() const { return bytes_written_ + out_.size() - sent_offset_; }
  // Bytes appended and not yet accepted by the socket.
  std::size_t pending_bytes() const { return out_.size() - sent_offset_; }
  // Memory of the output buffer in bytes, the part that holds no pending output included.
  std::size_t output_capacity() const { return out_.capacity(); }
  // Bytes that the socket has accepted since the start; exact at any time, as writes are synchronous.
  std::uint64_t bytes_written() const { return bytes_written_; }
  // Removes the appended bytes from position `begin` up to `end`, counted from the start, unless the socket
  // has accepted some of them.
  void remove_pending(std::uint64_t begin, std::uint64_t end);

  bool open() const { return open_; }
  void close();              // the owner gets no further call
  void close_after_flush();  // writes pending output first
  // Closes without a TCP reset, which closing a socket with unread input would cause and which could destroy
  // a reply on its way: writes pending output, ends sending, then discards input up to kMaxLingerBytes until
  // the peer closes. The owner limits how long this may take and gets no further call.
  void close_lingering();
  void pause_reading(bool paused);  // while paused, nothing is read from the socket
  bool has_peer_closed();           // whether the peer has closed, even if unread input precedes the end
  // Bytes that the socket holds unread; 0 if the system does not tell.
  std::size_t unread_bytes() const;
  bool has_unread_input();  // whether the socket holds unread bytes, an end of stream or an error

 protected:
  // The buffer for the next read, not empty; requested only when input is available, so that idle connections
  // need none.
  virtual std::span<char> read_buffer() = 0;
  virtual void on_read(std::size_t bytes) = 0;  // `bytes` bytes are in the read buffer; may close the stream
  virtual void on_write_progress() {}           // the socket has accepted more of the pending output
  // The peer has ended its side. Returns true to keep the stream open for sending (half-close).
  virtual bool on_peer_eof() { return false; }
  // The stream has closed by an error or the peer's end; called once, and not if the owner closed it.
  virtual void on_error(const std::error_code& error) = 0;
  void fail(const std::error_code& error);  // closes the stream and reports the error

 private:
  void read();
  std::size_t read_available(std::error_code& error);
  void flush_when_writable();
  void free_output();
  void update_output_charge();
  bool stays_open_after_eof();
  void discard(std::size_t bytes);
  asio::ip::tcp::socket socket_;
  std::string out_;
  memory::Charge output_charge_;
  std::size_t sent_offset_ = 0;  // end of the part of out_ that the socket has accepted
  std::uint64_t bytes_written_ = 0;
  bool open_ = true;
  bool write_pending_ = false;
  bool close_after_flush_ = false;
  bool paused_ = false;
  bool read_pending_ = false;
  bool peer_eof_ = false;
  bool lingering_ = false;
  std::size_t discarded_bytes_ = 0;
};

inline constexpr std::size_t kReadBufferBytes = 64 << 10;  // the most that one read takes
inline constexpr std::size_t kMaxLingerBytes = 4 << 20;    // input that a lingering close discards at most

// A read buffer that all connections of a thread share; its content must be used or copied before the next
// read.
std::span<char> shared_read_buffer();

}  // namespace yewmount::net
