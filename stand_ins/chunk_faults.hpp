// Faults on the chunks of HTTP answers that pass through the fault proxy:
// duplicated, swapped, or crossed with those of another connection.
#ifndef WAGTAILSEAM_STAND_INS_CHUNK_FAULTS_HPP
#define WAGTAILSEAM_STAND_INS_CHUNK_FAULTS_HPP

#include "core/random_source.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace wagtailseam::stand_ins
{

/// Probabilities of faults, each within [0, 1].
struct fault_rates
{
    /// Of each read: the connection is cut at a random byte of it.
    double cut = 0;
    /// Of each read: delayed by up to max_delay_ms.
    double delay = 0;
    int max_delay_ms = 20;
    /// Of each chunk.
    double duplicate = 0;
    double swap = 0;
    double cross = 0;
    /// Of each chunk: one byte is changed.
    double corrupt = 0;
};

/// How often each fault was made.
struct fault_counts
{
    std::uint64_t cut = 0;
    std::uint64_t delay = 0;
    std::uint64_t duplicate = 0;
    std::uint64_t swap = 0;
    std::uint64_t cross = 0;
    std::uint64_t corrupt = 0;
};

/// Shared by all connections of a proxy.
struct fault_state
{
    fault_rates rates;
    fault_counts counts;
    random_source random{1};
    /// A chunk of some connection, for another to receive.
    std::string stray_chunk;

    [[nodiscard]] bool strikes(double rate)
    {
        return rate > 0 && random.unit() < rate;
    }
};

/// Cuts one connection's answers into head and chunks and passes them on with
/// faults.
class chunk_filter
{
public:
    explicit chunk_filter(fault_state& faults) : faults_(faults) {}

    /// Takes bytes of the server; returns what the client receives now.
    [[nodiscard]] std::string pass(std::string_view bytes);

private:
    [[nodiscard]] bool take_head(std::string& out);
    [[nodiscard]] bool take_body(std::string& out);
    [[nodiscard]] bool take_chunk(std::string& out);
    void pass_chunk(std::string chunk, std::string& out);

    fault_state& faults_;
    std::string buffer_;
    bool in_body_ = false;
    bool chunked_ = false;
    /// Bytes left of a body with a stated length.
    std::size_t body_left_ = 0;
    /// A chunk held back, to be sent after the next one.
    std::string held_;
};

} // namespace wagtailseam::stand_ins

#endif
