// The memory of all buffers of a process, accounted by capacity against one limit. Buffers are charged for
// what they hold; whoever wants to hold more asks for room first and decides what to do without it: wait,
// refuse, or make room.
#pragma once
#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace yewmount::memory {

// What the memory is used for.
enum class Use : std::uint8_t {
  client_input,   // commands that clients have sent in part, or that wait behind others
  commands,       // of requests without a final answer, and their records
  answers,        // that wait for their turn or for their client to read
  client_output,  // answers that the sockets of clients have not accepted
  node_output,    // commands that the sockets of nodes have not accepted
  node_input      // replies that nodes have sent in part
};
inline constexpr std::size_t kUseCount = 6;
// The names of Use in the log, by value.
inline constexpr std::array<std::string_view, kUseCount> kUseNames = {
    "client_input",           "active_commands",      "waiting_answers",
    "client_output_capacity", "node_output_capacity", "incomplete_replies"};

class Budget {
 public:
  explicit Budget(std::size_t limit_bytes) : limit_(limit_bytes) {}
  Budget(const Budget&) = delete;
  Budget& operator=(const Budget&) = delete;

  std::size_t limit() const { return limit_; }
  std::size_t used() const { return used_; }
  std::size_t used(Use use) const { return used_by_[static_cast<std::size_t>(use)]; }
  std::size_t peak() const { return peak_; }  // the largest used() so far
  // The most bytes that a use may hold, so that none takes all. Answers and client output share one part, as
  // do commands and node output.
  std::size_t share(Use use) const;
  // Bytes that a use may still take: of its share and of the limit.
  std::size_t room(Use use) const;

 private:
  friend class Charge;
  void change(Use use, std::size_t from, std::size_t to);

  const std::size_t limit_;
  std::size_t used_ = 0;
  std::size_t peak_ = 0;
  std::array<std::size_t, kUseCount> used_by_{};
};

// What one owner holds of a budget; given back when it is destroyed. The budget must outlive it.
class Charge {
 public:
  Charge() = default;  // of no budget
  Charge(Budget& budget, Use use) : budget_(&budget), use_(use) {}
  Charge(Budget& budget, Use use, std::size_t bytes) : Charge(budget, use) { set(bytes); }
  Charge(Charge&& other) noexcept;
  Charge& operator=(Charge&& other) noexcept;
  ~Charge() { set(0); }
  // Sets the bytes held. Always succeeds, even above the limit.
  void set(std::size_t bytes);
  std::size_t bytes() const { return bytes_; }

 private:
  Budget* budget_ = nullptr;
  Use use_ = Use::client_input;
  std::size_t bytes_ = 0;
};

}  // namespace yewmount::memory
