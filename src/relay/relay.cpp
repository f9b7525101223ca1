#include "relay/relay.h"

#include <algorithm>
#include <charconv>

#include "base/base.h"
#include "settings/json_schema.h"

namespace yewmount::relay {
namespace {

using nlohmann::json;
using provision::BadInput;

constexpr Micros kSecond = 1'000'000;
constexpr Micros kStoodStill =
    40'000;  // between two turns: counted for operators, acted on by the module alone
constexpr Micros kTidy = 100'000;
constexpr Micros kTell = 10 * kSecond;  // between two lines of figures in the log
// The platform ends a head no sooner after SIGTERM than its longest hard limit, counted as three seconds
// where it is longer, and 0.7 s more. Until then its clients have no other head.
constexpr Micros kMostLimit = 3 * kSecond, kGrace = 700'000;
constexpr Micros kMargin = 200'000;   // before that, the last answer is out
constexpr Micros kClosing = 400'000;  // before the last answer, connections are ended between commands
constexpr Micros kVolumeRest = 60 * kSecond;  // a volume unused for longer gives its index back
constexpr long kLongestWait = 600'000;        // milliseconds that a client may say it waits
constexpr int kMostHeads = 4096, kMostShard = 1 << 16;
constexpr std::size_t kSpareSockets = 24;  // of the descriptors: loop, log, listener, list of nodes
constexpr std::size_t kValuePart = 16, kHeldPart = 4;  // of the memory: for one value, for all that come
constexpr std::size_t kBodiesPart = 6;                 // and for the commands in hand
constexpr std::size_t kAheadPart = 12;                 // and for commands that wait behind others
constexpr double kBeyond = 1e9;                        // of descriptors or megabytes
constexpr std::size_t kHexDigits = 16;
// A client that closed longer ago than this must not have an attempt begin for it; the operators allow 0.1 s.
constexpr Micros kGoneWithin = 50'000;
constexpr Micros kAnswerSlack = 50'000;  // of the protocol, on every time limit

template <std::size_t N>
nlohmann::ordered_json by_name(const std::array<std::string_view, N>& names,
                               const std::array<std::uint64_t, N>& counts) {
  nlohmann::ordered_json all = nlohmann::ordered_json::object();
  for (std::size_t i = 0; i < N; ++i)
    if (counts[i] > 0) all[std::string(names[i])] = counts[i];
  return all;
}

std::string hex_text(std::uint64_t value) {
  char text[kHexDigits + 1];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

bool hex(std::string_view text, std::uint64_t& value) {
  if (text.size() != kHexDigits) return false;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  return error == std::errc() && end == text.data() + text.size() && text[0] != '-';
}

bool whole(std::string_view text, long least, long most, long& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() && value >= least && value <= most;
}

std::uint64_t seed_of(const std::string& text) {
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc() || end != text.data() + text.size())
    throw BadInput("field 'seed' is not hex digits");
  return seed;
}

// Of the descriptors: one half lead to nodes, where submits must not wait for one, the other to clients.
std::size_t half(std::size_t sockets) { return (sockets - kSpareSockets) / 2; }

std::size_t limit(const json& limits, const char* name, std::size_t least) {
  const double value = provision::get<double>(limits, name);
  if (value >= static_cast<double>(least) && value <= kBeyond) return static_cast<std::size_t>(value);
  throw BadInput(std::string("field '") + name + "' is below " + std::to_string(least) +
                 " or beyond any machine");
}

}  // namespace

Deployment load(const std::string& file) {
  std::string text;
  if (const std::string why = read_file(file, text); !why.empty()) throw std::runtime_error(why);
  const json all = settings::parse(text, file);
  try {
    if (!all.is_object()) throw BadInput("not an object");
    Deployment given;
    given.name = provision::get<std::string>(all, "name");
    given.listen = discovery::parse_endpoint(provision::get<std::string>(all, "listen"));
    given.members = discovery::parse_endpoint(provision::get<std::string>(all, "discovery"));
    const json& limits = provision::require_typed(all, "limits", json::value_t::object);
    given.sockets = limit(limits, "sockets", 2 * kSpareSockets);
    given.memory = limit(limits, "memory_mb", 1) << 20;
    given.known = provision::require_typed(all, "known", json::value_t::object);
    given.platform =
        provision::read_platform_settings(provision::require_typed(all, "settings", json::value_t::object),
                                          seed_of(provision::get<std::string>(all, "seed")));
    given.platform.head.may_probe = false;  // the protocol has no probe, whatever the settings allow
    return given;
  } catch (const std::exception& e) {
    throw std::runtime_error(file + ": " + e.what());
  }
}

Relay::Relay(asio::io_context& io, Deployment given)
    : io_(io),
      given_(std::move(given)),
      callers_(io, given_.listen, half(given_.sockets), given_.memory / kAheadPart, *this),
      nodes_(io,
             {given_.platform.streams_per_connection, half(given_.sockets), given_.platform.connect_timeout,
              given_.platform.idle_timeout, given_.memory / kValuePart, given_.memory / kHeldPart},
             *this),
      members_(io, given_.platform.head.polls_list, given_.platform.head.seed, *this),
      now_(monotonic_now()),
      rules_(std::make_unique<Head>(given_.platform.head, *this, now_)) {
  members_.load_cached_list(given_.known);
  members_.follow(given_.members);
}

Relay::~Relay() = default;

Micros Relay::now() {
  now_ = monotonic_now();
  rules_->set_time(now_);
  return now_;
}

// --- the turn ---------------------------------------------------------------------------------------------

void Relay::run() {
  while (true) {
    const bool caught_up = event_loop::run_handlers(io_, wakes_.next(monotonic_now() + kStoodStill));
    const Micros began = monotonic_now();
    if (caught_up) callers_.caught_up(began);
    turn();
    counts_.longest_turn = std::max(counts_.longest_turn, monotonic_now() - began);
    if (gone_at_ == 0 || now_ < gone_at_ - kClosing) continue;
    if (listening_) {
      listening_ = false;
      callers_.stop_listening();
      continue;
    }
    callers_.close_idle();
    if (now_ >= gone_at_) {
      for (const int at : std::vector<int>(in_hand_.begin(), in_hand_.end())) conclude(at);
      callers_.close_all();
    }
    if (callers_.closed() || now_ >= gone_at_ + kMargin / 2) return;
  }
}

void Relay::turn() {
  now();
  if (turned_ > 0 && now_ - turned_ > kStoodStill) ++counts_.stood_still;
  turned_ = now_;
  nodes_.deliver_results(now_);
  callers_.deliver();
  wakes_.run_due(now_, [&](std::uint64_t token) { rules_->on_timer(token); });
  rules_->run_scheduler();
  nodes_.flush();
  callers_.flush();
  if (now_ - looked_ >= kTidy) {
    looked_ = now_;
    members_.check_timeouts(now_);
    callers_.sweep(now_);
    callers_.flush();
  }
  if (now_ - swept_ >= kSecond) once_a_second(now_);
}

void Relay::once_a_second(Micros now) {
  swept_ = now;
  members_.release_gone_nodes();
  volumes_.release_unused(now - kVolumeRest, [&](int index) { return rules_->forget_volume(index); });
  if (now - told_ < kTell) return;
  told_ = now;
  logs::info("figures", report());
}

nlohmann::ordered_json Relay::report() const {
  const callers::Counts& c = callers_.counts();
  const node_connections::Counts& n = nodes_.counts();
  const Head::Footprint f = rules_->footprint();
  return {{"taken", counts_.taken},
          {"ended", counts_.ended},
          {"shed", counts_.shed},
          {"failed", counts_.failed},
          {"left", counts_.left},
          {"bad", counts_.bad},
          {"full", counts_.full},
          {"submits", counts_.submits},
          {"further", counts_.further},
          {"in_hand", f.active},
          {"held", f.queued},
          {"calm", f.headroom},
          {"clients", callers_.clients()},
          {"unread", c.unread},
          {"turned_back", c.turned_back},
          {"parted", c.parted},
          {"lingered", c.lingered},
          {"connections", nodes_.connection_count()},
          {"opened", n.opened},
          {"lost", n.connections_lost},
          {"spoilt", n.malformed_replies},
          {"strays", n.unexpected_replies},
          {"doubled_up", n.pipelined},
          {"no_room", n.no_connection_free},
          {"outcomes", by_name(kResultNames, counts_.outcomes)},
          {"given_up", by_name(kRejectionReasonNames, counts_.given_up)},
          {"denied", by_name(kDenialReasonNames, n.denied)},
          {"clients_closed", by_name(permits::kCloseReasons, c.closed)},
          {"nodes_closed", by_name(node_connections::kCloseReasonNames, n.closed)},
          {"violations",
           {{"late_answers", counts_.violations.late_answers},
            {"unasked_values", counts_.violations.unasked_values},
            {"closed_unanswered", c.closed_unanswered},
            {"answered_again", c.answered_again}}},
          {"list", members_.version()},
          {"nodes", members_.node_count()},
          {"volumes", volumes_.size()},
          {"list_failures", members_.failures()},
          {"stood_still", counts_.stood_still},
          {"longest_turn_us", counts_.longest_turn}};
}

void Relay::drain() {
  if (gone_at_ > 0) return;
  Micros longest = 0;
  for (const IoGroup& g : given_.platform.head.groups) longest = std::max(longest, g.hard_limit);
  gone_at_ = monotonic_now() + std::min(longest, kMostLimit) + kGrace - kMargin;
  logs::info("draining", {{"in_hand", in_hand_.size()}, {"clients", callers_.clients()}});
}

void Relay::reload(const Deployment& given) {
  now();
  if (given.listen != given_.listen) logs::warn("the address to listen at changes only with a restart");
  given_.members = given.members;
  members_.follow(given.members);
  // A plan keeps its place in the module: only figures may differ.
  if (given.platform.plans == given_.platform.plans)
    rules_->update_plans(given.platform.head.plans);
  else
    logs::warn("which plans there are changes only with a restart");
}

// --- clients ----------------------------------------------------------------------------------------------

// Null, or why the command can't be one: nothing malformed is to reach a node.
const char* Relay::read(const resp::Command& command, BlockIo& bio, Work& work, Micros came) {
  const auto& w = command.words;
  const bool write = w[0] == "BLK.WRITE";
  if (!write && w[0] != "BLK.READ") return "unknown command";
  if (command.count != (write ? 5 : 4)) return "wrong number of words";
  std::uint64_t piece = 0, volume = 0;
  if (!hex(w[1], piece)) return "the piece of data is not 16 hex digits";
  if (!hex(w[2], work.name)) return "the id is not 16 hex digits";
  const provision::PlatformSettings& platform = given_.platform;
  long wait = -1, units = -1, shard = -2, heads = -1;
  std::size_t wait_at = 0, wait_size = 0;
  bool has_volume = false;
  for (std::size_t at = 0; at < w[3].size();) {
    const std::size_t comma = std::min(w[3].find(',', at), w[3].size());
    const std::string_view pair = w[3].substr(at, comma - at);
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) return "a value without a name";
    const std::string_view name = pair.substr(0, equals), value = pair.substr(equals + 1);
    if (name == "c") {
      if (bio.group >= 0 || (bio.group = platform.groups.find(value)) < 0) return "unknown class";
    } else if (name == "t") {
      if (bio.plan >= 0 || (bio.plan = platform.plans.find(value)) < 0) return "unknown plan";
    } else if (name == "d") {
      if (wait >= 0 || !whole(value, 0, kLongestWait, wait))
        return "the wait is not a number of milliseconds";
      wait_at = at + equals + 1;
      wait_size = value.size();
    } else if (name == "volume") {
      if (has_volume || !hex(value, volume)) return "the volume is not 16 hex digits";
      has_volume = true;
    } else if (name == "units") {
      if (units >= 0 || !whole(value, 1, static_cast<long>(platform.head.max_units), units))
        return "bad units";
    } else if (name == "shard") {
      if (shard >= -1 || !whole(value, -1, kMostShard, shard)) return "bad shard";
    } else if (name == "hosts") {
      if (heads >= 0 || !whole(value, 1, kMostHeads, heads)) return "bad number of hosts";
    }
    at = comma + 1;
  }
  if (bio.group < 0) return "no class";
  if (bio.plan < 0) return "no plan";
  if (wait < 0) return "no wait";
  if (!has_volume || units < 0 || shard < -1 || heads < 0) return "no volume, units, shard or hosts";
  if (platform.writes[bio.group] != write) return "the class is not one of this command";
  bio.object = stable_hash(w[1]);
  bio.give_up_at = came + wait * 1000;
  // Nothing may be left unanswered when this head goes.
  if (gone_at_ > 0) bio.give_up_at = std::min(bio.give_up_at, gone_at_);
  bio.units = static_cast<int>(units);
  bio.shard = static_cast<int>(shard);
  bio.heads = static_cast<int>(heads);
  bio.volume = volumes_.acquire(volume, now_);
  work.give_up_at = bio.give_up_at;
  work.taken = came;
  work.command.prefix.clear();
  resp::append_array_header(work.command.prefix, static_cast<std::size_t>(command.count));
  for (int i = 0; i < 3; ++i) resp::append_bulk_string(work.command.prefix, w[i]);
  work.command.fields = w[3];
  work.command.fields.erase(wait_at, wait_size);
  work.command.time_left_offset = wait_at;
  work.command.suffix.clear();
  if (write) resp::append_bulk_string(work.command.suffix, w[4]);
  return nullptr;
}

