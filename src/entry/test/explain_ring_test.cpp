// The ring of decisions: bounded in requests and in decisions of one.
#include "entry/explain_ring.hpp"

#include <gtest/gtest.h>

namespace wagtailseam::entry
{
namespace
{

class explain_ring_fixture : public testing::Test
{
protected:
    void add(const char* request) { ring_.add(request_id{request}, {}, "x"); }

    explain_ring ring_{2, 3};
};

TEST_F(explain_ring_fixture, request_beyond_capacity_drops_the_oldest)
{
    add("a");
    add("b");
    add("a");
    add("c");
    EXPECT_EQ(ring_.find(request_id{"a"}), nullptr);
    EXPECT_NE(ring_.find(request_id{"b"}), nullptr);
    EXPECT_NE(ring_.find(request_id{"c"}), nullptr);
}

TEST_F(explain_ring_fixture, decisions_of_one_request_are_bounded)
{
    for (int i = 0; i < 10; ++i)
    {
        add("a");
    }
    EXPECT_EQ(ring_.find(request_id{"a"})->size(), 3U);
}

} // namespace
} // namespace wagtailseam::entry
