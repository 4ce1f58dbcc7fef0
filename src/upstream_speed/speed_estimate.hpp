// Estimates how fast an upstream answers, from the times to the first bytes of
// its responses.
#ifndef WAGTAILSEAM_UPSTREAM_SPEED_SPEED_ESTIMATE_HPP
#define WAGTAILSEAM_UPSTREAM_SPEED_SPEED_ESTIMATE_HPP

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace wagtailseam::upstream_speed
{

/// Sums over responses since the start of the process that measured them.
struct measured_times
{
    std::uint64_t responses = 0;
    /// Times from the requests to the first bytes of their responses.
    duration observed{};
    /// What was expected of an upstream of usual speed.
    duration expected{};

    measured_times& operator+=(const measured_times& other) noexcept;
    friend bool operator==(const measured_times&, const measured_times&) =
        default;
};

/// Returns the measurement of one response. It counts as at most eight times
/// what was expected: a lost packet or a full queue is not a property of the
/// upstream.
[[nodiscard]] measured_times make_measurement(
    duration observed, duration expected) noexcept;

/// How fast an upstream answers, as far as its last responses show.
struct measured_speed
{
    /// How many times longer than expected its responses take.
    double ratio = 1;
    /// Time since the last response that was measured.
    duration age{};

    friend bool operator==(const measured_speed&, const measured_speed&) =
        default;
};

struct speed_estimate_options
{
    /// Half-life of a measurement.
    duration half_life = std::chrono::seconds(4);
    /// Responses without which the speed is unknown, so that one slow response
    /// does not count.
    double min_responses = 6;
    /// Earlier responses weigh as much as this number at most, since the
    /// thousands before a change would otherwise hide the few after it.
    double max_responses = 16;
};

/// Moving ratio of observed to expected times of one upstream. Performs no I/O.
/// Not thread-safe. Constant memory and time.
class speed_estimate
{
public:
    explicit speed_estimate(const speed_estimate_options& options = {})
        : options_(options)
    {
    }

    void add(const measured_times& times, mono_time now);
    /// Returns nullopt if too few responses were measured recently.
    [[nodiscard]] std::optional<measured_speed> speed(mono_time now) const;
    /// Returns the mean time to the first byte; nullopt like speed().
    [[nodiscard]] std::optional<duration> mean_time(mono_time now) const;

private:
    [[nodiscard]] bool is_known(mono_time now) const;
    [[nodiscard]] double remaining_weight(mono_time now) const;

    speed_estimate_options options_;
    /// Decayed sums at `updated_`.
    double responses_ = 0;
    double observed_us_ = 0;
    double expected_us_ = 0;
    mono_time updated_;
};

struct speed_collector_options
{
    speed_estimate_options estimate;
    /// Gateways beyond this number are ignored.
    std::size_t max_gateways = 1024;
};

/// Combines the measurements of all gateways at one upstream. Gateways report
/// sums, so a lost report loses no measurement.
class speed_collector
{
public:
    explicit speed_collector(const speed_collector_options& options = {});

    /// The first report of an incarnation is the origin of its later ones,
    /// since its sums may be old.
    /// @param incarnation identifies the run of the gateway's process
    void report(
        const vm_id& gateway, std::uint64_t incarnation,
        const measured_times& total, mono_time now);
    [[nodiscard]] std::optional<measured_speed> speed(mono_time now) const
    {
        return estimate_.speed(now);
    }

private:
    struct reported
    {
        std::uint64_t incarnation = 0;
        measured_times total;
    };

    speed_collector_options options_;
    speed_estimate estimate_;
    std::map<vm_id, reported> reported_;
};

struct slowness_options
{
    /// Below this quotient of the largest and the smallest ratio upstreams
    /// count as equal.
    double notable_difference = 1.25;
    double min_slowness = 0.5;
    double max_slowness = 4;
    /// A measurement counts in full up to this age. Upstreams that are used get
    /// several requests a second.
    duration full_age = std::chrono::seconds(1);
    /// After that, the difference from the median halves in this time, so that
    /// an upstream that is avoided is tried again by single requests.
    duration fading_half_life = std::chrono::milliseconds(500);
};

/// Scale on which the ratios of one service's upstreams are compared.
class speed_scale
{
public:
    /// @param ratios those of the upstreams whose speed is known
    explicit speed_scale(
        std::vector<double> ratios, const slowness_options& options = {});

    /// Returns how many times slower than the median an upstream is; 1 if its
    /// speed is unknown or the upstreams count as equal.
    [[nodiscard]] double slowness(
        const std::optional<measured_speed>& speed) const;
    /// Returns the median ratio; nullopt if no speed is known.
    [[nodiscard]] std::optional<double> median() const noexcept
    {
        return median_;
    }

private:
    slowness_options options_;
    std::optional<double> median_;
    bool differs_ = false;
};

} // namespace wagtailseam::upstream_speed

#endif
