#include "wire/wire.h"

#include <cmath>
#include <cstring>
#include <msgpack.hpp>

namespace yewmount::wire {
namespace {

constexpr std::size_t kMaxTokens = 1 << 18;
constexpr int kMaxArrayDepth = 4;
// Values of one element of a flat array.
constexpr std::size_t kPlacedExtentFields = 6;
constexpr std::size_t kListEntryFields = 9;
constexpr std::size_t kScanEntryFields = 5;

// Lets the msgpack library append to a string.
struct StringSink {
  std::string& out;
  void write(const char* bytes, std::size_t count) { out.append(bytes, count); }
};

void store_big_endian(char* to, std::uint32_t value) {
  for (int i = 0; i < 4; ++i) to[i] = static_cast<char>(value >> (24 - 8 * i));
}
std::uint32_t load_big_endian(const char* from) {
  std::uint32_t value = 0;
  for (int i = 0; i < 4; ++i) value = value << 8 | static_cast<unsigned char>(from[i]);
  return value;
}

// Encodes one frame, or one object without a header; finish() fills in the frame's lengths.
class Encoder {
 public:
  Encoder(std::string& out, FrameType type, std::uint32_t fields)
      : out_(out), begin_(out.size()), sink_{out}, pack_(sink_) {
    out_.append({'Y', 'M', static_cast<char>(kVersion), static_cast<char>(type), 0, 0, 0, 0, 0, 0, 0, 0});
    pack_.pack_array(fields);
  }
  Encoder(std::string& out, std::uint32_t fields) : out_(out), begin_(0), sink_{out}, pack_(sink_) {
    pack_.pack_array(fields);
  }
  Encoder& operator<<(std::string_view text) {
    pack_.pack_str(static_cast<std::uint32_t>(text.size()));
    pack_.pack_str_body(text.data(), static_cast<std::uint32_t>(text.size()));
    return *this;
  }
  Encoder& operator<<(double value) {
    pack_.pack_double(value);
    return *this;
  }
  Encoder& operator<<(bool value) {
    value ? pack_.pack_true() : pack_.pack_false();
    return *this;
  }
  template <class T>
  requires(std::is_integral_v<T> && !std::is_same_v<T, bool>) Encoder& operator<<(T value) {
    pack_.pack(value);
    return *this;
  }
  template <class T>
  requires std::is_enum_v<T> Encoder& operator<<(T value) { return *this << static_cast<unsigned>(value); }
  Encoder& operator<<(const ExtentId& id) { return *this << id.head << id.serial; }
  Encoder& operator<<(const Load& load) {
    return *this << load.outstanding << load.backlog << load.utilization << load.recent_latency;
  }
  Encoder& operator<<(const Object& object) {
    *this << object.stamp << object.length;
    begin_array(object.extents.size() * kPlacedExtentFields);
    for (const PlacedExtent& p : object.extents)
      *this << p.extent << p.length << p.shard << p.home_shard << p.checksum;
    return *this;
  }
  void begin_array(std::size_t count) { pack_.pack_array(static_cast<std::uint32_t>(count)); }
  void finish(std::string_view data = {}) {
    const std::size_t meta = out_.size() - begin_ - kHeaderBytes;
    store_big_endian(out_.data() + begin_ + 4, static_cast<std::uint32_t>(meta));
    store_big_endian(out_.data() + begin_ + 8, static_cast<std::uint32_t>(data.size()));
    out_.append(data);
  }

