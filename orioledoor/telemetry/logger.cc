// Writes log records to a log4cxx console appender.
#include "orioledoor/telemetry/logger.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <string>

namespace orioledoor {
namespace {

log4cxx::LevelPtr toLog4cxxLevel(Severity Level) {
  switch (Level) {
  case Severity::Debug:
    return log4cxx::Level::getDebug();
  case Severity::Info:
    return log4cxx::Level::getInfo();
  case Severity::Warn:
    return log4cxx::Level::getWarn();
  case Severity::Error:
    return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

// Returns Value, quoted if it is empty or contains spaces, quotes, line feeds
// or
// '=', so that a parser can split a line into fields. Line feeds become spaces.
std::string quoteIfNeeded(const std::string &Value) {
  if (!Value.empty() && Value.find_first_of(" \"\n=") == std::string::npos)
    return Value;
  std::string Result = "\"";
  for (char C : Value) {
    if (C == '"' || C == '\\')
      Result += '\\';
    Result += C == '\n' ? ' ' : C;
  }
  return Result + '"';
}

} // namespace

struct Logger::Impl {
  log4cxx::LoggerPtr Log;
};

Logger::Logger(std::string_view NodeName, Severity MinSeverity,
               Stream Destination)
    : State(std::make_unique<Impl>()) {
  auto Layout = std::make_shared<log4cxx::PatternLayout>(
      "%d{yyyy-MM-ddTHH:mm:ss.SSS}{GMT}Z %p %c %m%n");
  auto Appender = std::make_shared<log4cxx::ConsoleAppender>(
      Layout, Destination == Stream::Output
                  ? log4cxx::ConsoleAppender::getSystemOut()
                  : log4cxx::ConsoleAppender::getSystemErr());
  this->State->Log = log4cxx::Logger::getLogger(std::string(NodeName));
  this->State->Log->removeAllAppenders();
  this->State->Log->setAdditivity(false);
  this->State->Log->addAppender(Appender);
  this->State->Log->setLevel(toLog4cxxLevel(MinSeverity));
}

Logger::~Logger() = default;

void Logger::write(const LogRecord &Record) {
  log4cxx::LevelPtr Level = toLog4cxxLevel(Record.Event->Level);
  if (!this->State->Log->isEnabledFor(Level))
    return;
  std::string Line =
      std::to_string(Record.Event->Number) + ' ' + Record.Event->Name;
  for (const LogField &Field : Record.Fields)
    Line += ' ' + Field.Name + '=' + quoteIfNeeded(Field.Value);
  this->State->Log->forcedLog(Level, Line, LOG4CXX_LOCATION);
}

} // namespace orioledoor
