// Codec of the frames between heads, storage nodes, the list service and the catalogue; no sockets.
// docs/wire.md specifies the format byte by byte. Times are whole microseconds. Decoding throws
// MalformedFrame, whose message is one line that may be logged and sent to the peer.
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
inline constexpr std::size_t kMaxMetaBytes = 1 << 20;   // of the meta part of a frame
inline constexpr std::size_t kMaxDataBytes = 16 << 20;  // of the data part of a frame
inline constexpr std::size_t kMaxTextBytes = 1024;      // of a text field, e.g. a node's name

// The received bytes are not a valid frame.
struct MalformedFrame : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The numbers are part of the wire format, as are those of the other enums.
enum class FrameType : std::uint8_t {
  hello = 1,
  submit,
  answer,
  cancel,
  probe,
  probe_reply,
  list_request,
  list,
  lookup,
  lookup_reply,
  change,
  change_reply,
  fault,
  scan,
  scan_reply
};

// A received frame; its views point into the decoder's buffer.
struct Frame {
  FrameType type;
  std::string_view meta;
  std::string_view data;
};

// The kind of process at one end of a connection.
enum class Role : std::uint8_t { head, node, list, catalogue };
enum class IoKind : std::uint8_t { read, write, discard };
// Whether a block I/O may be executed more than once; fingerprinted: the node detects repeats by the
// fingerprint.
enum class Idempotency : std::uint8_t { idempotent, fingerprinted, side_effecting };
// The result of a submit at its node.
enum class Outcome : std::uint8_t {
  completed,
  error,
  rejected,          // not executed
  not_found,         // completed, but the extent does not exist
  checksum_mismatch  // the data of a write does not match its checksum; not executed
};

// Identifies an extent; never reused.
struct ExtentId {
  std::uint64_t head = 0;    // random id that the creating head drew at its start
  std::uint64_t serial = 0;  // counts the extents that the head created
  bool operator==(const ExtentId&) const = default;
};

// The first frame of each side of a connection.
struct Hello {
  Role role = Role::head;
  std::string_view name;
  int shard = -1;                 // of a node; -1: none
  std::uint64_t incarnation = 0;  // differs between starts of the process
};

// One attempt of a block I/O at one node.
struct Submit {
  std::uint64_t id = 0;
  int attempt = 0;  // numbers the submits of the block I/O from 0
  IoKind kind = IoKind::read;
  Idempotency idempotency = Idempotency::idempotent;
  std::string_view group;
  std::string_view volume;
  std::string_view object;
  ExtentId extent;
  std::uint32_t offset = 0;  // bytes from the start of the extent
  std::uint32_t length = 0;  // bytes
  int units = 1;
  std::uint64_t fingerprint = 0;  // 0: none
  std::int64_t timeout = 0;       // time until the head stops waiting
  std::uint64_t checksum = 0;     // of the whole extent (src/sums), for a write; 0: none
};

// Load of a node; negative values: not reported.
struct Load {
  double outstanding = -1;  // block I/Os queued or running
  double backlog = -1;      // block I/Os queued
  double utilization = -1;
  std::int64_t recent_latency = -1;
};

// The reply to a submit.
struct Answer {
  std::uint64_t id = 0;
  int attempt = 0;
  Outcome outcome = Outcome::completed;
  int volume_use = 0;   // 1 + the volume's load in percent of its plan's nominal load; 0: not reported
  int from_others = 0;  // load that other heads put on the volume since the last answer
  Load load;
  std::vector<std::uint64_t> block_checksums{};  // of a read: of each block of the whole extent
};

// Tells the node that the head no longer waits for a submit.
struct Cancel {
  std::uint64_t id = 0;
  int attempt = 0;
};

// Asks a node whether it can serve; answered by a ProbeReply with the same serial.
struct Probe {
  std::uint64_t serial = 0;
};

struct ProbeReply {
  std::uint64_t serial = 0;
  Outcome outcome = Outcome::completed;
  Load load;
};

// Requests the node list.
struct ListRequest {
  bool watch = false;       // whether to send later changes too
  std::uint64_t since = 0;  // the version that the head has; 0: none
};

// full: all nodes. delta: the changes since the requested version. failed: no list is available.
enum class ListForm : std::uint8_t { full, delta, failed };
enum class NodeState : std::uint8_t { gone, ready, draining };

// One node of the list.
struct ListEntry {
  std::string name;
  std::string address;
  std::string zone;
  int port = 0;
  int shard = -1;
  NodeState state = NodeState::ready;
  double share = 1;
  std::uint64_t incarnation = 0;  // as in the node's hello
  std::int64_t uptime = -1;       // since the node's start, when the list was sent; -1: long ago
};

// The reply to a ListRequest.
struct List {
  ListForm form = ListForm::full;
  std::uint64_t version = 0;
  std::vector<ListEntry> entries;
};

