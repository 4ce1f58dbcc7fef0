// A set of prefix pieces with least-recently-used eviction.
#include "model/piece_cache.hpp"

#include <boost/assert.hpp>

namespace wagtailseam::model
{

std::size_t piece_cache::match(std::span<const digest> chain) const
{
    std::size_t held = 0;
    while (held < chain.size() && items_.contains(chain[held]))
    {
        ++held;
    }
    return held;
}

void piece_cache::touch(std::span<const digest> chain)
{
    for (auto piece = chain.rbegin(); piece != chain.rend(); ++piece)
    {
        if (const auto known = items_.find(*piece); known != items_.end())
        {
            order_.splice(order_.begin(), order_, known->second.place);
        }
    }
}

bool piece_cache::make_room(std::size_t count, std::vector<digest>& evicted)
{
    auto place = order_.end();
    while (items_.size() + reserved_ + count > capacity_)
    {
        do
        {
            if (place == order_.begin())
            {
                return false;
            }
            --place;
        } while (items_.at(*place).pins > 0);
        evicted.push_back(*place);
        items_.erase(*place);
        place = order_.erase(place);
    }
    return true;
}

bool piece_cache::reserve(std::size_t count, std::vector<digest>& evicted)
{
    if (!make_room(count, evicted))
    {
        return false;
    }
    reserved_ += count;
    return true;
}

void piece_cache::release(std::size_t count)
{
    BOOST_ASSERT(reserved_ >= count);
    reserved_ -= count;
}

bool piece_cache::insert(const digest& piece, std::vector<digest>& evicted)
{
    if (const auto known = items_.find(piece); known != items_.end())
    {
        order_.splice(order_.begin(), order_, known->second.place);
        return true;
    }
    if (!make_room(1, evicted))
    {
        return false;
    }
    order_.push_front(piece);
    items_.emplace(piece, item{order_.begin(), 0});
    return true;
}

void piece_cache::erase(const digest& piece)
{
    const auto known = items_.find(piece);
    if (known != items_.end() && known->second.pins == 0)
    {
        order_.erase(known->second.place);
        items_.erase(known);
    }
}

void piece_cache::clear()
{
    items_.clear();
    order_.clear();
    reserved_ = 0;
}

void piece_cache::pin(const digest& piece)
{
    if (const auto known = items_.find(piece); known != items_.end())
    {
        ++known->second.pins;
    }
}

void piece_cache::unpin(const digest& piece)
{
    const auto known = items_.find(piece);
    if (known != items_.end() && known->second.pins > 0)
    {
        --known->second.pins;
    }
}

std::vector<digest> piece_cache::pieces() const
{
    return {order_.begin(), order_.end()};
}

} // namespace wagtailseam::model
