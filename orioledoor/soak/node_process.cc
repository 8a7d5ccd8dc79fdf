// Starts a node with posix_spawn and waits for it.
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
  kill(this->Id, SIGKILL);
  waitpid(this->Id, nullptr, 0);
}

bool NodeProcess::start() {
  posix_spawn_file_actions_t Files;
  posix_spawn_file_actions_init(&Files);
  posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO, this->Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&Files, STDOUT_FILENO, STDERR_FILENO);
  // Listeners of the relays must not live on in the node.
  posix_spawn_file_actions_addclosefrom_np(&Files, STDERR_FILENO + 1);
  std::string Option = "--settings";
  std::array<char *, 4> Arguments{this->Program.data(), Option.data(),
                                  this->Settings.data(), nullptr};
  int Failed = posix_spawn(&this->Id, this->Program.c_str(), &Files, nullptr,
                           Arguments.data(), environ);
  posix_spawn_file_actions_destroy(&Files);
  if (Failed != 0)
    this->Id = 0;
  return Failed == 0;
}

void NodeProcess::signal(int Number) const {
  if (this->running())
    kill(this->Id, Number);
}

std::optional<int> NodeProcess::poll() {
  int Status = 0;
  if (!this->running() || waitpid(this->Id, &Status, WNOHANG) != this->Id)
    return std::nullopt;
  this->Id = 0;
  return Status;
}

} // namespace orioledoor::soak
