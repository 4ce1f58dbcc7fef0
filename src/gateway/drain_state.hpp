// What a gateway that stops does with requests.
#ifndef WAGTAILSEAM_GATEWAY_DRAIN_STATE_HPP
#define WAGTAILSEAM_GATEWAY_DRAIN_STATE_HPP

#include "core/clock.hpp"

#include <cstddef>
#include <functional>
#include <list>
#include <optional>

namespace wagtailseam::gateway
{

/// Serves requests, then refuses new ones, then ends the unfinished ones.
/// Not thread-safe.
class drain_state
{
public:
    /// Keeps a request registered until it is destroyed. Must not outlive the
    /// drain_state.
    class registration
    {
    public:
        /// @param end called at most once, to make the request end soon
        registration(drain_state& owner, std::function<void()> end);
        ~registration();
        registration(const registration&) = delete;
        registration& operator=(const registration&) = delete;

    private:
        drain_state& owner_;
        std::list<std::function<void()>>::iterator position_;
    };

    /// @param response_deadline when unfinished requests get their final
    ///        response
    void begin(mono_time response_deadline);
    /// Refuses requests that arrive from now on.
    void refuse_requests() noexcept { refuses_requests_ = true; }
    /// Ends all registered requests. Returns their number.
    /// Complexity: linear in their number.
    std::size_t end_requests();

    /// Returns nullopt before the drain.
    [[nodiscard]] std::optional<mono_time> response_deadline() const noexcept
    {
        return response_deadline_;
    }
    [[nodiscard]] bool refuses_requests() const noexcept
    {
        return refuses_requests_;
    }

private:
    std::list<std::function<void()>> requests_;
    std::optional<mono_time> response_deadline_;
    bool refuses_requests_ = false;
};

} // namespace wagtailseam::gateway

#endif
