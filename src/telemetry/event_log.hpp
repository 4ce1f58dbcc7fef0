// Structured logging: one line of key=value pairs per event.
#ifndef WAGTAILSEAM_TELEMETRY_EVENT_LOG_HPP
#define WAGTAILSEAM_TELEMETRY_EVENT_LOG_HPP

#include "core/result_code.hpp"
#include "core/strong_type.hpp"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

namespace wagtailseam::telemetry
{

/// Initializes logging to standard output; logging never blocks the process.
/// @param level "debug", "info", "warn" or "error"; others mean "info"
void initialize_logging(std::string_view program, std::string_view level);

/// Builds one log line and writes it in the destructor. Callers must not log
/// prompts, responses or keys.
/// @example event("dispatch").with("request", id).with("attempt", 1);
class event
{
public:
    explicit event(std::string_view name);
    ~event();
    event(const event&) = delete;
    event& operator=(const event&) = delete;

    event& with(std::string_view key, std::string_view value);
    event& with(std::string_view key, const char* value)
    {
        return with(key, std::string_view(value));
    }
    event& with(std::string_view key, result_code code);
    event& with(std::string_view key, std::integral auto value)
    {
        return with(key, std::string_view(std::to_string(value)));
    }
    template <class Tag, class Rep>
    event& with(std::string_view key, const strong_id<Tag, Rep>& id)
    {
        return with(key, id.value());
    }
    /// Sets the log level of the line to warning.
    event& warning() noexcept;

private:
    std::string line_;
    bool warning_ = false;
};

} // namespace wagtailseam::telemetry

#endif
