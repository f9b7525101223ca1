#include "http_server/http_server.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <utility>

#include "base/base.h"
#include "base/buffer.h"

namespace yewmount::http_server {
namespace {

constexpr std::size_t kMaxUnparsedBytes = 64 << 10;  // buffered input of a connection
constexpr std::size_t kMaxUnsentBytes = 1 << 20;  // buffered output of a connection, before the handler waits
constexpr std::size_t kMaxPathBytes = 1000;       // of the decoded path: volume and object
constexpr std::int64_t kMaxClientTimeoutMs = 86'400'000;
constexpr std::int64_t kHalfCloseTimeoutUs = 1'000'000;  // for the client to close its side

std::string_view trim(std::string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.remove_suffix(1);
  return s;
}

bool equals_ignoring_case(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

template <class T>
bool parse_number(std::string_view text, T& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() && !text.empty();
}

int hex_digit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

std::string_view reason_phrase(int status) {
  switch (status) {
#define YEWMOUNT_STATUS(number, name, text) \
  case number:                              \
    return #text;
    HTTP_STATUS_MAP(YEWMOUNT_STATUS)
#undef YEWMOUNT_STATUS
    default:
      return "Unknown";
  }
}

}  // namespace

bool split_path(std::string_view target, std::string& path, std::string& volume, std::string& object) {
  path.clear();
  if (target.empty() || target[0] != '/') return false;
  for (std::size_t i = 0; i < target.size(); ++i) {
    char c = target[i];
    if (c == '?' || c == '#') return false;
    if (c == '%') {
      if (i + 2 >= target.size()) return false;
      const int high = hex_digit(target[i + 1]);
      const int low = hex_digit(target[i + 2]);
      if (high < 0 || low < 0) return false;
      c = static_cast<char>(high << 4 | low);
      if (c == '/') return false;  // it would be mistaken for a separator
      i += 2;
    }
    if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) return false;
    path += c;
  }
  if (path.size() > kMaxPathBytes) return false;
  for (std::size_t at = 0; at < path.size();) {
    const std::size_t end = std::min(path.find('/', at + 1), path.size());
    const std::string_view part = std::string_view(path).substr(at + 1, end - at - 1);
    if (part.empty() || part == "." || part == "..") return false;
    at = end;
  }
  const std::size_t slash = path.find('/', 1);
  volume = path.substr(1, slash == std::string::npos ? slash : slash - 1);
  object = slash == std::string::npos ? "" : path.substr(slash + 1);
  return true;
}

bool parse_range(std::string_view text, std::int64_t& first, std::int64_t& last) {
  first = last = -1;
  if (!text.starts_with("bytes=")) return false;
  text = trim(text.substr(6));
  const std::size_t dash = text.find('-');
  if (dash == std::string_view::npos || text.find(',') != std::string_view::npos) return false;
  const std::string_view from = text.substr(0, dash);
  const std::string_view to = text.substr(dash + 1);
  if (from.empty()) return parse_number(to, last) && last >= 0;
  if (!parse_number(from, first) || first < 0) return false;
  return to.empty() || (parse_number(to, last) && last >= first);
}

struct Session::Callbacks {
  static Session& session_of(http_parser* p) { return *static_cast<Session*>(p->data); }
  static int begin(http_parser* p) {
    Session& s = session_of(p);
    s.request_ = Request{};
    s.target_.clear();
    s.header_name_.clear();
    s.header_value_.clear();
    s.in_header_value_ = false;
    s.expects_continue_ = false;
    s.refusal_status_ = 0;
    s.idle_ = false;
    s.phase_since_ = monotonic_now();
    return 0;
  }
  static int url(http_parser* p, const char* at, std::size_t size) {
    session_of(p).target_.append(at, size);
    return 0;
  }
  static int field(http_parser* p, const char* at, std::size_t size) {
    Session& s = session_of(p);
    if (s.in_header_value_ && !s.apply_header()) return 1;
    s.in_header_value_ = false;
    s.header_name_.append(at, size);
    return 0;
  }
  static int value(http_parser* p, const char* at, std::size_t size) {
    Session& s = session_of(p);
    s.in_header_value_ = true;
    s.header_value_.append(at, size);
    return 0;
  }
  static int headers(http_parser* p) {
    Session& s = session_of(p);
    if (s.in_header_value_ && !s.apply_header()) return 1;
    s.handle_headers();
    return 0;
  }
  static int body(http_parser* p, const char* at, std::size_t size) {
    Session& s = session_of(p);
    if (s.exchange_open_ && !s.answer_begun_ && s.open_) s.server_.handler_.on_body(s, {at, size});
    return 0;
  }
  static int done(http_parser* p) {
    Session& s = session_of(p);
    s.message_done_ = true;
    http_parser_pause(p, 1);
    if (s.exchange_open_ && !s.answer_begun_ && s.open_) s.server_.handler_.on_body_end(s);
    return 0;
  }
  static const http_parser_settings& all() {
    static const http_parser_settings settings = [] {
      http_parser_settings s;
      http_parser_settings_init(&s);
      s.on_message_begin = begin;
      s.on_url = url;
      s.on_header_field = field;
      s.on_header_value = value;
      s.on_headers_complete = headers;
      s.on_body = body;
      s.on_message_complete = done;
      return s;
    }();
    return settings;
  }
};

Session::Session(asio::ip::tcp::socket socket, Server& server)
    : socket_(std::move(socket)), server_(server), phase_since_(monotonic_now()) {
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
  std::error_code ignored;
  socket_.non_blocking(true, ignored);
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

bool Session::apply_header() {
  const std::string_view value = trim(header_value_);
  if (equals_ignoring_case(header_name_, "range")) {
    // A range of another unit or form may be ignored (RFC 7233, 3.1); the whole object is sent then.
    request_.has_range = parse_range(value, request_.first, request_.last);
  } else if (equals_ignoring_case(header_name_, "if-none-match")) {
    if (value != "*") {
      refusal_status_ = 400;
      refusal_ = "If-None-Match supports only *";
    }
    request_.if_absent = true;
  } else if (equals_ignoring_case(header_name_, "if-match")) {
    if (value == "*") {
      request_.if_present = true;
    } else if (value.size() < 3 || value.front() != '"' || value.back() != '"' ||
               !parse_number(value.substr(1, value.size() - 2), request_.if_stamp) ||
               request_.if_stamp == 0) {
      refusal_status_ = 412;
      refusal_ = "If-Match is neither * nor a valid stamp";
    }
  } else if (equals_ignoring_case(header_name_, "yewmount-patience-ms")) {
    std::int64_t ms = 0;
    if (!parse_number(value, ms) || ms < 1 || ms > kMaxClientTimeoutMs) {
      refusal_status_ = 400;
      refusal_ = "Yewmount-Patience-Ms is not a valid number of milliseconds";
    }
    request_.client_timeout = ms * 1000;
  } else if (equals_ignoring_case(header_name_, "expect")) {
    if (!equals_ignoring_case(value, "100-continue")) {
      refusal_status_ = 417;
      refusal_ = "Expect supports only 100-continue";
    }
    expects_continue_ = true;
  }
  header_name_.clear();
  header_value_.clear();
  return true;
}

void Session::handle_headers() {
  static constexpr std::pair<unsigned, Method> methods[] = {{HTTP_GET, Method::get},
                                                            {HTTP_HEAD, Method::head},
                                                            {HTTP_PUT, Method::put},
                                                            {HTTP_DELETE, Method::remove}};
  for (const auto& [code, method] : methods)
    if (parser_.method == code) request_.method = method;
  exchange_open_ = true;
  answer_begun_ = answer_ended_ = message_done_ = body_paused_ = wants_output_space_ = false;
  request_.length = parser_.flags & F_CHUNKED ? -1
                    : parser_.content_length == UINT64_MAX
                        ? 0
                        : static_cast<std::int64_t>(parser_.content_length);
  if (!http_should_keep_alive(&parser_)) closing_ = true;
  if (refusal_status_ == 0 && request_.method == Method::put && request_.length == 0 &&
      parser_.content_length == UINT64_MAX) {
    refusal_status_ = 411;
    refusal_ = "a PUT needs a Content-Length or chunked encoding";
  }
  if (refusal_status_ == 0 && parser_.upgrade) {
    refusal_status_ = 400;
    refusal_ = "protocol upgrades are not supported";
  }
  if (refusal_status_ == 0 && request_.method == Method::other) {
    refusal_status_ = 405;
    refusal_ = "only GET, HEAD, PUT and DELETE are supported";
  }
  if (refusal_status_ == 0 && !split_path(target_, request_.path, request_.volume, request_.object)) {
    refusal_status_ = 400;
    refusal_ = "the path does not name a volume and an object";
  }
  if (refusal_status_ != 0) return refuse(refusal_status_, refusal_);
  server_.handler_.on_request(*this, request_);
  if (expects_continue_ && !answer_begun_ && open_) out_ += "HTTP/1.1 100 Continue\r\n\r\n";
}

void Session::refuse(int status, std::string_view why) {
  nlohmann::json body = {{"answer", "not taken"}, {"reason", why}};
  answer(status, "Content-Type: application/json\r\nYewmount-Answer: not-taken\r\n", body.dump() + "\n");
}

void Session::begin_answer(int status, std::string_view headers, std::uint64_t length) {
  if (!exchange_open_ || answer_begun_) return;
  answer_begun_ = true;
  // If the answer begins before the request's body has arrived whole, the connection can't serve another
  // request.
  if (!message_done_ && (request_.length != 0 || request_.method == Method::put)) closing_ = true;
  out_ += "HTTP/1.1 ";
  out_ += std::to_string(status);
  out_ += ' ';
  out_ += reason_phrase(status);
  out_ += "\r\n";
  out_ += headers;
  if (status != 204) {
    out_ += "Content-Length: ";
    out_ += std::to_string(length);
    out_ += "\r\n";
  }
  out_ += closing_ ? "Connection: close\r\n\r\n" : "\r\n";
  server_.unflushed_.push_back(shared_from_this());
}

void Session::end_answer() {
  answer_ended_ = true;
  finish_exchange();
}

void Session::answer(int status, std::string_view headers, std::string_view body) {
  begin_answer(status, headers, body.size());
  if (request_.method != Method::head) send(body);
  end_answer();
}

void Session::close_after_answer() { closing_ = true; }

bool Session::is_send_buffer_full() const { return out_.size() - written_ >= kMaxUnsentBytes; }

void Session::pause_body(bool paused) {
  body_paused_ = paused;
  if (!paused) {
    // Posted, because the handler makes this call: its callbacks must not run within it.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->parse();
      self->read();
    });
  }
}

