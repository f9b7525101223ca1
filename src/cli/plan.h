// The `yewmount plan` commands: check a problem, compute a plan, explain infeasibility, compare two plans.
#pragma once
#include <CLI/CLI.hpp>
#include <memory>

namespace yewmount::cli {

class PlanCommands {
 public:
  explicit PlanCommands(CLI::App& app);
  ~PlanCommands();
  bool parsed() const;
  // Runs the parsed subcommand and returns the exit code: 0, 1 (brute force gives another result) or 3
  // (infeasible). Throws settings::Bad for invalid input.
  int run() const;

 private:
  struct Options;
  std::unique_ptr<Options> options_;
};

}  // namespace yewmount::cli
