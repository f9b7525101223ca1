#include "link.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <istream>
#include <ostream>

#include "slab.h"

namespace yewmount::benchlink {
namespace {

using nlohmann::json;

constexpr double kMicrosPerSecond = 1e6;

const json& need(const json& fields, const char* name) {
  auto it = fields.find(name);
  if (it == fields.end() || it->is_null()) throw BadInput(std::string("missing field '") + name + "'");
  return *it;
}

// Wrong types are named after the field, in one line, rather than in the library's words.
template <class T>
T as(const json& value, const char* name) {
  bool fits;
  if constexpr (std::is_same_v<T, bool>)
    fits = value.is_boolean();
  else if constexpr (std::is_arithmetic_v<T>)
    fits = std::is_integral_v<T> ? value.is_number_integer() : value.is_number();
  else
    fits = value.is_string();
  if (!fits) throw BadInput(std::string("field '") + name + "' is of the wrong type");
  return value.get<T>();
}

template <class T>
T get(const json& fields, const char* name) {
  return as<T>(need(fields, name), name);
}

template <class T>
T get_or(const json& fields, const char* name, T otherwise) {
  auto it = fields.find(name);
  return it == fields.end() || it->is_null() ? otherwise : as<T>(*it, name);
}

const json& part(const json& fields, const char* name, json::value_t type) {
  const json& value = need(fields, name);
  if (value.type() != type) throw BadInput(std::string("field '") + name + "' is of the wrong type");
  return value;
}

Micros micros(double seconds) { return std::llround(seconds * kMicrosPerSecond); }
Micros time_of(const json& fields, const char* name) { return micros(get<double>(fields, name)); }
Micros time_or(const json& fields, const char* name, Micros otherwise) {
  auto it = fields.find(name);
  return it == fields.end() || it->is_null() ? otherwise : micros(as<double>(*it, name));
}
double seconds(Micros t) { return static_cast<double>(t) / kMicrosPerSecond; }

std::uint64_t ticket(const json& fields) {
  const std::string text = get<std::string>(fields, "ticket");
  std::uint64_t id = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id, 16);
  if (text.size() != 16 || error != std::errc() || end != text.data() + text.size())
    throw BadInput("field 'ticket' is not 16 hex digits");
  return id;
}

std::string ticket_text(std::uint64_t id) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(id));
  return text;
}

template <class T, std::size_t N>
T word(const std::string& text, const std::pair<const char*, T> (&words)[N], const char* what) {
  for (const auto& [name, value] : words)
    if (text == name) return value;
  throw BadInput("unknown " + std::string(what) + " '" + text + "'");
}

Result result(const json& fields) {
  static constexpr std::pair<const char*, Result> words[] = {{"served", Result::ended},
                                                             {"server_error", Result::error},
                                                             {"turned_away", Result::turned_away},
                                                             {"no_answer", Result::no_answer},
                                                             {"no_connection", Result::no_connection},
                                                             {"connection_lost", Result::lost},
                                                             {"called_off", Result::called_off},
                                                             {"not_sent", Result::not_sent}};
  return word(get<std::string>(fields, "rc"), words, "result");
}

