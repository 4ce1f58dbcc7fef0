// Log lines to a reader that does not read.
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
    void SetUp() override { ASSERT_EQ(::pipe(ends_.data()), 0); }
    void TearDown() override
    {
        ::close(ends_[0]);
        ::close(ends_[1]);
    }

    [[nodiscard]] std::string read_all()
    {
        std::string text;
        std::array<char, 65536> bytes{};
        // The pipe holds no more than this at once.
        const auto size = ::read(ends_[0], bytes.data(), bytes.size());
        if (size > 0)
        {
            text.assign(bytes.data(), static_cast<std::size_t>(size));
        }
        return text;
    }

    std::array<int, 2> ends_{};
};

TEST_F(nonblocking_line_writer_fixture, line_reaches_a_reader_at_once)
{
    nonblocking_line_writer output(ends_[1]);
    output.write("one\n");
    EXPECT_EQ(read_all(), "one\n");
    EXPECT_EQ(output.dropped(), 0U);
}

TEST_F(nonblocking_line_writer_fixture, blocked_reader_costs_lines_and_not_time)
{
    constexpr std::size_t bound = 1000;
    constexpr int lines = 100'000;
    nonblocking_line_writer output(ends_[1], bound);
    // Would block for ever if it did.
    for (int at = 0; at < lines; ++at)
    {
        output.write("0123456789\n");
    }
    EXPECT_GT(output.dropped(), 0U);
    EXPECT_LT(output.dropped(), static_cast<std::uint64_t>(lines));
}

TEST_F(
    nonblocking_line_writer_fixture,
    reader_that_comes_back_learns_how_many_were_dropped)
{
    nonblocking_line_writer output(ends_[1], 20);
    while (output.dropped() < 3)
    {
        output.write("0123456789\n");
    }
    (void)read_all();
    output.write("a\n");
    output.write("b\n");
    output.write("c\n");
    const auto text = read_all();
    EXPECT_NE(text.find("event=log_lines_dropped count="), std::string::npos);
    EXPECT_NE(text.find("c\n"), std::string::npos);
}

} // namespace
} // namespace wagtailseam::telemetry
