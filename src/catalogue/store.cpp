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

constexpr std::size_t kKeyBytes = 500;   // LMDB takes 511
constexpr std::size_t kKeptBytes = 400;  // of a longer name; the rest is its hash
constexpr std::size_t kFreedValue = 8;
// Of one answer to a walk, at some 40 bytes each: a frame that is too long would cost the connection.
constexpr std::size_t kMostWalkedExtents = 8192;

struct Failed : std::runtime_error {
  Failed(const char* what, int code)
      : std::runtime_error(std::string("catalogue: ") + what + ": " + mdb_strerror(code)) {}
};

void must(const char* what, int code) {
  if (code != MDB_SUCCESS) throw Failed(what, code);
}

std::string key_of(std::string_view volume, std::string_view name) {
  std::string key(volume);
  key += '\0';
  key += name;
  if (key.size() <= kKeyBytes) return key;
  const XXH128_hash_t hash = XXH3_128bits(key.data(), key.size());
  key.resize(kKeptBytes);
  key += '\1';
  for (std::uint64_t half : {hash.high64, hash.low64})
    for (int i = 7; i >= 0; --i) key += static_cast<char>(half >> (8 * i));
  return key;
}

MDB_val val(std::string_view s) { return {s.size(), const_cast<char*>(s.data())}; }
std::string_view view(const MDB_val& v) { return {static_cast<const char*>(v.mv_data), v.mv_size}; }

// The whole name goes with the object: two long names with one hash must not pass for each other.
std::string value_of(std::string_view name, const wire::Object& object) {
  std::string out;
  const auto size = static_cast<std::uint32_t>(name.size());
  for (int i = 0; i < 4; ++i) out += static_cast<char>(size >> (8 * i));
  out += name;
  out += wire::encode_object(object);
  return out;
}

bool read_value(std::string_view bytes, std::string_view name, wire::Object& object,
                std::string* whole_name = nullptr) {
  std::uint32_t size = 0;
  if (bytes.size() < 4) throw std::runtime_error("catalogue: an entry is cut short");
  for (int i = 0; i < 4; ++i)
    size |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
  if (bytes.size() < 4 + size) throw std::runtime_error("catalogue: an entry is cut short");
  if (!name.empty() && bytes.substr(4, size) != name) return false;
  if (whole_name) *whole_name = bytes.substr(4, size);
  object = wire::decode_object(bytes.substr(4 + size));
  return true;
}

std::string extent_key(const wire::ExtentId& e) {
  std::string key;
  for (std::uint64_t half : {e.head, e.serial})
    for (int i = 7; i >= 0; --i) key += static_cast<char>(half >> (8 * i));
  return key;
}

class Txn {
 public:
  Txn(MDB_env* env, bool writes) {
    must("begin", mdb_txn_begin(env, nullptr, writes ? 0 : MDB_RDONLY, &txn_));
  }
  ~Txn() {
    if (txn_) mdb_txn_abort(txn_);
  }
  operator MDB_txn*() const { return txn_; }
  int commit() { return mdb_txn_commit(std::exchange(txn_, nullptr)); }

 private:
  MDB_txn* txn_ = nullptr;
};

struct Cursor {
  MDB_cursor* at = nullptr;
  Cursor(MDB_txn* txn, MDB_dbi dbi) { must("cursor", mdb_cursor_open(txn, dbi, &at)); }
  ~Cursor() { mdb_cursor_close(at); }
};

}  // namespace

struct Store::Disk {
  MDB_env* env = nullptr;
  MDB_dbi objects = 0, freed = 0, counts = 0;
  ~Disk() {
    if (env) mdb_env_close(env);
  }
};

