// Tests of the encoding of leaving reports.
#include "upstream_statement/leaving_report.hpp"

#include <gtest/gtest.h>

namespace wagtailseam::upstream_statement
{
namespace
{

TEST(leaving_report, process_survives_encoding)
{
    const upstream_process process{upstream_id{"u"}, 1780533744793};
    const auto datagram = encode_leaving_report(process);
    ASSERT_TRUE(is_leaving_report(datagram));
    const auto decoded = decode_leaving_report(datagram);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded.value(), process);
}

TEST(leaving_report, damaged_datagrams_are_rejected)
{
    const auto datagram = encode_leaving_report({upstream_id{"u"}, 7});
    for (std::size_t size = 0; size < datagram.size(); ++size)
    {
        EXPECT_FALSE(decode_leaving_report(datagram.substr(0, size))) << size;
    }
    EXPECT_FALSE(decode_leaving_report("L" + datagram.substr(1)));
}

} // namespace
} // namespace wagtailseam::upstream_statement
