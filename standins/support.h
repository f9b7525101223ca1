// Shared parts of the stand-ins: a record of JSON lines, an event loop, and a control port that takes
// commands as JSON lines. None of this is part of the product.
#pragma once
#include <asio.hpp>
#include <csignal>
#include <cstdio>
#include <functional>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "base/base.h"
#include "net/link.h"

namespace yewmount::standins {

// Appends events to a file of JSON lines, each with its time "t" in monotonic microseconds. Without a path it
// does nothing.
class RecordWriter {
 public:
  explicit RecordWriter(const std::string& path) {
    if (path.empty()) return;
    file_ = std::fopen(path.c_str(), "a");
    if (!file_) throw std::runtime_error("can't write the record " + path);
  }
  ~RecordWriter() {
    if (file_) {
      flush();
      std::fclose(file_);
    }
  }
  bool is_enabled() const { return file_ != nullptr; }
  void append(nlohmann::ordered_json event) {
    if (!file_) return;
    event["t"] = monotonic_now();
    buffer_ += event.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    buffer_ += '\n';
  }
  // To be called before the frames of an event loop iteration are sent, so that no frame goes unrecorded if
  // the process is killed.
  void flush() {
    if (!file_ || buffer_.empty()) return;
    std::fwrite(buffer_.data(), 1, buffer_.size(), file_);
    std::fflush(file_);
    buffer_.clear();
  }

 private:
  std::FILE* file_ = nullptr;
  std::string buffer_;
};

// Prints `ready` and runs the event loop until SIGTERM or SIGINT. The server has run_due_work(), called after
// each iteration, and next_deadline(), when run_due_work() is due at the latest.
template <class Server>
void run_event_loop(asio::io_context& io, Server& server, const nlohmann::json& ready) {
  asio::signal_set signals(io, SIGTERM, SIGINT);
  bool is_stopping = false;
  signals.async_wait([&](std::error_code error, int) { is_stopping = !error; });
  std::cout << ready.dump() << std::endl;
  server.run_due_work();
  while (!is_stopping) {
    const std::int64_t wait_us = std::max<std::int64_t>(0, server.next_deadline() - monotonic_now());
    io.run_one_for(std::chrono::microseconds(wait_us));
    for (int n = 0; n < 256 && io.poll_one() > 0; ++n) {
    }
    server.run_due_work();
  }
}

// Listens for control commands, one JSON object a line, and answers each with {"ok": true} or with the reason
// why it failed.
class ControlServer {
 public:
  // Executes a command; throws std::exception to reject it.
  using Handler = std::function<void(const nlohmann::json&)>;
  ControlServer(asio::io_context& io, std::uint16_t port, Handler handler)
      : handler_(std::move(handler)), listener_(io, "127.0.0.1", port, [this](asio::ip::tcp::socket socket) {
          auto session = std::make_shared<Session>(Session{std::move(socket), {}});
          read_command(session);
        }) {}
  std::uint16_t port() const { return listener_.port(); }

 private:
  struct Session {
    asio::ip::tcp::socket socket;
    std::string buffer;
  };
  void read_command(const std::shared_ptr<Session>& session) {
    asio::async_read_until(session->socket, asio::dynamic_buffer(session->buffer, 1 << 20), '\n',
                           [this, session](std::error_code error, std::size_t size) {
                             if (error) return;
                             nlohmann::json reply = {{"ok", true}};
                             try {
                               handler_(nlohmann::json::parse(session->buffer.substr(0, size)));
                             } catch (const std::exception& e) {
                               reply = {{"ok", false}, {"why", e.what()}};
                             }
                             session->buffer.erase(0, size);
                             auto line = std::make_shared<std::string>(reply.dump() + "\n");
                             asio::async_write(session->socket, asio::buffer(*line),
                                               [this, session, line](std::error_code failed, std::size_t) {
                                                 if (!failed) read_command(session);
                                               });
                           });
  }
  Handler handler_;
  net::Listener listener_;
};

}  // namespace yewmount::standins
