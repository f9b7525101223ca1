// yewmountd: one head, one process. With --settings it serves by its own door and wire; `yewmountd relay`
// serves the operators' platform by theirs.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "base/base.h"
#include "head/daemon.h"
#include "relay/relay.h"
#include "settings/json_schema.h"

namespace {

using namespace yewmount;

// Each signal that comes is handed on; the handler stands from now on.
class Signals {
 public:
  Signals(asio::io_context& io, std::function<void(int)> told)
      : signals_(io, SIGTERM, SIGINT, SIGHUP), told_(std::move(told)) {
    std::signal(SIGPIPE, SIG_IGN);
    wait();
  }

 private:
  void wait() {
    signals_.async_wait([this](std::error_code error, int signal) {
      if (error) return;
      told_(signal);
      wait();
    });
  }
  asio::signal_set signals_;
  std::function<void(int)> told_;
};

int serve(const std::string& file) {
  settings::HeadSettings given = settings::load_head_settings(file);
  logs::init("yewmountd", given.name);
  logs::set_level(given.log_level);
  asio::io_context io(1);
  const std::string name = given.name;
  std::unique_ptr<head::Daemon> daemon;
  Signals signals(io, [&](int signal) {
    if (signal != SIGHUP) return daemon->drain();
    try {
      const std::string why = daemon->reload(settings::load_head_settings(file));
      if (why.empty())
        logs::info("settings taken", {{"file", file}});
      else
        logs::error("settings turned down", {{"file", file}, {"why", why}});
    } catch (const std::exception& e) {
      logs::error("settings turned down", {{"why", e.what()}});
    }
    daemon->take_plan();
  });
  daemon = std::make_unique<head::Daemon>(io, std::move(given));
  logs::info("serving", {{"port", daemon->port()}});
  std::cout << nlohmann::json{{"ready", true}, {"name", name}, {"port", daemon->port()}}.dump() << std::endl;
  daemon->run();
  const head::Counts& c = daemon->counts();
  logs::info("drained", {{"taken", c.taken}, {"ended", c.ended}, {"shed", c.shed}, {"failed", c.failed}});
  return 0;
}

int serve_platform(const std::string& file, const std::string& level) {
  logs::init("yewmountd", "");
  asio::io_context io(1);
  std::unique_ptr<relay::Relay> relay;
  Signals signals(io, [&](int signal) {
    if (signal != SIGHUP) return relay->drain();
    try {
      const relay::Deployment given = relay::load_deployment(file);
      relay->reload(given);
      logs::info("settings taken", {{"list", given.discovery.address().to_string()}});
    } catch (const std::exception& e) {
      logs::error("settings turned down", {{"why", e.what()}});
    }
  });
  relay::Deployment given = relay::load_deployment(file);
  logs::init("yewmountd", given.name);
  logs::set_level(level);
  relay = std::make_unique<relay::Relay>(io, std::move(given));
  relay->set_tracing(level == "debug");
  logs::info("serving", {{"port", relay->port()}});
  relay->run();
  logs::info("drained", relay->report());
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"yewmountd: one head of the storage gateway"};
  std::string file, config, level = "info";
  app.add_option("--settings", file, "JSON settings of this head (schema/head.json)");
  CLI::App* platform = app.add_subcommand("relay", "one head on the operators' platform, speaking RESP2");
  platform->add_option("--config", config, "what the platform hands this head, as JSON")
      ->envname("RELAY_CONFIG")
      ->required();
  platform->add_option("--log-level", level, "debug traces every submit")
      ->check(CLI::IsMember({"debug", "info", "warn", "error"}));
  CLI11_PARSE(app, argc, argv);
  try {
    if (platform->parsed()) return serve_platform(config, level);
    if (file.empty()) throw std::runtime_error("--settings is required, or a sub-command");
    return serve(file);
  } catch (const std::exception& e) {
    std::cerr << "yewmountd: " << e.what() << std::endl;
    return 2;
  }
}
