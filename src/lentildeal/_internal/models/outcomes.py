"""Outcomes and causes of requests without a complete response."""

import enum


class Outcome(str, enum.Enum):
    """Whether a failed request was executed."""

    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    RAN_AND_FAILED = 'ran_and_failed'


class WorkClass(str, enum.Enum):
    """Class of work in the queue of a replica."""

    LIVE = 'live'
    ROLLOUT = 'rollout'


class Cause(str, enum.Enum):
    """Why a request waits, is refused or misses its deadline."""

    ACCOUNT_SHARE = 'account_share'
    CLUB_SHARE = 'club_share'
    TARGET_FULL = 'target_full'
    TARGET_DOWN = 'target_down'
    TARGET_SWAPPING = 'target_swapping'
    DEADLINE = 'deadline'
    SCORING = 'scoring'
    STRAGGLER = 'straggler'
    STALE = 'stale'
    OWNER_UNREACHABLE = 'owner_unreachable'
    NO_WORK = 'no_work'
    NO_CONFIGURATION = 'no_configuration'
    LOG_DOWN = 'log_down'
    LEAVING = 'leaving'
    REPEATED_KEY = 'repeated_key'
    OVERLOADED = 'overloaded'
