"""The example of docs/trainers.md runs as printed."""

import re
import subprocess
import sys

from tests.lib import federation
from tests.lib import processes
from tests.lib import rollouts


def test_example_collects_a_step():
    """An example that no longer matches the interface would be copied."""
    page = (processes.ROOT / 'docs' / 'trainers.md').read_text()
    example = re.search(r'```python\n(.*?)```', page, re.DOTALL).group(1)
    with federation.Federation() as fed:
        rollouts.start_pool(fed)
        daemons = fed.add_daemons({'a': 1, 'b': 1})
        daemons[0].kill()
        arguments = ['t', *(daemon.address for daemon in daemons)]
        result = subprocess.run(
            [sys.executable, '-c', example, *arguments],
            capture_output=True,
            text=True,
            timeout=60.0,
        )
    assert result.returncode == 0, result.stderr
    assert result.stdout.count('t/1/g') == 4
