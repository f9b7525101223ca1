// A shelf comes back cold after a quiet time, and then a surge comes for its data through all heads.
#include "cold.h"

using namespace kit;

namespace {

constexpr int kShelfs = 12;
constexpr int kQuietSeconds = 30;
constexpr Micros kUnitTime = 25 * kMs;  // of a warm shelf

int head_count = 28;
std::vector<std::unique_ptr<Shelf>> shelfs;
std::vector<std::unique_ptr<Head>> heads;
std::vector<std::unique_ptr<Agent>> agents;
ColdJudge judge;
std::map<std::string, int> head_of;  // request -> head
long served = 0;
long refused = 0;
long failed = 0;
long asked = 0;

// Clients keep their connections and open more when all of them are busy.
struct Pool {
  std::vector<ConnPtr> idle;
};
std::vector<Pool> pools;

void ask(int head, int shard, const char* group, long wait_ms) {
  const std::string id = hex16(random64());
  head_of[id] = head;
  ++asked;
  const int units = 1 + static_cast<int>(random64() % 3);  // 2 in the mean
  const std::string command =
      read_command(id, group, "association", wait_ms, 1000 + shard * 10 + head % 4, units, shard, 2);
  ConnPtr conn;
  while (!pools[head].idle.empty() && !conn) {
    conn = pools[head].idle.back();
    pools[head].idle.pop_back();
    if (!conn->open()) conn = nullptr;
  }
  if (!conn) conn = connect_to(heads[head]->address);
  conn->on_bytes = [head, id](Conn& c) {
    for (std::string answer; take_answer(c.in, answer);) {
      record("client of %d: %s answered %.30s", head, id.c_str(), answer.c_str());
      ++(answer[0] == '$' ? served : answer.rfind("-BUSY", 0) == 0 ? refused : failed);
      pools[head].idle.push_back(c.shared_from_this());
    }
  };
  record("client of %d: asks %s shard %d", head, id.c_str(), shard);
  conn->send(command);
}

}  // namespace

int main(int argc, char** argv) {
  begin(argc, argv);
  if (const char* text = std::getenv("HEADS")) head_count = std::atoi(text);
  double rate = 5;  // requests a second for the shard through each head in the surge
  if (const char* text = std::getenv("RATE")) rate = std::atof(text);
  const std::uint32_t base = 0x7F000000U + 0x150000U;
  judge.settings.heads = head_count;
  judge.settings.fall_multiple = 3;
  judge.settings.overload_for_s = 1;
  judge.settings.warm_within_s = 13;
  judge.settings.cold_units = 42;  // 3 times 0.17 of 40 requests a second, in units
  judge.settings.classes =
      "{\"credit\":2.0,\"deadline-s\":4.0,\"idempotency\":\"read_like\",\"key-scope\":\"all\",\"late-worth\":0.12,"
      "\"memory-span-s\":5.0,\"name\":\"attach-read\",\"objective-s\":0.5,\"stream\":false},"
      "{\"credit\":2.0,\"deadline-s\":4.0,\"idempotency\":\"read_like\",\"key-scope\":\"all\",\"late-worth\":0.12,"
      "\"memory-span-s\":5.0,\"name\":\"attach-write\",\"objective-s\":0.8,\"stream\":false}";
  judge.settings.writes = "[false,true]";
  if (const char* text = std::getenv("COLD")) judge.settings.cold_units = std::atof(text);
  for (int i = 0; i < kShelfs; ++i) {
    shelfs.push_back(std::make_unique<Shelf>());
    shelfs[i]->open("s-" + hex16(2000 + i).substr(8), i, base + 1 + i);
    shelfs[i]->service_time = [](const Shelf::Job& job) {
      return kUnitTime * std::atoi(field(job.words[3], "units").c_str());
    };
  }
  // The cold shelf serves with what the settings tell of its capacity at that age, and with twice that as
  // "cold-from" is the least.
  Shelf& cold = *shelfs[3];
  cold.service_time = [](const Shelf::Job& job) {
    double speed = 1;
    if (judge.up_since > 0) {
      const double warm = std::min(1.0, static_cast<double>(now() - judge.up_since) / (judge.settings.warm_within_s * 1e6));
      speed = judge.settings.cold_from + (1 - judge.settings.cold_from) * warm;
    }
    return static_cast<Micros>(kUnitTime / speed) * std::atoi(field(job.words[3], "units").c_str());
  };
  for (int h = 0; h < head_count; ++h) {
    agents.push_back(std::make_unique<Agent>());
    agents[h]->open(base + 100 + h);
    for (auto& shelf : shelfs) agents[h]->shelfs.push_back(shelf.get());
    heads.push_back(std::make_unique<Head>());
    heads[h]->name = "n" + std::to_string(h);
    heads[h]->address = free_address(base + 150 + h);
    heads[h]->config_file = work_folder + "/n" + std::to_string(h) + ".json";
    heads[h]->log_file = work_folder + "/n" + std::to_string(h) + ".log";
    heads[h]->write_config(*agents[h], agents[h]->full_list(), 128, 512, judge.settings.text(h));
  }
  cold.on_command = [&](Shelf&, const Shelf::Job& job) {
    const int head = head_of[job.words[2]];
    judge.add(std::atof(field(job.words[3], "units").c_str()), head, agents[head]->told_at > 0);
  };
  pools.resize(head_count);
  start_heads(heads, agents);

  const Micros start = now();
  const Micros surge_at = start + kQuietSeconds * kSecond;
  const Micros end = surge_at + 8 * kSecond;
  // Quiet: one request every two seconds through each head, for shelfs in turn.
  Micros gap = 2 * kSecond;
  if (const char* text = std::getenv("GAP_MS")) gap = std::atoi(text) * kMs;
  for (int h = 0; h < head_count; ++h)
    for (int i = 0; i < kQuietSeconds * kSecond / gap; ++i)
      at(start + i * gap + h * gap / head_count, [h, i] { ask(h, (i + h) % kShelfs, "attach-read", 4000); });
  if (has_trouble())
    at(surge_at - 700 * kMs, [&] {
      record("shelf %s: dies and starts again, cold", cold.id.c_str());
      cold.die();
      after(200 * kMs, [&] {
        cold.restart();
        judge.up_since = now();
        after(300 * kMs, [&] {
          for (auto& agent : agents) agent->change({&cold});
          record("discovery: tells of the start");
        });
      });
    });
  for (int h = 0; h < head_count; ++h)
    for (Micros t = surge_at + static_cast<Micros>(random_share() * 50 * kMs); t < surge_at + 5 * kSecond;
         t += static_cast<Micros>(-std::log(1 - random_share()) * 1e6 / rate))
      at(t, [h] {
        ask(h, 3, "attach-read", 4000);
      });
  run_until(end);
  char text[200];
  std::snprintf(text, sizeof text,
                "most %.1f requests of mean work in a window, %.1f allowed; asked %ld, served %ld, refused %ld, failed %ld",
                judge.most, judge.most_allowed, asked, served, refused, failed);
  if (served < 20) cannot_run(std::string("too little was served: ") + text);
  finish(judge.is_breach, text);
}
