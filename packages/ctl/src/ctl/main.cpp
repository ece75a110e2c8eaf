#include "ctl/Runner.h"

#include <iostream>
#include <string>
#include <vector>

int main(int Count, char **Values) {
  std::vector<std::string> Arguments(Values + 1, Values + Count);
  return carawaypond::ctl::runProgram(
      Arguments, {.In = std::cin, .Out = std::cout, .Err = std::cerr});
}
