#include "nodes/nodes.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "base/base.h"
#include "net/socket_errors.h"
#include "provision/provision.h"

namespace yewmount::nodes {
namespace {

// Guards against answers that bring more than belongs to them, a second copy right behind, say: what comes
// within this time shows before another submit goes out on the connection and would take it for its own.
constexpr Micros kRest = 10'000;
constexpr Micros kLook = 1'000;  // between looks at what is due
// Of the time after which a node closes an idle connection: a submit that crosses that closing may have run.
constexpr double kIdlePart = 0.6;
constexpr double kMostFigure = 1e9;
constexpr Micros kConnectAgain = 10'000;  // after this machine had no socket, port or route for a connection

}  // namespace

class Nodes::Wire : public net::Stream {
 public:
  Wire(asio::ip::tcp::socket socket, Nodes& owner, int line)
      : Stream(std::move(socket)), owner_(owner), line_(line) {}
  std::string held;  // of an answer that isn't whole yet

 private:
  std::span<char> read_buffer() override { return net::shared_read_buffer(); }
  void on_read(std::size_t bytes) override { owner_.came(line_, {net::shared_read_buffer().data(), bytes}); }
  void on_write_progress() override { owner_.write(line_); }
  void on_error(const std::error_code& why) override {
    owner_.gone(line_, Closed::broken, why.message().c_str());
  }
  Nodes& owner_;
  const int line_;
};

Nodes::Nodes(asio::io_context& io, Provision given, Told& told)
    : io_(io), given_(std::move(given)), told_(told) {}

Nodes::~Nodes() {
  *alive_ = false;
  for (int l : live_lines_)
    if (lines_[l].wire) lines_[l].wire->close();
}

void Nodes::node_at(int node, const std::string& name, const asio::ip::tcp::endpoint& at, Micros start) {
  if (node >= static_cast<int>(peers_.size())) peers_.resize(node + 1);
  Peer& peer = peers_[node];
  const bool restarted = peer.known && peer.start != start, moved = peer.known && peer.at != at;
  peer.name = name, peer.at = at, peer.start = start, peer.known = true;
  if (!restarted && !moved) return;
  // What is out at a former start ends as lost; what is out at a former address may still be answered there.
  for (const int l : std::vector<int>(peer.lines)) {
    if (restarted && lines_[l].wire)
      gone(l, Closed::retired, "the node has restarted");
    else if (lines_[l].out.empty())
      drop(l, Closed::retired);
    else
      lines_[l].retired = true;
  }
}

bool Nodes::busy(int node) const {
  for (int o : live_)
    if (outs_[o].node == node) return true;
  return false;
}

void Nodes::forget(int node) {
  if (node >= static_cast<int>(peers_.size())) return;
  for (const int l : std::vector<int>(peers_[node].lines)) drop(l, Closed::retired);
  peers_[node] = Peer{};
}

// The idle connection that was used last, where it is to be trusted; else a new one.
int Nodes::line_for(int node, Micros now) {
  Peer& peer = peers_[node];
  int best = -1;
  while (true) {
    best = -1;
    for (int l : peer.lines) {
      const Line& line = lines_[l];
      if (!line.wire || line.retired || line.reading || !line.out.empty()) continue;
      if (now - line.answered >= kRest && (best < 0 || line.answered > lines_[best].answered)) best = l;
    }
    if (best < 0) break;
    const bool old = !reuse_.worth(now - lines_[best].answered, now);
    if (!old && !lines_[best].wire->has_unread_input()) return best;
    drop(best, old ? Closed::too_old : Closed::unread);
  }
  if (live_lines_.size() >= given_.connections && !make_room()) {
    for (int l : peer.lines) {
      const Line& line = lines_[l];
      if (line.retired || line.reading || static_cast<int>(line.out.size()) >= given_.streams) continue;
      if (best < 0 || line.out.size() < lines_[best].out.size()) best = l;
    }
    ++(best >= 0 ? counts_.doubled_up : counts_.no_room);
    return best;
  }
  const int at = lines_.allocate();
  live_lines_.insert(at);
  lines_[at].node = node;
  lines_[at].since = lines_[at].answered = now;
  peer.lines.push_back(at);
  connect(at);
  return at;
}

// The descriptor of whichever connection has been idle the longest.
bool Nodes::make_room() {
  int oldest = -1;
  for (int l : live_lines_) {
    const Line& line = lines_[l];
    if (line.reading || !line.out.empty()) continue;
    if (oldest < 0 || line.answered < lines_[oldest].answered) oldest = l;
  }
  if (oldest < 0) return false;
  drop(oldest, Closed::room);
  return true;
}

void Nodes::connect(int at) {
  ++counts_.opened;
  lines_[at].connect_at = 0;
  auto socket = std::make_shared<asio::ip::tcp::socket>(io_);
  lines_[at].socket = socket;
  socket->async_connect(peers_[lines_[at].node].at,
                        [this, at, socket, alive = alive_](std::error_code error) {
                          if (!*alive || lines_[at].socket != socket) return;
                          Line& line = lines_[at];
                          if (error && net::retry_after_connect(error) == net::Retry::after_delay) {
                            line.socket.reset();
                            line.connect_at = monotonic_now() + kConnectAgain;
                            return;
                          }
                          if (error) return gone(at, Closed::not_up, error.message().c_str());
                          line.socket.reset();
                          line.wire = std::make_shared<Wire>(std::move(*socket), *this, at);
                          line.wire->start();
                          write(at);
                        });
}

// One command after the other, each once the socket has taken those before it: what it tells of the time left
// is true as it leaves, and what has not left can be withdrawn.
void Nodes::write(int at) {
  const std::shared_ptr<Wire> wire = lines_[at].wire;
  if (!wire) return;
  wire->flush();
  while (wire->open() && wire->pending_bytes() == 0) {
    const auto& on = lines_[at].out;
    const auto next = std::find_if(on.begin(), on.end(), [&](int o) { return o >= 0 && outs_[o].end == 0; });
    if (next == on.end()) return;
    Out& out = outs_[*next];
    if (const DenialReason denial = told_.may_begin(out.id, out.no); denial != DenialReason::none) {
      withhold(*next, denial);
      continue;
    }
    const Micros left = std::max<Micros>(1, (out.until - monotonic_now()) / 1000);
    out.begin = wire->bytes_appended();
    fields_ = out.command.fields;
    fields_.insert(out.command.wait, std::to_string(left));
    wire->out() += out.command.before;
    resp::append_bulk_string(wire->out(), fields_);
    wire->out() += out.command.behind;
    out.end = wire->bytes_appended();
    // A body's memory is not kept.
    if (out.command.behind.capacity() > resp::kMaxLineBytes) out.command.behind = {};
    wire->flush();
  }
}

// Decided in time, but its moment has passed before its first byte could leave.
void Nodes::withhold(int at, DenialReason denial) {
  const Out& out = outs_[at];
  ++counts_.denied[static_cast<std::size_t>(denial)];
  if (logs::is_debug_enabled())
    logs::debug("withheld", {{"id", out.id},
                             {"no", out.no},
                             {"node", peers_[out.node].name},
                             {"why", kDenialReasonNames[static_cast<std::size_t>(denial)]}});
  const int line = out.line;
  std::erase(lines_[line].out, at);
  off(at, Result::not_sent);
  if (lines_[line].retired && lines_[line].out.empty()) drop(line, Closed::retired);
}

void Nodes::submit(std::uint64_t id, int no, int node, const Command& command, Micros now, Micros try_for) {
  const bool known = node >= 0 && node < static_cast<int>(peers_.size()) && peers_[node].known;
  const int line = known ? line_for(node, now) : -1;
  const int at = outs_.allocate_uncleared();
  live_.insert(at);
  Out& out = outs_[at];
  out.id = id, out.no = no, out.node = node, out.line = line;
  out.begin = out.end = 0;
  out.at = now, out.until = now + try_for;
  if (line < 0) {
    soon_.push_back({at, id, no, known ? Result::not_sent : Result::no_connection});
    return;
  }
  const Line& on = lines_[line];
  out.idle = !on.out.empty() ? -2 : on.wire ? now - on.answered : -1;
  out.command = command;
  lines_[line].out.push_back(at);
  if (lines_[line].wire) dirty_.push_back(line);
}

void Nodes::cancel(std::uint64_t id, int no) {
  for (int o : live_)
    if (outs_[o].id == id && outs_[o].no == no) soon_.push_back({o, id, no, Result::called_off});
}

int Nodes::retract(std::uint64_t id) {
  int count = 0;
  for (int o : live_) {
    if (outs_[o].id != id || outs_[o].line < 0 || !take_back(o)) continue;
    off(o, Result::not_sent);
    ++count;
  }
  return count;
}

void Nodes::flush() {
  for (int l : dirty_) write(l);
  dirty_.clear();
}

// Off its connection; told by the next deliver().
void Nodes::off(int at, Result result) {
  Out& out = outs_[at];
  out.line = -1;
  out.until = INT64_MAX;
  soon_.push_back({at, out.id, out.no, result});
}

void Nodes::end(int at, Result result, Micros now, const resp::Reply* reply) {
  const Out& out = outs_[at];
  const bool broke = result == Result::lost;
  if (broke || reply) {
    if (out.idle >= 0) reuse_.kept(out.idle, broke, now);
    if (out.idle == -1) reuse_.fresh(broke, now);
  }
  Ended ended{.id = out.id,
              .no = out.no,
              .node = out.node,
              .result = result,
              .lag = now - out.at,
              .volume_use = 0,
              .from_others = 0,
              .report = {},
              .value = {}};
  live_.erase(at);
  outs_[at].id = 0;  // no block I/O's: what was still to be told of this one is not
  outs_.release(at);
  if (reply && reply->kind == resp::Reply::Kind::array) {
    ended.value = reply->values[0];
    for (int i = 1; i < reply->count; ++i) figures(reply->values[i], ended);
  } else if (reply) {
    std::string_view rest = reply->text;
    for (std::size_t space; (space = rest.find(' ')) != std::string_view::npos;) {
      rest.remove_prefix(space + 1);
      figures(rest.substr(0, rest.find(' ')), ended);
    }
  }
  told_.submit_ended(ended);
}

// Names and values such as used=37,cost=4; what can't be read is left out.
void Nodes::figures(std::string_view text, Ended& ended) const {
  while (!text.empty()) {
    const std::size_t comma = std::min(text.find(','), text.size());
    const std::string_view pair = text.substr(0, comma);
    text.remove_prefix(std::min(comma + 1, text.size()));
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) continue;
    double value = 0;
    const auto [stop, error] = std::from_chars(pair.data() + equals + 1, pair.data() + pair.size(), value);
    if (error != std::errc() || stop != pair.data() + pair.size()) continue;
    if (!(value >= 0 && value <= kMostFigure)) continue;
    const std::string_view name = pair.substr(0, equals);
    if (name == "used")
      ended.volume_use = static_cast<int>(value) + 1;  // the module's figure: 0 stands for none told
    else if (name == "cost")
      ended.from_others = static_cast<int>(value);
    else
      provision::set_load_value(ended.report, name, value);
  }
}

