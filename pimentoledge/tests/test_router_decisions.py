"""The router's smaller decisions, each by itself."""

import attrs
from hypothesis import given
from hypothesis import strategies
import pytest

from pimentoledge import results
from pimentoledge.routing import backends
from pimentoledge.routing import cache_sources
from pimentoledge.routing import clocks
from pimentoledge.routing import cluster_views
from pimentoledge.routing import configurations
from pimentoledge.routing import counters
from pimentoledge.routing import event_streams
from pimentoledge.routing import http_messages
from pimentoledge.routing import log_lines
from pimentoledge.routing import object_caches
from pimentoledge.routing import peer_messages
from pimentoledge.routing import placements
from pimentoledge.routing import registrations
from pimentoledge.routing import request_types
from pimentoledge.routing import retry_budgets
from pimentoledge.routing import retry_rules
from pimentoledge.routing import router_responses
from pimentoledge.routing import saved_parts
from pimentoledge.routing import selections
from pimentoledge.routing import suspects
from pimentoledge.routing import view_updaters
from pimentoledge.routing import wait_estimates
from pimentoledge.routing import wanted_weights


def registration(name, place="a", weights=None, slots=8):
    return registrations.Registration(
        server=name,
        service="s",
        address="10.0.0.1:80",
        data_centre=place,
        slots=slots,
        leaving=False,
        weights=weights or {},
    )


def backend(name, **more):
    return backends.Backend(registration=registration(name, **more))


def route(kind=configurations.Repeatability.UNSAFE, most=1, resumable=False):
    return configurations.Route(
        name="r",
        host="h",
        path_prefix="/",
        kind=kind,
        timeout_seconds=1.0,
        objective_seconds=0.2,
        urgency=0,
        shares=(configurations.ServiceShare(service="s", weight=1),),
        most_servers=most,
        open=False,
        by_prefix=False,
        resumable=resumable,
        gap_seconds=None,
    )


class TestBudgets:
    """How often requests may be repeated."""

    def budget(self, born=-100.0):
        return retry_budgets.Budget(
            ratio=0.2, slack=40, window_seconds=10, born=born
        )

    def test_all_entries_together_keep_to_the_bound(self):
        """Four entries, each with its part, stay below the common bound."""
        entries = [self.budget() for _ in range(4)]
        spent = 0
        for tick in range(1000):
            now = tick / 100
            for entry in entries:
                if tick % 10 == 0:
                    entry.note_request(now)
                spent += entry.take(now, 4)
        assert spent <= 0.2 * 400 + 40

    def test_a_restarted_entry_leaves_room_for_its_former_life(self):
        old, new = self.budget(), self.budget(born=0.0)
        assert new.allowance(0.0, 1) == old.allowance(0.0, 1) / 2

    def test_what_was_spent_comes_back_after_the_window(self):
        entry = self.budget()
        while entry.take(0.0, 1):
            pass
        assert not entry.take(9.9, 1)
        assert entry.take(10.1, 1)


class TestVerdicts:
    """What follows from an attempt."""

    def test_what_may_have_run_is_sent_nowhere_else(self):
        history = retry_rules.AttemptHistory(sends=1)
        history.note_outcome("i", retry_rules.AttemptOutcome.BROKE)
        assert not retry_rules.may_retry(history, route())
        assert retry_rules.final_code(history) is results.Code.SERVICE_FAILED

    def test_what_did_not_run_may_go_elsewhere_and_is_refused_truly(self):
        history = retry_rules.AttemptHistory(sends=1)
        history.note_outcome("i", retry_rules.AttemptOutcome.NOT_RUN)
        assert retry_rules.may_retry(history, route())
        code = retry_rules.final_code(history)
        assert results.MEANINGS[code].ran is results.Ran.NOT_RUN

    def test_a_repeatable_call_runs_on_no_more_servers_than_allowed(self):
        safe = route(kind=configurations.Repeatability.SAFE, most=2)
        history = retry_rules.AttemptHistory(sends=1)
        history.note_outcome("i", retry_rules.AttemptOutcome.FAILED)
        assert retry_rules.may_retry(history, safe)
        history.note_outcome("j", retry_rules.AttemptOutcome.FAILED)
        assert not retry_rules.may_retry(history, safe)

    def test_a_refusal_after_a_run_is_no_promise(self):
        history = retry_rules.AttemptHistory(sends=2)
        history.note_outcome("i", retry_rules.AttemptOutcome.BROKE)
        history.note_outcome("j", retry_rules.AttemptOutcome.NOT_RUN)
        code = retry_rules.final_code(history)
        assert results.MEANINGS[code].status == 502


