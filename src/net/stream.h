// One connection that carries bytes: read as they come, written together once a turn of the loop. It knows
// how many bytes the socket has taken, which tells what surely never left.
#pragma once
#include <asio.hpp>
#include <cstdint>
#include <memory>
#include <span>
#include <string>

namespace yewmount::net {

class Stream : public std::enable_shared_from_this<Stream> {
 public:
  explicit Stream(asio::ip::tcp::socket socket);
  virtual ~Stream() = default;
  void start() { read(); }  // reads from now on

  // Bytes are appended to out(); flush() hands over what the socket takes now, the rest when it takes more.
  std::string& out() { return out_; }
  void flush();
  std::uint64_t appended() const { return handed_ + out_.size() - at_; }
  std::size_t pending() const { return out_.size() - at_; }
  // Bytes that the socket has taken so far, of all appended since the start; true at any moment.
  std::uint64_t handed() const { return handed_; }
  // Removes bytes that were appended and not handed over, all from `begin` (at least handed()) up to `end`.
  void take_back(std::uint64_t begin, std::uint64_t end);

  bool open() const { return open_; }
  void close();              // the owner hears nothing
  void close_after_flush();  // what is pending goes out first
  // Lets go of the connection without a reset, which a close over unread bytes would be and which would take
  // an answer on its way with it: sending ends after what is pending, what still comes is read off and
  // dropped up to a bound, then it closes. How long that may take is the owner's to bound; it hears nothing
  // more.
  void linger();
  void hold_reading(bool held);  // takes nothing from the socket for a while
  bool hung_up();                // whether an end has come, be it behind bytes that nobody has read yet
  bool unread();                 // whether the socket holds bytes, or an end, that nobody has read yet

 protected:
  // Where the next bytes go; asked for when some are there, so that idle connections need no room.
  virtual std::span<char> room() = 0;
  virtual void came(std::size_t bytes) = 0;  // so many bytes of the room; may close
  virtual void moved() {}                    // the socket has taken more of what had to wait
  // The other end sends no more. True: it may still read, so the connection stays for sending.
  virtual bool ended() { return false; }
  virtual void lost(
      const std::error_code& why) = 0;  // once, after the close, unless the owner closed it itself
  void broken(const std::error_code& why);

 private:
  void read();
  std::size_t read_now(std::error_code& error);
  void flush_when_writable();
  bool stays();
  void read_off(std::size_t bytes);
  asio::ip::tcp::socket socket_;
  std::string out_;
  std::size_t at_ = 0;  // of out_: what has been handed over
  std::uint64_t handed_ = 0;
  bool open_ = true, busy_ = false, closing_ = false, held_ = false, reading_ = false;
  bool ended_ = false, lingering_ = false;
  std::size_t read_off_ = 0;
};

inline constexpr std::size_t kReadBytes = 64 << 10;   // taken from a socket at once
inline constexpr std::size_t kMostReadOff = 4 << 20;  // by a lingering close

// Room that all connections of a thread share: what has been read is used or copied before the next read.
std::span<char> shared_room();

}  // namespace yewmount::net
