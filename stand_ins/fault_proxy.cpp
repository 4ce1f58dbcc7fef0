// A proxy between an entry and a sidecar that injects faults: streams on the
// data port, control messages on the port above it.
#include "chunk_faults.hpp"
#include "control_flags.hpp"
#include "http/endpoint.hpp"
#include "peer/signed_http.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <iostream>

ABSL_FLAG(std::string, data, "", "Data address offered to entries, IP:port.");
ABSL_FLAG(std::string, target, "", "Data address of the sidecar, IP:port.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the faults.");

namespace
{

using namespace wagtailseam;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using nlohmann::json;

constexpr auto completion = asio::experimental::as_tuple(asio::use_awaitable);
constexpr std::size_t read_bytes = 16'384;

/// One connection through the proxy.
struct pipe : std::enable_shared_from_this<pipe>
{
    pipe(tcp::socket accepted, stand_ins::fault_state& state, bool http)
        : client(std::move(accepted)), server(client.get_executor()),
          timer(client.get_executor()), faults(state), answers(state),
          scan_chunks(http)
    {
    }

    tcp::socket client;
    tcp::socket server;
    asio::steady_timer timer;
    stand_ins::fault_state& faults;
    stand_ins::chunk_filter answers;
    bool scan_chunks;

    void close()
    {
        boost::system::error_code ignored;
        client.close(ignored);
        server.close(ignored);
    }

    asio::awaitable<void> run(tcp::endpoint target)
    {
        const auto self = shared_from_this();
        const auto [failed] = co_await server.async_connect(target, completion);
        if (failed)
        {
            close();
            co_return;
        }
        boost::system::error_code ignored;
        client.set_option(tcp::no_delay(true), ignored);
        server.set_option(tcp::no_delay(true), ignored);
        asio::co_spawn(
            client.get_executor(), [self] { return self->copy_requests(); },
            asio::detached);
        co_await copy_answers();
    }

    asio::awaitable<void> copy_requests()
    {
        const auto self = shared_from_this();
        std::array<char, read_bytes> bytes{};
        for (;;)
        {
            const auto [failed, size] = co_await client.async_read_some(
                asio::buffer(bytes), completion);
            if (failed)
            {
                break;
            }
            const auto [write_failed, sent] = co_await asio::async_write(
                server, asio::buffer(bytes.data(), size), completion);
            if (write_failed)
            {
                break;
            }
        }
        close();
    }

    asio::awaitable<void> copy_answers()
    {
        std::array<char, read_bytes> bytes{};
        for (;;)
        {
            const auto [failed, size] = co_await server.async_read_some(
                asio::buffer(bytes), completion);
            if (failed)
            {
                break;
            }
            co_await delay();
            const std::string_view raw(bytes.data(), size);
            std::string out =
                scan_chunks ? answers.pass(raw) : std::string(raw);
            const bool cut = faults.strikes(faults.rates.cut);
            if (cut)
            {
                out.resize(faults.random.below(out.size() + 1));
            }
            const auto [write_failed, sent] = co_await asio::async_write(
                client, asio::buffer(out), completion);
            faults.counts.cut += cut ? 1 : 0;
            if (write_failed || cut)
            {
                break;
            }
        }
        close();
    }

    asio::awaitable<void> delay()
    {
        if (faults.strikes(faults.rates.delay))
        {
            ++faults.counts.delay;
            const auto bound =
                static_cast<std::uint64_t>(faults.rates.max_delay_ms);
            timer.expires_after(
                std::chrono::milliseconds(faults.random.below(bound + 1)));
            co_await timer.async_wait(completion);
        }
    }
};

/// Accepts connections at one address and connects each to the target.
asio::awaitable<void> accept_loop(
    tcp::acceptor acceptor, tcp::endpoint target,
    stand_ins::fault_state& faults, bool http)
{
    for (;;)
    {
        auto [failed, socket] = co_await acceptor.async_accept(completion);
        if (failed)
        {
            co_return;
        }
        const auto made =
            std::make_shared<pipe>(std::move(socket), faults, http);
        asio::co_spawn(
            acceptor.get_executor(),
            [made, target] { return made->run(target); }, asio::detached);
    }
}

void open_proxy(
    asio::io_context& context, const http::address& from,
    const http::address& to, stand_ins::fault_state& faults, bool http)
{
    const auto listen = http::parse_endpoint(from);
    const auto target = http::parse_endpoint(to);
    if (!listen || !target)
    {
        std::cerr << "fault_proxy: --data and --target are IP:port\n";
        std::exit(2);
    }
    tcp::acceptor acceptor(context, listen.value());
    asio::co_spawn(
        context, accept_loop(std::move(acceptor), target.value(), faults, http),
        asio::detached);
}

void set_rates(stand_ins::fault_state& faults, const json& wanted)
{
    auto& rates = faults.rates;
    rates.cut = wanted.value("cut", 0.0);
    rates.delay = wanted.value("delay", 0.0);
    rates.max_delay_ms = wanted.value("max_delay_ms", 20);
    rates.duplicate = wanted.value("duplicate", 0.0);
    rates.swap = wanted.value("swap", 0.0);
    rates.cross = wanted.value("cross", 0.0);
    rates.corrupt = wanted.value("corrupt", 0.0);
}

asio::awaitable<void> control(
    stand_ins::fault_state& faults, http::exchange& exchange)
{
    const json wanted =
        json::parse(exchange.received_request().body, nullptr, false);
    if (wanted.is_object())
    {
        set_rates(faults, wanted);
    }
    const auto& counts = faults.counts;
    const json answer{{"cut", counts.cut},
                      {"delay", counts.delay},
                      {"duplicate", counts.duplicate},
                      {"swap", counts.swap},
                      {"cross", counts.cross},
                      {"corrupt", counts.corrupt}};
    co_await stand_ins::send_json(exchange, answer.dump());
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    boost::asio::io_context context(1);
    stand_ins::fault_state faults;
    faults.random = random_source(absl::GetFlag(FLAGS_seed));
    const http::address data{absl::GetFlag(FLAGS_data)};
    const http::address target{absl::GetFlag(FLAGS_target)};
    open_proxy(context, data, target, faults, true);
    open_proxy(
        context, peer::control_address(data), peer::control_address(target),
        faults, false);
    return stand_ins::serve(
        context, "fault_proxy",
        [&faults](http::exchange& exchange)
        { return control(faults, exchange); });
}
