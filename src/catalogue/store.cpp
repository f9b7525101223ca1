#include "catalogue/store.h"

#include <lmdb.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstring>
#include <filesystem>
#include <stdexcept>
#include <utility>

namespace yewmount::catalogue {
namespace {

constexpr std::size_t kMaxKeyBytes = 500;         // below LMDB's limit of 511
constexpr std::size_t kLongKeyPrefixBytes = 400;  // a longer key is this prefix and a hash of the whole key
constexpr std::size_t kFreedValueBytes = 8;
// Limits a page to about 40 bytes times this many extents: the connection is closed on a frame that is too
// long.
constexpr std::size_t kMaxExtentsPerPage = 8192;

struct DatabaseError : std::runtime_error {
  DatabaseError(const char* operation, int code)
      : std::runtime_error(std::string("catalogue: ") + operation + ": " + mdb_strerror(code)) {}
};

void check(const char* operation, int code) {
  if (code != MDB_SUCCESS) throw DatabaseError(operation, code);
}

std::string object_key(std::string_view volume, std::string_view name) {
  std::string key(volume);
  key += '\0';
  key += name;
  if (key.size() <= kMaxKeyBytes) return key;
  const XXH128_hash_t hash = XXH3_128bits(key.data(), key.size());
  key.resize(kLongKeyPrefixBytes);
  key += '\1';
  for (std::uint64_t half : {hash.high64, hash.low64})
    for (int i = 7; i >= 0; --i) key += static_cast<char>(half >> (8 * i));
  return key;
}

MDB_val to_mdb_val(std::string_view s) { return {s.size(), const_cast<char*>(s.data())}; }
std::string_view to_view(const MDB_val& v) { return {static_cast<const char*>(v.mv_data), v.mv_size}; }

// Encodes the full name and the object. The name is stored so that two long names whose keys have the same
// hash are not taken for each other.
std::string encode_record(std::string_view name, const wire::Object& object) {
  std::string out;
  const auto size = static_cast<std::uint32_t>(name.size());
  for (int i = 0; i < 4; ++i) out += static_cast<char>(size >> (8 * i));
  out += name;
  out += wire::encode_object(object);
  return out;
}

// Decodes a record. Returns false if it belongs to another name; an empty `name` matches any. Throws
// std::runtime_error if the record is truncated.
bool decode_record(std::string_view bytes, std::string_view name, wire::Object& object,
                   std::string* stored_name = nullptr) {
  std::uint32_t size = 0;
  if (bytes.size() < 4) throw std::runtime_error("catalogue: truncated object record");
  for (int i = 0; i < 4; ++i)
    size |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
  if (bytes.size() < 4 + size) throw std::runtime_error("catalogue: truncated object record");
  if (!name.empty() && bytes.substr(4, size) != name) return false;
  if (stored_name) *stored_name = bytes.substr(4, size);
  object = wire::decode_object(bytes.substr(4 + size));
  return true;
}

std::string extent_key(const wire::ExtentId& extent) {
  std::string key;
  for (std::uint64_t half : {extent.head, extent.serial})
    for (int i = 7; i >= 0; --i) key += static_cast<char>(half >> (8 * i));
  return key;
}

// An LMDB transaction, aborted on destruction unless it was committed.
class Transaction {
 public:
  Transaction(MDB_env* env, bool is_writable) {
    check("begin", mdb_txn_begin(env, nullptr, is_writable ? 0 : MDB_RDONLY, &txn_));
  }
  ~Transaction() {
    if (txn_) mdb_txn_abort(txn_);
  }
  operator MDB_txn*() const { return txn_; }
  int commit() { return mdb_txn_commit(std::exchange(txn_, nullptr)); }

