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
    Attempt(std::shared_ptr<Dispatch> dispatch, Target target, AnswerForm form);

    bool onHead(int status, const Headers &headers) override;
    bool onData(std::string_view data) override;
    bool congested() const override;
    void onEnd(const TransferResult &result) override;

    const HttpResponse &answer() const { return m_answer; }
    // What a peer said about the request; served for a backend server.
    ResultCode code() const { return m_code; }
    bool streamed() const { return m_streamed; }

private:
    std::optional<AttemptEnd> judgeServerStatus(int status, const Headers &headers) const;
    bool stop(AttemptEnd end);
    void startStream();
    AttemptEnd endOf(const TransferResult &result) const;

    std::shared_ptr<Dispatch> m_dispatch;
    Target m_target;
    AnswerCheck m_check;
    AnswerForm m_form;
    HttpResponse m_answer; // kept until it is whole
    ResultCode m_code = ResultCode::served;
    bool m_eventStream = false;
    bool m_streamed = false;
    std::optional<AttemptEnd> m_stoppedAs;
};

} // namespace ibisnotch
