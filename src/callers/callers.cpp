#include "callers/callers.h"

#include <algorithm>

#include "base/base.h"

namespace yewmount::callers {
namespace {

constexpr Micros kSecond = 1'000'000;
// Guards the head's descriptors and memory against clients that say nothing, begin a command and stay away,
// or read no answer. Harms a client whose one command takes longer than this to come.
constexpr Micros kSpeakWithin = 2 * kSecond;
constexpr Micros kStalled = 5 * kSecond;
constexpr Micros kIdle = 20 * kSecond;
constexpr Micros kReadOff = kSecond / 2;  // after an error line, so that it survives the close
constexpr std::size_t kMostReadOff = 4 << 20;
constexpr std::size_t kMostOpen = 32;  // commands of one connection: what comes behind them is not read
constexpr std::size_t kMostPending = 256 << 10;  // bytes that a client hasn't taken, before no more is read

}  // namespace

class Callers::Session : public net::Stream {
 public:
  Session(asio::ip::tcp::socket socket, Callers& owner, int number, std::uint64_t token)
      : Stream(std::move(socket)), owner_(owner), number_(number), token_(token) {}

  std::uint64_t token() const { return token_; }
  bool quiet() const { return slots_.empty() && held_.empty() && pending() == 0; }
  bool spoke() const { return spoke_; }
  Micros used() const { return used_; }

  void answer(std::uint64_t turn, std::string_view bytes) {
    if (turn < first_ || turn - first_ >= slots_.size()) return;
    Slot& slot = slots_[turn - first_];
    slot.done = true;
    if (turn != first_) {
      slot.answer = bytes;
      return;
    }
    out() += bytes;
    std::size_t n = 1;
    for (; n < slots_.size() && slots_[n].done; ++n) out() += slots_[n].answer;
    slots_.erase(slots_.begin(), slots_.begin() + static_cast<std::ptrdiff_t>(n));
    first_ += n;
    used_ = monotonic_now();
  }

  // What can't be read: an error line in its turn, and nothing more is taken.
  void refuse(std::string_view why) {
    ++owner_.counts_.unread;
    held_ = {};
    refused_at_ = monotonic_now();
    slots_.emplace_back();
    std::string line = "-ERR ";
    (line += why) += "\r\n";
    answer(first_ + slots_.size() - 1, line);
    owner_.dirty_.push_back(caller(0));
  }

  // Commands out of what has come and had to wait.
  void go_on() {
    if (refused_at_ > 0 || !full_) return;
    full_ = false;
    take({});
    if (open() && !full_) hold_reading(false);
  }

  void flushed() {
    if (!open()) return;
    flush();
    if (open()) moved();
  }

  // Whether it is to be closed now; counted by why.
  bool overdue(Micros now) {
    Counts& c = owner_.counts_;
    if (ended_ && now - std::max(refused_at_, used_) > kReadOff) return true;  // counted as it was refused
    if (pending() == 0) moved_ = now;
    if (handed() != told_) told_ = handed(), moved_ = now;
    if (now - moved_ > kStalled) return ++c.stalled;
    if (refused_at_ > 0 || !slots_.empty()) return false;
    if (!held_.empty() && !full_ && now - begun_ > kSpeakWithin) {
      refuse("a command that doesn't end");
      return false;
    }
    const bool silent = spoke_ ? quiet() && now - used_ > kIdle : now - began_ > kSpeakWithin;
    c.silent += silent;
    return silent;
  }

  // Each of its commands that has no answer, once it is gone.
  template <class Left>
  void leave(Left left) {
    for (std::size_t i = 0; i < slots_.size(); ++i)
      if (!slots_[i].done) left(caller(first_ + i));
    slots_.clear();
  }

 private:
  struct Slot {
    bool done = false;
    std::string answer;  // until those before it are out
  };

  Caller caller(std::uint64_t turn) const { return {number_, token_, turn}; }
  std::span<char> room() override { return net::shared_room(); }
  void lost(const std::error_code&) override { owner_.drop(number_); }

  // What had to wait for the client to take its answers goes on.
  void moved() override {
    if (refused_at_ > 0 && slots_.empty() && !ended_) {
      ended_ = true;
      end_sending();
    }
    // What a burst of long answers needed is not kept.
    if (pending() == 0 && out().capacity() > kMostPending) out() = {};
    if (full_ && slots_.size() < kMostOpen && pending() < kMostPending) owner_.waiting_.push_back(caller(0));
  }

  void came(std::size_t bytes) override {
    if (refused_at_ == 0) return take({net::shared_room().data(), bytes});
    read_off_ += bytes;
    if (ended_ && read_off_ > kMostReadOff) owner_.drop(number_);
  }

