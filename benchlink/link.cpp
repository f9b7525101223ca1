#include "link.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <istream>
#include <ostream>

#include "containers.h"

namespace yewmount::benchlink {
namespace {

using nlohmann::json;
using provision::as;
using provision::get;
using provision::get_or;
using provision::parse_enum;
using provision::require_typed;
using provision::time_of;
using provision::time_or;

constexpr double kMicrosPerSecond = 1e6;

double seconds(Micros t) { return static_cast<double>(t) / kMicrosPerSecond; }

std::uint64_t parse_ticket(const json& fields) {
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

Result parse_result(const json& fields) {
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

HeadSession::HeadSession(std::string head_id) : head_id_(std::move(head_id)) {}

// Reports an exception of the scheduler as a Bug message; malformed input is passed on to the caller.
template <class Call>
void HeadSession::report_exceptions(Call call) {
  try {
    call();
  } catch (const BadInput&) {
    throw;
  } catch (const std::exception& e) {
    write_action("Bug", {{"msg", e.what()}});
  }
}

void HeadSession::start(const json& fields, Micros now) {
  nodes_ = volumes_ = zones_ = NameTable();
  given_ = provision::read_platform_settings(require_typed(fields, "conf", json::value_t::object),
                                             get<std::uint64_t>(fields, "random-seed"));
  report_exceptions([&] { head_ = std::make_unique<Head>(given_.head, *this, now); });
}

// Replies from earlier in the same batch are dropped: the simulator has discarded the block I/Os they refer
// to.
void HeadSession::stop() {
  head_.reset();
  reply_.clear();
}

void HeadSession::handle_message(const std::string& name, const json& fields, Micros now,
                                 const std::map<int, json>& manifests) {
  if (!head_) return;  // a stopped head ignores messages
  report_exceptions([&] {
    head_->set_time(now);
    dispatch(name, fields, manifests);
  });
}

void HeadSession::run_scheduler(Micros now) {
  if (!head_) return;
  report_exceptions([&] {
    head_->set_time(now);
    head_->run_scheduler();
  });
}

void HeadSession::dispatch(const std::string& name, const json& fields,
                           const std::map<int, json>& manifests) {
  if (name == "Ask") return handle_request(fields);
  if (name == "Targets") return handle_node_list(fields, manifests);
  if (name == "Timer") return head_->on_timer(get<std::uint64_t>(fields, "mark"));
  if (name == "TimedOutClient") return head_->on_client_disconnected(parse_ticket(fields));
  if (name == "Started") return head_->on_stream_started(parse_ticket(fields), get<int>(fields, "seq-no"));
  if (name == "Datagram") return;  // heads exchange no messages
  if (name == "Verdict")
    return head_->on_submit_result({.id = parse_ticket(fields),
                                    .submit = get<int>(fields, "seq-no"),
                                    .node = nodes_.known(get<std::string>(fields, "shelf")),
                                    .result = parse_result(fields),
                                    .over = get_or<bool>(fields, "ended", false),
                                    .lag = time_of(fields, "lag-s"),
                                    .volume_use = get_or<int>(fields, "volume-use", 0),
                                    .from_others = get_or<int>(fields, "from-others", 0),
                                    .report = load_report(fields)});
  if (name == "Echo")
    return head_->on_probe_result(nodes_.known(get<std::string>(fields, "shelf")), parse_result(fields),
                                  time_of(fields, "lag-s"), load_report(fields));
  throw BadInput("unknown message '" + name + "'");
}

void HeadSession::handle_request(const json& fields) {
  const std::string object = get_or<std::string>(fields, "object", "");
  head_->enqueue({.id = parse_ticket(fields),
                  .object = object.empty() ? 0 : stable_hash(object),
                  .give_up_at = time_of(fields, "give-up-at-s"),
                  .group = given_.groups.known(get<std::string>(fields, "class")),
                  .plan = given_.plans.known(get<std::string>(fields, "policy-no")),
                  .volume = volumes_.index(get<std::string>(fields, "owner")),
                  .shard = static_cast<int>(get<double>(fields, "placement")),
                  .units = static_cast<int>(get<double>(fields, "size-units")),
                  .heads = static_cast<int>(get<double>(fields, "attached"))});
}

void HeadSession::handle_node_list(const json& fields, const std::map<int, json>& manifests) {
  ListKind kind;
  switch (get<int>(fields, "form")) {
    case 0:
      kind = ListKind::full;
      break;
    case 2:
      kind = ListKind::cached;
      break;
    case 3:
      return head_->update_node_list(ListKind::failed, {});
    case 4:
      kind = ListKind::delta;
      break;
    default:
      throw BadInput("unknown list form");
  }
  auto manifest = manifests.find(get<int>(fields, "set-id"));
  if (manifest == manifests.end()) throw BadInput("set-id without a preceding Manifest");
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
  head_->update_node_list(kind, entries);
}

LoadReport HeadSession::load_report(const json& fields) const {
  LoadReport load;
  auto row = fields.find("report");
  if (row == fields.end() || !row->is_array()) return load;
  for (std::size_t i = 0; i < row->size() && i < given_.report_fields.size(); ++i)
    if ((*row)[i].is_number())
      provision::set_load_value(load, given_.report_fields[i], (*row)[i].get<double>());
  return load;
}

void HeadSession::write_action(std::string_view action, json fields) {
  fields["head-id"] = head_id_;
  reply_ += json{{action, std::move(fields)}}.dump(-1, ' ', false, json::error_handler_t::replace);
  reply_ += '\n';
}

void HeadSession::submit(std::uint64_t id, int node, Micros try_for) {
  write_action("Relay",
               {{"ticket", ticket_text(id)}, {"shelf", nodes_.name(node)}, {"try-for-s", seconds(try_for)}});
}
void HeadSession::shed(std::uint64_t id, Micros come_back_after, RejectionReason) {
  write_action("PushBack", {{"ticket", ticket_text(id)}, {"retry-after-s", seconds(come_back_after)}});
}
void HeadSession::fail(std::uint64_t id, RejectionReason) {
  write_action("ReportFailure", {{"ticket", ticket_text(id)}});
}
void HeadSession::cancel(std::uint64_t id, int submit) {
  write_action("Retract", {{"ticket", ticket_text(id)}, {"seq-no", submit}});
}
void HeadSession::set_timer(std::uint64_t token, Micros from_now) {
  write_action("Defer", {{"mark", token}, {"from-now-s", seconds(from_now)}});
}
void HeadSession::fetch_list() { write_action("QueryAll", json::object()); }
void HeadSession::watch_list() { write_action("Watch", {{"active", true}}); }
void HeadSession::probe(int node) { write_action("Sample", {{"shelf", nodes_.name(node)}}); }
void HeadSession::log_note(std::string_view text) { write_action("NoteDown", {{"msg", text}}); }

void Link::run(std::istream& in, std::ostream& out) {
  std::string text;
  for (int number = 1; std::getline(in, text); ++number) {
    if (text.empty()) continue;
    try {
      process_line(text, out);
    } catch (const json::exception&) {
      throw BadInput("line " + std::to_string(number) + ": not a JSON message");
    } catch (const BadInput& e) {
      throw BadInput("line " + std::to_string(number) + ": " + e.what());
    }
  }
  if (in_batch_) throw BadInput("input ended inside a batch");
}

void Link::process_line(const std::string& text, std::ostream& out) {
  json message = json::parse(text);
  if (!message.is_object() || message.size() != 1) throw BadInput("a message must have exactly one key");
  const std::string name = message.begin().key();
  json& fields = message.begin().value();
  if (!fields.is_object()) throw BadInput("the value of a message must be an object");
  if (name == "Clock") {
    now_ = time_of(fields, "at-time-s");
    in_batch_ = true;
    return;
  }
  if (!in_batch_) throw BadInput("'" + name + "' outside a batch");
  if (name == "EofBatch") {
    for (HeadSession* head : heads_in_batch_) {
      head->run_scheduler(now_);
      out << head->take_reply();
    }
    heads_in_batch_.clear();
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
  const std::string head_id = get<std::string>(fields, "head-id");
  auto it = heads_.find(head_id);
  if (name == "PowerOn") {
    if (it == heads_.end()) it = heads_.try_emplace(head_id, head_id).first;
    it->second.start(fields, now_);
  } else if (it == heads_.end()) {
    throw BadInput("'" + name + "' for a head that never started");
  } else if (name == "CrashNow") {
    it->second.stop();
  } else {
    it->second.handle_message(name, fields, now_, manifests_);
  }
  HeadSession* head = &it->second;
  if (std::find(heads_in_batch_.begin(), heads_in_batch_.end(), head) == heads_in_batch_.end())
    heads_in_batch_.push_back(head);
}

}  // namespace yewmount::benchlink
