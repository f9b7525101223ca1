// RESP2 without sockets: commands and answers cut out of bytes, and written. Nothing is kept here: a caller
// hands in what has come so far and is told whether it is whole. A length is judged as soon as its line is
// there, so what is too long is known before any of it has come.
#pragma once
#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace yewmount::resp {

inline constexpr std::size_t kMostBody = 64 << 10;  // bytes of a command's last word
inline constexpr int kMostWords = 8;                // of a command, and values of an answer
inline constexpr std::size_t kMostLine = 512;       // of any other word or value, and of a line

enum class Cut : std::uint8_t { whole, partial, malformed };

struct Command {  // views into the bytes that it was cut from
  std::array<std::string_view, kMostWords> words;
  int count = 0;
  std::size_t bytes = 0;  // of it, where whole
  const char* why = "";   // where malformed
};

// All words but the last are held to a line's length: only a body may be long.
Cut cut(std::string_view bytes, Command& command);

struct Reply {
  enum class Kind : std::uint8_t { status, error, bulk, nil, array } kind = Kind::nil;
  std::string_view text;                            // of a status, error or bulk string
  std::array<std::string_view, kMostWords> values;  // of an array; a null has no data()
  int count = 0;
  std::size_t bytes = 0;
  const char* why = "";
};

// The first value holds `most` bytes at most; those beside it a line's.
Cut cut(std::string_view bytes, Reply& reply, std::size_t most);

void put_count(std::string& out, std::size_t words);
void put_bulk(std::string& out, std::string_view value);

}  // namespace yewmount::resp
