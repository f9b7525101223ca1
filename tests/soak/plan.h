// What one run of the soak does, drawn from a seed: processes, their addresses, and troubles that overlap in
// time. Every role reads the same plan and does its own part at the stated moments.
#pragma once
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace yewmount::soak {

using Micros = std::int64_t;
inline constexpr Micros kMillisecond = 1000, kSecond = 1'000'000;

enum class Trouble {
  terminate_head,  // SIGTERM, and a new process once it has ended
  kill_head,       // SIGKILL, and a new process at once
  reload_head,     // SIGHUP with a configuration that names the other discovery address, after a broken one
  stop_head,       // SIGSTOP and SIGCONT
  hang_node,       // the same to a node
  restart_node,    // a node is killed and comes back cold
  drain_node,      // told as Terminating, then as Ready
  silence_discovery,  // SIGSTOP and SIGCONT
  reset_links,        // connections to a node are reset at random, in the midst of bytes
  silence_links,      // bytes to and from a node go nowhere; then its connections are reset
  late_links,         // new connections to a node do not come up
  spoil_answers,      // a node sends noise, halves, second copies, errors, or closes
  leaving_clients,    // clients close while they wait
  rude_clients,       // noise, halves, silence, pipelines that are left behind
  step_clock,         // the wall clock of the heads, both ways
  count
};
const char* name(Trouble trouble);

struct Event {
  Trouble trouble;
  int target;           // a head, a node, or nothing
  Micros from, until;   // from the run's start
  std::int64_t amount;  // of a clock step in microseconds
};

struct Plan {
  std::uint64_t seed = 1;
  int heads = 6, nodes = 6, clients = 3;
  Micros length = 12 * kSecond;
  Micros start = 0;                // on the machine's monotonic clock
  std::int64_t wall_start_ms = 0;  // Unix time at that moment
  Micros memory_span = 0;          // of the fingerprinted class
  double rate = 60;                // requests a second for each head
  std::vector<bool> faulty;        // heads whose system calls fail for a moment
  std::string base;                // "127.a.b."
  std::vector<Event> events;

  // One address a party; through its proxy a node has another, and so has a head.
  std::string head(int i) const { return base + std::to_string(10 + i); }
  std::string node(int i) const { return base + std::to_string(60 + i); }
  std::string node_proxy(int i) const { return base + std::to_string(110 + i); }
  std::string head_proxy(int i) const { return base + std::to_string(160 + i); }
  // Each head has its own port there, so that what was told to which is known.
  std::string discovery(int which) const { return base + std::to_string(1 + which); }
  static constexpr int kPort = 6379, kDiscoveryPort = 8500;

  bool active(Trouble trouble, int target, Micros now) const;
  // Whether such a trouble touched [from, until].
  bool touched(Trouble trouble, int target, Micros from, Micros until) const;
};

Plan draw(std::uint64_t seed, Micros length);
nlohmann::json to_json(const Plan& plan);
Plan plan_from(const nlohmann::json& json);

// The machine's monotonic clock, the same for all processes.
Micros now();

}  // namespace yewmount::soak
