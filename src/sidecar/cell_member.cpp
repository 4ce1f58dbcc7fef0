// I/O of a cell's member.
#include "sidecar/cell_member.hpp"

#include "cell_gossip/wire.hpp"
#include "peer/signed_http.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace wagtailseam::sidecar
{
namespace
{

constexpr std::chrono::milliseconds exchange_timeout{300};
/// Exchanges that a row takes to cross a cell of 64 and then some; fewer
/// would suspect members that are only far away.
constexpr int exchanges_across = 8;

/// The members of the cell of `self`, with their control addresses.
std::map<upstream_id, http::address> cell_of(
    const configuration::configuration& wanted, const upstream_id& self)
{
    std::map<upstream_id, http::address> members;
    for (const auto& own : wanted.upstreams)
    {
        if (own.id != self)
        {
            continue;
        }
        for (const auto& other : wanted.upstreams)
        {
            if (other.cell == own.cell)
            {
                members.emplace(
                    other.id,
                    peer::control_address(http::address{other.sidecar}));
            }
        }
    }
    return members;
}

} // namespace

cell_member::cell_member(
    asio::io_context& context, peer::control_client& control, upstream_id self,
    incarnation life, std::uint64_t seed)
    : context_(context), control_(control), self_(std::move(self)), life_(life),
      random_(seed), timer_(context),
      epoch_(static_cast<std::uint64_t>(
          wall_clock::now().time_since_epoch() / std::chrono::seconds(1))),
      identity_{.process_incarnation = life, .state = {}, .running_version = {}}
{
}

void cell_member::configure(
    const configuration::configuration& wanted,
    const spread::distributor& numbers)
{
    numbers_ = &numbers;
    addresses_ = cell_of(wanted, self_);
    const auto& timing = wanted.membership;
    const int silent =
        static_cast<int>(timing.silent_heartbeats) + exchanges_across;
    if (!core_)
    {
        core_.emplace(
            cell_gossip::gossip_options{
                .self = self_,
                .process_incarnation = life_,
                .epoch = epoch_,
                .table = {}},
            random_);
    }
    std::vector<upstream_id> members;
    for (const auto& [member, address] : addresses_)
    {
        members.push_back(member);
    }
    feed(cell_gossip::local_state_changed{identity_, load_});
    feed(cell_gossip::members_configured{
        .members = std::move(members),
        .interval = timing.heartbeat_interval,
        .suspect_after = timing.heartbeat_interval * silent});
}

void cell_member::set_self(
    const cell_gossip::member_identity& identity,
    const cell_gossip::member_load& load)
{
    identity_ = identity;
    load_ = load;
    if (core_)
    {
        feed(cell_gossip::local_state_changed{identity, load});
    }
}

void cell_member::feed(const cell_gossip::gossip_event& event)
{
    for (const auto& command : core_->handle(event, monotonic_clock::now()))
    {
        std::visit([this](const auto& known) { obey(known); }, command);
    }
}

void cell_member::obey(const cell_gossip::begin_exchange& command)
{
    const auto found = addresses_.find(command.peer);
    if (found != addresses_.end())
    {
        asio::co_spawn(
            context_, exchange(found->second, command.rows), asio::detached);
    }
}

void cell_member::obey(const cell_gossip::reply_to_exchange& command)
{
    answer_ = command.rows;
}

void cell_member::obey(const cell_gossip::set_gossip_timer& command)
{
    timer_.expires_after(command.expires_at - monotonic_clock::now());
    timer_.async_wait(
        [this](boost::system::error_code failed)
        {
            if (!failed)
            {
                feed(cell_gossip::gossip_timer_expired{});
            }
        });
}

asio::awaitable<void> cell_member::exchange(
    http::address to, std::vector<cell_gossip::member_row> rows)
{
    messages::control_request asked;
    asked.set_sender(self_.value());
    numbers_->attach_number(asked);
    *asked.mutable_exchange() = cell_gossip::encode_exchange(rows);
    const auto reply =
        co_await control_.ask(to, std::move(asked), exchange_timeout);
    if (reply && reply.value().has_exchange())
    {
        feed(cell_gossip::exchange_reply_received{
            cell_gossip::decode_exchange(reply.value().exchange())});
    }
}

bool cell_member::answer(
    const messages::control_request& asked, messages::control_reply& reply)
{
    if (!asked.has_exchange() && !asked.has_question())
    {
        return false;
    }
    if (!core_)
    {
        // Not configured yet: it can speak only of itself.
        reply.set_code(static_cast<std::uint32_t>(result_code::not_ready));
        return true;
    }
    if (asked.has_exchange())
    {
        feed(cell_gossip::exchange_received{
            cell_gossip::decode_exchange(asked.exchange())});
        *reply.mutable_exchange() =
            cell_gossip::encode_exchange(std::exchange(answer_, {}));
        return true;
    }
    *reply.mutable_answer() = cell_gossip::make_cell_answer(
        core_->table(), cell_gossip::fingerprint{asked.question().known()},
        monotonic_clock::now());
    return true;
}

std::size_t cell_member::live() const
{
    return core_ ? core_->table().live_rows(monotonic_clock::now()).size() : 0;
}

} // namespace wagtailseam::sidecar
