// HTTP/1.1 server: owns the client connections, parses requests and writes answers. What to answer is decided
// by a RequestHandler. A connection serves one request at a time; meanwhile it is watched for the client's
// disconnect.
#pragma once
#include <http_parser.h>

#include <asio.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "net/link.h"

namespace yewmount::http_server {

enum class Method : std::uint8_t { get, head, put, remove, other };

// A request whose headers have arrived.
struct Request {
  Method method = Method::other;
  std::string volume;
  std::string object;
  std::string path;          // the whole path, decoded; for the head's own pages
  std::int64_t length = -1;  // of the body in bytes; -1: chunked
  bool has_range = false;
  std::int64_t first = -1;          // byte of the range; -1: the range is the last `last` bytes
  std::int64_t last = -1;           // byte of the range; -1: the range extends to the end
  bool if_absent = false;           // If-None-Match: *
  bool if_present = false;          // If-Match: *
  std::uint64_t if_stamp = 0;       // If-Match: "stamp"
  std::int64_t client_timeout = 0;  // microseconds that the client waits; 0: not specified
};

class Session;

// Handles the requests of all sessions.
class RequestHandler {
 public:
  virtual ~RequestHandler() = default;
  virtual void on_request(Session& session, const Request& request) = 0;
  virtual void on_body(Session& session, std::string_view bytes) = 0;
  virtual void on_body_end(Session& session) = 0;
  virtual void on_writable(Session& session) = 0;    // the output buffer has room for more of the answer
  virtual void on_disconnect(Session& session) = 0;  // the client disconnected during its request
};

// Limits of the server.
struct ServerSettings {
  int max_clients = 10000;
  std::size_t max_header_bytes = 16384;
  std::int64_t idle_timeout = 60'000'000;    // microseconds
  std::int64_t header_timeout = 10'000'000;  // microseconds
};

class Server;

// A client connection.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(asio::ip::tcp::socket socket, Server& server);
  void start() { read(); }

  // Begins an answer with a body of `length` bytes, which follow by send(); end_answer() completes it.
  // headers: complete lines, each ending in CRLF.
  void begin_answer(int status, std::string_view headers, std::uint64_t length);
  void send(std::string_view bytes) { out_ += bytes; }
  void end_answer();
  // Sends a whole answer.
  void answer(int status, std::string_view headers, std::string_view body);
  // Closes the connection at once; for an answer that can't be completed.
  void abort();
  // Pauses or resumes the delivery of the request's body.
  void pause_body(bool paused);
  void close_after_answer();
  bool is_send_buffer_full() const;
  void flush();
  bool is_open() const { return open_; }
  bool has_begun_answer() const { return answer_begun_; }
  int exchange = -1;  // set and read by the handler; its on_disconnect() is called unless negative

 private:
  friend class Server;
  struct Callbacks;
  void read();
  void parse();
  void close();
  void refuse(int status, std::string_view why);
  void handle_headers();
  bool apply_header();
  bool apply_target(std::string_view target);
  void finish_exchange();
  void notify_writable();

  asio::ip::tcp::socket socket_;
  Server& server_;
  http_parser parser_;
  std::string in_, out_, target_, header_name_, header_value_;
  std::size_t written_ = 0;  // bytes of out_ that the socket has accepted
  Request request_;
  std::string refusal_;
  int refusal_status_ = 0;         // 0: the request is not refused
  std::int64_t phase_since_ = 0;   // when the connection became idle, a request began or sending ended
  std::int64_t last_read_at_ = 0;  // when bytes last arrived
  bool open_ = true;
  bool read_pending_ = false;
  bool write_pending_ = false;
  bool exchange_open_ = false;  // from the end of a request's headers to the end of the exchange
  bool message_done_ = false;   // the request has been parsed whole
  bool answer_begun_ = false;
  bool answer_ended_ = false;
  bool body_paused_ = false;
  bool closing_ = false;  // no further request is served
  bool in_header_value_ = false;
  bool idle_ = true;  // between requests
  bool wants_output_space_ = false;
  bool parsing_ = false;
  bool expects_continue_ = false;
  bool send_shut_down_ = false;
};

// Accepts client connections and owns their sessions.
class Server {
 public:
  Server(asio::io_context& io, const std::string& address, std::uint16_t port, ServerSettings settings,
         RequestHandler& handler);
  ~Server();
  std::uint16_t port() const { return listener_.port(); }
  void stop_listening() { listener_.close(); }
  void close_idle();
  void flush();                            // to be called in each iteration of the event loop
  void close_timed_out(std::int64_t now);  // to be called once a second
  void update_settings(ServerSettings settings) { settings_ = settings; }
  std::size_t clients() const { return sessions_.size(); }
  std::uint64_t rejected_connections() const { return rejected_connections_; }  // beyond max_clients

 private:
  friend class Session;
  ServerSettings settings_;
  RequestHandler& handler_;
  std::vector<char> read_buffer_ = std::vector<char>(32 << 10);  // shared by all sessions
  std::vector<std::shared_ptr<Session>> sessions_, unflushed_, flushing_;
  std::uint64_t rejected_connections_ = 0;
  net::Listener listener_;
};

// Decodes "/volume/object". Returns false if the target is not such a path: it has empty or dot segments, an
// encoded slash, control characters, a query or a fragment, or is too long.
bool split_path(std::string_view target, std::string& path, std::string& volume, std::string& object);
// Parses "bytes=a-b", "bytes=a-" or "bytes=-n". Returns false for other forms and for several ranges.
bool parse_range(std::string_view text, std::int64_t& first, std::int64_t& last);

}  // namespace yewmount::http_server
