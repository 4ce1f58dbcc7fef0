// Buffered non-blocking writes.
#include "telemetry/nonblocking_line_writer.hpp"

#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace wagtailseam::telemetry
{

nonblocking_line_writer::nonblocking_line_writer(
    int descriptor, std::size_t buffer_limit_bytes)
    : descriptor_(descriptor), buffer_limit_bytes_(buffer_limit_bytes)
{
    const int flags = ::fcntl(descriptor_, F_GETFL);
    if (flags >= 0)
    {
        ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
    }
}

void nonblocking_line_writer::write(std::string_view line)
{
    flush();
    if (unreported_drops_ > 0 && buffer_.empty())
    {
        buffer_ = "level=warning event=log_lines_dropped count=" +
                  std::to_string(unreported_drops_) + "\n";
        unreported_drops_ = 0;
        flush();
    }
    if (buffer_.size() + line.size() > buffer_limit_bytes_)
    {
        ++dropped_;
        ++unreported_drops_;
        return;
    }
    buffer_ += line;
    flush();
}

void nonblocking_line_writer::flush()
{
    while (!buffer_.empty())
    {
        const auto written =
            ::write(descriptor_, buffer_.data(), buffer_.size());
        if (written > 0)
        {
            buffer_.erase(0, static_cast<std::size_t>(written));
        }
        else if (errno != EINTR)
        {
            // The next call retries after EAGAIN. Other errors cannot be
            // reported; further lines are dropped once the buffer is full.
            return;
        }
    }
}

} // namespace wagtailseam::telemetry
