// Executes the commands of the state machine as requests to the platform and
// to peers.
#include "spread/distributor.hpp"

#include "configuration/rows.hpp"
#include "telemetry/event_log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace wagtailseam::spread
{
namespace
{

namespace event = configuration::distribution_event;

constexpr auto await_as_tuple =
    asio::experimental::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds peer_request_timeout{400};

configuration::distribution_options state_machine_options(
    const distributor_options& options)
{
    configuration::distribution_options result{
        .polls_head = options.polls_head};
    for (const http::address& peer : options.peers)
    {
        result.peers.emplace_back(peer.value());
    }
    return result;
}

void write_snapshot(
    messages::configuration_content& content,
    const configuration::configuration_snapshot& snapshot)
{
    content.set_number(snapshot.number.value());
    content.set_object(std::string(snapshot.object.view()));
    content.set_content(*snapshot.bytes);
}

configuration::configuration_snapshot read_snapshot(
    const messages::configuration_content& content)
{
    return {
        .number = config_number{content.number()},
        .object = digest::from_bytes(content.object()),
        .bytes = std::make_shared<const std::string>(content.content())};
}

} // namespace

std::vector<http::address> parse_addresses(const nlohmann::json& list)
{
    std::vector<http::address> addresses;
    for (const nlohmann::json& text : list)
    {
        addresses.emplace_back(text.get<std::string>());
    }
    return addresses;
}

distributor::distributor(
    asio::io_context& context, peer::control_client& control,
    table_service::client& platform, telemetry::metrics& metrics,
    distributor_options options)
    : context_(context), control_(control), platform_(platform),
      metrics_(metrics), options_(std::move(options)),
      state_machine_(state_machine_options(options_), options_.seed),
      wake_timer_(context), activation_signal_(context)
{
    activation_signal_.expires_at(asio::steady_timer::time_point::max());
}

void distributor::start()
{
    asio::co_spawn(context_, run_timer(), asio::detached);
    handle_event(event::tick{});
}

void distributor::attach_number(messages::control_request& request) const
{
    request.set_config_number(state_machine_.active_number().value());
    request.set_sender_address(options_.control_address.value());
}

void distributor::attach_number(messages::control_reply& reply) const
{
    reply.set_config_number(state_machine_.active_number().value());
}

void distributor::observe_number(
    std::uint64_t number, const std::string& sender)
{
    if (number > state_machine_.active_number().value() && !sender.empty())
    {
        handle_event(event::number_seen{
            config_number{number}, configuration::peer_id{sender}});
    }
}

bool distributor::handle_request(
    const messages::control_request& request, messages::control_reply& reply)
{
    if (request.has_fetch())
    {
        const auto& snapshot = state_machine_.active();
        if (!state_machine_.ready())
        {
            reply.set_code(static_cast<std::uint32_t>(result_code::not_ready));
        }
        else if (snapshot.number.value() > request.fetch().above())
        {
            write_snapshot(*reply.mutable_content(), snapshot);
            metrics_.count("wagtail_config_served_total");
        }
    }
    else if (request.has_offer())
    {
        handle_event(event::offer_received{
            read_snapshot(request.offer().offered()),
            configuration::peer_id{request.sender_address()}});
    }
    else
    {
        return false;
    }
    attach_number(reply);
    return true;
}

asio::awaitable<result<void>> distributor::wait_for_number(
    std::uint64_t number, std::string sender, duration timeout)
{
    const mono_time deadline = monotonic_clock::now() + timeout;
    observe_number(number, sender);
    while (state_machine_.active_number().value() < number &&
           monotonic_clock::now() < deadline)
    {
        metrics_.count("wagtail_config_waits_total");
        asio::steady_timer timeout_timer(
            context_, deadline - monotonic_clock::now());
        timeout_timer.async_wait(
            [this](boost::system::error_code error)
            {
                if (!error)
                {
                    activation_signal_.cancel();
                }
            });
        co_await activation_signal_.async_wait(await_as_tuple);
    }
    if (state_machine_.active_number().value() != number)
    {
        co_return fail(
            result_code::stale_configuration,
            "request has configuration number " + std::to_string(number) +
                ", but the active number is " +
                std::to_string(state_machine_.active_number().value()));
    }
    co_return boost::outcome_v2::success();
}

void distributor::handle_event(const configuration::distribution_input& input)
{
    for (const auto& command :
         state_machine_.handle(input, monotonic_clock::now()))
    {
        std::visit(
            [this](const auto& alternative) { execute(alternative); }, command);
    }
}

void distributor::execute(const configuration::read_head& /*command*/)
{
    asio::co_spawn(context_, read_head(), asio::detached);
}

void distributor::execute(const configuration::fetch_object& command)
{
    asio::co_spawn(context_, fetch_object(command), asio::detached);
}

void distributor::execute(const configuration::fetch_from_peer& command)
{
    asio::co_spawn(context_, fetch_from_peer(command), asio::detached);
}

void distributor::execute(const configuration::offer_to_peer& command)
{
    asio::co_spawn(context_, offer_to_peer(command), asio::detached);
}

void distributor::execute(const configuration::activate_configuration& command)
{
    auto parsed = configuration::parse_configuration(*command.snapshot.bytes);
    if (!parsed)
    {
        // A newer version of the software accepted this configuration. The
        // number becomes active, so that no older configuration returns, but
        // the process continues with its previous settings.
        metrics_.count("wagtail_config_unreadable_total");
        telemetry::event("configuration_unreadable")
            .with("number", command.snapshot.number)
            .with("reason", parsed.error().code)
            .warning();
        return;
    }
    metrics_.count(
        "wagtail_config_applied_total", "copies",
        command.unreplicated ? "alone" : "kept");
    metrics_.set_gauge(
        "wagtail_config_number",
        static_cast<double>(command.snapshot.number.value()));
    telemetry::event("configuration_in_force")
        .with("number", command.snapshot.number)
        .with("object", command.snapshot.object.hex());
    options_.on_activated(command.snapshot.number, std::move(parsed).value());
    activation_signal_.cancel();
}

void distributor::execute(const configuration::become_ready& command)
{
    metrics_.count(
        "wagtail_config_ready_total", "confirmed",
        command.confirmed ? "yes" : "no");
    telemetry::event("configuration_ready")
        .with("number", state_machine_.active_number())
        .with("confirmed", command.confirmed ? "yes" : "no");
}

void distributor::execute(const configuration::wake_at& command)
{
    wake_time_ = command.time;
    wake_timer_.cancel();
}

asio::awaitable<void> distributor::run_timer()
{
    for (;;)
    {
        const bool idle = wake_time_ == mono_time::max();
        wake_timer_.expires_after(
            idle ? duration(std::chrono::hours(1))
                 : wake_time_ - monotonic_clock::now());
        const auto [cancelled] =
            co_await wake_timer_.async_wait(await_as_tuple);
        if (!cancelled)
        {
            wake_time_ = mono_time::max();
            handle_event(event::tick{});
        }
    }
}

asio::awaitable<void> distributor::read_head()
{
    metrics_.count("wagtail_config_head_reads_total");
    const auto answer = co_await platform_.read(configuration::head_row());
    const auto* const row = std::get_if<table_service::optional_row>(&answer);
    if (row == nullptr)
    {
        metrics_.count("wagtail_config_head_failures_total");
        handle_event(event::head_read_failed{});
        co_return;
    }
    if (!*row)
    {
        handle_event(event::head_read{});
        co_return;
    }
    const auto head = configuration::decode_acceptance((*row)->value);
    if (!head)
    {
        handle_event(event::head_read_failed{});
        co_return;
    }
    handle_event(event::head_read{head.value().number, head.value().object});
}

asio::awaitable<void> distributor::fetch_object(
    configuration::fetch_object command)
{
    auto bytes = co_await platform_.read_object(
        configuration::object_name(command.object));
    if (!bytes)
    {
        handle_event(event::fetch_failed{});
        co_return;
    }
    metrics_.count("wagtail_config_fetched_total", "from", "platform");
    handle_event(event::configuration_received{
        {command.number, command.object,
         std::make_shared<const std::string>(std::move(bytes).value())},
        std::nullopt});
}

asio::awaitable<void> distributor::fetch_from_peer(
    configuration::fetch_from_peer command)
{
    messages::control_request request;
    attach_number(request);
    request.mutable_fetch()->set_above(command.above.value());
    const auto reply = co_await control_.ask(
        http::address{command.peer.value()}, std::move(request),
        peer_request_timeout);
    const bool answered =
        reply &&
        reply.value().code() == static_cast<std::uint32_t>(result_code::ok);
    if (!answered)
    {
        handle_event(event::fetch_failed{command.peer});
    }
    else if (reply.value().has_content())
    {
        metrics_.count("wagtail_config_fetched_total", "from", "peer");
        handle_event(event::configuration_received{
            read_snapshot(reply.value().content()), command.peer});
    }
    else
    {
        handle_event(event::nothing_newer{
            command.peer, config_number{reply.value().config_number()}});
    }
}

asio::awaitable<void> distributor::offer_to_peer(
    configuration::offer_to_peer command)
{
    messages::control_request request;
    attach_number(request);
    write_snapshot(
        *request.mutable_offer()->mutable_offered(), command.snapshot);
    const auto reply = co_await control_.ask(
        http::address{command.peer.value()}, std::move(request),
        peer_request_timeout);
    if (reply)
    {
        handle_event(event::offer_acknowledged{
            command.peer, config_number{reply.value().config_number()}});
    }
}

} // namespace wagtailseam::spread
