// Decides whether a connection leads to the process of an upstream that the
// list describes.
#ifndef WAGTAILSEAM_SERVING_RUNNING_PROCESSES_HPP
#define WAGTAILSEAM_SERVING_RUNNING_PROCESSES_HPP

#include "core/clock.hpp"
#include "serving/upstream.hpp"

#include <cstdint>
#include <map>

namespace wagtailseam::serving
{

/// Stores the latest time at which the process of each upstream is known to
/// have run. A restarted upstream keeps its id and its address, and its entry
/// in the list may be older than a connection. The listed process accepted a
/// connection if it still ran after that. Not thread-safe. Complexity:
/// logarithmic in the number of upstreams.
class running_processes
{
public:
    /// Records that a process ran at the address of an entry, as it stated
    /// itself.
    /// @param ran_at not later than its statement
    void confirm(
        const upstream& listed, std::uint64_t started_ms, mono_time ran_at);
    /// Records a response to a request that was sent over a connection. Extends
    /// the time for which the listed process is known to run if the connection
    /// leads to it.
    void record_response(
        const upstream& listed, mono_time connected_at, mono_time sent_at);
    void erase(const upstream_id& id);

    /// Returns whether a connection leads to the listed process.
    /// @pre a request was sent over it after the process was listed, and a
    ///      response was received
    [[nodiscard]] bool leads_to(
        const upstream& listed, mono_time connected_at) const;
    /// Returns whether a later process than the listed one is known to run.
    [[nodiscard]] bool is_replaced(const upstream& listed) const;

private:
    struct known_process
    {
        /// Another upstream may run at an address that was left.
        http::address address;
        std::uint64_t started_ms = 0;
        mono_time ran_at;
    };

    /// Returns null if no process is known at the listed address.
    [[nodiscard]] const known_process* find(const upstream& listed) const;

    /// The latest known process of each upstream.
    std::map<upstream_id, known_process> processes_;
};

} // namespace wagtailseam::serving

#endif
