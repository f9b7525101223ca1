#include "resp/resp.h"

#include <charconv>

namespace yewmount::resp {
namespace {

constexpr std::size_t kMostDigits = 10;  // of a length, its sign included

// Reads on in bytes that may end anywhere.
struct Reader {
  std::string_view bytes;
  std::size_t at = 0;

  bool done() const { return at >= bytes.size(); }

  // Up to the line's end, which is CR LF; `most` bytes without it.
  Cut line(std::string_view& text, std::size_t most) {
    const std::string_view rest = bytes.substr(at);
    const std::size_t end = rest.substr(0, most + 1).find('\r');
    if (rest.substr(0, std::min(end, most)).find('\n') != std::string_view::npos) return Cut::malformed;
    if (end == std::string_view::npos) return rest.size() > most ? Cut::malformed : Cut::partial;
    if (end + 1 >= rest.size()) return Cut::partial;
    if (rest[end + 1] != '\n') return Cut::malformed;
    text = rest.substr(0, end);
    at += end + 2;
    return Cut::whole;
  }

  Cut length(long& value) {
    std::string_view text;
    if (const Cut c = line(text, kMostDigits); c != Cut::whole) return c;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() ? Cut::whole : Cut::malformed;
  }

  // After its '$'. A null has no data().
  Cut bulk(std::string_view& value, std::size_t most, bool may_be_null) {
    long size = 0;
    if (const Cut c = length(size); c != Cut::whole) return c;
    if (size == -1 && may_be_null) {
      value = {};
      return Cut::whole;
    }
    if (size < 0 || static_cast<std::size_t>(size) > most) return Cut::malformed;
    const std::size_t n = static_cast<std::size_t>(size);
    if (bytes.size() - at > n && bytes[at + n] != '\r') return Cut::malformed;
    if (bytes.size() - at < n + 2) return Cut::partial;
    if (bytes[at + n + 1] != '\n') return Cut::malformed;
    value = bytes.substr(at, n);
    at += n + 2;
    return Cut::whole;
  }
};

}  // namespace

Cut cut(std::string_view bytes, Command& command) {
  Reader r{bytes};
  command.count = 0;
  if (r.done()) return Cut::partial;
  command.why = "a command is an array of bulk strings";
  if (bytes[r.at++] != '*') return Cut::malformed;
  long words = 0;
  if (const Cut c = r.length(words); c != Cut::whole) return c;
  if (words < 1 || words > kMostWords) return Cut::malformed;
  for (long i = 0; i < words; ++i) {
    if (r.done()) return Cut::partial;
    if (bytes[r.at++] != '$') return Cut::malformed;
    const bool last = i + 1 == words;
    const Cut c = r.bulk(command.words[i], last ? kMostBody : kMostLine, false);
    if (c == Cut::malformed) command.why = "a length or a value that can't be read";
    if (c != Cut::whole) return c;
  }
  command.count = static_cast<int>(words);
  command.bytes = r.at;
  return Cut::whole;
}

Cut cut(std::string_view bytes, Reply& reply, std::size_t most) {
  Reader r{bytes};
  reply.count = 0;
  if (r.done()) return Cut::partial;
  reply.why = "no kind of answer";
  const char first = bytes[r.at++];
  switch (first) {
    case '+':
    case '-': {
      reply.kind = first == '+' ? Reply::Kind::status : Reply::Kind::error;
      reply.why = "a line that doesn't end";
      if (const Cut c = r.line(reply.text, kMostLine); c != Cut::whole) return c;
      break;
    }
    case '$': {
      reply.why = "a length that can't be";
      if (const Cut c = r.bulk(reply.text, most, true); c != Cut::whole) return c;
      reply.kind = reply.text.data() ? Reply::Kind::bulk : Reply::Kind::nil;
      break;
    }
    case '*': {
      reply.kind = Reply::Kind::array;
      reply.why = "a length that can't be";
      long values = 0;
      if (const Cut c = r.length(values); c != Cut::whole) return c;
      if (values < 1 || values > kMostWords) return Cut::malformed;
      for (long i = 0; i < values; ++i) {
        if (r.done()) return Cut::partial;
        const char kind = bytes[r.at++];
        std::string_view& value = reply.values[i];
        Cut c = Cut::malformed;
        if (kind == '$') c = r.bulk(value, i == 0 ? most : kMostLine, true);
        // Only the first is what was asked for: what stands beside it may be written any way that ends.
        if (i > 0 && (kind == '+' || kind == '-' || kind == ':')) c = r.line(value, kMostLine);
        if (c != Cut::whole) return c;
      }
      reply.count = static_cast<int>(values);
      break;
    }
    default:
      return Cut::malformed;
  }
  reply.bytes = r.at;
  return Cut::whole;
}

void put_count(std::string& out, std::size_t words) {
  char text[24];
  const auto end = std::to_chars(text, text + sizeof text, words).ptr;
  (out += '*').append(text, end) += "\r\n";
}

void put_bulk(std::string& out, std::string_view value) {
  char text[24];
  const auto end = std::to_chars(text, text + sizeof text, value.size()).ptr;
  ((out += '$').append(text, end) += "\r\n").append(value) += "\r\n";
}

}  // namespace yewmount::resp
