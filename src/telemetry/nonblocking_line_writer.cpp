// Non-blocking writes of lines.
#include "telemetry/nonblocking_line_writer.hpp"

#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace wagtailseam::telemetry
{

nonblocking_line_writer::nonblocking_line_writer(
    int descriptor, std::size_t bound)
    : descriptor_(descriptor), bound_(bound)
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
    if (untold_ > 0 && held_.empty())
    {
        held_ = "level=warning event=log_lines_dropped count=" +
                std::to_string(untold_) + "\n";
        untold_ = 0;
        flush();
    }
    if (held_.size() + line.size() > bound_)
    {
        ++dropped_;
        ++untold_;
        return;
    }
    held_ += line;
    flush();
}

void nonblocking_line_writer::flush()
{
    while (!held_.empty())
    {
        const auto size = ::write(descriptor_, held_.data(), held_.size());
        if (size > 0)
        {
            held_.erase(0, static_cast<std::size_t>(size));
        }
        else if (errno != EINTR)
        {
            // A full pipe is tried again with the next line. Any other failure
            // cannot be reported anywhere; the lines count as dropped once the
            // bound is reached.
            return;
        }
    }
}

} // namespace wagtailseam::telemetry