void Session::finish_exchange() {
  if (!exchange_open_ || !answer_ended_) return;
  server_.unflushed_.push_back(shared_from_this());
  if (closing_) return;
  if (!message_done_) return;
  exchange_open_ = false;
  body_paused_ = false;  // a pause that outlasts the body must not stop the next request
  idle_ = true;
  phase_since_ = monotonic_now();
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->parse();
    self->read();
  });
}

void Session::parse() {
  if (parsing_) return;
  parsing_ = true;
  const auto self = shared_from_this();
  while (open_ && !in_.empty() && !body_paused_ && !closing_) {
    if (exchange_open_ && message_done_) break;
    http_parser_pause(&parser_, 0);
    const std::size_t used = http_parser_execute(&parser_, &Callbacks::all(), in_.data(), in_.size());
    const auto error = HTTP_PARSER_ERRNO(&parser_);
    in_.erase(0, used);
    if (error == HPE_PAUSED || (error == HPE_OK && !parser_.upgrade)) {
      if (answer_ended_ && message_done_ && exchange_open_) finish_exchange();
      continue;
    }
    if (error == HPE_OK) break;  // an upgrade, which has been refused
    if (!exchange_open_ || !answer_begun_) {
      exchange_open_ = true;
      answer_begun_ = false;
      closing_ = true;
      const int status = error == HPE_HEADER_OVERFLOW ? 431 : 400;
      if (exchange >= 0) server_.handler_.on_disconnect(*this);
      refuse(status, http_errno_description(error));
    }
    closing_ = true;
    in_.clear();
  }
  parsing_ = false;
  if (in_.empty()) clear_buffer(in_);
}

