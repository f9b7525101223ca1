#include "net/listener.h"

#include <thread>

#include "base/base.h"
#include "net/socket_errors.h"

namespace yewmount::net {
namespace {

// Guards against a spin when descriptors or memory run out: connections stay in the queue meanwhile.
constexpr std::chrono::milliseconds kRoomWait{20};
constexpr int kTakenAtOnce = 64;  // so that others get their turn in a flood
constexpr int kBacklog = 1024;
constexpr int kOpenTries = 250;  // at a start, kRoomWait apart: five seconds of the ten that a restart has

}  // namespace

Listener::Listener(asio::io_context& io, const asio::ip::tcp::endpoint& at, Taken taken)
    : acceptor_(io), again_(io), taken_(std::move(taken)) {
  open(at.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  // Or the library takes ECONNABORTED and EPROTO for an empty queue, and waits for the next connection.
  acceptor_.set_option(asio::socket_base::enable_connection_aborted(true));
  acceptor_.bind(at);
  acceptor_.listen(kBacklog);
  acceptor_.non_blocking(true);
  wait();
}

// A machine may lack a descriptor or a buffer for a moment; that is no reason not to start.
void Listener::open(const asio::ip::tcp& protocol) {
  std::error_code error;
  for (int tries = 1; acceptor_.open(protocol, error), error; ++tries) {
    if (after_connect(error) != NextCall::later || tries == kOpenTries)
      throw std::system_error(error, "open");
    std::this_thread::sleep_for(kRoomWait);
  }
}

void Listener::finish() {
  while (acceptor_.is_open() && take_one()) {
  }
  close();
}

void Listener::wait() {
  acceptor_.async_wait(asio::socket_base::wait_read, [this, alive = alive_](std::error_code error) {
    if (!*alive || !acceptor_.is_open() || error == asio::error::operation_aborted) return;
    take_all();
  });
}

void Listener::take_all() {
  int taken = 0;
  while (taken < kTakenAtOnce && take_one()) ++taken;
  if (!acceptor_.is_open()) return;
  if (taken == kTakenAtOnce && behind_since_ == 0) behind_since_ = monotonic_now();
  if (!waits_for_room_) return wait();
  again_.expires_after(kRoomWait);
  again_.async_wait([this, alive = alive_](std::error_code stopped) {
    if (!stopped && *alive && acceptor_.is_open()) take_all();
  });
}

bool Listener::take_one() {
  asio::ip::tcp::socket socket(acceptor_.get_executor());
  std::error_code error;
  acceptor_.accept(socket, error);
  waits_for_room_ = false;
  if (!error) {
    taken_(std::move(socket));
    return acceptor_.is_open();
  }
  switch (after_accept(error)) {
    case NextCall::again:
      return true;
    case NextCall::ready:
      behind_since_ = 0;  // the queue is empty
      return false;
    case NextCall::later:
      waits_for_room_ = true;
      if (behind_since_ == 0) behind_since_ = monotonic_now();
      return false;
    case NextCall::never:
      return false;
  }
  return false;
}

asio::ip::address loopback(const std::string& address) {
  std::error_code error;
  const auto parsed = asio::ip::make_address(address, error);
  if (error) throw std::runtime_error("'" + address + "' is not an address");
  if (!parsed.is_loopback()) throw std::runtime_error("'" + address + "' is not a loopback address");
  return parsed;
}

}  // namespace yewmount::net
