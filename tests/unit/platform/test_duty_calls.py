"""Calls to the platform that only one daemon may make."""

import contextlib
import json
import pathlib
import re
import types

import pytest

from lentildeal._internal.adapters import platform_base
from lentildeal._internal.config import jsonc
from lentildeal._internal import exceptions
from lentildeal._internal.platform import adapter
from lentildeal._internal.settings import settings as settings_module
from tests.lib import raw_server

TEMPLATE = (
    pathlib.Path(__file__).resolve().parents[3]
    / 'deploy/settings.jsonc.template'
)
DUTY = platform_base.DutyTerm('n7', 42)
REPORT = platform_base.UsageReport(353445120, {'a1': 412, 'a2': 3})
CLOUD = {
    'Cloud.Address': '127.0.0.1:9',
    'Cloud.Duties': ['usage_report', 'autoscale'],
    'Cloud.DutyPerS': 50.0,
    'Bounds.ReportWindowS': 5,
    'Bounds.UsageLateS': 10,
}


def make_platform(address):
    return adapter.ExternalPlatform(
        types.SimpleNamespace(
            store=types.SimpleNamespace(address='x'),
            duties=settings_module.Duties(address=address),
        )
    )


def answer(status):
    head = f'HTTP/1.1 {status} X\r\nContent-Length: 0\r\n\r\n'
    return (head.encode(),)


@pytest.mark.parametrize(
    ('status', 'outcome'),
    [(200, 'done'), (409, 'refused'), (429, 'throttled')],
)
def test_status_of_a_duty_call_is_an_outcome(status, outcome):
    """Guards against a refused call that counts as done."""
    heads = []

    def make_script(request):
        heads.append(request.lower())
        return answer(status)

    server = raw_server.RawServer(make_script)
    with contextlib.closing(server):
        platform = make_platform(server.address)
        assert platform.report_usage(REPORT, DUTY).value == outcome
    assert heads[0].startswith(b'post /usage ')
    assert b'lentildeal-duty-holder: n7\r\n' in heads[0]
    assert b'lentildeal-fence-token: 42\r\n' in heads[0]


@pytest.mark.parametrize('parts', [answer(500), (None,), (5.0,)])
def test_duty_call_without_a_clear_answer_has_no_outcome(parts, monkeypatch):
    """Guards against a call that counts as done although it may be lost."""
    monkeypatch.setattr(adapter, 'DUTY_TIMEOUT_S', 0.2)
    server = raw_server.RawServer(lambda _: parts)
    order = platform_base.ReplicaOrder('s', 'd1', 3, is_spot=True)
    with contextlib.closing(server):
        platform = make_platform(server.address)
        with pytest.raises(exceptions.PlatformError):
            platform.order_replicas(order, DUTY)


def test_platform_without_duties_gets_no_call():
    """Guards against calls where the settings do not ask for them."""
    platform = make_platform('x')
    platform.reload(
        types.SimpleNamespace(
            store=types.SimpleNamespace(address='x'), duties=None
        )
    )
    with pytest.raises(exceptions.PlatformError):
        platform.report_usage(REPORT, DUTY)


def fill(text, values):
    """Fills in the template as the platform does.

    The platform writes a section of a table once for each of its entries.
    """

    def repeat(match):
        if match[2] in values:
            count = 1
        else:
            count = sum(name.startswith(f'{match[2]}.') for name in values)
        if match[1] == '^':
            count = int(not count)
        return count * match[3]

    section = r'(?s)\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}'
    text = re.sub(section, repeat, text)
    return re.sub(
        r'\{\{([\w.]+)(\|json)?\}\}',
        lambda m: json.dumps(values.get(m[1], 1)) if m[2] else '127.0.0.1',
        text,
    )


def test_template_gives_duties_only_on_a_platform_that_expects_them():
    """Guards against settings that are no valid file without duties."""
    text = TEMPLATE.read_text()
    assert 'duties' not in jsonc.parse(fill(text, {}))
    assert fill(text, CLOUD).count('"duties"') == 1
    duties = jsonc.parse(fill(text, CLOUD))['duties']
    assert duties['address'] == '127.0.0.1:9'
    assert duties['due_s'] == 10
