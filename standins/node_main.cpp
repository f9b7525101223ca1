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
    standins::NodeProvision given = standins::load_node(file);
    logs::init("yewmount-node", given.name);
    const std::string name = given.name;
    standins::Node node(io, std::move(given));
    standins::serve(io, node,
                    {{"ready", true},
                     {"name", name},
                     {"port", node.port()},
                     {"control_port", node.control_port()},
                     {"start", node.start()}});
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "yewmount-node: " << e.what() << std::endl;
    return 2;
  }
}
