#include "door/session.h"

#include <algorithm>
#include <charconv>
#include <cstring>
#include <utility>

#include "base/base.h"

namespace yewmount::door {
namespace {

constexpr std::size_t kReadAhead = 64 << 10;  // kept unparsed while an exchange is open
constexpr std::size_t kWriteAhead = 1 << 20;  // sent ahead of a slow client
constexpr std::size_t kNameBytes = 1000;      // of a volume and object together

std::string_view trim(std::string_view s) {
  while (!s.empty() && (s.front() == ' ' || s.front() == '\t')) s.remove_prefix(1);
  while (!s.empty() && (s.back() == ' ' || s.back() == '\t')) s.remove_suffix(1);
  return s;
}

bool same(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

template <class T>
bool number(std::string_view s, T& v) {
  const auto [end, error] = std::from_chars(s.data(), s.data() + s.size(), v);
  return error == std::errc() && end == s.data() + s.size() && !s.empty();
}

int hex(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

std::string_view reason(int status) {
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
      const int high = hex(target[i + 1]), low = hex(target[i + 2]);
      if (high < 0 || low < 0) return false;
      c = static_cast<char>(high << 4 | low);
      if (c == '/') return false;  // an encoded slash would change what the path means
      i += 2;
    }
    if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) return false;
    path += c;
  }
  if (path.size() > kNameBytes) return false;
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
  const std::string_view from = text.substr(0, dash), to = text.substr(dash + 1);
  if (from.empty()) return number(to, last) && last >= 0;
  if (!number(from, first) || first < 0) return false;
  return to.empty() || (number(to, last) && last >= first);
}

struct Session::Callbacks {
  static Session& of(http_parser* p) { return *static_cast<Session*>(p->data); }
  static int begin(http_parser* p) {
    Session& s = of(p);
    s.ask_ = Ask{};
    s.target_.clear(), s.name_.clear(), s.value_.clear();
    s.in_value_ = false, s.expects_ = false;
    s.refusal_status_ = 0;
    s.idle_ = false;
    s.since_ = monotonic_now();
    return 0;
  }
  static int url(http_parser* p, const char* at, std::size_t size) {
    of(p).target_.append(at, size);
    return 0;
  }
  static int field(http_parser* p, const char* at, std::size_t size) {
    Session& s = of(p);
    if (s.in_value_ && !s.take_header()) return 1;
    s.in_value_ = false;
    s.name_.append(at, size);
    return 0;
  }
  static int value(http_parser* p, const char* at, std::size_t size) {
    Session& s = of(p);
    s.in_value_ = true;
    s.value_.append(at, size);
    return 0;
  }
  static int headers(http_parser* p) {
    Session& s = of(p);
    if (s.in_value_ && !s.take_header()) return 1;
    s.asked();
    return 0;
  }
  static int body(http_parser* p, const char* at, std::size_t size) {
    Session& s = of(p);
    if (s.exchange_open_ && !s.begun_ && s.open_) s.door_.service_.body(s, {at, size});
    return 0;
  }
  static int done(http_parser* p) {
    Session& s = of(p);
    s.message_done_ = true;
    http_parser_pause(p, 1);
    if (s.exchange_open_ && !s.begun_ && s.open_) s.door_.service_.body_done(s);
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

Session::Session(asio::ip::tcp::socket socket, Door& door)
    : socket_(std::move(socket)), door_(door), since_(monotonic_now()) {
  http_parser_init(&parser_, HTTP_REQUEST);
  parser_.data = this;
  std::error_code ignored;
  socket_.non_blocking(true, ignored);
  socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
}

bool Session::take_header() {
  const std::string_view value = trim(value_);
  if (same(name_, "range")) {
    // A range of another unit or form may be ignored (RFC 7233, 3.1); the whole is sent then.
    ask_.has_range = parse_range(value, ask_.first, ask_.last);
  } else if (same(name_, "if-none-match")) {
    if (value != "*") refusal_status_ = 400, refusal_ = "If-None-Match takes only * here";
    ask_.if_absent = true;
  } else if (same(name_, "if-match")) {
    if (value == "*")
      ask_.if_present = true;
    else if (value.size() < 3 || value.front() != '"' || value.back() != '"' ||
             !number(value.substr(1, value.size() - 2), ask_.if_stamp) || ask_.if_stamp == 0)
      refusal_status_ = 412, refusal_ = "If-Match names no version known here";
  } else if (same(name_, "yewmount-patience-ms")) {
    std::int64_t ms = 0;
    if (!number(value, ms) || ms < 1 || ms > 86'400'000)
      refusal_status_ = 400, refusal_ = "Yewmount-Patience-Ms is no number of milliseconds";
    ask_.patience = ms * 1000;
  } else if (same(name_, "expect")) {
    if (!same(value, "100-continue")) refusal_status_ = 417, refusal_ = "only 100-continue is expected here";
    expects_ = true;
  }
  name_.clear();
  value_.clear();
  return true;
}

void Session::asked() {
  static constexpr std::pair<unsigned, Method> methods[] = {{HTTP_GET, Method::get},
                                                            {HTTP_HEAD, Method::head},
                                                            {HTTP_PUT, Method::put},
                                                            {HTTP_DELETE, Method::drop}};
  for (const auto& [code, method] : methods)
    if (parser_.method == code) ask_.method = method;
  exchange_open_ = true;
  begun_ = ended_ = message_done_ = held_ = wants_room_ = false;
  ask_.length = parser_.flags & F_CHUNKED              ? -1
                : parser_.content_length == UINT64_MAX ? 0
                                                       : static_cast<std::int64_t>(parser_.content_length);
  if (!http_should_keep_alive(&parser_)) closing_ = true;
  if (refusal_status_ == 0 && ask_.method == Method::put && ask_.length == 0 &&
      parser_.content_length == UINT64_MAX)
    refusal_status_ = 411, refusal_ = "a body needs its length, or to be chunked";
  if (refusal_status_ == 0 && parser_.upgrade) refusal_status_ = 400, refusal_ = "no upgrade is spoken here";
  if (refusal_status_ == 0 && ask_.method == Method::other)
    refusal_status_ = 405, refusal_ = "GET, HEAD, PUT and DELETE are spoken here";
  if (refusal_status_ == 0 && !split_path(target_, ask_.path, ask_.volume, ask_.object))
    refusal_status_ = 400, refusal_ = "the path names no volume and object";
  if (refusal_status_ != 0) return refuse(refusal_status_, refusal_);
  door_.service_.asked(*this, ask_);
  if (expects_ && !begun_ && open_) out_ += "HTTP/1.1 100 Continue\r\n\r\n";
}

void Session::refuse(int status, std::string_view why) {
  nlohmann::json body = {{"answer", "not taken"}, {"reason", why}};
  answer(status, "Content-Type: application/json\r\nYewmount-Answer: not-taken\r\n", body.dump() + "\n");
}

void Session::begin_answer(int status, std::string_view headers, std::uint64_t length) {
  if (!exchange_open_ || begun_) return;
  begun_ = true;
  // What is answered before its body has come in whole can't be followed by another on this connection.
  if (!message_done_ && (ask_.length != 0 || ask_.method == Method::put)) closing_ = true;
  out_ += "HTTP/1.1 ";
  out_ += std::to_string(status);
  out_ += ' ';
  out_ += reason(status);
  out_ += "\r\n";
  out_ += headers;
  if (status != 204) {
    out_ += "Content-Length: ";
    out_ += std::to_string(length);
    out_ += "\r\n";
  }
  out_ += closing_ ? "Connection: close\r\n\r\n" : "\r\n";
  door_.dirty_.push_back(shared_from_this());
}

void Session::end_answer() {
  ended_ = true;
  maybe_next();
}

void Session::answer(int status, std::string_view headers, std::string_view body) {
  begin_answer(status, headers, body.size());
  if (ask_.method != Method::head) send(body);
  end_answer();
}

void Session::close_after() { closing_ = true; }

bool Session::full() const { return out_.size() - written_ >= kWriteAhead; }

void Session::hold_body(bool held) {
  held_ = held;
  if (!held) {
    // Not from within the service's own call: what comes next would reach it in the middle of a step.
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      self->parse();
      self->read();
    });
  }
}

void Session::maybe_next() {
  if (!exchange_open_ || !ended_) return;
  door_.dirty_.push_back(shared_from_this());
  if (closing_) return;
  if (!message_done_) return;
  exchange_open_ = false;
  held_ = false;  // a body held back in its last part must not hold back the next exchange
  idle_ = true;
  since_ = monotonic_now();
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    self->parse();
    self->read();
  });
}