class TestEvents:
    """Streams cut into events."""

    @given(strategies.data())
    def test_only_whole_events_come_out_however_they_are_cut(self, data):
        whole = b"".join(b"id: %d\ndata: x%d\n\n" % (n, n) for n in range(6))
        cuts = data.draw(
            strategies.lists(strategies.integers(0, len(whole)), max_size=8)
        )
        splitter = event_streams.Splitter()
        events = []
        last = 0
        for cut in [*sorted(cuts), len(whole)]:
            events += splitter.feed(whole[last:cut])
            last = cut
        assert [event.number for event in events] == list(range(6))
        assert b"".join(event.data for event in events) == whole
        assert not splitter.rest

    def test_a_part_of_an_event_is_held_back(self):
        splitter = event_streams.Splitter()
        assert not splitter.feed(b"id: 1\ndata: half")
        assert splitter.rest


class TestParsing:
    """What clients send."""

    def parser(self):
        return http_messages.RequestParser(
            max_header_bytes=1000, max_body_bytes=100
        )

    @pytest.mark.parametrize(
        "head",
        [
            "Content-Length: 3\r\nContent-Length: 4",
            "Content-Length: 3\r\nTransfer-Encoding: chunked",
            "Transfer-Encoding: gzip, chunked",
            "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
            "Host: b",
            "Content-Length: -1",
            "Content-Length : 3",
        ],
    )
    def test_what_two_readers_could_frame_in_two_ways_is_refused(self, head):
        """A request smuggled inside another must not reach a server."""
        raw = f"POST / HTTP/1.1\r\nHost: a\r\n{head}\r\n\r\nGET / HTTP/1.1"
        with pytest.raises(http_messages.BadMessageError):
            self.parser().feed(raw.encode())

    @given(strategies.lists(strategies.integers(1, 90), max_size=6))
    def test_requests_come_out_whole_however_they_are_cut(self, cuts):
        raw = b"POST /p HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody"
        parser = self.parser()
        whole = raw + raw
        last = 0
        for cut in [*sorted(cuts), len(whole)]:
            parser.feed(whole[last:cut])
            last = cut
        assert [body for _, body in parser.requests] == [b"body", b"body"]

    def test_a_body_behind_the_rest_of_a_head_does_not_count_as_head(self):
        """A proper request must not be refused for how its bytes arrive.

        The head comes in two segments, and the second holds the body too,
        which is larger than a head may be.
        """
        parser = http_messages.RequestParser(
            max_header_bytes=200, max_body_bytes=5000
        )
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4000\r\n"
        parser.feed(head[:30])
        parser.feed(head[30:] + b"X: y\r\n\r\n" + b"b" * 4000)
        [(_, body)] = parser.requests
        assert len(body) == 4000

    def test_the_largest_head_and_body_are_bounded(self):
        parser = self.parser()
        with pytest.raises(http_messages.BadMessageError) as caught:
            parser.feed(b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 2000)
            parser.feed(b"y" * 2000 + b"\r\n\r\n")
        assert caught.value.status == 431
        parser = self.parser()
        with pytest.raises(http_messages.BadMessageError) as caught:
            parser.feed(
                b"POST / HTTP/1.1\r\nHost: a\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n"
                b"c8\r\n" + b"z" * 200 + b"\r\n"
            )
        assert caught.value.status == 413


