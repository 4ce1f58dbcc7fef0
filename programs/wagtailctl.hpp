// What the subcommands of wagtailctl share.
#ifndef WAGTAILSEAM_PROGRAMS_WAGTAILCTL_HPP
#define WAGTAILSEAM_PROGRAMS_WAGTAILCTL_HPP

#include "core/result.hpp"
#include "table_service/client.hpp"

#include <absl/flags/declare.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <future>
#include <optional>
#include <string>
#include <utility>
#include <vector>

ABSL_DECLARE_FLAG(bool, json);
ABSL_DECLARE_FLAG(bool, yes);
ABSL_DECLARE_FLAG(std::string, platform);

namespace wagtailseam::ctl
{

/// Exit codes; docs/WAGTAILCTL.md lists them.
enum class exit_code : int
{
    success = 0,
    /// The operation failed; nothing was changed.
    failure = 1,
    usage = 2,
    /// The questionnaire or configuration has faults.
    invalid = 3,
    /// Another operator was first; nothing was changed.
    conflict = 4,
    /// The platform's answer was lost: the change may be in effect.
    unknown = 5,
    /// The operator did not confirm; nothing was changed.
    declined = 6,
    /// `status`: not every process has the number in force.
    lagging = 7,
};

/// One subcommand.
struct command
{
    std::string name;
    /// The arguments after the name, as the usage shows them.
    std::string arguments;
    std::string summary;
    exit_code (*run)(const std::vector<std::string>& arguments);
};

/// The groups of subcommands, one source file each.
[[nodiscard]] std::vector<command> questionnaire_commands();
[[nodiscard]] std::vector<command> acceptance_commands();
[[nodiscard]] std::vector<command> status_commands();
[[nodiscard]] std::vector<command> explain_commands();
[[nodiscard]] std::vector<command> placement_commands();

/// A platform client whose calls wait for their answers.
class platform_session
{
public:
    platform_session();

    /// Runs a call of the client to its end.
    /// @example auto row = session.wait(session.client().read(at));
    template <class T>
    T wait(boost::asio::awaitable<T> call)
    {
        std::optional<T> answer;
        const auto keep = [&]() -> boost::asio::awaitable<void>
        { answer.emplace(co_await std::move(call)); };
        auto done =
            boost::asio::co_spawn(context_, keep, boost::asio::use_future);
        context_.restart();
        // A pooled connection keeps the context running after the call.
        while (done.wait_for(std::chrono::seconds(0)) !=
               std::future_status::ready)
        {
            context_.run_one();
        }
        done.get();
        return std::move(*answer);
    }

    [[nodiscard]] table_service::client& client() noexcept { return client_; }
    [[nodiscard]] boost::asio::io_context& context() noexcept
    {
        return context_;
    }

private:
    boost::asio::io_context context_;
    table_service::client client_;
};

/// Prints an error as a sentence, or as JSON with --json.
void print_error(result_code code, const std::string& detail);

/// Prints a value as JSON with --json, otherwise the text.
void print(const nlohmann::json& value, const std::string& text);

} // namespace wagtailseam::ctl

#endif