void Relay::asked(const callers::Caller& caller, const resp::Command& command, Micros came) {
  if (command.words[0] == "PING" && command.count == 1) return callers_.answer(caller, "+PONG\r\n");
  now();
  BlockIo bio{.id = 0,
              .object = 0,
              .give_up_at = 0,
              .group = -1,
              .plan = -1,
              .volume = -1,
              .shard = -1,
              .units = 0,
              .heads = 0};
  const int at = works_.allocate_uncleared();
  Work& work = works_[at];
  work.submits = work.out = 0;
  work.may_have_run = work.parting = false;
  work.last = Result::not_sent;
  const char* why = read(command, bio, work, came);
  if (!why && by_name_.find(work.name) >= 0) why = "a block I/O of this id is in hand";
  if (why) {
    ++counts_.bad;
    works_.release(at);
    return callers_.error(caller, why);
  }
  // Guards the memory limit: what can't be kept in hand is turned back untouched.
  if (bytes_ + work.command.bytes() > given_.memory / kBodiesPart) {
    ++counts_.full;
    works_.release(at);
    return callers_.answer(caller, "-BUSY\r\n");
  }
  ++counts_.taken;
  bytes_ += work.command.bytes();
  work.caller = caller;
  bio.id = work.id = ++last_id_;
  in_hand_.insert(at);
  by_id_.insert(bio.id, at);
  by_name_.insert(work.name, at);
  if (trace_)
    logs::debug("taken", {{"id", work.id},
                          {"request", hex_text(work.name)},
                          {"connection", caller.token},
                          {"waited", now_ - came},
                          {"left", work.give_up_at - now_}});
  rules_->enqueue(bio);
}

