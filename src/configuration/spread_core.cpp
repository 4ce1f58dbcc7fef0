// Learning, fetching, offering and putting in force.
#include "configuration/spread_core.hpp"

#include <algorithm>

namespace wagtailseam::configuration
{
namespace
{

bool is_intact(const kept_configuration& kept)
{
    return kept.bytes && sha256(*kept.bytes) == kept.object;
}

} // namespace

spread_core::spread_core(spread_options options, std::uint64_t seed)
    : options_(std::move(options)), random_(seed)
{
}

std::vector<spread_command> spread_core::handle(
    const spread_input& event, mono_time now)
{
    now_ = now;
    out_.clear();
    std::visit([this](const auto& kind) { on(kind); }, event);
    poll_when_due();
    ask_peers_when_due();
    fetch_when_behind();
    offer_when_pending();
    check_ready();
    schedule();
    return std::move(out_);
}

dispatch_check spread_core::check_dispatch(config_number senders) const noexcept
{
    if (senders > in_force_.number)
    {
        return dispatch_check::receiver_behind;
    }
    return senders < in_force_.number ? dispatch_check::sender_behind
                                      : dispatch_check::same_number;
}

void spread_core::on(const spread_event::tick& /*event*/)
{
    if (!started_)
    {
        started_ = true;
        start_deadline_ = now_ + options_.start_patience;
        next_poll_ = now_;
        next_peer_round_ = now_;
        unheard_.insert(options_.peers.begin(), options_.peers.end());
    }
}

void spread_core::ask_peers_when_due()
{
    if (!started_ || ready_ || now_ < next_peer_round_)
    {
        return;
    }
    next_peer_round_ = now_ + options_.answer_timeout;
    // Once all have answered without a configuration to offer, ask again:
    // one of them may have found it since.
    if (unheard_.empty() && newest_number() == config_number{})
    {
        unheard_.insert(options_.peers.begin(), options_.peers.end());
    }
    for (const peer_id& peer : unheard_)
    {
        out_.emplace_back(fetch_from_peer{peer, newest_number()});
    }
}

void spread_core::on(const spread_event::head_read& event)
{
    head_confirmed_ = true;
    head_failed_ = false;
    if (event.number > head_number_)
    {
        head_number_ = event.number;
        head_object_ = event.object;
    }
}

void spread_core::on(const spread_event::head_failed& /*event*/)
{
    head_failed_ = true;
}

void spread_core::on(const spread_event::number_seen& event)
{
    if (event.number > newest_number() && event.number >= seen_number_)
    {
        peer_failed_ = peer_failed_ && event.from == seen_at_;
        seen_number_ = event.number;
        seen_at_ = event.from;
    }
}

void spread_core::on(const spread_event::configuration_received& event)
{
    if (!is_intact(event.kept))
    {
        on(spread_event::fetch_failed{event.from});
        return;
    }
    (event.from ? peer_failed_ : platform_failed_) = false;
    fetch_until_ = now_;
    if (event.from)
    {
        unheard_.erase(*event.from);
    }
    take(event.kept, event.from && is_own_peer(*event.from));
}

void spread_core::on(const spread_event::offer_received& event)
{
    if (is_intact(event.kept))
    {
        take(event.kept, is_own_peer(event.from));
    }
}

void spread_core::take(const kept_configuration& kept, bool from_own_peer)
{
    if (kept.number <= in_force_.number)
    {
        return;
    }
    if (from_own_peer || options_.peers.empty())
    {
        adopt(kept, false);
    }
    else if (kept.number > newest_number())
    {
        pending_since_ = pending_ ? pending_since_ : now_;
        pending_ = kept;
        next_offer_ = now_;
    }
}

void spread_core::on(const spread_event::nothing_newer& event)
{
    unheard_.erase(event.from);
    // The peer that named a newer number has restarted since.
    if (event.from == seen_at_ && event.number < seen_number_)
    {
        peer_failed_ = true;
    }
}

void spread_core::on(const spread_event::fetch_failed& event)
{
    (event.from ? peer_failed_ : platform_failed_) = true;
}

void spread_core::on(const spread_event::offer_taken& event)
{
    if (pending_ && event.number >= pending_->number && is_own_peer(event.by))
    {
        adopt(*pending_, false);
    }
}

bool spread_core::is_own_peer(const peer_id& other) const
{
    return std::ranges::find(options_.peers, other) != options_.peers.end();
}

void spread_core::adopt(const kept_configuration& kept, bool alone)
{
    // The copy is taken first: `kept` may be the one in pending_.
    in_force_ = kept;
    if (pending_ && pending_->number <= in_force_.number)
    {
        pending_.reset();
    }
    out_.emplace_back(put_in_force{in_force_, alone});
}

void spread_core::poll_when_due()
{
    const bool polls = options_.polls_head || !ready_;
    if (!started_ || !polls || now_ < next_poll_)
    {
        return;
    }
    next_poll_ = now_ + jittered_interval();
    out_.emplace_back(read_head{});
}

void spread_core::fetch_when_behind()
{
    const bool head_ahead = head_number_ > newest_number();
    const bool peer_ahead = seen_number_ > newest_number();
    if ((head_ahead || peer_ahead) && fetch_until_ <= now_)
    {
        fetch_until_ = now_ + options_.answer_timeout;
        fetch(head_ahead, peer_ahead);
    }
}

void spread_core::fetch(bool head_ahead, bool peer_ahead)
{
    if (peer_ahead && !peer_failed_)
    {
        // Failed until it answers: a silent peer is not asked twice in a row.
        peer_failed_ = true;
        out_.emplace_back(fetch_from_peer{seen_at_, newest_number()});
        return;
    }
    if (head_ahead && !platform_failed_)
    {
        platform_failed_ = true;
        out_.emplace_back(fetch_object{head_number_, head_object_});
        return;
    }
    peer_failed_ = false;
    platform_failed_ = false;
    out_.emplace_back(read_head{});
    if (!options_.peers.empty())
    {
        const auto any = random_.below(options_.peers.size());
        out_.emplace_back(
            fetch_from_peer{options_.peers[any], newest_number()});
    }
}

void spread_core::offer_when_pending()
{
    if (!pending_)
    {
        return;
    }
    if (now_ >= pending_since_ + options_.offer_patience)
    {
        adopt(*pending_, true);
        return;
    }
    if (now_ < next_offer_)
    {
        return;
    }
    next_offer_ = now_ + options_.answer_timeout;
    for (const peer_id& peer : options_.peers)
    {
        out_.emplace_back(offer_to_peer{peer, *pending_});
    }
}

void spread_core::check_ready()
{
    if (ready_ || !started_ || in_force_.number == config_number{})
    {
        return;
    }
    const bool has_head = in_force_.number >= head_number_;
    const bool confirmed_by_head = head_confirmed_ && has_head;
    const bool confirmed_by_peers =
        has_head && unheard_.empty() && !options_.peers.empty();
    const bool patience_ended = now_ >= start_deadline_;
    if (confirmed_by_head ||
        (head_failed_ && (confirmed_by_peers || patience_ended)))
    {
        ready_ = true;
        out_.emplace_back(
            become_ready{.confirmed = confirmed_by_head || confirmed_by_peers});
    }
}

void spread_core::schedule()
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
        next = std::min(next, next_peer_round_);
    }
    if (fetch_until_ > now_)
    {
        next = std::min(next, fetch_until_);
    }
    if (pending_)
    {
        next = std::min(next, next_offer_);
    }
    if (next != mono_time::max() && next != scheduled_)
    {
        scheduled_ = next;
        out_.emplace_back(wake_at{next});
    }
}

duration spread_core::jittered_interval()
{
    constexpr double least = 0.5;
    const double factor = least + random_.unit();
    return duration(static_cast<duration::rep>(
        static_cast<double>(options_.poll_interval.count()) * factor));
}

} // namespace wagtailseam::configuration
