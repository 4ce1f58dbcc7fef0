// What this entry knows of each upstream, from the gossip of its
// cell.
#ifndef WAGTAILSEAM_ENTRY_UPSTREAM_DIRECTORY_HPP
#define WAGTAILSEAM_ENTRY_UPSTREAM_DIRECTORY_HPP

#include "attempt/attempt_types.hpp"
#include "cell_gossip/cell_table.hpp"
#include "configuration/configuration.hpp"
#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/result.hpp"
#include "http/message.hpp"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace wagtailseam::entry
{

/// One upstream as last heard of.
struct upstream_view
{
    configuration::upstream_settings settings;
    /// False until the first row.
    bool heard = false;
    /// When its row was last among the live ones.
    mono_time last_row;
    incarnation life;
    attempt::sidecar_time sidecar_clock;
    bool draining = false;
    bool upstream_ready = false;
    std::uint32_t running = 0;
    token_count queued_tokens;
    token_rate prefill_rate;
    weight_version version;
    /// Attempts that this entry has under way there.
    std::uint32_t own_attempts = 0;
};

/// What a request needs of an upstream.
struct upstream_need
{
    configuration::upstream_kind kind = configuration::upstream_kind::engine;
    /// Engines: the model. Empty otherwise.
    model_id model;
    weight_version version;
    /// Services: the service's id.
    std::string service;
};

class upstream_directory
{
public:
    /// Longest silence after which an upstream still gets new work; rows of
    /// silent members are left out of a cell's live rows before that.
    static constexpr std::chrono::seconds silence_bound{30};
    /// How long a dispatch may begin after the sidecar's clock was read.
    static constexpr std::chrono::seconds dispatch_validity{20};

    /// Takes a configuration; what was heard of upstreams that stay is kept.
    void configure(const configuration::configuration& wanted);

    /// Takes the live rows of a cell; upstreams without a row keep what was
    /// last heard of them.
    void record_rows(
        const std::vector<cell_gossip::member_row>& rows, mono_time now);

    /// Counts an attempt that begins or ends there.
    void attempt_started(const upstream_id& upstream);
    void attempt_ended(const upstream_id& upstream);

    /// Returns the upstreams that may take a request now, in order of ids.
    [[nodiscard]] std::vector<const upstream_view*> candidates(
        const upstream_need& need, std::span<const upstream_id> avoid,
        mono_time now) const;

    /// Returns an upstream, null when it is not configured.
    [[nodiscard]] const upstream_view* find(const upstream_id& id) const;

    [[nodiscard]] const std::map<upstream_id, upstream_view>& all()
        const noexcept
    {
        return views_;
    }

    /// Returns where to send an attempt. The sidecar's clock is moved on by the
    /// time since its row came; only the sidecar itself compares it.
    [[nodiscard]] static attempt::dispatch_target target_of(
        const upstream_view& view, mono_time now);

private:
    std::map<upstream_id, upstream_view> views_;
};

} // namespace wagtailseam::entry

#endif
