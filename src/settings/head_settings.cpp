#include "settings/head_settings.h"

#include <algorithm>
#include <asio/ip/address.hpp>
#include <cmath>

#include "base/base.h"
#include "settings/json_schema.h"

namespace yewmount::settings {
namespace {

using nlohmann::json;

// A JSON value with its file and its path within it, for error messages.
struct JsonNode {
  const json& value;
  std::string path;
  std::string at;

  [[noreturn]] void fail(const std::string& why) const { throw SettingsError(path + ": " + at + ": " + why); }
  bool has(const char* key) const { return value.contains(key); }
  JsonNode operator[](const char* key) const { return {value.at(key), path, at + '/' + key}; }
  JsonNode operator[](std::size_t i) const { return {value.at(i), path, at + '/' + std::to_string(i)}; }
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

ServiceAddress service_address(const JsonNode& node) {
  const std::string address = node.text("address");
  std::error_code error;
  const auto parsed = asio::ip::make_address(address, error);
  if (error || !parsed.is_loopback()) node["address"].fail("'" + address + "' is not a loopback address");
  return {address, static_cast<std::uint16_t>(node.value.at("port").get<int>())};
}

// Returns the index in `names` of the name that the member `key` holds.
int index_of(const std::vector<std::string>& names, const JsonNode& node, const char* key, const char* what) {
  const std::string name = node.text(key);
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) node[key].fail("unknown " + std::string(what) + " '" + name + "'");
  return static_cast<int>(it - names.begin());
}

// Appends the member "name"; refuses duplicates.
void add_name(std::vector<std::string>& names, const JsonNode& node) {
  const std::string name = node.text("name");
  if (std::find(names.begin(), names.end(), name) != names.end())
    node["name"].fail("duplicate name '" + name + "'");
  names.push_back(name);
}

// Returns the enum value that the member `key` names, or `otherwise` if the member is missing.
template <class T>
T parse_enum(const JsonNode& node, const char* key, std::initializer_list<std::pair<const char*, T>> values,
             T otherwise) {
  if (!node.has(key)) return otherwise;
  for (const auto& [text, value] : values)
    if (node.text(key) == text) return value;
  node[key].fail("unknown value");
}

void read_groups(const JsonNode& all, HeadSettings& settings) {
  for (std::size_t i = 0; i < all.size(); ++i) {
    const JsonNode g = all[i];
    add_name(settings.groups, g);
    IoGroup group{
        .latency_goal = g.ms("latency_goal_ms", 0),
        .hard_limit = g.ms("hard_limit_ms", 0),
        .dedup_window = g.ms("memory_span_ms", 0),
        .goal_service_multiple = g.get("goal_stretch", 0.0),
        .gain = g.get("gain", 1.0),
        .late_gain_factor = g.get("late_part", 0.0),
        .repeat = parse_enum<RepeatSafety>(g, "repeat",
                                           {{"idempotent", RepeatSafety::idempotent},
                                            {"fingerprinted", RepeatSafety::fingerprinted},
                                            {"side-effecting", RepeatSafety::side_effecting}},
                                           RepeatSafety::side_effecting),
        .scope = parse_enum<DedupScope>(
            g, "scope", {{"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::cell}},
            DedupScope::all),
        .streams = false,
        .keeps_order = g.get("keeps_order", false)};
    if (group.hard_limit < group.latency_goal) g["hard_limit_ms"].fail("shorter than the latency goal");
    if (group.repeat == RepeatSafety::fingerprinted && group.dedup_window == 0)
      g.fail("a fingerprinted I/O group needs memory_span_ms");
    settings.rules.groups.push_back(group);
  }
}

// Returns the plans' names.
std::vector<std::string> read_plans(const JsonNode& all, HeadSettings& settings) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < all.size(); ++i) {
    const JsonNode p = all[i];
    add_name(names, p);
    Plan plan{.limit = p.get("limit", 0.0),
              .burst = p.get("burst", 0.0),
              .slack = p.get("slack", 0.0),
              .nominal = p.get("nominal", 1.0),
              .reserve = p.get("reserve", 0.0),
              .weight = p.get("weight", 1.0),
              .gain_factor = p.get("gain_factor", 1.0)};
    // The share of the token bucket that remains to each head must hold one block I/O of the largest size;
    // otherwise such a block I/O could never be sent.
    if (plan.limit > 0 && plan.burst < 2 * settings.rules.max_units)
      p.fail("a limit's burst must hold two of the largest block I/Os at least");
    settings.rules.plans.push_back(plan);
  }
  return names;
}

}  // namespace

int HeadSettings::group_for(const std::string& volume, Method method, std::int64_t bytes) const {
  for (const GroupSelector& c : group_selectors) {
    if (!c.volume.empty() && c.volume != volume) continue;
    if (c.method >= 0 && c.method != static_cast<int>(method)) continue;
    if (c.max_bytes >= 0 && bytes > c.max_bytes) continue;
    return c.group;
  }
  return -1;
}

int HeadSettings::units_for(std::uint64_t bytes) const {
  const std::uint64_t units = (bytes + unit_bytes - 1) / unit_bytes;
  return static_cast<int>(std::clamp<std::uint64_t>(units, 1, static_cast<std::uint64_t>(rules.max_units)));
}

HeadSettings load_head_settings(const std::string& path) {
  const json given = load(path, "head");
  const JsonNode top{given, path, ""};
  const json none = json::object();
  auto optional_section = [&](const char* key) {
    return top.has(key) ? top[key] : JsonNode{none, path, std::string("/") + key};
  };
  HeadSettings settings{};
  settings.name = top.text("name");
  settings.log_level = top.get<std::string>("log", "info");
  settings.listen = service_address(top["listen"]);
  settings.list = service_address(top["list"]);
  settings.list_file = top["list"].text("file");
  if (top.has("plan")) {
    settings.plan_file = top["plan"].text("file");
    settings.applied_plan_file = top["plan"].text("held");
    if (settings.plan_file == settings.applied_plan_file) top["plan"]["held"].fail("the same as file");
  }
  const JsonNode catalogue = top["catalogue"];
  settings.catalogue = service_address(catalogue);
  settings.catalogue_cache_ttl = catalogue.ms("keep_ms", 1000);
  settings.catalogue_cache_max_entries = catalogue.get<std::size_t>("keep_most", 100000);
  settings.catalogue_time_reserve = catalogue.ms("allow_ms", 100);
  const JsonNode carrier = optional_section("carrier");
  const JsonNode door = optional_section("door");
  const JsonNode nodes = top["nodes"];
  const JsonNode allowed = optional_section("allowed");
  const JsonNode rules = top["rules"];
  settings.connections_per_node = carrier.get("connections", 2);
  settings.submits_per_connection = carrier.get("streams", 32);
  settings.connect_timeout = carrier.ms("connect_ms", 250);
  settings.connection_idle_timeout = carrier.ms("idle_ms", 15000);
  settings.max_clients = door.get("most_connections", 10000);
  settings.max_requests_in_flight = door.get("most_in_hand", 20000);
  settings.max_header_bytes = door.get<std::size_t>("most_header_bytes", 16384);
  settings.max_object_bytes = door.get<std::uint64_t>("most_object_bytes", 1ull << 30);
  settings.client_idle_timeout = door.ms("idle_ms", 60000);
  settings.header_timeout = door.ms("header_ms", 10000);
  settings.unit_bytes = top.get<std::uint32_t>("unit_bytes", 65536);
  Provisioning& r = settings.rules;
  r.seed = top.get<std::uint64_t>("seed", random_id());
  r.heads = top.get("heads", 1);
  r.own_number = top.get("own_number", 0);
  if (r.own_number >= r.heads) top["own_number"].fail("must be below the number of heads");
  r.cold_capacity_units = nodes.get("cold_bears", 0.0);
  r.typical_units = nodes.get("usual_units", 1.0);
  r.max_units = nodes.get("most_units", 1);
  if (r.typical_units > r.max_units) nodes["usual_units"].fail("more than most_units");
  settings.extent_bytes = settings.unit_bytes * static_cast<std::uint32_t>(r.max_units);
  if (settings.extent_bytes > 8u << 20) nodes["most_units"].fail("an extent would be larger than 8 MiB");
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
    const JsonNode b = rules["budget"];
    r.retry_budget_base = b.get("spare", 0.0);
    r.retry_budget_ratio = b.get("share", 0.0);
    r.retry_budget_window = b.ms("span_ms", 0);
  }
  read_groups(top["groups"], settings);
  const std::vector<std::string> plan_names = read_plans(top["plans"], settings);
  const JsonNode volumes = top["volumes"];
  const JsonNode choose = top["choose"];
  for (std::size_t i = 0; i < volumes.size(); ++i) {
    const JsonNode v = volumes[i];
    const Volume volume{index_of(plan_names, v, "plan", "plan"), std::min(v.get("heads", r.heads), r.heads)};
    if (!settings.volumes.emplace(v.text("name"), volume).second)
      v["name"].fail("duplicate name '" + v.text("name") + "'");
  }
  for (std::size_t i = 0; i < choose.size(); ++i) {
    const JsonNode c = choose[i];
    GroupSelector selector;
    selector.volume = c.get<std::string>("volume", "");
    selector.method = parse_enum<int>(c, "method",
                                      {{"GET", static_cast<int>(Method::get)},
                                       {"PUT", static_cast<int>(Method::put)},
                                       {"DELETE", static_cast<int>(Method::remove)}},
                                      -1);
    selector.max_bytes = c.get<std::int64_t>("at_most_bytes", -1);
    selector.group = index_of(settings.groups, c, "group", "I/O group");
    settings.group_selectors.push_back(selector);
  }
  if (top.has("scrub")) {
    const JsonNode s = top["scrub"];
    settings.scrub = {.group = index_of(settings.groups, s, "group", "I/O group"),
                      .plan = index_of(plan_names, s, "plan", "plan"),
                      .units_per_second = s.get("units_a_second", 1.0),
                      .calm_from = s.get("calm_from", 0.5),
                      .rest = s.ms("rest_ms", 500),
                      .pause_between_rounds = s.ms("pause_between_ms", 60'000),
                      .cursor_file = s.text("cursor")};
    if (r.groups[settings.scrub.group].repeat != RepeatSafety::idempotent)
      s["group"].fail("scrubbing needs an idempotent I/O group");
  }
  for (const char* key : {"name", "heads", "own_number", "seed", "listen", "list", "catalogue", "carrier",
                          "plan", "scrub", "unit_bytes", "groups", "plans", "nodes", "allowed", "rules"})
    if (top.has(key)) settings.restart_only[key] = given[key];
  return settings;
}

}  // namespace yewmount::settings
