#include "resp/resp.h"

#include <charconv>

namespace yewmount::resp {
namespace {

constexpr std::size_t kMaxLengthDigits = 10;  // including a sign

// Cursor over bytes that may end within a message.
struct Reader {
  std::string_view bytes;
  std::size_t at = 0;
  std::size_t needed = 0;  // length of the message up to the end of a bulk string that is not complete

  bool done() const { return at >= bytes.size(); }

  // Reads a line that ends with CR LF and has at most `max_bytes` bytes before it.
  ParseStatus line(std::string_view& text, std::size_t max_bytes) {
    const std::string_view rest = bytes.substr(at);
    const std::size_t end = rest.substr(0, max_bytes + 1).find('\r');
    if (rest.substr(0, std::min(end, max_bytes)).find('\n') != std::string_view::npos)
      return ParseStatus::malformed;
    if (end == std::string_view::npos)
      return rest.size() > max_bytes ? ParseStatus::malformed : ParseStatus::partial;
    if (end + 1 >= rest.size()) return ParseStatus::partial;
    if (rest[end + 1] != '\n') return ParseStatus::malformed;
    text = rest.substr(0, end);
    at += end + 2;
    return ParseStatus::complete;
  }

  // Reads a line that holds a decimal integer.
  ParseStatus length(long& value) {
    std::string_view text;
    if (const ParseStatus status = line(text, kMaxLengthDigits); status != ParseStatus::complete)
      return status;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() && end == text.data() + text.size() ? ParseStatus::complete
                                                                    : ParseStatus::malformed;
  }

  // Reads a bulk string after its '$'. A null value has a null data().
  ParseStatus bulk(std::string_view& value, std::size_t max_bytes, bool may_be_null) {
    long size = 0;
    if (const ParseStatus status = length(size); status != ParseStatus::complete) return status;
    if (size == -1 && may_be_null) {
      value = {};
      return ParseStatus::complete;
    }
    if (size < 0 || static_cast<std::size_t>(size) > max_bytes) return ParseStatus::malformed;
    const std::size_t count = static_cast<std::size_t>(size);
    if (bytes.size() - at > count && bytes[at + count] != '\r') return ParseStatus::malformed;
    if (bytes.size() - at < count + 2) {
      needed = at + count + 2;
      return ParseStatus::partial;
    }
    if (bytes[at + count + 1] != '\n') return ParseStatus::malformed;
    value = bytes.substr(at, count);
    at += count + 2;
    return ParseStatus::complete;
  }
};

}  // namespace

ParseStatus parse(std::string_view bytes, Command& command) {
  Reader reader{bytes};
  command.count = 0;
  command.bytes = 0;
  command.is_length_known = false;
  if (reader.done()) return ParseStatus::partial;
  command.why = "a command is an array of bulk strings";
  if (bytes[reader.at++] != '*') return ParseStatus::malformed;
  long words = 0;
  if (const ParseStatus status = reader.length(words); status != ParseStatus::complete) return status;
  if (words < 1 || words > kMaxWords) return ParseStatus::malformed;
  for (long i = 0; i < words; ++i) {
    if (reader.done()) return ParseStatus::partial;
    if (bytes[reader.at++] != '$') return ParseStatus::malformed;
    const bool last = i + 1 == words;
    const ParseStatus status = reader.bulk(command.words[i], last ? kMaxBodyBytes : kMaxLineBytes, false);
    if (status == ParseStatus::malformed) command.why = "a length or a value that can't be read";
    command.bytes = reader.needed;
    command.is_length_known = last && reader.needed > 0;
    if (status != ParseStatus::complete) return status;
  }
  command.is_length_known = true;
  command.count = static_cast<int>(words);
  command.bytes = reader.at;
  return ParseStatus::complete;
}

ParseStatus parse(std::string_view bytes, Reply& reply, std::size_t max_value_bytes) {
  Reader reader{bytes};
  reply.count = 0;
  reply.bytes = 0;
  if (reader.done()) return ParseStatus::partial;
  reply.why = "unknown reply type";
  const char first = bytes[reader.at++];
  switch (first) {
    case '+':
    case '-': {
      reply.kind = first == '+' ? Reply::Kind::status : Reply::Kind::error;
      reply.why = "a line that is too long or not ended by CR LF";
      if (const ParseStatus status = reader.line(reply.text, kMaxLineBytes); status != ParseStatus::complete)
        return status;
      break;
    }
    case '$': {
      reply.why = "an invalid length";
      const ParseStatus status = reader.bulk(reply.text, max_value_bytes, true);
      reply.bytes = reader.needed;
      if (status != ParseStatus::complete) return status;
      reply.kind = reply.text.data() ? Reply::Kind::bulk : Reply::Kind::nil;
      break;
    }
    case '*': {
      reply.kind = Reply::Kind::array;
      reply.why = "an invalid length";
      long values = 0;
      if (const ParseStatus status = reader.length(values); status != ParseStatus::complete) return status;
      if (values < 1 || values > kMaxWords) return ParseStatus::malformed;
      for (long i = 0; i < values; ++i) {
        if (reader.done()) return ParseStatus::partial;
        const char kind = bytes[reader.at++];
        std::string_view& value = reply.values[i];
        ParseStatus status = ParseStatus::malformed;
        if (kind == '$') status = reader.bulk(value, i == 0 ? max_value_bytes : kMaxLineBytes, true);
        // Only the first value is the requested data; further values may have any type that fits on a line.
        if (i > 0 && (kind == '+' || kind == '-' || kind == ':')) status = reader.line(value, kMaxLineBytes);
        reply.bytes = reader.needed;
        if (status != ParseStatus::complete) return status;
      }
      reply.count = static_cast<int>(values);
      break;
    }
    default:
      return ParseStatus::malformed;
  }
  reply.bytes = reader.at;
  return ParseStatus::complete;
}

void append_array_header(std::string& out, std::size_t words) {
  char text[24];
  const auto end = std::to_chars(text, text + sizeof text, words).ptr;
  (out += '*').append(text, end) += "\r\n";
}

void append_bulk_string(std::string& out, std::string_view value) {
  char text[24];
  const auto end = std::to_chars(text, text + sizeof text, value.size()).ptr;
  ((out += '$').append(text, end) += "\r\n").append(value) += "\r\n";
}

}  // namespace yewmount::resp
