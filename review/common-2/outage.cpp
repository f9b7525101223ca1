// Discovery falls silent for more than a minute, under load. Clients that come meanwhile have to be answered.
#include "kit.h"

using namespace kit;

namespace {

constexpr int kShelfs = 20;
constexpr int kSockets = 256;
constexpr int kSteadyClients = 75;  // under a third of the descriptors
constexpr long kWaitMs = 2000;
constexpr Micros kLength = 108 * kSecond;
constexpr Micros kAnswerSlack = 600 * kMs;  // half a second after the request's time, and the limit's 50 ms

std::vector<std::unique_ptr<Shelf>> shelfs;
std::vector<std::unique_ptr<Head>> heads;
std::vector<std::unique_ptr<Agent>> agents;
std::vector<std::unique_ptr<Ask>> newcomers;
long served = 0;
long refused = 0;
long failed = 0;

std::string next_command(std::string& id) {
  id = hex16(random64());
  const std::uint64_t volume = 1 + random64() % 60;
  return read_command(id, "roster-export", "association", kWaitMs, volume, 1, static_cast<int>(volume % kShelfs), 1);
}

// A client that keeps its connection and asks again shortly after each answer.
void steady_client(ConnPtr conn) {
  if (!conn->open()) return;
  std::string id;
  conn->send(next_command(id));
}

void count(const std::string& answer) {
  ++(answer[0] == '$' ? served : answer.rfind("-BUSY", 0) == 0 ? refused : failed);
}

// A client that comes anew, asks once and then keeps its connection for good.
void newcomer() {
  auto ask = std::make_unique<Ask>();
  Ask* const a = ask.get();
  newcomers.push_back(std::move(ask));
  a->wait = kWaitMs * kMs;
  a->conn = connect_to(heads[0]->address);
  a->sent_at = now();
  const std::string command = next_command(a->id);
  record("client: new connection, asks %s", a->id.c_str());
  a->conn->on_bytes = [a](Conn& c) {
    if (!take_answer(c.in, a->answer)) return;
    a->answered_at = now();
    record("client: %s answered %.40s", a->id.c_str(), a->answer.c_str());
  };
  a->conn->on_close = [a](Conn& c) {
    if (!a->answer.empty()) return;
    (c.connecting ? a->refused : a->closed) = true;
    record("client: %s closed without an answer", a->id.c_str());
  };
  a->conn->send(command);
  after(kAnswerSlack + kWaitMs * kMs + kSecond, [a] {
    if (!a->conn->open() || !a->answer.empty()) return;
    record("client: %s gives up, connection %s", a->id.c_str(), a->conn->connecting ? "never up" : "up");
    a->refused = a->conn->connecting;
    a->conn->close();
  });
}

}  // namespace

int main(int argc, char** argv) {
  begin(argc, argv);
  const std::uint32_t base = 0x7F000000U + 0x140000U;
  for (int i = 0; i < kShelfs; ++i) {
    shelfs.push_back(std::make_unique<Shelf>());
    shelfs[i]->slots = 16;
    shelfs[i]->open("s-" + hex16(1000 + i).substr(8), i, base + 1 + i);
    shelfs[i]->service_time = [](const Shelf::Job&) { return 200 * kMs + static_cast<Micros>(random_share() * 100 * kMs); };
  }
  agents.push_back(std::make_unique<Agent>());
  agents[0]->open(base + 100, 8);
  for (auto& shelf : shelfs) agents[0]->shelfs.push_back(shelf.get());
  heads.push_back(std::make_unique<Head>());
  Head& head = *heads[0];
  head.name = "n0";
  head.address = free_address(base + 101);
  head.config_file = work_folder + "/n0.json";
  head.log_file = work_folder + "/n0.log";
  head.descriptor_limit = kSockets;
  Settings settings;
  head.write_config(*agents[0], agents[0]->full_list(), 128, kSockets, settings.text(0));
  start_heads(heads, agents);

  const Micros until = now() + kLength;
  for (int i = 0; i < kSteadyClients; ++i)
    after(i * 20 * kMs, [&head] {
      auto conn = connect_to(head.address);
      conn->on_bytes = [](Conn& c) {
        for (std::string answer; take_answer(c.in, answer);) {
          count(answer);
          const auto self = c.shared_from_this();
          after(20 * kMs, [self] { steady_client(self); });
        }
      };
      steady_client(conn);
    });
  std::function<void()> come = [&] {
    if (now() > until - 4 * kSecond) return;
    newcomer();
    after(200 * kMs, come);
  };
  after(2 * kSecond, come);
  std::function<void()> look = [&] {
    record("head n0: %d descriptors; served %ld, refused %ld, failed %ld", head.descriptors(), served, refused,
           failed);
    after(5 * kSecond, look);
  };
  look();
  if (has_trouble())
    after(3 * kSecond, [] {
      record("discovery: falls silent");
      agents[0]->silent = true;
      agents[0]->listener.pause();
    });
  run_until(until, [&] { return !head.running(); });
  if (!head.running()) finish(true, "the head has ended");

  int lost = 0;
  int answered = 0;
  for (const auto& a : newcomers) {
    if (a->refused) continue;
    const bool in_time = !a->answer.empty() && a->answered_at <= a->sent_at + a->wait + kAnswerSlack;
    ++(in_time ? answered : lost);
    if (!in_time) record("lost: %s", a->id.c_str());
  }
  if (served < 500) cannot_run("too little was served: " + std::to_string(served));
  finish(lost > 0, std::to_string(lost) + " requests on accepted connections got no answer in time, " +
                       std::to_string(answered) + " did");
}
