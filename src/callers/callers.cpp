#include "callers/callers.h"

#include <algorithm>
#include <optional>

#include "base/base.h"

namespace yewmount::callers {
namespace {

constexpr Micros kSecond = 1'000'000;
// Guards the head's descriptors and memory against clients that say nothing, begin a command and stay away,
// or read no answer. Harms a client whose one command takes longer than this to come.
constexpr Micros kSpeakWithin = 2 * kSecond;
constexpr Micros kStalled = 5 * kSecond;
constexpr Micros kIdle = 20 * kSecond;
constexpr Micros kReadOff = kSecond / 2;         // a lingering close lasts no longer
constexpr std::size_t kMostOpen = 32;            // commands of one connection: what comes behind them waits
constexpr std::size_t kMostPending = 256 << 10;  // bytes that a client hasn't taken, before no more is asked
constexpr std::size_t kMostAhead = 256 << 10;    // bytes of commands of one connection that wait
// Beyond the clients' part of the descriptors: lingering ones give way first, newcomers wait a little.
constexpr std::size_t kLingerers = 6, kLobby = 6;
constexpr Micros kLobbyWait = kSecond / 2;
// What is read longer after the last quiet moment counts as come then: this process stood still, or has more
// to handle than it can.
constexpr Micros kPrompt = 20'000;

}  // namespace

class Callers::Session : public net::Stream {
 public:
  // unread_since: when bytes may have begun to wait in the socket; 0: none do.
  Session(asio::ip::tcp::socket socket, Callers& owner, int number, std::uint64_t token, Micros unread_since)
      : Stream(std::move(socket)),
        owner_(owner),
        number_(number),
        token_(token),
        unread_since_(unread_since) {}

  std::uint64_t token() const { return token_; }
  bool quiet() const { return slots_.empty() && held_.empty() && pending_bytes() == 0; }
  bool spoke() const { return spoke_; }
  std::size_t unanswered() const {
    return static_cast<std::size_t>(std::ranges::count(slots_, false, &Slot::done));
  }
  Micros used() const { return used_; }

  // False where the command has its answer already.
  bool answer(std::uint64_t turn, std::string_view bytes) {
    if (turn < first_ || turn - first_ >= slots_.size() || slots_[turn - first_].done) return false;
    Slot& slot = slots_[turn - first_];
    slot.done = true;
    if (turn != first_) {
      slot.answer = bytes;
      return true;
    }
    out() += bytes;
    std::size_t n = 1;
    for (; n < slots_.size() && slots_[n].done; ++n) out() += slots_[n].answer;
    slots_.erase(slots_.begin(), slots_.begin() + static_cast<std::ptrdiff_t>(n));
    first_ += n;
    used_ = monotonic_now();
    return true;
  }

  // What can't be read: an error line in its turn, and nothing more is taken.
  void refuse(std::string_view why) {
    ++owner_.counts_.unread;
    refused_ = true;
    drop_held();
    std::string line = "-ERR ";
    turn_back((line += why) += "\r\n");
    owner_.dirty_.push_back(caller(0));
  }

  // A wait in which nothing came is over without consequence.
  void forget_empty_wait() {
    if (unread_since_ > 0 && !has_unread_input()) unread_since_ = 0;
  }

  // Commands that had to wait.
  void go_on() {
    if (refused_ || over_ || !full_) return;
    take({}, monotonic_now());
  }

  void flushed() {
    if (!open()) return;
    flush();
    if (open()) on_write_progress();
  }

  // Why it is to be closed now, if it is.
  std::optional<CloseReason> overdue(Micros now) {
    if (pending_bytes() == 0) moved_ = now;
    if (bytes_written() != told_) told_ = bytes_written(), moved_ = now;
    if (now - moved_ > kStalled) return CloseReason::stalled;
    // Reading is held back while too much waits: an end behind it is looked for.
    if (held_back_ && !over_ && has_peer_closed()) on_peer_eof();
    if (refused_ || !slots_.empty()) return {};
    if (!held_.empty() && !full_ && now - begun_ > kSpeakWithin) {
      refuse("a command that doesn't end");
      return {};
    }
    const bool silent = spoke_ ? quiet() && now - used_ > kIdle : now - began_ > kSpeakWithin;
    if (!silent || (quiet() && has_unread_input())) return {};
    return CloseReason::silent;
  }

