// yewmount-catalogue: the object metadata service shared by all heads.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "base/base.h"
#include "catalogue/server.h"

int main(int argc, char** argv) {
  using namespace yewmount;
  CLI::App app{"yewmount-catalogue: persistent object metadata service for all heads"};
  std::string directory;
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  std::size_t max_mib = 16384;
  app.add_option("--folder", directory, "database directory")->required();
  app.add_option("--address", address, "loopback address to listen on");
  app.add_option("--port", port, "port to listen on; 0 selects a free one");
  app.add_option("--most-mib", max_mib, "maximum size of the database file, MiB")
      ->check(CLI::Range(1, 16 << 20));
  CLI11_PARSE(app, argc, argv);
  try {
    logs::init("yewmount-catalogue", "catalogue");
    asio::io_context io(1);
    std::signal(SIGPIPE, SIG_IGN);
    asio::signal_set signals(io, SIGTERM, SIGINT);
    bool is_stopping = false;
    signals.async_wait([&](std::error_code error, int) { is_stopping = !error; });
    catalogue::Store store(directory, max_mib << 20);
    catalogue::Server server(io, store, address, port);
    logs::info("serving", {{"port", server.port()}});
    std::cout << nlohmann::json{{"ready", true}, {"name", "catalogue"}, {"port", server.port()}}.dump()
              << std::endl;
    while (!is_stopping) {
      io.run_one();
      for (int n = 0; n < 1024 && io.poll_one() > 0; ++n) {
      }
      server.commit_and_flush();
    }
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "yewmount-catalogue: " << e.what() << std::endl;
    return 2;
  }
}