int Relay::find(const callers::Caller& caller) const {
  for (int at : in_hand_)
    if (works_[at].caller.token == caller.token && works_[at].caller.turn == caller.turn) return at;
  return -1;
}

void Relay::left(const callers::Caller& caller) {
  const int at = find(caller);
  if (at < 0) return;
  ++counts_.left;
  now();
  say_final(at, "left", "client gone");
  const std::uint64_t id = works_[at].id;
  let_go(at);
  rules_->on_client_disconnected(id);
  nodes_.withdraw_unsent(id);
}

void Relay::parting(const callers::Caller& caller) {
  const int at = find(caller);
  if (at < 0) return;
  now();
  Work& work = works_[at];
  work.parting = true;
  work.out -= nodes_.withdraw_unsent(work.id);
  if (work.out == 0) conclude(at);
}

// Its client or this head goes, so nothing more begins for it: told as shed where surely nothing has run.
void Relay::conclude(int at) {
  Work& work = works_[at];
  const std::uint64_t id = work.id;
  work.out -= nodes_.withdraw_unsent(id);
  const bool run = work.may_have_run || work.out > 0;
  ++(work.parting ? counts_.left : run ? counts_.failed : counts_.shed);
  say_final(at, work.parting ? "left" : run ? "failed" : "shed", work.parting ? "client ended" : "stopping");
  callers_.answer(work.caller, run ? "-ERR failed\r\n" : "-BUSY\r\n");
  let_go(at);
  rules_->on_client_disconnected(id);
}

