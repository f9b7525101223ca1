// The yewmount command line tool. Each subcommand describes itself with --help.
#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>
#include <iostream>

#include "base/base.h"
#include "cli/plan.h"
#include "days/runner.h"
#include "judge/judge.h"
#include "settings/head_settings.h"
#include "settings/json_schema.h"

namespace {

constexpr int kExitRuleBroken = 1;
constexpr int kExitError = 2;

// Writes verdict.json, prints the verdict and returns the exit code.
int report_verdict(const yewmount::judge::Verdict& verdict, const std::string& folder, bool json) {
  const std::string text = verdict.to_json().dump(1);
  if (const std::string error = yewmount::write_file(folder + "/verdict.json", text + "\n"); !error.empty())
    std::cerr << "yewmount: " << error << std::endl;
  std::cout << (json ? text + "\n" : verdict.table());
  return verdict.all_kept() ? 0 : kExitRuleBroken;
}

}  // namespace

int main(int argc, char** argv) {
  using namespace yewmount;
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app{"yewmount: tools for heads and scripted days"};
  app.require_subcommand(1);
  std::string file;
  std::string folder;
  std::string head_program;
  bool json = false;
  auto* check =
      app.add_subcommand("check", "check a head's settings file; exit 2 with location and reason if invalid");
  check->add_option("FILE", file, "settings (schema/head.json)")->required();
  auto* schema = app.add_subcommand("schema", "print a built-in schema");
  schema->add_option("NAME", file, "head, day, problem, members, plan, node, client or list")->required();
  auto* day = app.add_subcommand("day", "run and judge scripted days");
  day->require_subcommand(1);
  auto* run = day->add_subcommand(
      "run", "run a day with processes on loopback and judge it; exit 1 if a rule is broken");
  run->add_option("DAY", file, "the day (schema/day.json)")->required();
  run->add_option("--out", folder, "directory for records, logs and verdict; must be empty or new")
      ->required();
  run->add_option("--head-program", head_program,
                  "yewmountd program to run (default: the one next to this program)");
  run->add_flag("--json", json, "the verdict as JSON");
  auto* judged = day->add_subcommand("judge", "judge a recording again; exit 1 if a rule is broken");
  judged->add_option("DIR", folder, "the directory given as --out")->required();
  judged->add_flag("--json", json, "the verdict as JSON");
  const cli::PlanCommands plan(app);
  CLI11_PARSE(app, argc, argv);
  try {
    if (check->parsed()) {
      const settings::HeadSettings provision = settings::load_head_settings(file);
      std::cout << file << ": valid (" << provision.groups.size() << " I/O groups, "
                << provision.rules.plans.size() << " plans, " << provision.volumes.size() << " volumes)"
                << std::endl;
    } else if (schema->parsed()) {
      const std::string_view text = settings::schema(file);
      if (text.empty()) throw settings::SettingsError("there is no schema named '" + file + "'");
      std::cout << text;
    } else if (run->parsed()) {
      const std::string self = std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
      days::run_scenario(file, folder, self, head_program);
      return report_verdict(judge::judge_folder(folder), folder, json);
    } else if (plan.parsed()) {
      return plan.run();
    } else if (judged->parsed()) {
      return report_verdict(judge::judge_folder(folder), folder, json);
    }
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "yewmount: " << e.what() << std::endl;
    return kExitError;
  }
}
