// cedarplank_adapter: runs the decision module on the simulator's wire, lines on standard input and output.
// Each batch of lines is answered with one flush. Ends with status 0 at the end of input, and with 1 on a
// malformed line, which it names on standard error, or where standard output takes no more.
#include <cstddef>
#include <exception>
#include <iostream>
#include <string>

#include "codec.hpp"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  heronvane::dispatch::adapter::Codec codec;
  std::string line;
  std::string reply;
  for (std::size_t number = 1; std::getline(std::cin, line); number++) {
    try {
      if (line.empty() || !codec.handle_line(line, reply)) continue;
    } catch (const std::exception& error) {
      std::cerr << "cedarplank_adapter: line " << number << ": " << error.what() << std::endl;
      return 1;
    }
    std::cout << reply << std::flush;
    if (!std::cout) return 1;
  }
  return 0;
}
