// A model of a store VM: pieces in memory and on disk, each behind a limited
// link whose scheduler is the real decision core.
#ifndef WAGTAILSEAM_MODEL_STORE_HPP
#define WAGTAILSEAM_MODEL_STORE_HPP

#include "core/ids.hpp"
#include "link/link_scheduler.hpp"
#include "model/event_queue.hpp"
#include "model/piece_cache.hpp"
#include "routing/placement_plan.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <span>
#include <vector>

namespace wagtailseam::model
{

/// One link in virtual time: flights take bytes / rate.
class modelled_link
{
public:
    struct options
    {
        byte_rate rate{1.0};
        /// Multiplies the rate, unknown to the scheduler.
        double slowdown = 1.0;
    };
    /// Told the outcome of a transfer.
    using done = std::function<void(result_code)>;
    /// Asked when a flight starts; false: nothing to move any more.
    using ready = std::function<bool()>;

    modelled_link(const options& settings, event_queue& events);

    /// Queues a block. @return its transfer id, for cancel
    link::transfer_id request(
        const digest& block, const upstream_id& target,
        link::transfer_class priority, byte_count bytes,
        std::optional<mono_time> worth_until, done finished,
        ready still_there = nullptr);
    void cancel(link::transfer_id id);
    /// Fails everything under way and waiting, and all later requests.
    void cut();
    void slow_down(double factor) noexcept { settings_.slowdown = factor; }

    [[nodiscard]] routing::link_conditions view() const;
    [[nodiscard]] duration exact_backlog(link::transfer_class priority) const;
    [[nodiscard]] byte_rate exact_rate() const noexcept;
    [[nodiscard]] const link::link_scheduler& scheduler() const noexcept
    {
        return scheduler_;
    }
    /// Share of the link's rate that flights claimed in each whole second.
    [[nodiscard]] const std::vector<double>& use_by_second() const noexcept
    {
        return use_by_second_;
    }

private:
    void apply(const std::vector<link::command>& commands);
    void fly(const link::start_transfer& started);
    void record_use(duration length);

    options settings_;
    event_queue& events_;
    link::link_scheduler scheduler_;
    struct transfer
    {
        done finished;
        ready still_there;
    };
    std::map<link::transfer_id, transfer> transfers_;
    std::uint64_t next_id_ = 1;
    bool cut_ = false;
    std::vector<double> use_by_second_;
};

class store
{
public:
    struct options
    {
        upstream_id id;
        std::size_t memory_pieces = 1900;
        std::size_t disk_pieces = 15000;
        modelled_link::options memory_link;
        modelled_link::options disk_link;
    };

    store(const options& settings, event_queue& events);

    /// Adds a piece to memory; the oldest there move to disk.
    void insert(const digest& piece);
    [[nodiscard]] bool contains(const digest& piece) const;
    /// Returns the tiers of the chain's pieces from the first on, up to the
    /// first that is not kept.
    [[nodiscard]] std::vector<routing::storage_tier> lookup(
        std::span<const digest> chain) const;
    void touch(std::span<const digest> chain);
    /// Forgets all and cuts the links.
    void lose();

    [[nodiscard]] modelled_link& link_of(const digest& piece);
    [[nodiscard]] modelled_link& memory_link() noexcept { return memory_link_; }
    [[nodiscard]] modelled_link& disk_link() noexcept { return disk_link_; }
    [[nodiscard]] const upstream_id& id() const noexcept { return id_; }
    [[nodiscard]] bool lost() const noexcept { return lost_; }

private:
    upstream_id id_;
    // A piece is in one tier only.
    piece_cache memory_;
    piece_cache disk_;
    modelled_link memory_link_;
    modelled_link disk_link_;
    bool lost_ = false;
};

} // namespace wagtailseam::model

#endif
