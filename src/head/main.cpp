// yewmountd: one head, one process.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "base/base.h"
#include "head/daemon.h"
#include "settings/checked.h"

int main(int argc, char** argv) {
  using namespace yewmount;
  CLI::App app{"yewmountd: one head of the storage gateway"};
  std::string file;
  app.add_option("--settings", file, "JSON settings of this head (schema/head.json)")->required();
  CLI11_PARSE(app, argc, argv);
  try {
    settings::HeadProvision given = settings::load_head(file);
    logs::start("yewmountd", given.name);
    logs::level(given.log_level);
    asio::io_context io(1);
    asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
    std::signal(SIGPIPE, SIG_IGN);
    const std::string name = given.name;
    head::Daemon daemon(io, std::move(given));
    std::function<void()> wait = [&] {
      signals.async_wait([&](std::error_code error, int signal) {
        if (error) return;
        if (signal == SIGHUP) {
          try {
            const std::string why = daemon.reload(settings::load_head(file));
            if (why.empty())
              logs::info("settings taken", {{"file", file}});
            else
              logs::error("settings turned down", {{"file", file}, {"why", why}});
            daemon.take_plan();
          } catch (const std::exception& e) {
            logs::error("settings turned down", {{"why", e.what()}});
            daemon.take_plan();
          }
        } else {
          daemon.drain();
        }
        wait();
      });
    };
    wait();
    logs::info("serving", {{"port", daemon.port()}});
    std::cout << nlohmann::json{{"ready", true}, {"name", name}, {"port", daemon.port()}}.dump() << std::endl;
    daemon.run();
    const head::Counts& c = daemon.counts();
    logs::info("drained", {{"taken", c.taken}, {"ended", c.ended}, {"shed", c.shed}, {"failed", c.failed}});
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "yewmountd: " << e.what() << std::endl;
    return 2;
  }
}
