// wagtailctl accept, rollback and history: the accepted configurations in the
// platform.
#include "configuration/acceptance_state_machine.hpp"
#include "configuration/configuration.hpp"
#include "core/overloaded.hpp"
#include "questionnaire/difference.hpp"
#include "runtime/program.hpp"
#include "wagtailctl.hpp"

#include <absl/flags/flag.h>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <charconv>
#include <iostream>

ABSL_FLAG(std::string, by, "operator", "Who accepts; stands in the history.");
ABSL_FLAG(
    std::string, base, "",
    "Number that the change was made from; default: the one in force. "
    "Acceptance fails with a conflict when another is in force by then.");
ABSL_FLAG(int, limit, 20, "Most rows of the history to show.");

namespace wagtailseam::ctl
{
namespace
{

using configuration::acceptance;
using nlohmann::json;

std::optional<std::uint64_t> number_from(const std::string& text)
{
    std::uint64_t number = 0;
    const char* const end = text.data() + text.size();
    const auto read = std::from_chars(text.data(), end, number);
    const bool whole = read.ec == std::errc{} && read.ptr == end;
    return whole ? std::optional(number) : std::nullopt;
}

/// Reads one row of an acceptance.
/// @errors platform_unavailable, config_not_found
result<acceptance> read_acceptance(
    platform_session& session, table_service::row_key at)
{
    const auto answer = session.wait(session.client().read(std::move(at)));
    const auto* const found = std::get_if<table_service::optional_row>(&answer);
    if (found == nullptr)
    {
        return fail(result_code::platform_unavailable);
    }
    if (!*found)
    {
        return fail(result_code::config_not_found);
    }
    return configuration::decode_acceptance((*found)->value);
}

/// Reads a configuration's bytes and checks their digest.
result<std::string> read_bytes(platform_session& session, const acceptance& row)
{
    auto bytes = session.wait(
        session.client().read_object(configuration::object_name(row.object)));
    if (bytes && sha256(bytes.value()) != row.object)
    {
        return fail(
            result_code::config_invalid,
            "the stored bytes do not match their digest");
    }
    return bytes;
}

std::string describe(const acceptance& row)
{
    std::string text = std::to_string(row.number.value()) + "  by " + row.by +
                       "  " + row.object.hex().substr(0, 12);
    if (row.restores.value() > 0)
    {
        text += "  restores " + std::to_string(row.restores.value());
    }
    return text + "\n";
}

json to_json(const acceptance& row)
{
    return {
        {"number", row.number.value()},
        {"object", row.object.hex()},
        {"by", row.by},
        {"nonce", row.nonce},
        {"at_us", row.at.time_since_epoch().count()},
        {"restores", row.restores.value()}};
}

/// The configuration in force, or number 0 and an empty object.
struct base_configuration
{
    config_number number;
    json value = json::object();
};

result<base_configuration> read_base(platform_session& session)
{
    const std::string wanted = absl::GetFlag(FLAGS_base);
    const auto number = number_from(wanted);
    const auto row = read_acceptance(
        session, number ? configuration::history_row(config_number{*number})
                        : configuration::head_row());
    if (!row)
    {
        if (row.error().code == result_code::config_not_found)
        {
            return base_configuration{};
        }
        return fail(row.error().code, row.error().detail);
    }
    BOOST_OUTCOME_TRY(const auto bytes, read_bytes(session, row.value()));
    return base_configuration{
        row.value().number, json::parse(bytes, nullptr, false, true)};
}

bool confirmed(const std::vector<questionnaire::change>& changes)
{
    if (absl::GetFlag(FLAGS_yes))
    {
        return true;
    }
    std::cout << questionnaire::describe(changes) << "Accept? [y/N] "
              << std::flush;
    std::string answer;
    std::getline(std::cin, answer);
    return answer == "y" || answer == "yes";
}

/// Carries out the commands of an acceptance.
class acceptance_run
{
public:
    acceptance_run(
        platform_session& session, configuration::acceptance_request request)
        : session_(session), core_(std::move(request))
    {
    }

    /// Returns accepted, acceptance_conflict or acceptance_failed.
    configuration::acceptance_command run()
    {
        configuration::acceptance_command command = core_.start();
        while (true)
        {
            auto input =
                std::visit([this](auto& kind) { return obey(kind); }, command);
            if (!input)
            {
                return command;
            }
            command = core_.handle(*input);
        }
    }

private:
    using maybe_input = std::optional<configuration::acceptance_input>;

    maybe_input obey(configuration::put_object& command)
    {
        const auto stored = session_.wait(
            session_.client().put_object(command.name, command.bytes));
        return configuration::acceptance_event::object_put{stored.has_value()};
    }

    maybe_input obey(configuration::read_row& command)
    {
        return configuration::acceptance_event::row_read{
            session_.wait(session_.client().read(command.key))};
    }

    maybe_input obey(configuration::write_rows& command)
    {
        return configuration::acceptance_event::rows_written{
            session_.wait(session_.client().apply(command.transaction))};
    }

    maybe_input obey(configuration::wait_for& command)
    {
        const auto wait =
            [this](duration length) -> boost::asio::awaitable<bool>
        {
            boost::asio::steady_timer timer(session_.context(), length);
            co_await timer.async_wait(boost::asio::use_awaitable);
            co_return true;
        };
        session_.wait(wait(command.delay));
        return configuration::acceptance_event::wait_ended{};
    }