void Relay::let_go(int at) {
  Work& work = works_[at];
  bytes_ -= work.command.bytes();
  by_id_.erase(work.id);
  by_name_.erase(work.name);
  in_hand_.erase(at);
  works_.release(at);
  if (work.command.suffix.capacity() > resp::kMaxLineBytes)
    work.command.suffix = {};  // a body's memory is not kept
}

void Relay::shed(std::uint64_t id, Micros come_back_after, RejectionReason why) {
  const int at = by_id_.find(id);
  if (at < 0) return;
  ++counts_.shed;
  ++counts_.given_up[static_cast<std::size_t>(why)];
  text_ = "-BUSY";
  if (come_back_after > 0) text_ += " " + std::to_string((come_back_after + 999) / 1000);
  text_ += "\r\n";
  say_final(at, "shed", kRejectionReasonNames[static_cast<std::size_t>(why)]);
  callers_.answer(works_[at].caller, text_);
  let_go(at);
}

void Relay::fail(std::uint64_t id, RejectionReason why) {
  const int at = by_id_.find(id);
  if (at < 0) return;
  ++counts_.failed;
  ++counts_.given_up[static_cast<std::size_t>(why)];
  say_final(at, "failed", kRejectionReasonNames[static_cast<std::size_t>(why)]);
  callers_.error(works_[at].caller, "failed");
  let_go(at);
}

