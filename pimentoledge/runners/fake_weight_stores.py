"""A fake weight store whose loads slow down with concurrency."""


class WeightStore:
    """Determines how long each load of weights takes.

    Attributes:
        load_seconds: duration of a load while no more than `concurrent` run.
        concurrent: number of concurrent loads served at full speed.
        loads: number of loads so far.
        max_running: highest number of concurrent loads so far.
        end_times: end times of the running loads.
    """

    def __init__(self, *, load_seconds: float = 0.5, concurrent: int = 3):
        self.load_seconds = load_seconds
        self.concurrent = concurrent
        self.loads = 0
        self.max_running = 0
        self.end_times: list[float] = []

    def begin_load(self, now: float) -> float:
        """Begins a load and returns its duration in seconds.

        The duration is fixed at the start, in proportion to the number of
        loads then running; later loads do not extend it.
        """
        self.end_times = [end for end in self.end_times if end > now]
        running = len(self.end_times) + 1
        seconds = self.load_seconds * max(1.0, running / self.concurrent)
        self.end_times.append(now + seconds)
        self.loads += 1
        self.max_running = max(self.max_running, running)
        return seconds
