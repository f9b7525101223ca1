#include "relay/relay.h"

#include <algorithm>
#include <charconv>

#include "base/base.h"

namespace yewmount::relay {
namespace {

constexpr Micros kSecondUs = 1'000'000;
// Iterations of the loop further apart than this count as a pause of the process, for operators only; the
// scheduler detects pauses itself. Also the longest wait of one iteration.
constexpr Micros kPauseThresholdUs = 40'000;
constexpr Micros kCheckIntervalUs = 100'000;
constexpr Micros kReportIntervalUs = 10 * kSecondUs;  // between two log lines of counters
// The platform ends a head after SIGTERM no sooner than its longest hard limit, of which at most 3 s count,
// plus 0.7 s. Until then its clients have no other head.
constexpr Micros kMaxHardLimitUs = 3 * kSecondUs;
constexpr Micros kStopGraceUs = 700'000;
constexpr Micros kStopMarginUs = 200'000;         // from the last answer to the platform's kill
constexpr Micros kCloseIdleBeforeUs = 400'000;    // idle connections close this long before the last answer
constexpr Micros kVolumeIdleUs = 60 * kSecondUs;  // the index of a volume unused for longer is recycled
constexpr long kMaxWaitMs = 600'000;              // longest wait that a client may ask for
constexpr int kMaxHeads = 4096;
constexpr int kMaxShard = 1 << 16;
// Parts of the memory limit, as divisors: all buffers together, and one value from a node.
constexpr std::size_t kBufferMemoryDivisor = 2;
constexpr std::size_t kValueMemoryDivisor = 16;
// Memory for each entry of a table whose keys clients choose, as a divisor of the memory limit: the table may
// have as many entries as there are pieces of this size.
constexpr std::size_t kMemoryPerTableEntry = 4 << 10;
// Small commands may take this part of the budget, as a divisor, however much other buffers hold.
constexpr std::size_t kSmallCommandDivisor = 8;
constexpr std::size_t kSmallCommandBytes = 2 << 10;
// Large commands leave this part of the commands' share to small ones, as a divisor.
constexpr std::size_t kSmallCommandReserveDivisor = 4;
constexpr std::size_t kHexDigits = 16;
// No attempt may begin for a client that closed its connection longer ago than this; operators allow 0.1 s.
constexpr Micros kMaxDisconnectDelayUs = 50'000;
constexpr Micros kAnswerSlackUs = 50'000;  // that the protocol allows on every time limit

std::string to_hex(std::uint64_t value) {
  char text[kHexDigits + 1];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(value));
  return text;
}

bool parse_hex(std::string_view text, std::uint64_t& value) {
  if (text.size() != kHexDigits) return false;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
  return error == std::errc() && end == text.data() + text.size() && text[0] != '-';
}

bool parse_integer(std::string_view text, long min, long max, long& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() && value >= min && value <= max;
}

// The limit on connections to nodes, and the equal limit on connections of clients. The two don't compete, so
// that submits never wait for a descriptor that a client holds.
std::size_t connection_limit(std::size_t max_descriptors) {
  return (max_descriptors - kReservedDescriptors) / 2;
}

// The scheduler's settings with the bounds of its tables.
Provisioning bounded(Provisioning settings, std::size_t memory_bytes) {
  settings.max_ordered_keys = memory_bytes / kMemoryPerTableEntry;
  return settings;
}

}  // namespace

Relay::Relay(asio::io_context& io, Deployment deployment)
    : io_(io),
      deployment_(std::move(deployment)),
      budget_(deployment_.memory_bytes / kBufferMemoryDivisor),
      sessions_(io, deployment_.listen, connection_limit(deployment_.max_descriptors), budget_, *this),
      nodes_(io,
             {connection_limit(deployment_.max_descriptors), deployment_.platform.connect_timeout,
              deployment_.platform.idle_timeout, deployment_.memory_bytes / kValueMemoryDivisor},
             budget_, *this),
      members_(io, deployment_.platform.head.polls_list, deployment_.platform.head.seed, *this),
      now_(monotonic_now()),
      caught_up_clock_(io),
      volumes_(deployment_.memory_bytes / kMemoryPerTableEntry),
      recent_client_ids_(2 * deployment_.memory_bytes / kMemoryPerTableEntry),
      memory_watch_(deployment_.memory_bytes),
      scheduler_(
          std::make_unique<Head>(bounded(deployment_.platform.head, deployment_.memory_bytes), *this, now_)) {
  members_.load_cached_list(deployment_.known_nodes);
  members_.follow(deployment_.discovery);
}

