// Discovery, fetching, replication and activation of configurations.
#include "configuration/distribution_state_machine.hpp"

#include <algorithm>

namespace wagtailseam::configuration
{
namespace
{

bool is_intact(const configuration_snapshot& snapshot)
{
    return snapshot.bytes && sha256(*snapshot.bytes) == snapshot.object;
}

} // namespace

distribution_state_machine::distribution_state_machine(
    distribution_options options, std::uint64_t seed)
    : options_(std::move(options)), random_(seed)
{
}

std::vector<distribution_command> distribution_state_machine::handle(
    const distribution_input& event, mono_time now)
{
    now_ = now;
    commands_.clear();
    std::visit([this](const auto& alternative) { on(alternative); }, event);
    poll_head_if_due();
    query_peers_if_due();
    fetch_if_behind();
    offer_pending_to_peers();
    update_readiness();
    schedule_wake();
    return std::move(commands_);
}

dispatch_check distribution_state_machine::check_dispatch(
    config_number sender_number) const noexcept
{
    if (sender_number > active_.number)
    {
        return dispatch_check::receiver_behind;
    }
    return sender_number < active_.number ? dispatch_check::sender_behind
                                          : dispatch_check::same_number;
}

void distribution_state_machine::on(const distribution_event::tick& /*event*/)
{
    if (!started_)
    {
        started_ = true;
        start_deadline_ = now_ + options_.startup_timeout;
        next_poll_ = now_;
        next_peer_query_ = now_;
        unanswered_peers_.insert(options_.peers.begin(), options_.peers.end());
    }
}

void distribution_state_machine::query_peers_if_due()
{
    if (!started_ || ready_ || now_ < next_peer_query_)
    {
        return;
    }
    next_peer_query_ = now_ + options_.response_timeout;
    // All peers responded, but none had a configuration. Query them again,
    // since one of them may have received it in the meantime.
    if (unanswered_peers_.empty() && newest_held_number() == config_number{})
    {
        unanswered_peers_.insert(options_.peers.begin(), options_.peers.end());
    }
    for (const peer_id& peer : unanswered_peers_)
    {
        commands_.emplace_back(fetch_from_peer{peer, newest_held_number()});
    }
}

void distribution_state_machine::on(const distribution_event::head_read& event)
{
    head_confirmed_ = true;
    head_failed_ = false;
    if (event.number > head_number_)
    {
        head_number_ = event.number;
        head_object_ = event.object;
    }
}

void distribution_state_machine::on(
    const distribution_event::head_read_failed& /*event*/)
{
    head_failed_ = true;
}

void distribution_state_machine::on(
    const distribution_event::number_seen& event)
{
    if (event.number > newest_held_number() &&
        event.number >= newest_peer_number_)
    {
        peer_failed_ = peer_failed_ && event.from == newest_peer_;
        newest_peer_number_ = event.number;
        newest_peer_ = event.from;
    }
}

void distribution_state_machine::on(
    const distribution_event::configuration_received& event)
{
    if (!is_intact(event.snapshot))
    {
        on(distribution_event::fetch_failed{event.from});
        return;
    }
    (event.from ? peer_failed_ : platform_failed_) = false;
    fetch_deadline_ = now_;
    if (event.from)
    {
        unanswered_peers_.erase(*event.from);
    }
    accept_snapshot(
        event.snapshot, event.from && is_configured_peer(*event.from));
}

void distribution_state_machine::on(
    const distribution_event::offer_received& event)
{
    if (is_intact(event.snapshot))
    {
        accept_snapshot(event.snapshot, is_configured_peer(event.from));
    }
}

void distribution_state_machine::accept_snapshot(
    const configuration_snapshot& snapshot, bool from_configured_peer)
{
    if (snapshot.number <= active_.number)
    {
        return;
    }
    if (from_configured_peer || options_.peers.empty())
    {
        activate(snapshot, false);
    }
    else if (snapshot.number > newest_held_number())
    {
        pending_since_ = pending_ ? pending_since_ : now_;
        pending_ = snapshot;
        next_offer_ = now_;
    }
}

void distribution_state_machine::on(
    const distribution_event::nothing_newer& event)
{
    unanswered_peers_.erase(event.from);
    // The peer that reported a newer number has restarted since.
    if (event.from == newest_peer_ && event.number < newest_peer_number_)
    {
        peer_failed_ = true;
    }
}

void distribution_state_machine::on(
    const distribution_event::fetch_failed& event)
{
    (event.from ? peer_failed_ : platform_failed_) = true;
}

void distribution_state_machine::on(
    const distribution_event::offer_acknowledged& event)
{
    if (pending_ && event.number >= pending_->number &&
        is_configured_peer(event.peer))
    {
        activate(*pending_, false);
    }
}

bool distribution_state_machine::is_configured_peer(const peer_id& peer) const
{
    return std::ranges::find(options_.peers, peer) != options_.peers.end();
}

void distribution_state_machine::activate(
    const configuration_snapshot& snapshot, bool unreplicated)
{
    // Copy first, since `snapshot` may refer to pending_, which is reset below.
    active_ = snapshot;
    if (pending_ && pending_->number <= active_.number)
    {
        pending_.reset();
    }
    commands_.emplace_back(activate_configuration{active_, unreplicated});
}

void distribution_state_machine::poll_head_if_due()
{
    const bool polls_now = options_.polls_head || !ready_;
    if (!started_ || !polls_now || now_ < next_poll_)
    {
        return;
    }
    next_poll_ = now_ + jittered_poll_interval();
    commands_.emplace_back(read_head{});
}

void distribution_state_machine::fetch_if_behind()
{
    const bool head_ahead = head_number_ > newest_held_number();
    const bool peer_ahead = newest_peer_number_ > newest_held_number();
    if ((head_ahead || peer_ahead) && fetch_deadline_ <= now_)
    {
        fetch_deadline_ = now_ + options_.response_timeout;
        send_fetch(head_ahead, peer_ahead);
    }
}

void distribution_state_machine::send_fetch(bool head_ahead, bool peer_ahead)
{
    if (peer_ahead && !peer_failed_)
    {
        // Counts as failed until it responds, so that the next fetch uses
        // another source.
        peer_failed_ = true;
        commands_.emplace_back(
            fetch_from_peer{newest_peer_, newest_held_number()});
        return;
    }
    if (head_ahead && !platform_failed_)
    {
        platform_failed_ = true;
        commands_.emplace_back(fetch_object{head_number_, head_object_});
        return;
    }
    peer_failed_ = false;
    platform_failed_ = false;
    commands_.emplace_back(read_head{});
    if (!options_.peers.empty())
    {
        const auto index = random_.below(options_.peers.size());
        commands_.emplace_back(
            fetch_from_peer{options_.peers[index], newest_held_number()});
    }
}

void distribution_state_machine::offer_pending_to_peers()
{
    if (!pending_)
    {
        return;
    }
    if (now_ >= pending_since_ + options_.replication_timeout)
    {
        activate(*pending_, true);
        return;
    }
    if (now_ < next_offer_)
    {
        return;
    }
    next_offer_ = now_ + options_.response_timeout;
    for (const peer_id& peer : options_.peers)
    {
        commands_.emplace_back(offer_to_peer{peer, *pending_});
    }
}

void distribution_state_machine::update_readiness()
{
    if (ready_ || !started_ || active_.number == config_number{})
    {
        return;
    }
    const bool has_head = active_.number >= head_number_;
    const bool confirmed_by_head = head_confirmed_ && has_head;
    const bool confirmed_by_peers =
        has_head && unanswered_peers_.empty() && !options_.peers.empty();
    const bool startup_timed_out = now_ >= start_deadline_;
    if (confirmed_by_head ||
        (head_failed_ && (confirmed_by_peers || startup_timed_out)))
    {
        ready_ = true;
        commands_.emplace_back(
            become_ready{.confirmed = confirmed_by_head || confirmed_by_peers});
    }
}

void distribution_state_machine::schedule_wake()
{
    if (!started_)
    {
        return;
    }
    mono_time next = mono_time::max();
    if (options_.polls_head || !ready_)
    {
        next = std::min(next, next_poll_);
    }
    if (!ready_)
    {
        next = std::min(next, next_peer_query_);
    }
    if (fetch_deadline_ > now_)
    {
        next = std::min(next, fetch_deadline_);
    }
    if (pending_)
    {
        next = std::min(next, next_offer_);
    }
    if (next != mono_time::max() && next != scheduled_wake_)
    {
        scheduled_wake_ = next;
        commands_.emplace_back(wake_at{next});
    }
}

duration distribution_state_machine::jittered_poll_interval()
{
    constexpr double min_factor = 0.5;
    const double factor = min_factor + random_.unit();
    return duration(static_cast<duration::rep>(
        static_cast<double>(options_.poll_interval.count()) * factor));
}

} // namespace wagtailseam::configuration
