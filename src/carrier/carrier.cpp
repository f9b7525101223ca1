#include "carrier/carrier.h"

#include <algorithm>

#include "base/base.h"

namespace yewmount::carrier {
namespace {

constexpr std::uint64_t kProbeKey = 1ULL
                                    << 63;  // ids of block I/Os stay below it when shifted by their submits
constexpr int kSubmitBits = 3;
constexpr Micros kSweep = 1'000'000;
constexpr std::size_t kDueSpare = 1024;  // time-outs of what has ended that are let lie

std::uint64_t key_of(std::uint64_t id, int no) { return id << kSubmitBits | static_cast<unsigned>(no); }

LoadReport report(const wire::Load& l) { return {l.outstanding, l.backlog, l.utilization, l.recent_latency}; }

}  // namespace

Carrier::Carrier(asio::io_context& io, Provision given, Told& told)
    : io_(io), given_(std::move(given)), told_(told) {}

Carrier::~Carrier() {
  *alive_ = false;
  for (int at : live_lines_)
    if (lines_[at].link) lines_[at].link->close();
}

void Carrier::node_at(int node, const NodeAt& at) {
  if (node >= static_cast<int>(peers_.size())) peers_.resize(node + 1);
  Peer& peer = peers_[node];
  const bool moved = peer.known && (peer.at.address != at.address || peer.at.port != at.port ||
                                    peer.at.name != at.name || (at.start && peer.at.start != at.start));
  peer.at = at;
  peer.known = true;
  if (!moved) return;
  // What is out at the node's former start ends as lost or never sent; nothing more goes there.
  for (const int line : std::vector<int>(peer.lines)) line_gone(line, "the node has moved");
}

bool Carrier::forget(int node) {
  if (node >= static_cast<int>(peers_.size())) return true;
  for (int at : live_)
    if (outs_[at].node == node) return false;
  for (const int line : std::vector<int>(peers_[node].lines)) drop_line(line);
  peers_[node] = Peer{};
  return true;
}

std::size_t Carrier::connections() const { return live_lines_.size(); }

int Carrier::line_for(int node, Micros now) {
  Peer& peer = peers_[node];
  int best = -1;
  for (int l : peer.lines)
    if (best < 0 || lines_[l].out < lines_[best].out) best = l;
  const bool full = best >= 0 && lines_[best].out >= given_.streams;
  if (best >= 0 && (lines_[best].out == 0 || static_cast<int>(peer.lines.size()) >= given_.connections))
    return full ? -1 : best;
  const int at = lines_.allocate();
  live_lines_.insert(at);
  lines_[at].node = node;
  lines_[at].since = lines_[at].used = now;
  peer.lines.push_back(at);
  connect(at);
  return at;
}

void Carrier::connect(int at) {
  Line& line = lines_[at];
  const Peer& peer = peers_[line.node];
  line.socket = std::make_shared<asio::ip::tcp::socket>(io_);
  auto socket = line.socket;
  socket->async_connect(
      {net::parse_loopback_address(peer.at.address), peer.at.port},
      [this, at, socket, alive = alive_](std::error_code error) {
        if (!*alive || lines_[at].socket != socket) return;
        Line& line = lines_[at];
        if (error) return line_gone(at, error.message());
        line.socket.reset();
        line.link = std::make_shared<net::Link>(std::move(*socket), *this);
        line.link->number = at;
        wire::encode(line.link->out(), wire::Hello{wire::Role::head, given_.head_name, -1, 0});
        line.link->start();
        line.link->flush();
      });
}

// The frame leaves only once the node has said who it is: what was meant for another node, or another
// version, is then surely not run.
void Carrier::hand(int at) {
  Out& out = outs_[at];
  Line& line = lines_[out.line];
  if (!line.greeted) return;
  if (!out.probe && told_.may_begin(out.id, out.no) != DenialReason::none) {
    soon_.push_back({out.key, Result::not_sent});
    return;
  }
  out.begin = line.link->bytes_appended();
  line.link->out() += out.frame;
  out.end = line.link->bytes_appended();
  out.sent = true;
  out.frame.clear();
  dirty_.push_back(out.line);
}

void Carrier::begin(int node, Out&& given, Micros now) {
  const int at = outs_.allocate();
  live_.insert(at);
  outs_[at] = std::move(given);
  Out& out = outs_[at];
  out.node = node;
  out.at = now;
  index_.insert(out.key, at);
  // Guards against a heap that grows with the rate times the longest hard limit, though all have ended long
  // ago.
  if (due_.size() > 2 * live_.size() + kDueSpare) {
    due_.clear();
    for (int o : live_)
      if (outs_[o].until < INT64_MAX) due_.push_back({outs_[o].until, outs_[o].key});
    std::make_heap(due_.begin(), due_.end());
  } else {
    due_.push_back({out.until, out.key});
    std::push_heap(due_.begin(), due_.end());
  }
  const bool known = node >= 0 && node < static_cast<int>(peers_.size()) && peers_[node].known;
  out.line = known ? line_for(node, now) : -1;
  if (out.line < 0) {
    soon_.push_back({out.key, Result::no_connection});
    return;
  }
  ++lines_[out.line].out;
  lines_[out.line].used = now;
}

void Carrier::submit(int node, const wire::Submit& submit, std::string_view data, Micros now,
                     Micros try_for) {
  Out out;
  out.id = submit.id;
  out.no = submit.attempt;
  out.key = key_of(submit.id, submit.attempt);
  out.until = now + try_for;
  begin(node, std::move(out), now);
  const int at = find(key_of(submit.id, submit.attempt));
  Out& o = outs_[at];
  if (o.line < 0) return;
  Line& line = lines_[o.line];
  if (!line.greeted) {
    wire::encode(o.frame, submit, data);
    return;
  }
  o.begin = line.link->bytes_appended();
  wire::encode(line.link->out(), submit, data);
  o.end = line.link->bytes_appended();
  o.sent = true;
  dirty_.push_back(o.line);
}

void Carrier::probe(int node, Micros now, Micros within) {
  Out out;
  out.probe = true;
  out.key = kProbeKey | ++probes_;
  out.until = now + within;
  const std::uint64_t key = out.key;
  begin(node, std::move(out), now);
  Out& o = outs_[find(key)];
  if (o.line < 0) return;
  wire::encode(o.frame, wire::Probe{key});
  hand(find(key));
}

void Carrier::cancel(std::uint64_t id, int no) {
  const int at = find(key_of(id, no));
  if (at < 0) return;
  Out& out = outs_[at];
  if (out.sent && out.line >= 0) {
    wire::encode(lines_[out.line].link->out(), wire::Cancel{id, no});
    dirty_.push_back(out.line);
  }
  soon_.push_back({out.key, Result::called_off});
}

void Carrier::end(int at, Result result, Micros now, const wire::Answer* answer, std::string_view data) {
  Out& out = outs_[at];
  if (out.line >= 0) {
    --lines_[out.line].out;
    lines_[out.line].used = now;
  }
  const Out ended{.probe = out.probe,
                  .sent = out.sent,
                  .key = out.key,
                  .id = out.id,
                  .no = out.no,
                  .node = out.node,
                  .line = out.line,
                  .begin = out.begin,
                  .end = out.end,
                  .at = out.at,
                  .until = out.until,
                  .frame = {}};
  index_.erase(out.key);
  live_.erase(at);
  outs_.release(at);
  if (ended.probe) {
    told_.probe_ended(ended.node, result, now - ended.at, answer ? report(answer->load) : LoadReport{});
    return;
  }
  Ended told{.id = ended.id,
             .no = ended.no,
             .node = ended.node,
             .result = result,
             .missing = answer && answer->outcome == wire::Outcome::not_found,
             .lag = now - ended.at,
             .volume_use = answer ? answer->volume_use : 0,
             .from_others = answer ? answer->from_others : 0,
             .report = answer ? report(answer->load) : LoadReport{},
             .data = data,
             .sums = answer ? std::span<const std::uint64_t>(answer->block_checksums)
                            : std::span<const std::uint64_t>{}};
  told_.submit_ended(told);
}

// Out of the bytes that wait for a full socket, where none of it has left yet.
bool Carrier::take_back(int at) {
  const Out out = outs_[at];
  if (!out.sent || out.line < 0) return false;
  Line& line = lines_[out.line];
  if (!line.link || !line.link->open() || out.begin < line.link->bytes_written()) return false;
  const std::uint64_t size = out.end - out.begin;
  line.link->remove_pending(out.begin, out.end);
  for (int other : live_)
    if (Out& o = outs_[other]; o.line == out.line && o.sent && o.begin > out.begin)
      o.begin -= size, o.end -= size;
  return true;
}

// Guards a drain against what was sent in time and would leave after the grace: behind a socket that takes
// nothing, or a connection that is still being made.
void Carrier::recall(int node, Micros now) {
  std::vector<int> here;
  for (int at : live_)
    if (outs_[at].node == node && outs_[at].line >= 0) here.push_back(at);
  // The last appended first: what lies before it keeps its place.
  std::sort(here.begin(), here.end(), [&](int x, int y) { return outs_[x].begin > outs_[y].begin; });
  for (int at : here)
    if (!outs_[at].sent || take_back(at)) end(at, Result::not_sent, now);
}

void Carrier::deliver(Micros now) {
  now_telling_.swap(soon_);
  for (const Soon& s : now_telling_)
    if (const int at = find(s.key); at >= 0) end(at, s.result, now);
  now_telling_.clear();
  while (!due_.empty() && due_.front().until <= now) {
    const std::uint64_t key = due_.front().key;
    std::pop_heap(due_.begin(), due_.end());
    due_.pop_back();
    const int at = find(key);
    if (at < 0 || outs_[at].until > now) continue;
    // Guards the promise of no second effect: a frame that may be on its way counts as run. Only what still
    // waits here in whole is taken back and surely never runs.
    const bool sent = outs_[at].sent;
    const Result result = !sent           ? Result::no_connection
                          : take_back(at) ? Result::not_sent
                                          : Result::no_answer;
    end(at, result, now);
  }
  if (now - swept_ < kSweep / 10) return;
  swept_ = now;
  std::vector<int> lines(live_lines_.begin(), live_lines_.end());
  for (int l : lines) {
    Line& line = lines_[l];
    if (!line.greeted && now - line.since > given_.connect_within)
      line_gone(l, "no connection in time");
    else if (line.greeted && line.out == 0 && now - line.used > given_.idle)
      drop_line(l);
  }
}

void Carrier::flush() {
  for (int l : dirty_)
    if (lines_[l].link) lines_[l].link->flush();
  dirty_.clear();
}

void Carrier::drop_line(int at) {
  Line& line = lines_[at];
  if (line.link) line.link->close();
  if (line.socket) {
    std::error_code ignored;
    line.socket->close(ignored);
  }
  std::erase(peers_[line.node].lines, at);
  live_lines_.erase(at);
  line = Line{};
  lines_.release(at);
}

void Carrier::line_gone(int at, const std::string& why) {
  Line& line = lines_[at];
  logs::debug("connection gone", {{"node", peers_[line.node].at.name}, {"why", why}, {"out", line.out}});
  const std::uint64_t handed = line.link ? line.link->bytes_written() : 0;
  for (int o : live_) {
    Out& out = outs_[o];
    if (out.line != at) continue;
    // A frame whose last byte the socket never took can't have been read whole: it surely has not run.
    soon_.push_back({out.key, out.sent && out.end <= handed ? Result::lost : Result::no_connection});
    out.line = -1;
    out.until = INT64_MAX;
  }
  drop_line(at);
}

void Carrier::on_frame(net::Link& link, const wire::Frame& frame) {
  const int at = link.number;
  Line& line = lines_[at];
  switch (frame.type) {
    case wire::FrameType::hello: {
      wire::Hello hello;
      wire::decode(frame, hello);
      const NodeAt& wanted = peers_[line.node].at;
      if (hello.role != wire::Role::node || hello.name != wanted.name ||
          (wanted.start && hello.incarnation != wanted.start))
        throw wire::MalformedFrame("'" + std::string(hello.name) + "' answers where '" + wanted.name +
                                   "' or its present start was looked for");
      line.greeted = true;
      for (int o : live_)
        if (outs_[o].line == at && !outs_[o].sent) hand(o);
      link.flush();
      return;
    }
    case wire::FrameType::answer: {
      wire::Answer& answer = answer_;  // kept, so that its sums' memory is
      wire::decode(frame, answer);
      const int o =
          answer.attempt >= 0 && answer.attempt < (1 << kSubmitBits) && answer.id < kProbeKey >> kSubmitBits
              ? find(key_of(answer.id, answer.attempt))
              : -1;
      if (o < 0 || outs_[o].line != at) return;  // it was given up before
      static constexpr Result results[] = {Result::ended, Result::error, Result::turned_away, Result::ended,
                                           Result::turned_away};
      return end(o, results[static_cast<int>(answer.outcome)], monotonic_now(), &answer, frame.data);
    }
    case wire::FrameType::probe_reply: {
      wire::ProbeReply probed;
      wire::decode(frame, probed);
      const int o = find(probed.serial);
      if (o < 0 || !outs_[o].probe || outs_[o].line != at) return;
      wire::Answer answer;
      answer.load = probed.load;
      return end(o, probed.outcome == wire::Outcome::completed ? Result::ended : Result::turned_away,
                 monotonic_now(), &answer);
    }
    default:
      throw wire::MalformedFrame("a head takes no frame of this type from a node");
  }
}

void Carrier::on_closed(net::Link& link, const std::string& why) {
  if (why.starts_with("malformed"))
    logs::warn("node spoke badly", {{"node", peers_[lines_[link.number].node].at.name}, {"why", why}});
  line_gone(link.number, why);
}

}  // namespace yewmount::carrier
