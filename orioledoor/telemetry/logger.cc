// Log backend on log4cxx with a console appender.
#include "orioledoor/telemetry/logger.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <string>

namespace orioledoor {
namespace {

log4cxx::LevelPtr levelOf(Severity Level) {
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

// Quotes values that contain spaces, so that a line splits into fields.
std::string quoted(const std::string &Value) {
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
  log4cxx::LoggerPtr Sink;
};

Logger::Logger(std::string_view NodeName, Severity Lowest, Stream To)
    : Backend(std::make_unique<Impl>()) {
  auto Layout = std::make_shared<log4cxx::PatternLayout>(
      "%d{yyyy-MM-ddTHH:mm:ss.SSS}{GMT}Z %p %c %m%n");
  auto Appender = std::make_shared<log4cxx::ConsoleAppender>(
      Layout, To == Stream::Output ? log4cxx::ConsoleAppender::getSystemOut()
                                   : log4cxx::ConsoleAppender::getSystemErr());
  this->Backend->Sink = log4cxx::Logger::getLogger(std::string(NodeName));
  this->Backend->Sink->removeAllAppenders();
  this->Backend->Sink->setAdditivity(false);
  this->Backend->Sink->addAppender(Appender);
  this->Backend->Sink->setLevel(levelOf(Lowest));
}

Logger::~Logger() = default;

void Logger::write(const LogRecord &Record) {
  log4cxx::LevelPtr Level = levelOf(Record.Event->Level);
  if (!this->Backend->Sink->isEnabledFor(Level))
    return;
  std::string Line =
      std::to_string(Record.Event->Number) + ' ' + Record.Event->Name;
  for (const LogField &Field : Record.Fields)
    Line += ' ' + Field.Name + '=' + quoted(Field.Value);
  this->Backend->Sink->forcedLog(Level, Line, LOG4CXX_LOCATION);
}

} // namespace orioledoor
