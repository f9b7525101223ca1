// What the stand-ins share: a record of JSON lines that is on disk before what it tells of leaves the
// process, and a control door that takes commands as JSON lines. Nothing here is part of the program.
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

class Record {
 public:
  explicit Record(const std::string& path) {
    if (path.empty()) return;
    file_ = std::fopen(path.c_str(), "a");
    if (!file_) throw std::runtime_error("can't write the record " + path);
  }
  ~Record() {
    if (file_) flush(), std::fclose(file_);
  }
  bool on() const { return file_ != nullptr; }
  void add(nlohmann::ordered_json line) {
    if (!file_) return;
    line["t"] = monotonic_now();
    text_ += line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    text_ += '\n';
  }
  // Written through before the turn's frames leave: a killed process leaves no frame unrecorded.
  void flush() {
    if (!file_ || text_.empty()) return;
    std::fwrite(text_.data(), 1, text_.size(), file_);
    std::fflush(file_);
    text_.clear();
  }

 private:
  std::FILE* file_ = nullptr;
  std::string text_;
};

// The loop of a stand-in: says that it is ready, then turns until it is told to end. Server: next(),
// turn_over().
template <class Server>
void serve(asio::io_context& io, Server& server, const nlohmann::json& ready) {
  asio::signal_set signals(io, SIGTERM, SIGINT);
  bool stop = false;
  signals.async_wait([&](std::error_code error, int) { stop = !error; });
  std::cout << ready.dump() << std::endl;
  server.turn_over();
  while (!stop) {
    const std::int64_t wait = std::max<std::int64_t>(0, server.next() - monotonic_now());
    io.run_one_for(std::chrono::microseconds(wait));
    for (int n = 0; n < 256 && io.poll_one() > 0; ++n) {
    }
    server.turn_over();
  }
}

class Control {
 public:
  using Obey = std::function<void(const nlohmann::json&)>;
  Control(asio::io_context& io, std::uint16_t port, Obey obey)
      : obey_(std::move(obey)), listener_(io, "127.0.0.1", port, [this](asio::ip::tcp::socket s) {
          auto talk = std::make_shared<Talk>(Talk{std::move(s), {}});
          hear(talk);
        }) {}
  std::uint16_t port() const { return listener_.port(); }

 private:
  struct Talk {
    asio::ip::tcp::socket socket;
    std::string text;
  };
  void hear(const std::shared_ptr<Talk>& talk) {
    asio::async_read_until(talk->socket, asio::dynamic_buffer(talk->text, 1 << 20), '\n',
                           [this, talk](std::error_code error, std::size_t size) {
                             if (error) return;
                             nlohmann::json said = {{"ok", true}};
                             try {
                               obey_(nlohmann::json::parse(talk->text.substr(0, size)));
                             } catch (const std::exception& e) {
                               said = {{"ok", false}, {"why", e.what()}};
                             }
                             talk->text.erase(0, size);
                             auto answer = std::make_shared<std::string>(said.dump() + "\n");
                             asio::async_write(talk->socket, asio::buffer(*answer),
                                               [this, talk, answer](std::error_code failed, std::size_t) {
                                                 if (!failed) hear(talk);
                                               });
                           });
  }
  Obey obey_;
  net::Listener listener_;
};

}  // namespace yewmount::standins