 private:
  std::string& out_;
  std::size_t begin_;
  StringSink sink_;
  msgpack::packer<StringSink> pack_;
};

// A value of a msgpack document, or the start of an array.
struct Token {
  enum Kind : std::uint8_t { unsigned_integer, negative_integer, real, boolean, text, array } kind;
  std::uint64_t number;
  double value;
  std::string_view view;
};

// Collects the tokens of a document in order; refuses maps, nil, binary and extension types.
struct TokenCollector : msgpack::null_visitor {
  std::vector<Token> all;
  int depth = 0;
  bool too_many = false;
  bool add(Token token) {
    if (all.size() >= kMaxTokens) return !(too_many = true);
    all.push_back(token);
    return true;
  }
  bool visit_boolean(bool b) { return add({Token::boolean, b, 0, {}}); }
  bool visit_positive_integer(std::uint64_t v) { return add({Token::unsigned_integer, v, 0, {}}); }
  bool visit_negative_integer(std::int64_t v) {
    return add({Token::negative_integer, static_cast<std::uint64_t>(v), 0, {}});
  }
  bool visit_float32(float v) { return add({Token::real, 0, v, {}}); }
  bool visit_float64(double v) { return add({Token::real, 0, v, {}}); }
  bool visit_str(const char* v, std::uint32_t size) { return add({Token::text, 0, 0, {v, size}}); }
  bool visit_nil() { return false; }
  bool visit_bin(const char*, std::uint32_t) { return false; }
  bool visit_ext(const char*, std::uint32_t) { return false; }
  bool start_map(std::uint32_t) { return false; }
  bool start_array(std::uint32_t size) {
    return ++depth <= kMaxArrayDepth && add({Token::array, size, 0, {}});
  }
  bool end_array() {
    --depth;
    return true;
  }
  void parse_error(std::size_t, std::size_t) {}
  void insufficient_bytes(std::size_t, std::size_t) {}
};

// Reads the fields of one frame's meta part, or of an object, in order.
class Decoder {
 public:
  Decoder(std::string_view meta, const char* description, std::uint64_t fields) : description_(description) {
    tokens_.all.clear();
    tokens_.depth = 0;
    std::size_t used = 0;
    bool parsed = false;
    try {
      parsed = msgpack::parse(meta.data(), meta.size(), used, tokens_);
    } catch (const msgpack::unpack_error&) {
    }
    if (!parsed || used != meta.size()) fail("is not whole msgpack of arrays, numbers and text");
    if (array_size() != fields) fail("has the wrong number of fields");
  }
  ~Decoder() = default;
  void expect_end() const {
    if (next_ != tokens_.all.size()) throw MalformedFrame(std::string(description_) + ": too many values");
  }
  std::uint64_t array_size() {
    const Token& token = next();
    if (token.kind != Token::array) fail("lacks an array");
    return token.number;
  }
  Decoder& operator>>(std::string_view& v) {
    const Token& token = next();
    if (token.kind != Token::text) fail("has something else in place of text");
    if (token.view.size() > kMaxTextBytes) fail("has a text that is too long");
    v = token.view;
    return *this;
  }
  Decoder& operator>>(std::string& v) {
    std::string_view view;
    *this >> view;
    v = view;
    return *this;
  }
  Decoder& operator>>(double& v) {
    const Token& token = next();
    // The library encodes a double without a fractional part as an integer.
    if (token.kind == Token::unsigned_integer)
      v = static_cast<double>(token.number);
    else if (token.kind == Token::negative_integer)
      v = static_cast<double>(static_cast<std::int64_t>(token.number));
    else if (token.kind == Token::real && std::isfinite(token.value))
      v = token.value;
    else
      fail("has something else in place of a number");
    return *this;
  }
  Decoder& operator>>(bool& v) {
    const Token& token = next();
    if (token.kind != Token::boolean) fail("has something else in place of true or false");
    v = token.number != 0;
    return *this;
  }
  template <class T>
  requires(std::is_integral_v<T> && !std::is_same_v<T, bool>) Decoder& operator>>(T& v) {
    const Token& token = next();
    const bool fits = token.kind == Token::unsigned_integer ? std::in_range<T>(token.number)
                      : token.kind == Token::negative_integer
                          ? std::in_range<T>(static_cast<std::int64_t>(token.number))
                          : false;
    if (!fits) fail("has a number out of range");
    v = static_cast<T>(token.number);
    return *this;
  }
  template <class T>
  Decoder& enumeration(T& value, T last) {
    unsigned number = 0;
    *this >> number;
    if (number > static_cast<unsigned>(last)) fail("has an unknown word");
    value = static_cast<T>(number);
    return *this;
  }
  Decoder& operator>>(ExtentId& id) { return *this >> id.head >> id.serial; }
  Decoder& operator>>(Load& load) {
    return *this >> load.outstanding >> load.backlog >> load.utilization >> load.recent_latency;
  }
  Decoder& operator>>(Object& object) {
    *this >> object.stamp >> object.length;
    object.extents.resize(element_count(kPlacedExtentFields));
    for (PlacedExtent& p : object.extents)
      *this >> p.extent >> p.length >> p.shard >> p.home_shard >> p.checksum;
    return *this;
  }
  // Reads the start of a flat array and returns its number of elements of `fields` values each.
  std::size_t element_count(std::size_t fields) {
    const std::uint64_t values = array_size();
    if (values % fields != 0 || values > tokens_.all.size()) fail("has an array of the wrong length");
    return static_cast<std::size_t>(values / fields);
  }
  [[noreturn]] void fail(const char* why) const {
    throw MalformedFrame(std::string(description_) + ' ' + why);
  }

