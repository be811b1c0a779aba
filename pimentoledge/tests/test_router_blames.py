"""Which prompt part is to blame for crashes, without a network."""

import random

from hypothesis import given
from hypothesis import strategies
import pytest

from pimentoledge.routing import blames
from pimentoledge.routing import server_deaths
from pimentoledge.routing import suspects

BAD = server_deaths.Subject(key="bad", depth=2)
SOUND = server_deaths.Subject(key="sound", depth=1)
OTHER = server_deaths.Subject(key="other", depth=2)


def _crash(known, name, when, *subjects):
    for each in subjects:
        known.record_crash(each, name, when)


def _quarantined(known, now):
    return [
        each.key
        for each in (BAD, SOUND, OTHER)
        if known.is_quarantined(each.key, now)
    ]


def _convict(known, *subjects):
    for number in range(blames.MIN_PART_CRASHES):
        _crash(known, f"i{number}", float(number), *subjects)
    return blames.MIN_PART_CRASHES - 1.0


def test_a_part_is_quarantined_after_its_third_crash():
    known = suspects.Suspects()
    for number in range(2):
        _crash(known, f"i{number}", float(number), BAD)
        assert not _quarantined(known, number + 0.1)
    _crash(known, "i2", 2.0, BAD)
    assert _quarantined(known, 2.1) == ["bad"]


@pytest.mark.parametrize("silent", [False, True])
def test_a_content_that_all_servers_ran_when_lost_at_once_is_not_blamed(silent):
    """Guards against a sound, popular call that is refused for minutes."""
    known = suspects.Suspects()
    content = server_deaths.Subject(key="popular")
    for number in range(4):
        known.record_crash(
            content, f"i{number}", 1.0 + 0.02 * number, silent=silent
        )
    assert not known.is_quarantined("popular", 1.5)


def test_a_content_that_crashes_servers_after_a_loss_of_all_is_blamed():
    known = suspects.Suspects()
    content = server_deaths.Subject(key="poison")
    for number in range(3):
        known.record_crash(content, f"i{number}", 1.0)
    known.record_crash(content, "i3", 4.0)
    assert known.is_quarantined("poison", 4.1)


def test_the_part_that_explains_the_most_crashes_is_blamed_alone():
    """Guards against a first part that is refused for what follows it."""
    known = suspects.Suspects()
    _convict(known, SOUND, BAD)
    _crash(known, "i3", 3.0, SOUND)
    _crash(known, "i4", 4.0, BAD)
    _crash(known, "i5", 5.0, BAD)
    assert _quarantined(known, 5.1) == ["bad"]


def test_of_parts_that_always_come_together_the_last_is_blamed():
    """Guards against more refusals than the crashes call for."""
    known = suspects.Suspects()
    _convict(known, SOUND, BAD)
    assert _quarantined(known, 2.1) == ["bad"]


def test_several_parts_are_blamed_at_once():
    known = suspects.Suspects()
    for number in range(3):
        _crash(known, f"i{number}", float(number), SOUND, BAD)
        _crash(known, f"j{number}", number + 0.4, SOUND, OTHER)
        known.record_success("sound", number + 0.5)
    assert _quarantined(known, 3.0) == ["bad", "other"]


THIRD = server_deaths.Subject(key="third", depth=2)


def _crash_with_each(known, first_at):
    """Lets three parts that follow the same one crash a server each."""
    for number, each in enumerate((BAD, OTHER, THIRD)):
        _crash(known, f"i{number}", first_at + number / 2, SOUND, each)


def test_a_part_that_just_worked_is_not_blamed_for_what_follows_it():
    """Guards against a first part refused for several parts that follow it."""
    known = suspects.Suspects()
    known.record_success("sound", 99.9)
    _crash_with_each(known, 100.0)
    assert not _quarantined(known, 101.1)


def test_a_part_is_not_blamed_for_what_follows_it_after_a_restart():
    """Guards against a first part refused while no success can be known."""
    known = suspects.Suspects()
    known.watched_from = 99.0
    _crash_with_each(known, 100.0)
    assert not _quarantined(known, 101.1)


