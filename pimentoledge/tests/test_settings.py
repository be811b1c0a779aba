"""Tests of the checks of settings at the start."""

from returns import result

from pimentoledge import results
from pimentoledge import settings

REQUIRED_FLAGS = {
    "name": "entry-1",
    "mailbox": "tcp://127.0.0.1:7000",
    "store": "http://127.0.0.1:2000",
}


def setting_error_text(
    flags: dict[str, str], environment: dict[str, str]
) -> str:
    checked = settings.check_settings(
        program=settings.ENTRY, flags=flags, environment=environment
    )
    match checked:
        case result.Failure(error):
            assert error.code == results.Code.BAD_SETTING
            return error.text
    raise AssertionError("accepted")


def test_flags_override_the_environment_which_overrides_defaults():
    chosen = settings.check_settings(
        program=settings.ENTRY,
        flags=REQUIRED_FLAGS,
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
    flags = {name: REQUIRED_FLAGS[name] for name in ("name", "store")}
    text = setting_error_text(flags, {})
    assert "--mailbox" in text
    assert "PIMENTOLEDGE_MAILBOX" in text
    assert "tcp://IP:PORT" in text


def test_an_out_of_range_setting_names_its_value_and_source():
    text = setting_error_text({**REQUIRED_FLAGS, "block-bytes": "7"}, {})
    assert "'7' from flag" in text
    assert "from 16 to 65536" in text
    text = setting_error_text(
        REQUIRED_FLAGS, {"PIMENTOLEDGE_DRAIN_SECONDS": "nan"}
    )
    assert "'nan' from environment" in text


def test_an_unknown_setting_stops_the_start():
    """Guards against a daemon that ignores a misspelt setting.

    The operator would rely on a limit that is not in force, so the daemon must
    not start.
    """
    assert "--caller-thread" in setting_error_text(
        {**REQUIRED_FLAGS, "caller-thread": "9"}, {}
    )
    text = setting_error_text(
        REQUIRED_FLAGS, {"PIMENTOLEDGE_CALLER_THREAD": "9"}
    )
    assert "PIMENTOLEDGE_CALLER_THREAD" in text


def test_every_default_is_allowed():
    for each in settings.SETTINGS:
        if each.default is not None:
            assert settings.is_valid(each.kind, each.default), each.name