// Waits until input is available and then reads into the server's shared buffer, so that idle connections, of
// which there may be ten thousand, need no buffer.
void Session::read() {
  if (!open_ || read_pending_ || in_.size() >= kMaxUnparsedBytes) return;
  read_pending_ = true;
  socket_.async_wait(asio::socket_base::wait_read, [self = shared_from_this()](std::error_code error) {
    self->read_pending_ = false;
    if (!self->open_) return;
    std::vector<char>& buffer = self->server_.read_buffer_;
    const std::size_t bytes = error ? 0 : self->socket_.read_some(asio::buffer(buffer), error);
    if (error == asio::error::would_block) return self->read();
    if (error) return self->close();
    self->last_read_at_ = monotonic_now();
    if (!self->closing_ || self->exchange_open_) self->in_.append(buffer.data(), bytes);
    self->parse();
    // Input after a refusal is read and discarded: closing with unread input would reset the connection, and
    // the client could lose the refusal.
    if (self->closing_) clear_buffer(self->in_);
    self->read();
  });
}

// Writes what the socket accepts now; the rest follows when the socket becomes writable.
void Session::flush() {
  if (!open_ || write_pending_) return;
  while (written_ < out_.size()) {
    std::error_code error;
    written_ += socket_.write_some(asio::buffer(out_.data() + written_, out_.size() - written_), error);
    if (error == asio::error::would_block) {
      write_pending_ = true;
      if (written_ > kMaxUnparsedBytes) {
        out_.erase(0, written_);
        written_ = 0;
      }
      socket_.async_wait(asio::socket_base::wait_write, [self = shared_from_this()](std::error_code failed) {
        self->write_pending_ = false;
        if (!self->open_) return;
        if (failed) return self->close();
        self->flush();
      });
      if (!is_send_buffer_full()) notify_writable();
      return;
    }
    if (error) {
      asio::post(socket_.get_executor(), [self = shared_from_this()] { self->close(); });
      return;
    }
  }
  clear_buffer(out_);
  written_ = 0;
  if (answer_begun_ && !answer_ended_) return notify_writable();
  // Only sending is shut down: a full close with unread input would reset the connection, and the client
  // could lose the answer.
  if (closing_ && answer_ended_ && !std::exchange(send_shut_down_, true)) {
    std::error_code ignored;
    socket_.shutdown(asio::socket_base::shutdown_send, ignored);
    phase_since_ = monotonic_now();
  }
}

