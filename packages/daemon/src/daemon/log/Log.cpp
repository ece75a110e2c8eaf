#include "daemon/log/Log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/level.h>
#include <log4cxx/patternlayout.h>

#include <exception>

namespace carawaypond::daemon {

namespace {

constexpr const char *Pattern = "%d{ISO8601} %-5p %m%n";

log4cxx::AppenderPtr makeAppender(const std::string &File) {
  auto Layout = std::make_shared<log4cxx::PatternLayout>(Pattern);
  if (File.empty())
    return std::make_shared<log4cxx::ConsoleAppender>(
        Layout, log4cxx::ConsoleAppender::getSystemErr());
  return std::make_shared<log4cxx::FileAppender>(Layout, File, true);
}

} // namespace

Result<void> configureLog(const LogSettings &Settings) {
  try {
    log4cxx::BasicConfigurator::configure(makeAppender(Settings.File));
  } catch (const std::exception &Failed) {
    return failure(ErrorCode::InvalidInput,
                   "/log/file: \"" + Settings.File +
                       "\" can't be written: " + Failed.what());
  }
  log4cxx::Logger::getRootLogger()->setLevel(
      log4cxx::Level::toLevel(Settings.Level));
  return success();
}

const log4cxx::LoggerPtr &logger() {
  static const log4cxx::LoggerPtr Logger =
      log4cxx::Logger::getLogger("carawaypond");
  return Logger;
}

} // namespace carawaypond::daemon