IoGroup io_group(const json& c) {
  static constexpr std::pair<const char*, Repeat> repeats[] = {{"read_like", Repeat::idempotent},
                                                               {"idempotency_key", Repeat::fingerprinted},
                                                               {"non_idempotent", Repeat::side_effecting}};
  static constexpr std::pair<const char*, Scope> scopes[] = {
      {"all", Scope::all}, {"zone", Scope::zone}, {"cell", Scope::cell}};
  return {.latency_goal = time_of(c, "objective-s"),
          .hard_limit = time_of(c, "deadline-s"),
          .memory_span = time_or(c, "memory-span-s", 0),
          .goal_stretch = get_or<double>(c, "aim-stretch", 0),
          .gain = get<double>(c, "credit"),
          .late_part = get_or<double>(c, "late-worth", 0),
          .repeat = word(get<std::string>(c, "idempotency"), repeats, "idempotency"),
          .scope = word(get_or<std::string>(c, "key-scope", "all"), scopes, "key-scope"),
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

int Names::index(const std::string& name) {
  auto [it, fresh] = indices_.try_emplace(name, static_cast<int>(names_.size()));
  if (fresh) names_.push_back(name);
  return it->second;
}

int Names::known(const std::string& name) const {
  auto it = indices_.find(name);
  if (it == indices_.end()) throw BadInput("unknown name '" + name + "'");
  return it->second;
}

Seat::Seat(std::string inst) : inst_(std::move(inst)) {}

// What the module throws is told as the wire provides; what the wire got wrong goes on up.
template <class Call>
void Seat::guarded(Call call) {
  try {
    call();
  } catch (const BadInput&) {
    throw;
  } catch (const std::exception& e) {
    say("Bug", {{"msg", e.what()}});
  }
}

void Seat::power_on(const json& fields, Micros now) {
  nodes_ = volumes_ = groups_ = plans_ = zones_ = Names();
  const json& conf = part(fields, "conf", json::value_t::object);
  const json& info = part(conf, "family-info", json::value_t::object);
  const json& limits = part(conf, "limits", json::value_t::object);
  const json& rules = part(conf, "rules", json::value_t::object);
  const json& report = part(conf, "report", json::value_t::object);
  const std::string sizes = get_or<std::string>(conf, "weights", "silent");
  Provisioning given{.seed = get<std::uint64_t>(fields, "random-seed"),
                     .heads = get<int>(conf, "balancers"),
                     .own_number = get<int>(conf, "rank"),
                     .groups = {},
                     .plans = {},
                     .cold_bears = get<double>(info, "cold-bears"),
                     .usual_units = get<double>(info, "usual-units"),
                     .most_units = get<double>(info, "most-units"),
                     .share_gain = get<double>(info, "share-worth"),
                     .beyond_gain = get<double>(info, "beyond-share"),
                     .meter_period = time_or(info, "meter-s", 0),
                     .tells_elsewhere = get_or<bool>(info, "tells-elsewhere", false),
                     .list_asked = get<std::string>(conf, "registry-mode") == "ask",
                     .sizes_told = sizes == "nominal" || sizes == "rough",
                     .may_copy = get<bool>(limits, "may-duplicate"),
                     .may_cancel = get<bool>(limits, "cancel"),
                     .may_probe = get<bool>(limits, "probes"),
                     .takes_advice = get<bool>(limits, "retry-after"),
                     .most_submits = get<int>(limits, "max-attempts"),
                     .longest_advice = time_or(limits, "max-retry-after-s", 0),
                     .answer_slack = time_of(rules, "answer-slack-s"),
                     .ask_every = time_or(rules, "ask-every-s", -1),
                     .cold_from = get<double>(rules, "cold-from"),
                     .fall_multiple = get<double>(rules, "fall-multiple"),
                     .warm_within = time_of(rules, "warm-within-s"),
                     .overload_for = time_of(rules, "overload-for-s"),
                     .turn_rest = time_or(rules, "turn-gap-s", -1),
                     .budget_spare = get_or<double>(rules, "spare-attempts", -1),
                     .budget_share = get_or<double>(rules, "budget-share", -1),
                     .budget_span = time_or(rules, "budget-span-s", -1)};
  for (const json& c : part(conf, "classes", json::value_t::array)) {
    groups_.index(get<std::string>(c, "name"));
    given.groups.push_back(io_group(c));
  }
  for (const json& p : part(conf, "plans", json::value_t::array)) {
    plans_.index(get<std::string>(p, "name"));
    given.plans.push_back(plan(p));
  }
  report_fields_.clear();
  if (auto it = report.find("fields"); it != report.end() && it->is_array())
    for (const json& f : *it) report_fields_.push_back(as<std::string>(f, "fields"));
  guarded([&] { head_ = std::make_unique<Head>(given, *this, now); });
}

// What a head said earlier in the batch of its death would speak of block I/Os that the wire has forgotten.
void Seat::stop() {
  head_.reset();
  reply_.clear();
}

void Seat::event(const std::string& name, const json& fields, Micros now,
                 const std::map<int, json>& manifests) {
  if (!head_) return;  // what comes for a dead head is nobody's
  guarded([&] {
    head_->at(now);
    dispatch(name, fields, manifests);
  });
}

void Seat::settle(Micros now) {
  if (!head_) return;
  guarded([&] {
    head_->at(now);
    head_->settle();
  });
}

void Seat::dispatch(const std::string& name, const json& fields, const std::map<int, json>& manifests) {
  if (name == "Ask") return ask(fields);
  if (name == "Targets") return targets(fields, manifests);
  if (name == "Timer") return head_->woke(get<std::uint64_t>(fields, "mark"));
  if (name == "TimedOutClient") return head_->client_left(ticket(fields));
  if (name == "Started") return head_->stream_started(ticket(fields), get<int>(fields, "seq-no"));
  if (name == "Datagram") return;  // heads here share nothing; the module asks for no letters
  if (name == "Verdict")
    return head_->answered({.id = ticket(fields),
                            .submit = get<int>(fields, "seq-no"),
                            .node = nodes_.known(get<std::string>(fields, "shelf")),
                            .result = result(fields),
                            .over = get_or<bool>(fields, "ended", false),
                            .lag = time_of(fields, "lag-s"),
                            .volume_use = get_or<int>(fields, "volume-use", 0),
                            .from_others = get_or<int>(fields, "from-others", 0),
                            .report = report(fields)});
  if (name == "Echo")
    return head_->probed(nodes_.known(get<std::string>(fields, "shelf")), result(fields),
                         time_of(fields, "lag-s"), report(fields));
  throw BadInput("unknown message '" + name + "'");
}

void Seat::ask(const json& fields) {
  const std::string object = get_or<std::string>(fields, "object", "");
  head_->take({.id = ticket(fields),
               .object = object.empty() ? 0 : stable_hash(object),
               .give_up_at = time_of(fields, "give-up-at-s"),
               .group = groups_.known(get<std::string>(fields, "class")),
               .plan = plans_.known(get<std::string>(fields, "policy-no")),
               .volume = volumes_.index(get<std::string>(fields, "owner")),
               .shard = static_cast<int>(get<double>(fields, "placement")),
               .units = static_cast<int>(get<double>(fields, "size-units")),
               .heads = static_cast<int>(get<double>(fields, "attached"))});
}

void Seat::targets(const json& fields, const std::map<int, json>& manifests) {
  ListKind kind;
  switch (get<int>(fields, "form")) {
    case 0:
      kind = ListKind::full;
      break;
    case 2:
      kind = ListKind::cached;
      break;
    case 3:
      return head_->listed(ListKind::failed, {});
    case 4:
      kind = ListKind::delta;
      break;
    default:
      throw BadInput("unknown list form");
  }
  auto manifest = manifests.find(get<int>(fields, "set-id"));
  if (manifest == manifests.end()) throw BadInput("list number without a Manifest");
  std::vector<NodeEntry> entries;
  for (const json& e : manifest->second) {
    const int node = nodes_.index(get<std::string>(e, "shelf"));
    NodeState state;
    switch (get<int>(e, "state")) {
      case 0:
        state = NodeState::gone;
        break;
      case 1:
        state = NodeState::ready;
        break;
      case 2:
        state = NodeState::draining;
        break;
      default:
        throw BadInput("unknown node state");
    }
    entries.push_back({.node = node,
                       .name = nodes_.name(node),
                       .state = state,
                       .shard = get_or<int>(e, "group", -1),
                       .zone = zones_.index(get_or<std::string>(e, "rack-zone", "")),
                       .share = get_or<double>(e, "share", 1),
                       .up_since = time_or(e, "up-since-s", 0)});
  }
  head_->listed(kind, entries);
}

LoadReport Seat::report(const json& fields) const {
  LoadReport told;
  auto row = fields.find("report");
  if (row == fields.end() || !row->is_array()) return told;
  for (std::size_t i = 0; i < row->size() && i < report_fields_.size(); ++i) {
    if (!(*row)[i].is_number()) continue;
    const double value = (*row)[i].get<double>();
    if (report_fields_[i] == "outstanding") told.outstanding = value;
    if (report_fields_[i] == "backlog") told.backlog = value;
    if (report_fields_[i] == "utilization") told.utilization = value;
    if (report_fields_[i] == "recent_ms") told.recent = micros(value / 1000);
  }
  return told;
}

void Seat::say(std::string_view action, json fields) {
  fields["head-id"] = inst_;
  reply_ += json{{action, std::move(fields)}}.dump(-1, ' ', false, json::error_handler_t::replace);
  reply_ += '\n';
}

void Seat::submit(std::uint64_t id, int node, Micros try_for) {
  say("Relay", {{"ticket", ticket_text(id)}, {"shelf", nodes_.name(node)}, {"try-for-s", seconds(try_for)}});
}
void Seat::shed(std::uint64_t id, Micros come_back_after) {
  say("PushBack", {{"ticket", ticket_text(id)}, {"retry-after-s", seconds(come_back_after)}});
}
void Seat::fail(std::uint64_t id) { say("ReportFailure", {{"ticket", ticket_text(id)}}); }
void Seat::cancel(std::uint64_t id, int submit) {
  say("Retract", {{"ticket", ticket_text(id)}, {"seq-no", submit}});
}
void Seat::wake(std::uint64_t token, Micros from_now) {
  say("Defer", {{"mark", token}, {"from-now-s", seconds(from_now)}});
}
void Seat::fetch_list() { say("QueryAll", json::object()); }
void Seat::watch_list() { say("Watch", {{"active", true}}); }
void Seat::probe(int node) { say("Sample", {{"shelf", nodes_.name(node)}}); }
void Seat::note(std::string_view text) { say("NoteDown", {{"msg", text}}); }

void Link::run(std::istream& in, std::ostream& out) {
  std::string text;
  for (int number = 1; std::getline(in, text); ++number) {
    if (text.empty()) continue;
    try {
      line(text, out);
    } catch (const json::exception&) {
      throw BadInput("line " + std::to_string(number) + ": not a JSON message");
    } catch (const BadInput& e) {
      throw BadInput("line " + std::to_string(number) + ": " + e.what());
    }
  }
  if (in_batch_) throw BadInput("input ended inside a batch");
}

void Link::line(const std::string& text, std::ostream& out) {
  json message = json::parse(text);
  if (!message.is_object() || message.size() != 1) throw BadInput("a message has exactly one key");
  const std::string name = message.begin().key();
  json& fields = message.begin().value();
  if (!fields.is_object()) throw BadInput("a message holds an object");
  if (name == "Clock") {
    now_ = time_of(fields, "at-time-s");
    in_batch_ = true;
    return;
  }
  if (!in_batch_) throw BadInput("'" + name + "' outside a batch");
  if (name == "EofBatch") {
    for (Seat* seat : touched_) {
      seat->settle(now_);
      out << seat->take_reply();
    }
    touched_.clear();
    out << "{\"Eor\":{}}\n" << std::flush;
    in_batch_ = false;
    return;
  }
  if (name == "Manifest") {
    const int number = get<int>(fields, "set-id");
    part(fields, "members-list", json::value_t::array);
    manifests_[number] = std::move(fields["members-list"]);
    return;
  }
  const std::string inst = get<std::string>(fields, "head-id");
  auto it = seats_.find(inst);
  if (name == "PowerOn") {
    if (it == seats_.end()) it = seats_.try_emplace(inst, inst).first;
    it->second.power_on(fields, now_);
  } else if (it == seats_.end()) {
    throw BadInput("'" + name + "' for a head that never started");
  } else if (name == "CrashNow") {
    it->second.stop();
  } else {
    it->second.event(name, fields, now_, manifests_);
  }
  Seat* seat = &it->second;
  if (std::find(touched_.begin(), touched_.end(), seat) == touched_.end()) touched_.push_back(seat);
}

}  // namespace yewmount::benchlink
