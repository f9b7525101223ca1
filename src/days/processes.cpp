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
  if (stdout_fd_ >= 0) ::close(stdout_fd_);
}

void Process::start(const std::vector<std::string>& command, const std::string& log_file) {
  kill();
  if (stdout_fd_ >= 0) ::close(std::exchange(stdout_fd_, -1));
  program_ = command.front();
  output_.clear();
  int pipe[2];
  if (::pipe2(pipe, O_CLOEXEC) != 0)
    throw std::runtime_error(std::string("can't create a pipe: ") + std::strerror(errno));
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 0, "/dev/null", O_RDONLY, 0);
  posix_spawn_file_actions_adddup2(&actions, pipe[1], 1);
  posix_spawn_file_actions_addopen(&actions, 2, log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  std::vector<char*> arguments;
  for (const std::string& argument : command) arguments.push_back(const_cast<char*>(argument.c_str()));
  arguments.push_back(nullptr);
  const int error = ::posix_spawn(&pid_, arguments[0], &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  ::close(pipe[1]);
  stdout_fd_ = pipe[0];
  if (error != 0) {
    pid_ = -1;
    throw std::runtime_error("can't start " + program_ + ": " + std::strerror(error));
  }
  has_exited_ = false;
}

nlohmann::json Process::read_json_line(std::int64_t timeout_us) {
  const std::int64_t deadline = monotonic_now() + timeout_us;
  while (true) {
    if (const auto end = output_.find('\n'); end != std::string::npos) {
      const std::string line = output_.substr(0, end);
      output_.erase(0, end + 1);
      return nlohmann::json::parse(line);
    }
    const std::int64_t remaining_us = deadline - monotonic_now();
    pollfd readable{stdout_fd_, POLLIN, 0};
    if (remaining_us <= 0 || ::poll(&readable, 1, static_cast<int>(remaining_us / 1000 + 1)) == 0)
      throw std::runtime_error(program_ + " did not report that it is ready in time");
    char buffer[4096];
    const ssize_t n = ::read(stdout_fd_, buffer, sizeof buffer);
    if (n <= 0) throw std::runtime_error(program_ + " exited before it was ready; see its log");
    output_.append(buffer, static_cast<std::size_t>(n));
  }
}

void Process::set_exited(int wait_status) {
  has_exited_ = true;
  exit_code_ = WIFEXITED(wait_status) ? WEXITSTATUS(wait_status) : 128 + WTERMSIG(wait_status);
}

bool Process::is_running() {
  if (has_exited_) return false;
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) == pid_) set_exited(status);
  return !has_exited_;
}

void Process::signal(int number) {
  if (is_running()) ::kill(pid_, number);
}

bool Process::wait_for_exit(std::int64_t timeout_us, int& exit_code) {
  const std::int64_t deadline = monotonic_now() + timeout_us;
  while (is_running() && monotonic_now() < deadline)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  exit_code = exit_code_;
  return has_exited_;
}

void Process::kill() {
  if (has_exited_ || pid_ < 0) return;
  ::kill(pid_, SIGKILL);
  int status = 0;
  if (::waitpid(pid_, &status, 0) == pid_) set_exited(status);
}

void send_control_command(std::uint16_t port, const nlohmann::json& control_command) {
  asio::io_context io;
  asio::ip::tcp::socket socket(io);
  socket.connect({asio::ip::address_v4::loopback(), port});
  asio::write(socket, asio::buffer(control_command.dump() + "\n"));
  std::string response;
  asio::read_until(socket, asio::dynamic_buffer(response), '\n');
  const auto reply = nlohmann::json::parse(response);
  if (!reply.value("ok", false))
    throw std::runtime_error("a stand-in rejected " + control_command.dump() + ": " + reply.value("why", ""));
}

}  // namespace yewmount::days
