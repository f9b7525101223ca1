// What an error of a system call on a socket means for the next call. One place for all streams and
// listeners, after the Linux manual pages.
#pragma once
#include <cerrno>
#include <system_error>

namespace yewmount::net {

enum class NextCall {
  again,  // the same call at once: it was interrupted, or only one connection was meant
  ready,  // once the socket is ready
  later,  // after a wait: the system lacks something for a moment
  never   // the socket is of no further use
};

// Of read, write and peek on a connection.
inline NextCall after_transfer(const std::error_code& error) {
  switch (error.value()) {
    case EINTR:
      return NextCall::again;
    case EAGAIN:
      return NextCall::ready;
    case ENOBUFS:
    case ENOMEM:
      return NextCall::later;
    default:
      return NextCall::never;
  }
}

// Of accept. Errors that are pending on the new connection are handed over by it and end that one only.
inline NextCall after_accept(const std::error_code& error) {
  switch (error.value()) {
    case EAGAIN:
      return NextCall::ready;
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
      return NextCall::later;
    case EBADF:
    case EINVAL:
    case ENOTSOCK:
    case EOPNOTSUPP:
      return NextCall::never;
    default:  // EINTR, ECONNABORTED, EPROTO, EPERM, and the network's: ENETDOWN, EHOSTUNREACH and the like
      return NextCall::again;
  }
}

// Of socket and connect. later: this machine has no descriptor, buffer, port or route for the moment, which
// says nothing of the other side.
inline NextCall after_connect(const std::error_code& error) {
  switch (error.value()) {
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EAGAIN:
    case EADDRNOTAVAIL:
    case ENETDOWN:
    case ENETUNREACH:
    case EINTR:
      return NextCall::later;
    default:
      return NextCall::never;
  }
}

}  // namespace yewmount::net
