// yewmount-node: a stand-in for a storage node.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "standins/node.h"

int main(int argc, char** argv) {
  using namespace yewmount;
  CLI::App app{"yewmount-node: a storage node stand-in with faults on command"};
  std::string settings_file;
  app.add_option("--settings", settings_file, "JSON settings (schema/node.json)")->required();
  CLI11_PARSE(app, argc, argv);
  try {
    asio::io_context io(1);
    std::signal(SIGPIPE, SIG_IGN);
    standins::NodeOptions options = standins::load_node_options(settings_file);
    logs::init("yewmount-node", options.name);
    const std::string name = options.name;
    standins::Node node(io, std::move(options));
    standins::run_event_loop(io, node,
                             {{"ready", true},
                              {"name", name},
                              {"port", node.port()},
                              {"control_port", node.control_port()},
                              {"start", node.instance_id()}});
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "yewmount-node: " << e.what() << std::endl;
    return 2;
  }
}
