// Shelfs drop requests with very little time left without a word, while a busy head has all its connections to
// shelfs in use. Each client has to get the value of its own request.
#include "kit.h"

using namespace kit;

namespace {

constexpr int kShelfs = 20;
constexpr int kSockets = 256;
constexpr int kClients = 80;  // under a third of the descriptors
constexpr double kRate = 580;   // requests a second
constexpr int kAtOnce = 3;    // commands that a client sends at once
constexpr Micros kLength = 40 * kSecond;
constexpr Micros kWork = 20 * kMs;
constexpr long kDeadlineMs = 4000;

std::vector<std::unique_ptr<Shelf>> shelfs;
std::vector<std::unique_ptr<Head>> heads;
std::vector<std::unique_ptr<Agent>> agents;
std::map<Conn*, std::deque<std::string>> asked_by;  // ids without an answer, in their order
long asked = 0;
long served = 0;
long refused = 0;
long failed = 0;
long foreign = 0;
long dropped = 0;

void ask(Conn& conn) {
  std::string all;
  for (int i = 0; i < kAtOnce; ++i) {
    const std::string id = hex16(random64());
    asked_by[&conn].push_back(id);
    ++asked;
    const std::uint64_t volume = 1 + random64() % 100;
    // One in six is a client's later try, whose time is nearly over.
    const long wait_ms = random64() % 6 == 0 ? 225 + static_cast<long>(random64() % 100) : kDeadlineMs;
    const int shard = static_cast<int>(volume % kShelfs);
    all += read_command(id, "attach-read", "association", wait_ms, volume, 1 + static_cast<int>(random64() % 3), shard, 1);
    record("client %d: asks %s d=%ld shard=%d", conn.tag, id.c_str(), wait_ms, shard);
  }
  conn.send(all);
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
  const std::uint32_t base = 0x7F000000U + 0x160000U;
  for (int i = 0; i < kShelfs; ++i) {
    shelfs.push_back(std::make_unique<Shelf>());
    Shelf& shelf = *shelfs[i];
    shelf.slots = 64;
    shelf.open("s-" + hex16(3000 + i).substr(8), i, base + 1 + i);
    // The wait behind the work of other heads, and the work itself.
    shelf.service_time = [](const Shelf::Job&) { return static_cast<Micros>((190 + random64() % 60) * kMs); };
    if (has_trouble()) shelf.drops = [](const Shelf::Job& job) {
      const Micros left = std::atol(field(job.words[3], "d").c_str()) * kMs - (now() - kWork - job.came_at);
      if (left >= kWork) return false;
      ++dropped;
      return true;
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
  settings.max_units = 6;
  settings.classes =
      "{\"credit\":2.0,\"deadline-s\":4.0,\"idempotency\":\"read_like\",\"key-scope\":\"all\",\"late-worth\":0.12,"
      "\"memory-span-s\":5.0,\"name\":\"attach-read\",\"objective-s\":2.0,\"stream\":false},"
      "{\"credit\":2.0,\"deadline-s\":4.0,\"idempotency\":\"read_like\",\"key-scope\":\"all\",\"late-worth\":0.12,"
      "\"memory-span-s\":5.0,\"name\":\"attach-write\",\"objective-s\":2.0,\"stream\":false}";
  settings.writes = "[false,true]";
  head.write_config(*agents[0], agents[0]->full_list(), 128, kSockets, settings.text(0));
  start_heads(heads, agents);
  std::vector<ConnPtr> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(connect_to(head.address));
    clients[i]->tag = i;
    clients[i]->on_bytes = on_answer;
  }
  // The client that waits for the fewest answers sends the next commands.
  const Micros until = now() + kLength;
  std::function<void()> send_next = [&] {
    Conn* next = nullptr;
    for (const ConnPtr& c : clients)
      if (c->open() && (!next || asked_by[c.get()].size() < asked_by[next].size())) next = c.get();
    if (next) ask(*next);
  };
  for (double t = 0.2; t < kLength / 1e6; t += kAtOnce / kRate) after(static_cast<Micros>(t * 1e6), send_next);
  // Each shelf stands still for 92 to 210 ms every 2.1 to 9 s, with or without trouble.
  std::function<void(int)> pause = [&](int i) {
    shelfs[i]->hangs_until = std::max(shelfs[i]->hangs_until, now() + (92 + static_cast<Micros>(random64() % 119)) * kMs);
    after((2100 + static_cast<Micros>(random64() % 6900)) * kMs, [&, i] { pause(i); });
  };
  for (int i = 0; i < kShelfs; ++i) after(static_cast<Micros>(random64() % 5000) * kMs, [&, i] { pause(i); });
  run_until(until, [&] { return !head.running(); });
  if (!head.running()) finish(true, "the head has ended");
  char text[200];
  std::snprintf(text, sizeof text,
                "%ld answers with the value of another request; asked %ld, served %ld, refused %ld, failed %ld, dropped by shelfs %ld",
                foreign, asked, served, refused, failed, dropped);
  if (served < 500) cannot_run(std::string("too little was served: ") + text);
  finish(foreign > 0, text);
}
