// The limits that upstreams name for the requests of all gateways together.
#ifndef WAGTAILSEAM_GATEWAY_LIMIT_REGISTRY_HPP
#define WAGTAILSEAM_GATEWAY_LIMIT_REGISTRY_HPP

#include "rate_limit/upstream_limits.hpp"

#include <functional>
#include <set>
#include <string_view>

namespace wagtailseam::gateway
{

/// Reads the clocks and logs each notable change. Not thread-safe.
class limit_registry
{
public:
    /// Applies what a response states.
    /// @param sent_at when its request was sent
    void record_response(
        const upstream_process& process,
        const rate_limit::limit_statement& statement, mono_time sent_at);
    /// Drops the limit of a process that has ended.
    void erase(const upstream_process& process) { limits_.erase(process); }
    [[nodiscard]] std::size_t size() const noexcept { return limits_.size(); }

private:
    void log_change(const upstream_id& id, std::string_view source) const;

    rate_limit::upstream_limits limits_;
};

} // namespace wagtailseam::gateway

#endif
