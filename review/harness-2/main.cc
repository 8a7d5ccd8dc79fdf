// Runs one case: lab CASE DIRECTORY. The settings and logs of the nodes go to a
// temporary folder, record.txt to DIRECTORY.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>

#include "lab.h"

int main(int Count, char **Arguments) {
  const std::map<std::string, std::function<int(const std::string &)>> Cases{
      {"slow-readers", lab::runSlowReaders},
      {"forgotten-deregistration", lab::runForgottenDeregistration},
      {"clock-step", lab::runClockStep},
      {"late-heartbeat", lab::runLateHeartbeat},
  };
  if (Count != 3 || !Cases.contains(Arguments[1])) {
    std::fprintf(stderr, "usage: lab CASE DIRECTORY\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  lab::openRecord(std::string(Arguments[2]) + "/record.txt");
  const char *Parent = std::getenv("TMPDIR");
  std::string Directory =
      std::string(Parent ? Parent : "/tmp") + "/orioledoor-case-XXXXXX";
  if (!mkdtemp(Directory.data())) {
    std::perror("mkdtemp");
    return 2;
  }
  int Status = Cases.at(Arguments[1])(Directory);
  lab::record("exit " + std::to_string(Status));
  std::fflush(nullptr);
  // Threads of the stand-ins are still serving.
  std::_Exit(Status);
}