Relay::~Relay() = default;

// Reads the clock and passes the time to the scheduler.
Micros Relay::update_clock() {
  now_ = monotonic_now();
  scheduler_->set_time(now_);
  return now_;
}

// --- event loop -------------------------------------------------------------------------------------------

void Relay::run() {
  while (true) {
    const bool has_run_all = event_loop::run_handlers(io_, timers_.next(monotonic_now() + kPauseThresholdUs));
    const Micros started_at = monotonic_now();
    caught_up_clock_.update(has_run_all, sessions_.size() + nodes_.connection_count(), started_at);
    sessions_.set_caught_up_at(caught_up_clock_.caught_up_at());
    run_iteration();
    counts_.longest_iteration = std::max(counts_.longest_iteration, monotonic_now() - started_at);
    if (drain_deadline_ == 0 || now_ < drain_deadline_ - kCloseIdleBeforeUs) continue;
    if (is_listening_) {
      is_listening_ = false;
      sessions_.stop_listening();
      continue;
    }
    sessions_.close_idle();
    if (now_ >= drain_deadline_) {
      for (const int index : std::vector<int>(active_.begin(), active_.end())) abort_request(index);
      sessions_.close_all();
    }
    if (sessions_.is_closed() || now_ >= drain_deadline_ + kStopMarginUs / 2) return;
  }
}

void Relay::run_iteration() {
  update_clock();
  if (last_iteration_at_ > 0 && now_ - last_iteration_at_ > kPauseThresholdUs) ++counts_.pauses;
  last_iteration_at_ = now_;
  nodes_.deliver_results(now_);
  sessions_.run_deferred();
  timers_.run_due(now_, [&](std::uint64_t token) { scheduler_->on_timer(token); });
  scheduler_->run_scheduler();
  nodes_.flush();
  sessions_.flush();
  if (now_ - last_check_at_ >= kCheckIntervalUs) {
    last_check_at_ = now_;
    members_.check_timeouts(now_);
    sessions_.close_overdue(now_);
    sessions_.flush();
    const nlohmann::ordered_json memory = memory_report();
    memory_watch_.check(memory, now_);
    if (is_tracing_) logs::debug("memory", memory);
  }
  if (now_ - last_second_at_ >= kSecondUs) run_every_second(now_);
}

void Relay::run_every_second(Micros now) {
  last_second_at_ = now;
  members_.release_gone_nodes();
  volumes_.release_unused(now - kVolumeIdleUs, [&](int index) { return scheduler_->forget_volume(index); });
  if (now - last_report_at_ < kReportIntervalUs) return;
  last_report_at_ = now;
  logs::info("figures", report());
}

void Relay::drain() {
  if (drain_deadline_ > 0) return;
  Micros longest = 0;
  for (const IoGroup& g : deployment_.platform.head.groups) longest = std::max(longest, g.hard_limit);
  drain_deadline_ = monotonic_now() + std::min(longest, kMaxHardLimitUs) + kStopGraceUs - kStopMarginUs;
  logs::info("draining", {{"in_hand", active_.size()}, {"clients", sessions_.size()}});
}

void Relay::reload(const Deployment& deployment) {
  update_clock();
  if (deployment.listen != deployment_.listen) logs::warn("'listen' changes only with a restart");
  deployment_.discovery = deployment.discovery;
  members_.follow(deployment.discovery);
  // The scheduler identifies a plan by its index, so only the plans' parameters may change.
  if (deployment.platform.plans == deployment_.platform.plans)
    scheduler_->update_plans(deployment.platform.head.plans);
  else
    logs::warn("the set of plans changes only with a restart");
}

// --- clients ----------------------------------------------------------------------------------------------

