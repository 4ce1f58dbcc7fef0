// Tests writes to a pipe whose reader is slow.
#include "telemetry/nonblocking_line_writer.hpp"

#include <gtest/gtest.h>

#include <array>
#include <string>
#include <unistd.h>

namespace wagtailseam::telemetry
{
namespace
{

class nonblocking_line_writer_fixture : public testing::Test
{
protected:
    void SetUp() override { ASSERT_EQ(::pipe(pipe_.data()), 0); }
    void TearDown() override
    {
        ::close(pipe_[0]);
        ::close(pipe_[1]);
    }

    [[nodiscard]] std::string read_available()
    {
        std::string text;
        std::array<char, 65536> buffer{};
        // Default pipe capacity on Linux is 64 KiB.
        const auto bytes_read = ::read(pipe_[0], buffer.data(), buffer.size());
        if (bytes_read > 0)
        {
            text.assign(buffer.data(), static_cast<std::size_t>(bytes_read));
        }
        return text;
    }

    std::array<int, 2> pipe_{};
};

TEST_F(nonblocking_line_writer_fixture, line_is_written_immediately)
{
    nonblocking_line_writer writer(pipe_[1]);
    writer.write("one\n");
    EXPECT_EQ(read_available(), "one\n");
    EXPECT_EQ(writer.dropped(), 0U);
}

TEST_F(
    nonblocking_line_writer_fixture,
    blocked_reader_drops_lines_without_blocking_writer)
{
    constexpr std::size_t buffer_limit_bytes = 1000;
    constexpr int line_count = 100'000;
    nonblocking_line_writer writer(pipe_[1], buffer_limit_bytes);
    // A blocking write would never return.
    for (int i = 0; i < line_count; ++i)
    {
        writer.write("0123456789\n");
    }
    EXPECT_GT(writer.dropped(), 0U);
    EXPECT_LT(writer.dropped(), static_cast<std::uint64_t>(line_count));
}

TEST_F(
    nonblocking_line_writer_fixture,
    resumed_reader_receives_count_of_dropped_lines)
{
    nonblocking_line_writer writer(pipe_[1], 20);
    while (writer.dropped() < 3)
    {
        writer.write("0123456789\n");
    }
    (void)read_available();
    writer.write("a\n");
    writer.write("b\n");
    writer.write("c\n");
    const auto text = read_available();
    EXPECT_NE(text.find("event=log_lines_dropped count="), std::string::npos);
    EXPECT_NE(text.find("c\n"), std::string::npos);
}

} // namespace
} // namespace wagtailseam::telemetry
