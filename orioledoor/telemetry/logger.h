// Writes log records through log4cxx, one line per record:
//   2026-01-01T00:00:00.000Z WARN 1003 MEMBER_RELEASED member=7 by=9
//
//   Logger Log("cantabrico-a-1");
//   Log.write({&NodeStarted, {{"address", "127.0.0.1:8001"}}});
#ifndef ORIOLEDOOR_TELEMETRY_LOGGER_H
#define ORIOLEDOOR_TELEMETRY_LOGGER_H

#include <memory>
#include <string_view>

#include "orioledoor/telemetry/log_record.h"

namespace orioledoor {

// Thread-safe after construction.
class Logger {
public:
  enum class Stream { Error, Output };

  // Logs to the standard error or output. Records less severe than MinSeverity
  // are dropped.
  explicit Logger(std::string_view NodeName,
                  Severity MinSeverity = Severity::Info,
                  Stream Destination = Stream::Error);
  ~Logger();
  Logger(const Logger &) = delete;
  Logger &operator=(const Logger &) = delete;

  void write(const LogRecord &Record);

private:
  struct Impl;
  std::unique_ptr<Impl> State;
};

} // namespace orioledoor

#endif // ORIOLEDOOR_TELEMETRY_LOGGER_H
