#include "wire/wire.h"

#include <gtest/gtest.h>

#include <random>

#include "fuzz/decode_any.h"

namespace yewmount::tests {
namespace {

using namespace wire;

Frame receive_frame(FrameDecoder& decoder, const std::string& bytes) {
  std::copy(bytes.begin(), bytes.end(), decoder.prepare(bytes.size()).data());
  decoder.commit(bytes.size());
  Frame frame{};
  EXPECT_TRUE(decoder.next(frame));
  return frame;
}

Submit sample_submit() {
  Submit submit;
  submit.id = 0xfedcba9876543210;
  submit.attempt = 2;
  submit.kind = IoKind::write;
  submit.idempotency = Idempotency::fingerprinted;
  submit.group = "signup-write";
  submit.volume = "v";
  submit.object = "lists/été";
  submit.extent = {77, 1ull << 63};
  submit.offset = 5;
  submit.length = 3;
  submit.units = 6;
  submit.fingerprint = 99;
  submit.timeout = 1'500'000;
  return submit;
}

TEST(Wire, ASubmitDecodesAsEncoded) {
  std::string out;
  encode(out, sample_submit(), "abc");
  FrameDecoder decoder;
  const Frame frame = receive_frame(decoder, out);
  EXPECT_EQ(frame.type, FrameType::submit);
  Submit submit;
  decode(frame, submit);
  EXPECT_EQ(submit.id, sample_submit().id);
  EXPECT_EQ(submit.attempt, 2);
  EXPECT_EQ(submit.kind, IoKind::write);
  EXPECT_EQ(submit.idempotency, Idempotency::fingerprinted);
  EXPECT_EQ(submit.object, "lists/été");
  EXPECT_EQ(submit.extent, sample_submit().extent);
  EXPECT_EQ(submit.timeout, 1'500'000);
  EXPECT_EQ(frame.data, "abc");
}

TEST(Wire, ListsObjectsAndChangesDecodeAsEncoded) {
  List list{ListForm::delta,
            9,
            {{"n1", "127.0.0.1", "a", 80, 3, NodeState::draining, 1.5, 7, -1},
             {"n2", "::1", "b", 81, 4, NodeState::gone, 1, 8, 55}}};
  std::string out;
  encode(out, list);
  ChangeReply reply;
  reply.call_id = 4;
  reply.result = ChangeStatus::conflict;
  reply.current = {3, 10, {{{1, 2}, 6, 0, 1}, {{1, 3}, 4, 2, 2}}};
  reply.previous = {2, 0, {}};
  encode(out, reply);
  FrameDecoder decoder;
  List decoded_list;
  decode(receive_frame(decoder, out), decoded_list);
  ASSERT_EQ(decoded_list.entries.size(), 2u);
  EXPECT_EQ(decoded_list.entries[0].state, NodeState::draining);
  EXPECT_EQ(decoded_list.entries[1].uptime, 55);
  EXPECT_EQ(decoded_list.entries[0].share, 1.5);
  Frame frame{};
  ASSERT_TRUE(decoder.next(frame));
  ChangeReply decoded;
  decode(frame, decoded);
  ASSERT_EQ(decoded.current.extents.size(), 2u);
  EXPECT_EQ(decoded.current.extents[1].extent.serial, 3u);
  EXPECT_EQ(decoded.current.extents[0].home_shard, 1);
  EXPECT_EQ(decoded.previous.stamp, 2u);
  EXPECT_EQ(decode_object(encode_object(reply.current)).length, 10u);
}

TEST(Wire, FramesAreSplitCorrectlyForAnyChunking) {
  std::string out;
  for (int i = 0; i < 20; ++i) {
    Submit submit = sample_submit();
    submit.id = static_cast<std::uint64_t>(i);
    encode(out, submit, "abc");
  }
  std::mt19937 random(3);
  for (int round = 0; round < 50; ++round) {
    FrameDecoder decoder;
    std::uint64_t next = 0;
    for (std::size_t at = 0; at < out.size();) {
      const std::size_t n = std::min<std::size_t>(1 + random() % 200, out.size() - at);
      std::copy_n(out.data() + at, n, decoder.prepare(n).data());
      decoder.commit(n);
      at += n;
      Frame frame{};
      while (decoder.next(frame)) {
        Submit submit;
        decode(frame, submit);
        EXPECT_EQ(submit.id, next++);
      }
    }
    EXPECT_EQ(next, 20u);
    EXPECT_FALSE(decoder.has_partial_frame());
  }
}

// Returns the reason for which the bytes are refused, or an empty string.
std::string refusal(const std::string& bytes) {
  FrameDecoder decoder;
  std::copy(bytes.begin(), bytes.end(), decoder.prepare(bytes.size()).data());
  decoder.commit(bytes.size());
  Frame frame{};
  try {
    while (decoder.next(frame)) decode_any(frame);
  } catch (const MalformedFrame& error) {
    return error.what();
  }
  return "";
}

TEST(Wire, InvalidFramesAreRefusedAtTheFirstInvalidByte) {
  EXPECT_NE(refusal("G").find("does not start with YM"), std::string::npos);
  EXPECT_NE(refusal(std::string("YM\x03", 3)).find("version 3"), std::string::npos);
  EXPECT_NE(refusal(std::string("YM\x02\x40\0\0\0\0\0\0\0\0", 12)).find("unknown frame type 64"),
            std::string::npos);
  EXPECT_NE(refusal(std::string("YM\x02\x03\0\0\0\x01\x80\0\0\0", 12)).find("too long"), std::string::npos);
  std::string partial;
  encode(partial, sample_submit(), "abc");
  EXPECT_EQ(refusal(partial.substr(0, partial.size() - 1)), "") << "the rest may still arrive";
}

TEST(Wire, InvalidFieldsAreRefused) {
  std::string out;
  Submit submit = sample_submit();
  encode(out, submit, "ab");
  EXPECT_NE(refusal(out).find("other data than its length"), std::string::npos);
  out.clear();
  submit.units = 0;
  encode(out, submit, "abc");
  EXPECT_NE(refusal(out).find("out of range"), std::string::npos);
  out.clear();
  submit = sample_submit();
  const std::string long_name(2000, 'n');
  submit.volume = long_name;
  encode(out, submit, "abc");
  EXPECT_NE(refusal(out).find("too long"), std::string::npos);
  out.clear();
  encode(out, Cancel{1, 0});
  out[3] = static_cast<char>(FrameType::submit);
  EXPECT_NE(refusal(out).find("wrong number of fields"), std::string::npos);
}

// Randomly changed bytes are refused or decoded, without crashes. tools/fuzz runs the same function for
// longer.
TEST(Wire, RandomCorruptionIsRefusedOrDecoded) {
  std::mt19937 random(11);
  std::string valid;
  encode(valid, sample_submit(), "abc");
  encode(valid, List{ListForm::full, 3, {{"n", "127.0.0.1", "z", 1, 2, NodeState::ready, 1, 1, 1}}});
  LookupReply lookup_reply;
  lookup_reply.exists = true;
  lookup_reply.object = {1, 2, {{{1, 2}, 3, 4, 5}}};
  encode(valid, lookup_reply);
  int refused = 0;
  for (int round = 0; round < 20'000; ++round) {
    std::string bytes = valid;
    for (unsigned n = 1 + random() % 4; n > 0; --n)
      bytes[random() % bytes.size()] = static_cast<char>(random());
    if (random() % 3 == 0) bytes.resize(random() % bytes.size());
    refused += !refusal(bytes).empty();
  }
  EXPECT_GT(refused, 5000);
}

}  // namespace
}  // namespace yewmount::tests