// Fills in what the command says, but for the index of its volume. Returns null, or the reason why the
// command is malformed; nothing malformed may reach a node.
const char* Relay::parse_command(const resp::Command& command, ParsedCommand& parsed,
                                 Micros arrived_at) const {
  BlockIo& bio = parsed.bio;
  const auto& words = command.words;
  const bool is_write = words[0] == "BLK.WRITE";
  if (!is_write && words[0] != "BLK.READ") return "unknown command";
  if (command.count != (is_write ? 5 : 4)) return "wrong number of words";
  std::uint64_t object = 0;
  if (!parse_hex(words[1], object)) return "the piece of data is not 16 hex digits";
  if (!parse_hex(words[2], parsed.client_id)) return "the id is not 16 hex digits";
  const provision::PlatformSettings& platform = deployment_.platform;
  // Values below the permitted range mark fields that have not been seen.
  long wait_ms = -1;
  long units = -1;
  long shard = -2;
  long heads = -1;
  bool has_volume = false;
  for (std::size_t begin = 0; begin < words[3].size();) {
    const std::size_t comma = std::min(words[3].find(',', begin), words[3].size());
    const std::string_view pair = words[3].substr(begin, comma - begin);
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) return "a value without a name";
    const std::string_view name = pair.substr(0, equals);
    const std::string_view value = pair.substr(equals + 1);
    if (name == "c") {
      if (bio.group >= 0 || (bio.group = platform.groups.find(value)) < 0) return "unknown class";
    } else if (name == "t") {
      if (bio.plan >= 0 || (bio.plan = platform.plans.find(value)) < 0) return "unknown plan";
    } else if (name == "d") {
      if (wait_ms >= 0 || !parse_integer(value, 0, kMaxWaitMs, wait_ms))
        return "the wait is not a number of milliseconds";
      parsed.wait_offset = begin + equals + 1;
      parsed.wait_size = value.size();
    } else if (name == "volume") {
      if (has_volume || !parse_hex(value, parsed.volume)) return "the volume is not 16 hex digits";
      has_volume = true;
    } else if (name == "units") {
      if (units >= 0 || !parse_integer(value, 1, static_cast<long>(platform.head.max_units), units))
        return "bad units";
    } else if (name == "shard") {
      if (shard >= -1 || !parse_integer(value, -1, kMaxShard, shard)) return "bad shard";
    } else if (name == "hosts") {
      if (heads >= 0 || !parse_integer(value, 1, kMaxHeads, heads)) return "bad number of hosts";
    }
    begin = comma + 1;
  }
  if (bio.group < 0) return "no class";
  if (bio.plan < 0) return "no plan";
  if (wait_ms < 0) return "no wait";
  if (!has_volume || units < 0 || shard < -1 || heads < 0) return "no volume, units, shard or hosts";
  if (platform.writes[bio.group] != is_write) return "the class is not one of this command";
  bio.object = stable_hash(words[1]);
  bio.give_up_at = arrived_at + wait_ms * 1000;
  // All requests must be answered before this head stops.
  if (drain_deadline_ > 0) bio.give_up_at = std::min(bio.give_up_at, drain_deadline_);
  bio.units = static_cast<int>(units);
  bio.shard = static_cast<int>(shard);
  bio.heads = static_cast<int>(heads);
  return nullptr;
}

// Builds the command that nodes are sent.
node_connections::CommandPtr Relay::node_command(const resp::Command& command, const ParsedCommand& parsed) {
  auto result = std::make_shared<node_connections::Command>();
  resp::append_array_header(result->prefix, static_cast<std::size_t>(command.count));
  for (int i = 0; i < 3; ++i) resp::append_bulk_string(result->prefix, command.words[i]);
  result->fields = command.words[3];
  result->fields.erase(parsed.wait_offset, parsed.wait_size);
  result->time_left_offset = parsed.wait_offset;
  if (command.count > 4) resp::append_bulk_string(result->suffix, command.words[4]);
  result->charge = memory::Charge(
      budget_, memory::Use::commands,
      result->prefix.capacity() + result->fields.capacity() + result->suffix.capacity() + record_bytes());
  return result;
}

