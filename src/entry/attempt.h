// Checks the response to one attempt as it arrives and sends it to the caller once it is known to
// belong to the request.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "dispatch.h"
#include "ibisnotch/retry.h"
#include "ibisnotch/server-trial.h"

namespace ibisnotch {

class Dispatch::Attempt final : public ResponseSink
{
public:
    Attempt(std::shared_ptr<Dispatch> dispatch, Target target, ServerTrial trial,
            std::unique_ptr<ResponseReader> reader);

    bool onHead(int status, const Headers &headers) override;
    bool onData(std::string_view data) override;
    void onBodySent(std::size_t sent) override;
    bool isCongested() const override;
    bool keepsWaiting() override;
    void onEnd(const TransferResult &result) override;

    const HttpResponse &response() const { return m_response; }
    const Target &target() const { return m_target; }
    // Returns how the transfer ended. Known when the attempt has finished.
    const TransferResult &transfer() const { return m_transfer; }
    const ResponseReader &reader() const { return *m_reader; }
    // Returns whether the caller has received part of this attempt's response.
    bool hasWritten() const { return m_hasWritten; }
    // Returns whether the server has sent part of an answer: an event of a stream, or any byte of
    // another answer with a status of success.
    bool hasBegun() const { return m_hasBegun; }

private:
    void recordEventInterval();
    void countHeld();
    bool isShortOfBuffers() const;
    // Returns the size up to which an answer that isn't a stream is kept until it is complete.
    std::size_t bufferBound() const;
    bool stopWith(AttemptOutcome outcome);
    AttemptOutcome outcomeOf(const TransferResult &result) const;

    std::shared_ptr<Dispatch> m_dispatch;
    Target m_target;
    ServerTrial m_trial;
    std::unique_ptr<ResponseReader> m_reader;
    HeldBytes m_heldBody; // of the response, and what its reader holds
    mutable ReadPacer m_pacer;
    mutable bool m_pauseRecorded = false;
    HttpResponse m_response; // the body is buffered unless the response is a stream or too long
    TransferResult m_transfer;
    bool m_hasWritten = false;
    bool m_hasBegun = false;
    bool m_exceedsBuffer = false; // the body is too long to be buffered
    std::optional<AttemptOutcome> m_earlyOutcome;
    TimePoint m_lastReceivedAt; // time of the last data, or of the start of the attempt
    int m_eventsRecorded = 0;
    TimePoint m_lastEventAt{};
};

} // namespace ibisnotch