// One extent of an object.
struct PlacedExtent {
  ExtentId extent;
  std::uint32_t length = 0;
  int shard = -1;              // holds the extent
  int home_shard = -1;         // chosen by the hash; the extent is a redirect if the two differ
  std::uint64_t checksum = 0;  // of all its data; 0: unknown
};

struct Object {
  std::uint64_t stamp = 0;   // version: number of the change that created it; 0: the object does not exist
  std::uint64_t length = 0;  // bytes
  std::vector<PlacedExtent> extents;
};

// Looks an object up in the catalogue.
struct Lookup {
  std::uint64_t call_id = 0;
  std::string_view volume;
  std::string_view object;
};

// The reply to a Lookup.
struct LookupReply {
  std::uint64_t call_id = 0;
  bool exists = false;
  Object object;
};

// extents_freed: nodes have deleted extents that no object refers to.
enum class ChangeKind : std::uint8_t { put, remove, extents_freed };
// What must hold for the object before a change; stamp: it has the given stamp.
enum class Condition : std::uint8_t { none, absent, present, stamp };
enum class ChangeStatus : std::uint8_t { done, conflict, absent, unwritable };

// Changes the catalogue.
struct ChangeRequest {
  std::uint64_t call_id = 0;
  ChangeKind kind = ChangeKind::put;
  Condition condition = Condition::none;
  std::uint64_t stamp = 0;  // for Condition::stamp
  std::string_view volume;
  std::string_view name;
  Object object;  // put: the new object; extents_freed: the deleted extents
};

// The reply to a ChangeRequest.
struct ChangeReply {
  std::uint64_t call_id = 0;
  ChangeStatus result = ChangeStatus::done;
  Object current;   // after a put
  Object previous;  // replaced or removed by the change
};

// Requests a page of the objects that follow the given one in the catalogue's order; empty texts: from the
// first.
struct Scan {
  std::uint64_t call_id = 0;
  std::string_view volume;
  std::string_view object;
  int max_entries = 0;
};

// The reply to a Scan.
struct ScanReply {
  struct Entry {
    std::string volume;
    std::string name;
    Object object;
  };
  std::uint64_t call_id = 0;
  bool at_end = false;  // no objects follow
  std::vector<Entry> entries;
};

// Reports malformed input to the peer; the sender closes the connection after it.
struct Fault {
  std::string_view reason;
};

// Appends one complete frame to `out`.
void encode(std::string& out, const Hello& message);
void encode(std::string& out, const Submit& message, std::string_view data);
void encode(std::string& out, const Answer& message, std::string_view data);
void encode(std::string& out, const Cancel& message);
void encode(std::string& out, const Probe& message);
void encode(std::string& out, const ProbeReply& message);
void encode(std::string& out, const ListRequest& message);
void encode(std::string& out, const List& message);
void encode(std::string& out, const Lookup& message);
void encode(std::string& out, const LookupReply& message);
void encode(std::string& out, const ChangeRequest& message);
void encode(std::string& out, const ChangeReply& message);
void encode(std::string& out, const Scan& message);
void encode(std::string& out, const ScanReply& message);
void encode(std::string& out, const Fault& message);

// Decodes the meta part of a frame of the message's type; views in the message point into the frame. Throws
// MalformedFrame.
void decode(const Frame& frame, Hello& message);
void decode(const Frame& frame, Submit& message);
void decode(const Frame& frame, Answer& message);
void decode(const Frame& frame, Cancel& message);
void decode(const Frame& frame, Probe& message);
void decode(const Frame& frame, ProbeReply& message);
void decode(const Frame& frame, ListRequest& message);
void decode(const Frame& frame, List& message);
void decode(const Frame& frame, Lookup& message);
void decode(const Frame& frame, LookupReply& message);
void decode(const Frame& frame, ChangeRequest& message);
void decode(const Frame& frame, ChangeReply& message);
void decode(const Frame& frame, Scan& message);
void decode(const Frame& frame, ScanReply& message);
void decode(const Frame& frame, Fault& message);

// Encodes and decodes an object alone, as the catalogue stores it. Decoding throws MalformedFrame.
std::string encode_object(const Object& object);
Object decode_object(std::string_view bytes);

// Splits received bytes into frames.
class FrameDecoder {
 public:
  // Returns space for at least `bytes` more bytes; invalidates the frames that next() has returned.
  std::span<char> prepare(std::size_t bytes);
  // Records that `bytes` bytes have been received into the prepared space.
  void commit(std::size_t bytes) { filled_ += bytes; }
  // Extracts the next frame; returns false if none is complete. Throws MalformedFrame.
  bool next(Frame& frame);
  bool has_partial_frame() const { return filled_ > consumed_; }
  // Frees memory beyond `keep` bytes if no part of a frame is left; invalidates the frames that next() has
  // returned.
  void trim(std::size_t keep);

 private:
  std::string bytes_;
  std::size_t consumed_ = 0;  // end of the bytes that next() has returned
  std::size_t filled_ = 0;    // end of the received bytes
};

}  // namespace yewmount::wire
