#include "wire/wire.h"

#include <cmath>
#include <cstring>
#include <msgpack.hpp>

namespace yewmount::wire {
namespace {

constexpr std::size_t kMostTokens = 1 << 18;
constexpr int kMostDepth = 4;
constexpr std::size_t kPlacedFields = 6, kEntryFields = 9,
                      kWalkedFields = 5;  // values of one element of a flat array

struct Sink {
  std::string& out;
  void write(const char* bytes, std::size_t count) { out.append(bytes, count); }
};

void big(char* at, std::uint32_t v) {
  for (int i = 0; i < 4; ++i) at[i] = static_cast<char>(v >> (24 - 8 * i));
}
std::uint32_t big(const char* at) {
  std::uint32_t v = 0;
  for (int i = 0; i < 4; ++i) v = v << 8 | static_cast<unsigned char>(at[i]);
  return v;
}

// A frame under construction: the lengths are filled in once they are known.
class Packing {
 public:
  Packing(std::string& out, Type type, std::uint32_t fields)
      : out_(out), begin_(out.size()), sink_{out}, pack_(sink_) {
    out_.append({'Y', 'M', static_cast<char>(kVersion), static_cast<char>(type), 0, 0, 0, 0, 0, 0, 0, 0});
    pack_.pack_array(fields);
  }
  Packing(std::string& out, std::uint32_t fields) : out_(out), begin_(0), sink_{out}, pack_(sink_) {
    pack_.pack_array(fields);
  }
  Packing& operator<<(std::string_view s) {
    pack_.pack_str(static_cast<std::uint32_t>(s.size()));
    pack_.pack_str_body(s.data(), static_cast<std::uint32_t>(s.size()));
    return *this;
  }
  Packing& operator<<(double d) {
    pack_.pack_double(d);
    return *this;
  }
  Packing& operator<<(bool b) {
    b ? pack_.pack_true() : pack_.pack_false();
    return *this;
  }
  template <class T>
  requires(std::is_integral_v<T> && !std::is_same_v<T, bool>) Packing& operator<<(T v) {
    pack_.pack(v);
    return *this;
  }
  template <class T>
  requires std::is_enum_v<T> Packing& operator<<(T v) { return *this << static_cast<unsigned>(v); }
  Packing& operator<<(const ExtentId& e) { return *this << e.head << e.serial; }
  Packing& operator<<(const Load& l) {
    return *this << l.outstanding << l.backlog << l.utilization << l.recent;
  }
  Packing& operator<<(const Object& o) {
    *this << o.stamp << o.length;
    array(o.extents.size() * kPlacedFields);
    for (const Placed& p : o.extents) *this << p.extent << p.length << p.shard << p.home << p.sum;
    return *this;
  }
  void array(std::size_t count) { pack_.pack_array(static_cast<std::uint32_t>(count)); }
  void done(std::string_view data = {}) {
    const std::size_t meta = out_.size() - begin_ - kHeaderBytes;
    big(out_.data() + begin_ + 4, static_cast<std::uint32_t>(meta));
    big(out_.data() + begin_ + 8, static_cast<std::uint32_t>(data.size()));
    out_.append(data);
  }