Store::Store(const std::string& folder, std::size_t most_bytes) : disk_(std::make_unique<Disk>()) {
  std::error_code error;
  std::filesystem::create_directories(folder, error);
  if (error) throw std::runtime_error("catalogue: can't create " + folder + ": " + error.message());
  must("create", mdb_env_create(&disk_->env));
  must("set size", mdb_env_set_mapsize(disk_->env, most_bytes));
  must("set tables", mdb_env_set_maxdbs(disk_->env, 3));
  must(("open " + folder).c_str(), mdb_env_open(disk_->env, folder.c_str(), MDB_NOTLS, 0644));
  Txn txn(disk_->env, true);
  must("open objects", mdb_dbi_open(txn, "objects", MDB_CREATE, &disk_->objects));
  must("open freed", mdb_dbi_open(txn, "freed", MDB_CREATE, &disk_->freed));
  must("open counts", mdb_dbi_open(txn, "counts", MDB_CREATE, &disk_->counts));
  must("commit", txn.commit());
}

Store::~Store() = default;

bool Store::look(std::string_view volume, std::string_view name, wire::Object& object) const {
  Txn txn(disk_->env, false);
  const std::string key = key_of(volume, name);
  MDB_val k = val(key), v;
  const int code = mdb_get(txn, disk_->objects, &k, &v);
  if (code == MDB_NOTFOUND) return false;
  must("read", code);
  return read_value(view(v), name, object);
}

void Store::gather(const wire::ChangeRequest& c) {
  changes_.push_back({c.kind, c.condition, c.stamp, std::string(c.volume), std::string(c.name), c.object});
}

Outcome Store::apply(Disk& disk, void* handle, Change& c) {
  auto* txn = static_cast<MDB_txn*>(handle);
  Outcome out;
  if (c.what == wire::ChangeKind::extents_freed) {
    for (const wire::PlacedExtent& p : c.object.extents) {
      const std::string key = extent_key(p.extent);
      MDB_val k = val(key);
      const int code = mdb_del(txn, disk.freed, &k, nullptr);
      if (code != MDB_NOTFOUND) must("free", code);
    }
    return out;
  }
  const std::string key = key_of(c.volume, c.name);
  MDB_val k = val(key), v;
  const int code = mdb_get(txn, disk.objects, &k, &v);
  if (code != MDB_NOTFOUND) must("read", code);
  const bool there = code == MDB_SUCCESS;
  if (there && !read_value(view(v), c.name, out.before)) {
    out.changed = wire::ChangeResult::conflict;
    return out;
  }
  const bool fits = c.condition == wire::Condition::none ||
                    (c.condition == wire::Condition::absent && !there) ||
                    (c.condition == wire::Condition::present && there) ||
                    (c.condition == wire::Condition::stamp && there && out.before.stamp == c.stamp);
  if (!fits || (c.what == wire::ChangeKind::remove && !there)) {
    out.changed =
        there || c.what == wire::ChangeKind::put ? wire::ChangeResult::conflict : wire::ChangeResult::absent;
    return out;
  }
  for (const wire::PlacedExtent& p : out.before.extents) {
    const std::string extent = extent_key(p.extent);
    std::string where;
    for (std::uint32_t half : {static_cast<std::uint32_t>(p.shard), p.length})
      for (int i = 0; i < 4; ++i) where += static_cast<char>(half >> (8 * i));
    MDB_val ek = val(extent), ev = val(where);
    must("note freed", mdb_put(txn, disk.freed, &ek, &ev, 0));
  }
  if (c.what == wire::ChangeKind::remove) {
    must("drop", mdb_del(txn, disk.objects, &k, nullptr));
    return out;
  }
  // Stamps never return to an older one, over restarts too: each is counted up on disk with its change.
  MDB_val ck = val("stamp"), cv;
  std::uint64_t stamp = 0;
  const int counted = mdb_get(txn, disk.counts, &ck, &cv);
  if (counted != MDB_NOTFOUND) must("read", counted);
  if (counted == MDB_SUCCESS && cv.mv_size == sizeof stamp) std::memcpy(&stamp, cv.mv_data, sizeof stamp);
  ++stamp;
  cv = {sizeof stamp, &stamp};
  must("count", mdb_put(txn, disk.counts, &ck, &cv, 0));
  c.object.stamp = stamp;
  const std::string value = value_of(c.name, c.object);
  v = val(value);
  must("write", mdb_put(txn, disk.objects, &k, &v, 0));
  out.now = c.object;
  return out;
}

