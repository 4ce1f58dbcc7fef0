// Commands of the spread's core as calls to the platform and to peers.
#include "spread/runner.hpp"

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

namespace event = configuration::spread_event;

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds peer_timeout{400};

configuration::spread_options core_options(const runner_options& options)
{
    configuration::spread_options made{.polls_head = options.polls_head};
    for (const http::address& peer : options.peers)
    {
        made.peers.emplace_back(peer.value());
    }
    return made;
}

void fill(
    messages::configuration_content& content,
    const configuration::kept_configuration& kept)
{
    content.set_number(kept.number.value());
    content.set_object(std::string(kept.object.view()));
    content.set_content(*kept.bytes);
}

configuration::kept_configuration kept_from(
    const messages::configuration_content& content)
{
    return {
        .number = config_number{content.number()},
        .object = digest::from_bytes(content.object()),
        .bytes = std::make_shared<const std::string>(content.content())};
}

} // namespace

std::vector<http::address> addresses_from(const nlohmann::json& list)
{
    std::vector<http::address> addresses;
    for (const nlohmann::json& text : list)
    {
        addresses.emplace_back(text.get<std::string>());
    }
    return addresses;
}

runner::runner(
    asio::io_context& context, peer::control_client& control,
    table_service::client& platform, telemetry::metrics& metrics,
    runner_options options)
    : context_(context), control_(control), platform_(platform),
      metrics_(metrics), options_(std::move(options)),
      core_(core_options(options_), options_.seed), timer_(context),
      changed_(context)
{
    changed_.expires_at(asio::steady_timer::time_point::max());
}

void runner::start()
{
    asio::co_spawn(context_, run_timer(), asio::detached);
    feed(event::tick{});
}

void runner::stamp(messages::control_request& asked) const
{
    asked.set_config_number(core_.in_force().value());
    asked.set_sender_address(options_.self.value());
}

void runner::stamp(messages::control_reply& reply) const
{
    reply.set_config_number(core_.in_force().value());
}

void runner::saw(std::uint64_t number, const std::string& from)
{
    if (number > core_.in_force().value() && !from.empty())
    {
        feed(event::number_seen{
            config_number{number}, configuration::peer_id{from}});
    }
}

bool runner::answer(
    const messages::control_request& asked, messages::control_reply& reply)
{
    if (asked.has_fetch())
    {
        const auto& kept = core_.kept();
        if (!core_.ready())
        {
            reply.set_code(static_cast<std::uint32_t>(result_code::not_ready));
        }
        else if (kept.number.value() > asked.fetch().above())
        {
            fill(*reply.mutable_content(), kept);
            metrics_.count("wagtail_config_served_total");
        }
    }
    else if (asked.has_offer())
    {
        feed(event::offer_received{
            kept_from(asked.offer().offered()),
            configuration::peer_id{asked.sender_address()}});
    }
    else
    {
        return false;
    }
    stamp(reply);
    return true;
}

asio::awaitable<result<void>> runner::match(
    std::uint64_t number, std::string from, duration timeout)
{
    const mono_time deadline = monotonic_clock::now() + timeout;
    saw(number, from);
    while (core_.in_force().value() < number &&
           monotonic_clock::now() < deadline)
    {
        metrics_.count("wagtail_config_waits_total");
        asio::steady_timer give_up(context_, deadline - monotonic_clock::now());
        give_up.async_wait(
            [this](boost::system::error_code failed)
            {
                if (!failed)
                {
                    changed_.cancel();
                }
            });
        co_await changed_.async_wait(completion);
    }
    if (core_.in_force().value() != number)
    {
        co_return fail(
            result_code::stale_configuration,
            "number " + std::to_string(number) + ", in force " +
                std::to_string(core_.in_force().value()));
    }
    co_return boost::outcome_v2::success();
}

void runner::feed(const configuration::spread_input& input)
{
    for (const auto& command : core_.handle(input, monotonic_clock::now()))
    {
        std::visit([this](const auto& kind) { obey(kind); }, command);
    }
}

void runner::obey(const configuration::read_head& /*command*/)
{
    asio::co_spawn(context_, read_head(), asio::detached);
}

void runner::obey(const configuration::fetch_object& command)
{
    asio::co_spawn(context_, fetch_object(command), asio::detached);
}

void runner::obey(const configuration::fetch_from_peer& command)
{
    asio::co_spawn(context_, fetch_from_peer(command), asio::detached);
}