 private:
  std::string& out_;
  std::size_t begin_;
  Sink sink_;
  msgpack::packer<Sink> pack_;
};

// What the library found, in order; kept for the next frame, so that decoding allocates nothing.
struct Token {
  enum What : std::uint8_t { whole, negative, real, truth, text, array } what;
  std::uint64_t number;
  double value;
  std::string_view view;
};

struct Tokens : msgpack::null_visitor {
  std::vector<Token> all;
  int depth = 0;
  bool too_much = false;
  bool add(Token t) {
    if (all.size() >= kMostTokens) return !(too_much = true);
    all.push_back(t);
    return true;
  }
  bool visit_boolean(bool b) { return add({Token::truth, b, 0, {}}); }
  bool visit_positive_integer(std::uint64_t v) { return add({Token::whole, v, 0, {}}); }
  bool visit_negative_integer(std::int64_t v) {
    return add({Token::negative, static_cast<std::uint64_t>(v), 0, {}});
  }
  bool visit_float32(float v) { return add({Token::real, 0, v, {}}); }
  bool visit_float64(double v) { return add({Token::real, 0, v, {}}); }
  bool visit_str(const char* v, std::uint32_t size) { return add({Token::text, 0, 0, {v, size}}); }
  bool visit_nil() { return false; }
  bool visit_bin(const char*, std::uint32_t) { return false; }
  bool visit_ext(const char*, std::uint32_t) { return false; }
  bool start_map(std::uint32_t) { return false; }
  bool start_array(std::uint32_t size) { return ++depth <= kMostDepth && add({Token::array, size, 0, {}}); }
  bool end_array() {
    --depth;
    return true;
  }
  void parse_error(std::size_t, std::size_t) {}
  void insufficient_bytes(std::size_t, std::size_t) {}
};

class Reading {
 public:
  Reading(std::string_view meta, const char* what, std::uint64_t fields) : what_(what) {
    tokens_.all.clear();
    tokens_.depth = 0;
    std::size_t used = 0;
    bool fine = false;
    try {
      fine = msgpack::parse(meta.data(), meta.size(), used, tokens_);
    } catch (const msgpack::unpack_error&) {
    }
    if (!fine || used != meta.size()) bad("is not whole msgpack of arrays, numbers and text");
    if (array() != fields) bad("has the wrong number of fields");
  }
  ~Reading() = default;
  void end() const {
    if (at_ != tokens_.all.size()) throw Malformed(std::string(what_) + ": too many values");
  }
  std::uint64_t array() {
    const Token& t = next();
    if (t.what != Token::array) bad("lacks an array");
    return t.number;
  }
  Reading& operator>>(std::string_view& v) {
    const Token& t = next();
    if (t.what != Token::text) bad("has something else in place of text");
    if (t.view.size() > kNameBytes) bad("has a text that is too long");
    v = t.view;
    return *this;
  }
  Reading& operator>>(std::string& v) {
    std::string_view view;
    *this >> view;
    v = view;
    return *this;
  }
  Reading& operator>>(double& v) {
    const Token& t = next();
    // The library packs a double without a fraction as a whole number.
    if (t.what == Token::whole)
      v = static_cast<double>(t.number);
    else if (t.what == Token::negative)
      v = static_cast<double>(static_cast<std::int64_t>(t.number));
    else if (t.what == Token::real && std::isfinite(t.value))
      v = t.value;
    else
      bad("has something else in place of a number");
    return *this;
  }
  Reading& operator>>(bool& v) {
    const Token& t = next();
    if (t.what != Token::truth) bad("has something else in place of true or false");
    v = t.number != 0;
    return *this;
  }
  template <class T>
  requires(std::is_integral_v<T> && !std::is_same_v<T, bool>) Reading& operator>>(T& v) {
    const Token& t = next();
    const bool fits = t.what == Token::whole      ? std::in_range<T>(t.number)
                      : t.what == Token::negative ? std::in_range<T>(static_cast<std::int64_t>(t.number))
                                                  : false;
    if (!fits) bad("has a number out of range");
    v = static_cast<T>(t.number);
    return *this;
  }
  template <class T>
  Reading& up_to(T& v, T last) {
    unsigned n = 0;
    *this >> n;
    if (n > static_cast<unsigned>(last)) bad("has an unknown word");
    v = static_cast<T>(n);
    return *this;
  }
  Reading& operator>>(ExtentId& e) { return *this >> e.head >> e.serial; }
  Reading& operator>>(Load& l) { return *this >> l.outstanding >> l.backlog >> l.utilization >> l.recent; }
  Reading& operator>>(Object& o) {
    *this >> o.stamp >> o.length;
    o.extents.resize(count(kPlacedFields));
    for (Placed& p : o.extents) *this >> p.extent >> p.length >> p.shard >> p.home >> p.sum;
    return *this;
  }
  // How many of so many fields each lie in the array that comes next.
  std::size_t count(std::size_t each) {
    const std::uint64_t values = array();
    if (values % each != 0 || values > tokens_.all.size()) bad("has an array of the wrong length");
    return static_cast<std::size_t>(values / each);
  }
  [[noreturn]] void bad(const char* why) const { throw Malformed(std::string(what_) + ' ' + why); }

