// Parser and writer of RESP2 commands and replies; no sockets and no state. The caller passes all bytes
// received so far and learns whether they hold a complete message. Lengths are checked as soon as their line
// is complete, so that oversized values are refused before they arrive.
#pragma once
#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace yewmount::resp {

inline constexpr std::size_t kMaxBodyBytes = 64 << 10;  // of a command's last word
inline constexpr int kMaxWords = 8;                     // words of a command, values of a reply
inline constexpr std::size_t kMaxLineBytes = 512;       // of any other word or value, and of a line

// partial: more bytes are needed.
enum class ParseStatus : std::uint8_t { complete, partial, malformed };

// A parsed command; its views point into the parsed bytes.
struct Command {
  std::array<std::string_view, kMaxWords> words;
  int count = 0;
  std::size_t bytes = 0;         // length of the command; if partial, the least that it can have
  bool is_length_known = false;  // whether `bytes` is the length of the whole command
  const char* why = "";          // reason if malformed
};

// Parses a command at the start of `bytes`. The last word may have kMaxBodyBytes, the others kMaxLineBytes.
ParseStatus parse(std::string_view bytes, Command& command);

// A parsed reply; its views point into the parsed bytes.
struct Reply {
  enum class Kind : std::uint8_t { status, error, bulk, nil, array } kind = Kind::nil;
  std::string_view text;                           // of a status, error or bulk string
  std::array<std::string_view, kMaxWords> values;  // of an array; a null value has a null data()
  int count = 0;
  std::size_t bytes = 0;  // length of the reply; if partial, the least that it can have
  const char* why = "";   // reason if malformed
};

// Parses a reply at the start of `bytes`. A bulk string and an array's first value may have
// `max_value_bytes`, other values kMaxLineBytes.
ParseStatus parse(std::string_view bytes, Reply& reply, std::size_t max_value_bytes);

// Append the header of an array of `words` values, and a bulk string.
void append_array_header(std::string& out, std::size_t words);
void append_bulk_string(std::string& out, std::string_view value);

}  // namespace yewmount::resp
