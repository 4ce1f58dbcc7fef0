// A gateway's report of its requests that wait for prefill at an engine. The
// engine's agent adds up the reports of all gateways. They are needed because
// several requests arrive in the age of the engine's own report, about 100 ms.
#ifndef WAGTAILSEAM_ENGINE_STATUS_PREFILL_REPORT_HPP
#define WAGTAILSEAM_ENGINE_STATUS_PREFILL_REPORT_HPP

#include "core/clock.hpp"
#include "core/result.hpp"
#include "serving/upstream.hpp"
#include "upstream_speed/speed_estimate.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace wagtailseam::engine_status
{

struct prefill_report
{
    vm_id gateway;
    upstream_id upstream;
    /// Identifies one run of the gateway process.
    std::uint64_t incarnation = 0;
    /// Increases with each report of an incarnation.
    std::uint64_t sequence_number = 0;
    /// Requests sent to the engine whose first response byte is outstanding.
    serving::pending_prefill pending_prefill;
    /// Of all responses of the engine to this incarnation of the gateway.
    upstream_speed::measured_times measured;
};

/// Encodes a report as a datagram. Each report is complete, so the next one
/// makes up for a lost one.
[[nodiscard]] std::string encode(const prefill_report& report);

/// Returns whether a datagram has the type of a prefill report. Does not
/// validate its content.
[[nodiscard]] bool is_prefill_report(std::string_view datagram) noexcept;

/// @errors malformed_message
[[nodiscard]] result<prefill_report> decode_prefill_report(
    std::string_view datagram);

struct prefill_report_table_options
{
    /// Reports that are not renewed expire after this time, because their
    /// gateway has probably stopped. Gateways renew theirs every 400 ms.
    duration lifetime = std::chrono::milliseconds(1300);
};

/// The latest reports of all gateways about one engine. Not thread-safe.
class prefill_report_table
{
public:
    explicit prefill_report_table(
        const prefill_report_table_options& options = {});

    /// Stores a report and removes expired ones. Ignores a report that is not
    /// newer than the stored report of the same incarnation.
    /// @return whether the pending prefill of its gateway changed
    bool update(const prefill_report& report, mono_time now);

    /// Returns the pending prefill of all gateways. Complexity: linear in the
    /// number of gateways.
    [[nodiscard]] serving::pending_prefill total(mono_time now) const;
    /// Returns the pending prefill of one gateway. Complexity: logarithmic in
    /// the number of gateways.
    [[nodiscard]] serving::pending_prefill from_gateway(
        const vm_id& gateway, mono_time now) const;
    /// Returns whether any gateway has a report that has not expired.
    [[nodiscard]] bool has_live_reports(mono_time now) const;

private:
    struct stored_report
    {
        prefill_report report;
        mono_time received_at;
    };

    prefill_report_table_options options_;
    std::map<vm_id, stored_report> reports_;
};

} // namespace wagtailseam::engine_status

#endif
