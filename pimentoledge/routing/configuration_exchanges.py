"""Sends what changed in the configuration from router to router."""

from collections.abc import Callable

from pimentoledge.routing import clocks
from pimentoledge.routing import configuration_histories
from pimentoledge.routing import log_lines
from pimentoledge.routing import object_caches
from pimentoledge.routing import peer_messages
from pimentoledge.routing import registrations
from pimentoledge.routing import transfers
from pimentoledge.routing import view_updaters


class ConfigurationExchange:
    """Requests, sends and receives differences between configurations.

    Attributes:
        updater: applies received contents to the view.
        history: the newest contents of the configuration.
        cache: this router's copy of the object, or None.
        lines: log for what is received.
        send: sends a message to a mailbox.
    """

    def __init__(
        self,
        *,
        cache: object_caches.ObjectCache | None,
        updater: view_updaters.ViewUpdater,
        lines: log_lines.Lines,
        send: Callable[[str, object], None],
    ):
        self.updater = updater
        self.history = updater.history
        self.cache = cache
        self.lines = lines
        self.send = send
        self._requested_at = 0.0

    def request(self, address: str, *, whole: bool = False) -> None:
        """Requests what a router has newer.

        Args:
            address: mailbox of the router.
            whole: whether the difference to this router's content is of no
                use.
        """
        self._requested_at = clocks.now()
        base = "" if whole else self.history.digest
        self.send(address, peer_messages.ConfigurationRequest(base=base))

    def answer(
        self, address: str, request: peer_messages.ConfigurationRequest
    ) -> None:
        """Sends the difference to the content that a router has."""
        stored = self._stored()
        if stored is None:
            return
        self.send(
            address,
            peer_messages.ConfigurationUpdate(
                name=stored.name,
                position=stored.position,
                known_to=self.cache.position,
                steps=self.history.steps_from(request.base),
            ),
        )

    def _stored(self) -> registrations.Stored | None:
        """Returns the object whose content is in force, or None.

        The copy may hold a newer one that can't be decoded, or an equal one of
        a restored store at a later position.
        """
        content = self.history.content
        if self.cache is None or content is None:
            return None
        for each in self.cache.objects.values():
            if each.value is content or each.value == content:
                return each
        return self.updater.in_force

    def receive(
        self, sender: str, update: peer_messages.ConfigurationUpdate
    ) -> None:
        """Applies a difference that another router has sent."""
        if self.cache is None or not update.steps:
            return
        began = clocks.now()
        if update.steps[-1].digest == self.history.digest:
            return
        try:
            received = self.history.receive(update.steps)
        except configuration_histories.BadStepError as error:
            self.lines.write(
                "configuration_unmatched", router=sender, why=str(error)
            )
            if update.steps[0].base:
                self.request(sender, whole=True)
            return
        era, revision = update.position
        known_era, known_revision = update.known_to
        size = sum(len(each.data) for each in update.steps)
        stored = registrations.Stored(
            name=update.name,
            revision=revision,
            value=received.content,
            era=era,
        )
        self.cache.apply(
            registrations.Listing(
                objects=[stored],
                revision=known_revision,
                era=known_era,
                transfer=transfers.Transfer(
                    source=sender,
                    size=size,
                    sent_at=self._requested_at,
                    head_at=began,
                    ended_at=began,
                    decode_seconds=clocks.now() - began,
                ),
            )
        )
        if received.digest != self.history.digest:
            # The copy keeps a later content, which may be unreadable.
            self.updater.apply_configuration([stored], [])
