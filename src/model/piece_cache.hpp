// A set of prefix pieces of limited size with least-recently-used eviction;
// pinned pieces stay.
#ifndef WAGTAILSEAM_MODEL_PIECE_CACHE_HPP
#define WAGTAILSEAM_MODEL_PIECE_CACHE_HPP

#include "core/digest.hpp"

#include <cstddef>
#include <list>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace wagtailseam::model
{

class piece_cache
{
public:
    explicit piece_cache(std::size_t capacity) : capacity_(capacity) {}

    [[nodiscard]] bool contains(const digest& piece) const
    {
        return items_.contains(piece);
    }

    /// Returns how many pieces of the chain are held from its first on.
    [[nodiscard]] std::size_t match(std::span<const digest> chain) const;

    /// Marks the pieces as used, the first of the chain most recently, so
    /// that chains are evicted from their end.
    void touch(std::span<const digest> chain);

    /// Makes room for `count` more pieces that are not named yet. The evicted
    /// pieces are appended. @return false when pins leave no room
    [[nodiscard]] bool reserve(std::size_t count, std::vector<digest>& evicted);
    /// Gives back room that was reserved.
    void release(std::size_t count);

    /// Adds a piece as the most recent; a known one is only touched.
    /// @return false when pins leave no room
    bool insert(const digest& piece, std::vector<digest>& evicted);
    void erase(const digest& piece);
    void clear();

    void pin(const digest& piece);
    void unpin(const digest& piece);

    [[nodiscard]] std::size_t size() const noexcept { return items_.size(); }
    [[nodiscard]] std::vector<digest> pieces() const;

private:
    struct item
    {
        std::list<digest>::iterator place;
        std::size_t pins = 0;
    };
    [[nodiscard]] bool make_room(
        std::size_t count, std::vector<digest>& evicted);

    std::size_t capacity_;
    // items_.size() + reserved_ <= capacity_
    std::size_t reserved_ = 0;
    // Front: most recent.
    std::list<digest> order_;
    std::unordered_map<digest, item> items_;
};

} // namespace wagtailseam::model

#endif
