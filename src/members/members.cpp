#include "members/members.h"

#include <charconv>

#include "base/base.h"

namespace yewmount::members {
namespace {

using nlohmann::json;
using provision::BadInput;
using provision::get;
using provision::get_or;

constexpr Micros kHold = 2'000'000;  // a watch waits so long for news
// Older lists for longer are believed. Together with a silent call before, it stays under the four seconds
// after which a change counts as told where the service has moved.
constexpr Micros kBehind = 2'000'000;
constexpr std::size_t kMostBody = 4 << 20;
// What a node's entry may hold: cells index a table, weights are summed, starts are Unix times before 2100.
constexpr double kMostCell = 1 << 16, kMostWeight = 1e6, kLatestStart = 4.1e12;
constexpr Micros kNotice = 5'000'000;  // that the service may need to notice a start
constexpr Micros kClockSkew = 50'000;  // between the clock's readings of two moments

}  // namespace

asio::ip::tcp::endpoint endpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  std::error_code error;
  const auto address = asio::ip::make_address(text.substr(0, colon == std::string::npos ? 0 : colon), error);
  unsigned port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, wrong] =
      std::from_chars(text.data() + (colon == std::string::npos ? text.size() : colon + 1), end, port);
  if (error || wrong != std::errc() || stop != end || port < 1 || port > 65535)
    throw BadInput("'" + text + "' is not an address with a port");
  return {address, static_cast<std::uint16_t>(port)};
}

namespace {

// A figure of a node, or BadInput with the bounds that it breaks.
double bounded(const json& entry, const char* name, double otherwise, double least, double most) {
  const double value = get_or<double>(entry, name, otherwise);
  if (value >= least && value <= most) return value;
  throw BadInput(std::string("field '") + name + "' is not within " + std::to_string(least) + " to " +
                 std::to_string(most));
}

}  // namespace

// One connection to the service: an HTTP answer cut out of the bytes.
class Members::Call : public net::Stream {
 public:
  Call(asio::ip::tcp::socket socket, Members& owner) : Stream(std::move(socket)), owner_(owner) {
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
  }

 private:
  static const http_parser_settings* settings() {
    static const http_parser_settings all = [] {
      http_parser_settings s;
      http_parser_settings_init(&s);
      s.on_body = [](http_parser* p, const char* at, size_t length) {
        Call& call = *static_cast<Call*>(p->data);
        call.body_.append(at, length);
        return call.body_.size() > kMostBody ? 1 : 0;
      };
      s.on_message_complete = [](http_parser* p) {
        Call& call = *static_cast<Call*>(p->data);
        if (p->status_code / 100 == 1) return 0;  // goes ahead of the answer
        call.done_ = true;
        call.good_ = p->status_code == 200;
        call.keep_ = http_should_keep_alive(p) != 0;
        http_parser_pause(p, 1);
        return 0;
      };
      return s;
    }();
    return &all;
  }

  std::span<char> read_buffer() override { return net::shared_read_buffer(); }
  void on_read(std::size_t bytes) override { read(net::shared_read_buffer().data(), bytes, "cut short"); }

  // The end of a body that tells no length is the connection's; a reset is no end.
  void on_error(const std::error_code& why) override {
    if (why == asio::error::eof) return read("", 0, "closed before the answer's end");
    owner_.failed(why.message());
  }

  void read(const char* bytes, std::size_t size, const char* otherwise) {
    owner_.heard_ = monotonic_now();
    const std::size_t used = http_parser_execute(&parser_, settings(), bytes, size);
    const http_errno error = HTTP_PARSER_ERRNO(&parser_);
    if (!done_) {
      if (error != HPE_OK) return owner_.failed(http_errno_description(error));
      if (size == 0) owner_.failed(otherwise);
      return;
    }
    http_parser_pause(&parser_, 0);
    const bool useful = open() && used == size && keep_;  // what lies behind the answer belongs to no call
    done_ = false;
    owner_.answered(std::exchange(body_, {}), good_, useful);
  }

  Members& owner_;
  http_parser parser_;
  std::string body_;
  bool done_ = false, good_ = false, keep_ = false;
};

Members::Members(asio::io_context& io, bool asked, std::uint64_t seed, Told& told)
    : io_(io), told_(told), policy_(asked, seed), offset_at_start_(wall_now() - monotonic_now()) {}

Members::~Members() {
  *alive_ = false;
  if (call_) call_->close();
}

void Members::know(const json& list) { take(ListKind::cached, list); }

// All of it is read before any of it counts: half a list is none.
void Members::take(ListKind kind, const json& list) {
  struct Read {
    std::string name;
    Known known;
  };
  std::vector<Read> read;
  for (const json& e : provision::require_typed(list, "servers", json::value_t::array)) {
    if (!e.is_object()) throw BadInput("a node is an object");
    Read r{get<std::string>(e, "id"), {}};
    const std::string state = get<std::string>(e, "state");
    r.known.state = provision::parse_enum(
        state,
        {std::pair{"Ready", NodeState::ready}, std::pair{"Terminating", NodeState::draining},
         std::pair{"Gone", NodeState::gone}},
        "state");
    if (r.known.state != NodeState::gone) r.known.at = endpoint(get<std::string>(e, "addr"));
    r.known.zone = get_or<std::string>(e, "zone", "");
    r.known.shard = static_cast<int>(bounded(e, "cell", -1, -1, kMostCell));
    r.known.share = bounded(e, "weight", 1, 0, kMostWeight);
    r.known.started = static_cast<Micros>(bounded(e, "started_ms", 0, 0, kLatestStart)) * 1000;
    read.push_back(std::move(r));
  }
  const std::int64_t version = get<std::int64_t>(list, "version");
  // Guards against a service that has fallen behind: the newer list stands. One that stays behind has begun
  // its count anew.
  if (kind != ListKind::cached && version < version_) {
    const Micros now = monotonic_now();
    if (older_since_ == 0) older_since_ = now;
    if (kind == ListKind::delta || now - older_since_ < kBehind)
      throw BadInput("older than the list that stands");
  }
  older_since_ = 0;
  version_ = version;
  if (kind != ListKind::delta)
    for (Known& n : nodes_) n.state = NodeState::gone;
  const Micros now = monotonic_now();
  std::vector<NodeEntry> entries;
  for (Read& r : read) {
    const int at = nodes_.index_of(r.name);
    Known& n = nodes_[at];
    const Micros since = up_since(n, r.known.started, now);
    n = std::move(r.known);
    n.name = std::move(r.name);
    n.used = true;
    n.up_since = since;
    entries.push_back(nodes_.entry(at));
  }
  if (kind != ListKind::cached) listed_at_ = now;
  told_.on_membership(kind, entries);
}