  // An exception in one connection ends that connection only.
  void take(std::string_view bytes) {
    try {
      cut(bytes);
    } catch (const std::exception& e) {
      ++owner_.counts_.thrown;
      logs::warn("connection ended", {{"why", e.what()}});
      owner_.drop(number_);
    }
  }

  void cut(std::string_view bytes) {
    std::string kept;
    std::string_view all = bytes;
    if (!held_.empty()) {
      kept.swap(held_);
      all = kept.append(bytes);
    }
    while (!all.empty()) {
      if (slots_.size() >= kMostOpen || pending() >= kMostPending) {
        full_ = true;
        hold_reading(true);
        break;
      }
      resp::Command command;
      const resp::Cut cut = resp::cut(all, command);
      if (cut == resp::Cut::partial) break;
      if (cut == resp::Cut::malformed) return refuse(command.why);
      all.remove_prefix(command.bytes);
      begun_ = 0;
      spoke_ = true;
      slots_.emplace_back();
      owner_.service_.asked(caller(first_ + slots_.size() - 1), command);
    }
    if (all.empty()) return;
    held_ = std::string(all);
    if (begun_ == 0) begun_ = monotonic_now();
  }

  Callers& owner_;
  const int number_;
  const std::uint64_t token_;
  std::vector<Slot> slots_;  // of commands without an answer, or whose answer waits for its turn
  std::uint64_t first_ = 0, told_ = 0;
  std::string held_;  // of a command that isn't whole, or that had to wait
  bool spoke_ = false, full_ = false, ended_ = false;
  Micros began_ = monotonic_now(), used_ = began_, moved_ = began_, begun_ = 0, refused_at_ = 0;
  std::size_t read_off_ = 0;
};

Callers::Callers(asio::io_context& io, const asio::ip::tcp::endpoint& at, std::size_t most, Service& service)
    : io_(io),
      most_(most),
      service_(service),
      listener_(io, at, [this](asio::ip::tcp::socket s) { taken(std::move(s)); }) {}

Callers::~Callers() {
  for (int s : live_) sessions_[s]->close();
}

void Callers::taken(asio::ip::tcp::socket socket) {
  if (live_.size() >= most_ && !make_room()) {
    ++counts_.turned_back;
    return;  // the socket closes
  }
  const int at = sessions_.claim();
  live_.add(at);
  sessions_[at] = std::make_shared<Session>(std::move(socket), *this, at, ++last_token_);
  sessions_[at]->start();
}

// The connection that has been of no use for longest: one that never said anything before one between
// commands. A client's next command may be on its way on the latter; it comes again on a new one.
bool Callers::make_room() {
  int worst = -1;
  for (int s : live_) {
    const Session& session = *sessions_[s];
    if (!session.quiet() || (worst >= 0 && sessions_[worst]->spoke() < session.spoke())) continue;
    const bool worse =
        worst < 0 || sessions_[worst]->spoke() > session.spoke() || sessions_[worst]->used() > session.used();
    if (worse) worst = s;
  }
  if (worst < 0 || sessions_[worst]->unread()) return false;
  ++counts_.evicted;
  drop(worst);
  return true;
}

Callers::Session* Callers::find(const Caller& caller) {
  if (caller.session < 0) return nullptr;
  Session* session = sessions_[caller.session].get();
  return session && session->token() == caller.token ? session : nullptr;
}

void Callers::answer(const Caller& caller, std::string_view bytes) {
  if (Session* session = find(caller)) {
    session->answer(caller.turn, bytes);
    dirty_.push_back(caller);
  }
}

void Callers::error(const Caller& caller, std::string_view why) {
  std::string line = "-ERR ";
  answer(caller, (line += why) += "\r\n");
}

void Callers::deliver() {
  resuming_.swap(waiting_);
  for (const Caller& c : resuming_)
    if (Session* session = find(c)) session->go_on();
  resuming_.clear();
}

void Callers::flush() {
  flushing_.swap(dirty_);
  for (const Caller& c : flushing_)
    if (Session* session = find(c)) session->flushed();
  flushing_.clear();
}

void Callers::drop(int at) {
  const std::shared_ptr<Session> session = std::move(sessions_[at]);
  session->close();
  live_.drop(at);
  sessions_.release(at);
  session->leave([&](const Caller& c) { service_.left(c); });
}

void Callers::sweep(Micros now) {
  std::vector<int> all(live_.begin(), live_.end());
  for (int s : all) {
    if (sessions_[s]->overdue(now)) drop(s);
  }
}

void Callers::close_idle() {
  std::vector<int> all(live_.begin(), live_.end());
  for (int s : all)
    if (sessions_[s]->quiet() && !sessions_[s]->unread()) drop(s);
}

}  // namespace yewmount::callers
