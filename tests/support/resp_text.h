// RESP2 as text for tests, read by other means than the head's own: whole words off the front of what came.
#pragma once
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

namespace yewmount::tests {

using Words = std::vector<std::string>;

inline std::string array_of(const Words& words) {
  std::string out = "*" + std::to_string(words.size()) + "\r\n";
  for (const auto& w : words) out += "$" + std::to_string(w.size()) + "\r\n" + w + "\r\n";
  return out;
}

// One array of bulk strings off the front of `in`, once it is there.
inline std::optional<Words> next_words(std::string& in) {
  std::size_t at = 0;
  const auto line = [&](char kind) -> std::optional<int> {
    const auto end = in.find("\r\n", at);
    if (end == std::string::npos) return {};
    if (in.at(at) != kind) throw std::runtime_error("not RESP: " + in.substr(at, 40));
    const int n = std::stoi(in.substr(at + 1, end - at - 1));
    at = end + 2;
    return n;
  };
  const auto count = line('*');
  if (!count) return {};
  Words words;
  for (int i = 0; i < *count; ++i) {
    const auto size = line('$');
    if (!size || in.size() < at + *size + 2) return {};
    words.push_back(in.substr(at, *size));
    at += *size + 2;
  }
  in.erase(0, at);
  return words;
}

// One answer off the front of what a client got: "$value", "-line" or "+line".
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