class TestBeliefs:
    """What a router believes, and how old it is."""

    def view(self):
        return cluster_views.ClusterView(name="x", data_centre="a", born=0.0)

    def test_of_two_times_at_which_weights_were_named_the_earlier_holds(self):
        """A restarted router would send requests to old weights too long."""
        view = self.view()
        view.want("m", 2, 50.0)
        assert not view.want("m", 2, 42.0)
        assert view.wanted["m"].since == 42.0
        assert not view.want("m", 1, 10.0)
        assert view.wanted["m"].version == 2

    def test_requests_don_t_begin_on_weights_that_are_too_old(self):
        view = self.view()
        old = view.servers.put(registration("i", weights={"m": 1}))
        view.want("m", 2, 100.0)
        most = view.bounds.weights_seconds
        margin = cluster_views.WEIGHTS_MARGIN_SECONDS
        allow = selections.weights_allow
        assert allow(view, "m", old, 100.0 + most - margin - 0.1)
        assert not allow(view, "m", old, 100.0 + most - margin + 0.1)

    def test_new_weights_empty_what_a_runner_is_believed_to_hold(self):
        view = self.view()
        held = view.servers.put(registration("i", weights={"m": 1}))
        part = request_types.Part(name="p", tokens=100)
        held.note_parts("1", (part,), 1000, 0.0)
        view.servers.put(registration("i", weights={"m": 2}))
        assert held.cached_tokens("1", (part,)) == 0


class TestPlacement:
    """Which server a request goes to."""

    SPEEDS = wait_estimates.Speeds(
        base_seconds=0.09, token_seconds=3e-5, fetch_seconds=2e-6
    )

    def terms(self, **more):
        return placements.Criteria(data_centre="a", **more)

    def choose(self, *candidates, **more):
        found = placements.choose(
            candidates=list(candidates), terms=self.terms(**more), now=10.0
        )
        match found:
            case placements.Choice():
                return found.backend.registration.incarnation
            case placements.NoCapacity():
                return None

    def test_the_own_data_centre_goes_first_until_it_is_full(self):
        here, there = backend("h"), backend("t", place="b")
        assert self.choose(here, there) == "h"
        here.open = 40
        assert self.choose(here, there) == "t"

    def test_a_prompt_goes_where_its_parts_are(self):
        parts = (request_types.Part(name="p", tokens=6000),)
        one, two = (backend(n, weights={"m": 1}) for n in ("1", "2"))
        two.note_parts("1", parts, 50000, 0.0)
        found = self.choose(
            one, two, parts=parts, model="m", newest=1, speeds=self.SPEEDS
        )
        assert found == "2"

    def test_parts_of_another_namespace_do_not_count(self):
        parts = (request_types.Part(name="p", tokens=6000),)
        one, two = (backend(n, weights={"m": 1}) for n in ("1", "2"))
        two.note_parts("1.walled", parts, 50000, 0.0)
        two.open = 10
        found = self.choose(
            one, two, parts=parts, model="m", newest=1, speeds=self.SPEEDS
        )
        assert found == "1"

    def test_a_server_that_failed_is_left_alone_and_tried_again(self):
        only = backend("o")
        only.failed(10.0)
        assert self.choose(only) is None
        assert only.usable(10.0 + backends.FAILED_SECONDS)
        for _ in range(9):
            only.failed(20.0)
        assert only.avoid_until <= 20.0 + backends.MOST_FAILED_SECONDS

    def test_long_prompts_avoid_runners_that_are_slow_by_their_own_pace(self):
        """Four chunks of a long prompt stretch a slow runner's pauses.

        Streams there pause for over 250 ms and count as late.
        """
        slow, quick = backend("s", slots=48), backend("q", slots=48)
        for _ in range(200):
            slow.paused(0.052)
            quick.paused(0.040)
        quick.open = 8
        assert self.choose(slow, quick, unshared=3000) == "q"
        assert self.choose(slow, quick, unshared=600) == "s"


