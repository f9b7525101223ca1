// yewmountd: runs one head in one process. With --settings it serves HTTP clients and uses the project's own
// wire protocol to the nodes; `yewmountd relay` runs it on the operators' platform, over RESP2.
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

// Calls a handler on the event loop for each SIGTERM, SIGINT and SIGHUP from construction on; ignores
// SIGPIPE.
class SignalDispatcher {
 public:
  SignalDispatcher(asio::io_context& io, std::function<void(int)> on_signal)
      : signals_(io, SIGTERM, SIGINT, SIGHUP), on_signal_(std::move(on_signal)) {
    std::signal(SIGPIPE, SIG_IGN);
    wait();
  }

 private:
  void wait() {
    signals_.async_wait([this](std::error_code error, int signal) {
      if (error) return;
      on_signal_(signal);
      wait();
    });
  }
  asio::signal_set signals_;
  std::function<void(int)> on_signal_;
};

int serve(const std::string& file) {
  settings::HeadSettings head_settings = settings::load_head_settings(file);
  logs::init("yewmountd", head_settings.name);
  logs::set_level(head_settings.log_level);
  asio::io_context io(1);
  const std::string name = head_settings.name;
  std::unique_ptr<head::Daemon> daemon;
  SignalDispatcher signals(io, [&](int signal) {
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
    daemon->reload_plan();
  });
  daemon = std::make_unique<head::Daemon>(io, std::move(head_settings));
  logs::info("serving", {{"port", daemon->port()}});
  std::cout << nlohmann::json{{"ready", true}, {"name", name}, {"port", daemon->port()}}.dump() << std::endl;
  daemon->run();
  const head::Counters& counters = daemon->counters();
  logs::info("drained", {{"taken", counters.accepted},
                         {"ended", counters.completed},
                         {"shed", counters.shed},
                         {"failed", counters.failed}});
  return 0;
}

int serve_relay(const std::string& file, const std::string& level) {
  logs::init("yewmountd", "");
  asio::io_context io(1);
  std::unique_ptr<relay::Relay> relay;
  SignalDispatcher signals(io, [&](int signal) {
    if (signal != SIGHUP) return relay->drain();
    try {
      const relay::Deployment deployment = relay::load_deployment(file);
      relay->reload(deployment);
      logs::info("settings taken", {{"list", deployment.discovery.address().to_string()}});
    } catch (const std::exception& e) {
      logs::error("settings turned down", {{"why", e.what()}});
    }
  });
  relay::Deployment deployment = relay::load_deployment(file);
  logs::init("yewmountd", deployment.name);
  logs::set_level(level);
  relay = std::make_unique<relay::Relay>(io, std::move(deployment));
  relay->set_tracing(level == "debug");
  logs::info("serving", {{"port", relay->port()}});
  relay->run();
  logs::info("drained", relay->report());
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"yewmountd: one head of the storage gateway"};
  std::string file;
  std::string config;
  std::string level = "info";
  app.add_option("--settings", file, "JSON settings of this head (schema/head.json)");
  CLI::App* relay_command =
      app.add_subcommand("relay", "one head on the operators' platform, speaking RESP2");
  relay_command->add_option("--config", config, "configuration of this head by the platform, as JSON")
      ->envname("RELAY_CONFIG")
      ->required();
  relay_command->add_option("--log-level", level, "lowest level to log; debug traces every submit")
      ->check(CLI::IsMember({"debug", "info", "warn", "error"}));
  CLI11_PARSE(app, argc, argv);
  try {
    if (relay_command->parsed()) return serve_relay(config, level);
    if (file.empty()) throw std::runtime_error("--settings or a subcommand is required");
    return serve(file);
  } catch (const std::exception& e) {
    std::cerr << "yewmountd: " << e.what() << std::endl;
    return 2;
  }
}