void Session::parse() {
  if (parsing_) return;
  parsing_ = true;
  const auto self = shared_from_this();
  while (open_ && !in_.empty() && !held_ && !closing_) {
    if (exchange_open_ && message_done_) break;
    http_parser_pause(&parser_, 0);
    const std::size_t used = http_parser_execute(&parser_, &Callbacks::all(), in_.data(), in_.size());
    const auto error = HTTP_PARSER_ERRNO(&parser_);
    in_.erase(0, used);
    if (error == HPE_PAUSED || (error == HPE_OK && !parser_.upgrade)) {
      if (ended_ && message_done_ && exchange_open_) maybe_next();
      continue;
    }
    if (error == HPE_OK) break;  // an upgrade, refused already
    if (!exchange_open_ || !begun_) {
      exchange_open_ = true, begun_ = false;
      closing_ = true;
      const int status = error == HPE_HEADER_OVERFLOW ? 431 : 400;
      if (exchange >= 0) door_.service_.left(*this);
      refuse(status, http_errno_description(error));
    }
    closing_ = true;
    in_.clear();
  }
  parsing_ = false;
}

// Waits for bytes without a buffer of its own: ten thousand idle connections must stay cheap.
void Session::read() {
  if (!open_ || reading_ || in_.size() >= kReadAhead) return;
  reading_ = true;
  socket_.async_wait(asio::socket_base::wait_read, [self = shared_from_this()](std::error_code error) {
    self->reading_ = false;
    if (!self->open_) return;
    std::vector<char>& chunk = self->door_.chunk_;
    const std::size_t bytes = error ? 0 : self->socket_.read_some(asio::buffer(chunk), error);
    if (error == asio::error::would_block) return self->read();
    if (error) return self->broken();
    self->heard_ = monotonic_now();
    if (!self->closing_ || self->exchange_open_) self->in_.append(chunk.data(), bytes);
    self->parse();
    // What comes after a refusal is read and dropped, so that the refusal arrives.
    if (self->closing_) self->in_.clear();
    self->read();
  });
}