 private:
  const Token& next() {
    if (next_ >= tokens_.all.size()) fail("ends too early");
    return tokens_.all[next_++];
  }
  // Kept between frames, so that decoding does not allocate.
  static thread_local TokenCollector tokens_;
  const char* description_;
  std::size_t next_ = 0;
};
thread_local TokenCollector Decoder::tokens_;

}  // namespace

void encode(std::string& out, const Hello& message) {
  Encoder encoder(out, FrameType::hello, 4);
  encoder << message.role << message.name << message.shard << message.incarnation;
  encoder.finish();
}
void decode(const Frame& frame, Hello& message) {
  Decoder decoder(frame.meta, "hello", 4);
  decoder.enumeration(message.role, Role::catalogue) >> message.name >> message.shard >> message.incarnation;
  decoder.expect_end();
}

void encode(std::string& out, const Submit& message, std::string_view data) {
  Encoder encoder(out, FrameType::submit, 15);
  encoder << message.id << message.attempt << message.kind << message.idempotency << message.group
          << message.volume << message.object << message.extent << message.offset << message.length
          << message.units << message.fingerprint << message.timeout << message.checksum;
  encoder.finish(data);
}
void decode(const Frame& frame, Submit& message) {
  Decoder decoder(frame.meta, "submit", 15);
  decoder >> message.id >> message.attempt;
  decoder.enumeration(message.kind, IoKind::discard)
          .enumeration(message.idempotency, Idempotency::side_effecting) >>
      message.group >> message.volume >> message.object >> message.extent >> message.offset >>
      message.length >> message.units >> message.fingerprint >> message.timeout >> message.checksum;
  decoder.expect_end();
  if (message.attempt < 0 || message.units < 1) decoder.fail("has a number out of range");
  if (message.kind == IoKind::write && frame.data.size() != message.length)
    decoder.fail("has other data than its length says");
  if (message.kind != IoKind::write && !frame.data.empty()) decoder.fail("has data though it writes nothing");
}

void encode(std::string& out, const Answer& message, std::string_view data) {
  Encoder encoder(out, FrameType::answer, 10);
  encoder << message.id << message.attempt << message.outcome << message.volume_use << message.from_others
          << message.load;
  encoder.begin_array(message.block_checksums.size());
  for (std::uint64_t checksum : message.block_checksums) encoder << checksum;
  encoder.finish(data);
}
void decode(const Frame& frame, Answer& message) {
  Decoder decoder(frame.meta, "answer", 10);
  decoder >> message.id >> message.attempt;
  decoder.enumeration(message.outcome, Outcome::checksum_mismatch) >> message.volume_use >>
      message.from_others >> message.load;
  message.block_checksums.resize(decoder.element_count(1));
  for (std::uint64_t& checksum : message.block_checksums) decoder >> checksum;
  decoder.expect_end();
}

void encode(std::string& out, const Cancel& message) {
  Encoder encoder(out, FrameType::cancel, 2);
  encoder << message.id << message.attempt;
  encoder.finish();
}
void decode(const Frame& frame, Cancel& message) {
  Decoder decoder(frame.meta, "cancel", 2);
  decoder >> message.id >> message.attempt;
  decoder.expect_end();
}

void encode(std::string& out, const Probe& message) {
  Encoder encoder(out, FrameType::probe, 1);
  encoder << message.serial;
  encoder.finish();
}
void decode(const Frame& frame, Probe& message) {
  Decoder decoder(frame.meta, "probe", 1);
  decoder >> message.serial;
  decoder.expect_end();
}

void encode(std::string& out, const ProbeReply& message) {
  Encoder encoder(out, FrameType::probe_reply, 6);
  encoder << message.serial << message.outcome << message.load;
  encoder.finish();
}
void decode(const Frame& frame, ProbeReply& message) {
  Decoder decoder(frame.meta, "probed", 6);
  decoder >> message.serial;
  decoder.enumeration(message.outcome, Outcome::not_found) >> message.load;
  decoder.expect_end();
}

void encode(std::string& out, const ListRequest& message) {
  Encoder encoder(out, FrameType::list_request, 2);
  encoder << message.watch << message.since;
  encoder.finish();
}
void decode(const Frame& frame, ListRequest& message) {
  Decoder decoder(frame.meta, "ask_list", 2);
  decoder >> message.watch >> message.since;
  decoder.expect_end();
}

void encode(std::string& out, const List& message) {
  Encoder encoder(out, FrameType::list, 3);
  encoder << message.form << message.version;
  encoder.begin_array(message.entries.size() * kListEntryFields);
  for (const ListEntry& e : message.entries)
    encoder << std::string_view(e.name) << std::string_view(e.address) << std::string_view(e.zone) << e.port
            << e.shard << e.state << e.share << e.incarnation << e.uptime;
  encoder.finish();
}
void decode(const Frame& frame, List& message) {
  Decoder decoder(frame.meta, "list", 3);
  decoder.enumeration(message.form, ListForm::failed) >> message.version;
  message.entries.resize(decoder.element_count(kListEntryFields));
  for (ListEntry& e : message.entries) {
    decoder >> e.name >> e.address >> e.zone >> e.port >> e.shard;
    decoder.enumeration(e.state, NodeState::draining) >> e.share >> e.incarnation >> e.uptime;
    if (e.name.empty() || e.port < 0 || e.port > 65535) decoder.fail("has an entry without name or port");
  }
  decoder.expect_end();
}

void encode(std::string& out, const Lookup& message) {
  Encoder encoder(out, FrameType::lookup, 3);
  encoder << message.call_id << message.volume << message.object;
  encoder.finish();
}
void decode(const Frame& frame, Lookup& message) {
  Decoder decoder(frame.meta, "look", 3);
  decoder >> message.call_id >> message.volume >> message.object;
  decoder.expect_end();
}

void encode(std::string& out, const LookupReply& message) {
  Encoder encoder(out, FrameType::lookup_reply, 5);
  encoder << message.call_id << message.exists << message.object;
  encoder.finish();
}
void decode(const Frame& frame, LookupReply& message) {
  Decoder decoder(frame.meta, "found", 5);
  decoder >> message.call_id >> message.exists >> message.object;
  decoder.expect_end();
}

void encode(std::string& out, const Scan& message) {
  Encoder encoder(out, FrameType::scan, 4);
  encoder << message.call_id << message.volume << message.object << message.max_entries;
  encoder.finish();
}
void decode(const Frame& frame, Scan& message) {
  Decoder decoder(frame.meta, "walk", 4);
  decoder >> message.call_id >> message.volume >> message.object >> message.max_entries;
  decoder.expect_end();
  if (message.max_entries < 1) decoder.fail("has a number out of range");
}

void encode(std::string& out, const ScanReply& message) {
  Encoder encoder(out, FrameType::scan_reply, 3);
  encoder << message.call_id << message.at_end;
  encoder.begin_array(message.entries.size() * kScanEntryFields);
  for (const ScanReply::Entry& e : message.entries)
    encoder << std::string_view(e.volume) << std::string_view(e.name) << e.object;
  encoder.finish();
}
void decode(const Frame& frame, ScanReply& message) {
  Decoder decoder(frame.meta, "walked", 3);
  decoder >> message.call_id >> message.at_end;
  message.entries.resize(decoder.element_count(kScanEntryFields));
  for (ScanReply::Entry& e : message.entries) decoder >> e.volume >> e.name >> e.object;
  decoder.expect_end();
}

void encode(std::string& out, const ChangeRequest& message) {
  Encoder encoder(out, FrameType::change, 9);
  encoder << message.call_id << message.kind << message.condition << message.stamp << message.volume
          << message.name << message.object;
  encoder.finish();
}
void decode(const Frame& frame, ChangeRequest& message) {
  Decoder decoder(frame.meta, "change", 9);
  decoder >> message.call_id;
  decoder.enumeration(message.kind, ChangeKind::extents_freed)
          .enumeration(message.condition, Condition::stamp) >>
      message.stamp >> message.volume >> message.name >> message.object;
  decoder.expect_end();
}

void encode(std::string& out, const ChangeReply& message) {
  Encoder encoder(out, FrameType::change_reply, 8);
  encoder << message.call_id << message.result << message.current << message.previous;
  encoder.finish();
}
void decode(const Frame& frame, ChangeReply& message) {
  Decoder decoder(frame.meta, "changed", 8);
  decoder >> message.call_id;
  decoder.enumeration(message.result, ChangeStatus::unwritable) >> message.current >> message.previous;
  decoder.expect_end();
}

void encode(std::string& out, const Fault& message) {
  Encoder encoder(out, FrameType::fault, 1);
  encoder << message.reason.substr(0, kMaxTextBytes);
  encoder.finish();
}
void decode(const Frame& frame, Fault& message) {
  Decoder decoder(frame.meta, "fault", 1);
  decoder >> message.reason;
  decoder.expect_end();
}

std::string encode_object(const Object& object) {
  std::string out;
  Encoder encoder(out, 3);
  encoder << object;
  return out;
}
Object decode_object(std::string_view bytes) {
  Object object;
  Decoder decoder(bytes, "object", 3);
  decoder >> object;
  decoder.expect_end();
  return object;
}

std::span<char> FrameDecoder::prepare(std::size_t bytes) {
  if (consumed_ > 0) {
    std::memmove(bytes_.data(), bytes_.data() + consumed_, filled_ - consumed_);
    filled_ -= consumed_;
    consumed_ = 0;
  }
  if (bytes_.size() < filled_ + bytes) bytes_.resize(std::max(filled_ + bytes, 2 * bytes_.size()));
  return {bytes_.data() + filled_, bytes_.size() - filled_};
}

void FrameDecoder::trim(std::size_t keep) {
  if (has_partial_frame() || bytes_.size() <= keep) return;
  std::string().swap(bytes_);
  consumed_ = filled_ = 0;
}

bool FrameDecoder::next(Frame& frame) {
  const std::size_t available = filled_ - consumed_;
  const char* at = bytes_.data() + consumed_;
  // Checks each header byte as soon as it is there: a peer of another protocol may never send a complete
  // header.
  if (available >= 1 && at[0] != 'Y') throw MalformedFrame("not a frame: it does not start with YM");
  if (available >= 2 && at[1] != 'M') throw MalformedFrame("not a frame: it does not start with YM");
  if (available >= 3 && static_cast<std::uint8_t>(at[2]) != kVersion)
    throw MalformedFrame("version " + std::to_string(static_cast<std::uint8_t>(at[2])) +
                         " is not spoken here, " + std::to_string(kVersion) + " is");
  if (available < kHeaderBytes) return false;
  const auto type = static_cast<std::uint8_t>(at[3]);
  if (type < static_cast<int>(FrameType::hello) || type > static_cast<int>(FrameType::scan_reply))
    throw MalformedFrame("unknown frame type " + std::to_string(type));
  const std::size_t meta = load_big_endian(at + 4);
  const std::size_t data = load_big_endian(at + 8);
  if (meta > kMaxMetaBytes || data > kMaxDataBytes)
    throw MalformedFrame("a frame of " + std::to_string(meta) + " and " + std::to_string(data) +
                         " bytes is too long");
  if (available < kHeaderBytes + meta + data) return false;
  frame = {static_cast<FrameType>(type), {at + kHeaderBytes, meta}, {at + kHeaderBytes + meta, data}};
  consumed_ += kHeaderBytes + meta + data;
  return true;
}

}  // namespace yewmount::wire
