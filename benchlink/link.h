// The adapter between the bench's wire (JSON lines) and the decision module: it decodes into calls and
// encodes what the module asks for. It decides nothing.
#pragma once
#include <iosfwd>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "provision/provision.h"
#include "rules.h"

namespace yewmount::benchlink {

using provision::BadInput;
using provision::NameTable;

// One head as the wire sees it: its module, its own tables of names, its lines of the reply.
class Seat : public Surroundings {
 public:
  explicit Seat(std::string inst);
  void power_on(const nlohmann::json& fields, Micros now);
  void stop();
  void event(const std::string& name, const nlohmann::json& fields, Micros now,
             const std::map<int, nlohmann::json>& manifests);
  void settle(Micros now);
  std::string take_reply() { return std::exchange(reply_, {}); }

  void submit(std::uint64_t id, int node, Micros try_for) override;
  void shed(std::uint64_t id, Micros come_back_after, GiveUp) override;
  void fail(std::uint64_t id, GiveUp) override;
  void cancel(std::uint64_t id, int submit) override;
  void wake(std::uint64_t token, Micros from_now) override;
  void fetch_list() override;
  void watch_list() override;
  void probe(int node) override;
  void note(std::string_view text) override;

 private:
  void dispatch(const std::string& name, const nlohmann::json& fields,
                const std::map<int, nlohmann::json>& manifests);
  void ask(const nlohmann::json& fields);
  void targets(const nlohmann::json& fields, const std::map<int, nlohmann::json>& manifests);
  LoadReport report(const nlohmann::json& fields) const;
  template <class Call>
  void guarded(Call call);
  void say(std::string_view action, nlohmann::json fields);

  std::string inst_;
  std::string reply_;
  std::unique_ptr<Head> head_;
  NameTable nodes_, volumes_, zones_;
  provision::PlatformSettings given_;
};

class Link {
 public:
  // Reads batches until the end of input; throws BadInput on what it cannot take.
  void run(std::istream& in, std::ostream& out);

 private:
  void line(const std::string& text, std::ostream& out);
  std::map<std::string, Seat> seats_;
  std::vector<Seat*> touched_;
  std::map<int, nlohmann::json> manifests_;
  Micros now_ = 0;
  bool in_batch_ = false;
};

}  // namespace yewmount::benchlink
