#include "ibisnotch/result-code.h"

#include <algorithm>
#include <array>
#include <string>

#include <absl/strings/cord.h>
#include <absl/strings/numbers.h>

namespace ibisnotch {

namespace {

using enum ResultCode;
using enum RunState;

constexpr std::string_view payloadType = "ibisnotch/result-code";

constexpr std::array table{
    ResultInfo{served, "served", 200, run, "Nothing to do."},
    ResultInfo{bookingRepeated, "bookingRepeated", 200, run,
               "The booking ran before; read its details by a status read."},
    ResultInfo{malformedRequest, "malformedRequest", 400, notRun, "Correct the request."},
    ResultInfo{unknownCustomer, "unknownCustomer", 401, notRun, "Send a valid bearer token."},
    ResultInfo{unknownService, "unknownService", 404, notRun, "Name a configured service."},
    ResultInfo{unknownModel, "unknownModel", 404, notRun, "Name a configured model."},
    ResultInfo{bodyTooLarge, "bodyTooLarge", 413, notRun, "Send a smaller body."},
    ResultInfo{bookingKeyMissing, "bookingKeyMissing", 400, notRun,
               "Send an Idempotency-Key header."},
    ResultInfo{bookingKeyForm, "bookingKeyForm", 400, notRun,
               "Use a fresh UUIDv7 or a key issued by an entry instance."},
    ResultInfo{deadlinePassed, "deadlinePassed", 400, notRun, "Send a deadline in the future."},
    ResultInfo{bookingKeyReused, "bookingKeyReused", 409, notRun,
               "This key belongs to another booking; use a new key."},
    ResultInfo{noSuchPath, "noSuchPath", 404, notRun, "Use a documented path."},
    ResultInfo{headTooLarge, "headTooLarge", 431, notRun, "Send fewer or shorter header fields."},
    ResultInfo{requestTimeout, "requestTimeout", 408, notRun,
               "Send the request again, without long pauses."},
    ResultInfo{overloaded, "overloaded", 503, notRun, "Come back after Retry-After."},
    ResultInfo{noBackendServer, "noBackendServer", 503, notRun, "Come back after Retry-After."},
    ResultInfo{residencyForbids, "residencyForbids", 403, notRun,
               "Ask an entry instance in a region the rules allow."},
    ResultInfo{loopRefused, "loopRefused", 508, notRun, "Report this to the operators."},
    ResultInfo{quarantined, "quarantined", 422, notRun,
               "This request crashed backend servers; change it."},
    ResultInfo{heldForTrial, "heldForTrial", 503, notRun, "Come back after Retry-After."},
    ResultInfo{storeUnreachable, "storeUnreachable", 503, notRun,
               "Come back after Retry-After, or use a key issued by an entry instance."},
    ResultInfo{stopping, "stopping", 503, notRun, "Use another entry instance of the list."},
    ResultInfo{deadlineTooShort, "deadlineTooShort", 503, notRun,
               "Come back after Retry-After or allow more time."},
    ResultInfo{retriesSpent, "retriesSpent", 503, notRun, "Come back after Retry-After."},
    ResultInfo{claimPageFull, "claimPageFull", 503, notRun,
               "Come back after Retry-After with a new key."},
    ResultInfo{customerOverShare, "customerOverShare", 429, notRun, "Come back after Retry-After."},
    ResultInfo{notReady, "notReady", 503, notRun, "Use another entry instance."},
    ResultInfo{bookingNotRun, "bookingNotRun", 503, notRun,
               "The booking did not run; send it again with the same key."},
    ResultInfo{configBehind, "configBehind", 503, notRun,
               "Come back after Retry-After, or use another entry instance."},
    ResultInfo{usageCapReached, "usageCapReached", 429, notRun,
               "Come back after Retry-After; the customer's usage cap has room then."},
    ResultInfo{streamVersionUnknown, "streamVersionUnknown", 503, notRun,
               "It is not known which software version began the stream; begin it anew."},
    ResultInfo{streamVersionGone, "streamVersionGone", 503, notRun,
               "No server of the software version that began the stream is left; begin it anew."},
    ResultInfo{promptPartBlocked, "promptPartBlocked", 503, notRun,
               "A part of the prompt crashes backend servers; change it or come back after "
               "Retry-After."},
    ResultInfo{outcomeUnknown, "outcomeUnknown", 502, unknown,
               "The booking may have run; check by a status read before a new key is used."},
    ResultInfo{issuerGone, "issuerGone", 502, unknown,
               "The instance that issued the key is gone; check by a status read."},
    ResultInfo{bookingInProgress, "bookingInProgress", 409, unknown,
               "The same booking is being sent; ask again with the same key."},
    ResultInfo{callerLeft, "callerLeft", 499, unknown,
               "The caller closed the connection before its answer was complete."},
    ResultInfo{answerCutShort, "answerCutShort", 502, unknown,
               "The answer is not whole; an idempotent request may be sent again."},
    ResultInfo{answerNotOurs, "answerNotOurs", 502, unknown,
               "The answer belonged to another request and was dropped; send again."},
    ResultInfo{backendFailed, "backendFailed", 502, unknown,
               "An idempotent request may be sent again after Retry-After."},
    ResultInfo{deadlineExceeded, "deadlineExceeded", 504, unknown,
               "An idempotent request may be sent again with more time."},
};

} // namespace

std::span<const ResultInfo> resultTable()
{
    return table;
}

const ResultInfo &resultInfo(ResultCode code)
{
    const auto *found = std::find_if(table.begin(), table.end(),
                                     [code](const ResultInfo &info) { return info.code == code; });
    return *found;
}

ResultCode resultCodeOf(std::int64_t number)
{
    const bool isKnown = std::any_of(table.begin(), table.end(), [number](const ResultInfo &info) {
        return static_cast<std::int64_t>(info.code) == number;
    });
    return isKnown ? static_cast<ResultCode>(number) : backendFailed;
}

std::string_view runStateName(RunState state)
{
    switch (state) {
    case run:
        return "run";
    case notRun:
        return "not run";
    case unknown:
        return "unknown";
    }
    return "unknown";
}

absl::Status makeStatus(ResultCode code, std::string_view message)
{
    absl::Status status(absl::StatusCode::kFailedPrecondition,
                        absl::string_view(message.data(), message.size()));
    status.SetPayload(payloadType.data(), absl::Cord(std::to_string(static_cast<int>(code))));
    return status;
}

ResultCode resultCodeOf(const absl::Status &status)
{
    const auto payload = status.GetPayload(payloadType.data());
    int number = 0;
    if (payload && absl::SimpleAtoi(std::string(*payload), &number))
        return static_cast<ResultCode>(number);
    return malformedRequest;
}

} // namespace ibisnotch
