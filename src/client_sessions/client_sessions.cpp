#include "client_sessions/client_sessions.h"

#include <algorithm>
#include <optional>

#include "base/base.h"
#include "client_sessions/session.h"

namespace yewmount::client_sessions {
namespace {

constexpr Micros kLingerTimeoutUs = 500'000;
// Descriptors beyond the limit on connections. Lingering connections are closed first, and new connections
// wait shortly for a session.
constexpr std::size_t kMaxExtraLingering = 6;
constexpr std::size_t kMaxWaitingConnections = 6;
constexpr Micros kSessionWaitTimeoutUs = 500'000;
// Idle sessions that are looked at for each new connection; each look is a system call.
constexpr std::size_t kMaxEvictionTries = 16;
// Input that is read more than this after the loop was last caught up is taken to have arrived at that time:
// the process was paused or is overloaded.
constexpr Micros kMaxReadDelayUs = 20'000;
// A client that has sent nothing more of its command for this long stalls. Slow clients pause for less.
constexpr Micros kStallUs = 100'000;
// A session that has been idle for this long is closed before one that is within a command.
constexpr Micros kLongIdleUs = 1'000'000;
// How often the sockets of sessions that wait for room are looked at; each look is a system call.
constexpr Micros kWholeCommandsIntervalUs = 2'000;
// How long an incomplete command waits for room before it is refused: within the slack that answers have, as
// the client may have little time.
constexpr Micros kRoomTimeoutUs = 300'000;

}  // namespace

ClientSessions::ClientSessions(asio::io_context& io, const asio::ip::tcp::endpoint& endpoint,
                               std::size_t max_connections, memory::Budget& budget, CommandHandler& handler)
    : io_(io),
      max_connections_(max_connections),
      budget_(budget),
      handler_(handler),
      listener_(io, endpoint, [this](asio::ip::tcp::socket socket) { on_accept(std::move(socket)); }) {}

ClientSessions::~ClientSessions() {
  for (int index : active_) sessions_[index]->close();
  for (auto& [expires_at, session] : lingering_) session->close();
}

// A connection for which no session can be freed waits shortly; if too many wait, the oldest is closed.
void ClientSessions::on_accept(asio::ip::tcp::socket socket) {
  if (make_session_free()) return open_session(std::move(socket), listener_.backlogged_since());
  if (waiting_connections_.size() >= kMaxWaitingConnections) {
    ++counts_.rejected_connections;
    waiting_connections_.pop_front();  // closes the socket
  }
  const Micros now = monotonic_now();
  const Micros backlogged_since = listener_.backlogged_since();
  waiting_connections_.push_back(
      {backlogged_since > 0 ? backlogged_since : now, now + kSessionWaitTimeoutUs, std::move(socket)});
}

void ClientSessions::open_session(asio::ip::tcp::socket socket, Micros unread_since) {
  const int index = sessions_.allocate();
  active_.insert(index);
  sessions_[index] =
      std::make_shared<Session>(std::move(socket), *this, index, ++last_connection_id_, unread_since);
  sessions_[index]->reset_unread_since_if_empty();
  sessions_[index]->start();
}

// Returns whether a further session may be opened, and closes one for it if need be. Sessions that have only
// just become idle, or opened, go last: their next command may be on its way.
bool ClientSessions::make_session_free() {
  return active_.size() < max_connections_ || evict_idle_session(kLongIdleUs) || evict_partial_command() ||
         evict_idle_session(0);
}

// Closes the least recently used idle session, preferring those that never sent a command; returns false if
// none has been idle for `min_idle_time`. A session with unread input is not idle. A command that arrives
// during the close is discarded by the lingering close, and its client connects again.
bool ClientSessions::evict_idle_session(Micros min_idle_time) {
  const Micros idle_since = monotonic_now() - min_idle_time;
  std::vector<Session*> candidates;
  for (int index : active_) {
    Session* const session = sessions_[index].get();
    if (session->is_idle() && session->last_used_at() <= idle_since) candidates.push_back(session);
  }
  const std::size_t tries = std::min(candidates.size(), kMaxEvictionTries);
  std::ranges::partial_sort(
      candidates, candidates.begin() + static_cast<std::ptrdiff_t>(tries), {},
      [](const Session* session) { return std::pair(session->has_sent_command(), session->last_used_at()); });
  for (std::size_t i = 0; i < tries; ++i) {
    if (candidates[i]->has_unread_input()) continue;
    close_session(candidates[i]->index(), CloseReason::evicted);
    return true;
  }
  return false;
}

// Closes, with a refusal, a session that is within a command and awaits no answer: the one that has stalled
// longest, else the one that has waited longest for room. Returns false if there is none.
bool ClientSessions::evict_partial_command() {
  Session* session = longest_stalled(monotonic_now());
  if (!session || session->unanswered_count() > 0) session = longest_waiting_for_room();
  if (!session) return false;
  ++(session->is_waiting_for_room() ? counts_.refused_waiting : counts_.refused_stalled);
  session->refuse_partial_command();
  session->move_answers_to_output(SIZE_MAX);
  close_session(session->index(), CloseReason::evicted);
  return true;
}

// Returns the session that has waited longest for room and awaits no answer, or null.
ClientSessions::Session* ClientSessions::longest_waiting_for_room() {
  for (const CommandId& id : room_waiters_) {
    Session* const session = find(id);
    if (session && session->is_waiting_for_room() && session->unanswered_count() == 0) return session;
  }
  return nullptr;
}

// Returns the session whose client has stalled longest within a command, or null.
ClientSessions::Session* ClientSessions::longest_stalled(Micros now) {
  while (true) {
    Session* longest = nullptr;
    for (int index : active_) {
      Session* const session = sessions_[index].get();
      const Micros stalled_for = session->stalled_for(now);
      if (stalled_for >= kStallUs && (!longest || stalled_for > longest->stalled_for(now))) longest = session;
    }
    if (!longest || longest->confirm_stall(now)) return longest;
  }
}

// Refuses the incomplete command of the client that has stalled longest; returns false if none stalls.
bool ClientSessions::refuse_stalled_command(Micros now) {
  Session* const session = longest_stalled(now);
  if (!session) return false;
  ++counts_.refused_stalled;
  session->refuse_partial_command();
  return true;
}

// Lets a session read on that waits for room for its incomplete command. Clients that stall give way.
bool ClientSessions::make_input_room(Session& session) {
  do {
    if (session.try_resume_reading()) return true;
  } while (refuse_stalled_command(monotonic_now()));
  return false;
}

// Serves first the sessions whose sockets hold the whole rest of their command: clients that stop within a
// command, or write it slowly, must not hold them up.
void ClientSessions::serve_whole_commands() {
  const Micros now = monotonic_now();
  if (now - whole_commands_served_at_ < kWholeCommandsIntervalUs) return;
  whole_commands_served_at_ = now;
  refuse_hiding_commands();
  for (const CommandId& id : room_waiters_) {
    Session* const session = find(id);
    if (!session || !session->is_waiting_for_room() || !session->has_whole_command()) continue;
    if (!session->try_read_whole_command()) return;
  }
}

// Refuses the commands whose wait for room may hide that their clients have closed.
void ClientSessions::refuse_hiding_commands() {
  const Micros now = monotonic_now();
  for (const CommandId& id : room_waiters_) {
    Session* const session = find(id);
    if (!session || !session->is_waiting_for_room() || !session->hides_close(now)) continue;
    ++counts_.refused_waiting;
    session->skip_partial_command();
  }
}

// Serves the sessions that wait for room in their order, and refuses commands that have waited too long.
void ClientSessions::serve_room_waiters() {
  serve_whole_commands();
  while (!room_waiters_.empty()) {
    Session* const session = find(room_waiters_.front());
    if (session && session->is_waiting_for_room() && !make_input_room(*session)) {
      if (monotonic_now() - session->room_wanted_since() < kRoomTimeoutUs) return;
      ++counts_.refused_waiting;
      session->skip_partial_command();
    }
    room_waiters_.pop_front();
  }
}

ClientSessions::Session* ClientSessions::find(const CommandId& id) const {
  if (id.session < 0) return nullptr;
  Session* session = sessions_[id.session].get();
  return session && session->connection_id() == id.connection_id ? session : nullptr;
}

void ClientSessions::answer(const CommandId& id, std::string_view bytes) {
  if (Session* session = find(id)) {
    if (!session->answer(id.sequence, bytes)) {
      ++counts_.duplicate_answers;
      logs::error("violation: a second answer", {{"connection", id.connection_id}, {"turn", id.sequence}});
    }
    unflushed_.push_back(id);
  }
}

// Returns the session for which `bytes_of(session)` is the largest, or null if it is 0 for all.
template <class BytesOf>
std::shared_ptr<ClientSessions::Session> ClientSessions::largest_session(BytesOf bytes_of) const {
  std::shared_ptr<Session> largest;
  std::size_t largest_bytes = 0;
  for (int index : active_) {
    const std::size_t bytes = bytes_of(*sessions_[index]);
    if (bytes <= largest_bytes) continue;
    largest_bytes = bytes;
    largest = sessions_[index];
  }
  return largest;
}

bool ClientSessions::make_room(const CommandId& id, std::size_t bytes) {
  if (bytes <= resp::kMaxLineBytes) return true;
  const auto is_full = [&] { return bytes > budget_.room(memory::Use::answers); };
  const auto refuse_if_limit_is_reached = [&] {
    return budget_.used() + bytes > budget_.limit() && refuse_stalled_command(monotonic_now());
  };
  while (is_full() && (drop_unread_values() || refuse_if_limit_is_reached() || end_blocking_command(id))) {
  }
  const Session* const session = find(id);
  return !session || !is_full() || session->can_send_now(id.sequence);
}

// Drops the values that wait for the client that leaves the most unread; returns false if there are none. So
// clients that do not read cost the others nothing.
bool ClientSessions::drop_unread_values() {
  const Micros now = monotonic_now();
  const auto session = largest_session([&](const Session& s) { return s.unread_answer_bytes(now); });
  const std::uint64_t dropped = session ? session->drop_waiting_values() : 0;
  counts_.dropped_values += dropped;
  return dropped > 0;
}

// Has the unanswered command other than `id` ended that blocks the most bytes; returns false if there is
// none. All answers behind it can leave then, whereas dropping an answer wastes the work of its node.
bool ClientSessions::end_blocking_command(const CommandId& id) {
  const auto session = largest_session([&](const Session& s) {
    const bool is_own = s.connection_id() == id.connection_id && s.first_unanswered().sequence == id.sequence;
    return is_own ? 0 : s.blocked_bytes();
  });
  if (!session) return false;
  const CommandId blocking = session->first_unanswered();
  ++counts_.ended_for_memory;
  handler_.on_answers_blocked(blocking);
  if (session->is_unanswered(blocking.sequence)) return false;
  session->flush_output();
  return true;
}

bool ClientSessions::has_client_closed(const CommandId& id) const {
  Session* session = find(id);
  return !session || session->has_client_closed();
}

SessionTotals ClientSessions::totals() const {
  SessionTotals totals;
  for (int index : active_) {
    totals.partial_commands += sessions_[index]->has_partial_command();
    totals.pending_output += sessions_[index]->pending_bytes();
  }
  for (const auto& [expires_at, session] : lingering_) totals.pending_output += session->pending_bytes();
  return totals;
}

// The time at which input that is read now counts as arrived.
Micros ClientSessions::arrival_time() const {
  const Micros now = monotonic_now();
  return caught_up_at_ > 0 && now - caught_up_at_ > kMaxReadDelayUs ? caught_up_at_ : now;
}

void ClientSessions::answer_error(const CommandId& id, std::string_view why) {
  std::string line = "-ERR ";
  answer(id, (line += why) += "\r\n");
}

void ClientSessions::run_deferred() {
  for (const CommandId& id : due_half_closed_)
    if (Session* session = find(id)) session->report_half_close();
  due_half_closed_.clear();
  due_half_closed_.swap(new_half_closed_);
  resuming_.swap(resumable_);
  for (const CommandId& id : resuming_)
    if (Session* session = find(id)) session->resume();
  resuming_.clear();
  serve_room_waiters();
  while (!waiting_connections_.empty() && (make_session_free())) {
    open_session(std::move(waiting_connections_.front().socket), waiting_connections_.front().unread_since);
    waiting_connections_.pop_front();
  }
}

void ClientSessions::flush() {
  flushing_.swap(unflushed_);
  for (const CommandId& id : flushing_)
    if (Session* session = find(id)) session->flush_output();
  flushing_.clear();
}

// Removes a session and tells the handler about its unanswered commands. If the connection is still open, it
// lingers so that the last answers reach the client.
void ClientSessions::close_session(int index, CloseReason reason) {
  const std::shared_ptr<Session> session = std::move(sessions_[index]);
  const std::size_t unanswered = session->unanswered_count();
  ++counts_.closed[static_cast<std::size_t>(reason)];
  if (logs::is_debug_enabled())
    logs::debug("client closed", {{"connection", session->connection_id()},
                                  {"why", permits::kCloseReasons[static_cast<std::size_t>(reason)]},
                                  {"unanswered", unanswered},
                                  {"pending", session->pending_bytes()}});
  if (!permits::may_close(reason, unanswered)) {
    ++counts_.closed_unanswered;
    logs::error("violation: closed unanswered",
                {{"connection", session->connection_id()}, {"unanswered", unanswered}});
  }
  active_.erase(index);
  sessions_.release(index);
  session->drop_commands([&](const CommandId& id) { handler_.on_disconnect(id); });
  if (!session->open()) return;
  ++counts_.lingering_closes;
  lingering_.emplace_back(monotonic_now() + kLingerTimeoutUs, session);
  session->close_lingering();
  while (active_.size() + lingering_.size() > max_connections_ + kMaxExtraLingering) {
    lingering_.front().second->close();
    lingering_.pop_front();
  }
}

void ClientSessions::close_overdue(Micros now) {
  std::vector<int> indexes(active_.begin(), active_.end());
  for (int index : indexes) {
    const std::shared_ptr<Session> session = sessions_[index];  // kept until the call has ended
    if (const auto reason = session->check_timeouts(now)) close_session(index, *reason);
  }
  std::erase_if(lingering_, [&](auto& entry) {
    if (entry.first <= now) entry.second->close();
    return !entry.second->open();
  });
  while (!waiting_connections_.empty() && waiting_connections_.front().expires_at <= now) {
    ++counts_.rejected_connections;
    waiting_connections_.pop_front();
  }
}

void ClientSessions::close_idle() {
  std::vector<int> indexes(active_.begin(), active_.end());
  for (int index : indexes)
    if (sessions_[index]->is_idle() && !sessions_[index]->has_unread_input())
      close_session(index, CloseReason::idle);
}

void ClientSessions::close_all() {
  std::vector<int> indexes(active_.begin(), active_.end());
  for (int index : indexes) {
    sessions_[index]->reject_queued_commands();
    sessions_[index]->move_answers_to_output(SIZE_MAX);
    close_session(index, CloseReason::stopping);
  }
}

}  // namespace yewmount::client_sessions
