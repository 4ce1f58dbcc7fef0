// Cuts a stream of server-sent events at the ends of whole events, so that a
// broken stream can go on elsewhere after the last event that was passed on.
#ifndef WAGTAILSEAM_SERVING_EVENT_SPLITTER_HPP
#define WAGTAILSEAM_SERVING_EVENT_SPLITTER_HPP

#include <string>
#include <string_view>

namespace wagtailseam::serving
{

class event_splitter
{
public:
    /// Takes the next bytes. @return the whole events that they complete;
    /// the rest is held back. Complexity: linear in what is held and taken.
    [[nodiscard]] std::string feed(std::string_view bytes);

    /// Drops what is held back of an event that will not be completed.
    void drop_partial() noexcept { partial_.clear(); }

    /// Returns what is held back; empty at the end of a whole stream.
    [[nodiscard]] const std::string& partial() const noexcept
    {
        return partial_;
    }
    /// Returns the id of the last whole event, empty before the first.
    [[nodiscard]] const std::string& last_id() const noexcept
    {
        return last_id_;
    }

private:
    void note_ids(std::string_view events);

    std::string partial_;
    std::string last_id_;
};

} // namespace wagtailseam::serving

#endif
