#include "net/link.h"

namespace yewmount::net {

std::span<char> Link::read_buffer() { return decoder_.prepare(kReadBufferBytes); }

void Link::on_read(std::size_t bytes) {
  decoder_.commit(bytes);
  try {
    wire::Frame frame;
    while (open() && decoder_.next(frame)) {
      if (frame.type == wire::FrameType::fault) {
        wire::Fault fault;
        wire::decode(frame, fault);
        return close_and_report("the peer reported: " + std::string(fault.reason));
      }
      handler_->on_frame(*this, frame);
    }
    decoder_.trim(kReadBufferBytes);
  } catch (const wire::MalformedFrame& error) {
    if (!open()) return;
    const std::string why = std::string("malformed: ") + error.what();
    // The output buffer may hold complete frames; the fault frame follows them.
    wire::encode(out(), wire::Fault{error.what()});
    flush();
    close_and_report(why);
  }
}

void Link::on_error(const std::error_code& error) {
  if (error != asio::error::eof) return handler_->on_closed(*this, error.message());
  handler_->on_closed(*this, decoder_.has_partial_frame() ? "closed within a frame" : "closed by the peer");
}

void Link::close_and_report(const std::string& why) {
  if (!open()) return;
  auto self = shared_from_this();
  close();
  handler_->on_closed(*this, why);
}

}  // namespace yewmount::net
