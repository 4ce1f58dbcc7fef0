// What a gateway that stops does with requests.
#ifndef WAGTAILSEAM_GATEWAY_DRAIN_STATE_HPP
#define WAGTAILSEAM_GATEWAY_DRAIN_STATE_HPP

#include "core/clock.hpp"

#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <optional>

namespace wagtailseam::gateway
{

/// Serves requests, then refuses new ones, then ends the unfinished ones.
/// Not thread-safe.
class drain_state
{
public:
    using end_callbacks = std::list<std::function<void()>>;

    /// Keeps a request registered until it is destroyed. May outlive the
    /// drain_state: the io_context destroys coroutines last.
    class registration
    {
    public:
        /// @param end called at most once, to make the request end soon
        registration(const drain_state& owner, std::function<void()> end);
        ~registration();
        registration(const registration&) = delete;
        registration& operator=(const registration&) = delete;

    private:
        std::shared_ptr<end_callbacks> registered_;
        end_callbacks::iterator position_;
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
    std::shared_ptr<end_callbacks> requests_ =
        std::make_shared<end_callbacks>();
    std::optional<mono_time> response_deadline_;
    bool refuses_requests_ = false;
};

} // namespace wagtailseam::gateway

#endif