    template <class Outcome>
    maybe_input obey(Outcome& /*command*/)
    {
        return std::nullopt;
    }

    platform_session& session_;
    configuration::acceptance_state_machine core_;
};

/// Shows what the other operator changed against the same base.
exit_code report_race(
    platform_session& session, const base_configuration& base,
    const acceptance& other)
{
    print_error(
        result_code::config_conflict, "Number " +
                                          std::to_string(other.number.value()) +
                                          " by " + other.by + " came first.");
    const auto bytes = read_bytes(session, other);
    if (bytes && !absl::GetFlag(FLAGS_json))
    {
        std::cerr << "It changed:\n"
                  << questionnaire::describe(questionnaire::difference(
                         base.value,
                         json::parse(bytes.value(), nullptr, false, true)));
    }
    return exit_code::conflict;
}

exit_code accept_bytes(
    platform_session& session, const base_configuration& base,
    std::string bytes, config_number restores)
{
    const auto changes = questionnaire::difference(
        base.value, json::parse(bytes, nullptr, false, true));
    if (changes.empty())
    {
        print({{"number", base.number.value()}}, "no change\n");
        return exit_code::success;
    }
    if (!confirmed(changes))
    {
        std::cout << "not accepted\n";
        return exit_code::declined;
    }
    acceptance_run run(
        session, {.bytes = std::move(bytes),
                  .base_number = base.number,
                  .nonce = std::to_string(runtime::random_incarnation()),
                  .by = absl::GetFlag(FLAGS_by),
                  .at = wall_clock::now(),
                  .restores = restores});
    const auto outcome = run.run();
    if (const auto* const done = std::get_if<configuration::accepted>(&outcome))
    {
        print(to_json(done->row), "accepted as " + describe(done->row));
        return exit_code::success;
    }
    if (const auto* const race =
            std::get_if<configuration::acceptance_conflict>(&outcome))
    {
        return report_race(session, base, race->other);
    }
    const error why = std::get<configuration::acceptance_failed>(outcome).cause;
    print_error(why.code, why.detail);
    return why.code == result_code::platform_answer_lost ? exit_code::unknown
                                                         : exit_code::failure;
}

exit_code accept(const std::vector<std::string>& arguments)
{
    if (arguments.size() != 1)
    {
        return exit_code::usage;
    }
    const auto bytes = runtime::read_file(arguments[0]);
    if (!bytes)
    {
        print_error(bytes.error().code, arguments[0]);
        return exit_code::failure;
    }
    const auto parsed = configuration::parse_configuration(bytes.value());
    if (!parsed)
    {
        print_error(parsed.error().code, parsed.error().detail);
        return exit_code::invalid;
    }
    platform_session session;
    const auto base = read_base(session);
    if (!base)
    {
        print_error(base.error().code, base.error().detail);
        return exit_code::failure;
    }
    return accept_bytes(session, base.value(), bytes.value(), config_number{});
}

exit_code rollback(const std::vector<std::string>& arguments)
{
    const auto number =
        arguments.size() == 1 ? number_from(arguments[0]) : std::nullopt;
    if (!number)
    {
        return exit_code::usage;
    }
    platform_session session;
    const auto base = read_base(session);
    const auto row = read_acceptance(
        session, configuration::history_row(config_number{*number}));
    if (!base || !row)
    {
        const error why = base ? row.error() : base.error();
        print_error(why.code, why.detail);
        return exit_code::failure;
    }
    auto bytes = read_bytes(session, row.value());
    if (!bytes)
    {
        print_error(bytes.error().code, bytes.error().detail);
        return exit_code::failure;
    }
    return accept_bytes(
        session, base.value(), std::move(bytes).value(),
        config_number{*number});
}

exit_code history(const std::vector<std::string>& arguments)
{
    if (!arguments.empty())
    {
        return exit_code::usage;
    }
    platform_session session;
    const auto head = read_acceptance(session, configuration::head_row());
    if (!head)
    {
        print_error(head.error().code, head.error().detail);
        return exit_code::failure;
    }
    const auto limit =
        static_cast<std::uint64_t>(std::max(1, absl::GetFlag(FLAGS_limit)));
    const std::uint64_t newest = head.value().number.value();
    const std::uint64_t after = newest > limit ? newest - limit : 0;
    const auto answer = session.wait(session.client().scan(
        std::string(configuration::configuration_table),
        std::string(configuration::history_prefix),
        configuration::history_row(config_number{after}).key, limit));
    const auto* const rows =
        std::get_if<std::vector<table_service::row>>(&answer);
    if (rows == nullptr)
    {
        print_error(result_code::platform_unavailable, "");
        return exit_code::failure;
    }
    json list = json::array();
    std::string text;
    for (const table_service::row& each : *rows)
    {
        const auto row = configuration::decode_acceptance(each.value);
        if (row)
        {
            list.push_back(to_json(row.value()));
            text += describe(row.value());
        }
    }
    print({{"history", std::move(list)}}, text);
    return exit_code::success;
}

} // namespace

std::vector<command> acceptance_commands()
{
    return {
        {"accept", "CONFIGURATION",
         "shows the difference, asks, and moves the head", accept},
        {"rollback", "NUMBER",
         "accepts an earlier content under a new, higher number", rollback},
        {"history", "", "lists accepted configurations, oldest first",
         history}};
}

} // namespace wagtailseam::ctl
