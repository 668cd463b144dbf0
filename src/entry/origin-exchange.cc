#include "origin-exchange.h"

#include <algorithm>

#include "ibisnotch/log.h"

namespace ibisnotch {

namespace {

// A question or its answer may be lost. Within a region, the answer takes about 10 ms.
constexpr Duration resendInterval = std::chrono::milliseconds(90);
// A stream whose instance fails within this time can't be resumed, a longer one saves datagrams.
constexpr Duration noticeDelay = std::chrono::milliseconds(10);
constexpr std::size_t maxStreamsPerTick = 256;

std::uint32_t toMilliseconds(Duration duration)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(count, 0));
}

} // namespace

std::vector<Member> OriginExchange::holdersOf(std::uint64_t stream) const
{
    std::vector<Member> holders
        = originHolders(stream, m_state.settings.region, m_transport.runningMembers());
    std::erase_if(holders,
                  [this](const Member &member) { return member.name == m_state.settings.name; });
    return holders;
}

// While only one version can have begun the streams of a service, each instance knows their origin
// without being told. As soon as there are several, or an instance cannot be sure, all streams that
// callers may resume are told, also those that began before.
void OriginExchange::tick()
{
    const TimePoint now = m_state.clock.now();
    const auto needsTelling = [&](const std::string &service) {
        return !isSole(m_state.originHistory.possibleOrigins(service, now));
    };
    std::map<std::string, std::map<StreamOrigin, OriginNotice>> notices; // by address
    for (const auto &[stream, record] :
         m_state.originRecords.takeUntold(needsTelling, maxStreamsPerTick, now)) {
        for (const Member &holder : holdersOf(stream)) {
            OriginNotice &notice = notices[holder.gossipAddress][record.origin];
            notice.origin = record.origin;
            notice.lifetimeMs = std::max(notice.lifetimeMs, toMilliseconds(record.expiresAt - now));
            notice.streams.push_back(stream);
        }
    }
    for (auto &[address, byOrigin] : notices) {
        OriginMessage message;
        for (auto &[origin, notice] : byOrigin)
            message.notices.push_back(std::move(notice));
        m_transport.sendOrigins(address, message);
    }
}

void OriginExchange::scheduleNotices()
{
    if (std::exchange(m_noticesScheduled, true))
        return;
    m_transport.postAfter(noticeDelay, [this] {
        m_noticesScheduled = false;
        tick();
    });
}

void OriginExchange::find(const OriginQuestion &question, Done done)
{
    const std::uint64_t id = ++m_lastSearch;
    Search &search = m_searches[id];
    search.question = question;
    search.done = std::move(done);
    search.known.push_back(
        m_state.originHistory.possibleOrigins(question.service, m_state.clock.now()));
    for (const Member &holder : holdersOf(question.stream))
        search.unanswered.insert(holder.gossipAddress);
    search.asked = search.unanswered.size();
    if (search.asked == 0)
        return finish(id, std::nullopt);
    ask(id, Duration(0));
}

void OriginExchange::ask(std::uint64_t id, Duration elapsed)
{
    const auto found = m_searches.find(id);
    if (found == m_searches.end())
        return;
    if (elapsed >= maxSearchTime)
        return finish(id, std::nullopt);
    OriginMessage message;
    message.questions.push_back(found->second.question);
    for (const std::string &address : found->second.unanswered)
        m_transport.sendOrigins(address, message);
    const Duration next = std::min(elapsed + resendInterval, maxSearchTime);
    m_transport.postAfter(next - elapsed, [this, id, next] { ask(id, next); });
}

void OriginExchange::onMessage(const OriginMessage &message, const std::string &from)
{
    const TimePoint now = m_state.clock.now();
    for (const OriginNotice &notice : message.notices) {
        const TimePoint until = now + std::chrono::milliseconds(notice.lifetimeMs);
        for (const std::uint64_t stream : notice.streams)
            m_state.originRecords.addTold(stream, {notice.origin, "", now, until});
    }
    OriginMessage reply;
    for (const OriginQuestion &question : message.questions) {
        OriginAnswer answer{question.stream, std::nullopt, 0,
                            m_state.originHistory.possibleOrigins(question.service, now)};
        if (const auto record = m_state.originRecords.find(question.stream, now)) {
            answer.origin = record->origin;
            answer.ageMs = ageInMs(record->knownAt, now);
        }
        reply.answers.push_back(std::move(answer));
    }
    if (!reply.answers.empty())
        m_transport.sendOrigins(from, reply);
    for (const OriginAnswer &answer : message.answers)
        onAnswer(answer, from);
}

void OriginExchange::onAnswer(const OriginAnswer &answer, const std::string &from)
{
    std::vector<std::uint64_t> ended;
    for (auto &[id, search] : m_searches) {
        if (search.question.stream != answer.stream || search.unanswered.erase(from) == 0)
            continue;
        search.known.push_back(answer.possible);
        // Two instances that both know the one possible origin need no third.
        const bool agrees = isSole(search.known.front()) && answer.possible == search.known.front();
        if (answer.origin || agrees || search.unanswered.empty())
            ended.push_back(id);
    }
    for (const std::uint64_t id : ended)
        finish(id, answer.origin ? std::optional(answer) : std::nullopt);
}

// The others may not have met the callers that wait for longer than the service's deadline. Then
// their knowledge is complete too early, and only this instance's own counts.
bool OriginExchange::mayRelyOnLists(const Search &search) const
{
    const bool hasAnswer = search.asked == 0 || search.unanswered.size() < search.asked;
    const bool mustKnowItself
        = m_state.originHistory.outlastsDeadline(search.question.service, m_state.clock.now());
    return hasAnswer && (search.known.front().isComplete || !mustKnowItself);
}

// Without a record, the stream may be continued only if no other origin is possible. The list that
// this instance knows may lack the newest changes while it is cut off, so at least one other
// instance must have answered if there is any.
void OriginExchange::finish(std::uint64_t id, std::optional<OriginAnswer> told)
{
    auto node = m_searches.extract(id);
    Search &search = node.mapped();
    OriginFinding finding;
    finding.asked = search.asked;
    finding.answered = search.asked - search.unanswered.size();
    if (told) {
        finding.origin = told->origin;
        finding.source = OriginSource::told;
        finding.age = std::chrono::milliseconds(told->ageMs);
    } else if (mayRelyOnLists(search)) {
        finding.origin = soleOrigin(search.known);
        finding.source = finding.origin ? OriginSource::sole : OriginSource::unknown;
    }
    search.done(finding);
}

} // namespace ibisnotch
