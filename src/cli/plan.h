// yewmount plan: work a plan out, say why one can't be, compare two.
#pragma once
#include <CLI/CLI.hpp>
#include <memory>

namespace yewmount::cli {

class PlanCommands {
 public:
  explicit PlanCommands(CLI::App& app);
  ~PlanCommands();
  bool parsed() const;
  // Exit code: 0, 1 (brute force says otherwise), 3 (can't be met). Throws settings::SettingsError for what
  // can't be read.
  int run() const;

 private:
  struct Given;
  std::unique_ptr<Given> given_;
};

}  // namespace yewmount::cli
