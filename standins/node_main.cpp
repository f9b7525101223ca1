// yewmount-node: a storage node stand-in.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "standins/node.h"

int main(int argc, char** argv) {
  using namespace yewmount;
  CLI::App app{"yewmount-node: a storage node stand-in with faults on command"};
  std::string file;
  app.add_option("--settings", file, "JSON settings (schema/node.json)")->required();
  CLI11_PARSE(app, argc, argv);
  try {
    asio::io_context io(1);
    std::signal(SIGPIPE, SIG_IGN);
    asio::signal_set signals(io, SIGTERM, SIGINT);
    bool stop = false;
    signals.async_wait([&](std::error_code error, int) { stop = !error; });
    standins::NodeProvision given = standins::load_node(file);
    logs::start("yewmount-node", given.name);
    const std::string name = given.name;
    standins::Node node(io, std::move(given));
    std::cout << nlohmann::json{{"ready", true},
                                {"name", name},
                                {"port", node.port()},
                                {"control_port", node.control_port()},
                                {"start", node.start()}}
                     .dump()
              << std::endl;
    node.turn_over();
    while (!stop) {
      io.run_one_for(std::chrono::microseconds(std::max<std::int64_t>(0, node.next() - monotonic_now())));
      for (int n = 0; n < 256 && io.poll_one() > 0; ++n) {
      }
      node.turn_over();
    }
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "yewmount-node: " << e.what() << std::endl;
    return 2;
  }
}
