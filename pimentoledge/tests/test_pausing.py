"""Preemption of batch work by interactive work, through entry and agent."""

from pimentoledge.runners import fake_engines
from pimentoledge.tests import simulated_clusters

STEP = 0.032
CHECK = "A long lot dossier. " * 20
QUOTE = "A quote while a customer waits. " * 20


def text(prompt, tokens):
    return fake_engines.expected_text(prompt, 0, tokens)


def full_runner(cluster):
    for number in range(2):
        cluster.request(0, f"b{number}", CHECK, tokens=300, batch=True)
    cluster.run(2.0, until=lambda: len(cluster.first_text_times) == 2)
    cluster.run(1.0)


def test_interactive_waits_one_step_and_batch_answer_is_complete():
    """Guards against a long wait of interactive work and a corrupt resume.

    Both slots run long batch answers. The interactive request must not wait
    until one of them is complete. The preempted answer is complete in the
    end, with no text lost or duplicated.
    """
    cluster = simulated_clusters.SimulatedCluster(
        entry_count=1, runners=1, slots=2, step_seconds=STEP
    )
    full_runner(cluster)
    sent_at = cluster.now
    cluster.request(0, "i", QUOTE, tokens=5)
    cluster.run(1.0, until=lambda: "i" in cluster.first_text_times)
    messages = 4 * 0.002
    prefill = 0.0001 * len(QUOTE) / 4
    assert cluster.first_text_times["i"] - sent_at <= STEP + prefill + messages
    cluster.run(60.0, until=lambda: len(cluster.answers) == 3)
    assert {cluster.result_code(each) for each in ("i", "b0", "b1")} == {0}
    for each in ("b0", "b1"):
        assert cluster.texts[each] == text(CHECK, 300)
    assert cluster.runners[0].engine.counters.cancelled == 1
    assert cluster.runners[0].engine.counters.wrong_continuations == 0


def test_paused_work_goes_on_elsewhere_when_its_engine_dies():
    """An engine crashes while a batch answer is paused at it.

    The paused attempt has run, so it must not be refused as "not run".
    Another runner continues after the text that the client has received.
    """
    cluster = simulated_clusters.SimulatedCluster(
        entry_count=1, runners=2, slots=1, step_seconds=STEP
    )
    prompts = {f"b{n}": f"Lot {n}. " + CHECK for n in range(6)}
    for request, prompt in prompts.items():
        cluster.request(0, request, prompt, tokens=200, batch=True)
    engines = [each.engine for each in cluster.runners]
    assert cluster.run(5.0, until=lambda: all(e.decoding for e in engines))
    prompts |= {f"i{n}": f"Bike {n}. " + QUOTE for n in range(2)}
    for request in ("i0", "i1"):
        cluster.request(0, request, prompts[request], tokens=100)
    cluster.run(1.0)
    paused = max(engines, key=lambda each: each.counters.cancelled)
    assert paused.counters.cancelled == 1
    paused.crash(cluster.now)
    cluster.run(60.0, until=lambda: len(cluster.answers) == len(prompts))
    assert set(cluster.answers) == set(prompts)
    for request, (error, _) in cluster.answers.items():
        assert error.code == 0
        count = 200 if request[0] == "b" else 100
        assert cluster.texts[request] == text(prompts[request], count)
