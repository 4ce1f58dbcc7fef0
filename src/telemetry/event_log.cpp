// Event log on spdlog; values with special characters are quoted.
#include "telemetry/event_log.hpp"

#include "telemetry/nonblocking_line_writer.hpp"

#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <memory>
#include <mutex>
#include <unistd.h>

namespace wagtailseam::telemetry
{
namespace
{

bool needs_quotes(std::string_view value) noexcept
{
    return value.empty() ||
           value.find_first_of(" =\"\\\n\t\r") != std::string_view::npos;
}

void append_value(std::string& line, std::string_view value)
{
    if (!needs_quotes(value))
    {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value)
    {
        if (c == '"' || c == '\\')
        {
            line += '\\';
        }
        line += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
    line += '"';
}

class nonblocking_stdout_sink final
    : public spdlog::sinks::base_sink<std::mutex>
{
protected:
    void sink_it_(const spdlog::details::log_msg& message) override
    {
        spdlog::memory_buf_t formatted;
        formatter_->format(message, formatted);
        writer_.write({formatted.data(), formatted.size()});
    }
    void flush_() override {}

private:
    nonblocking_line_writer writer_{STDOUT_FILENO};
};

} // namespace

void initialize_logging(std::string_view program, std::string_view level)
{
    auto logger = std::make_shared<spdlog::logger>(
        std::string(program), std::make_shared<nonblocking_stdout_sink>());
    logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%f level=%l program=%n %v");
    const auto parsed_level = spdlog::level::from_str(std::string(level));
    logger->set_level(
        parsed_level == spdlog::level::off ? spdlog::level::info
                                           : parsed_level);
    spdlog::set_default_logger(std::move(logger));
}

event::event(std::string_view name) : line_("event=")
{
    line_ += name;
}

event::~event()
{
    const auto level = warning_ ? spdlog::level::warn : spdlog::level::info;
    spdlog::log(level, "{}", line_);
}

event& event::with(std::string_view key, std::string_view value)
{
    line_ += ' ';
    line_ += key;
    line_ += '=';
    append_value(line_, value);
    return *this;
}

event& event::with(std::string_view key, result_code code)
{
    with(key, name(code));
    return with("code", static_cast<std::uint16_t>(code));
}

event& event::warning() noexcept
{
    warning_ = true;
    return *this;
}

} // namespace wagtailseam::telemetry