class TestSources:
    """Where cached parts are, and who reads one that nobody keeps."""

    PARTS = (
        request_types.Part(name="p", tokens=2000),
        request_types.Part(name="q", tokens=4000),
    )

    def runners(self):
        return [
            backend(name, place=place, weights={"m": 1})
            for name, place in (("h", "a"), ("g", "a"), ("t", "b"))
        ]

    def find(self, runners, now=10.0, stored=None, version=1):
        return cache_sources.find(
            runners=runners,
            stored=stored,
            model="m",
            version=version,
            namespace="1",
            parts=self.PARTS,
            now=now,
        )

    def test_a_part_that_is_being_read_is_read_once(self):
        """Two clients asked for one manual, and two runners read it.

        The second request came while the first was being read, at another
        router, which knew nothing of it and chose the runner next door.
        """
        here, next_door, _ = runners = self.runners()
        next_door.note_parts("1", self.PARTS, 50000, 10.5)
        found = self.find(runners)
        assert (found.best, found.coming) == ((), 6000)
        terms = placements.Criteria(
            data_centre="a",
            parts=self.PARTS,
            model="m",
            newest=1,
            sources=found,
        )
        chosen = placements.choose(candidates=runners, terms=terms, now=10.0)
        assert chosen.backend is next_door
        assert here.cached_tokens("1", self.PARTS) == 0

    def test_once_read_it_is_fetched_from_its_own_data_centre_first(self):
        here, next_door, there = runners = self.runners()
        for each in (next_door, there):
            each.note_parts("1", self.PARTS, 50000, 10.5)
        found = self.find(runners, now=10.6)
        source = found.for_runner("a", 0)
        assert (source.data_centre, source.tokens) == ("a", 6000)
        assert found.for_runner("b", 6000) is None
        here.note_parts("1", self.PARTS[:1], 50000, 10.0)

    def test_its_reader_s_first_event_shows_that_it_was_read(self):
        _, next_door, _ = runners = self.runners()
        next_door.note_parts("1", self.PARTS, 50000, 10.5)
        next_door.note_parts_read("1", self.PARTS, 10.2)
        assert self.find(runners, now=10.2).for_runner("a", 0).tokens == 6000

    def test_a_runner_with_other_weights_is_no_source(self):
        """What its runs leave under a namespace may be made on others."""
        _, next_door, _ = runners = self.runners()
        next_door.note_parts("1", self.PARTS, 50000, 9.0)
        next_door.registration.weights["m"] = 2
        assert self.find(runners).best == ()

    def test_a_runner_that_fell_silent_is_no_source(self):
        """A fetch from a dead runner costs some hundred ms."""
        _, next_door, _ = runners = self.runners()
        next_door.note_parts("1", self.PARTS, 50000, 9.0)
        next_door.failed(10.0)
        assert self.find(runners).best == ()

    def test_what_a_kv_cache_server_keeps_is_fetched_from_there(self):
        stored = cache_sources.CacheSource(
            address="c", data_centre="a", tokens=6000
        )
        found = self.find(self.runners(), stored=stored)
        assert found.for_runner("b", 2000).address == "c"
        assert found.for_runner("b", 6000) is None

    def test_a_transfer_takes_what_the_slower_link_allows(self):
        service = configurations.Service(
            name="s",
            max_connections=0,
            models=("m",),
            slots=8,
            cache_tokens=1,
            cache_address=None,
            data_centre=None,
            token_bytes=1000,
            link_bytes=1e6,
        )

        def seconds(link_bytes, apart):
            return cache_sources.transfer_seconds(
                500, service=service, link_bytes=link_bytes, apart=apart
            )

        assert seconds(1e7, False) == pytest.approx(0.5)
        assert seconds(1e5, False) == pytest.approx(5.0)
        assert seconds(None, True) == pytest.approx(1.0)


