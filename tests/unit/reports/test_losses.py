"""Table and plot of losses from logs."""

import json
import xml.etree.ElementTree

from lentildeal._internal import commands
from lentildeal._internal.logs import events
from lentildeal._internal.reports import explanation
from lentildeal._internal.reports import losses


def make_log(name, *lines):
    text = '\n'.join(
        json.dumps({'instance': name, 'event': event, **fields})
        for event, fields in lines
    )
    return explanation.read_lines(name, text)


LINES = [
    *make_log(
        'a',
        ('dependency_regained', {'dependency': 'log', 'steady_s': 1.0}),
        ('dependency_lost', {'dependency': 'log', 'steady_s': 10.0}),
        ('dependency_lost', {'dependency': 'text', 'steady_s': 11.0}),
        ('dependency_regained', {'dependency': 'log', 'steady_s': 14.5}),
        ('call_failed', {'status': 503, 'elapsed_ms': 200, 'at_s': 3.0}),
        ('call_failed', {'status': 504, 'elapsed_ms': 1500, 'at_s': 4.0}),
        ('item_ended', {'state': 'done', 'attempts': 1}),
        ('item_ended', {'state': 'done', 'attempts': 3}),
        ('item_ended', {'state': 'given_up', 'elapsed_ms': 9000}),
        ('append_retried', {'records': 8}),
    ),
    *make_log(
        'b',
        ('dependency_lost', {'dependency': 'log', 'steady_s': 70.0}),
        ('dependency_regained', {'dependency': 'log', 'steady_s': 71.0}),
        ('job_opened', {'resumed': 0}),
        ('job_opened', {'resumed': 2}),
        (
            'attempt_failed',
            {'reason': '1.2.3.4:5: no connection: timed out', 'at_s': 9.0},
        ),
    ),
]


def test_losses_are_summed_by_cause():
    rows = {r['cause']: r for r in losses.make_rows(losses.find_losses(LINES))}
    # The text was still away at the end of the log, so its time is not known.
    assert rows['log away'] == {
        'cause': 'log away',
        'count': 2,
        'seconds': 5.5,
        'longest_s': 4.5,
        'daemons': 2,
    }
    counts = {cause: row['count'] for cause, row in rows.items()}
    assert counts == {
        'log away': 2,
        'live call refused': 1,
        'live call failed': 1,
        'item ran more than once': 1,
        'item given up': 1,
        'append retried': 8,
        'job taken over': 1,
        'attempt: no connection': 1,
    }


def test_largest_loss_is_the_first_row():
    rows = losses.make_rows(losses.find_losses(LINES))
    assert rows[0]['cause'] == 'item given up'


def test_all_events_that_are_read_exist():
    # Guards against a cause that is never counted after a rename.
    known = {kind.name for kind in events.iter_kinds()}
    assert set(losses._readers) | {'dependency_lost'} <= known


def test_plot_has_a_row_for_each_cause():
    found = losses.find_losses(LINES)
    image = xml.etree.ElementTree.fromstring(losses.make_plot(found))
    texts = [e.text for e in image if e.tag.endswith('text')]
    assert len(texts) == len(losses.make_rows(found)) + 1
    assert any(e.tag.endswith('rect') for e in image)
    assert losses.make_plot([]).startswith('<svg')


def test_command_writes_table_and_plot(tmp_path, capsys):
    log = tmp_path / 'a.log'
    log.write_text('{"event":"job_refused","elapsed_ms":500,"at_s":1}\n')
    plot = tmp_path / 'plot.svg'
    arguments = [str(log), '--plot', str(plot)]
    command = commands.parse('report losses', arguments, 'lentildeal')
    assert command.run() == 0
    assert 'job refused' in capsys.readouterr().out
    assert plot.read_text().startswith('<svg')
