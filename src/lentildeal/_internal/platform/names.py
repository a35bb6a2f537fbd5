"""Headers, paths, streams and keys of the external platform.

JSON fields with unclear names are explained where they are decoded.
"""

# Headers.
REQUEST_ID = 'Lentildeal-Request-Id'
DEADLINE = 'Lentildeal-Deadline-Ms'
EXPECTED_REPLICA = 'Lentildeal-Expect-Instance'
REPLICA_ID = 'Lentildeal-Replica-Id'
REPLICA_LOAD = 'Lentildeal-Replica-Load'
ACCOUNT = 'Lentildeal-Tenant'
ACCOUNT_KEY = 'X-Api-Key'
DUTY_HOLDER = 'Lentildeal-Duty-Holder'
FENCING_TOKEN = 'Lentildeal-Fence-Token'
REQUEST_LIMIT = 'Server-Limit'
LEAVING = 'Server-Leaving'
NOT_EXECUTED = 'Lentildeal-Not-Executed'
VERSIONS = 'Lentildeal-Weight-Versions'
TOKEN_USAGE = 'Lentildeal-Token-Usage'
LENGTH_HINT = 'Lentildeal-Length-Hint'
MODEL = 'Lentildeal-Model'
WAIT = 'Lentildeal-Wait-Ms'
STAMP = 'Lentildeal-Response-Stamp'
LAST_EVENT_ID = 'Last-Event-Id'
RETRY_AFTER = 'Retry-After'

# Paths that the daemon serves.
READY_PATH = '/ready'
JOB_PATH = '/lots/{job}'
ITEM_PATH = '/items/{job}'

# Paths of replicas.
REPORT_PATH = '/report'
ORDER_PATH = '/order'

# Paths of the platform's own calls.
USAGE_PATH = '/usage'
SCALE_PATH = '/scale'

# Paths of the store.
APPEND_PATH = '/log-append'
READ_PATH = '/log-read'
NEWEST_PATH = '/log-newest'

# Keyed streams that the platform, its operators and its replicas write.
OPERATOR_STREAM = 'keyed.op'
REPLICA_STREAM = 'keyed.servers'
TEXT_KEY = 'config'
VERSION_KEY_PREFIX = 'version/'
