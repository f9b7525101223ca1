#include "tests/soak/plan.h"

#include <chrono>
#include <iterator>
#include <random>

namespace yewmount::soak {
namespace {

constexpr const char* kNames[] = {"terminate_head",  "kill_head",     "reload_head", "stop_head",
                                  "hang_node",       "restart_node",  "drain_node",  "silence_discovery",
                                  "reset_links",     "silence_links", "late_links",  "spoil_answers",
                                  "leaving_clients", "rude_clients",  "step_clock"};
static_assert(std::size(kNames) == static_cast<std::size_t>(Trouble::count));

constexpr Micros kQuietStart = 2 * kSecond;      // before the first trouble
constexpr Micros kBetween = 600 * kMillisecond;  // on average, between the starts of two troubles

bool of_head(Trouble t) { return t <= Trouble::stop_head; }

struct Draw {
  std::mt19937_64 chance;
  Micros between(Micros least, Micros most) {
    return least + static_cast<Micros>(chance() % static_cast<std::uint64_t>(most - least + 1));
  }
  int below(int n) { return static_cast<int>(chance() % static_cast<std::uint64_t>(n)); }
};

Micros length_of(Trouble trouble, Draw& draw) {
  switch (trouble) {
    case Trouble::stop_head:
      return draw.between(50 * kMillisecond, 140 * kMillisecond);
    case Trouble::silence_discovery:
    case Trouble::hang_node:
      return draw.between(400 * kMillisecond, 2500 * kMillisecond);
    case Trouble::drain_node:
      return draw.between(3 * kSecond, 5 * kSecond);
    case Trouble::terminate_head:
    case Trouble::kill_head:
    case Trouble::restart_node:
    case Trouble::step_clock:
    case Trouble::reload_head:
      return 0;
    default:
      return draw.between(800 * kMillisecond, 3 * kSecond);
  }
}

}  // namespace

const char* name(Trouble trouble) { return kNames[static_cast<int>(trouble)]; }

Micros now() {
  using namespace std::chrono;
  return duration_cast<microseconds>(steady_clock::now().time_since_epoch()).count();
}

bool Plan::active(Trouble trouble, int target, Micros at) const { return touched(trouble, target, at, at); }

bool Plan::touched(Trouble trouble, int target, Micros from, Micros until) const {
  for (const Event& e : events)
    if (e.trouble == trouble && e.target == target && e.from <= until - start && e.until >= from - start)
      return true;
  return false;
}

Plan draw(std::uint64_t seed, Micros length) {
  Draw draw{std::mt19937_64(seed)};
  Plan plan;
  plan.seed = seed;
  plan.length = length;
  plan.heads = 5 + draw.below(4);
  plan.nodes = 5 + draw.below(4);
  plan.memory_span = draw.between(400 * kMillisecond, 1500 * kMillisecond);
  plan.rate = static_cast<double>(draw.between(30, 80));
  for (int i = 0; i < plan.heads; ++i) plan.faulty.push_back(draw.below(3) == 0);
  // One trouble after the other begins while the earlier ones still last: two or three overlap.
  std::vector<Micros> free_at(static_cast<std::size_t>(plan.heads + plan.nodes), 0);
  for (Micros at = kQuietStart; at < length - 2 * kSecond;
       at += draw.between(kBetween / 3, kBetween * 5 / 3)) {
    Event e{static_cast<Trouble>(draw.below(static_cast<int>(Trouble::count))), 0, at, at, 0};
    e.target = draw.below(of_head(e.trouble) ? plan.heads : plan.nodes);
    if (e.trouble >= Trouble::leaving_clients || e.trouble == Trouble::silence_discovery) e.target = 0;
    e.until = at + length_of(e.trouble, draw);
    if (e.trouble == Trouble::step_clock)
      e.amount =
          (draw.below(2) ? 1 : -1) * (draw.below(2) ? 3600 * kSecond : draw.between(kSecond, 9 * kSecond));
    // A process is restarted, stopped or drained by one event at a time.
    const bool lives = of_head(e.trouble) || e.trouble == Trouble::hang_node ||
                       e.trouble == Trouble::restart_node || e.trouble == Trouble::drain_node;
    if (lives) {
      Micros& free = free_at[static_cast<std::size_t>(of_head(e.trouble) ? e.target : plan.heads + e.target)];
      if (at < free) continue;
      free = e.until + (e.trouble == Trouble::terminate_head ? 6 : 2) * kSecond;
    }
    plan.events.push_back(e);
  }
  return plan;
}

nlohmann::json to_json(const Plan& plan) {
  nlohmann::json events = nlohmann::json::array();
  for (const Event& e : plan.events)
    events.push_back({{"trouble", static_cast<int>(e.trouble)},
                      {"name", name(e.trouble)},
                      {"target", e.target},
                      {"from", e.from},
                      {"until", e.until},
                      {"amount", e.amount}});
  return {{"seed", plan.seed},
          {"heads", plan.heads},
          {"nodes", plan.nodes},
          {"clients", plan.clients},
          {"length", plan.length},
          {"start", plan.start},
          {"wall_start_ms", plan.wall_start_ms},
          {"memory_span", plan.memory_span},
          {"rate", plan.rate},
          {"faulty", plan.faulty},
          {"base", plan.base},
          {"events", events}};
}

Plan plan_from(const nlohmann::json& json) {
  Plan plan;
  json.at("seed").get_to(plan.seed);
  json.at("heads").get_to(plan.heads);
  json.at("nodes").get_to(plan.nodes);
  json.at("clients").get_to(plan.clients);
  json.at("length").get_to(plan.length);
  json.at("start").get_to(plan.start);
  json.at("wall_start_ms").get_to(plan.wall_start_ms);
  json.at("memory_span").get_to(plan.memory_span);
  json.at("rate").get_to(plan.rate);
  json.at("faulty").get_to(plan.faulty);
  json.at("base").get_to(plan.base);
  for (const auto& e : json.at("events"))
    plan.events.push_back({static_cast<Trouble>(e.at("trouble").get<int>()), e.at("target"), e.at("from"),
                           e.at("until"), e.at("amount")});
  return plan;
}

}  // namespace yewmount::soak
