// The orioledoor binary: reads the settings and runs one node until it is
// asked to stop.
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/program_options.hpp>
#include <event2/event.h>
#include <fcntl.h>
#include <unistd.h>

#include "orioledoor/catalogue/parse_catalogue.h"
#include "orioledoor/catalogue/settings.h"
#include "orioledoor/catalogue/sidecar_settings.h"
#include "orioledoor/daemon/loop_watchdog.h"
#include "orioledoor/daemon/node.h"
#include "orioledoor/platform/names.h"
#include "orioledoor/sidecar/sidecar_node.h"
#include "orioledoor/telemetry/logger.h"

namespace orioledoor::daemon {
namespace {

namespace options = boost::program_options;

constexpr char Version[] = "orioledoor 0.1.0";
// Exit statuses.
constexpr int UsageError = 2;
constexpr int SettingsError = 3;

struct BaseDeleter {
  void operator()(event_base *Owned) const { event_base_free(Owned); }
};
struct EventDeleter {
  void operator()(event *Owned) const { event_free(Owned); }
};
using EventPtr = std::unique_ptr<event, EventDeleter>;

Severity severityOf(const std::string &Level) {
  if (Level == "debug")
    return Severity::Debug;
  if (Level == "warn")
    return Severity::Warn;
  return Level == "error" ? Severity::Error : Severity::Info;
}

absl::StatusOr<std::string> readFile(const std::string &FileName) {
  std::ifstream File(FileName);
  if (!File)
    return absl::NotFoundError(FileName + ": cannot be opened for reading");
  return std::string((std::istreambuf_iterator<char>(File)), {});
}

template <typename Running>
EventPtr stopOn(event_base *Base, int Signal, Running &Node) {
  EventPtr Made(evsignal_new(
      Base, Signal,
      [](evutil_socket_t, short, void *Context) {
        static_cast<Running *>(Context)->requestStop();
      },
      &Node));
  event_add(Made.get(), nullptr);
  return Made;
}

std::unique_ptr<event_base, BaseDeleter> newLoop() {
  // A batch of system calls a turn instead of one for each change of interest.
  std::unique_ptr<event_config, decltype(&event_config_free)> Config(
      event_config_new(), event_config_free);
  event_config_set_flag(Config.get(), EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  return std::unique_ptr<event_base, BaseDeleter>(
      event_base_new_with_config(Config.get()));
}

int runNode(const Settings &Own) {
  Logger Log(Own.NodeName, severityOf(Own.LogLevel));
  std::unique_ptr<event_base, BaseDeleter> Base = newLoop();
  auto Started = Node::start(Base.get(), Own, Log);
  if (!Started.ok()) {
    std::cerr << "orioledoor: " << Started.status().message() << "\n";
    return EXIT_FAILURE;
  }
  EventPtr OnTerm = stopOn(Base.get(), SIGTERM, **Started);
  EventPtr OnInterrupt = stopOn(Base.get(), SIGINT, **Started);
  event_base_dispatch(Base.get());
  return EXIT_SUCCESS;
}

// Rereads the settings of a sidecar node when SIGHUP arrives.
struct Reloader {
  sidecar::SidecarNode &Node;
  std::string FileName;

  void reload() const {
    absl::StatusOr<std::string> Text = readFile(this->FileName);
    this->Node.reload(Text.ok()
                          ? parseSidecarSettings(*Text, this->FileName)
                          : absl::StatusOr<SidecarSettings>(Text.status()));
  }
};

int runSidecar(const SidecarSettings &Own, const std::string &FileName) {
  // A reader that falls behind loses lines instead of delaying requests.
  fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  Logger Log(Own.NodeName, severityOf(Own.LogLevel), Logger::Stream::Output);
  std::unique_ptr<event_base, BaseDeleter> Base = newLoop();
  auto Started = sidecar::SidecarNode::start(Base.get(), Own, Log);
  if (!Started.ok()) {
    std::cerr << "orioledoor: " << Started.status().message() << "\n";
    return EXIT_FAILURE;
  }
  EventPtr OnTerm = stopOn(Base.get(), SIGTERM, **Started);
  EventPtr OnInterrupt = stopOn(Base.get(), SIGINT, **Started);
  Reloader Reload{**Started, FileName};
  EventPtr OnHangup(evsignal_new(
      Base.get(), SIGHUP,
      [](evutil_socket_t, short, void *Context) {
        static_cast<Reloader *>(Context)->reload();
      },
      &Reload));
  event_add(OnHangup.get(), nullptr);
  LoopWatchdog Guard({.OnStall = [] {
    // The logger may be what blocks.
    constexpr std::string_view Line =
        "orioledoor: the event loop stands still; ending the process\n";
    [[maybe_unused]] ssize_t Written =
        write(STDERR_FILENO, Line.data(), Line.size());
    std::_Exit(EXIT_FAILURE);
  }});
  EventPtr Turn(event_new(
      Base.get(), -1, EV_PERSIST,
      [](evutil_socket_t, short, void *Context) {
        static_cast<LoopWatchdog *>(Context)->touch();
      },
      &Guard));
  constexpr timeval TurnInterval{1, 0};
  evtimer_add(Turn.get(), &TurnInterval);
  event_base_dispatch(Base.get());
  // The shutdown of nng may wait for good for a connection that is being set
  // up. Nothing here has to last: callers have their answers, and the store
  // the rest.
  std::cout.flush();
  std::_Exit(EXIT_SUCCESS);
}

// Checks the settings and runs the node that they describe.
template <typename Parsed, typename RunFunction>
int checkAndRun(const absl::StatusOr<Parsed> &Own, bool CheckOnly,
                RunFunction Run) {
  if (!Own.ok()) {
    std::cerr << "orioledoor: " << Own.status().message() << "\n";
    return SettingsError;
  }
  if (CheckOnly) {
    std::cout << "the settings are correct\n";
    return EXIT_SUCCESS;
  }
  // Writes to closed connections report an error instead.
  std::signal(SIGPIPE, SIG_IGN);
  return Run(*Own);
}

int run(int Count, char **Arguments) {
  options::options_description Known("Options");
  auto Add = Known.add_options();
  Add("settings", options::value<std::string>()->value_name("FILE"),
      "settings of this node (YAML); default: the file that the variable "
      "ORIOLEDOOR_CONFIG names");
  Add("check", "check the settings and exit");
  Add("help", "print this help and exit");
  Add("version", "print the version and exit");
  options::variables_map Given;
  options::store(options::parse_command_line(Count, Arguments, Known), Given);
  options::notify(Given);
  if (Given.contains("help")) {
    std::cout << "Usage: orioledoor [--settings FILE] [--check]\n"
                 "Runs one node of the request router.\n\n"
              << Known
              << "\nExit status: 0 after a graceful stop, 1 if the node cannot "
                 "listen, 2 for wrong\noptions, 3 for wrong settings.\n";
    return EXIT_SUCCESS;
  }
  if (Given.contains("version")) {
    std::cout << Version << "\n";
    return EXIT_SUCCESS;
  }
  const char *FromEnvironment = std::getenv(platform::names::SettingsVariable);
  if (!Given.contains("settings") && !FromEnvironment) {
    std::cerr << "orioledoor: --settings FILE is missing; see --help\n";
    return UsageError;
  }
  std::string FileName = Given.contains("settings")
                             ? Given["settings"].as<std::string>()
                             : std::string(FromEnvironment);
  bool CheckOnly = Given.contains("check");
  absl::StatusOr<std::string> Text = readFile(FileName);
  if (Text.ok() && isSidecarDocument(*Text))
    return checkAndRun(
        parseSidecarSettings(*Text, FileName), CheckOnly,
        [&](const SidecarSettings &Own) { return runSidecar(Own, FileName); });
  return checkAndRun(Text.ok() ? parseSettings(*Text, FileName)
                               : absl::StatusOr<Settings>(Text.status()),
                     CheckOnly, runNode);
}

} // namespace
} // namespace orioledoor::daemon

int main(int Count, char **Arguments) {
  try {
    return orioledoor::daemon::run(Count, Arguments);
  } catch (const boost::program_options::error &Error) {
    std::cerr << "orioledoor: " << Error.what() << "; see --help\n";
    return orioledoor::daemon::UsageError;
  }
}