void Nodes::came(int at, std::string_view bytes) {
  const std::shared_ptr<Wire> wire = lines_[at].wire;
  std::string& held = wire->held;
  const bool joined = !held.empty();
  if (joined) held_ += bytes.size(), held += bytes;
  std::string_view all = joined ? held : bytes;
  lines_[at].reading = true;
  while (!all.empty()) {
    if (lines_[at].out.empty()) {
      ++counts_.strays;
      return drop(at, Closed::stray);
    }
    resp::Reply reply;
    const resp::ParseStatus cut = resp::parse(all, reply, given_.most_value);
    if (cut == resp::ParseStatus::partial) break;
    if (cut == resp::ParseStatus::malformed) return spoilt(at, reply.why);
    all.remove_prefix(reply.bytes);
    lines_[at].begun = 0;
    answer(at, reply);
    if (!wire->open()) return;
  }
  Line& line = lines_[at];
  line.reading = false;
  if (joined && all.size() < held.size()) {
    held_ -= held.size() - all.size();
    held.erase(0, held.size() - all.size());
    if (held.empty()) held = {};  // what a long answer needed is not kept by an idle connection
  } else if (!joined && !all.empty()) {
    held_ += all.size();
    held = all;
  }
  if (held.empty()) {
    if (line.out.empty() && line.retired) drop(at, Closed::retired);
    return;
  }
  line.begun = monotonic_now();
  if (held_ > given_.most_held) spoilt(at, "no memory for more of it");
}

