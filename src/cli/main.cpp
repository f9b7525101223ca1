// yewmount: the command line. Each sub-command says what it does with --help.
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

constexpr int kBroken = 1, kBad = 2;

int tell(const yewmount::judge::Verdict& verdict, const std::string& folder, bool json) {
  const std::string text = verdict.to_json().dump(1);
  if (const std::string why = yewmount::write_file(folder + "/verdict.json", text + "\n"); !why.empty())
    std::cerr << "yewmount: " << why << std::endl;
  std::cout << (json ? text + "\n" : verdict.table());
  return verdict.kept() ? 0 : kBroken;
}

}  // namespace

int main(int argc, char** argv) {
  using namespace yewmount;
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app{"yewmount: tools for heads and their days"};
  app.require_subcommand(1);
  std::string file, folder, head;
  bool json = false;
  auto* check =
      app.add_subcommand("check", "check a head's settings file; exit 2 with place and reason if bad");
  check->add_option("FILE", file, "settings (schema/head.json)")->required();
  auto* schema = app.add_subcommand("schema", "print a schema that is built in");
  schema->add_option("NAME", file, "head, day, problem, members, plan, node, client or list")->required();
  auto* day = app.add_subcommand("day", "play and judge scripted days");
  day->require_subcommand(1);
  auto* run = day->add_subcommand(
      "run", "play a day with processes on loopback and judge it; exit 1 if a rule broke");
  run->add_option("DAY", file, "the day (schema/day.json)")->required();
  run->add_option("--out", folder, "where records, logs and verdict go; empty or new")->required();
  run->add_option("--head-program", head, "another yewmountd than the one beside this program");
  run->add_flag("--json", json, "the verdict as JSON");
  auto* judged = day->add_subcommand("judge", "judge a recording again; exit 1 if a rule broke");
  judged->add_option("DIR", folder, "what --out named")->required();
  judged->add_flag("--json", json, "the verdict as JSON");
  const cli::PlanCommands plan(app);
  CLI11_PARSE(app, argc, argv);
  try {
    if (check->parsed()) {
      const settings::HeadSettings given = settings::load_head_settings(file);
      std::cout << file << ": fine (" << given.groups.size() << " I/O groups, " << given.rules.plans.size()
                << " plans, " << given.volumes.size() << " volumes)" << std::endl;
    } else if (schema->parsed()) {
      const std::string_view text = settings::schema(file);
      if (text.empty()) throw settings::SettingsError("no schema is named '" + file + "'");
      std::cout << text;
    } else if (run->parsed()) {
      const std::string self = std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
      days::play(file, folder, self, head);
      return tell(judge::judge_folder(folder), folder, json);
    } else if (plan.parsed()) {
      return plan.run();
    } else if (judged->parsed()) {
      return tell(judge::judge_folder(folder), folder, json);
    }
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "yewmount: " << e.what() << std::endl;
    return kBad;
  }
}
