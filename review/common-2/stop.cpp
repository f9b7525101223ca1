// Two of eight nodes run slower. Clients that read exports of three extents have to get them whole.
#include "gateway.h"
#include "reader.h"

using namespace kit;

namespace {

constexpr int kNodes = 8;
constexpr int kSlowNodes = 2;  // up to 25 %
constexpr int kObjects = 16;
constexpr int kAtOnce = 4;  // clients
constexpr std::size_t kObject = 22 << 20;  // three extents of at most 8 MiB
constexpr double kBytesPerSecond = 7e6;    // that a client reads
constexpr Micros kTime = 6 * kSecond;      // the hard limit of the I/O group
constexpr Micros kSlack = 500 * kMs;
constexpr double kSlower = 9.5;

}  // namespace

int main(int argc, char** argv) {
  begin(argc, argv);
  Gateway gateway;
  gateway.unit_us = 4000;
  gateway.start(work_folder, kNodes, 512 << 10);
  const std::string body(kObject, 'r');
  for (int i = 0; i < kObjects; ++i) {
    const std::string answer =
        gateway.request("PUT /rosters/export-" + std::to_string(i) + " HTTP/1.1\r\nHost: head\r\nContent-Length: " +
                            std::to_string(body.size()) + "\r\n\r\n",
                        body, 5 * kSecond);
    if (answer.find(" 201 ") == std::string::npos) {
      gateway.end();
      cannot_run("a PUT was answered with " + answer.substr(0, 60));
    }
  }
  if (has_trouble()) {
    record("nodes 0 to %d: run %.1f times slower", kSlowNodes - 1, kSlower);
    for (int i = 0; i < kSlowNodes; ++i)
      Gateway::control(gateway.nodes[i].number("control_port"), "{\"slow\":" + std::to_string(kSlower) + "}");
  }
  int silent = 0;
  int whole = 0;
  int refused = 0;
  for (int first = 0; first < kObjects; first += kAtOnce) {
    std::vector<Reader> readers(kAtOnce);
    for (int i = 0; i < kAtOnce; ++i) readers[i].ask(gateway.address, "/rosters/export-" + std::to_string(first + i));
    Micros last = now();
    for (bool is_done = false; !is_done && now() < readers[0].sent_at + kTime + kSlack;) {
      run_until(now() + 5 * kMs);
      const std::size_t most = static_cast<std::size_t>(kBytesPerSecond * static_cast<double>(now() - last) / 1e6) + 1;
      last = now();
      is_done = true;
      for (Reader& reader : readers) {
        if (!reader.closed && !reader.whole()) reader.read_some(most);
        is_done &= reader.closed || reader.whole();
      }
    }
    for (int i = 0; i < kAtOnce; ++i) {
      Reader& reader = readers[i];
      const bool is_refused = reader.front.rfind("HTTP/1.1 50", 0) == 0;
      record("client %d: %zu of %zu bytes, the last came after %.3f s%s%s", first + i, reader.got, reader.length,
             static_cast<double>(reader.last_at - reader.sent_at) / 1e6, is_refused ? ", refused or failed" : "",
             reader.closed ? ", closed by the head" : "");
      ++(is_refused || reader.closed ? refused : reader.whole() ? whole : silent);
      ::close(reader.fd);
    }
  }
  record("all reads are over");
  const bool head_gone = gateway.head.ended();
  gateway.end();
  if (head_gone) finish(true, "the head has ended");
  if (whole == 0) cannot_run("nothing came whole");
  finish(silent > 0, std::to_string(silent) + " answers stopped within, " + std::to_string(whole) +
                         " came whole, " + std::to_string(refused) + " were refused, failed or closed");
}
