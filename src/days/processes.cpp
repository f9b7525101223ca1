#include "days/processes.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <asio.hpp>
#include <cstring>
#include <stdexcept>
#include <thread>

#include "base/base.h"

extern char** environ;

namespace yewmount::days {

Process::~Process() {
  kill();
  if (out_ >= 0) ::close(out_);
}

void Process::start(const std::vector<std::string>& command, const std::string& log) {
  kill();
  if (out_ >= 0) ::close(std::exchange(out_, -1));
  what_ = command.front();
  text_.clear();
  int pipe[2];
  if (::pipe2(pipe, O_CLOEXEC) != 0)
    throw std::runtime_error(std::string("no pipe: ") + std::strerror(errno));
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_adddup2(&actions, pipe[1], 1);
  posix_spawn_file_actions_addopen(&actions, 2, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  std::vector<char*> words;
  for (const std::string& w : command) words.push_back(const_cast<char*>(w.c_str()));
  words.push_back(nullptr);
  const int error = ::posix_spawn(&pid_, words[0], &actions, nullptr, words.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  ::close(pipe[1]);
  out_ = pipe[0];
  if (error != 0) {
    pid_ = -1;
    throw std::runtime_error("can't start " + what_ + ": " + std::strerror(error));
  }
  reaped_ = false;
}

nlohmann::json Process::line(std::int64_t within) {
  const std::int64_t until = monotonic_now() + within;
  while (true) {
    if (const auto end = text_.find('\n'); end != std::string::npos) {
      const std::string first = text_.substr(0, end);
      text_.erase(0, end + 1);
      return nlohmann::json::parse(first);
    }
    const std::int64_t left = until - monotonic_now();
    pollfd wait{out_, POLLIN, 0};
    if (left <= 0 || ::poll(&wait, 1, static_cast<int>(left / 1000 + 1)) == 0)
      throw std::runtime_error(what_ + " did not say that it is ready");
    char part[4096];
    const ssize_t n = ::read(out_, part, sizeof part);
    if (n <= 0) throw std::runtime_error(what_ + " ended before it was ready; its log tells why");
    text_.append(part, static_cast<std::size_t>(n));
  }
}

void Process::reap(int status) {
  reaped_ = true;
  code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

bool Process::running() {
  if (reaped_) return false;
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) == pid_) reap(status);
  return !reaped_;
}

void Process::signal(int number) {
  if (running()) ::kill(pid_, number);
}

bool Process::ended(std::int64_t within, int& code) {
  const std::int64_t until = monotonic_now() + within;
  while (running() && monotonic_now() < until) std::this_thread::sleep_for(std::chrono::milliseconds(5));
  code = code_;
  return reaped_;
}

void Process::kill() {
  if (reaped_ || pid_ < 0) return;
  ::kill(pid_, SIGKILL);
  int status = 0;
  if (::waitpid(pid_, &status, 0) == pid_) reap(status);
}

void command(std::uint16_t port, const nlohmann::json& what) {
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  socket.connect({asio::ip::address_v4::loopback(), port});
  asio::write(socket, asio::buffer(what.dump() + "\n"));
  std::string text;
  asio::read_until(socket, asio::dynamic_buffer(text), '\n');
  const auto said = nlohmann::json::parse(text);
  if (!said.value("ok", false))
    throw std::runtime_error("a stand-in turned down " + what.dump() + ": " + said.value("why", ""));
}

}  // namespace yewmount::days
