#include "standins/node.h"

#include <algorithm>
#include <cmath>
#include <filesystem>

#include "checksums/checksums.h"
#include "settings/json_schema.h"

namespace yewmount::standins {
namespace {

using nlohmann::json;

constexpr const char* kKinds[] = {"read", "write", "discard"};
constexpr const char* kRepeats[] = {"idempotent", "fingerprinted", "side-effecting"};
constexpr const char* kOutcomes[] = {"ended", "error", "turned_away", "missing", "damaged"};

std::string hex(std::uint64_t v) {
  char text[20];
  std::snprintf(text, sizeof text, "%llx", static_cast<unsigned long long>(v));
  return text;
}

}  // namespace

NodeOptions load_node_options(const std::string& path) {
  const json j = settings::load(path, "node");
  NodeOptions options;
  const auto ms = [&](const char* key, std::int64_t otherwise) {
    return j.contains(key) ? std::llround(j[key].get<double>() * 1000) : otherwise;
  };
  options.name = j.at("name").get<std::string>();
  options.shard = j.at("shard").get<int>();
  options.address = j.value("address", options.address);
  options.record_file = j.value("record", options.record_file);
  options.store_directory = j.value("store", options.store_directory);
  options.cores = j.value("cores", options.cores);
  options.max_queued = j.value("room", options.max_queued);
  options.max_recent_keys = j.value("remembers", options.max_recent_keys);
  options.port = j.value("port", options.port);
  options.control_port = j.value("control_port", options.control_port);
  options.seed = j.value("seed", options.seed);
  options.unit_us = j.value("unit_us", options.unit_us);
  options.speed = j.value("speed", options.speed);
  options.spread = j.value("spread", options.spread);
  options.is_cold = j.value("cold", options.is_cold);
  options.initial_warmth = j.value("cold_from", options.initial_warmth);
  options.overload_multiple = j.value("fall_multiple", options.overload_multiple);
  options.min_overload_units = j.value("cold_bears", options.min_overload_units);
  options.max_units = j.value("most_units", options.max_units);
  options.deferred_fraction = j.value("put_off", options.deferred_fraction);
  options.cache_hit_saving = j.value("seek_saved", options.cache_hit_saving);
  options.reports_other_heads = j.value("tells_elsewhere", options.reports_other_heads);
  options.warm_up_time_us = ms("warm_within_ms", 0);
  options.overload_window_us = ms("overload_for_ms", 0);
  options.pause_interval_us = ms("pause_every_ms", 0);
  options.pause_duration_us = ms("pause_ms", 0);
  options.flush_interval_us = ms("flush_ms", options.flush_interval_us);
  options.load_report_interval_us = ms("report_ms", 0);
  options.fingerprint_lifetime_us = ms("memory_span_ms", 0);
  return options;
}

Node::Node(asio::io_context& io, NodeOptions options)
    : io_(io),
      options_(std::move(options)),
      record_(options_.record_file),
      instance_id_(random_id()),
      started_at_(monotonic_now()),
      random_(options_.seed),
      control_(io, options_.control_port, [this](const json& command) { execute(command); }) {
  if (!options_.store_directory.empty()) std::filesystem::create_directories(options_.store_directory);
  pause_at_ = started_at_ + (options_.pause_interval_us > 0 ? random_() % options_.pause_interval_us : 0);
  flush_at_ = started_at_ + options_.flush_interval_us;
  listener_ = std::make_unique<net::Listener>(
      io, options_.address, options_.port, [this](asio::ip::tcp::socket socket) {
        auto link = std::make_shared<net::Link>(std::move(socket), *this);
        link->number = ++last_connection_;
        clients_[link->number].link = link;
        wire::encode(link->out(), wire::Hello{wire::Role::node, options_.name, options_.shard, instance_id_});
        link->start();
      });
  record_.append(
      {{"ev", "start"},
       {"node", options_.name},
       {"shard", options_.shard},
       {"cold", options_.is_cold},
       {"capacity_units_s", options_.cores * options_.speed * 1e6 / std::max(1.0, options_.unit_us)}});
  record_.flush();
}

Node::~Node() {
  for (auto& [number, c] : clients_) c.link->close();
}

double Node::warmth(std::int64_t now) const {
  if (!options_.is_cold || options_.warm_up_time_us <= 0) return 1;
  return std::min(1.0, options_.initial_warmth + (1 - options_.initial_warmth) *
                                                     static_cast<double>(now - started_at_) /
                                                     static_cast<double>(options_.warm_up_time_us));
}

double Node::core_speed(std::int64_t now) const {
  return std::max(1e-6, options_.speed * warmth(now) / slowdown_);
}

// Adds an arrival and returns whether a cold node got more than a multiple of its capacity within the
// overload window. It then fails and stays down.
bool Node::is_overloaded_by(std::int64_t now, double units) {
  if (!options_.is_cold || options_.overload_window_us <= 0 || warmth(now) >= 1) return false;
  arrivals_.emplace_back(now, units);
  arrived_units_ += units;
  while (arrivals_.front().first <= now - options_.overload_window_us) {
    arrived_units_ -= arrivals_.front().second;
    arrivals_.pop_front();
  }
  const double capacity = options_.cores * options_.speed * warmth(now) / std::max(1.0, options_.unit_us);
  const double tolerated_units =
      options_.overload_multiple * capacity * static_cast<double>(options_.overload_window_us);
  return arrived_units_ > std::max(tolerated_units, options_.min_overload_units) + options_.max_units;
}

void Node::on_frame(net::Link& link, const wire::Frame& frame) {
  Client& client = clients_.at(link.number);
  switch (frame.type) {
    case wire::FrameType::hello: {
      wire::Hello hello;
      wire::decode(frame, hello);
      client.head = std::string(hello.name);
      record_.append(
          {{"ev", "hello"}, {"node", options_.name}, {"conn", link.number}, {"head", client.head}});
      return;
    }
    case wire::FrameType::submit: {
      wire::Submit submit;
      wire::decode(frame, submit);
      record_.append({{"ev", "submit"},
                      {"node", options_.name},
                      {"conn", link.number},
                      {"head", client.head},
                      {"id", hex(submit.id)},
                      {"no", submit.attempt},
                      {"kind", kKinds[static_cast<int>(submit.kind)]},
                      {"repeat", kRepeats[static_cast<int>(submit.idempotency)]},
                      {"group", submit.group},
                      {"volume", submit.volume},
                      {"object", submit.object},
                      {"units", submit.units}});
      return accept(link, submit, frame.data);
    }
    case wire::FrameType::cancel: {
      wire::Cancel cancel;
      wire::decode(frame, cancel);
      // Ignored, as by most storage nodes: running and queued jobs go on.
      record_.append({{"ev", "cancel"},
                      {"node", options_.name},
                      {"head", client.head},
                      {"id", hex(cancel.id)},
                      {"no", cancel.attempt}});
      return;
    }
    case wire::FrameType::probe: {
      wire::Probe probe;
      wire::decode(frame, probe);
      record_.append({{"ev", "probe"}, {"node", options_.name}, {"head", client.head}});
      if (!is_hanging_)
        wire::encode(link.out(), wire::ProbeReply{probe.serial, wire::Outcome::completed, load()});
      return;
    }
    default:
      throw wire::MalformedFrame("a node takes no frame of this type");
  }
}

void Node::accept(net::Link& link, const wire::Submit& submit, std::string_view data) {
  const std::int64_t now = monotonic_now();
  Job job;
  job.connection = link.number;
  job.head = clients_.at(link.number).head;
  job.submit = submit;
  job.group = submit.group;
  job.volume = submit.volume;
  job.object = submit.object;
  job.data = data;
  job.received_at = now;
  if (submit.kind == wire::IoKind::write && happens(flip_incoming_)) flip_bit(job.data, "in", job);
  if (is_overloaded_by(now, submit.units)) {
    has_fallen_ = true;
    record_.append(
        {{"ev", "fell"}, {"node", options_.name}, {"units", arrived_units_}, {"warmth", warmth(now)}});
    return;
  }
  if (happens(fail_)) return answer(link.number, job, wire::Outcome::error, {});
  if (is_draining_ || static_cast<int>(queue_.size()) >= options_.max_queued)
    return answer(link.number, job, wire::Outcome::rejected, {});
  // Verified before the job is queued, so that a write damaged in transit never runs.
  if (submit.kind == wire::IoKind::write && submit.checksum != 0 &&
      checksums::compute_extent(submit.extent, job.data) != submit.checksum) {
    record_.append({{"ev", "caught"}, {"node", options_.name}, {"head", job.head}, {"id", hex(submit.id)}});
    return answer(link.number, job, wire::Outcome::checksum_mismatch, {});
  }
  job.work = submit.units * options_.unit_us;
  if (options_.spread > 0)
    job.work *=
        std::lognormal_distribution<>(-options_.spread * options_.spread / 2, options_.spread)(random_);
  if ((heavy_group_.empty() || heavy_group_ == job.group) && happens(heavy_probability_))
    job.work *= heavy_factor_;
  if (submit.kind == wire::IoKind::write && options_.deferred_fraction > 0) {
    deferred_work_ += job.work * options_.deferred_fraction;
    job.work *= 1 - options_.deferred_fraction;
  }
  if (submit.kind == wire::IoKind::discard) job.work /= 4;
  if (options_.max_recent_keys > 0) {
    const std::string key = job.volume + '/' + job.object;
    if (submit.attempt == 0 && std::find(recent_keys_.begin(), recent_keys_.end(), key) != recent_keys_.end())
      job.work *= 1 - options_.cache_hit_saving;
    recent_keys_.push_back(key);
    if (static_cast<int>(recent_keys_.size()) > options_.max_recent_keys) recent_keys_.pop_front();
  }
  const int job_id = ++last_job_;
  jobs_.emplace(job_id, std::move(job));
  queue_.push_back(job_id);
}

void Node::start_jobs() {
  const std::int64_t now = monotonic_now();
  if (options_.pause_interval_us > 0 && now >= pause_at_) {
    paused_until_ = now + options_.pause_duration_us;
    pause_at_ = now + options_.pause_duration_us + options_.pause_interval_us / 2 +
                random_() % options_.pause_interval_us;
  }
  if (options_.deferred_fraction > 0 && now >= flush_at_) {
    paused_until_ =
        std::max(paused_until_, now) + std::llround(deferred_work_ / options_.cores / core_speed(now));
    deferred_work_ = 0;
    flush_at_ = now + options_.flush_interval_us / 2 + random_() % options_.flush_interval_us;
  }
  if (now < paused_until_) return;
  while (running_ < options_.cores && !queue_.empty()) {
    const int job_id = queue_.front();
    queue_.pop_front();
    Job& job = jobs_.at(job_id);
    job.started_at = now;
    ++running_;
    if (job.work <= 0)
      finish(job_id);
    else
      running_jobs_.push({now + std::llround(job.work / core_speed(now)), job_id});
  }
}

std::string Node::file_of(const wire::ExtentId& e) const {
  return options_.store_directory + '/' + hex(e.head) + '-' + hex(e.serial);
}

// Flips a random bit and records it.
void Node::flip_bit(std::string& data, const char* where, const Job& job) {
  if (data.empty()) return;
  data[random_() % data.size()] ^= static_cast<char>(1 << random_() % 8);
  record_.append({{"ev", "flipped"},
                  {"node", options_.name},
                  {"where", where},
                  {"head", job.head},
                  {"id", hex(job.submit.id)},
                  {"no", job.submit.attempt},
                  {"volume", job.volume},
                  {"object", job.object}});
}

wire::Outcome Node::run(Job& job, std::string& read_data, std::vector<std::uint64_t>& checksums) {
  const wire::Submit& s = job.submit;
  if (s.idempotency == wire::Idempotency::fingerprinted && s.fingerprint != 0 &&
      s.kind != wire::IoKind::read) {
    const std::int64_t now = monotonic_now();
    const auto [it, inserted] = fingerprints_.try_emplace(s.fingerprint, now);
    const bool is_repeated = !inserted && now - it->second < options_.fingerprint_lifetime_us;
    if (!is_repeated) it->second = now;
    if (is_repeated) return wire::Outcome::completed;  // it has already run
  }
  if (s.kind != wire::IoKind::read)
    record_.append({{"ev", "ran"},
                    {"node", options_.name},
                    {"head", job.head},
                    {"id", hex(s.id)},
                    {"no", s.attempt},
                    {"kind", kKinds[static_cast<int>(s.kind)]},
                    {"repeat", kRepeats[static_cast<int>(s.idempotency)]},
                    {"volume", job.volume},
                    {"object", job.object}});
  const std::pair key(s.extent.head, s.extent.serial);
  const bool uses_files = !options_.store_directory.empty();
  if (s.kind == wire::IoKind::write) {
    checksums::compute_blocks(s.extent, job.data, checksums);
    if (happens(flip_at_rest_)) flip_bit(job.data, "rest", job);
    if (uses_files) {
      // Written before the data, which could not be verified without them.
      const std::string_view bytes(reinterpret_cast<const char*>(checksums.data()),
                                   checksums.size() * sizeof checksums[0]);
      const bool is_written = write_file(file_of(s.extent) + ".sums", bytes).empty() &&
                              write_file(file_of(s.extent), job.data).empty();
      checksums.clear();
      return is_written ? wire::Outcome::completed : wire::Outcome::error;
    }
    checksums_[key] = std::move(checksums);
    checksums.clear();
    extents_[key] = std::move(job.data);
    return wire::Outcome::completed;
  }
  if (s.kind == wire::IoKind::discard) {
    if (uses_files) std::filesystem::remove(file_of(s.extent) + ".sums");
    checksums_.erase(key);
    if (uses_files)
      return std::filesystem::remove(file_of(s.extent)) ? wire::Outcome::completed : wire::Outcome::not_found;
    return extents_.erase(key) > 0 ? wire::Outcome::completed : wire::Outcome::not_found;
  }
  std::string from_disk;
  std::string_view all;
  if (uses_files) {
    if (!read_file(file_of(s.extent), from_disk).empty()) return wire::Outcome::not_found;
    std::string bytes;
    if (read_file(file_of(s.extent) + ".sums", bytes).empty()) {
      checksums.resize(bytes.size() / sizeof checksums[0]);
      std::copy_n(bytes.data(), checksums.size() * sizeof checksums[0],
                  reinterpret_cast<char*>(checksums.data()));
    }
    all = from_disk;
  } else {
    const auto it = extents_.find(key);
    if (it == extents_.end()) return wire::Outcome::not_found;
    all = it->second;
    checksums = checksums_[key];
  }
  if (s.offset > all.size() || s.length > all.size() - s.offset) return wire::Outcome::error;
  read_data.assign(all.substr(s.offset, s.length));
  return wire::Outcome::completed;
}

void Node::finish(int job_id) {
  Job job = std::move(jobs_.at(job_id));
  jobs_.erase(job_id);
  --running_;
  std::string read_data;
  std::vector<std::uint64_t> checksums;
  const wire::Outcome outcome = run(job, read_data, checksums);
  if (happens(flip_outgoing_)) flip_bit(read_data, "out", job);
  if (!read_data.empty() && happens(truncate_)) {
    record_.append({{"ev", "flipped"}, {"node", options_.name}, {"where", "length"}, {"head", job.head}});
    read_data.resize(random_() % read_data.size());
  }
  average_latency_ += 0.1 * (static_cast<double>(monotonic_now() - job.started_at) - average_latency_);
  Meter& meter = meters_[job.volume];
  meter.total += job.submit.units;
  meter.heads[job.head].first += job.submit.units;
  if (is_hanging_ || happens(lose_answer_)) {
    record_.append({{"ev", "withheld"},
                    {"node", options_.name},
                    {"head", job.head},
                    {"id", hex(job.submit.id)},
                    {"no", job.submit.attempt}});
    return;
  }
  if (happens(cut_connection_)) {
    const auto it = clients_.find(job.connection);
    if (it == clients_.end()) return;
    record_.append({{"ev", "cut"}, {"node", options_.name}, {"conn", job.connection}, {"head", job.head}});
    it->second.link->close();
    clients_.erase(it);
    return;
  }
  answer(job.connection, job, outcome, read_data, std::move(checksums));
}

wire::Load Node::load() const {
  return {static_cast<double>(running_ + static_cast<int>(queue_.size())), static_cast<double>(queue_.size()),
          static_cast<double>(running_) / options_.cores, std::llround(average_latency_)};
}

void Node::answer(int connection, const Job& job, wire::Outcome outcome, std::string_view data,
                  std::vector<std::uint64_t> checksums) {
  if (is_hanging_) return;
  const auto it = clients_.find(connection);
  if (it == clients_.end()) return;
  const std::int64_t now = monotonic_now();
  if (now - reported_at_ >= options_.load_report_interval_us) {
    reported_load_ = load();
    reported_at_ = now;
  }
  wire::Answer reply;
  reply.id = job.submit.id;
  reply.attempt = job.submit.attempt;
  reply.outcome = outcome;
  reply.load = reported_load_;
  reply.block_checksums = std::move(checksums);
  if (options_.reports_other_heads) {
    Meter& meter = meters_[job.volume];
    auto& [own_units, reported_units] = meter.heads[job.head];
    reply.from_others =
        static_cast<int>(std::min<std::int64_t>(meter.total - own_units - reported_units, 1'000'000));
    reported_units = meter.total - own_units;
  }
  wire::encode(it->second.link->out(), reply, data);
  record_.append({{"ev", "answer"},
                  {"node", options_.name},
                  {"conn", connection},
                  {"head", job.head},
                  {"id", hex(job.submit.id)},
                  {"no", job.submit.attempt},
                  {"outcome", kOutcomes[static_cast<int>(outcome)]}});
}

void Node::on_closed(net::Link& link, const std::string& reason) {
  record_.append({{"ev", "closed"},
                  {"node", options_.name},
                  {"conn", link.number},
                  {"head", clients_.at(link.number).head},
                  {"why", reason}});
  clients_.erase(link.number);
}

void Node::close_all(const std::string& reason) {
  for (auto& [number, c] : clients_) {
    record_.append(
        {{"ev", "cut"}, {"node", options_.name}, {"conn", number}, {"head", c.head}, {"why", reason}});
    c.link->close();
  }
  clients_.clear();
}

// Sends invalid data to all clients: random bytes ("noise"), a frame header that claims 2 GiB ("huge"), or a
// truncated frame followed by a close ("half").
void Node::send_garbage(const std::string& kind) {
  for (auto& [number, c] : clients_) {
    std::string& out = c.link->out();
    if (kind == "noise") {
      for (int i = 0; i < 64; ++i) out += static_cast<char>(random_());
    } else if (kind == "huge") {
      out += std::string("YM\x02\x03\x00\x00\x00\x10\x80\x00\x00\x00", 12);
    } else if (kind == "half") {
      std::string frame;
      wire::encode(frame, wire::Answer{}, "half of it");
      out += frame.substr(0, frame.size() / 2);
      c.link->close_after_flush();
    } else {
      throw std::runtime_error("unknown kind of garbage '" + kind + "'");
    }
  }
  if (kind == "half") {
    for (auto& [number, c] : clients_)
      record_.append({{"ev", "cut"},
                      {"node", options_.name},
                      {"conn", number},
                      {"head", c.head},
                      {"why", "half a frame"}});
    clients_.clear();
  }
}

void Node::execute(const json& command) {
  record_.append({{"ev", "told"}, {"node", options_.name}, {"command", command}});
  for (const auto& [key, value] : command.items()) {
    if (key == "hang")
      is_hanging_ = value.get<bool>();
    else if (key == "drain")
      is_draining_ = value.get<bool>();
    else if (key == "slow")
      slowdown_ = std::max(0.01, value.get<double>());
    else if (key == "errors")
      fail_ = value.get<double>();
    else if (key == "lose")
      lose_answer_ = value.get<double>();
    else if (key == "flip_rest")
      flip_at_rest_ = value.get<double>();
    else if (key == "flip_in")
      flip_incoming_ = value.get<double>();
    else if (key == "flip_out")
      flip_outgoing_ = value.get<double>();
    else if (key == "shorten")
      truncate_ = value.get<double>();
    else if (key == "cut")
      cut_connection_ = value.get<double>();
    else if (key == "reset")
      close_all("reset on command");
    else if (key == "garbage")
      send_garbage(value.get<std::string>());
    else if (key == "heavy") {
      heavy_probability_ = value.at("part").get<double>();
      heavy_factor_ = value.at("times").get<double>();
      heavy_group_ = value.value("group", "");
    } else
      throw std::runtime_error("unknown command '" + key + "'");
  }
}

std::int64_t Node::next_deadline() const {
  std::int64_t next = monotonic_now() + 50'000;
  if (!running_jobs_.empty()) next = std::min(next, running_jobs_.top().ends_at);
  if (paused_until_ > monotonic_now()) next = std::min(next, paused_until_);
  return next;
}

void Node::run_due_work() {
  const std::int64_t now = monotonic_now();
  while (!running_jobs_.empty() && running_jobs_.top().ends_at <= now) {
    const int job_id = running_jobs_.top().job;
    running_jobs_.pop();
    finish(job_id);
  }
  start_jobs();
  if (has_fallen_ && !clients_.empty()) {
    close_all("fell over");
    listener_->close();
    jobs_.clear();
    queue_.clear();
    running_jobs_ = {};
    running_ = 0;
  }
  record_.flush();
  for (auto& [number, c] : clients_) c.link->flush();
}

}  // namespace yewmount::standins
