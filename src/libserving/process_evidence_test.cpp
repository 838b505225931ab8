#include "bulrushstack/serving/process_evidence.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

struct ProcessEvidenceFixture {
    ManualClock clock;
    ProcessEvidence evidence;

    void open(SteadyTime now) { evidence.recordOpen(now, false); }

    SteadyTime after(std::chrono::milliseconds duration)
    {
        clock.advance(duration);
        return clock.now();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TheEvidenceOfAProcess, ProcessEvidenceFixture)

BOOST_AUTO_TEST_SUITE(WithAConnectionFromBeforeTheEndOfAResponse)

BOOST_AUTO_TEST_CASE(IsThatItRunsWhileTheConnectionStays)
{
    open(after(1ms));
    const auto end = after(500ms);
    BOOST_TEST((evidence.stateAt(end) == ProcessState::Running));
}

// Guards against connections of one process whose ends are heard of in another order.
BOOST_AUTO_TEST_CASE(IsThatItHasEndedIfBothEndInOneMoment)
{
    open(after(1ms));
    const auto closed = after(500ms);
    evidence.recordClosed(closed);
    BOOST_TEST((evidence.stateAt(closed - 4ms) == ProcessState::Ended));
    BOOST_TEST((evidence.stateAt(closed) == ProcessState::Ended));
    BOOST_TEST((evidence.stateAt(closed + 4ms) == ProcessState::Ended));
}

// Guards against a process that was replaced at once and counts as the one before.
BOOST_AUTO_TEST_CASE(IsThatItHasEndedAlsoIfSomebodyListensAfterwards)
{
    open(after(1ms));
    const auto end = after(500ms);
    evidence.recordClosed(end);
    open(after(15ms));
    BOOST_TEST((evidence.stateAt(end) == ProcessState::Ended));
}

BOOST_AUTO_TEST_CASE(IsThatItRunsAfterTheConnectionWasReplaced)
{
    open(after(1ms));
    const auto end = after(500ms);
    open(after(2ms));
    BOOST_TEST((evidence.stateAt(end) == ProcessState::Running));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithoutSuchAConnection)

BOOST_AUTO_TEST_CASE(IsNoneBeforeOneIsEstablished)
{
    BOOST_TEST((evidence.stateAt(after(1ms)) == ProcessState::Unknown));
}

// Guards against whole responses of an upstream that closes idle connections.
BOOST_AUTO_TEST_CASE(IsNoneIfItWasClosedLongBefore)
{
    open(after(1ms));
    evidence.recordClosed(after(500ms));
    BOOST_TEST((evidence.stateAt(after(20ms)) == ProcessState::Unknown));
}

BOOST_AUTO_TEST_CASE(IsThatSomebodyListensIfOneWasEstablishedAfterwards)
{
    const auto end = after(1ms);
    open(after(1ms));
    BOOST_TEST((evidence.stateAt(end) == ProcessState::Listening));
    evidence.recordClosed(after(1ms));
    BOOST_TEST((evidence.stateAt(end) == ProcessState::Unknown));
}

// Guards against a process that has been replaced since its connection ended.
BOOST_AUTO_TEST_CASE(IsThatSomebodyListensIfAnEarlierOneWasClosed)
{
    open(after(1ms));
    evidence.recordClosed(after(500ms));
    open(after(20ms));
    BOOST_TEST((evidence.stateAt(after(500ms)) == ProcessState::Listening));
}

// Guards against a reset on the way that is taken for the end of the process, which ends its connections in order.
BOOST_AUTO_TEST_CASE(IsNoneIfItWasLost)
{
    open(after(1ms));
    const auto end = after(500ms);
    evidence.recordLost();
    BOOST_TEST((evidence.stateAt(end) == ProcessState::Unknown));
}

// Guards against whole responses of an upstream that takes no more connections, which would count as a crash.
BOOST_AUTO_TEST_CASE(IsNoneIfItWasClosedAtOnce)
{
    open(after(1ms));
    const auto end = after(20ms);
    evidence.recordClosed(end);
    BOOST_TEST((evidence.stateAt(end) == ProcessState::Unknown));
}

BOOST_AUTO_TEST_CASE(IsThatItHasEndedIfItHadRespondedOnTheConnection)
{
    evidence.recordOpen(after(1ms), true);
    const auto end = after(20ms);
    evidence.recordClosed(end);
    BOOST_TEST((evidence.stateAt(end) == ProcessState::Ended));
}

BOOST_AUTO_TEST_CASE(IsThatItDoesNotListenIfNoneCouldBeEstablished)
{
    open(after(1ms));
    evidence.recordClosed(after(500ms));
    evidence.recordRefused();
    BOOST_TEST((evidence.stateAt(after(500ms)) == ProcessState::NotListening));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AResponseThatEndsWithItsConnection)

BOOST_AUTO_TEST_CASE(IsWholeIfItsProcessOutlivesIt)
{
    for (const bool isReplaced : { false, true })
        BOOST_TEST((judgeResponseEnd({ .process = ProcessState::Running, .isReplaced = isReplaced })
            == ResponseEndVerdict::Whole));
}

BOOST_AUTO_TEST_CASE(IsNotWholeIfItsProcessEndsOrAnotherOneHasItsAddress)
{
    BOOST_TEST((judgeResponseEnd({ .process = ProcessState::Ended }) == ResponseEndVerdict::ProcessEnded));
    for (const auto it : { ProcessState::Listening, ProcessState::NotListening, ProcessState::Unknown })
        BOOST_TEST((judgeResponseEnd({ .process = it, .isReplaced = true, .isListening = true })
            == ResponseEndVerdict::ProcessEnded));
}

BOOST_AUTO_TEST_CASE(IsWholeWithoutAnIdleConnectionIfSomebodyListens)
{
    BOOST_TEST((judgeResponseEnd({ .process = ProcessState::Listening }) == ResponseEndVerdict::Whole));
    BOOST_TEST(needsListeningProbe({ .process = ProcessState::Unknown }));
    BOOST_TEST(
        (judgeResponseEnd({ .process = ProcessState::Unknown, .isListening = true }) == ResponseEndVerdict::Whole));
}

// Guards against a part that its caller gets as a whole response since nothing speaks against it either.
BOOST_AUTO_TEST_CASE(IsUnprovenIfNobodyListens)
{
    BOOST_TEST((judgeResponseEnd({ .process = ProcessState::NotListening }) == ResponseEndVerdict::Unproven));
    BOOST_TEST(
        (judgeResponseEnd({ .process = ProcessState::Unknown, .isListening = false }) == ResponseEndVerdict::Unproven));
}

BOOST_AUTO_TEST_SUITE_END()