// Written at once as far as the socket takes it; only a slow client's answer waits for the loop.
void Session::flush() {
  if (!open_ || busy_) return;
  while (written_ < out_.size()) {
    std::error_code error;
    written_ += socket_.write_some(asio::buffer(out_.data() + written_, out_.size() - written_), error);
    if (error == asio::error::would_block) {
      busy_ = true;
      if (written_ > kReadAhead) out_.erase(0, written_), written_ = 0;
      socket_.async_wait(asio::socket_base::wait_write, [self = shared_from_this()](std::error_code failed) {
        self->busy_ = false;
        if (!self->open_) return;
        if (failed) return self->broken();
        self->flush();
      });
      if (!full()) more_room();
      return;
    }
    if (error) {
      asio::post(socket_.get_executor(), [self = shared_from_this()] { self->broken(); });
      return;
    }
  }
  out_.clear();
  written_ = 0;
  if (begun_ && !ended_) return more_room();
  // Half closed first: with bytes of the client still unread, a full close would take the answer back.
  if (closing_ && ended_ && !std::exchange(shut_, true)) {
    std::error_code ignored;
    socket_.shutdown(asio::socket_base::shutdown_send, ignored);
    since_ = monotonic_now();
  }
}

// Told on a turn of its own: the service may take a block I/O on it.
void Session::more_room() {
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    if (self->open_ && self->begun_ && !self->ended_ && !self->full()) self->door_.service_.room(*self);
  });
}

void Session::broken() {
  if (!open_) return;
  const auto self = shared_from_this();
  open_ = false;
  std::error_code ignored;
  socket_.shutdown(asio::socket_base::shutdown_both, ignored);
  socket_.close(ignored);
  if (exchange >= 0) door_.service_.left(*this);
  std::erase_if(door_.sessions_, [&](const auto& s) { return s.get() == this; });
}

void Session::cut() { broken(); }

Door::Door(asio::io_context& io, const std::string& address, std::uint16_t port, Provision given,
           Service& service)
    : given_(given), service_(service), listener_(io, address, port, [this](asio::ip::tcp::socket s) {
        if (static_cast<int>(sessions_.size()) >= given_.most_clients) {
          ++turned_back_;
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
  http_parser_set_max_header_size(static_cast<std::uint32_t>(given.most_header));
}

Door::~Door() {
  for (const auto& s : sessions_) {
    s->open_ = false;
    std::error_code ignored;
    s->socket_.close(ignored);
  }
}

void Door::flush() {
  flushing_.swap(dirty_);
  for (const auto& s : flushing_) s->flush();
  flushing_.clear();
}

void Door::close_idle() {
  const auto all = sessions_;
  for (const auto& s : all)
    if (s->idle_) s->broken();
}

void Door::sweep(std::int64_t now) {
  const auto all = sessions_;
  for (const auto& s : all) {
    const bool heading = !s->idle_ && !s->exchange_open_;
    // A body that stopped coming holds memory for nobody; one that trickles is bounded by what is kept of it.
    const bool stuck = s->exchange_open_ && !s->message_done_ && !s->held_ && now - s->heard_ > given_.idle;
    const bool closed = s->closing_ && s->ended_ && s->shut_ && now - s->since_ > 1'000'000;
    if ((s->idle_ && now - s->since_ > given_.idle) || (heading && now - s->since_ > given_.header_within) ||
        closed || stuck)
      s->broken();
  }
}

}  // namespace yewmount::door