 private:
  const Token& next() {
    if (at_ >= tokens_.all.size()) bad("ends too early");
    return tokens_.all[at_++];
  }
  static thread_local Tokens tokens_;
  const char* what_;
  std::size_t at_ = 0;
};
thread_local Tokens Reading::tokens_;

}  // namespace

void put(std::string& out, const Hello& m) {
  Packing p(out, Type::hello, 4);
  p << m.role << m.name << m.shard << m.start;
  p.done();
}
void get(const Frame& f, Hello& m) {
  Reading r(f.meta, "hello", 4);
  r.up_to(m.role, Role::catalogue) >> m.name >> m.shard >> m.start;
  r.end();
}

void put(std::string& out, const Submit& m, std::string_view data) {
  Packing p(out, Type::submit, 15);
  p << m.id << m.no << m.kind << m.repeat << m.group << m.volume << m.object << m.extent << m.offset
    << m.length << m.units << m.fingerprint << m.try_for << m.sum;
  p.done(data);
}
void get(const Frame& f, Submit& m) {
  Reading r(f.meta, "submit", 15);
  r >> m.id >> m.no;
  r.up_to(m.kind, Kind::discard).up_to(m.repeat, Repeat::side_effecting) >> m.group >> m.volume >> m.object >>
      m.extent >> m.offset >> m.length >> m.units >> m.fingerprint >> m.try_for >> m.sum;
  r.end();
  if (m.no < 0 || m.units < 1) r.bad("has a number out of range");
  if (m.kind == Kind::write && f.data.size() != m.length) r.bad("has other data than its length says");
  if (m.kind != Kind::write && !f.data.empty()) r.bad("has data though it writes nothing");
}

void put(std::string& out, const Answer& m, std::string_view data) {
  Packing p(out, Type::answer, 10);
  p << m.id << m.no << m.outcome << m.volume_use << m.from_others << m.load;
  p.array(m.sums.size());
  for (std::uint64_t sum : m.sums) p << sum;
  p.done(data);
}
void get(const Frame& f, Answer& m) {
  Reading r(f.meta, "answer", 10);
  r >> m.id >> m.no;
  r.up_to(m.outcome, Outcome::damaged) >> m.volume_use >> m.from_others >> m.load;
  m.sums.resize(r.count(1));
  for (std::uint64_t& sum : m.sums) r >> sum;
  r.end();
}

void put(std::string& out, const Cancel& m) {
  Packing p(out, Type::cancel, 2);
  p << m.id << m.no;
  p.done();
}
void get(const Frame& f, Cancel& m) {
  Reading r(f.meta, "cancel", 2);
  r >> m.id >> m.no;
  r.end();
}

void put(std::string& out, const Probe& m) {
  Packing p(out, Type::probe, 1);
  p << m.serial;
  p.done();
}
void get(const Frame& f, Probe& m) {
  Reading r(f.meta, "probe", 1);
  r >> m.serial;
  r.end();
}

void put(std::string& out, const Probed& m) {
  Packing p(out, Type::probed, 6);
  p << m.serial << m.outcome << m.load;
  p.done();
}
void get(const Frame& f, Probed& m) {
  Reading r(f.meta, "probed", 6);
  r >> m.serial;
  r.up_to(m.outcome, Outcome::missing) >> m.load;
  r.end();
}

void put(std::string& out, const AskList& m) {
  Packing p(out, Type::ask_list, 2);
  p << m.watch << m.since;
  p.done();
}
void get(const Frame& f, AskList& m) {
  Reading r(f.meta, "ask_list", 2);
  r >> m.watch >> m.since;
  r.end();
}

void put(std::string& out, const List& m) {
  Packing p(out, Type::list, 3);
  p << m.form << m.version;
  p.array(m.entries.size() * kEntryFields);
  for (const ListEntry& e : m.entries)
    p << std::string_view(e.name) << std::string_view(e.address) << std::string_view(e.zone) << e.port
      << e.shard << e.state << e.share << e.start << e.age;
  p.done();
}
void get(const Frame& f, List& m) {
  Reading r(f.meta, "list", 3);
  r.up_to(m.form, ListForm::failed) >> m.version;
  m.entries.resize(r.count(kEntryFields));
  for (ListEntry& e : m.entries) {
    r >> e.name >> e.address >> e.zone >> e.port >> e.shard;
    r.up_to(e.state, NodeState::draining) >> e.share >> e.start >> e.age;
    if (e.name.empty() || e.port < 0 || e.port > 65535) r.bad("has an entry without name or port");
  }
  r.end();
}

void put(std::string& out, const Look& m) {
  Packing p(out, Type::look, 3);
  p << m.call << m.volume << m.object;
  p.done();
}
void get(const Frame& f, Look& m) {
  Reading r(f.meta, "look", 3);
  r >> m.call >> m.volume >> m.object;
  r.end();
}

void put(std::string& out, const Found& m) {
  Packing p(out, Type::found, 5);
  p << m.call << m.there << m.object;
  p.done();
}
void get(const Frame& f, Found& m) {
  Reading r(f.meta, "found", 5);
  r >> m.call >> m.there >> m.object;
  r.end();
}

void put(std::string& out, const Walk& m) {
  Packing p(out, Type::walk, 4);
  p << m.call << m.volume << m.object << m.most;
  p.done();
}
void get(const Frame& f, Walk& m) {
  Reading r(f.meta, "walk", 4);
  r >> m.call >> m.volume >> m.object >> m.most;
  r.end();
  if (m.most < 1) r.bad("has a number out of range");
}

void put(std::string& out, const Walked& m) {
  Packing p(out, Type::walked, 3);
  p << m.call << m.end;
  p.array(m.entries.size() * kWalkedFields);
  for (const Walked::Entry& e : m.entries)
    p << std::string_view(e.volume) << std::string_view(e.name) << e.object;
  p.done();
}
void get(const Frame& f, Walked& m) {
  Reading r(f.meta, "walked", 3);
  r >> m.call >> m.end;
  m.entries.resize(r.count(kWalkedFields));
  for (Walked::Entry& e : m.entries) r >> e.volume >> e.name >> e.object;
  r.end();
}

void put(std::string& out, const Alter& m) {
  Packing p(out, Type::change, 9);
  p << m.call << m.change << m.condition << m.stamp << m.volume << m.name << m.object;
  p.done();
}
void get(const Frame& f, Alter& m) {
  Reading r(f.meta, "change", 9);
  r >> m.call;
  r.up_to(m.change, Change::freed).up_to(m.condition, Condition::stamp) >> m.stamp >> m.volume >> m.name >>
      m.object;
  r.end();
}

void put(std::string& out, const Altered& m) {
  Packing p(out, Type::changed, 8);
  p << m.call << m.changed << m.now << m.before;
  p.done();
}
void get(const Frame& f, Altered& m) {
  Reading r(f.meta, "changed", 8);
  r >> m.call;
  r.up_to(m.changed, Changed::unwritable) >> m.now >> m.before;
  r.end();
}

void put(std::string& out, const Fault& m) {
  Packing p(out, Type::fault, 1);
  p << m.reason.substr(0, kNameBytes);
  p.done();
}
void get(const Frame& f, Fault& m) {
  Reading r(f.meta, "fault", 1);
  r >> m.reason;
  r.end();
}

std::string pack(const Object& object) {
  std::string out;
  Packing p(out, 3);
  p << object;
  return out;
}
Object unpack(std::string_view bytes) {
  Object object;
  Reading r(bytes, "object", 3);
  r >> object;
  r.end();
  return object;
}

std::span<char> Inbox::room(std::size_t bytes) {
  if (taken_ > 0) {
    std::memmove(bytes_.data(), bytes_.data() + taken_, filled_ - taken_);
    filled_ -= taken_;
    taken_ = 0;
  }
  if (bytes_.size() < filled_ + bytes) bytes_.resize(std::max(filled_ + bytes, 2 * bytes_.size()));
  return {bytes_.data() + filled_, bytes_.size() - filled_};
}

bool Inbox::next(Frame& frame) {
  const std::size_t here = filled_ - taken_;
  const char* at = bytes_.data() + taken_;
  // What is wrong from its first bytes on is refused at once: a peer that speaks something else may never
  // send a whole header.
  if (here >= 1 && at[0] != 'Y') throw Malformed("not a frame: it does not start with YM");
  if (here >= 2 && at[1] != 'M') throw Malformed("not a frame: it does not start with YM");
  if (here >= 3 && static_cast<std::uint8_t>(at[2]) != kVersion)
    throw Malformed("version " + std::to_string(static_cast<std::uint8_t>(at[2])) + " is not spoken here, " +
                    std::to_string(kVersion) + " is");
  if (here < kHeaderBytes) return false;
  const auto type = static_cast<std::uint8_t>(at[3]);
  if (type < static_cast<int>(Type::hello) || type > static_cast<int>(Type::walked))
    throw Malformed("unknown frame type " + std::to_string(type));
  const std::size_t meta = big(at + 4), data = big(at + 8);
  if (meta > kMetaBytes || data > kDataBytes)
    throw Malformed("a frame of " + std::to_string(meta) + " and " + std::to_string(data) +
                    " bytes is too long");
  if (here < kHeaderBytes + meta + data) return false;
  frame = {static_cast<Type>(type), {at + kHeaderBytes, meta}, {at + kHeaderBytes + meta, data}};
  taken_ += kHeaderBytes + meta + data;
  return true;
}

}  // namespace yewmount::wire
