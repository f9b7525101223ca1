// Entry point of the simulator adapter: reads messages from standard input and writes replies to standard
// output.
#include <cstdlib>
#include <iostream>

#include "link.h"

int main() {
  std::ios::sync_with_stdio(false);
  try {
    yewmount::benchlink::Link().run(std::cin, std::cout);
  } catch (const std::exception& e) {
    std::cerr << "yewmount_benchlink: " << e.what() << "\n";
    return EXIT_FAILURE;
  }
}
