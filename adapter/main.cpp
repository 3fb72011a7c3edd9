// cedarplank_adapter: reads batches of the simulator's wire, answers each with one flush.
#include <iostream>
#include <string>

#include "codec.hpp"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  heronvane::dispatch::adapter::Codec codec;
  std::string line, reply;
  for (std::size_t number = 1; std::getline(std::cin, line); number++) {
    try {
      if (line.empty() || !codec.take(line, reply)) continue;
    } catch (const std::exception& e) {
      std::cerr << "cedarplank_adapter: line " << number << ": " << e.what() << std::endl;
      return 1;
    }
    std::cout << reply << std::flush;
    if (!std::cout) return 1;
  }
  return 0;
}
