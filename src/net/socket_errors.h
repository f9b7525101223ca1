// Classifies errors of socket system calls by whether and when the call may be retried, according to the
// Linux manual pages. Shared by all streams and listeners.
#pragma once
#include <cerrno>
#include <system_error>

namespace yewmount::net {

enum class Retry {
  immediately,  // the call was interrupted, or the error concerned a single connection
  when_ready,   // once the socket polls as ready
  after_delay,  // the system is temporarily short of a resource
  never         // the socket is unusable
};

// Errors of read, write and peek on a connection.
inline Retry retry_after_transfer(const std::error_code& error) {
  switch (error.value()) {
    case EINTR:
      return Retry::immediately;
    case EAGAIN:
      return Retry::when_ready;
    case ENOBUFS:
    case ENOMEM:
      return Retry::after_delay;
    default:
      return Retry::never;
  }
}

// Errors of accept. Linux also reports errors that are pending on the new connection; they end only that one.
inline Retry retry_after_accept(const std::error_code& error) {
  switch (error.value()) {
    case EAGAIN:
      return Retry::when_ready;
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
      return Retry::after_delay;
    case EBADF:
    case EINVAL:
    case ENOTSOCK:
    case EOPNOTSUPP:
      return Retry::never;
    default:  // EINTR, ECONNABORTED, EPROTO, EPERM, and network errors such as ENETDOWN and EHOSTUNREACH
      return Retry::immediately;
  }
}

// Errors of socket and connect. after_delay: this machine has no descriptor, buffer, port or route at the
// moment, which says nothing about the peer.
inline Retry retry_after_connect(const std::error_code& error) {
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
      return Retry::after_delay;
    default:
      return Retry::never;
  }
}

}  // namespace yewmount::net