// Whether the memory limit permits another request. Large commands leave room for small ones.
bool Relay::has_room_for(const resp::Command& command) const {
  const std::size_t bytes = command.bytes + record_bytes();
  const bool is_small = command.bytes <= kSmallCommandBytes;
  const std::size_t used = budget_.used(memory::Use::commands);
  if (is_small && used + bytes <= budget_.limit() / kSmallCommandDivisor) return true;
  const std::size_t share = budget_.share(memory::Use::commands);
  const std::size_t reserved = is_small ? 0 : share / kSmallCommandReserveDivisor;
  return bytes + reserved <= budget_.room(memory::Use::commands);
}

// Memory that a request holds besides its command.
std::size_t Relay::record_bytes() {
  return sizeof(Request) + sizeof(node_connections::Command) + Head::request_bytes() +
         node_connections::NodeConnections::submit_bytes();
}

void Relay::on_command(const client_sessions::CommandId& command_id, const resp::Command& command,
                       Micros arrived_at) {
  if (command.words[0] == "PING" && command.count == 1) return sessions_.answer(command_id, "+PONG\r\n");
  update_clock();
  ParsedCommand parsed;
  const char* why = parse_command(command, parsed, arrived_at);
  if (!why && by_client_id_.find(parsed.client_id) >= 0) why = "a block I/O of this id is in hand";
  if (!why && recent_client_ids_.contains(parsed.client_id)) {
    ++counts_.repeated_ids;
    why = "a block I/O of this id may have run";
  }
  if (why) {
    ++counts_.malformed;
    return sessions_.answer_error(command_id, why);
  }
  // -BUSY tells the client that the command has not run.
  if (!has_room_for(command)) {
    ++counts_.over_memory;
    return sessions_.answer(command_id, "-BUSY\r\n");
  }
  const auto may_release = [&](int index) { return scheduler_->forget_idle_volume(index); };
  parsed.bio.volume = volumes_.acquire(parsed.volume, now_, may_release);
  if (parsed.bio.volume < 0) {
    ++counts_.over_volumes;
    return sessions_.answer(command_id, "-BUSY\r\n");
  }
  accept(command_id, command, parsed, arrived_at);
}

// Makes a request of a command and queues it.
void Relay::accept(const client_sessions::CommandId& command_id, const resp::Command& command,
                   ParsedCommand& parsed, Micros arrived_at) {
  const int index = requests_.allocate();
  Request& request = requests_[index];
  request.id = parsed.bio.id = ++last_id_;
  request.client_id = parsed.client_id;
  request.command_id = command_id;
  request.arrived_at = arrived_at;
  request.give_up_at = parsed.bio.give_up_at;
  request.command = node_command(command, parsed);
  ++counts_.accepted;
  active_.insert(index);
  by_id_.insert(request.id, index);
  by_client_id_.insert(request.client_id, index);
  if (is_tracing_)
    logs::debug("taken", {{"id", request.id},
                          {"request", to_hex(request.client_id)},
                          {"connection", command_id.connection_id},
                          {"waited", now_ - arrived_at},
                          {"left", request.give_up_at - now_}});
  scheduler_->enqueue(parsed.bio);
}

// Returns the index of the active request of a command, or -1.
int Relay::find(const client_sessions::CommandId& command_id) const {
  for (int index : active_)
    if (requests_[index].command_id.connection_id == command_id.connection_id &&
        requests_[index].command_id.sequence == command_id.sequence)
      return index;
  return -1;
}

void Relay::on_disconnect(const client_sessions::CommandId& command_id) {
  const int index = find(command_id);
  if (index < 0) return;
  ++counts_.abandoned;
  update_clock();
  record_final(index, "left", "client disconnected");
  Request& request = requests_[index];
  const std::uint64_t id = request.id;
  request.in_flight -= nodes_.withdraw_unsent(id);
  release_request(index);
  scheduler_->on_client_disconnected(id);
}

void Relay::on_half_close(const client_sessions::CommandId& command_id) {
  const int index = find(command_id);
  if (index < 0) return;
  update_clock();
  Request& request = requests_[index];
  request.client_half_closed = true;
  request.in_flight -= nodes_.withdraw_unsent(request.id);
  if (request.in_flight == 0) abort_request(index);
}