// A start is told by the wall clock, which may be stepped: here or on all machines, before this process began
// or since. What runs on is the monotonic clock. A start seen for the first time lies between the list
// before, less what the service needs to notice it, and now; of the readings that fall there the latest
// counts, and where none does, now: a node taken for colder than it is loses a little, one taken for warm is
// run over. The first list has nothing before it: there only a start in the future shows that the clock is
// wrong.
Micros Members::up_since(const Known& before, Micros started, Micros now) const {
  if (started <= 0) return 0;
  if (before.started == started) return before.up_since;
  const Micros earliest = listed_at_ > 0 ? std::max<Micros>(1, listed_at_ - kNotice) : 1;
  Micros latest = 0;
  for (const Micros offset : {offset_at_start_, wall_now() - now}) {
    const Micros reading = started - offset;
    if (listed_at_ == 0 && reading < earliest) return 1;  // long ago
    if (reading >= earliest && reading <= now + kClockSkew) latest = std::max(latest, std::min(reading, now));
  }
  return latest > 0 ? latest : now;
}

void Members::follow(const asio::ip::tcp::endpoint& at) {
  if (following_ && at == at_) return;
  // The list that this process was handed is one that the service had: what has changed since is shorter, and
  // where a fleet starts at one moment, the service's capacity is what the last head waits for.
  ask_ = !following_ && version_ >= 0 && policy_.names_version() ? Ask::changes : Ask::whole;
  at_ = at;
  following_ = true;
  again_at_ = 0;
  policy_.answered();
  hang_up();
  call();
}

void Members::hang_up() {
  if (call_) call_->close();
  call_.reset();
  socket_.reset();
  waiting_ = false;
}

void Members::call() {
  called_ = monotonic_now();
  heard_ = 0;
  if (call_) {
    waiting_ = true;
    call_->out() += "GET /catalog/members";
    if (ask_ != Ask::whole) {
      const Micros hold = ask_ == Ask::watch ? kHold : 0;
      call_->out() += "?from=" + std::to_string(version_);
      call_->out() += "&hold_ms=" + std::to_string(hold / 1000);
    }
    call_->out() += " HTTP/1.1\r\nHost: members\r\n\r\n";
    call_->flush();
    return;
  }
  socket_ = std::make_shared<asio::ip::tcp::socket>(io_);
  socket_->async_connect(at_, [this, socket = socket_, alive = alive_](std::error_code error) {
    if (!*alive || socket_ != socket) return;
    socket_.reset();
    if (error) return failed(error.message());
    call_ = std::make_shared<Call>(std::move(*socket), *this);
    call_->start();
    call();
  });
}

void Members::failed(const std::string& why, bool version_sure) {
  ++failures_;
  logs::debug("list of nodes away", {{"why", why}});
  hang_up();
  // What came meanwhile is asked for at once, without a wait. The version that stands may be none that the
  // service had: then its answer says so, or it is asked for the whole list.
  ask_ = ask_ != Ask::whole && version_sure && policy_.names_version() ? Ask::changes : Ask::whole;
  again_at_ = monotonic_now() + policy_.wait_after_failure();
  told_.on_membership(ListKind::failed, {});
}

void Members::answered(const std::string& body, bool good, bool useful) {
  waiting_ = false;
  if (!useful) hang_up();
  try {
    if (!good) throw BadInput("not the answer looked for");
    const json list = json::parse(body);
    if (!list.is_object()) throw BadInput("a list is an object");
    const bool full = get<bool>(list, "full");
    if (ask_ == Ask::whole && !full) throw BadInput("changes where the whole list was asked for");
    take(full ? ListKind::full : ListKind::delta, list);
    ask_ = Ask::watch;
    policy_.answered();
  } catch (const std::exception& e) {
    return failed(e.what(), !good);
  }
  call();
}

// Guards against calls that are never answered, on connections that lead nowhere or to a service that is
// down.
void Members::check(Micros now) {
  if (!following_) return;
  if (again_at_ > 0 && now >= again_at_) {
    again_at_ = 0;
    return call();
  }
  if (again_at_ > 0) return;
  const bool continued = waiting_ && ask_ == Ask::watch;
  const Micros due = called_ + (continued ? kHold : 0);
  const Micros within = heard_ > due ? policy_.part_within() : policy_.answer_within(continued);
  if (now - std::max(due, heard_) > within || now - due > policy_.whole_within(continued))
    failed("no answer in time");
}

void Members::tidy() {
  nodes_.release_gone([&](int node) { return told_.may_reuse(node); });
}

}  // namespace yewmount::members
