"""The platform's names stay in its folder."""

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).resolve().parents[2]
# Headers, calls, streams and fields that no other system here has.
FOREIGN = re.compile(
    r'Lentildeal-[A-Z]|/log-(append|read|newest|join|commit)'
    r'|keyed\.(op|servers|status)|/kv-(move|list|events)|/hold-take'
    r'|ColdRemainingMs|MaxAttempts|TrafficSplit|TargetLatencyMs|NextToken'
    r'|PathPrefix|/lots/|BatchGroups|MinVersion'
)


def list_sources():
    for folder in ('src', 'standins'):
        for path in sorted((ROOT / folder).rglob('*.py')):
            if 'platform' not in path.relative_to(ROOT).parts:
                yield path


@pytest.mark.parametrize(
    'path', list_sources(), ids=lambda path: str(path.relative_to(ROOT))
)
def test_no_name_of_the_platform_outside_its_folder(path):
    """Guards against code that works on one platform only."""
    found = FOREIGN.findall(path.read_text(encoding='utf-8'))
    assert not found
