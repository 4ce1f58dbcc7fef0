// Views of upstreams, updated by the rows of cells.
#include "entry/upstream_directory.hpp"

#include "cell_gossip/log_scale.hpp"

#include <algorithm>

namespace wagtailseam::entry
{
namespace
{

bool serves(const upstream_view& view, const upstream_need& need)
{
    if (view.settings.kind != need.kind)
    {
        return false;
    }
    if (need.kind == configuration::upstream_kind::service)
    {
        return view.settings.service == need.service;
    }
    const bool right_version =
        need.version == weight_version{} || view.version == need.version;
    const auto& models = view.settings.models;
    const bool has_model =
        std::find(models.begin(), models.end(), need.model) != models.end();
    return has_model && right_version;
}

} // namespace

void upstream_directory::configure(const configuration::configuration& wanted)
{
    std::map<upstream_id, upstream_view> next;
    for (const auto& settings : wanted.upstreams)
    {
        upstream_view view;
        const auto known = views_.find(settings.id);
        if (known != views_.end() &&
            known->second.settings.sidecar == settings.sidecar)
        {
            view = known->second;
        }
        view.settings = settings;
        next.emplace(settings.id, std::move(view));
    }
    views_ = std::move(next);
}

void upstream_directory::record_rows(
    const std::vector<cell_gossip::member_row>& rows, mono_time now)
{
    using cell_gossip::decode_log_scale;
    using cell_gossip::member_state;
    for (const auto& row : rows)
    {
        const auto found = views_.find(row.member);
        if (found == views_.end())
        {
            continue;
        }
        upstream_view& view = found->second;
        view.heard = true;
        view.last_row = now;
        view.life = row.identity.process_incarnation;
        view.sidecar_clock = attempt::sidecar_time(duration(row.clock_us));
        view.draining = row.identity.state == member_state::draining;
        view.upstream_ready = row.identity.state == member_state::ready;
        view.version = row.identity.running_version;
        view.running = static_cast<std::uint32_t>(
            decode_log_scale(row.load.running_requests));
        view.queued_tokens = token_count{static_cast<std::uint64_t>(
            decode_log_scale(row.load.queued_tokens))};
        view.prefill_rate = token_rate{decode_log_scale(row.load.prefill_rate)};
    }
}

void upstream_directory::attempt_started(const upstream_id& upstream)
{
    const auto found = views_.find(upstream);
    if (found != views_.end())
    {
        ++found->second.own_attempts;
    }
}

void upstream_directory::attempt_ended(const upstream_id& upstream)
{
    const auto found = views_.find(upstream);
    if (found != views_.end() && found->second.own_attempts > 0)
    {
        --found->second.own_attempts;
    }
}

std::vector<const upstream_view*> upstream_directory::candidates(
    const upstream_need& need, std::span<const upstream_id> avoid,
    mono_time now) const
{
    std::vector<const upstream_view*> fit;
    for (const auto& [id, view] : views_)
    {
        const bool avoided =
            std::find(avoid.begin(), avoid.end(), id) != avoid.end();
        const bool alive = view.heard && now - view.last_row <= silence_bound;
        const bool open = !view.draining && view.upstream_ready;
        if (alive && open && !avoided && serves(view, need))
        {
            fit.push_back(&view);
        }
    }
    return fit;
}

const upstream_view* upstream_directory::find(const upstream_id& id) const
{
    const auto found = views_.find(id);
    return found == views_.end() ? nullptr : &found->second;
}

attempt::dispatch_target upstream_directory::target_of(
    const upstream_view& view, mono_time now)
{
    return attempt::dispatch_target{
        .upstream = view.settings.id,
        .sidecar_incarnation = view.life,
        .valid_until =
            view.sidecar_clock + (now - view.last_row) + dispatch_validity};
}

} // namespace wagtailseam::entry
