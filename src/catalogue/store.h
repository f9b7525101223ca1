// Where extents live, on disk (LMDB): objects by volume and name, and the extents that no object names any
// more but nodes still hold. Changes are gathered and made durable together; none is told before it is.
#pragma once
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "wire/wire.h"

namespace yewmount::catalogue {

struct Outcome {
  wire::ChangeResult changed = wire::ChangeResult::done;
  wire::Object now, before;
};

class Store {
 public:
  // Throws std::runtime_error with one line. most_bytes: what the file may grow to.
  Store(const std::string& folder, std::size_t most_bytes);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  bool look(std::string_view volume, std::string_view name, wire::Object& object) const;

  // All or none of what one commit() makes durable is found after a crash. Within it changes apply in order.
  void gather(const wire::ChangeRequest& change);
  std::size_t gathered() const { return changes_.size(); }
  // One outcome for each gathered change; all unwritable where the disk did not take them.
  std::vector<Outcome> commit(std::string& why);

  // The objects after one in the order of their keys, so many at most; true: there are no more. Both empty:
  // from the first.
  bool walk(std::string_view volume, std::string_view name, int most,
            std::vector<wire::ScanReply::Entry>& out) const;
  struct Freed {
    wire::ExtentId extent;
    int shard;
    std::uint32_t length;
  };
  std::vector<Freed> freed(std::size_t most) const;
  struct Size {
    std::uint64_t objects, redirects, freed;
  };
  Size size() const;  // walks all objects

 private:
  struct Change {
    wire::ChangeKind what;
    wire::Condition condition;
    std::uint64_t stamp;
    std::string volume, name;
    wire::Object object;
  };
  struct Disk;
  Outcome apply(Disk& disk, void* txn, Change& change);
  std::unique_ptr<Disk> disk_;
  std::vector<Change> changes_;
};

}  // namespace yewmount::catalogue
