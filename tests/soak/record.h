// What the processes of a soak saw, a line an event, on the machine's monotonic clock.
#pragma once
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "tests/soak/plan.h"

namespace yewmount::soak {

// Written by one process. Lines are flushed at once: a killed process leaves what it had seen.
class Recorder {
 public:
  explicit Recorder(const std::string& file) : out_(file, std::ios::app) {}
  template <class... Fields>
  void write(Micros at, const char* event, const Fields&... fields) {
    out_ << at << ' ' << event;
    ((out_ << ' ' << fields), ...);
    out_ << '\n' << std::flush;
  }

 private:
  std::ofstream out_;
};

// The events and their fields:
//   ask ID HEAD CLASS WAIT_MS AHEAD     a client has sent a request whole, behind that one (-: none)
//   answer ID TEXT                      $value, -BUSY ... or -ERR ..., blanks as underscores
//   left ID                             its client has closed without the answer
//   closed ID                           the head's side has ended the connection without the answer
//   unasked HEAD                        a client got an answer that it asked nothing for
//   rude HEAD KIND NAME / rude_done NAME    a bad client, and its error or close
//   run ID NODE TOLD_MS                 a node has read a command whole
//   turned ID NODE                      but has turned it away: it has not run
//   made ID NODE                        and has sent its value whole
//   told HEAD VERSION                   discovery has written a list of this version to a head
//   change VERSION NODE STATE           and had it from this moment
//   started HEAD / ready HEAD / term HEAD / kill HEAD / exit HEAD CODE      what the runner did and saw
struct Line {
  Micros at = 0;
  std::string event;
  std::vector<std::string> fields;
};

inline std::vector<Line> read_lines(const std::string& file) {
  std::vector<Line> all;
  std::ifstream in(file);
  for (std::string text; std::getline(in, text);) {
    std::istringstream words(text);
    Line line;
    if (!(words >> line.at >> line.event)) continue;
    for (std::string field; words >> field;) line.fields.push_back(field);
    all.push_back(std::move(line));
  }
  return all;
}

}  // namespace yewmount::soak