def test_a_part_that_just_worked_is_found_beside_others():
    """Guards against a part that is never blamed for what comes with it."""
    known = suspects.Suspects()
    known.record_success("sound", 99.9)
    for number in range(5):
        other = server_deaths.Subject(key=f"own{number}", depth=2)
        _crash(known, f"i{number}", 100.0 + number, SOUND, other)
    assert _quarantined(known, 104.1) == ["sound"]


def test_a_part_stays_blamed_beside_one_that_explains_more():
    """Guards against verdicts that alternate while servers go on dying."""
    known = suspects.Suspects()
    for number in range(4):
        _crash(known, f"i{number}", float(number), BAD)
    for number in range(3):
        _crash(known, f"j{number}", 10.0 + number, OTHER)
    assert _quarantined(known, 12.1) == ["bad", "other"]
    _crash(known, "j2", 12.0, BAD)
    assert _quarantined(known, 12.2) == ["bad", "other"]


def test_a_success_before_crashes_is_reported_once():
    """Guards against routers that refuse what another one saw succeed."""
    known = suspects.Suspects()
    reported = []
    known.on_success = reported.append
    known.record_success("sound", 99.9)
    _crash(known, "i0", 100.0, SOUND)
    assert not reported
    _crash(known, "i1", 101.0, SOUND)
    _crash(known, "i2", 102.0, SOUND)
    assert reported == ["sound"]
    other = suspects.Suspects()
    other.on_success = reported.append
    _crash(other, "i0", 100.0, SOUND)
    _crash(other, "i1", 101.0, SOUND)
    assert not other.record_success("sound", 99.9)
    assert reported == ["sound", "sound"]


def test_a_wrong_verdict_ends_when_a_part_explains_more():
    """Guards against a verdict that stays though its cause is found."""
    known = suspects.Suspects()
    released = []
    known.on_verdict = released.append
    _convict(known, SOUND)
    assert _quarantined(known, 2.1) == ["sound"]
    for number in range(3):
        _crash(known, f"i{number}", float(number), BAD)
    _crash(known, "i3", 3.0, BAD)
    assert _quarantined(known, 3.1) == ["bad"]
    assert sorted(released) == ["bad", "sound", "sound"]


@pytest.mark.parametrize("success_first", [True, False])
def test_a_success_counts_from_its_own_time(success_first):
    """Guards against a crash that is reported after a later success."""
    known = suspects.Suspects()
    if success_first:
        known.record_success("bad", 1.5)
    _convict(known, BAD)
    if not success_first:
        known.record_success("bad", 1.5)
    assert not _quarantined(known, 2.1)
    assert len(known.subjects["bad"].counted()) == 1


def test_a_success_before_the_crashes_acquits_nothing():
    """Guards against a part that had worked until it crashed servers."""
    known = suspects.Suspects()
    known.record_success("bad", -0.1)
    _convict(known, BAD)
    assert _quarantined(known, 2.1) == ["bad"]


def test_a_success_that_releases_a_crash_is_reported():
    known = suspects.Suspects()
    reported = []
    known.on_success = reported.append
    known.record_success("bad", 0.5)
    assert not reported
    _crash(known, "i", 0.4, BAD)
    assert reported == ["bad"]
    known.record_success("bad", 0.6)
    assert reported == ["bad"]
    _crash(known, "j", 0.7, BAD)
    known.record_success("bad", 0.8)
    assert reported == ["bad", "bad"]


@pytest.mark.parametrize("silent", [True, False])
def test_what_ran_where_all_servers_were_lost_is_not_blamed(silent):
    """Guards against routes refused after the servers died at once."""
    known = suspects.Suspects()
    for number in range(12):
        known.record_crash(
            SOUND, f"i{number}", 1.0 + number / 200, silent=silent
        )
    assert not _quarantined(known, 2.0)


def test_a_part_that_comes_often_is_found():
    """Guards against crashes in quick succession taken for a lost rack."""
    known = suspects.Suspects()
    for number in range(5):
        _crash(known, f"i{number}", number * 0.11, BAD)
    assert _quarantined(known, 1.0) == ["bad"]