  // Whole commands that had to wait and now never will be asked get the protocol's word for "has not run".
  void turn_back_held() {
    for (std::string_view all = held_; !refused_ && !all.empty();) {
      resp::Command command;
      if (resp::parse(all, command) != resp::ParseStatus::complete) break;
      all.remove_prefix(command.bytes);
      turn_back("-BUSY\r\n");
    }
    drop_held();
  }

  // No command of it may begin from now on.
  void part() {
    std::vector<Caller> open;  // an answer within the call moves the slots
    for (std::size_t i = 0; i < slots_.size(); ++i)
      if (!slots_[i].done) open.push_back(caller(first_ + i));
    for (const Caller& c : open) owner_.service_.parting(c);
  }

  // Each of its commands that has no answer, once it is gone.
  template <class Left>
  void leave(Left left) {
    for (std::size_t i = 0; i < slots_.size(); ++i)
      if (!slots_[i].done) left(caller(first_ + i));
    slots_.clear();
    drop_held();
  }

 private:
  struct Slot {
    bool done = false;
    std::string answer;  // until those before it are out
  };

  Caller caller(std::uint64_t turn) const { return {number_, token_, turn}; }
  std::span<char> read_buffer() override { return net::shared_read_buffer(); }
  void on_error(const std::error_code&) override { owner_.let_go(number_, CloseReason::broken); }

  void turn_back(std::string_view line) {
    slots_.emplace_back();
    answer(first_ + slots_.size() - 1, line);
  }

  void drop_held() {
    held_ = {};
    parts_.clear();
    count_ahead();
  }

  void count_ahead() {
    const std::size_t now = full_ ? held_.size() : 0;
    owner_.ahead_ += now - ahead_;
    ahead_ = now;
  }

  // The client has closed or sends no more, which looks the same from here. What it left behind never begins;
  // what has begun gets its answer, for one that still reads. A turn later, so that a command that came with
  // the end still has its chance.
  bool on_peer_eof() override {
    ++owner_.counts_.parted;
    over_ = true;
    turn_back_held();
    owner_.parting_.push_back(caller(0));
    owner_.dirty_.push_back(caller(0));
    return true;
  }

  // What had to wait for the client to take its answers goes on.
  void on_write_progress() override {
    if (slots_.empty() && pending_bytes() == 0 && (refused_ || over_))
      return owner_.let_go(number_, refused_ ? CloseReason::unreadable : CloseReason::ended);
    // What a burst of long answers needed is not kept.
    if (pending_bytes() == 0 && out().capacity() > kMostPending) out() = {};
    if (full_ && !full()) owner_.waiting_.push_back(caller(0));
  }

  bool full() const { return slots_.size() >= kMostOpen || pending_bytes() >= kMostPending; }

  void on_read(std::size_t bytes) override {
    const Micros arrived = unread_since_ > 0 ? unread_since_ : owner_.arrival();
    if (bytes < net::kReadBufferBytes) unread_since_ = 0;  // nothing is left in the socket
    if (!refused_) take({net::shared_read_buffer().data(), bytes}, arrived);
  }

  // An exception in one connection ends that connection only.
  void take(std::string_view bytes, Micros arrived) {
    try {
      cut(bytes, arrived);
    } catch (const std::exception& e) {
      logs::warn("connection ended", {{"why", e.what()}});
      owner_.let_go(number_, CloseReason::exception);
    }
  }

  void cut(std::string_view bytes, Micros arrived) {
    const std::size_t before = held_.size();
    if (before > 0) held_ += bytes;
    const std::string_view all = before > 0 ? std::string_view(held_) : bytes;
    std::size_t used = 0;
    full_ = false;
    while (used < all.size()) {
      if ((full_ = full())) break;
      resp::Command command;
      const resp::ParseStatus cut = resp::parse(all.substr(used), command);
      if (cut == resp::ParseStatus::partial) break;
      if (cut == resp::ParseStatus::malformed) return refuse(command.why);
      used += command.bytes;
      begun_ = 0;
      spoke_ = true;
      slots_.emplace_back();
      owner_.service_.asked(caller(first_ + slots_.size() - 1), command,
                            used > before ? arrived : came_at(used));
    }
    keep(all.substr(used), used, arrived);
    count_ahead();
    held_back_ = full_ && (held_.size() > kMostAhead || owner_.ahead_ > owner_.most_ahead_);
    if (held_back_ && unread_since_ == 0) unread_since_ = monotonic_now();
    if (!held_back_) forget_empty_wait();
    pause_reading(held_back_);
  }

