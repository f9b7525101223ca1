#include "link.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <istream>
#include <ostream>

#include "slab.h"

namespace yewmount::benchlink {
namespace {

using nlohmann::json;
using provision::as;
using provision::get;
using provision::get_or;
using provision::require_typed;
using provision::time_of;
using provision::time_or;
using provision::parse_enum;

constexpr double kMicrosPerSecond = 1e6;

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

Result result(const json& fields) {
  static constexpr std::pair<const char*, Result> words[] = {{"served", Result::ended},
                                                             {"server_error", Result::error},
                                                             {"turned_away", Result::turned_away},
                                                             {"no_answer", Result::no_answer},
                                                             {"no_connection", Result::no_connection},
                                                             {"connection_lost", Result::lost},
                                                             {"called_off", Result::called_off},
                                                             {"not_sent", Result::not_sent}};
  return parse_enum(get<std::string>(fields, "rc"), words, "result");
}

}  // namespace

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
  nodes_ = volumes_ = zones_ = NameTable();
  given_ = provision::read_platform_settings(require_typed(fields, "conf", json::value_t::object),
                                             get<std::uint64_t>(fields, "random-seed"));
  guarded([&] { head_ = std::make_unique<Head>(given_.head, *this, now); });
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
               .group = given_.groups.known(get<std::string>(fields, "class")),
               .plan = given_.plans.known(get<std::string>(fields, "policy-no")),
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
  for (std::size_t i = 0; i < row->size() && i < given_.report_fields.size(); ++i)
    if ((*row)[i].is_number())
      provision::set_load_value(told, given_.report_fields[i], (*row)[i].get<double>());
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
void Seat::shed(std::uint64_t id, Micros come_back_after, GiveUp) {
  say("PushBack", {{"ticket", ticket_text(id)}, {"retry-after-s", seconds(come_back_after)}});
}
void Seat::fail(std::uint64_t id, GiveUp) { say("ReportFailure", {{"ticket", ticket_text(id)}}); }
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
    require_typed(fields, "members-list", json::value_t::array);
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
