// Starts a node with posix_spawn and reaps it with waitpid.
#include "orioledoor/soak/node_process.h"

#include <array>
#include <csignal>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace orioledoor::soak {

NodeProcess::NodeProcess(std::string Program, std::string Settings,
                         std::string Log)
    : Program(std::move(Program)), Settings(std::move(Settings)),
      Log(std::move(Log)) {}

NodeProcess::~NodeProcess() {
  if (!this->running())
    return;
  kill(this->Pid, SIGKILL);
  waitpid(this->Pid, nullptr, 0);
}

bool NodeProcess::start() {
  posix_spawn_file_actions_t FileActions;
  posix_spawn_file_actions_init(&FileActions);
  posix_spawn_file_actions_addopen(&FileActions, STDOUT_FILENO,
                                   this->Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&FileActions, STDOUT_FILENO, STDERR_FILENO);
  // The node must not inherit the listening sockets of the relays.
  posix_spawn_file_actions_addclosefrom_np(&FileActions, STDERR_FILENO + 1);
  std::string Option = "--settings";
  std::array<char *, 4> Arguments{this->Program.data(), Option.data(),
                                  this->Settings.data(), nullptr};
  int SpawnError = posix_spawn(&this->Pid, this->Program.c_str(), &FileActions,
                               nullptr, Arguments.data(), environ);
  posix_spawn_file_actions_destroy(&FileActions);
  if (SpawnError != 0)
    this->Pid = 0;
  return SpawnError == 0;
}

void NodeProcess::signal(int Signal) const {
  if (this->running())
    kill(this->Pid, Signal);
}

std::optional<int> NodeProcess::poll() {
  int Status = 0;
  if (!this->running() || waitpid(this->Pid, &Status, WNOHANG) != this->Pid)
    return std::nullopt;
  this->Pid = 0;
  return Status;
}

} // namespace orioledoor::soak