class TestSuspects:
    """Content that crashes servers."""

    def test_content_in_two_dead_servers_is_barred_for_a_while(self):
        known = suspects.Suspects()
        for name, when in (("i", 1.0), ("j", 2.0)):
            known.record_break("c", name, when)
            assert known.record_death(name, when + 0.5) == ["c"]
        assert known.is_quarantined("c", 3.0)
        assert not known.is_quarantined("d", 3.0)
        assert not known.is_quarantined("c", 3.0 + suspects.MEMORY_SECONDS)

    def test_a_broken_connection_to_a_server_that_lives_proves_nothing(self):
        """Lost answers must not bar an innocent client's requests."""
        known = suspects.Suspects()
        for number in range(9):
            known.record_break("c", f"i{number}", 1.0)
        assert not known.is_quarantined("c", 2.0)
        assert not known.record_death("i1", 1.0 + suspects.DEATH_SECONDS + 0.1)

    def test_a_whole_answer_proves_innocence(self):
        known = suspects.Suspects()
        known.record_crash("c", "i", 1.0)
        known.clear("c")
        known.record_crash("c", "j", 2.0)
        assert not known.is_quarantined("c", 3.0)


class TestMirrors:
    """Copies of the store's objects."""

    def mirror(self):
        seen = []
        held = object_caches.ObjectCache(
            kind="k",
            on_change=lambda changed, removed: seen.append(
                ([each.name for each in changed], removed)
            ),
        )
        return held, seen

    def stored(self, name, revision):
        return registrations.Stored(name=name, revision=revision, value={})

    def test_an_older_listing_of_another_router_changes_nothing(self):
        held, seen = self.mirror()
        listing = registrations.Listing
        held.apply(listing(objects=[self.stored("a", 5)], revision=9))
        held.apply(listing(objects=[], revision=8))
        assert list(held.objects) == ["a"]
        assert len(seen) == 1

    def test_what_a_new_listing_lacks_is_gone(self):
        held, seen = self.mirror()
        listing = registrations.Listing
        held.apply(listing(objects=[self.stored("a", 5)], revision=9))
        held.apply(listing(objects=[self.stored("b", 10)], revision=10))
        assert seen[-1] == (["b"], ["a"])

    def test_changes_out_of_order_keep_the_newest(self):
        held, seen = self.mirror()
        change = registrations.Changes
        held.apply(
            change(changed=[self.stored("a", 9)], removed=[], revision=9)
        )
        held.apply(
            change(changed=[self.stored("a", 7)], removed=[], revision=9)
        )
        assert held.objects["a"].revision == 9
        assert seen[-1] == ([], [])


class TestRoutes:
    """Routes and splits."""

    def test_the_longest_prefix_wins_and_hosts_are_apart(self):
        def one(name, host, prefix):
            return configurations.Route(
                name=name,
                host=host,
                path_prefix=prefix,
                kind=configurations.Repeatability.SAFE,
                timeout_seconds=1,
                objective_seconds=1,
                urgency=0,
                shares=(),
                most_servers=1,
                open=True,
                by_prefix=False,
                resumable=False,
                gap_seconds=None,
            )

        built = configurations.build(
            version=1,
            routes=[
                one("short", "h", "/a/"),
                one("long", "h", "/a/b/"),
                one("other", "i", "/a/b/c/"),
            ],
            organisations=None,
            services=[],
            limits=configurations.ClientLimits(),
        )
        assert built.match("h", "/a/b/c/d").name == "long"
        assert built.match("h", "/a/bc").name == "short"
        assert built.match("h", "/b/") is None

    def test_a_split_follows_its_weights_and_is_the_same_for_a_request(self):
        shares = (
            configurations.ServiceShare(service="x", weight=90),
            configurations.ServiceShare(service="y", weight=10),
        )
        split = configurations.Route(
            name="r",
            host="h",
            path_prefix="/",
            kind=configurations.Repeatability.SAFE,
            timeout_seconds=1,
            objective_seconds=1,
            urgency=0,
            shares=shares,
            most_servers=1,
            open=True,
            by_prefix=False,
            resumable=False,
            gap_seconds=None,
        )
        firsts = [
            selections.services_of(split, f"q{number}")[0]
            for number in range(2000)
        ]
        assert 0.86 < firsts.count("x") / 2000 < 0.94
        assert selections.services_of(split, "q1") == selections.services_of(
            split, "q1"
        )


