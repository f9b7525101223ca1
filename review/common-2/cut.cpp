// SIGTERM comes while clients read an export. Each answer that has begun has to come whole.
#include "gateway.h"
#include "reader.h"

using namespace kit;

namespace {

constexpr int kRounds = 3;
constexpr int kClients = 3;  // a round
constexpr std::size_t kObject = 8 << 20;  // one extent
constexpr double kBytesPerSecond = 3e6;  // that a client reads
constexpr Micros kTime = 6 * kSecond;    // the hard limit of the I/O group
constexpr Micros kSlack = 500 * kMs;

}  // namespace

int main(int argc, char** argv) {
  begin(argc, argv);
  Gateway gateway;
  gateway.start(work_folder, 6, 512 << 10);
  int cut = 0;
  int whole = 0;
  const std::string body(kObject, 'r');
  for (int i = 0; i < kClients; ++i) {
    const std::string answer =
        gateway.request("PUT /rosters/export-" + std::to_string(i) + " HTTP/1.1\r\nHost: head\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n",
                        body, 5 * kSecond);
    if (answer.find(" 201 ") == std::string::npos) {
      gateway.end();
      cannot_run("a PUT was answered with " + answer.substr(0, 60));
    }
  }
  for (int round = 0; round < kRounds; ++round) {
    std::vector<Reader> readers(kClients);
    for (int i = 0; i < kClients; ++i) {
      Reader& reader = readers[i];
      reader.ask(gateway.address, "/rosters/export-" + std::to_string(i));
      record("client %d: asks for export-%d", i, i);
    }
    const Micros term_at = now() + 500 * kMs;
    bool told = false;
    Micros last = now();
    while (now() < readers[0].sent_at + kTime + kSlack) {
      run_until(now() + 5 * kMs);
      const Micros t = now();
      const std::size_t most = static_cast<std::size_t>(kBytesPerSecond * static_cast<double>(t - last) / 1e6) + 1;
      last = t;
      bool all_done = true;
      for (Reader& reader : readers) {
        if (!reader.closed && !reader.whole()) reader.read_some(most);
        all_done &= reader.closed || reader.whole();
      }
      if (has_trouble() && !told && t >= term_at) {
        if (readers[0].length == 0) cannot_run("no answer has begun before SIGTERM");
        told = true;
        record("head: SIGTERM");
        ::kill(gateway.head.pid, SIGTERM);
      }
      if (all_done) break;
    }
    for (int i = 0; i < kClients; ++i) {
      Reader& reader = readers[i];
      record("client %d: %zu of %zu bytes after %.3f s%s", i, reader.got, reader.length,
             static_cast<double>(now() - reader.sent_at) / 1e6, reader.closed ? ", closed by the head" : "");
      ++(reader.whole() ? whole : cut);
      ::close(reader.fd);
    }
    if (has_trouble()) {
      const Micros until = now() + 10 * kSecond;
      while (!gateway.head.ended() && now() < until) run_until(now() + 20 * kMs);
      record("head: %s", gateway.head.pid < 0 ? "ended" : "still there 10 s later");
      gateway.head.kill_now();
      if (round + 1 < kRounds) gateway.start_head();
    }
  }
  const bool head_gone = !has_trouble() && gateway.head.ended();
  gateway.end();
  if (head_gone) finish(true, "the head has ended");
  finish(cut > 0, std::to_string(cut) + " answers were cut off, " + std::to_string(whole) + " came whole");
}