void Nodes::answer(int at, const resp::Reply& reply) {
  using Kind = resp::Reply::Kind;
  const bool value = reply.kind == Kind::array && reply.count == 3 && reply.values[0].data();
  if (!value && reply.kind != Kind::error) return spoilt(at, "an answer without a value");
  const Micros now = monotonic_now();
  Line& line = lines_[at];
  const int out = line.out.front();
  // A node begins a command once its last byte has come: only a refusal can be meant for one that has not.
  const bool refused = !value && reply.text.starts_with("BUSY");
  if (out >= 0 && !refused && !left_whole(line, outs_[out])) {
    ++counts_.strays;
    return gone(at, Closed::stray, "an answer before its command");
  }
  line.out.erase(line.out.begin());
  line.answered = now;
  if (out < 0) return;
  const Result result = value ? Result::ended : refused ? Result::turned_away : Result::error;
  if (reply.text.starts_with("SYNTAX"))
    logs::error("a node can't read our command", {{"node", peers_[line.node].name}});
  end(out, result, now, &reply);
}

// The first submit out there has an answer that can't be read: it may have run. So may those behind it.
void Nodes::spoilt(int at, const char* why) {
  ++counts_.spoilt;
  Line& line = lines_[at];
  logs::debug("spoilt answer", {{"node", peers_[line.node].name}, {"why", why}});
  if (!line.out.empty() && line.out.front() >= 0) {
    const int out = line.out.front();
    line.out.erase(line.out.begin());
    off(out, Result::error);
  }
  gone(at, Closed::spoilt, why);
}