// Posted, so that the handler, which may start a block I/O, is not called within flush().
void Session::notify_writable() {
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->open_ && self->answer_begun_ && !self->answer_ended_ && !self->is_send_buffer_full())
      self->server_.handler_.on_writable(*self);
  });
}

void Session::close() {
  if (!open_) return;
  const auto self = shared_from_this();
  open_ = false;
  std::error_code ignored;
  socket_.shutdown(asio::socket_base::shutdown_both, ignored);
  socket_.close(ignored);
  if (exchange >= 0) server_.handler_.on_disconnect(*this);
  std::erase_if(server_.sessions_, [&](const auto& s) { return s.get() == this; });
}

void Session::abort() { close(); }

Server::Server(asio::io_context& io, const std::string& address, std::uint16_t port, ServerSettings settings,
               RequestHandler& handler)
    : settings_(settings), handler_(handler), listener_(io, address, port, [this](asio::ip::tcp::socket s) {
        if (static_cast<int>(sessions_.size()) >= settings_.max_clients) {
          ++rejected_connections_;
          std::error_code ignored;
          s.non_blocking(true, ignored);
          static constexpr std::string_view busy =
              "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nYewmount-Answer: not-taken\r\n"
              "Content-Length: 0\r\nConnection: close\r\n\r\n";
          s.write_some(asio::buffer(busy.data(), busy.size()), ignored);
          return;
        }
        sessions_.push_back(std::make_shared<Session>(std::move(s), *this));
        sessions_.back()->start();
      }) {
  http_parser_set_max_header_size(static_cast<std::uint32_t>(settings.max_header_bytes));
}

Server::~Server() {
  for (const auto& s : sessions_) {
    s->open_ = false;
    std::error_code ignored;
    s->socket_.close(ignored);
  }
}

void Server::flush() {
  flushing_.swap(unflushed_);
  for (const auto& s : flushing_) s->flush();
  flushing_.clear();
}

void Server::close_idle() {
  const auto all = sessions_;
  for (const auto& s : all)
    if (s->idle_) s->close();
}

void Server::close_timed_out(std::int64_t now) {
  const auto all = sessions_;
  for (const auto& s : all) {
    const bool reading_headers = !s->idle_ && !s->exchange_open_;
    // A stalled body would hold its memory without end. A slow one needs no limit: the buffered part is
    // bounded.
    const bool body_stalled = s->exchange_open_ && !s->message_done_ && !s->body_paused_ &&
                              now - s->last_read_at_ > settings_.idle_timeout;
    const bool half_close_expired =
        s->closing_ && s->answer_ended_ && s->send_shut_down_ && now - s->phase_since_ > kHalfCloseTimeoutUs;
    if ((s->idle_ && now - s->phase_since_ > settings_.idle_timeout) ||
        (reading_headers && now - s->phase_since_ > settings_.header_timeout) || half_close_expired ||
        body_stalled)
      s->close();
  }
}

}  // namespace yewmount::http_server
