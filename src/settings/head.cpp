#include "settings/head.h"

#include <algorithm>
#include <asio/ip/address.hpp>
#include <cmath>

#include "base/base.h"
#include "settings/checked.h"

namespace yewmount::settings {
namespace {

using nlohmann::json;

struct Place {  // a value and where it stands, for the one line that says what is wrong
  const json& value;
  std::string path, at;

  [[noreturn]] void bad(const std::string& why) const { throw Bad(path + ": " + at + ": " + why); }
  bool has(const char* key) const { return value.contains(key); }
  Place operator[](const char* key) const { return {value.at(key), path, at + '/' + key}; }
  Place operator[](std::size_t i) const { return {value.at(i), path, at + '/' + std::to_string(i)}; }
  std::size_t size() const { return value.size(); }
  template <class T>
  T get(const char* key, T otherwise) const {
    return value.contains(key) ? value.at(key).get<T>() : otherwise;
  }
  std::string text(const char* key) const { return value.at(key).get<std::string>(); }
  Micros ms(const char* key, double otherwise) const {
    return std::llround(get<double>(key, otherwise) * 1000);
  }
};

Service service(const Place& p) {
  const std::string address = p.text("address");
  std::error_code error;
  const auto parsed = asio::ip::make_address(address, error);
  if (error || !parsed.is_loopback()) p["address"].bad("'" + address + "' is not a loopback address");
  return {address, static_cast<std::uint16_t>(p.value.at("port").get<int>())};
}

int index(const std::vector<std::string>& names, const Place& p, const char* key, const char* what) {
  const std::string name = p.text(key);
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) p[key].bad("unknown " + std::string(what) + " '" + name + "'");
  return static_cast<int>(it - names.begin());
}

void add_name(std::vector<std::string>& names, const Place& p) {
  const std::string name = p.text("name");
  if (std::find(names.begin(), names.end(), name) != names.end())
    p["name"].bad("'" + name + "' stands here twice");
  names.push_back(name);
}

template <class T>
T word(const Place& p, const char* key, std::initializer_list<std::pair<const char*, T>> words, T otherwise) {
  if (!p.has(key)) return otherwise;
  for (const auto& [text, value] : words)
    if (p.text(key) == text) return value;
  p[key].bad("unknown word");
}

void groups(const Place& all, HeadProvision& h) {
  for (std::size_t i = 0; i < all.size(); ++i) {
    const Place g = all[i];
    add_name(h.groups, g);
    IoGroup group{
        .latency_goal = g.ms("latency_goal_ms", 0),
        .hard_limit = g.ms("hard_limit_ms", 0),
        .dedup_window = g.ms("memory_span_ms", 0),
        .goal_service_multiple = g.get("goal_stretch", 0.0),
        .gain = g.get("gain", 1.0),
        .late_gain_factor = g.get("late_part", 0.0),
        .repeat = word<RepeatSafety>(g, "repeat",
                                     {{"idempotent", RepeatSafety::idempotent},
                                      {"fingerprinted", RepeatSafety::fingerprinted},
                                      {"side-effecting", RepeatSafety::side_effecting}},
                                     RepeatSafety::side_effecting),
        .scope = word<DedupScope>(
            g, "scope", {{"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::cell}},
            DedupScope::all),
        .streams = false,
        .keeps_order = g.get("keeps_order", false)};
    if (group.hard_limit < group.latency_goal) g["hard_limit_ms"].bad("shorter than the latency goal");
    if (group.repeat == RepeatSafety::fingerprinted && group.dedup_window == 0)
      g.bad("a fingerprinted I/O group needs memory_span_ms");
    h.rules.groups.push_back(group);
  }
}

std::vector<std::string> plans(const Place& all, HeadProvision& h) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < all.size(); ++i) {
    const Place p = all[i];
    add_name(names, p);
    Plan plan{.limit = p.get("limit", 0.0),
              .burst = p.get("burst", 0.0),
              .slack = p.get("slack", 0.0),
              .nominal = p.get("nominal", 1.0),
              .reserve = p.get("reserve", 0.0),
              .weight = p.get("weight", 1.0),
              .gain_factor = p.get("gain_factor", 1.0)};
    // What is left of a store's part must hold one block I/O at each head, or none would ever leave.
    if (plan.limit > 0 && plan.burst < 2 * h.rules.max_units)
      p.bad("a limit's burst must hold two of the largest block I/Os at least");
    h.rules.plans.push_back(plan);
  }
  return names;
}

}  // namespace

int HeadProvision::group_for(const std::string& volume, Method method, std::int64_t bytes) const {
  for (const Choice& c : choices) {
    if (!c.volume.empty() && c.volume != volume) continue;
    if (c.method >= 0 && c.method != static_cast<int>(method)) continue;
    if (c.at_most >= 0 && bytes > c.at_most) continue;
    return c.group;
  }
  return -1;
}

int HeadProvision::units_for(std::uint64_t bytes) const {
  const std::uint64_t units = (bytes + unit_bytes - 1) / unit_bytes;
  return static_cast<int>(std::clamp<std::uint64_t>(units, 1, static_cast<std::uint64_t>(rules.max_units)));
}

