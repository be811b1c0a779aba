"""Settings are checked at the start."""

from returns import result

from pimentoledge import results
from pimentoledge import settings

NEEDED = {
    "name": "entry-1",
    "mailbox": "tcp://127.0.0.1:7000",
    "store": "http://127.0.0.1:2000",
}


def refusal(flags: dict[str, str], environment: dict[str, str]) -> str:
    checked = settings.check_settings(
        program=settings.ENTRY, flags=flags, environment=environment
    )
    match checked:
        case result.Failure(error):
            assert error.code == results.Code.BAD_SETTING
            return error.text
    raise AssertionError("accepted")


def test_a_flag_goes_before_the_environment_and_that_before_the_default():
    chosen = settings.check_settings(
        program=settings.ENTRY,
        flags=NEEDED,
        environment={
            "PIMENTOLEDGE_NAME": "other",
            "PIMENTOLEDGE_DATA_CENTRE": "north",
            "HOME": "ignored",
        },
    ).unwrap()
    assert chosen.values["name"].source == "flag"
    assert chosen.text("name") == "entry-1"
    assert chosen.values["data-centre"].source == "environment"
    assert chosen.values["block-bytes"].source == "default"


def test_a_missing_setting_names_flag_variable_and_what_is_allowed():
    flags = {name: NEEDED[name] for name in ("name", "store")}
    text = refusal(flags, {})
    assert "--mailbox" in text
    assert "PIMENTOLEDGE_MAILBOX" in text
    assert "tcp://IP:PORT" in text


def test_an_out_of_range_setting_names_its_value_and_source():
    text = refusal({**NEEDED, "block-bytes": "7"}, {})
    assert "'7' from flag" in text
    assert "from 16 to 65536" in text
    text = refusal(NEEDED, {"PIMENTOLEDGE_DRAIN_SECONDS": "nan"})
    assert "'nan' from environment" in text


def test_an_unknown_setting_stops_the_start():
    """An operator sets a limit under a misspelt name.

    If the daemon ignored it, the limit that they believe in would not be
    there. So it must not start.
    """
    assert "--caller-thread" in refusal({**NEEDED, "caller-thread": "9"}, {})
    text = refusal(NEEDED, {"PIMENTOLEDGE_CALLER_THREAD": "9"})
    assert "PIMENTOLEDGE_CALLER_THREAD" in text


def test_every_default_is_allowed():
    for each in settings.SETTINGS:
        if each.default is not None:
            assert settings.is_valid(each.kind, each.default), each.name
