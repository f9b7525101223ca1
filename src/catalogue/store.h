// Persistent object metadata (LMDB). Maps a volume and object name to the extents that hold the data, and
// records the extents that no object references any more but that storage nodes still hold. Changes are
// batched: each batch is one transaction, and its results are returned only once it is durable.
#pragma once
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "wire/wire.h"

namespace yewmount::catalogue {

// The result of one change. `current` is the object after a put, `previous` the one it replaced or dropped.
struct ChangeResult {
  wire::ChangeStatus status = wire::ChangeStatus::done;
  wire::Object current;
  wire::Object previous;
};

class Store {
 public:
  // Opens or creates the database in `directory`. max_bytes limits the size of the database file. Throws
  // std::runtime_error with a one-line message.
  Store(const std::string& directory, std::size_t max_bytes);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // Reads an object as of the last commit. Returns false if it does not exist.
  bool find(std::string_view volume, std::string_view name, wire::Object& object) const;

  // Adds a change to the next commit. Changes of one commit apply in order, and after a crash either all or
  // none of them are present.
  void enqueue(const wire::ChangeRequest& change);
  std::size_t pending_count() const { return pending_changes_.size(); }
  // Writes all pending changes in one transaction and returns one result for each. If the transaction fails,
  // every result is `unwritable` and `error` holds the reason; otherwise `error` is empty.
  std::vector<ChangeResult> commit(std::string& error);

  // Appends up to `limit` objects that follow the given one in key order; an empty volume and name start at
  // the first object. Returns true if no objects remain after these.
  bool scan(std::string_view volume, std::string_view name, int limit,
            std::vector<wire::ScanReply::Entry>& entries) const;
  // An extent that no object references but that a node still holds.
  struct FreedExtent {
    wire::ExtentId extent;
    int shard;
    std::uint32_t length;
  };
  // Returns up to `limit` freed extents.
  std::vector<FreedExtent> freed_extents(std::size_t limit) const;
  struct Statistics {
    std::uint64_t objects;
    std::uint64_t redirects;  // extents stored on another shard than their hash selects
    std::uint64_t freed_extents;
  };
  // Counts by reading every object.
  Statistics statistics() const;

 private:
  struct PendingChange {
    wire::ChangeKind kind;
    wire::Condition condition;
    std::uint64_t stamp;
    std::string volume;
    std::string name;
    wire::Object object;
  };
  struct Database;
  ChangeResult apply(Database& database, void* transaction_handle, PendingChange& change);
  std::unique_ptr<Database> database_;
  std::vector<PendingChange> pending_changes_;
};

}  // namespace yewmount::catalogue
