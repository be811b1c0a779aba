"""The weight store: loads take longer when many happen at one time."""


class WeightStore:
    """Says how long each load of weights takes.

    Attributes:
        load_seconds: time of a load while no more than `concurrent` run.
        concurrent: loads at one time that the store serves at full speed.
        loads: loads so far.
        most: most loads that ran at one time.
    """

    def __init__(self, *, load_seconds: float = 0.5, concurrent: int = 3):
        self.load_seconds = load_seconds
        self.concurrent = concurrent
        self.loads = 0
        self.max_running = 0
        self.end_times: list[float] = []

    def begin_load(self, now: float) -> float:
        """Begins a load; returns its seconds.

        The time is fixed at the start, in proportion to the loads then
        running: later ones do not slow it down any more.
        """
        self.end_times = [end for end in self.end_times if end > now]
        running = len(self.end_times) + 1
        seconds = self.load_seconds * max(1.0, running / self.concurrent)
        self.end_times.append(now + seconds)
        self.loads += 1
        self.max_running = max(self.max_running, running)
        return seconds