def test_single_requests_try_a_part_after_its_quarantine():
    """Guards against servers that die together once a quarantine ends."""
    known = suspects.Suspects()
    newest = _convict(known, BAD)
    now = newest + suspects.PART_QUARANTINE_SECONDS + 0.1
    assert known.blocking([SOUND, BAD], now - 0.2) == "bad"
    assert known.blocking([SOUND, BAD], now) is None
    known.start_trial([SOUND, BAD], now)
    assert known.blocking([SOUND, BAD], now) == "bad"
    assert known.blocking([SOUND, BAD], now + suspects.TRIAL_SECONDS) is None


def test_a_trial_that_crashes_a_server_prolongs_the_quarantine():
    known = suspects.Suspects()
    newest = _convict(known, BAD)
    now = newest + suspects.PART_QUARANTINE_SECONDS + 0.1
    known.start_trial([BAD], now)
    _crash(known, "i9", now + 0.2, BAD)
    factor = suspects.PART_QUARANTINE_FACTOR
    later = now + factor * suspects.PART_QUARANTINE_SECONDS
    assert known.blocking([BAD], later) == "bad"
    assert known.blocking([BAD], later + 1) is None


def test_a_trial_that_succeeds_releases_the_part():
    """Guards against a wrong verdict that nothing can correct."""
    known = suspects.Suspects()
    newest = _convict(known, SOUND)
    now = newest + suspects.PART_QUARANTINE_SECONDS + 0.1
    known.start_trial([SOUND], now)
    assert known.record_success("sound", now + 0.2)
    assert known.blocking([SOUND], now + 0.2) is None
    assert not known.quarantines


def test_one_router_tries_a_part_before_the_others():
    """Guards against a server that dies for each router at the same time."""
    known = suspects.Suspects()
    known.rank = lambda key: 2
    newest = _convict(known, BAD)
    ends = newest + suspects.PART_QUARANTINE_SECONDS
    delay = 2 * suspects.TRIAL_SECONDS
    assert known.blocking([BAD], ends + delay - 0.1) == "bad"
    assert known.blocking([BAD], ends + delay + 0.1) is None


@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from([BAD, SOUND, OTHER]),
            strategies.integers(0, 5),
            strategies.booleans(),
        ),
        max_size=30,
    ),
    strategies.randoms(use_true_random=False),
)
def test_routers_agree_in_whatever_order_evidence_arrives(
    evidence, shuffler: random.Random
):
    """Guards against routers of which some refuse what others send."""
    verdicts = []
    for _ in range(2):
        known = suspects.Suspects()
        shuffler.shuffle(evidence)
        for subject, number, success in evidence:
            if success:
                known.record_success(subject.key, number + 0.5)
            else:
                known.record_crash(subject, f"i{number}", float(number))
        verdicts.append(
            {
                key: crashes
                for key, crashes in (
                    (each, known.quarantined_until(each))
                    for each in ("bad", "sound", "other")
                )
                if crashes
            }
        )
    assert verdicts[0] == verdicts[1]


def _evidence(key, *crashes, **fields):
    return blames.Evidence(
        key=key,
        depth=fields.pop("depth", 2),
        crashes=dict.fromkeys(crashes, 1.0),
        succeeded_at=fields.pop("succeeded_at", 0.0),
        **fields,
    )


@pytest.mark.parametrize("first", [True, False])
def test_of_parts_alike_the_one_that_last_worked_longest_ago_is_blamed(first):
    """Guards against a conviction of what was sound most lately."""
    suspected = [
        _evidence("longer ago", "i0", "i1", "i2", succeeded_at=1.0),
        _evidence("lately", "i0", "i1", "i2", succeeded_at=5.0),
    ]
    if not first:
        suspected.reverse()
    assert blames.explain(suspected).keys() == {"longer ago"}


def test_a_part_that_just_worked_needs_crashes_that_nothing_else_explains():
    """Guards against a first part refused for crashes of what follows it."""
    other = _evidence("other", "i0", "i1", "i9")
    crashes = ("i0", "i1", "i2", "i3")
    lately = _evidence("first", *crashes, depth=1, trust=blames.Trust.RECENT)
    assert blames.explain([other, lately]).keys() == {"other"}
    unknown = _evidence("first", *crashes, depth=1, trust=blames.Trust.UNKNOWN)
    assert blames.explain([other, unknown]).keys() == {"other", "first"}