// Ends a request because its client has half-closed or this head stops. Submits that have not begun to leave
// are withdrawn. The client is told that nothing has run only if that is certain.
void Relay::abort_request(int index) {
  Request& request = requests_[index];
  const std::uint64_t id = request.id;
  request.in_flight -= nodes_.withdraw_unsent(id);
  const bool may_have_run = request.may_have_run || request.in_flight > 0;
  ++(request.client_half_closed ? counts_.abandoned : may_have_run ? counts_.failed : counts_.shed);
  record_final(index,
               request.client_half_closed ? "left"
               : may_have_run             ? "failed"
                                          : "shed",
               request.client_half_closed ? "client half-closed" : "stopping");
  sessions_.answer(request.command_id, may_have_run ? "-ERR failed\r\n" : "-BUSY\r\n");
  release_request(index);
  scheduler_->on_client_disconnected(id);
}

void Relay::release_request(int index) {
  Request& request = requests_[index];
  if (request.may_have_run || request.in_flight > 0) recent_client_ids_.add(request.client_id);
  by_id_.erase(request.id);
  by_client_id_.erase(request.client_id);
  active_.erase(index);
  request.command.reset();
  requests_.release(index);
}

void Relay::shed(std::uint64_t id, Micros come_back_after, RejectionReason why) {
  const int index = by_id_.find(id);
  if (index < 0) return;
  ++counts_.shed;
  ++counts_.rejections[static_cast<std::size_t>(why)];
  answer_ = "-BUSY";
  if (come_back_after > 0) answer_ += " " + std::to_string((come_back_after + 999) / 1000);
  answer_ += "\r\n";
  record_final(index, "shed", kRejectionReasonNames[static_cast<std::size_t>(why)]);
  sessions_.answer(requests_[index].command_id, answer_);
  release_request(index);
}

void Relay::fail(std::uint64_t id, RejectionReason why) {
  const int index = by_id_.find(id);
  if (index < 0) return;
  ++counts_.failed;
  ++counts_.rejections[static_cast<std::size_t>(why)];
  record_final(index, "failed", kRejectionReasonNames[static_cast<std::size_t>(why)]);
  sessions_.answer_error(requests_[index].command_id, "failed");
  release_request(index);
}

// --- nodes ------------------------------------------------------------------------------------------------

void Relay::submit(std::uint64_t id, int node, Micros try_for) {
  const int index = by_id_.find(id);
  if (index < 0) return;
  Request& request = requests_[index];
  ++counts_.submits;
  if (request.submits > 0) ++counts_.later_submits;
  if (is_tracing_)
    logs::debug(
        "submit",
        {{"id", id},
         {"no", request.submits},
         {"after", request.submits > 0 ? kResultNames[static_cast<std::size_t>(request.last_result)] : ""},
         {"node", members_.node(node).name},
         {"left", try_for}});
  ++request.in_flight;
  nodes_.submit(id, request.submits++, node, request.command, now_, try_for);
}

// Applies the rules of the scheduler, and checks the socket of the client, which may just have closed.
DenialReason Relay::may_begin(std::uint64_t id, int no) {
  update_clock();
  const int index = by_id_.find(id);
  if (index < 0 || requests_[index].client_half_closed) return DenialReason::request_over;
  const Request& request = requests_[index];
  if (now_ - request.arrived_at >= kMaxDisconnectDelayUs && sessions_.has_client_closed(request.command_id))
    return DenialReason::request_over;
  return scheduler_->may_begin(id, no);
}

