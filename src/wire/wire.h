// Frames between heads, storage nodes, the list service and the catalogue: codec only, no sockets.
// Byte by byte in docs/wire.md. Times are whole microseconds. What does not decode throws Malformed, whose
// text is one line fit for a log and for the peer.
#pragma once
#include <array>
#include <cstdint>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace yewmount::wire {

inline constexpr std::uint8_t kVersion = 2;
inline constexpr std::size_t kHeaderBytes = 12;
inline constexpr std::size_t kMetaBytes = 1 << 20;   // the longest meta part of a frame
inline constexpr std::size_t kDataBytes = 16 << 20;  // the longest data part of a frame
inline constexpr std::size_t kNameBytes = 1024;      // of a volume, object, node or head

struct Malformed : std::runtime_error {
  using std::runtime_error::runtime_error;
};

enum class Type : std::uint8_t {
  hello = 1,
  submit,
  answer,
  cancel,
  probe,
  probed,
  ask_list,
  list,
  look,
  found,
  change,
  changed,
  fault,
  walk,
  walked
};

struct Frame {  // views into the buffer that it was cut from
  Type type;
  std::string_view meta, data;
};

enum class Role : std::uint8_t { head, node, list, catalogue };
enum class Kind : std::uint8_t { read, write, discard };
enum class Repeat : std::uint8_t { idempotent, fingerprinted, side_effecting };
// missing: ended, nothing there. damaged: a write whose data came with another sum; surely not run.
enum class Outcome : std::uint8_t { ended, error, turned_away, missing, damaged };

struct ExtentId {  // unique for ever: the head's random number of its start, and a count
  std::uint64_t head = 0, serial = 0;
  bool operator==(const ExtentId&) const = default;
};

struct Hello {
  Role role = Role::head;
  std::string_view name;
  int shard = -1;           // of a node
  std::uint64_t start = 0;  // another one at each start of the process
};

struct Submit {
  std::uint64_t id = 0;
  int no = 0;  // among the submits of this block I/O, from 0
  Kind kind = Kind::read;
  Repeat repeat = Repeat::idempotent;
  std::string_view group, volume, object;
  ExtentId extent;
  std::uint32_t offset = 0, length = 0;  // bytes within the extent
  int units = 1;
  std::uint64_t fingerprint = 0;  // 0: none
  std::int64_t try_for = 0;       // until the head stops waiting
  std::uint64_t sum = 0;          // of a write: its whole extent's (src/sums)
};

// Values of a load report; negative: not told.
struct Load {
  double outstanding = -1, backlog = -1, utilization = -1;
  std::int64_t recent = -1;
};

struct Answer {
  std::uint64_t id = 0;
  int no = 0;
  Outcome outcome = Outcome::ended;
  int volume_use = 0, from_others = 0;
  Load load;
  std::vector<std::uint64_t> sums{};  // of a read: of each block of the whole extent
};

struct Cancel {
  std::uint64_t id = 0;
  int no = 0;
};

struct Probe {
  std::uint64_t serial = 0;
};

struct Probed {
  std::uint64_t serial = 0;
  Outcome outcome = Outcome::ended;
  Load load;
};

struct AskList {
  bool watch = false;
  std::uint64_t since = 0;  // the version that the head has; 0: none
};

enum class ListForm : std::uint8_t { full, delta, failed };
enum class NodeState : std::uint8_t { gone, ready, draining };

struct ListEntry {
  std::string name, address, zone;
  int port = 0, shard = -1;
  NodeState state = NodeState::ready;
  double share = 1;
  std::uint64_t start = 0;  // as in the node's hello
  std::int64_t age = -1;    // time since that start when the list was sent; -1: long ago
};

struct List {
  ListForm form = ListForm::full;
  std::uint64_t version = 0;
  std::vector<ListEntry> entries;
};

struct Placed {  // one extent of an object
  ExtentId extent;
  std::uint32_t length = 0;
  int shard = -1, home = -1;  // where it is; where the hash puts it. Unlike: a redirect
  std::uint64_t sum = 0;      // of all its data; 0: none is known
};

struct Object {
  std::uint64_t stamp = 0;  // of the change that made it; 0: there is none
  std::uint64_t length = 0;
  std::vector<Placed> extents;
};

struct Look {
  std::uint64_t call = 0;
  std::string_view volume, object;
};

struct Found {
  std::uint64_t call = 0;
  bool there = false;
  Object object;
};

enum class Change : std::uint8_t { put, drop, freed };
enum class Condition : std::uint8_t { none, absent, present, stamp };
enum class Changed : std::uint8_t { done, conflict, absent, unwritable };

struct Alter {
  std::uint64_t call = 0;
  Change change = Change::put;
  Condition condition = Condition::none;
  std::uint64_t stamp = 0;  // for Condition::stamp
  std::string_view volume, name;
  Object object;  // put: its extents; freed: extents that nodes no longer hold
};

struct Altered {
  std::uint64_t call = 0;
  Changed changed = Changed::done;
  Object now;     // after a put
  Object before;  // what it took the place of
};

struct Walk {  // the objects after one, in the catalogue's order; empty texts: from the first
  std::uint64_t call = 0;
  std::string_view volume, object;
  int most = 0;
};

struct Walked {
  struct Entry {
    std::string volume, name;
    Object object;
  };
  std::uint64_t call = 0;
  bool end = false;  // there are none after these
  std::vector<Entry> entries;
};

struct Fault {
  std::string_view reason;
};

// Each appends one whole frame.
void put(std::string& out, const Hello& m);
void put(std::string& out, const Submit& m, std::string_view data);
void put(std::string& out, const Answer& m, std::string_view data);
void put(std::string& out, const Cancel& m);
void put(std::string& out, const Probe& m);
void put(std::string& out, const Probed& m);
void put(std::string& out, const AskList& m);
void put(std::string& out, const List& m);
void put(std::string& out, const Look& m);
void put(std::string& out, const Found& m);
void put(std::string& out, const Alter& m);
void put(std::string& out, const Altered& m);
void put(std::string& out, const Walk& m);
void put(std::string& out, const Walked& m);
void put(std::string& out, const Fault& m);

// Each decodes the meta part of a frame of its type; views point into it.
void get(const Frame& f, Hello& m);
void get(const Frame& f, Submit& m);
void get(const Frame& f, Answer& m);
void get(const Frame& f, Cancel& m);
void get(const Frame& f, Probe& m);
void get(const Frame& f, Probed& m);
void get(const Frame& f, AskList& m);
void get(const Frame& f, List& m);
void get(const Frame& f, Look& m);
void get(const Frame& f, Found& m);
void get(const Frame& f, Alter& m);
void get(const Frame& f, Altered& m);
void get(const Frame& f, Walk& m);
void get(const Frame& f, Walked& m);
void get(const Frame& f, Fault& m);

// An object alone, as the catalogue stores it.
std::string pack(const Object& object);
Object unpack(std::string_view bytes);

// Bytes as they come in, cut into frames.
class Inbox {
 public:
  // Room for at least so many bytes more; what next() gave out before is no longer good.
  std::span<char> room(std::size_t bytes);
  void came(std::size_t bytes) { filled_ += bytes; }
  bool next(Frame& frame);  // false: no whole frame yet
  bool half() const { return filled_ > taken_; }

 private:
  std::string bytes_;
  std::size_t taken_ = 0, filled_ = 0;
};

}  // namespace yewmount::wire