std::vector<Outcome> Store::commit(std::string& why) {
  std::vector<Outcome> outcomes;
  why.clear();
  std::vector<Change> changes = std::exchange(changes_, {});
  try {
    Txn txn(disk_->env, true);
    for (Change& c : changes) outcomes.push_back(apply(*disk_, static_cast<MDB_txn*>(txn), c));
    must("commit", txn.commit());
  } catch (const std::exception& e) {
    // Guards against an answer for what the disk did not take: full, read-only or failing, all are undone.
    why = e.what();
    Outcome none;
    none.changed = wire::ChangeResult::unwritable;
    outcomes.assign(changes.size(), none);
  }
  return outcomes;
}

bool Store::walk(std::string_view volume, std::string_view name, int most,
                 std::vector<wire::ScanReply::Entry>& out) const {
  Txn txn(disk_->env, false);
  Cursor cursor(txn, disk_->objects);
  const bool first = volume.empty() && name.empty();
  const std::string after = first ? std::string() : key_of(volume, name);
  std::size_t extents = 0;
  MDB_val k = val(after), v;
  int code = mdb_cursor_get(cursor.at, &k, &v, first ? MDB_FIRST : MDB_SET_RANGE);
  if (code == MDB_SUCCESS && !first && view(k) == after) code = mdb_cursor_get(cursor.at, &k, &v, MDB_NEXT);
  for (; code == MDB_SUCCESS; code = mdb_cursor_get(cursor.at, &k, &v, MDB_NEXT)) {
    if (static_cast<int>(out.size()) >= most || extents >= kMostWalkedExtents) return false;
    wire::ScanReply::Entry& e = out.emplace_back();
    const std::string_view key = view(k);
    e.volume = key.substr(0, key.find('\0'));
    read_value(view(v), {}, e.object, &e.name);
    extents += e.object.extents.size();
  }
  if (code != MDB_NOTFOUND) must("walk", code);
  return true;
}

std::vector<Store::Freed> Store::freed(std::size_t most) const {
  std::vector<Freed> all;
  Txn txn(disk_->env, false);
  Cursor cursor(txn, disk_->freed);
  MDB_val k, v;
  while (all.size() < most && mdb_cursor_get(cursor.at, &k, &v, MDB_NEXT) == MDB_SUCCESS) {
    if (k.mv_size != 16 || v.mv_size != kFreedValue) continue;
    const auto* key = static_cast<const unsigned char*>(k.mv_data);
    const auto* at = static_cast<const unsigned char*>(v.mv_data);
    Freed f{};
    for (int i = 0; i < 8; ++i) f.extent.head = f.extent.head << 8 | key[i];
    for (int i = 8; i < 16; ++i) f.extent.serial = f.extent.serial << 8 | key[i];
    std::uint32_t shard = 0;
    for (int i = 3; i >= 0; --i) shard = shard << 8 | at[i], f.length = f.length << 8 | at[4 + i];
    f.shard = static_cast<int>(shard);
    all.push_back(f);
  }
  return all;
}

Store::Size Store::size() const {
  Size size{};
  Txn txn(disk_->env, false);
  Cursor cursor(txn, disk_->objects);
  MDB_val k, v;
  while (mdb_cursor_get(cursor.at, &k, &v, MDB_NEXT) == MDB_SUCCESS) {
    wire::Object object;
    read_value(view(v), {}, object);
    ++size.objects;
    for (const wire::PlacedExtent& p : object.extents) size.redirects += p.shard != p.home_shard;
  }
  MDB_stat stat;
  must("stat", mdb_stat(txn, disk_->freed, &stat));
  size.freed = stat.ms_entries;
  return size;
}

}  // namespace yewmount::catalogue
