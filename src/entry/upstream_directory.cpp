// Views of upstreams, updated by probes.
#include "entry/upstream_directory.hpp"

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
    return view.model == need.model && right_version;
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

void upstream_directory::record_reply(
    const upstream_id& upstream, const messages::probe_reply& reply,
    mono_time now)
{
    const auto found = views_.find(upstream);
    if (found == views_.end())
    {
        return;
    }
    upstream_view& view = found->second;
    for (const messages::upstream_load& load : reply.loads())
    {
        if (load.upstream() != upstream.value())
        {
            continue;
        }
        view.heard = true;
        view.last_reply = now;
        view.life = incarnation{load.incarnation()};
        view.sidecar_clock = attempt::sidecar_time(duration(reply.clock_us()));
        view.draining = load.draining();
        view.upstream_ready = load.upstream_ready();
        view.running = load.running();
        view.queued = load.queued();
        view.queued_tokens = token_count{load.queued_tokens()};
        view.prefill_rate = token_rate{load.prefill_rate()};
        view.model = model_id{load.model()};
        view.version = weight_version{load.weight_version()};
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
        const bool alive = view.heard && now - view.last_reply <= silence_bound;
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
    const upstream_view& view)
{
    return attempt::dispatch_target{
        .upstream = view.settings.id,
        .life = view.life,
        .valid_until = view.sidecar_clock + dispatch_validity};
}

} // namespace wagtailseam::entry
