// Now and then a second copy of an answer comes some milliseconds late, when nothing else waits on the connection.
// Each client has to get the value of its own request.
#include "kit.h"

using namespace kit;

namespace {

constexpr int kShelfs = 12;
constexpr int kClients = 40;
constexpr double kRate = 180;  // requests a second
constexpr Micros kLength = 90 * kSecond;
constexpr Micros kLatestCopy = 15 * kMs;

std::vector<std::unique_ptr<Shelf>> shelfs;
std::vector<std::unique_ptr<Head>> heads;
std::vector<std::unique_ptr<Agent>> agents;
std::map<Conn*, std::deque<std::string>> asked_by;
long asked = 0;
long served = 0;
long refused = 0;
long failed = 0;
long foreign = 0;

void ask(Conn& conn) {
  const std::string id = hex16(random64());
  asked_by[&conn].push_back(id);
  ++asked;
  const std::uint64_t volume = 1 + random64() % 60;
  const int shard = static_cast<int>(volume % kShelfs);
  record("client %d: asks %s shard=%d", conn.tag, id.c_str(), shard);
  conn.send(read_command(id, "shift-read", "association", 2000, volume, 1 + static_cast<int>(random64() % 3), shard, 1));
}

void on_answer(Conn& conn) {
  for (std::string answer; take_answer(conn.in, answer);) {
    const std::string id = asked_by[&conn].front();
    asked_by[&conn].pop_front();
    record("client %d: %s answered %.40s", conn.tag, id.c_str(), answer.c_str());
    if (answer[0] != '$') {
      ++(answer.rfind("-BUSY", 0) == 0 ? refused : failed);
      continue;
    }
    ++served;
    if (answer == "$value-" + id) continue;
    ++foreign;
    record("foreign: %s got %s", id.c_str(), answer.c_str());
  }
}

}  // namespace

int main(int argc, char** argv) {
  begin(argc, argv);
  const std::uint32_t base = 0x7F000000U + 0x170000U;
  for (int i = 0; i < kShelfs; ++i) {
    shelfs.push_back(std::make_unique<Shelf>());
    Shelf& shelf = *shelfs[i];
    shelf.slots = 4;
    shelf.open("s-" + hex16(4000 + i).substr(8), i, base + 1 + i);
    shelf.one_way = 1 * kMs;
    shelf.service_time = [](const Shelf::Job&) { return static_cast<Micros>(10 + random64() % 40) * kMs; };
    if (has_trouble())
      shelf.copy_after = [] {
        return random64() % 20 == 0 ? kMs + static_cast<Micros>(random64() % (kLatestCopy - kMs)) : Micros{0};
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
  std::vector<ConnPtr> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(connect_to(head.address));
    clients[i]->tag = i;
    clients[i]->on_bytes = on_answer;
  }
  const Micros until = now() + kLength;
  std::function<void()> send_next = [&] {
    Conn* next = nullptr;
    for (const ConnPtr& c : clients)
      if (c->open() && (!next || asked_by[c.get()].size() < asked_by[next].size())) next = c.get();
    if (next) ask(*next);
    after(static_cast<Micros>(-std::log(1 - random_share()) * 1e6 / kRate), send_next);
  };
  after(200 * kMs, send_next);
  run_until(until, [&] { return !head.running(); });
  if (!head.running()) finish(true, "the head has ended");
  char text[200];
  std::snprintf(text, sizeof text,
                "%ld answers with the value of another request; asked %ld, served %ld, refused %ld, failed %ld",
                foreign, asked, served, refused, failed);
  if (served < 500) cannot_run(std::string("too little was served: ") + text);
  finish(foreign > 0, text);
}