HeadProvision load_head(const std::string& path) {
  const json given = load(path, "head");
  const Place top{given, path, ""};
  const json none = json::object();
  auto part = [&](const char* key) {
    return top.has(key) ? top[key] : Place{none, path, std::string("/") + key};
  };
  HeadProvision h{};
  h.name = top.text("name");
  h.log_level = top.get<std::string>("log", "info");
  h.listen = service(top["listen"]);
  h.list = service(top["list"]);
  h.list_file = top["list"].text("file");
  if (top.has("plan")) {
    h.plan_file = top["plan"].text("file"), h.plan_held = top["plan"].text("held");
    if (h.plan_file == h.plan_held) top["plan"]["held"].bad("the same as file");
  }
  const Place catalogue = top["catalogue"];
  h.catalogue = service(catalogue);
  h.catalogue_keep = catalogue.ms("keep_ms", 1000);
  h.catalogue_keep_most = catalogue.get<std::size_t>("keep_most", 100000);
  h.catalogue_allow = catalogue.ms("allow_ms", 100);
  const Place carrier = part("carrier"), door = part("door"), nodes = top["nodes"], allowed = part("allowed"),
              rules = top["rules"];
  h.connections = carrier.get("connections", 2);
  h.streams = carrier.get("streams", 32);
  h.connect_within = carrier.ms("connect_ms", 250);
  h.connection_idle = carrier.ms("idle_ms", 15000);
  h.most_clients = door.get("most_connections", 10000);
  h.most_in_hand = door.get("most_in_hand", 20000);
  h.most_header = door.get<std::size_t>("most_header_bytes", 16384);
  h.most_object = door.get<std::uint64_t>("most_object_bytes", 1ull << 30);
  h.client_idle = door.ms("idle_ms", 60000);
  h.header_within = door.ms("header_ms", 10000);
  h.unit_bytes = top.get<std::uint32_t>("unit_bytes", 65536);
  Provisioning& r = h.rules;
  r.seed = top.get<std::uint64_t>("seed", fresh_number());
  r.heads = top.get("heads", 1);
  r.own_number = top.get("own_number", 0);
  if (r.own_number >= r.heads) top["own_number"].bad("must be below the number of heads");
  r.cold_capacity_units = nodes.get("cold_bears", 0.0);
  r.typical_units = nodes.get("usual_units", 1.0);
  r.max_units = nodes.get("most_units", 1);
  if (r.typical_units > r.max_units) nodes["usual_units"].bad("more than most_units");
  h.extent_bytes = h.unit_bytes * static_cast<std::uint32_t>(r.max_units);
  if (h.extent_bytes > 8u << 20) nodes["most_units"].bad("an extent would be larger than 8 MiB");
  r.share_gain_factor = nodes.get("share_gain", 0.35);
  r.excess_gain_factor = nodes.get("beyond_gain", 0.08);
  r.meter_period = nodes.ms("meter_ms", 0);
  r.reports_other_heads = nodes.get("tells_elsewhere", false);
  r.has_node_sizes = nodes.get("sizes_told", false);
  r.polls_list = true;
  r.list_poll_interval = top["list"].ms("ask_every_ms", 10000);
  r.may_duplicate = false;
  r.may_cancel = true;
  r.may_probe = allowed.get("probes", false);
  r.may_advise_retry = allowed.get("advice", true);
  r.max_retry_advice = allowed.ms("longest_advice_ms", 500);
  r.max_submits = allowed.get("most_submits", 3);
  r.answer_slack = rules.ms("answer_slack_ms", 50);
  r.cold_speed_factor = rules.get("cold_from", 1.0);
  r.overload_multiple = rules.get("fall_multiple", 1.0);
  r.warmup_time = rules.ms("warm_within_ms", 0);
  r.overload_window = rules.ms("overload_for_ms", 0);
  r.order_gap = rules.has("turn_rest_ms") ? rules.ms("turn_rest_ms", 0) : -1;
  r.retry_budget_base = r.retry_budget_ratio = -1;
  r.retry_budget_window = -1;
  if (rules.has("budget")) {
    const Place b = rules["budget"];
    r.retry_budget_base = b.get("spare", 0.0);
    r.retry_budget_ratio = b.get("share", 0.0);
    r.retry_budget_window = b.ms("span_ms", 0);
  }
  groups(top["groups"], h);
  const std::vector<std::string> plan_names = plans(top["plans"], h);
  const Place volumes = top["volumes"], choose = top["choose"];
  for (std::size_t i = 0; i < volumes.size(); ++i) {
    const Place v = volumes[i];
    const Volume volume{index(plan_names, v, "plan", "plan"), std::min(v.get("heads", r.heads), r.heads)};
    if (!h.volumes.emplace(v.text("name"), volume).second)
      v["name"].bad("'" + v.text("name") + "' stands here twice");
  }
  for (std::size_t i = 0; i < choose.size(); ++i) {
    const Place c = choose[i];
    Choice choice;
    choice.volume = c.get<std::string>("volume", "");
    choice.method = word<int>(c, "method",
                              {{"GET", static_cast<int>(Method::get)},
                               {"PUT", static_cast<int>(Method::put)},
                               {"DELETE", static_cast<int>(Method::drop)}},
                              -1);
    choice.at_most = c.get<std::int64_t>("at_most_bytes", -1);
    choice.group = index(h.groups, c, "group", "I/O group");
    h.choices.push_back(choice);
  }
  if (top.has("scrub")) {
    const Place s = top["scrub"];
    h.scrub = {.group = index(h.groups, s, "group", "I/O group"),
               .plan = index(plan_names, s, "plan", "plan"),
               .units_a_second = s.get("units_a_second", 1.0),
               .calm_from = s.get("calm_from", 0.5),
               .rest = s.ms("rest_ms", 500),
               .between = s.ms("pause_between_ms", 60'000),
               .cursor = s.text("cursor")};
    if (r.groups[h.scrub.group].repeat != RepeatSafety::idempotent)
      s["group"].bad("scrubbing reads: an idempotent I/O group");
  }
  for (const char* key : {"name", "heads", "own_number", "seed", "listen", "list", "catalogue", "carrier",
                          "plan", "scrub", "unit_bytes", "groups", "plans", "nodes", "allowed", "rules"})
    if (top.has(key)) h.fixed[key] = given[key];
  return h;
}

}  // namespace yewmount::settings
