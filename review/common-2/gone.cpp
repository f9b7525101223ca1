// Clients send much at once and go. Nothing may begin for them more than 0.1 s after they closed their connection.
#include "kit.h"

using namespace kit;

namespace {

constexpr int kShelfs = 12;
constexpr int kBursts = 8;
constexpr int kReads = 32;
constexpr int kWrites = 20;
constexpr std::size_t kBody = 60 << 10;
constexpr Micros kGrace = 100 * kMs + 50 * kMs;  // of the rule, and the time limits' 50 ms

std::vector<std::unique_ptr<Shelf>> shelfs;
std::vector<std::unique_ptr<Head>> heads;
std::vector<std::unique_ptr<Agent>> agents;
std::map<std::string, int> burst_of;       // request -> burst
std::map<int, Micros> closed_at;           // burst -> when its client closed the connection
std::set<std::string> heavy;               // requests that cost many times the usual work
long begun = 0;
long late = 0;
long answered = 0;
long closed = 0;
Micros latest = 0;

void send_burst(int burst) {
  auto conn = connect_to(heads[0]->address);
  std::string all;
  const int shard = (burst * 3) % kShelfs;
  for (int i = 0; i < kReads + kWrites; ++i) {
    const std::string id = hex16(random64());
    burst_of[id] = burst;
    if (i == 0) heavy.insert(id);
    if (i < kReads) {
      const int where = i == 0 ? shard : (shard + 1 + i % 2) % kShelfs;
      all += read_command(id, "roster-export", "association", 6000, 100 + where, 1 + static_cast<int>(random64() % 3), where, 1);
    } else {
      all += read_command(id, "signup-write", "association", 3000, 100 + i, 2, -1, 1, std::string(kBody, 'x'));
    }
  }
  record("client %d: sends %d commands, %zu bytes", burst, kReads + kWrites, all.size());
  conn->on_bytes = [burst](Conn& c) {
    for (std::string answer; take_answer(c.in, answer);) {
      ++answered;
      record("client %d: answer %.20s", burst, answer.c_str());
    }
  };
  conn->send(all);
  if (!has_trouble()) return;
  auto look = std::make_shared<std::function<void()>>();
  *look = [conn, burst, look] {
    if (!conn->open()) return;
    if (!conn->out.empty() || conn->connecting) return after(kMs, *look);
    conn->close();
    closed_at[burst] = now();
    ++closed;
    record("client %d: has sent all and closes its connection", burst);
  };
  (*look)();
}

}  // namespace

int main(int argc, char** argv) {
  begin(argc, argv);
  const std::uint32_t base = 0x7F000000U + 0x1A0000U;
  for (int i = 0; i < kShelfs; ++i) {
    shelfs.push_back(std::make_unique<Shelf>());
    Shelf& shelf = *shelfs[i];
    shelf.open("s-" + hex16(6000 + i).substr(8), i, base + 1 + i);
    shelf.service_time = [](const Shelf::Job& job) {
      return heavy.count(job.words[2]) ? 1200 * kMs : static_cast<Micros>(88 + random64() % 52) * kMs;
    };
    shelf.on_command = [](Shelf& s, const Shelf::Job& job) {
      ++begun;
      const auto gone = closed_at.find(burst_of[job.words[2]]);
      if (gone == closed_at.end() || now() <= gone->second + kGrace) return;
      ++late;
      latest = std::max(latest, now() - gone->second);
      record("late: %s begins at shelf %s %.3f s after its client has closed", job.words[2].c_str(), s.id.c_str(),
             static_cast<double>(now() - gone->second) / 1e6);
    };
  }
  agents.push_back(std::make_unique<Agent>());
  agents[0]->open(base + 100);
  for (auto& shelf : shelfs) agents[0]->shelfs.push_back(shelf.get());
  heads.push_back(std::make_unique<Head>());
  Head& head = *heads[0];
  head.name = "n0";
  head.address = free_address(base + 101);
  head.config_file = work_folder + "/n0.json";
  head.log_file = work_folder + "/n0.log";
  Settings settings;
  head.write_config(*agents[0], agents[0]->full_list(), 128, 512, settings.text(0));
  start_heads(heads, agents);
  for (int burst = 0; burst < kBursts; ++burst) after(kSecond + burst * 3 * kSecond, [burst] { send_burst(burst); });
  run_until(now() + (3 * kBursts + 4) * kSecond, [&] { return !head.running(); });
  if (!head.running()) finish(true, "the head has ended");
  char text[200];
  std::snprintf(text, sizeof text,
                "%ld attempts of %ld began over 0.15 s after their client had closed, the latest after %.3f s; closed %ld, answered %ld",
                late, begun, static_cast<double>(latest) / 1e6, closed, answered);
  if (begun < 50 || (has_trouble() && closed < kBursts / 2)) cannot_run(text);
  finish(late > 0, text);
}