// --- nodes ------------------------------------------------------------------------------------------------

void Relay::submit(std::uint64_t id, int node, Micros try_for) {
  const int at = by_id_.find(id);
  if (at < 0) return;
  Work& work = works_[at];
  ++counts_.submits;
  if (work.submits > 0) ++counts_.further;
  if (trace_)
    logs::debug("submit",
                {{"id", id},
                 {"no", work.submits},
                 {"after", work.submits > 0 ? kResultNames[static_cast<std::size_t>(work.last)] : ""},
                 {"node", members_.node(node).name},
                 {"left", try_for}});
  ++work.out;
  nodes_.submit(id, work.submits++, node, work.command, now_, try_for);
}

// The module's rules, and what only the socket tells: a client that has just closed.
DenialReason Relay::may_begin(std::uint64_t id, int no) {
  now();
  const int at = by_id_.find(id);
  if (at < 0 || works_[at].parting) return DenialReason::request_over;
  const Work& work = works_[at];
  if (now_ - work.taken >= kGoneWithin && callers_.hung_up(work.caller)) return DenialReason::request_over;
  return rules_->may_begin(id, no);
}

void Relay::on_submit_ended(const node_connections::EndedSubmit& given) {
  node_connections::EndedSubmit ended = given;
#ifdef YEWMOUNT_PLANTED_FAULT
  // For the tests' own judge only: what may have run is passed off as surely not run.
  if (ended.result == Result::lost || ended.result == Result::error) ended.result = Result::no_connection;
#endif
  now();
  const int at = by_id_.find(ended.id);
  const bool good = ended.result == Result::ended;
  if (trace_)
    logs::debug("ended", {{"id", ended.id},
                          {"no", ended.submit},
                          {"node", members_.node(ended.node).name},
                          {"result", kResultNames[static_cast<std::size_t>(ended.result)]},
                          {"lag", ended.lag},
                          {"use", ended.volume_use},
                          {"others", ended.from_others},
                          {"out", ended.report.outstanding},
                          {"recent", ended.report.recent},
                          {"value", ended.value.size()},
                          {"late", at < 0}});
  ++counts_.outcomes[static_cast<std::size_t>(ended.result)];
  const bool parting = at >= 0 && works_[at].parting;
  if (at >= 0) {
    if (works_[at].out <= 0) {
      ++counts_.violations.unasked_values;
      logs::error("violation: an outcome of nothing that is out", {{"id", ended.id}, {"no", ended.submit}});
    }
    works_[at].last = ended.result;
    --works_[at].out;
    works_[at].may_have_run |= ended.result != Result::turned_away && ended.result != Result::no_connection &&
                               ended.result != Result::not_sent;
  }
  rules_->on_submit_result({ended.id, ended.submit, ended.node, ended.result, good || parting || at < 0,
                            ended.lag, ended.volume_use, ended.from_others, ended.report});
  // The module may have shed or failed it in that call; a good answer ends it here.
  if (at < 0 || by_id_.find(ended.id) != at) return;
  if (!good) {
    if (parting && works_[at].out == 0) conclude(at);
    return;
  }
  ++counts_.ended;
  say_final(at, "ended", "");
  text_.clear();
  resp::append_bulk_string(text_, ended.value);
  callers_.answer(works_[at].caller, text_);
  let_go(at);
}

