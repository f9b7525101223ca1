// A client that reads an answer over HTTP at a steady pace.
#pragma once
#include "kit.h"

namespace kit {

// Reads its answer at a steady pace.
struct Reader {
  int fd = -1;
  std::size_t got = 0;
  std::size_t length = 0;  // of the whole answer; 0: not known yet
  std::string front;
  bool closed = false;
  Micros sent_at = 0;
  Micros done_at = 0;
  Micros last_at = 0;  // when bytes last came
  // Asks for an object on a connection of its own.
  void ask(const Address& address, const std::string& path) {
    fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int room = 64 << 10;
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &room, sizeof room);
    const sockaddr_in to = address.to_sockaddr();
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0) cannot_run("no connection");
    const std::string request = "GET " + path + " HTTP/1.1\r\nHost: head\r\n\r\n";
    ::send(fd, request.data(), request.size(), MSG_NOSIGNAL);
    sent_at = last_at = now();
  }
  bool whole() const { return length > 0 && got >= length; }
  void read_some(std::size_t most) {
    std::string buffer(most, 0);
    const ssize_t n = ::recv(fd, buffer.data(), most, MSG_DONTWAIT);
    if (n == 0 || (n < 0 && errno != EAGAIN)) closed = true;
    if (n <= 0) return;
    last_at = now();
    got += static_cast<std::size_t>(n);
    if (length == 0) {
      front.append(buffer, 0, static_cast<std::size_t>(n));
      const std::size_t end = front.find("\r\n\r\n");
      const std::size_t at = front.find("Content-Length: ");
      if (end != std::string::npos && at < end)
        length = end + 4 + static_cast<std::size_t>(std::atol(front.c_str() + at + 16));
    }
    if (whole() && done_at == 0) done_at = now();
  }
};


}  // namespace kit
