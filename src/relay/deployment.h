// The configuration of a head on the operators' platform, read from the file that the platform provides.
#pragma once
#include <asio.hpp>
#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>

#include "provision/provision.h"

namespace yewmount::relay {

// Descriptors kept for the event loop, the log, the listener and the discovery client.
inline constexpr std::size_t kReservedDescriptors = 24;

// The configuration that the platform passes to a head at its start.
struct Deployment {
  std::string name;
  asio::ip::tcp::endpoint listen;
  asio::ip::tcp::endpoint discovery;  // of the service that lists the nodes
  std::size_t max_descriptors = 0;
  std::size_t memory_bytes = 0;
  nlohmann::json known_nodes;  // the node list as of the start
  provision::PlatformSettings platform;
};

// Reads a configuration file. Throws provision::BadInput or std::runtime_error; the message is one line with
// the place and the reason.
Deployment load_deployment(const std::string& file);

}  // namespace yewmount::relay
