// I/O of an entry's view of cells.
#include "entry/cell_watch.hpp"

#include "cell_gossip/wire.hpp"
#include "peer/signed_http.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace wagtailseam::entry
{
namespace
{

constexpr std::chrono::milliseconds question_timeout{400};
/// Questions are rarer than heartbeats: an answer speaks for a whole cell.
constexpr int heartbeats_per_question = 2;
/// Rows that are this many questions old no longer get new work.
constexpr int questions_until_silent = 6;

} // namespace

cell_watch::cell_watch(peers& shared)
    : shared_(shared), timer_(shared.context), core_(shared.random)
{
}

void cell_watch::configure(const configuration::configuration& wanted)
{
    const duration interval =
        wanted.membership.heartbeat_interval * heartbeats_per_question;
    std::map<cell_id, std::vector<upstream_id>> cells;
    for (const auto& upstream : wanted.upstreams)
    {
        cells[upstream.cell].push_back(upstream.id);
    }
    feed(cell_gossip::cells_configured{
        std::move(cells),
        {.interval = interval,
         .retry_delay = interval / 4,
         .suspect_after = interval * questions_until_silent}});
}

void cell_watch::feed(const cell_gossip::poller_event& event)
{
    for (const auto& command : core_.handle(event, monotonic_clock::now()))
    {
        std::visit([this](const auto& known) { obey(known); }, command);
    }
}

void cell_watch::obey(const cell_gossip::query_member& command)
{
    const auto* const view = shared_.upstreams.find(command.member);
    if (view == nullptr)
    {
        return;
    }
    const auto to =
        peer::control_address(http::address{view->settings.sidecar});
    asio::co_spawn(shared_.context, ask(command, to), asio::detached);
}

void cell_watch::obey(const cell_gossip::set_poll_timer& command)
{
    timer_.expires_after(command.expires_at - monotonic_clock::now());
    timer_.async_wait(
        [this](boost::system::error_code failed)
        {
            if (!failed)
            {
                feed(cell_gossip::poll_due{});
            }
        });
}

void cell_watch::obey(const cell_gossip::cell_view_changed& command)
{
    const auto now = monotonic_clock::now();
    shared_.upstreams.record_rows(core_.live_rows(command.cell, now), now);
}

asio::awaitable<void> cell_watch::ask(
    cell_gossip::query_member question, http::address to)
{
    messages::control_request asked;
    asked.set_sender(shared_.settings.entry.value());
    shared_.spread->attach_number(asked);
    asked.mutable_question()->set_cell(question.cell.value());
    asked.mutable_question()->set_known(question.known_fingerprint.value());
    const auto reply =
        co_await shared_.control.ask(to, std::move(asked), question_timeout);
    if (reply)
    {
        shared_.spread->observe_number(
            reply.value().config_number(), to.value());
    }
    if (!reply || !reply.value().has_answer())
    {
        shared_.metrics.count("wagtail_cell_questions_failed_total");
        feed(cell_gossip::query_timed_out{question.cell});
        co_return;
    }
    feed(
        cell_gossip::decode_cell_answer(question.cell, reply.value().answer()));
}

} // namespace wagtailseam::entry
