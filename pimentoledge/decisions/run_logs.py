"""Log lines of an agent's decisions about one attempt."""

from pimentoledge.decisions import actions
from pimentoledge.decisions import admission
from pimentoledge.decisions import claim_verdicts
from pimentoledge.decisions import runs


def pause(run: runs.Run, kind: str) -> actions.LogDecision:
    """Returns the log line of an attempt that is paused or resumed."""
    fields: dict[str, object] = {
        "request": run.dispatch.request,
        "attempt": run.dispatch.attempt,
        "organisation": run.dispatch.organisation,
        "server": run.dispatch.server,
        "tokens": run.earlier_tokens + run.tokens,
    }
    return actions.LogDecision(kind=kind, fields=fields)


def claim(output: claim_verdicts.Verdict) -> actions.LogDecision:
    """Returns the log line of the verdict on a claim."""
    fields: dict[str, object] = {
        "request": output.request,
        "attempt": output.attempt,
        "verdict": type(output).__name__.lower(),
    }
    if isinstance(output, claim_verdicts.Denied):
        fields["verdict"] = output.code.name
        fields["ran"] = str(output.ran)
    return actions.LogDecision(kind="claim", fields=fields)


def admit(
    run: runs.Run, verdict: admission.Admit | admission.Queue | admission.Refuse
) -> actions.LogDecision:
    """Returns the log line of an admission verdict."""
    fields: dict[str, object] = {
        "request": run.dispatch.request,
        "attempt": run.dispatch.attempt,
        "organisation": run.dispatch.organisation,
        "server": run.dispatch.server,
        "verdict": type(verdict).__name__.lower(),
    }
    if isinstance(verdict, admission.Refuse):
        fields["reason"] = verdict.code.name
        fields["retry_after"] = verdict.retry_after
    return actions.LogDecision(kind="admit", fields=fields)
