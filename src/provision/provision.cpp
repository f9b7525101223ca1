#include "provision/provision.h"

namespace yewmount::provision {
namespace {

IoGroup io_group(const json& c) {
  static constexpr std::pair<const char*, RepeatSafety> repeats[] = {
      {"read_like", RepeatSafety::idempotent},
      {"idempotency_key", RepeatSafety::fingerprinted},
      {"non_idempotent", RepeatSafety::side_effecting}};
  static constexpr std::pair<const char*, DedupScope> scopes[] = {
      {"all", DedupScope::all}, {"zone", DedupScope::zone}, {"cell", DedupScope::cell}};
  return {.latency_goal = time_of(c, "objective-s"),
          .hard_limit = time_of(c, "deadline-s"),
          .dedup_window = time_or(c, "memory-span-s", 0),
          .goal_service_multiple = get_or<double>(c, "aim-stretch", 0),
          .gain = get<double>(c, "credit"),
          .late_gain_factor = get_or<double>(c, "late-worth", 0),
          .repeat = parse_enum(get<std::string>(c, "idempotency"), repeats, "idempotency"),
          .scope = parse_enum(get_or<std::string>(c, "key-scope", "all"), scopes, "key-scope"),
          .streams = get_or<bool>(c, "stream", false),
          .keeps_order = get_or<bool>(c, "keep-order", false)};
}

Plan plan(const json& p) {
  return {.limit = get_or<double>(p, "cap", 0),
          .burst = get_or<double>(p, "burst", 0),
          .slack = get_or<double>(p, "slack", 0),
          .nominal = get<double>(p, "nominal"),
          .reserve = get_or<double>(p, "reservation", 0),
          .weight = get_or<double>(p, "parts", 1),
          .gain_factor = get_or<double>(p, "worth-factor", 1)};
}

}  // namespace

int NameTable::index(const std::string& name) {
  auto [it, inserted] = indices_.try_emplace(name, static_cast<int>(names_.size()));
  if (inserted) names_.push_back(name);
  return it->second;
}

int NameTable::known(const std::string& name) const {
  auto it = indices_.find(name);
  if (it == indices_.end()) throw BadInput("unknown name '" + name + "'");
  return it->second;
}

int NameTable::find(std::string_view name) const {
  for (std::size_t i = 0; i < names_.size(); ++i)
    if (names_[i] == name) return static_cast<int>(i);
  return -1;
}

PlatformSettings read_platform_settings(const json& conf, std::uint64_t seed) {
  PlatformSettings settings{};
  const json& info = require_typed(conf, "family-info", json::value_t::object);
  const json& limits = require_typed(conf, "limits", json::value_t::object);
  const json& rules = require_typed(conf, "rules", json::value_t::object);
  const json& report = require_typed(conf, "report", json::value_t::object);
  const std::string sizes = get_or<std::string>(conf, "weights", "silent");
  Provisioning given{.seed = seed,
                     .heads = get<int>(conf, "balancers"),
                     .own_number = get<int>(conf, "rank"),
                     .groups = {},
                     .plans = {},
                     .cold_capacity_units = get<double>(info, "cold-bears"),
                     .typical_units = get<double>(info, "usual-units"),
                     .max_units = get<double>(info, "most-units"),
                     .share_gain_factor = get<double>(info, "share-worth"),
                     .excess_gain_factor = get<double>(info, "beyond-share"),
                     .meter_period = time_or(info, "meter-s", 0),
                     .reports_other_heads = get_or<bool>(info, "tells-elsewhere", false),
                     .polls_list = get<std::string>(conf, "registry-mode") == "ask",
                     .has_node_sizes = sizes == "nominal" || sizes == "rough",
                     .may_duplicate = get<bool>(limits, "may-duplicate"),
                     .may_cancel = get<bool>(limits, "cancel"),
                     .may_probe = get<bool>(limits, "probes"),
                     .may_advise_retry = get<bool>(limits, "retry-after"),
                     .max_submits = get<int>(limits, "max-attempts"),
                     .max_retry_advice = time_or(limits, "max-retry-after-s", 0),
                     .answer_slack = time_of(rules, "answer-slack-s"),
                     .list_poll_interval = time_or(rules, "ask-every-s", -1),
                     .cold_speed_factor = get<double>(rules, "cold-from"),
                     .overload_multiple = get<double>(rules, "fall-multiple"),
                     .warmup_time = time_of(rules, "warm-within-s"),
                     .overload_window = time_of(rules, "overload-for-s"),
                     .order_gap = time_or(rules, "turn-gap-s", -1),
                     .retry_budget_base = get_or<double>(rules, "spare-attempts", -1),
                     .retry_budget_ratio = get_or<double>(rules, "budget-share", -1),
                     .retry_budget_window = time_or(rules, "budget-span-s", -1)};
  for (const json& c : require_typed(conf, "classes", json::value_t::array)) {
    settings.groups.index(get<std::string>(c, "name"));
    given.groups.push_back(io_group(c));
  }
  for (const json& p : require_typed(conf, "plans", json::value_t::array)) {
    settings.plans.index(get<std::string>(p, "name"));
    given.plans.push_back(plan(p));
  }
  if (auto it = report.find("fields"); it != report.end() && it->is_array())
    for (const json& f : *it) settings.report_fields.push_back(as<std::string>(f, "fields"));
  if (auto it = info.find("writes"); it != info.end() && it->is_array())
    for (const json& w : *it) settings.writes.push_back(as<bool>(w, "writes"));
  settings.writes.resize(given.groups.size());
  settings.connect_timeout = time_or(limits, "connect-timeout-s", 250'000);
  settings.idle_timeout = time_or(limits, "conn-idle-s", 15'000'000);
  settings.head = std::move(given);
  return settings;
}

void set_load_value(LoadReport& report, std::string_view field, double value) {
  if (field == "outstanding" || field == "inflight") report.outstanding = value;
  if (field == "backlog" || field == "queue") report.backlog = value;
  if (field == "utilization" || field == "util") report.utilization = value;
  if (field == "recent_ms" || field == "latency_ms") report.recent = micros(value / 1000);
}

}  // namespace yewmount::provision