class TestTrouble:
    """Servers that fail part of their requests."""

    def test_a_server_that_fails_requests_is_used_less_and_comes_back(self):
        """A grey server answers its status check and resets requests.

        Only what requests met tells; while it fails, work goes elsewhere.
        """
        grey, good = backend("g", slots=48), backend("o", slots=48)
        for _ in range(8):
            grey.troubled(10.0)
        good.open = 20
        terms = placements.Criteria(data_centre="a")

        def chosen():
            return placements.choose(
                candidates=[grey, good], terms=terms, now=10.0
            ).backend

        assert chosen() is good
        for _ in range(40):
            grey.served()
        assert chosen() is grey


class TestSaving:
    """What is sent to the KV cache server."""

    def test_a_prompt_is_saved_only_for_shared_parts_that_are_not_saved(self):
        """Own parts of every prompt would push the shared ones out."""
        known = saved_parts.SavedParts()
        parts = (request_types.Part(name="p", tokens=2000),)
        assert known.unsaved_tokens("c", "3", parts, 1.0)
        known.note_saved("c", "3", parts, 1.0)
        assert not known.unsaved_tokens("c", "3", parts, 2.0)
        assert known.unsaved_tokens("c", "4", parts, 2.0)
        assert known.unsaved_tokens("other", "3", parts, 2.0)
        late = 2.0 + saved_parts.AGAIN_SECONDS
        assert known.unsaved_tokens("c", "3", parts, late)

    def test_a_part_on_its_way_is_not_saved_again_at_once(self):
        known = saved_parts.SavedParts()
        parts = (request_types.Part(name="p", tokens=2000),)
        known.note_saving("c", "3", parts, 1.0)
        assert not known.unsaved_tokens("c", "3", parts, 1.5)
        assert known.tokens("c", "3", parts, 1.5) == 0
        # Its reader failed: nothing came.
        late = 1.1 + saved_parts.SAVING_SECONDS
        assert known.unsaved_tokens("c", "3", parts, late)

    def test_what_another_router_has_saved_is_not_saved_again(self):
        """Each prompt was saved by every router that met it, and own parts too.

        Two KV cache servers were sent more than their links carry, so what
        was saved came two seconds late, and was read again meanwhile.
        """
        older = TestOlderWeights()
        view = older.view(saved=None)
        view.wanted["m"] = wanted_weights.WantedWeights(
            wanted_weights.Named(version=1, since=10.0)
        )
        view.servers.put(registration("r", weights={"m": 1}))
        assert older.sent(view, 10.0).save_to == "10.0.0.1:80"
        prompt = peer_messages.PromptReport(
            server="r",
            namespace="1",
            parts=[("manual", 4000), ("own-of-another", 300)],
            saved_to="10.0.0.1:80",
        )
        selections.note_peer_prompt(view, prompt, 10.0)
        assert older.sent(view, 10.1).save_to is None
        prompt.read = True
        selections.note_peer_prompt(view, prompt, 10.4)
        assert older.sent(view, 18.0).save_to is None

    def test_all_routers_use_one_kv_cache_server_for_a_prompt(self):
        """One for each data centre would read and keep each part in each."""
        services = [
            configurations.Service(
                name=name,
                max_connections=9,
                models=(),
                slots=None,
                cache_tokens=1000,
                cache_address=f"10.0.0.{number}:80",
                data_centre=name,
            )
            for number, name in enumerate("abc")
        ]
        built = configurations.build(
            version=1,
            routes=[],
            organisations=None,
            services=services,
            limits=configurations.ClientLimits(),
        )
        chosen = {}
        for place in "abc":
            view = cluster_views.ClusterView(
                name="x", data_centre=place, born=0.0
            )
            view.configuration = built
            for number in range(30):
                parts = (
                    request_types.Part(name=f"p{number}", tokens=9),
                    request_types.Part(name=f"own-{place}-{number}", tokens=9),
                )
                found = selections.cache_server(view, parts)
                chosen.setdefault(number, set()).add(found.name)
        assert all(len(found) == 1 for found in chosen.values())
        assert len(set.union(*chosen.values())) == 3

    def test_without_a_kv_cache_server_a_prompt_goes_where_its_parts_are(self):
        """Nothing is saved, so a part would be read at each runner."""
        view = cluster_views.ClusterView(name="x", data_centre="a", born=0.0)
        view.configuration = configurations.build(
            version=1,
            routes=[],
            organisations=None,
            services=[],
            limits=configurations.ClientLimits(),
        )
        view.want("m", 1, 0.0)
        for number in range(6):
            view.servers.put(registration(str(number), weights={"m": 1}))
        holder = view.servers.by_server["4"]
        client_request = TestOlderWeights().ask(10.0)
        holder.note_parts("1", client_request.parts, 50000, 10.4)
        found = selections.select(
            view=view,
            client_request=client_request,
            route=route(configurations.Repeatability.STREAM),
            organisation=None,
            without=set(),
            now=10.0,
        )
        assert found.backend is holder


