// oriolectl: the operators' command line. See `oriolectl help`.
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include "orioledoor/oriolectl/command_line.h"
#include "orioledoor/oriolectl/event_loop.h"

int main(int Argc, char **Argv) {
  std::vector<std::string> Arguments(Argv + 1, Argv + Argc);
  const char *User = std::getenv("USER");
  orioledoor::ctl::EventLoop Loop;
  return static_cast<int>(orioledoor::ctl::runCommandLine(
      Arguments, Loop, {std::cout, std::cerr}, User ? User : ""));
}
