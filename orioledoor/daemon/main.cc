// The orioledoor binary: reads the settings and runs one node until SIGTERM or
// SIGINT.
#include <csignal>
#include <cstdlib>
#include <iostream>
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
#include "orioledoor/catalogue/settings_file.h"
#include "orioledoor/catalogue/sidecar_settings.h"
#include "orioledoor/daemon/loop_watchdog.h"
#include "orioledoor/daemon/node.h"
#include "orioledoor/daemon/startup_signals.h"
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
// The settings file may change without a signal. Until a change is noticed,
// requests bear the service that the file named before.
constexpr timeval SettingsCheckInterval{0, 200'000};

struct EventBaseDeleter {
  void operator()(event_base *Owned) const { event_base_free(Owned); }
};
struct EventDeleter {
  void operator()(event *Owned) const { event_free(Owned); }
};
using EventPtr = std::unique_ptr<event, EventDeleter>;

Severity parseSeverity(const std::string &Level) {
  if (Level == "debug")
    return Severity::Debug;
  if (Level == "warn")
    return Severity::Warn;
  return Level == "error" ? Severity::Error : Severity::Info;
}

template <typename NodeType>
EventPtr stopOnSignal(event_base *Base, int Signal, NodeType &Node) {
  EventPtr SignalEvent(evsignal_new(
      Base, Signal,
      [](evutil_socket_t, short, void *Context) {
        static_cast<NodeType *>(Context)->requestStop();
      },
      &Node));
  event_add(SignalEvent.get(), nullptr);
  return SignalEvent;
}

std::unique_ptr<event_base, EventBaseDeleter> newEventBase() {
  // Batches changes to the epoll set once per iteration of the loop instead of
  // making a system call for each.
  std::unique_ptr<event_config, decltype(&event_config_free)> Config(
      event_config_new(), event_config_free);
  event_config_set_flag(Config.get(), EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST);
  return std::unique_ptr<event_base, EventBaseDeleter>(
      event_base_new_with_config(Config.get()));
}

int runNode(const Settings &NodeSettings) {
  StartupSignals Signals;
  Logger Log(NodeSettings.NodeName, parseSeverity(NodeSettings.LogLevel));
  std::unique_ptr<event_base, EventBaseDeleter> Base = newEventBase();
  auto Started = Node::start(Base.get(), NodeSettings, Log);
  if (!Started.ok()) {
    std::cerr << "orioledoor: " << Started.status().message() << "\n";
    return EXIT_FAILURE;
  }
  EventPtr OnTerm = stopOnSignal(Base.get(), SIGTERM, **Started);
  EventPtr OnInterrupt = stopOnSignal(Base.get(), SIGINT, **Started);
  Signals.deliver();
  event_base_dispatch(Base.get());
  return EXIT_SUCCESS;
}

// Reloads the settings of a sidecar node on SIGHUP, and when the file differs.
struct SettingsReloader {
  sidecar::SidecarNode &Node;
  SettingsFile &File;

  void reload() const { this->apply(this->File.read()); }
  void reloadIfChanged() const {
    if (std::optional<std::string> Text = this->File.readIfChanged())
      this->apply(*std::move(Text));
  }

private:
  void apply(const absl::StatusOr<std::string> &Text) const {
    this->Node.reload(Text.ok()
                          ? parseSidecarSettings(*Text, this->File.name())
                          : absl::StatusOr<SidecarSettings>(Text.status()));
  }
};

int runSidecar(const SidecarSettings &NodeSettings, SettingsFile &File) {
  StartupSignals Signals;
  // A log reader that falls behind loses lines instead of blocking requests.
  fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  Logger Log(NodeSettings.NodeName, parseSeverity(NodeSettings.LogLevel),
             Logger::Stream::Output);
  std::unique_ptr<event_base, EventBaseDeleter> Base = newEventBase();
  auto Started = sidecar::SidecarNode::start(Base.get(), NodeSettings, Log);
  if (!Started.ok()) {
    std::cerr << "orioledoor: " << Started.status().message() << "\n";
    return EXIT_FAILURE;
  }
  EventPtr OnTerm = stopOnSignal(Base.get(), SIGTERM, **Started);
  EventPtr OnInterrupt = stopOnSignal(Base.get(), SIGINT, **Started);
  SettingsReloader Reloader{**Started, File};
  EventPtr OnHangup(evsignal_new(
      Base.get(), SIGHUP,
      [](evutil_socket_t, short, void *Context) {
        static_cast<SettingsReloader *>(Context)->reload();
      },
      &Reloader));
  event_add(OnHangup.get(), nullptr);
  (*Started)->setSettingsSource([&Reloader] { Reloader.reloadIfChanged(); });
  EventPtr SettingsTimer(event_new(
      Base.get(), -1, EV_PERSIST,
      [](evutil_socket_t, short, void *Context) {
        static_cast<SettingsReloader *>(Context)->reloadIfChanged();
      },
      &Reloader));
  evtimer_add(SettingsTimer.get(), &SettingsCheckInterval);
  Signals.deliver();
  LoopWatchdog Watchdog({.OnStall = [] {
    // Bypasses the logger, since the logger may be the blocked call.
    constexpr std::string_view Line =
        "orioledoor: the event loop is blocked; terminating the process\n";
    [[maybe_unused]] ssize_t Written =
        write(STDERR_FILENO, Line.data(), Line.size());
    std::_Exit(EXIT_FAILURE);
  }});
  EventPtr ProgressTimer(event_new(
      Base.get(), -1, EV_PERSIST,
      [](evutil_socket_t, short, void *Context) {
        static_cast<LoopWatchdog *>(Context)->recordProgress();
      },
      &Watchdog));
  constexpr timeval ProgressInterval{1, 0};
  evtimer_add(ProgressTimer.get(), &ProgressInterval);
  event_base_dispatch(Base.get());
  // Skips destructors, since nng's shutdown may wait forever for a connection
  // that is being established. No state is lost: all callers are answered, and
  // persistent state is in the store.
  std::cout.flush();
  std::_Exit(EXIT_SUCCESS);
}

// Runs the node with the parsed settings, or only reports whether they are
// valid if CheckOnly. Returns the exit status.
template <typename SettingsType, typename RunFunction>
int checkAndRun(const absl::StatusOr<SettingsType> &NodeSettings,
                bool CheckOnly, RunFunction Run) {
  if (!NodeSettings.ok()) {
    std::cerr << "orioledoor: " << NodeSettings.status().message() << "\n";
    return SettingsError;
  }
  if (CheckOnly) {
    std::cout << "the settings are correct\n";
    return EXIT_SUCCESS;
  }
  // Writes to closed connections fail with EPIPE instead.
  std::signal(SIGPIPE, SIG_IGN);
  return Run(*NodeSettings);
}

int run(int Count, char **Arguments) {
  options::options_description Options("Options");
  auto AddOption = Options.add_options();
  AddOption("settings", options::value<std::string>()->value_name("FILE"),
            "settings of this node (YAML); default: the file that the variable "
            "ORIOLEDOOR_CONFIG names");
  AddOption("check", "check the settings and exit");
  AddOption("help", "print this help and exit");
  AddOption("version", "print the version and exit");
  options::variables_map Parsed;
  options::store(options::parse_command_line(Count, Arguments, Options),
                 Parsed);
  options::notify(Parsed);
  if (Parsed.contains("help")) {
    std::cout << "Usage: orioledoor [--settings FILE] [--check]\n"
                 "Runs one node of the request router.\n\n"
              << Options
              << "\nExit status: 0 after a graceful stop, 1 if the node cannot "
                 "listen, 2 for wrong\noptions, 3 for wrong settings.\n";
    return EXIT_SUCCESS;
  }
  if (Parsed.contains("version")) {
    std::cout << Version << "\n";
    return EXIT_SUCCESS;
  }
  const char *EnvironmentFile = std::getenv(platform::names::SettingsVariable);
  if (!Parsed.contains("settings") && !EnvironmentFile) {
    std::cerr << "orioledoor: --settings FILE is missing; see --help\n";
    return UsageError;
  }
  std::string FileName = Parsed.contains("settings")
                             ? Parsed["settings"].as<std::string>()
                             : std::string(EnvironmentFile);
  bool CheckOnly = Parsed.contains("check");
  SettingsFile File(FileName);
  absl::StatusOr<std::string> Text = File.read();
  if (Text.ok() && isSidecarDocument(*Text))
    return checkAndRun(parseSidecarSettings(*Text, FileName), CheckOnly,
                       [&](const SidecarSettings &NodeSettings) {
                         return runSidecar(NodeSettings, File);
                       });
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
