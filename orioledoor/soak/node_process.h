// Runs one node of the soak as a child process that can be signaled and
// restarted.
//
//   NodeProcess Node("build/orioledoor", "out/soak/node-0.yaml", "out/n.log");
//   Node.start();
//   Node.signal(SIGSTOP);
//   if (auto Status = Node.poll()) ... // the process has exited
#ifndef ORIOLEDOOR_SOAK_NODE_PROCESS_H
#define ORIOLEDOOR_SOAK_NODE_PROCESS_H

#include <optional>
#include <string>

#include <sys/types.h>

namespace orioledoor::soak {

// Not thread-safe. Signals only the process that it started.
class NodeProcess {
public:
  NodeProcess(std::string Program, std::string Settings, std::string Log);
  // Kills the process if it is running.
  ~NodeProcess();
  NodeProcess(const NodeProcess &) = delete;
  NodeProcess &operator=(const NodeProcess &) = delete;

  // Starts the process, with its output appended to the log. Returns whether it
  // was started.
  bool start();
  // Sends a signal to the process if it is running.
  void signal(int Signal) const;
  // Returns the wait status once after the process has exited. Does not block.
  std::optional<int> poll();
  bool running() const { return this->Pid > 0; }

private:
  std::string Program;
  std::string Settings;
  std::string Log;
  pid_t Pid = 0;
};

} // namespace orioledoor::soak

#endif // ORIOLEDOOR_SOAK_NODE_PROCESS_H
