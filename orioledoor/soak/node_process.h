// One node of the soak as a process of its own, with signals and restarts.
//
//   NodeProcess Node("build/orioledoor", "out/soak/node-0.yaml", "out/n.log");
//   Node.start();
//   Node.signal(SIGSTOP);
//   if (auto Status = Node.poll()) ... // it has ended
#ifndef ORIOLEDOOR_SOAK_NODE_PROCESS_H
#define ORIOLEDOOR_SOAK_NODE_PROCESS_H

#include <optional>
#include <string>

#include <sys/types.h>

namespace orioledoor::soak {

// Not thread-safe. Signals only the process that it has started.
class NodeProcess {
public:
  NodeProcess(std::string Program, std::string Settings, std::string Log);
  // Kills the process if it runs.
  ~NodeProcess();
  NodeProcess(const NodeProcess &) = delete;
  NodeProcess &operator=(const NodeProcess &) = delete;

  // Returns whether a process was started. Its output is added to the log.
  bool start();
  void signal(int Number) const;
  // The wait status once after the process has ended.
  std::optional<int> poll();
  bool running() const { return this->Id > 0; }

private:
  std::string Program;
  std::string Settings;
  std::string Log;
  pid_t Id = 0;
};

} // namespace orioledoor::soak

#endif // ORIOLEDOOR_SOAK_NODE_PROCESS_H
