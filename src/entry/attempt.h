// One attempt's answer, checked as it arrives and passed on when it is known to be ours.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "dispatch.h"
#include "ibisnotch/retry.h"

namespace ibisnotch {

class Dispatch::Attempt final : public AnswerSink
{
public:
    Attempt(std::shared_ptr<Dispatch> dispatch, Target target,
            std::unique_ptr<ResponseReader> reader);

    bool onHead(int status, const Headers &headers) override;
    bool onData(std::string_view data) override;
    bool congested() const override;
    bool waitsOn() override;
    void onEnd(const TransferResult &result) override;

    const HttpResponse &answer() const { return m_answer; }
    const ResponseReader &reader() const { return *m_reader; }

private:
    void recordEventInterval();
    bool stopWith(AttemptOutcome end);
    AttemptOutcome attemptEndOf(const TransferResult &result) const;

    std::shared_ptr<Dispatch> m_dispatch;
    Target m_target;
    std::unique_ptr<ResponseReader> m_reader;
    HttpResponse m_answer; // kept until it is whole
    bool m_exceedsBuffer = false; // to be kept whole
    std::optional<AttemptOutcome> m_stoppedWith;
    TimePoint m_lastReceivedAt; // the last byte, or the start
    int m_eventsRecorded = 0;
    TimePoint m_lastEventAt{}; // of the last event
};

} // namespace ibisnotch
