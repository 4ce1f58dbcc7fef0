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
    /// @return the events that are now complete; the rest stays buffered. In a
    /// continuation, an event that does not follow the last one, and all bytes
    /// after it, stay buffered too.
    /// Complexity: linear in the buffered and the new bytes.
    [[nodiscard]] std::string feed(std::string_view bytes);

    /// Expects that the next bytes continue a stream after the event
    /// `resume_after`. Does nothing if it is empty.
    void begin_continuation(std::string_view resume_after);

    /// Discards a buffered event that will not be completed.
    void drop_partial() noexcept
    {
        partial_.clear();
        is_misplaced_ = false;
    }

    /// Returns whether the first buffered event does not follow the last one of
    /// the stream that it should continue.
    [[nodiscard]] bool is_misplaced() const noexcept { return is_misplaced_; }

    /// Returns whether the last id names the position after all events that
    /// were returned, so that another upstream can continue there.
    [[nodiscard]] bool is_resumable() const noexcept { return is_resumable_; }

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
    /// Whether a complete event may be forwarded after those before it.
    [[nodiscard]] bool follows(std::string_view event) const;

    bool is_continuation_ = false;
    bool is_misplaced_ = false;
    bool is_resumable_ = true;
    std::string partial_;
    std::string last_id_;
};

} // namespace wagtailseam::serving

#endif
