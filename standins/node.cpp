#include "standins/node.h"

#include <algorithm>
#include <cmath>
#include <filesystem>

#include "settings/json_schema.h"
#include "sums/sums.h"

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

NodeProvision load_node(const std::string& path) {
  const json j = settings::load(path, "node");
  NodeProvision p;
  const auto ms = [&](const char* key, std::int64_t otherwise) {
    return j.contains(key) ? std::llround(j[key].get<double>() * 1000) : otherwise;
  };
  p.name = j.at("name").get<std::string>();
  p.shard = j.at("shard").get<int>();
  p.address = j.value("address", p.address);
  p.record = j.value("record", p.record);
  p.store = j.value("store", p.store);
  p.cores = j.value("cores", p.cores);
  p.room = j.value("room", p.room);
  p.remembers = j.value("remembers", p.remembers);
  p.port = j.value("port", p.port);
  p.control_port = j.value("control_port", p.control_port);
  p.seed = j.value("seed", p.seed);
  p.unit_us = j.value("unit_us", p.unit_us);
  p.speed = j.value("speed", p.speed);
  p.spread = j.value("spread", p.spread);
  p.cold = j.value("cold", p.cold);
  p.cold_from = j.value("cold_from", p.cold_from);
  p.fall_multiple = j.value("fall_multiple", p.fall_multiple);
  p.cold_bears = j.value("cold_bears", p.cold_bears);
  p.most_units = j.value("most_units", p.most_units);
  p.put_off = j.value("put_off", p.put_off);
  p.seek_saved = j.value("seek_saved", p.seek_saved);
  p.tells_elsewhere = j.value("tells_elsewhere", p.tells_elsewhere);
  p.warm_within = ms("warm_within_ms", 0);
  p.overload_for = ms("overload_for_ms", 0);
  p.pause_every = ms("pause_every_ms", 0);
  p.pause = ms("pause_ms", 0);
  p.flush_every = ms("flush_ms", p.flush_every);
  p.report_every = ms("report_ms", 0);
  p.memory_span = ms("memory_span_ms", 0);
  return p;
}

Node::Node(asio::io_context& io, NodeProvision given)
    : io_(io),
      given_(std::move(given)),
      record_(given_.record),
      start_(random_id()),
      born_(monotonic_now()),
      random_(given_.seed),
      control_(io, given_.control_port, [this](const json& c) { obey(c); }) {
  if (!given_.store.empty()) std::filesystem::create_directories(given_.store);
  pause_at_ = born_ + (given_.pause_every > 0 ? random_() % given_.pause_every : 0);
  flush_at_ = born_ + given_.flush_every;
  listener_ =
      std::make_unique<net::Listener>(io, given_.address, given_.port, [this](asio::ip::tcp::socket s) {
        auto link = std::make_shared<net::Link>(std::move(s), *this);
        link->number = ++last_conn_;
        clients_[link->number].link = link;
        wire::encode(link->out(), wire::Hello{wire::Role::node, given_.name, given_.shard, start_});
        link->start();
      });
  record_.add({{"ev", "start"},
               {"node", given_.name},
               {"shard", given_.shard},
               {"cold", given_.cold},
               {"capacity_units_s", given_.cores * given_.speed * 1e6 / std::max(1.0, given_.unit_us)}});
  record_.flush();
}

Node::~Node() {
  for (auto& [number, c] : clients_) c.link->close();
}

double Node::warmth(std::int64_t now) const {
  if (!given_.cold || given_.warm_within <= 0) return 1;
  return std::min(1.0, given_.cold_from + (1 - given_.cold_from) * static_cast<double>(now - born_) /
                                              static_cast<double>(given_.warm_within));
}

double Node::power(std::int64_t now) const { return std::max(1e-6, given_.speed * warmth(now) / slow_); }

