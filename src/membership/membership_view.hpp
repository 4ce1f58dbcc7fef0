// What one process believes about upstreams: from the sidecars' own words,
// passed on within cells, and from the platform's lagging list. No I/O.
#ifndef WAGTAILSEAM_MEMBERSHIP_MEMBERSHIP_VIEW_HPP
#define WAGTAILSEAM_MEMBERSHIP_MEMBERSHIP_VIEW_HPP

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <cstdint>
#include <map>
#include <variant>

namespace wagtailseam::membership
{

/// What a sidecar said about itself.
struct own_word
{
    upstream_id upstream;
    incarnation life;
    bool draining = false;

    friend bool operator==(const own_word&, const own_word&) = default;
};

/// A word heard from its sidecar (age 0) or passed on by another process.
struct word_heard
{
    own_word word;
    /// How long ago the sidecar said it, added up by every process that
    /// passed it on from its own clock; clocks are not compared.
    duration age{};
};

/// The platform's list, which lags, names the upstream's VM.
struct vm_listed
{
    upstream_id upstream;
    vm_id vm;
    bool leaving = false;
};

/// The configuration no longer has the upstream.
struct upstream_removed
{
    upstream_id upstream;
};

using view_event = std::variant<word_heard, vm_listed, upstream_removed>;

enum class standing : std::uint8_t
{
    /// Never heard of.
    unknown,
    serving,
    /// Silent for too long. No new work; attempts under way are judged by
    /// their own proofs, not by this.
    suspected,
    /// It, or the platform, said that it leaves. No new work.
    leaving,
};

struct view_options
{
    duration heartbeat_interval = std::chrono::milliseconds(500);
    std::uint32_t silent_heartbeats = 4;
};

/// The view of one process. Views differ between processes, which is harmless:
/// a view only chooses where to try, and what protects a request is the
/// sidecar's own check of its incarnation and draining.
class view_core
{
public:
    explicit view_core(view_options options) : options_(options) {}

    /// Takes an event. Complexity: logarithmic in the upstreams.
    void handle(const view_event& event, mono_time now);

    [[nodiscard]] standing standing_of(
        const upstream_id& upstream, mono_time now) const;

    /// The life that spoke last; incarnation{} when none did.
    [[nodiscard]] incarnation life_of(const upstream_id& upstream) const;

    /// Whether new work may be tried there.
    [[nodiscard]] bool may_try(const upstream_id& upstream, mono_time now) const
    {
        return standing_of(upstream, now) == standing::serving;
    }

private:
    struct entry
    {
        /// The youngest word; a life that drains never serves again.
        own_word word;
        mono_time said_at{};
        bool heard = false;
        vm_id vm;
        bool listed_leaving = false;
    };

    void on(const word_heard& event, mono_time now);
    void on(const vm_listed& event, mono_time now);
    void on(const upstream_removed& event, mono_time now);

    view_options options_;
    /// At most the configured upstreams; removed ones are erased.
    std::map<upstream_id, entry> entries_;
};

} // namespace wagtailseam::membership

#endif