  // What is left for later, and when its parts came.
  void keep(std::string_view rest, std::size_t used, Micros arrived) {
    if (rest.empty()) {
      held_ = {};
      parts_.clear();
      return;
    }
    if (held_.empty())
      held_ = rest;
    else
      held_.erase(0, used);
    std::erase_if(parts_, [&](Part& p) {
      p.end -= std::min(p.end, used);
      return p.end == 0;
    });
    if (parts_.empty() || parts_.back().end < held_.size()) parts_.push_back({held_.size(), arrived});
    if (begun_ == 0) begun_ = monotonic_now();
  }

  Micros came_at(std::size_t end) const {
    for (const Part& p : parts_)
      if (p.end >= end) return p.came;
    return monotonic_now();
  }

  struct Part {  // of held_, up to `end`
    std::size_t end;
    Micros came;
  };

  Callers& owner_;
  const int number_;
  const std::uint64_t token_;
  std::vector<Slot> slots_;  // of commands without an answer, or whose answer waits for its turn
  std::uint64_t first_ = 0, told_ = 0;
  std::string held_;         // of a command that isn't whole, or commands that had to wait
  std::vector<Part> parts_;  // of it
  std::size_t ahead_ = 0;    // of it, as counted by the owner
  bool spoke_ = false, full_ = false, held_back_ = false, refused_ = false, over_ = false;
  Micros began_ = monotonic_now(), used_ = began_, moved_ = began_, begun_ = 0;
  Micros unread_since_;  // bytes may wait in the socket from then on; 0: none do
};

Callers::Callers(asio::io_context& io, const asio::ip::tcp::endpoint& at, std::size_t most,
                 std::size_t most_ahead, Service& service)
    : io_(io),
      most_(most),
      most_ahead_(most_ahead),
      service_(service),
      listener_(io, at, [this](asio::ip::tcp::socket s) { taken(std::move(s)); }) {}

Callers::~Callers() {
  for (int s : live_) sessions_[s]->close();
  for (auto& [until, session] : lingering_) session->close();
}

// A newcomer waits a little where no connection can make room for it at once.
void Callers::taken(asio::ip::tcp::socket socket) {
  if (live_.size() < most_ || make_room()) return admit(std::move(socket), listener_.backlogged_since());
  if (lobby_.size() >= kLobby) {
    ++counts_.turned_back;
    lobby_.pop_front();  // the socket closes
  }
  const Micros now = monotonic_now(), behind = listener_.backlogged_since();
  lobby_.push_back({behind > 0 ? behind : now, now + kLobbyWait, std::move(socket)});
}

void Callers::admit(asio::ip::tcp::socket socket, Micros waiting_since) {
  const int at = sessions_.allocate();
  live_.insert(at);
  sessions_[at] = std::make_shared<Session>(std::move(socket), *this, at, ++last_token_, waiting_since);
  sessions_[at]->forget_empty_wait();
  sessions_[at]->start();
}

// The connection that has been of no use for longest: one that never said anything before one between
// commands. One with bytes that nobody has read yet is in use. A command that crosses the closing is read
// off; its client comes again on a new connection.
bool Callers::make_room() {
  std::vector<int> in_use;
  while (true) {
    int worst = -1;
    for (int s : live_) {
      const Session& session = *sessions_[s];
      if (!session.quiet() || (worst >= 0 && sessions_[worst]->spoke() < session.spoke())) continue;
      if (std::find(in_use.begin(), in_use.end(), s) != in_use.end()) continue;
      const bool worse = worst < 0 || sessions_[worst]->spoke() > session.spoke() ||
                         sessions_[worst]->used() > session.used();
      if (worse) worst = s;
    }
    if (worst < 0) return false;
    if (!sessions_[worst]->has_unread_input()) {
      let_go(worst, CloseReason::evicted);
      return true;
    }
    in_use.push_back(worst);
  }
}

Callers::Session* Callers::find(const Caller& caller) const {
  if (caller.session < 0) return nullptr;
  Session* session = sessions_[caller.session].get();
  return session && session->token() == caller.token ? session : nullptr;
}

void Callers::answer(const Caller& caller, std::string_view bytes) {
  if (Session* session = find(caller)) {
    if (!session->answer(caller.turn, bytes)) {
      ++counts_.answered_again;
      logs::error("violation: a second answer", {{"connection", caller.token}, {"turn", caller.turn}});
    }
    dirty_.push_back(caller);
  }
}

bool Callers::hung_up(const Caller& caller) const {
  Session* session = find(caller);
  return !session || session->has_peer_closed();
}

Micros Callers::arrival() const {
  const Micros now = monotonic_now();
  return caught_up_ > 0 && now - caught_up_ > kPrompt ? caught_up_ : now;
}

void Callers::error(const Caller& caller, std::string_view why) {
  std::string line = "-ERR ";
  answer(caller, (line += why) += "\r\n");
}

void Callers::deliver() {
  for (const Caller& c : parted_)
    if (Session* session = find(c)) session->part();
  parted_.clear();
  parted_.swap(parting_);
  resuming_.swap(waiting_);
  for (const Caller& c : resuming_)
    if (Session* session = find(c)) session->go_on();
  resuming_.clear();
  while (!lobby_.empty() && (live_.size() < most_ || make_room())) {
    admit(std::move(lobby_.front().socket), lobby_.front().waiting_since);
    lobby_.pop_front();
  }
}

void Callers::flush() {
  flushing_.swap(dirty_);
  for (const Caller& c : flushing_)
    if (Session* session = find(c)) session->flushed();
  flushing_.clear();
}

void Callers::let_go(int at, CloseReason reason) {
  const std::shared_ptr<Session> session = std::move(sessions_[at]);
  const std::size_t unanswered = session->unanswered();
  ++counts_.closed[static_cast<std::size_t>(reason)];
  if (logs::is_debug_enabled())
    logs::debug("client closed", {{"connection", session->token()},
                                  {"why", permits::kCloseReasons[static_cast<std::size_t>(reason)]},
                                  {"unanswered", unanswered},
                                  {"pending", session->pending_bytes()}});
  if (!permits::may_close(reason, unanswered)) {
    ++counts_.closed_unanswered;
    logs::error("violation: closed unanswered",
                {{"connection", session->token()}, {"unanswered", unanswered}});
  }
  live_.erase(at);
  sessions_.release(at);
  session->leave([&](const Caller& c) { service_.left(c); });
  if (!session->open()) return;
  ++counts_.lingered;
  lingering_.emplace_back(monotonic_now() + kReadOff, session);
  session->close_lingering();
  while (live_.size() + lingering_.size() > most_ + kLingerers) {
    lingering_.front().second->close();
    lingering_.pop_front();
  }
}

void Callers::sweep(Micros now) {
  std::vector<int> all(live_.begin(), live_.end());
  for (int s : all)
    if (const auto reason = sessions_[s]->overdue(now)) let_go(s, *reason);
  std::erase_if(lingering_, [&](auto& one) {
    if (one.first <= now) one.second->close();
    return !one.second->open();
  });
  while (!lobby_.empty() && lobby_.front().until <= now) {
    ++counts_.turned_back;
    lobby_.pop_front();
  }
}

void Callers::close_idle() {
  std::vector<int> all(live_.begin(), live_.end());
  for (int s : all)
    if (sessions_[s]->quiet() && !sessions_[s]->has_unread_input()) let_go(s, CloseReason::idle);
}

void Callers::close_all() {
  std::vector<int> all(live_.begin(), live_.end());
  for (int s : all) {
    sessions_[s]->turn_back_held();
    let_go(s, CloseReason::stopping);
  }
}

}  // namespace yewmount::callers
