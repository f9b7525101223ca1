// The cutter of commands and answers: every split of the bytes, lengths judged before their bytes come,
// seeded garbage.
#include "resp/resp.h"

#include <gtest/gtest.h>

#include <random>

namespace yewmount::tests {
namespace {

using resp::Cut;

Cut judge(std::string_view bytes, resp::Command& command) { return resp::cut(bytes, command); }
Cut judge(std::string_view bytes, resp::Reply& reply) { return resp::cut(bytes, reply, resp::kMostBody); }

std::string command(std::initializer_list<std::string_view> words) {
  std::string out;
  resp::put_count(out, words.size());
  for (const auto w : words) resp::put_bulk(out, w);
  return out;
}

// Whole only with its last byte, partial at every place before, and the same whatever stands behind it.
template <class Thing>
void whole_at_its_end(const std::string& bytes) {
  Thing thing;
  for (std::size_t n = 0; n < bytes.size(); ++n)
    ASSERT_EQ(judge(std::string_view(bytes).substr(0, n), thing), Cut::partial) << n << " of " << bytes;
  for (const char* behind : {"", "*", "\r\n", "$9999999999\r\n"}) {
    ASSERT_EQ(judge(bytes + behind, thing), Cut::whole);
    EXPECT_EQ(thing.bytes, bytes.size());
  }
}

TEST(Resp, ACommandIsWholeWithItsLastByteAndNotBefore) {
  whole_at_its_end<resp::Command>(
      command({"BLK.READ", "7f3a9c21e0b4d655", "9b1f03aa5c7e2d41", "c=read,d=480"}));
  whole_at_its_end<resp::Command>(command({"BLK.WRITE", "a", "b", "c=x", std::string(70, '\r') + "\n*$"}));
  whole_at_its_end<resp::Command>(command({"X", ""}));
}

TEST(Resp, AnAnswerIsWholeWithItsLastByteAndNotBefore) {
  for (const char* text : {"*3\r\n$5\r\nva\r\n1\r\n$13\r\nused=3,cost=4\r\n$-1\r\n", "-ERR failed used=3\r\n",
                           "-BUSY\r\n", "$-1\r\n", "$0\r\n\r\n", "*3\r\n$1\r\nv\r\n+odd\r\n:12\r\n"})
    whole_at_its_end<resp::Reply>(text);
  resp::Reply reply;
  ASSERT_EQ(judge("*3\r\n$2\r\nva\r\n$6\r\nused=3\r\n$-1\r\n", reply), Cut::whole);
  EXPECT_EQ(reply.values[0], "va");
  EXPECT_EQ(reply.values[1], "used=3");
  EXPECT_EQ(reply.values[2].data(), nullptr);
}

TEST(Resp, ALengthIsJudgedBeforeItsBytesCome) {
  resp::Command c;
  for (const char* text :
       {"*2\r\n$60000000\r\n", "*2\r\n$-5\r\n", "*-1\r\n", "*0\r\n", "*9\r\n", "*99999999999",
        "*1\r\n$65537\r\n", "*2\r\n$513\r\n", "*1\r\n$a\r\n", "GET / HTTP/1.1\r\n", "\r\n", "*1\r\n$ 1\r\n",
        "*1\r\n$+1\r\n", "*1\r\n$3\r\nabcd", "*1\n", "*1\r\n:1\r\n", "*1\rx"})
    EXPECT_EQ(judge(text, c), Cut::malformed) << text;
  resp::Reply r;
  for (const char* text :
       {"$3000000000\r\n", "*3\r\n$3000000000\r\n", "*3\r\n*1\r\n", "*1000\r\n", "HTTP/1.1 200", "$-2\r\n",
        "*3\r\n:1\r\n", "*3\r\n+v\r\n", "\x01\x02", "$2\r\nabc", "-x\ny\r\n"})
    EXPECT_EQ(judge(text, r), Cut::malformed) << text;
  EXPECT_EQ(judge("-" + std::string(600, 'x'), r), Cut::malformed);
}

// Whatever comes, what is kept while it is not whole stays within its bound, and a cut lies within the bytes.
TEST(Resp, GarbageIsNeverKeptBeyondItsBound) {
  std::ranlux24_base chance(7);
  const std::string good[] = {command({"BLK.WRITE", "7f", "9b", "c=x", std::string(900, 'b')}),
                              "*3\r\n$4\r\nabcd\r\n$6\r\nused=1\r\n$-1\r\n"};
  int whole = 0, malformed = 0;
  for (int run = 0; run < 20'000; ++run) {
    std::string bytes = good[run % 2];
    for (int n = static_cast<int>(chance() % 4); n > 0; --n)
      bytes[chance() % bytes.size()] = static_cast<char>("*$\r\n0-9\xff:+1"[chance() % 12]);
    resp::Command c;
    resp::Reply r;
    const Cut cut = run % 2 ? judge(bytes, r) : judge(bytes, c);
    const std::size_t used = run % 2 ? r.bytes : c.bytes;
    if (cut == Cut::whole) {
      ++whole;
      ASSERT_LE(used, bytes.size());
    }
    malformed += cut == Cut::malformed;
    // Partial for ever would be kept for ever: beyond the bound it is one or the other.
    bytes.resize(resp::kMostBody + 2 * resp::kMostWords * resp::kMostLine, '1');
    ASSERT_NE(run % 2 ? judge(bytes, r) : judge(bytes, c), Cut::partial);
  }
  EXPECT_GT(whole, 1000);
  EXPECT_GT(malformed, 1000);
}

}  // namespace
}  // namespace yewmount::tests