// A cold node sent more than its multiple of what it can do falls over and stays down.
bool Node::over_sent(std::int64_t now, double units) {
  if (!given_.cold || given_.overload_for <= 0 || warmth(now) >= 1) return false;
  arrivals_.emplace_back(now, units);
  arrived_ += units;
  while (arrivals_.front().first <= now - given_.overload_for) {
    arrived_ -= arrivals_.front().second;
    arrivals_.pop_front();
  }
  const double capacity = given_.cores * given_.speed * warmth(now) / std::max(1.0, given_.unit_us);
  const double bears = given_.fall_multiple * capacity * static_cast<double>(given_.overload_for);
  return arrived_ > std::max(bears, given_.cold_bears) + given_.most_units;
}

void Node::on_frame(net::Link& link, const wire::Frame& frame) {
  Client& client = clients_.at(link.number);
  switch (frame.type) {
    case wire::FrameType::hello: {
      wire::Hello hello;
      wire::decode(frame, hello);
      client.head = std::string(hello.name);
      record_.add({{"ev", "hello"}, {"node", given_.name}, {"conn", link.number}, {"head", client.head}});
      return;
    }
    case wire::FrameType::submit: {
      wire::Submit submit;
      wire::decode(frame, submit);
      record_.add({{"ev", "submit"},
                   {"node", given_.name},
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
      return take(link, submit, frame.data);
    }
    case wire::FrameType::cancel: {
      wire::Cancel cancel;
      wire::decode(frame, cancel);
      // As most real ones do: running work goes on, and so does what waits.
      record_.add({{"ev", "cancel"},
                   {"node", given_.name},
                   {"head", client.head},
                   {"id", hex(cancel.id)},
                   {"no", cancel.attempt}});
      return;
    }
    case wire::FrameType::probe: {
      wire::Probe probe;
      wire::decode(frame, probe);
      record_.add({{"ev", "probe"}, {"node", given_.name}, {"head", client.head}});
      if (!hang_) wire::encode(link.out(), wire::ProbeReply{probe.serial, wire::Outcome::completed, load()});
      return;
    }
    default:
      throw wire::MalformedFrame("a node takes no frame of this type");
  }
}

void Node::take(net::Link& link, const wire::Submit& submit, std::string_view data) {
  const std::int64_t now = monotonic_now();
  Job job;
  job.conn = link.number;
  job.head = clients_.at(link.number).head;
  job.submit = submit;
  job.group = submit.group, job.volume = submit.volume, job.object = submit.object;
  job.data = data;
  job.came = now;
  if (submit.kind == wire::IoKind::write && chance(flip_in_)) flip(job.data, "in", job);
  if (over_sent(now, submit.units)) {
    fallen_ = true;
    record_.add({{"ev", "fell"}, {"node", given_.name}, {"units", arrived_}, {"warmth", warmth(now)}});
    return;
  }
  if (chance(errors_)) return answer(link.number, job, wire::Outcome::error, {});
  if (draining_ || static_cast<int>(waiting_.size()) >= given_.room)
    return answer(link.number, job, wire::Outcome::rejected, {});
  // Looked at before anything else: what came in damaged is surely not run.
  if (submit.kind == wire::IoKind::write && submit.checksum != 0 &&
      sums::whole(submit.extent, job.data) != submit.checksum) {
    record_.add({{"ev", "caught"}, {"node", given_.name}, {"head", job.head}, {"id", hex(submit.id)}});
    return answer(link.number, job, wire::Outcome::checksum_mismatch, {});
  }
  job.work = submit.units * given_.unit_us;
  if (given_.spread > 0)
    job.work *= std::lognormal_distribution<>(-given_.spread * given_.spread / 2, given_.spread)(random_);
  if ((heavy_group_.empty() || heavy_group_ == job.group) && chance(heavy_part_)) job.work *= heavy_;
  if (submit.kind == wire::IoKind::write && given_.put_off > 0) {
    put_off_ += job.work * given_.put_off;
    job.work *= 1 - given_.put_off;
  }
  if (submit.kind == wire::IoKind::discard) job.work /= 4;
  if (given_.remembers > 0) {
    const std::string key = job.volume + '/' + job.object;
    if (submit.attempt == 0 && std::find(keys_.begin(), keys_.end(), key) != keys_.end())
      job.work *= 1 - given_.seek_saved;
    keys_.push_back(key);
    if (static_cast<int>(keys_.size()) > given_.remembers) keys_.pop_front();
  }
  const int at = ++last_job_;
  jobs_.emplace(at, std::move(job));
  waiting_.push_back(at);
}

void Node::begin_jobs() {
  const std::int64_t now = monotonic_now();
  if (given_.pause_every > 0 && now >= pause_at_) {
    paused_until_ = now + given_.pause;
    pause_at_ = now + given_.pause + given_.pause_every / 2 + random_() % given_.pause_every;
  }
  if (given_.put_off > 0 && now >= flush_at_) {
    paused_until_ = std::max(paused_until_, now) + std::llround(put_off_ / given_.cores / power(now));
    put_off_ = 0;
    flush_at_ = now + given_.flush_every / 2 + random_() % given_.flush_every;
  }
  if (now < paused_until_) return;
  while (running_ < given_.cores && !waiting_.empty()) {
    const int at = waiting_.front();
    waiting_.pop_front();
    Job& job = jobs_.at(at);
    job.began = now;
    ++running_;
    if (job.work <= 0)
      finish(at);
    else
      finishing_.push({now + std::llround(job.work / power(now)), at});
  }
}

std::string Node::file_of(const wire::ExtentId& e) const {
  return given_.store + '/' + hex(e.head) + '-' + hex(e.serial);
}

// A bit somewhere, as disks, memory and wires do it.
void Node::flip(std::string& data, const char* where, const Job& job) {
  if (data.empty()) return;
  data[random_() % data.size()] ^= static_cast<char>(1 << random_() % 8);
  record_.add({{"ev", "flipped"},
               {"node", given_.name},
               {"where", where},
               {"head", job.head},
               {"id", hex(job.submit.id)},
               {"no", job.submit.attempt},
               {"volume", job.volume},
               {"object", job.object}});
}

wire::Outcome Node::run(Job& job, std::string& read, std::vector<std::uint64_t>& sums) {
  const wire::Submit& s = job.submit;
  if (s.idempotency == wire::Idempotency::fingerprinted && s.fingerprint != 0 &&
      s.kind != wire::IoKind::read) {
    const std::int64_t now = monotonic_now();
    const auto [it, fresh] = fingerprints_.try_emplace(s.fingerprint, now);
    const bool repeated = !fresh && now - it->second < given_.memory_span;
    if (!repeated) it->second = now;
    if (repeated) return wire::Outcome::completed;  // it ran before and is not run again
  }
  if (s.kind != wire::IoKind::read)
    record_.add({{"ev", "ran"},
                 {"node", given_.name},
                 {"head", job.head},
                 {"id", hex(s.id)},
                 {"no", s.attempt},
                 {"kind", kKinds[static_cast<int>(s.kind)]},
                 {"repeat", kRepeats[static_cast<int>(s.idempotency)]},
                 {"volume", job.volume},
                 {"object", job.object}});
  const std::pair key(s.extent.head, s.extent.serial);
  const bool files = !given_.store.empty();
  if (s.kind == wire::IoKind::write) {
    sums::blocks(s.extent, job.data, sums);
    if (chance(flip_rest_)) flip(job.data, "rest", job);
    if (files) {
      // The sums first: data without them would be of no use.
      const std::string_view bytes(reinterpret_cast<const char*>(sums.data()), sums.size() * sizeof sums[0]);
      const bool done = write_file(file_of(s.extent) + ".sums", bytes).empty() &&
                        write_file(file_of(s.extent), job.data).empty();
      sums.clear();
      return done ? wire::Outcome::completed : wire::Outcome::error;
    }
    sums_[key] = std::move(sums);
    sums.clear();
    memory_[key] = std::move(job.data);
    return wire::Outcome::completed;
  }
  if (s.kind == wire::IoKind::discard) {
    if (files) std::filesystem::remove(file_of(s.extent) + ".sums");
    sums_.erase(key);
    if (files)
      return std::filesystem::remove(file_of(s.extent)) ? wire::Outcome::completed : wire::Outcome::not_found;
    return memory_.erase(key) > 0 ? wire::Outcome::completed : wire::Outcome::not_found;
  }
  std::string from_disk;
  std::string_view all;
  if (files) {
    if (!read_file(file_of(s.extent), from_disk).empty()) return wire::Outcome::not_found;
    std::string bytes;
    if (read_file(file_of(s.extent) + ".sums", bytes).empty()) {
      sums.resize(bytes.size() / sizeof sums[0]);
      std::copy_n(bytes.data(), sums.size() * sizeof sums[0], reinterpret_cast<char*>(sums.data()));
    }
    all = from_disk;
  } else {
    const auto it = memory_.find(key);
    if (it == memory_.end()) return wire::Outcome::not_found;
    all = it->second;
    sums = sums_[key];
  }
  if (s.offset > all.size() || s.length > all.size() - s.offset) return wire::Outcome::error;
  read.assign(all.substr(s.offset, s.length));
  return wire::Outcome::completed;
}

void Node::finish(int at) {
  Job job = std::move(jobs_.at(at));
  jobs_.erase(at);
  --running_;
  std::string read;
  std::vector<std::uint64_t> sums;
  const wire::Outcome outcome = run(job, read, sums);
  if (chance(flip_out_)) flip(read, "out", job);
  if (!read.empty() && chance(shorten_)) {
    record_.add({{"ev", "flipped"}, {"node", given_.name}, {"where", "length"}, {"head", job.head}});
    read.resize(random_() % read.size());
  }
  recent_ += 0.1 * (static_cast<double>(monotonic_now() - job.began) - recent_);
  Meter& meter = meters_[job.volume];
  meter.all += job.submit.units;
  meter.heads[job.head].first += job.submit.units;
  if (hang_ || chance(lose_)) {
    record_.add({{"ev", "withheld"},
                 {"node", given_.name},
                 {"head", job.head},
                 {"id", hex(job.submit.id)},
                 {"no", job.submit.attempt}});
    return;
  }
  if (chance(cut_)) {
    const auto it = clients_.find(job.conn);
    if (it == clients_.end()) return;
    record_.add({{"ev", "cut"}, {"node", given_.name}, {"conn", job.conn}, {"head", job.head}});
    it->second.link->close();
    clients_.erase(it);
    return;
  }
  answer(job.conn, job, outcome, read, std::move(sums));
}

wire::Load Node::load() const {
  return {static_cast<double>(running_ + static_cast<int>(waiting_.size())),
          static_cast<double>(waiting_.size()), static_cast<double>(running_) / given_.cores,
          std::llround(recent_)};
}

void Node::answer(int conn, const Job& job, wire::Outcome outcome, std::string_view data,
                  std::vector<std::uint64_t> sums) {
  if (hang_) return;
  const auto it = clients_.find(conn);
  if (it == clients_.end()) return;
  const std::int64_t now = monotonic_now();
  if (now - reported_at_ >= given_.report_every) told_ = load(), reported_at_ = now;
  wire::Answer a;
  a.id = job.submit.id;
  a.attempt = job.submit.attempt;
  a.outcome = outcome;
  a.load = told_;
  a.block_checksums = std::move(sums);
  if (given_.tells_elsewhere) {
    Meter& meter = meters_[job.volume];
    auto& [own, told] = meter.heads[job.head];
    a.from_others = static_cast<int>(std::min<std::int64_t>(meter.all - own - told, 1'000'000));
    told = meter.all - own;
  }
  wire::encode(it->second.link->out(), a, data);
  record_.add({{"ev", "answer"},
               {"node", given_.name},
               {"conn", conn},
               {"head", job.head},
               {"id", hex(job.submit.id)},
               {"no", job.submit.attempt},
               {"outcome", kOutcomes[static_cast<int>(outcome)]}});
}

void Node::on_closed(net::Link& link, const std::string& why) {
  record_.add({{"ev", "closed"},
               {"node", given_.name},
               {"conn", link.number},
               {"head", clients_.at(link.number).head},
               {"why", why}});
  clients_.erase(link.number);
}

void Node::close_all(const std::string& why) {
  for (auto& [number, c] : clients_) {
    record_.add({{"ev", "cut"}, {"node", given_.name}, {"conn", number}, {"head", c.head}, {"why", why}});
    c.link->close();
  }
  clients_.clear();
}

// What no node of ours says: noise, half a frame and then nothing, a frame that claims 2 GiB.
void Node::garble(const std::string& how) {
  for (auto& [number, c] : clients_) {
    std::string& out = c.link->out();
    if (how == "noise") {
      for (int i = 0; i < 64; ++i) out += static_cast<char>(random_());
    } else if (how == "huge") {
      out += std::string("YM\x02\x03\x00\x00\x00\x10\x80\x00\x00\x00", 12);
    } else if (how == "half") {
      std::string frame;
      wire::encode(frame, wire::Answer{}, "half of it");
      out += frame.substr(0, frame.size() / 2);
      c.link->close_after_flush();
    } else {
      throw std::runtime_error("unknown garbage '" + how + "'");
    }
  }
  if (how == "half") {
    for (auto& [number, c] : clients_)
      record_.add({{"ev", "cut"},
                   {"node", given_.name},
                   {"conn", number},
                   {"head", c.head},
                   {"why", "half a frame"}});
    clients_.clear();
  }
}

void Node::obey(const json& c) {
  record_.add({{"ev", "told"}, {"node", given_.name}, {"command", c}});
  for (const auto& [key, value] : c.items()) {
    if (key == "hang")
      hang_ = value.get<bool>();
    else if (key == "drain")
      draining_ = value.get<bool>();
    else if (key == "slow")
      slow_ = std::max(0.01, value.get<double>());
    else if (key == "errors")
      errors_ = value.get<double>();
    else if (key == "lose")
      lose_ = value.get<double>();
    else if (key == "flip_rest")
      flip_rest_ = value.get<double>();
    else if (key == "flip_in")
      flip_in_ = value.get<double>();
    else if (key == "flip_out")
      flip_out_ = value.get<double>();
    else if (key == "shorten")
      shorten_ = value.get<double>();
    else if (key == "cut")
      cut_ = value.get<double>();
    else if (key == "reset")
      close_all("reset on command");
    else if (key == "garbage")
      garble(value.get<std::string>());
    else if (key == "heavy") {
      heavy_part_ = value.at("part").get<double>();
      heavy_ = value.at("times").get<double>();
      heavy_group_ = value.value("group", "");
    } else
      throw std::runtime_error("unknown command '" + key + "'");
  }
}

std::int64_t Node::next() const {
  std::int64_t next = monotonic_now() + 50'000;
  if (!finishing_.empty()) next = std::min(next, finishing_.top().at);
  if (paused_until_ > monotonic_now()) next = std::min(next, paused_until_);
  return next;
}

void Node::turn_over() {
  const std::int64_t now = monotonic_now();
  while (!finishing_.empty() && finishing_.top().at <= now) {
    const int at = finishing_.top().job;
    finishing_.pop();
    finish(at);
  }
  begin_jobs();
  if (fallen_ && !clients_.empty()) {
    close_all("fell over");
    listener_->close();
    jobs_.clear(), waiting_.clear(), finishing_ = {}, running_ = 0;
  }
  record_.flush();
  for (auto& [number, c] : clients_) c.link->flush();
}

}  // namespace yewmount::standins