class TestUrgency:
    """Which requests a runner lets in first."""

    def sent(self, own, organisation):
        found = attrs.evolve(
            route(configurations.Repeatability.STREAM), urgency=own
        )
        return selections.urgency_of(
            found,
            None
            if organisation is None
            else configurations.Organisation(
                name="o", keys=(), urgency=organisation, isolated=False
            ),
        )

    def test_the_organisation_goes_first_and_the_route_within_it(self):
        """Drafts for riders at the counter waited behind look-ups.

        Nearly all organisations have one urgency, and with theirs alone the
        runners let everything in by its arrival.
        """
        order = [(0, 0), (1, 0), (2, 0), (0, 1), (1, 1), (0, 2), (2, 2)]
        found = [self.sent(own, organisation) for own, organisation in order]
        assert found == sorted(set(found))

    @given(strategies.integers(0, 20), strategies.integers(0, 20))
    def test_it_is_never_beyond_what_a_runner_takes(self, own, organisation):
        assert 0 <= self.sent(own, organisation) <= selections.MOST_URGENCY

    def test_without_an_organisation_the_route_s_holds(self):
        assert [self.sent(own, None) for own in (0, 1, 2)] == [0, 1, 2]


class TestOlderWeights:
    """What may be fetched from caches made under older weights."""

    PARTS = (request_types.Part(name="manual", tokens=4000),)
    OWN = request_types.Part(name="own", tokens=100)

    def ask(self, now):
        return request_types.ClientRequest(
            request="q",
            method=b"POST",
            host="h",
            target="/d/",
            path="/d/",
            key=None,
            wait_seconds=5.0,
            model="m",
            prompt_tokens=4100,
            answer_tokens=20,
            parts=(*self.PARTS, self.OWN),
            resume_after=None,
            passed_on=[],
            body=b"",
            arrived=now,
        )

    def sent(self, view, now):
        return selections.dispatch(
            view=view,
            client_request=self.ask(now),
            route=route(configurations.Repeatability.STREAM),
            organisation=None,
            backend=backend("r", weights={"m": 1}),
            resume_after=None,
            seconds_left=5.0,
            now=now,
        )

    def fetched(self, view, now):
        sent = self.sent(view, now)
        assert sent.save_to is None
        return sent.fetch_from

    def view(self, *, saved):
        found = cluster_views.ClusterView(name="x", data_centre="a", born=0.0)
        found.configuration = configurations.build(
            version=1,
            routes=[],
            organisations=None,
            services=[
                configurations.Service(
                    name="kept",
                    max_connections=9,
                    models=(),
                    slots=None,
                    cache_tokens=1000,
                    cache_address="10.0.0.1:80",
                    data_centre="a",
                )
            ],
            limits=configurations.ClientLimits(),
        )
        if saved is not None:
            found.saved.note_saved("10.0.0.1:80", "1", self.PARTS, saved)
        found.want("m", 2, 10.0)
        return found

    def test_parts_saved_well_before_newer_weights_are_fetched(self):
        """Runners not yet reached by a change read a whole manual again.

        They may not fetch what a run under changed weights left behind; what
        the KV cache server had before the change was named is sound.
        """
        assert self.fetched(self.view(saved=5.0), 11.0) == "10.0.0.1:80"

    def test_parts_that_may_have_been_saved_after_are_not(self):
        """A run that goes on under new weights may have saved a mixed part.

        A request that fetches it answers from other weights' memory.
        """
        for saved in (None, 9.5, 10.6):
            assert self.fetched(self.view(saved=saved), 11.0) is None

    def test_parts_that_may_have_yielded_since_are_not(self):
        """A part that yielded may have been saved again, mixed."""
        view = self.view(saved=5.0)
        late = 5.0 + saved_parts.AGAIN_SECONDS + 0.2
        view.wanted["m"] = wanted_weights.WantedWeights(
            wanted_weights.Named(version=2, since=late - 2.0)
        )
        assert self.fetched(view, late) is None

    def test_a_kv_cache_server_that_went_away_keeps_nothing(self):
        """It returns empty, and a part saved again may be mixed."""
        view = self.view(saved=5.0)
        view.saved.lost()
        assert self.fetched(view, 11.0) is None
        assert view.saved.unsaved_tokens("10.0.0.1:80", "1", self.PARTS, 11.0)


