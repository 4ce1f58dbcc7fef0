// What a gateway has at an engine: its word to the engine's agent, which adds
// up those of all gateways. The engine's own report is some hundred ms old; in
// that time several requests arrive at it.
#ifndef WAGTAILSEAM_ENGINE_STATUS_PREFILL_REPORT_HPP
#define WAGTAILSEAM_ENGINE_STATUS_PREFILL_REPORT_HPP

#include "core/clock.hpp"
#include "core/result.hpp"
#include "serving/upstream.hpp"

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
    /// Names the gateway's life.
    std::uint64_t incarnation = 0;
    /// Counts the gateway's claims in that life.
    std::uint64_t sequence_number = 0;
    /// Sent to the engine and without a first byte of their answers.
    serving::unread_work unread;
};

/// Returns a datagram. A lost one is made up by the next.
[[nodiscard]] std::string encode(const prefill_report& said);

/// Whether a datagram holds a claim, whatever its content.
[[nodiscard]] bool is_prefill_report(std::string_view datagram) noexcept;

/// @errors malformed_message
[[nodiscard]] result<prefill_report> decode_prefill_report(
    std::string_view datagram);

struct prefill_report_table_options
{
    /// A claim that is not repeated ends: its gateway is gone. Gateways repeat
    /// theirs every 400 ms.
    duration trust = std::chrono::milliseconds(1300);
};

/// The claims of all gateways on one engine. Not thread-safe.
class prefill_report_table
{
public:
    explicit prefill_report_table(
        const prefill_report_table_options& options = {});

    /// Takes a claim; one that is older than known is ignored.
    /// @return whether the work of its gateway changed
    bool update(const prefill_report& said, mono_time now);

    /// Returns the work of all gateways. Complexity: linear in them.
    [[nodiscard]] serving::unread_work total(mono_time now) const;
    /// Returns the work of one gateway.
    [[nodiscard]] serving::unread_work from_gateway(
        const vm_id& gateway, mono_time now) const;
    /// Whether any gateway speaks.
    [[nodiscard]] bool has_live_reports(mono_time now) const;

private:
    struct known_claim
    {
        prefill_report last;
        mono_time heard;
    };

    prefill_report_table_options options_;
    std::map<vm_id, known_claim> known_;
};

} // namespace wagtailseam::engine_status

#endif
