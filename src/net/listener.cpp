#include "net/listener.h"

#include <thread>

#include "base/base.h"
#include "net/socket_errors.h"

namespace yewmount::net {
namespace {

// Delay before a retry when descriptors or memory run out. It prevents a busy loop; connections stay in the
// accept queue meanwhile.
constexpr std::chrono::milliseconds kResourceRetryDelay{2};
constexpr int kMaxAcceptsPerWakeup = 64;  // keeps a flood of connections from starving other handlers
constexpr int kAcceptQueueLength = 1024;
constexpr std::uint64_t kMaxQueued = kAcceptQueueLength + 1;  // the system takes one more
// At startup, kResourceRetryDelay apart: five seconds of the ten that a restart may take.
constexpr int kMaxOpenAttempts = 2500;

}  // namespace

Listener::Listener(asio::io_context& io, const asio::ip::tcp::endpoint& endpoint, AcceptHandler on_accept)
    : acceptor_(io), retry_timer_(io), on_accept_(std::move(on_accept)) {
  open(endpoint.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  // Without this option the library treats ECONNABORTED and EPROTO as an empty queue and waits for the next
  // connection, although others may be queued.
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
  acceptor_.bind(endpoint);
  acceptor_.listen(kAcceptQueueLength);
  acceptor_.non_blocking(true);
  wait();
}

// Retries while the machine is temporarily short of descriptors or buffers: startup should not fail for that.
void Listener::open(const asio::ip::tcp& protocol) {
  std::error_code error;
  for (int attempt = 1; acceptor_.open(protocol, error), error; ++attempt) {
    if (retry_after_connect(error) != Retry::after_delay || attempt == kMaxOpenAttempts)
      throw std::system_error(error, "open");
    std::this_thread::sleep_for(kResourceRetryDelay);
  }
}

void Listener::accept_pending_and_close() {
  while (acceptor_.is_open() && accept_one()) {
  }
  close();
}

void Listener::wait() {
  acceptor_.async_wait(asio::socket_base::wait_read, [this, alive = alive_](std::error_code error) {
    if (!*alive || !acceptor_.is_open() || error == asio::error::operation_aborted) return;
    accept_available();
  });
}

void Listener::accept_available() {
  int accepted = 0;
  while (accepted < kMaxAcceptsPerWakeup && accept_one()) ++accepted;
  if (!acceptor_.is_open()) return;
  if (accepted == kMaxAcceptsPerWakeup) note_backlog();
  if (!lacks_resources_) return wait();
  retry_timer_.expires_after(kResourceRetryDelay);
  retry_timer_.async_wait([this, alive = alive_](std::error_code error) {
    if (!error && *alive && acceptor_.is_open()) accept_available();
  });
}

bool Listener::accept_one() {
  asio::ip::tcp::socket socket(acceptor_.get_executor());
  std::error_code error;
  acceptor_.accept(socket, error);
  lacks_resources_ = false;
  if (!error) {
    ++accepted_;
    on_accept_(std::move(socket));
    return acceptor_.is_open();
  }
  switch (retry_after_accept(error)) {
    case Retry::immediately:
      return true;
    case Retry::when_ready:
      note_empty_queue();
      return false;
    case Retry::after_delay:
      lacks_resources_ = true;
      note_backlog();
      return false;
    case Retry::never:
      return false;
  }
  return false;
}

// The queue may hold connections. Those in it at an earlier time have been accepted once as many more have
// been as it can hold.
void Listener::note_backlog() {
  const std::int64_t now = monotonic_now();
  if (backlogged_since_ == 0) backlogged_since_ = now;
  if (history_.empty() || history_.back().count < accepted_) history_.push_back({accepted_, now});
  const auto has_been_drained = [&](const Accepted& then) { return then.count + kMaxQueued < accepted_; };
  while (history_.size() > 1 && has_been_drained(history_[1])) history_.pop_front();
  if (has_been_drained(history_.front()))
    backlogged_since_ = std::max(backlogged_since_, history_.front().at);
}

void Listener::note_empty_queue() {
  backlogged_since_ = 0;
  history_.clear();
}

asio::ip::address parse_loopback_address(const std::string& address) {
  std::error_code error;
  const auto parsed = asio::ip::make_address(address, error);
  if (error) throw std::runtime_error("'" + address + "' is not an address");
  if (!parsed.is_loopback()) throw std::runtime_error("'" + address + "' is not a loopback address");
  return parsed;
}

}  // namespace yewmount::net
