// RESP2 encoding and decoding for tests, independent of the head's own parser.
#pragma once
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace yewmount::tests {

using Words = std::vector<std::string>;

// Encodes the words as an array of bulk strings.
inline std::string array_of(const Words& words) {
  std::string out = "*" + std::to_string(words.size()) + "\r\n";
  for (const auto& w : words) out += "$" + std::to_string(w.size()) + "\r\n" + w + "\r\n";
  return out;
}

// Removes one array of bulk strings from the front of `in` and returns it; empty while it is incomplete.
// Throws std::runtime_error where the bytes are not RESP.
inline std::optional<Words> next_words(std::string& in) {
  std::size_t position = 0;
  const auto line = [&](char kind) -> std::optional<int> {
    const auto end = in.find("\r\n", position);
    if (end == std::string::npos) return {};
    if (in.at(position) != kind) throw std::runtime_error("not RESP: " + in.substr(position, 40));
    const int number = std::stoi(in.substr(position + 1, end - position - 1));
    position = end + 2;
    return number;
  };
  const auto count = line('*');
  if (!count) return {};
  Words words;
  for (int i = 0; i < *count; ++i) {
    const auto size = line('$');
    if (!size || in.size() < position + *size + 2) return {};
    words.push_back(in.substr(position, *size));
    position += *size + 2;
  }
  in.erase(0, position);
  return words;
}

// Removes one answer from the front of `in` and returns it as "$value", "-line" or "+line"; empty while it is
// incomplete.
inline std::optional<std::string> next_answer(std::string& in) {
  const auto end = in.find("\r\n");
  if (end == std::string::npos) return {};
  if (in[0] != '$') {
    std::string line = in.substr(0, end);
    in.erase(0, end + 2);
    return line;
  }
  const std::size_t size = std::stoul(in.substr(1, end - 1));
  if (in.size() < end + 2 + size + 2) return {};
  std::string value = "$" + in.substr(end + 2, size);
  in.erase(0, end + 2 + size + 2);
  return value;
}

}  // namespace yewmount::tests