void Relay::say_final(int at, const char* how, std::string_view why) {
  const Work& work = works_[at];
  const Micros over = now_ - work.give_up_at;
  if (over > kAnswerSlack + given_.platform.head.answer_slack && !work.parting) {
    ++counts_.violations.late_answers;
    logs::error("violation: late", {{"request", hex_text(work.name)}, {"how", how}, {"over", over}});
  }
  if (!trace_) return;
  logs::debug("final", {{"id", work.id},
                        {"request", hex_text(work.name)},
                        {"how", how},
                        {"why", why},
                        {"submits", work.submits},
                        {"took", now_ - work.taken},
                        {"left", -over}});
}

void Relay::log_note(std::string_view text) { logs::info("module", {{"says", text}}); }

// --- the list of nodes ------------------------------------------------------------------------------------

void Relay::on_membership(ListKind kind, std::span<const NodeEntry> entries) {
  now();
  for (const NodeEntry& e : entries) {
    const discovery::DiscoveredNode& n = members_.node(e.node);
    if (trace_)
      logs::debug("node", {{"node", n.name},
                           {"state", kNodeStateNames[static_cast<std::size_t>(e.state)]},
                           {"up_since", e.up_since},
                           {"version", members_.version()}});
    if (e.state != NodeState::gone) nodes_.set_node(e.node, n.name, n.endpoint, n.unix_start_time);
    if (e.state != NodeState::ready) nodes_.drain_node(e.node);
  }
  rules_->update_node_list(kind, entries);
  if (kind == ListKind::full || kind == ListKind::cached) {
    for (int i = 0; i < members_.size(); ++i)
      if (members_.node(i).used && members_.node(i).state == NodeState::gone) nodes_.drain_node(i);
  }
}

// Only where all agree does any of them forget.
bool Relay::may_reuse(int node) {
  if (nodes_.has_submits(node) || !rules_->forget_node(node)) return false;
  nodes_.remove_node(node);
  return true;
}

}  // namespace yewmount::relay