void Relay::on_submit_ended(const node_connections::EndedSubmit& reported) {
  node_connections::EndedSubmit ended = reported;
#ifdef YEWMOUNT_PLANTED_FAULT
  // A deliberate fault, built only for the tests, which must detect it: submits that may have run are
  // reported as certainly not run.
  if (ended.result == Result::lost || ended.result == Result::error) ended.result = Result::no_connection;
#endif
  update_clock();
  const int index = by_id_.find(ended.id);
  const bool succeeded = ended.result == Result::ended;
  if (is_tracing_)
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
                          {"late", index < 0}});
  ++counts_.results[static_cast<std::size_t>(ended.result)];
  const bool half_closed = index >= 0 && requests_[index].client_half_closed;
  if (index >= 0) {
    if (requests_[index].in_flight <= 0) {
      ++counts_.violations.unexpected_results;
      logs::error("violation: an outcome of nothing that is out", {{"id", ended.id}, {"no", ended.submit}});
    }
    requests_[index].last_result = ended.result;
    --requests_[index].in_flight;
    requests_[index].may_have_run |= ended.result != Result::turned_away &&
                                     ended.result != Result::no_connection &&
                                     ended.result != Result::not_sent;
  }
  scheduler_->on_submit_result({ended.id, ended.submit, ended.node, ended.result,
                                succeeded || half_closed || index < 0, ended.lag, ended.volume_use,
                                ended.from_others, ended.report});
  // The scheduler may have shed or failed the request in that call. Otherwise a success ends it here.
  if (index < 0 || by_id_.find(ended.id) != index) return;
  if (!succeeded) {
    if (half_closed && requests_[index].in_flight == 0) abort_request(index);
    return;
  }
  complete(index, ended.value);
}

// Answers a request with its value, or as failed if there is no memory for the value.
void Relay::complete(int index, std::string_view value) {
  const client_sessions::CommandId command_id = requests_[index].command_id;
  if (sessions_.make_room(command_id, value.size())) {
    ++counts_.completed;
    record_final(index, "ended", "");
    answer_.clear();
    resp::append_bulk_string(answer_, value);
    sessions_.answer(command_id, answer_);
  } else {
    ++counts_.failed;
    ++counts_.values_over_memory;
    record_final(index, "failed", "no memory for its value");
    sessions_.answer_error(command_id, "failed");
  }
  release_request(index);
}

void Relay::on_answers_blocked(const client_sessions::CommandId& command_id) {
  const int index = find(command_id);
  if (index < 0) return;
  const std::uint64_t id = requests_[index].id;
  scheduler_->end_early(id);  // calls shed() or fail(), except for a request that is over for the scheduler
  if (by_id_.find(id) == index) return abort_request(index);
  nodes_.withdraw_unsent(id);
}

// Logs the end of a request, before it is answered, and checks that the answer is in time.
void Relay::record_final(int index, const char* how, std::string_view why) {
  const Request& request = requests_[index];
  const Micros overrun = now_ - request.give_up_at;
  if (overrun > kAnswerSlackUs + deployment_.platform.head.answer_slack && !request.client_half_closed) {
    ++counts_.violations.late_answers;
    logs::error("violation: late", {{"request", to_hex(request.client_id)}, {"how", how}, {"over", overrun}});
  }
  if (!is_tracing_) return;
  logs::debug("final", {{"id", request.id},
                        {"request", to_hex(request.client_id)},
                        {"how", how},
                        {"why", why},
                        {"submits", request.submits},
                        {"took", now_ - request.arrived_at},
                        {"left", -overrun}});
}

void Relay::log_note(std::string_view text) { logs::info("module", {{"says", text}}); }

// --- node list --------------------------------------------------------------------------------------------

void Relay::on_membership(ListKind kind, std::span<const NodeEntry> entries) {
  update_clock();
  for (const NodeEntry& entry : entries) {
    const discovery::DiscoveredNode& node = members_.node(entry.node);
    if (is_tracing_)
      logs::debug("node", {{"node", node.name},
                           {"state", kNodeStateNames[static_cast<std::size_t>(entry.state)]},
                           {"up_since", entry.up_since},
                           {"version", members_.version()}});
    if (entry.state != NodeState::gone)
      nodes_.set_node(entry.node, node.name, node.endpoint, node.unix_start_time);
    if (entry.state != NodeState::ready) nodes_.drain_node(entry.node);
  }
  scheduler_->update_node_list(kind, entries);
  if (kind == ListKind::full || kind == ListKind::cached) {
    for (int i = 0; i < members_.size(); ++i)
      if (members_.node(i).used && members_.node(i).state == NodeState::gone) nodes_.drain_node(i);
  }
}

// The index of a node is recycled only if both the node connections and the scheduler have released it.
bool Relay::may_reuse(int node) {
  if (nodes_.has_submits(node) || !scheduler_->forget_node(node)) return false;
  nodes_.remove_node(node);
  return true;
}

}  // namespace yewmount::relay
