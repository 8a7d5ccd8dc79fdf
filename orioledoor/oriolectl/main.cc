// The entry point of oriolectl, the command-line tool for operators. `oriolectl
// help` lists its commands.
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include <pwd.h>
#include <unistd.h>

#include "orioledoor/oriolectl/command_line.h"
#include "orioledoor/oriolectl/event_loop.h"

namespace {

// Returns the environment variable USER, or the account name of the effective
// user if USER is not set, as in system services. Empty if neither is known.
std::string defaultAuthor() {
  if (const char *User = std::getenv("USER"))
    return User;
  const passwd *Account = getpwuid(geteuid());
  return Account ? Account->pw_name : "";
}

} // namespace

int main(int Argc, char **Argv) {
  std::vector<std::string> Arguments(Argv + 1, Argv + Argc);
  orioledoor::ctl::EventLoop Loop;
  return static_cast<int>(orioledoor::ctl::runCommandLine(
      Arguments, Loop, {std::cout, std::cerr}, defaultAuthor()));
}
