// The HTTP/1.1 door: parses what clients send, owns their connections, decides nothing. One exchange at a
// time on a connection; while one is open the door goes on listening for the client's hanging up.
#pragma once
#include <http_parser.h>

#include <asio.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "net/link.h"

namespace yewmount::door {

enum class Method : std::uint8_t { get, head, put, drop, other };

struct Ask {  // what a client wants, once its headers are in
  Method method = Method::other;
  std::string volume, object, path;  // path: decoded whole, for the head's own pages
  std::int64_t length = -1;          // of the body; -1: chunked
  bool has_range = false;
  std::int64_t first = -1, last = -1;  // bytes; first -1: the last `last` ones; last -1: to the end
  bool if_absent = false;              // If-None-Match: *
  bool if_present = false;             // If-Match: *
  std::uint64_t if_stamp = 0;          // If-Match: "stamp"
  std::int64_t patience = 0;           // microseconds that the client waits; 0: not told
};

class Session;

class Service {
 public:
  virtual ~Service() = default;
  virtual void asked(Session& session, const Ask& ask) = 0;
  virtual void body(Session& session, std::string_view bytes) = 0;
  virtual void body_done(Session& session) = 0;
  virtual void room(Session& session) = 0;  // more of an answer may be sent
  virtual void left(Session& session) = 0;  // the client hung up while its exchange was open
};

struct Provision {
  int most_clients = 10000;
  std::size_t most_header = 16384;
  std::int64_t idle = 60'000'000, header_within = 10'000'000;
};

class Door;

class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(asio::ip::tcp::socket socket, Door& door);
  void start() { read(); }

  // An answer is begun once, gets as many bytes as told, and is ended. headers: whole lines, each with CRLF.
  void begin_answer(int status, std::string_view headers, std::uint64_t length);
  void send(std::string_view bytes) { out_ += bytes; }
  void end_answer();
  void answer(int status, std::string_view headers, std::string_view body);
  void cut();  // breaks the connection: an answer begun can't be finished
  void hold_body(bool held);
  void close_after();  // no further exchange on this connection
  bool full() const;   // enough waits to be sent
  void flush();
  bool open() const { return open_; }
  bool answering() const { return begun_; }
  int exchange = -1;  // for the service

 private:
  friend class Door;
  struct Callbacks;
  void read();
  void parse();
  void broken();
  void refuse(int status, std::string_view why);
  void asked();
  bool take_header();
  bool take_target(std::string_view target);
  void maybe_next();
  void more_room();

  asio::ip::tcp::socket socket_;
  Door& door_;
  http_parser parser_;
  std::string in_, out_, target_, name_, value_;
  std::size_t written_ = 0;
  Ask ask_;
  std::string refusal_;
  int refusal_status_ = 0;
  std::int64_t since_ = 0, heard_ = 0;
  bool open_ = true, reading_ = false, busy_ = false, exchange_open_ = false, message_done_ = false;
  bool begun_ = false, ended_ = false, held_ = false, closing_ = false, in_value_ = false, idle_ = true;
  bool wants_room_ = false, parsing_ = false, expects_ = false, shut_ = false;
};

class Door {
 public:
  Door(asio::io_context& io, const std::string& address, std::uint16_t port, Provision given,
       Service& service);
  ~Door();
  std::uint16_t port() const { return listener_.port(); }
  void stop_listening() { listener_.close(); }
  void close_idle();
  void flush();                  // once a turn
  void sweep(std::int64_t now);  // once a second: idle connections, headers that don't come
  void provide(Provision given) { given_ = given; }
  std::size_t clients() const { return sessions_.size(); }
  std::uint64_t turned_back() const { return turned_back_; }

 private:
  friend class Session;
  Provision given_;
  Service& service_;
  std::vector<char> chunk_ = std::vector<char>(32 << 10);  // for whichever connection is being read
  std::vector<std::shared_ptr<Session>> sessions_, dirty_, flushing_;
  std::uint64_t turned_back_ = 0;
  net::Listener listener_;
};

// "/volume/object": decoded; false where it is not such a path. Refuses dot segments, empty ones, control
// bytes.
bool split_path(std::string_view target, std::string& path, std::string& volume, std::string& object);
// "bytes=a-b", "bytes=a-", "bytes=-n"; one range only.
bool parse_range(std::string_view text, std::int64_t& first, std::int64_t& last);

}  // namespace yewmount::door
