// yewmount-catalogue: where extents live, for all heads.
#include <CLI/CLI.hpp>
#include <csignal>
#include <iostream>

#include "base/base.h"
#include "catalogue/server.h"

int main(int argc, char** argv) {
  using namespace yewmount;
  CLI::App app{"yewmount-catalogue: where extents live, kept on disk for all heads"};
  std::string folder, address = "127.0.0.1";
  std::uint16_t port = 0;
  std::size_t most = 16384;
  app.add_option("--folder", folder, "where it is kept")->required();
  app.add_option("--address", address, "loopback address to listen on");
  app.add_option("--port", port, "0: any that is free");
  app.add_option("--most-mib", most, "what its file may grow to")->check(CLI::Range(1, 16 << 20));
  CLI11_PARSE(app, argc, argv);
  try {
    logs::init("yewmount-catalogue", "catalogue");
    asio::io_context io(1);
    std::signal(SIGPIPE, SIG_IGN);
    asio::signal_set signals(io, SIGTERM, SIGINT);
    bool stop = false;
    signals.async_wait([&](std::error_code error, int) { stop = !error; });
    catalogue::Store store(folder, most << 20);
    catalogue::Server server(io, store, address, port);
    logs::info("serving", {{"port", server.port()}});
    std::cout << nlohmann::json{{"ready", true}, {"name", "catalogue"}, {"port", server.port()}}.dump()
              << std::endl;
    while (!stop) {
      io.run_one();
      for (int n = 0; n < 1024 && io.poll_one() > 0; ++n) {
      }
      server.turn_over();
    }
    return 0;
  } catch (const std::exception& e) {
    std::cerr << "yewmount-catalogue: " << e.what() << std::endl;
    return 2;
  }
}