void runner::obey(const configuration::offer_to_peer& command)
{
    asio::co_spawn(context_, offer_to_peer(command), asio::detached);
}

void runner::obey(const configuration::put_in_force& command)
{
    auto parsed = configuration::parse_configuration(*command.kept.bytes);
    if (!parsed)
    {
        // Accepted by a newer program than this one: the number holds, so
        // that nothing older comes back, and the content stays as it was.
        metrics_.count("wagtail_config_unreadable_total");
        telemetry::event("configuration_unreadable")
            .with("number", command.kept.number)
            .with("reason", parsed.error().code)
            .warning();
        return;
    }
    metrics_.count(
        "wagtail_config_applied_total", "copies",
        command.alone ? "alone" : "kept");
    metrics_.set_gauge(
        "wagtail_config_number",
        static_cast<double>(command.kept.number.value()));
    telemetry::event("configuration_in_force")
        .with("number", command.kept.number)
        .with("object", command.kept.object.hex());
    options_.apply(command.kept.number, std::move(parsed).value());
    changed_.cancel();
}

void runner::obey(const configuration::become_ready& command)
{
    metrics_.count(
        "wagtail_config_ready_total", "confirmed",
        command.confirmed ? "yes" : "no");
    telemetry::event("configuration_ready")
        .with("number", core_.in_force())
        .with("confirmed", command.confirmed ? "yes" : "no");
}

void runner::obey(const configuration::wake_at& command)
{
    wake_at_ = command.when;
    timer_.cancel();
}

asio::awaitable<void> runner::run_timer()
{
    for (;;)
    {
        const bool idle = wake_at_ == mono_time::max();
        timer_.expires_after(
            idle ? duration(std::chrono::hours(1))
                 : wake_at_ - monotonic_clock::now());
        const auto [cancelled] = co_await timer_.async_wait(completion);
        if (!cancelled)
        {
            wake_at_ = mono_time::max();
            feed(event::tick{});
        }
    }
}

asio::awaitable<void> runner::read_head()
{
    metrics_.count("wagtail_config_head_reads_total");
    const auto answer = co_await platform_.read(configuration::head_row());
    const auto* const found = std::get_if<table_service::optional_row>(&answer);
    if (found == nullptr)
    {
        metrics_.count("wagtail_config_head_failures_total");
        feed(event::head_failed{});
        co_return;
    }
    if (!*found)
    {
        feed(event::head_read{});
        co_return;
    }
    const auto head = configuration::decode_acceptance((*found)->value);
    if (!head)
    {
        feed(event::head_failed{});
        co_return;
    }
    feed(event::head_read{head.value().number, head.value().object});
}

asio::awaitable<void> runner::fetch_object(configuration::fetch_object wanted)
{
    auto bytes = co_await platform_.read_object(
        configuration::object_name(wanted.object));
    if (!bytes)
    {
        feed(event::fetch_failed{});
        co_return;
    }
    metrics_.count("wagtail_config_fetched_total", "from", "platform");
    feed(event::configuration_received{
        {wanted.number, wanted.object,
         std::make_shared<const std::string>(std::move(bytes).value())},
        std::nullopt});
}

asio::awaitable<void> runner::fetch_from_peer(
    configuration::fetch_from_peer wanted)
{
    messages::control_request asked;
    stamp(asked);
    asked.mutable_fetch()->set_above(wanted.above.value());
    const auto reply = co_await control_.ask(
        http::address{wanted.peer.value()}, std::move(asked), peer_timeout);
    const bool answered =
        reply &&
        reply.value().code() == static_cast<std::uint32_t>(result_code::ok);
    if (!answered)
    {
        feed(event::fetch_failed{wanted.peer});
    }
    else if (reply.value().has_content())
    {
        metrics_.count("wagtail_config_fetched_total", "from", "peer");
        feed(event::configuration_received{
            kept_from(reply.value().content()), wanted.peer});
    }
    else
    {
        feed(event::nothing_newer{
            wanted.peer, config_number{reply.value().config_number()}});
    }
}

asio::awaitable<void> runner::offer_to_peer(configuration::offer_to_peer wanted)
{
    messages::control_request asked;
    stamp(asked);
    fill(*asked.mutable_offer()->mutable_offered(), wanted.kept);
    const auto reply = co_await control_.ask(
        http::address{wanted.peer.value()}, std::move(asked), peer_timeout);
    if (reply)
    {
        feed(event::offer_taken{
            wanted.peer, config_number{reply.value().config_number()}});
    }
}

} // namespace wagtailseam::spread
