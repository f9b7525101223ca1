// Child processes of a scenario. Each writes its log to a file, reports that it is ready with a JSON line on
// its standard output, and is signalled only by its own process id.
#pragma once
#include <sys/types.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace yewmount::days {

// A child process, killed on destruction.
class Process {
 public:
  Process() = default;
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Starts the command and appends its standard error to log_file; kills the process started before, if any.
  // Throws std::runtime_error with a one-line message.
  void start(const std::vector<std::string>& command, const std::string& log_file);
  // Reads the next JSON line of the standard output. Throws std::runtime_error on timeout or end of file.
  nlohmann::json read_json_line(std::int64_t timeout_us);
  bool is_running();
  void signal(int number);
  // Waits for the process to exit and returns whether it has. exit_code is 128 plus the signal number if a
  // signal ended it.
  bool wait_for_exit(std::int64_t timeout_us, int& exit_code);
  void kill();
  pid_t pid() const { return pid_; }

 private:
  void set_exited(int wait_status);
  std::string program_;
  std::string output_;  // read from the standard output and not yet returned
  pid_t pid_ = -1;
  int stdout_fd_ = -1;
  int exit_code_ = 0;
  bool has_exited_ = true;
};

// Sends one command to the control port of a stand-in. Throws std::runtime_error if it is rejected.
void send_control_command(std::uint16_t port, const nlohmann::json& control_command);

}  // namespace yewmount::days
