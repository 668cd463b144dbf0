// Numeric result codes of requests, and the table that describes each.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include <absl/status/status.h>

namespace ibisnotch {

enum class ResultCode : int {
    served = 1000,
    bookingRepeated = 1001,
    malformedRequest = 2001,
    unknownCustomer = 2002,
    unknownService = 2003,
    unknownModel = 2004,
    bodyTooLarge = 2005,
    bookingKeyMissing = 2006,
    bookingKeyForm = 2007,
    deadlinePassed = 2008,
    bookingKeyReused = 2009,
    noSuchPath = 2010,
    headTooLarge = 2011,
    requestTimeout = 2012,
    overloaded = 3001,
    noBackendServer = 3002,
    residencyForbids = 3003,
    loopRefused = 3004,
    quarantined = 3005,
    heldForTrial = 3006,
    storeUnreachable = 3007,
    stopping = 3008,
    deadlineTooShort = 3009,
    retriesSpent = 3010,
    claimPageFull = 3011,
    customerOverShare = 3012,
    notReady = 3013,
    bookingNotRun = 3014,
    configBehind = 3015,
    usageCapReached = 3016,
    streamVersionUnknown = 3017,
    streamVersionGone = 3018,
    promptPartBlocked = 3019,
    outcomeUnknown = 4001,
    issuerGone = 4002,
    bookingInProgress = 4003,
    callerLeft = 4004,
    answerCutShort = 5001,
    answerNotOurs = 5002,
    backendFailed = 5003,
    deadlineExceeded = 5004,
};

// Whether a backend server has run the request.
enum class RunState { run, notRun, unknown };

struct ResultInfo
{
    ResultCode code;
    std::string_view name;
    int httpStatus;
    RunState runState;
    std::string_view advice; // what the caller should do

    bool operator==(const ResultInfo &) const = default;
};

// Returns all codes in ascending order.
std::span<const ResultInfo> resultTable();

const ResultInfo &resultInfo(ResultCode code);

// Returns the code with this number. An instance of a later release may use one that isn't in the
// table; that says nothing of what became of the request, so it is `backendFailed`.
ResultCode resultCodeOf(std::int64_t number);

std::string_view runStateName(RunState run);

// Convert a result code to an error with the code as payload, and back. A status without a code
// maps to ResultCode::malformedRequest, since only parse functions return such statuses.
absl::Status makeStatus(ResultCode code, std::string_view message);
ResultCode resultCodeOf(const absl::Status &status);

} // namespace ibisnotch
