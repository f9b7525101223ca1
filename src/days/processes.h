// Child processes of a day: started with their log in a file, told ready by a JSON line on their standard
// output, ended by their own ids only.
#pragma once
#include <sys/types.h>

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace yewmount::days {

class Process {
 public:
  Process() = default;
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Throws std::runtime_error with one line: can't be started.
  void start(const std::vector<std::string>& command, const std::string& log);
  // The next JSON line from its standard output; throws where none comes in time.
  nlohmann::json line(std::int64_t within);
  bool running();
  void signal(int number);
  // Whether it has ended by then; its code (128 + signal where a signal ended it).
  bool ended(std::int64_t within, int& code);
  void kill();
  pid_t pid() const { return pid_; }

 private:
  void reap(int status);
  std::string what_, text_;
  pid_t pid_ = -1;
  int out_ = -1, code_ = 0;
  bool reaped_ = true;
};

// One command to a stand-in's control door; throws where it is not obeyed.
void command(std::uint16_t port, const nlohmann::json& what);

}  // namespace yewmount::days
