"""Guards against settings that are accepted although a program cannot run safely with them."""

import pytest

from fireflyferry.settings import EntrySettings, SettingsError, parse_settings
from fireflyferry.settings.check import main

VALID_SETTINGS = """
[vm]
vm_id = e-1
region = natal
data_centre = natal-1
address = 127.0.0.1
peer_port = 0
[store]
address = 127.0.0.1:9000
[secrets]
current = 0123456789abcdef
"""


def faults_in(text):
    with pytest.raises(SettingsError) as caught:
        parse_settings(text, EntrySettings, "f.ini")
    return caught.value.faults


def test_defaults_and_given_values():
    settings = parse_settings(VALID_SETTINGS, EntrySettings)
    assert settings.vm.peer_port == 0
    assert settings.leases.session_s == 1.6
    assert "0123456789abcdef" not in repr(settings)


def test_every_fault_is_reported_with_its_place():
    text = VALID_SETTINGS.replace("natal-1", "Natal 1").replace("= 0", "= 70000") + (
        "[statsd]\naddress = localhost:8125\ncolour = red\n[extra]\na = 1\n[leases]\n"
        "session_s = 1\npledge_s = 1.5\nheartbeat_s = 0.4\nrenew_s = 1\n"
    )
    assert {(each.section, each.key) for each in faults_in(text)} == {
        ("vm", "data_centre"),
        ("vm", "peer_port"),
        ("statsd", "address"),
        ("statsd", "colour"),
        ("extra", ""),
        ("leases", "session_s"),
        ("leases", "heartbeat_s"),
        ("leases", "renew_s"),
    }
    assert "f.ini: [vm] peer_port: found '70000', allowed: a whole number from 0 to 65535" in map(
        str, faults_in(text)
    )


def test_session_shorter_than_pledge_is_refused():
    found = faults_in(VALID_SETTINGS + "[leases]\nsession_s = 1.59\n")
    assert [(each.key, each.found, each.allowed) for each in found] == [
        ("session_s", "1.59", "at least pledge_s, 1.6")
    ]


@pytest.mark.parametrize("secret", ["short", "with space 0123456789", "0123456789abcdef"])
def test_secret_is_not_shown_in_faults(secret):
    found = faults_in(VALID_SETTINGS + f"previous = {secret}\n")
    assert [each.key for each in found] == ["previous"]
    assert secret not in str(found)


@pytest.mark.parametrize(
    "text", ["", "vm_id = 1", "[vm", "[vm]\n[vm]", "[DEFAULT]\nvm_id = a", "\0", "[\0]\nvm_id = a"]
)
def test_malformed_file_is_refused(text):
    assert faults_in(text)


@pytest.mark.parametrize("number", ["nan", "inf", "1e0", "", "+1", "0x1", "1_0", "\u0661"])
def test_number_in_another_form_is_refused(number):
    assert [each.key for each in faults_in(VALID_SETTINGS + f"[drain]\ntime_s = {number}\n")] == [
        "time_s"
    ]


@pytest.mark.parametrize(
    "text, value", [("true", True), ("yes", True), ("false", False), ("no", False)]
)
def test_flag_has_two_spellings(text, value):
    settings = parse_settings(
        f"{VALID_SETTINGS}[testing]\nfault_injection = {text}\n", EntrySettings
    )
    assert settings.testing.fault_injection is value


@pytest.mark.parametrize("text", ["", "True", "1", "on", "n"])
def test_flag_in_another_form_is_refused(text):
    found = faults_in(f"{VALID_SETTINGS}[testing]\nfault_injection = {text}\n")
    assert [each.key for each in found] == ["fault_injection"]


def test_check_program_reports_faults_and_returns_a_code(tmp_path, capsys):
    good, bad = tmp_path / "good.ini", tmp_path / "bad.ini"
    good.write_text(VALID_SETTINGS)
    bad.write_bytes(b"\xff")
    assert main([str(good)]) == 0
    assert main([str(good), str(bad), str(tmp_path / "absent.ini")]) == 1
    errors = capsys.readouterr().err.splitlines()
    assert len(errors) == 2 and "not UTF-8" in errors[0] and "absent.ini" in errors[1]