 private:
  MDB_txn* txn_ = nullptr;
};

struct Cursor {
  MDB_cursor* handle = nullptr;
  Cursor(MDB_txn* txn, MDB_dbi dbi) { check("cursor", mdb_cursor_open(txn, dbi, &handle)); }
  ~Cursor() { mdb_cursor_close(handle); }
};

}  // namespace

struct Store::Database {
  MDB_env* env = nullptr;
  MDB_dbi objects = 0;
  MDB_dbi freed = 0;
  MDB_dbi counts = 0;
  ~Database() {
    if (env) mdb_env_close(env);
  }
};

Store::Store(const std::string& directory, std::size_t max_bytes) : database_(std::make_unique<Database>()) {
  std::error_code error;
  std::filesystem::create_directories(directory, error);
  if (error) throw std::runtime_error("catalogue: can't create " + directory + ": " + error.message());
  check("create", mdb_env_create(&database_->env));
  check("set size", mdb_env_set_mapsize(database_->env, max_bytes));
  check("set tables", mdb_env_set_maxdbs(database_->env, 3));
  check(("open " + directory).c_str(), mdb_env_open(database_->env, directory.c_str(), MDB_NOTLS, 0644));
  Transaction txn(database_->env, true);
  check("open objects", mdb_dbi_open(txn, "objects", MDB_CREATE, &database_->objects));
  check("open freed", mdb_dbi_open(txn, "freed", MDB_CREATE, &database_->freed));
  check("open counts", mdb_dbi_open(txn, "counts", MDB_CREATE, &database_->counts));
  check("commit", txn.commit());
}

Store::~Store() = default;

bool Store::find(std::string_view volume, std::string_view name, wire::Object& object) const {
  Transaction txn(database_->env, false);
  const std::string key = object_key(volume, name);
  MDB_val k = to_mdb_val(key);
  MDB_val v;
  const int code = mdb_get(txn, database_->objects, &k, &v);
  if (code == MDB_NOTFOUND) return false;
  check("read", code);
  return decode_record(to_view(v), name, object);
}

void Store::enqueue(const wire::ChangeRequest& change) {
  pending_changes_.push_back({change.kind, change.condition, change.stamp, std::string(change.volume),
                              std::string(change.name), change.object});
}

ChangeResult Store::apply(Database& database, void* transaction_handle, PendingChange& change) {
  auto* txn = static_cast<MDB_txn*>(transaction_handle);
  ChangeResult result;
  if (change.kind == wire::ChangeKind::extents_freed) {
    for (const wire::PlacedExtent& placed : change.object.extents) {
      const std::string key = extent_key(placed.extent);
      MDB_val k = to_mdb_val(key);
      const int code = mdb_del(txn, database.freed, &k, nullptr);
      if (code != MDB_NOTFOUND) check("free", code);
    }
    return result;
  }
  const std::string key = object_key(change.volume, change.name);
  MDB_val k = to_mdb_val(key);
  MDB_val v;
  const int code = mdb_get(txn, database.objects, &k, &v);
  if (code != MDB_NOTFOUND) check("read", code);
  const bool exists = code == MDB_SUCCESS;
  if (exists && !decode_record(to_view(v), change.name, result.previous)) {
    result.status = wire::ChangeStatus::conflict;
    return result;
  }
  const bool condition_holds =
      change.condition == wire::Condition::none || (change.condition == wire::Condition::absent && !exists) ||
      (change.condition == wire::Condition::present && exists) ||
      (change.condition == wire::Condition::stamp && exists && result.previous.stamp == change.stamp);
  if (!condition_holds || (change.kind == wire::ChangeKind::remove && !exists)) {
    result.status = exists || change.kind == wire::ChangeKind::put ? wire::ChangeStatus::conflict
                                                                   : wire::ChangeStatus::absent;
    return result;
  }
  for (const wire::PlacedExtent& placed : result.previous.extents) {
    const std::string extent = extent_key(placed.extent);
    std::string location;
    for (std::uint32_t half : {static_cast<std::uint32_t>(placed.shard), placed.length})
      for (int i = 0; i < 4; ++i) location += static_cast<char>(half >> (8 * i));
    MDB_val extent_val = to_mdb_val(extent);
    MDB_val location_val = to_mdb_val(location);
    check("note freed", mdb_put(txn, database.freed, &extent_val, &location_val, 0));
  }
  if (change.kind == wire::ChangeKind::remove) {
    check("drop", mdb_del(txn, database.objects, &k, nullptr));
    return result;
  }
  // The stamp counter is stored in the same transaction as the change, so that stamps never go back, not even
  // after a restart.
  MDB_val counter_key = to_mdb_val("stamp");
  MDB_val counter_val;
  std::uint64_t stamp = 0;
  const int counter_code = mdb_get(txn, database.counts, &counter_key, &counter_val);
  if (counter_code != MDB_NOTFOUND) check("read", counter_code);
  if (counter_code == MDB_SUCCESS && counter_val.mv_size == sizeof stamp)
    std::memcpy(&stamp, counter_val.mv_data, sizeof stamp);
  ++stamp;
  counter_val = {sizeof stamp, &stamp};
  check("count", mdb_put(txn, database.counts, &counter_key, &counter_val, 0));
  change.object.stamp = stamp;
  const std::string value = encode_record(change.name, change.object);
  v = to_mdb_val(value);
  check("write", mdb_put(txn, database.objects, &k, &v, 0));
  result.current = change.object;
  return result;
}

std::vector<ChangeResult> Store::commit(std::string& error) {
  std::vector<ChangeResult> results;
  error.clear();
  std::vector<PendingChange> changes = std::exchange(pending_changes_, {});
  try {
    Transaction txn(database_->env, true);
    for (PendingChange& change : changes)
      results.push_back(apply(*database_, static_cast<MDB_txn*>(txn), change));
    check("commit", txn.commit());
  } catch (const std::exception& e) {
    // The transaction was aborted (disk full, read-only or failing), so no change may be reported as done.
    error = e.what();
    ChangeResult unwritable;
    unwritable.status = wire::ChangeStatus::unwritable;
    results.assign(changes.size(), unwritable);
  }
  return results;
}

bool Store::scan(std::string_view volume, std::string_view name, int limit,
                 std::vector<wire::ScanReply::Entry>& entries) const {
  Transaction txn(database_->env, false);
  Cursor cursor(txn, database_->objects);
  const bool from_start = volume.empty() && name.empty();
  const std::string after = from_start ? std::string() : object_key(volume, name);
  std::size_t extents = 0;
  MDB_val k = to_mdb_val(after);
  MDB_val v;
  int code = mdb_cursor_get(cursor.handle, &k, &v, from_start ? MDB_FIRST : MDB_SET_RANGE);
  if (code == MDB_SUCCESS && !from_start && to_view(k) == after)
    code = mdb_cursor_get(cursor.handle, &k, &v, MDB_NEXT);
  for (; code == MDB_SUCCESS; code = mdb_cursor_get(cursor.handle, &k, &v, MDB_NEXT)) {
    if (static_cast<int>(entries.size()) >= limit || extents >= kMaxExtentsPerPage) return false;
    wire::ScanReply::Entry& entry = entries.emplace_back();
    const std::string_view key = to_view(k);
    entry.volume = key.substr(0, key.find('\0'));
    decode_record(to_view(v), {}, entry.object, &entry.name);
    extents += entry.object.extents.size();
  }
  if (code != MDB_NOTFOUND) check("scan", code);
  return true;
}

std::vector<Store::FreedExtent> Store::freed_extents(std::size_t limit) const {
  std::vector<FreedExtent> all;
  Transaction txn(database_->env, false);
  Cursor cursor(txn, database_->freed);
  MDB_val k;
  MDB_val v;
  while (all.size() < limit && mdb_cursor_get(cursor.handle, &k, &v, MDB_NEXT) == MDB_SUCCESS) {
    if (k.mv_size != 16 || v.mv_size != kFreedValueBytes) continue;
    const auto* key = static_cast<const unsigned char*>(k.mv_data);
    const auto* value = static_cast<const unsigned char*>(v.mv_data);
    FreedExtent freed{};
    for (int i = 0; i < 8; ++i) freed.extent.head = freed.extent.head << 8 | key[i];
    for (int i = 8; i < 16; ++i) freed.extent.serial = freed.extent.serial << 8 | key[i];
    std::uint32_t shard = 0;
    for (int i = 3; i >= 0; --i) {
      shard = shard << 8 | value[i];
      freed.length = freed.length << 8 | value[4 + i];
    }
    freed.shard = static_cast<int>(shard);
    all.push_back(freed);
  }
  return all;
}

Store::Statistics Store::statistics() const {
  Statistics statistics{};
  Transaction txn(database_->env, false);
  Cursor cursor(txn, database_->objects);
  MDB_val k;
  MDB_val v;
  while (mdb_cursor_get(cursor.handle, &k, &v, MDB_NEXT) == MDB_SUCCESS) {
    wire::Object object;
    decode_record(to_view(v), {}, object);
    ++statistics.objects;
    for (const wire::PlacedExtent& placed : object.extents)
      statistics.redirects += placed.shard != placed.home_shard;
  }
  MDB_stat stat;
  check("stat", mdb_stat(txn, database_->freed, &stat));
  statistics.freed_extents = stat.ms_entries;
  return statistics;
}

}  // namespace yewmount::catalogue
