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

PossibleOrigins OriginExchange::ownOrigins(const Search &search) const
{
    return m_state.originHistory.possibleOrigins(search.question.service, m_state.clock.now());
}

// Without a record, the stream may go on only if no other origin is possible. Servers of a new
// version may have begun streams since this instance's list was confirmed, as it may have been cut
// off or have stood still, so the store has to confirm the list after the caller came.
void OriginExchange::find(const OriginQuestion &question, Done done)
{
    const std::uint64_t id = ++m_lastSearch;
    Search &search = m_searches[id];
    search.question = question;
    search.done = std::move(done);
    for (const Member &holder : holdersOf(question.stream))
        search.unanswered.insert(holder.gossipAddress);
    search.asked = search.unanswered.size();
    if (!isSole(ownOrigins(search)))
        return startAsking(id);
    search.isRefreshing = true;
    m_transport.postAfter(askDelay, [this, id] { startAsking(id); });
    m_transport.refreshLists([this, id](bool isCurrent) { onRefreshed(id, isCurrent); });
}

void OriginExchange::onRefreshed(std::uint64_t id, bool isCurrent)
{
    const auto found = m_searches.find(id);
    if (found == m_searches.end())
        return;
    Search &search = found->second;
    search.isRefreshing = false;
    search.isCurrent = isCurrent;
    const bool isCertain = isCurrent && isSole(ownOrigins(search));
    if (isCertain || search.isAskingOver)
        return finish(id, std::nullopt);
    startAsking(id);
}

void OriginExchange::startAsking(std::uint64_t id)
{
    const auto found = m_searches.find(id);
    if (found == m_searches.end() || std::exchange(found->second.hasAsked, true))
        return;
    if (found->second.unanswered.empty())
        return endAsking(id);
    ask(id, Duration(0));
}

void OriginExchange::endAsking(std::uint64_t id)
{
    Search &search = m_searches.at(id);
    search.isAskingOver = true;
    if (!search.isRefreshing)
        finish(id, std::nullopt);
}

void OriginExchange::ask(std::uint64_t id, Duration elapsed)
{
    const auto found = m_searches.find(id);
    if (found == m_searches.end() || found->second.isAskingOver)
        return;
    if (elapsed >= maxSearchTime)
        return endAsking(id);
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
        OriginAnswer answer = makeAnswer(question);
        // Together with what the asking instance knows, no origin at all may make one certain, too.
        const bool mayDecide = answer.possible.isComplete && answer.possible.origins.size() <= 1;
        if (!answer.origin && mayDecide)
            answerWhenCurrent(question, from);
        else
            reply.answers.push_back(std::move(answer));
    }
    if (!reply.answers.empty())
        m_transport.sendOrigins(from, reply);
    for (const OriginAnswer &answer : message.answers)
        onAnswer(answer, from);
}

OriginAnswer OriginExchange::makeAnswer(const OriginQuestion &question) const
{
    const TimePoint now = m_state.clock.now();
    OriginAnswer answer{question.stream, std::nullopt, 0,
                        m_state.originHistory.possibleOrigins(question.service, now)};
    if (const auto record = m_state.originRecords.find(question.stream, now)) {
        answer.origin = record->origin;
        answer.ageMs = ageInMs(record->knownAt, now);
    }
    return answer;
}

// The asking instance would rely on what may be outdated here, too.
void OriginExchange::answerWhenCurrent(const OriginQuestion &question, const std::string &from)
{
    m_transport.refreshLists([this, question, from](bool isCurrent) {
        OriginMessage reply;
        reply.answers.push_back(makeAnswer(question));
        PossibleOrigins &possible = reply.answers.front().possible;
        possible.isComplete = possible.isComplete && isCurrent;
        m_transport.sendOrigins(from, reply);
    });
}

void OriginExchange::onAnswer(const OriginAnswer &answer, const std::string &from)
{
    std::vector<std::uint64_t> known;
    std::vector<std::uint64_t> asked;
    for (auto &[id, search] : m_searches) {
        if (search.question.stream != answer.stream || search.unanswered.erase(from) == 0)
            continue;
        search.told.push_back(answer.possible);
        // Two instances that both know the one possible origin need no third.
        const PossibleOrigins own = ownOrigins(search);
        const bool agrees = isSole(own) && answer.possible == own;
        if (answer.origin || agrees)
            known.push_back(id);
        else if (search.unanswered.empty())
            asked.push_back(id);
    }
    for (const std::uint64_t id : known)
        finish(id, answer.origin ? std::optional(answer) : std::nullopt);
    for (const std::uint64_t id : asked)
        endAsking(id);
}

// Returns the only possible origin if an instance whose list is current knows it, and nobody knows
// another. While callers wait for longer than the service's deadline, the others may not have met
// them; then their knowledge is complete too early, and this instance's own has to be, too.
std::optional<StreamOrigin> OriginExchange::soleOriginOf(const Search &search) const
{
    PossibleOrigins own = ownOrigins(search);
    const bool mustKnowItself
        = m_state.originHistory.outlastsDeadline(search.question.service, m_state.clock.now());
    if (mustKnowItself && !own.isComplete)
        return std::nullopt;
    own.isComplete = own.isComplete && search.isCurrent;
    std::vector<PossibleOrigins> known = search.told;
    known.push_back(std::move(own));
    return soleOrigin(known);
}

void OriginExchange::finish(std::uint64_t id, std::optional<OriginAnswer> told)
{
    const auto node = m_searches.extract(id);
    const Search &search = node.mapped();
    // A notice may have waited in the socket while this instance stood still.
    if (OriginAnswer late = makeAnswer(search.question); !told && late.origin)
        told = std::move(late);
    OriginFinding finding;
    finding.asked = search.hasAsked ? search.asked : 0;
    finding.answered = search.told.size();
    finding.isListCurrent = search.isCurrent;
    if (told) {
        finding.origin = told->origin;
        finding.source = OriginSource::told;
        finding.age = std::chrono::milliseconds(told->ageMs);
    } else {
        finding.origin = soleOriginOf(search);
        finding.source = finding.origin ? OriginSource::sole : OriginSource::unknown;
    }
    search.done(finding);
}

} // namespace ibisnotch