class TestRetryAfter:
    """When a refused client may come back."""

    def test_a_client_of_a_dark_router_comes_back_when_it_may_know_more(self):
        """A client came back after 0.3 s, and had no further try.

        All routers had started within an outage. The store was back after
        0.8 s; the client had 3.4 s left, and got nothing.
        """
        dark = results.Code.CONFIGURATION_INCOMPLETE
        found = {router_responses.retry_seconds(dark) for _ in range(50)}
        assert len(found) > 25
        assert min(found) >= 0.75
        # Clients with 4 s honour up to a third of what is left to them.
        assert max(found) <= 4 / 3

    def test_only_a_promise_says_when_to_come_back(self):
        assert (
            router_responses.retry_seconds(results.Code.SERVICE_FAILED) is None
        )
        assert router_responses.retry_seconds(results.Code.NO_SERVER) == 0.3

    def test_clients_that_full_servers_refused_do_not_return_together(self):
        full = results.Code.OVERLOADED
        found = {router_responses.retry_seconds(full) for _ in range(50)}
        assert len(found) > 25
        assert min(found) >= 0.4
        assert max(found) <= 1.0


class TestAgesOfWeights:
    """Since when weights count as named."""

    def takers(self):
        view = cluster_views.ClusterView(name="x", data_centre="a", born=0.0)
        return view_updaters.ViewUpdater(
            view=view,
            lines=log_lines.Lines(counters=counters.Counters()),
        )

    def age(self, taken):
        return clocks.now() - taken.view.wanted["m"].since

    def named(self, version):
        value = {"model": "m", "version": version}
        return registrations.Stored(name="m", revision=version, value=value)

    def test_the_first_version_ever_named_is_new(self):
        """Two thirds of the runners were shut out while they still might serve.

        No version had been named when the routers started. The first came by
        their watch, was taken for one read at a start, and counted as named
        for half of the time until no request may begin on older weights.
        """
        taken = self.takers()
        taken.apply_weights([], [])
        taken.apply_weights([self.named(2)], [])
        assert self.age(taken) < 1.0

    def test_a_version_read_at_the_start_may_be_old(self):
        taken = self.takers()
        taken.view.born = clocks.now()
        taken.apply_weights([self.named(2)], [])
        bound = taken.view.bounds.weights_seconds
        assert self.age(taken) >= bound - view_updaters.STARTUP_SECONDS
