// Splits a stream of server-sent events at event boundaries, so that another
// upstream can resume a broken stream after the last forwarded event.
#ifndef WAGTAILSEAM_SERVING_EVENT_SPLITTER_HPP
#define WAGTAILSEAM_SERVING_EVENT_SPLITTER_HPP

#include <string>
#include <string_view>

namespace wagtailseam::serving
{

class event_splitter
{
public:
    /// Appends the next bytes of the stream.
    /// @return the events that are now complete; the rest stays buffered
    /// Complexity: linear in the buffered and the new bytes.
    [[nodiscard]] std::string feed(std::string_view bytes);

    /// Discards a buffered event that will not be completed.
    void drop_partial() noexcept { partial_.clear(); }

    /// Returns the buffered bytes; empty after the end of an intact stream.
    [[nodiscard]] const std::string& partial() const noexcept
    {
        return partial_;
    }
    /// Returns the id of the last complete event, empty before the first.
    [[nodiscard]] const std::string& last_id() const noexcept
    {
        return last_id_;
    }

private:
    void record_ids(std::string_view events);

    std::string partial_;
    std::string last_id_;
};

} // namespace wagtailseam::serving

#endif