bool Nodes::left_whole(const Line& line, const Out& out) const {
  return line.wire && out.end > 0 && out.end <= line.wire->bytes_written();
}

void Nodes::gone(int at, Closed reason, const char* why) {
  Line& line = lines_[at];
  if (!line.out.empty()) {
    ++counts_.connections_lost;
    logs::debug("connection gone",
                {{"node", peers_[line.node].name}, {"why", why}, {"out", line.out.size()}});
  }
  // What the socket never took whole can't have been read whole: it surely has not run. Where this machine
  // could not even begin to connect, the node is not to blame.
  const Result unsent = line.connect_at > 0 ? Result::not_sent : Result::no_connection;
  for (int o : line.out)
    if (o >= 0) off(o, left_whole(line, outs_[o]) ? Result::lost : unsent);
  drop(at, reason);
}

void Nodes::drop(int at, Closed reason) {
  Line& line = lines_[at];
  ++counts_.closed[static_cast<std::size_t>(reason)];
  if (logs::is_debug_enabled())
    logs::debug("node connection closed",
                {{"node", peers_[line.node].name}, {"why", kClosed[static_cast<std::size_t>(reason)]}});
  if (line.wire) {
    held_ -= line.wire->held.size();
    line.wire->close();
  }
  if (line.socket) {
    std::error_code ignored;
    line.socket->close(ignored);
  }
  std::erase(peers_[line.node].lines, at);
  live_lines_.erase(at);
  line = Line{};
  lines_.release(at);
}

// Guards against connections whose other end has vanished without a word: where one went silent, those that
// were quiet all the while may lead nowhere as well. Harms by a new connection where it was the node that was
// slow.
void Nodes::drop_idle(int node, Micros quiet_since) {
  for (const int l : std::vector<int>(peers_[node].lines))
    if (lines_[l].out.empty() && lines_[l].answered < quiet_since) drop(l, Closed::quiet_neighbour);
}

// Off its connection, where none of it has left yet. Nothing is appended behind what the socket has not
// taken.
bool Nodes::take_back(int at) {
  const Out& out = outs_[at];
  Line& line = lines_[out.line];
  if (out.end > 0) {
    if (out.begin < line.wire->bytes_written()) return false;
    line.wire->remove_pending(out.begin, out.end);
  }
  std::erase(line.out, at);
  return true;
}

void Nodes::give_up(int at, Result result, Micros now) {
  const Out& out = outs_[at];
  const int l = out.line, node = out.node;
  if (l >= 0) {
    if (take_back(at)) {
      result = lines_[l].wire ? Result::not_sent : Result::no_connection;
    } else {
      Line& line = lines_[l];
      std::replace(line.out.begin(), line.out.end(), at, -1);
      if (std::all_of(line.out.begin(), line.out.end(), [](int o) { return o < 0; }))
        drop(l, Closed::given_up);
      if (result == Result::no_answer) drop_idle(node, out.at);
    }
  }
  end(at, result, now);
}

void Nodes::recall(int node) {
  if (node >= static_cast<int>(peers_.size())) return;
  work_.clear();
  for (int o : live_)
    if (outs_[o].node == node && outs_[o].line >= 0) work_.push_back(o);
  for (int o : work_)
    if (take_back(o)) off(o, Result::not_sent);
  for (const int l : std::vector<int>(peers_[node].lines)) {
    lines_[l].retired = true;
    if (lines_[l].out.empty()) drop(l, Closed::retired);
  }
}

void Nodes::deliver(Micros now) {
  telling_.swap(soon_);
  for (const Soon& s : telling_) {
    const Out& out = outs_[s.out];
    if (out.id != s.id || out.no != s.no) continue;
    if (s.result == Result::called_off)
      give_up(s.out, s.result, now);
    else
      end(s.out, s.result, now);
  }
  telling_.clear();
  if (now - looked_ < kLook) return;
  looked_ = now;
  std::vector<int> due;
  due.swap(work_);
  due.clear();
  for (int o : live_)
    if (outs_[o].until <= now) due.push_back(o);
  for (int o : due) give_up(o, Result::no_answer, now);
  due.assign(live_lines_.begin(), live_lines_.end());
  for (int l : due) {
    const Line& line = lines_[l];
    if (line.node < 0) continue;
    const bool quiet = line.out.empty();
    if (!line.wire && now - line.since > given_.connect_within)
      gone(l, Closed::not_up, "no connection in time");
    else if (line.connect_at > 0 && !line.socket && now >= line.connect_at)
      connect(l);
    else if (line.begun > 0 && now - line.begun > given_.connect_within)
      spoilt(l, "an answer that doesn't go on");
    else if (line.wire && quiet && now - line.answered > static_cast<Micros>(kIdlePart * given_.idle))
      drop(l, Closed::idle);
  }
  due.swap(work_);
}

}  // namespace yewmount::nodes
