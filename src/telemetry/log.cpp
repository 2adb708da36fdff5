#include "telemetry/log.h"

#include "telemetry/bounded_output.h"

#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/global_logger_storage.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <boost/log/utility/setup/file.hpp>
#include <iostream>
#include <unistd.h>

namespace bulrush::telemetry {

namespace {

namespace expr = boost::log::expressions;
namespace keywords = boost::log::keywords;

BOOST_LOG_INLINE_GLOBAL_LOGGER_DEFAULT(
    event_logger, boost::log::sources::severity_logger_mt<severity>)

std::atomic<std::uint64_t> DroppedLines{0};

/// Writes formatted lines to standard output without blocking.
class output_backend final
    : public boost::log::sinks::basic_formatted_sink_backend<
          char, boost::log::sinks::synchronized_feeding> {
public:
  void consume(const boost::log::record_view &, const std::string &Line) {
    Output.append(Line);
    Output.flush();
    DroppedLines.store(Output.dropped());
  }

private:
  bounded_output Output{STDOUT_FILENO};
};

std::string_view nameOf(severity Severity) {
  switch (Severity) {
  case severity::debug:
    return "debug";
  case severity::info:
    return "info";
  case severity::warning:
    return "warning";
  case severity::error:
    return "error";
  }
  return "info";
}

std::string quoted(const std::string &Value) {
  const bool IsPlain =
      !Value.empty() && Value.find_first_of(" \"=\n\r\t") == std::string::npos;
  if (IsPlain)
    return Value;
  std::string Out = "\"";
  for (char C : Value) {
    if (C == '"' || C == '\\')
      Out += '\\';
    Out += (C == '\n' || C == '\r') ? ' ' : C;
  }
  return Out + '"';
}

} // namespace

std::uint64_t droppedLines() { return DroppedLines.load(); }

std::string formatLine(std::string_view Event,
                       const std::vector<field> &Fields) {
  std::string Line = "event=";
  Line += Event;
  for (const field &F : Fields)
    Line += ' ' + F.Key + '=' + quoted(F.Value);
  return Line;
}

void startLog(const log_settings &Settings) {
  const auto Format =
      expr::stream << "time="
                   << expr::format_date_time<boost::posix_time::ptime>(
                          "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                   << " process=" << Settings.Process << ' ' << expr::smessage;
  boost::log::core::get()->remove_all_sinks();
  if (Settings.ToStandardOutput) {
    using output_sink = boost::log::sinks::synchronous_sink<output_backend>;
    const auto Sink = boost::make_shared<output_sink>();
    Sink->set_formatter(Format);
    boost::log::core::get()->add_sink(Sink);
  } else if (Settings.File.empty())
    boost::log::add_console_log(std::clog, keywords::format = Format,
                                keywords::auto_flush = true);
  else
    boost::log::add_file_log(
        keywords::file_name = Settings.File, keywords::format = Format,
        keywords::open_mode = std::ios::app, keywords::auto_flush = true);
  boost::log::add_common_attributes();
  const severity MinSeverity = Settings.MinSeverity;
  boost::log::core::get()->set_filter(
      [MinSeverity](const boost::log::attribute_value_set &Set) {
        const auto Value = Set["Severity"].extract<severity>();
        return !Value || *Value >= MinSeverity;
      });
}

void logEvent(severity Severity, std::string_view Event,
              const std::vector<field> &Fields) {
  std::string Line = "severity=";
  Line += nameOf(Severity);
  Line += ' ' + formatLine(Event, Fields);
  BOOST_LOG_SEV(event_logger::get(), Severity) << Line;
}

} // namespace bulrush::telemetry
