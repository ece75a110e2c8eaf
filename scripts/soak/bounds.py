"""Bounds that the observer checks; where a setting exists, it has this value."""

STABILITY_S = 4.0  # without disruption before a span counts as undisturbed
CONFIG_APPLY_S = 3.0
DRAIN_S = 3.0
GRACE_S = 6.0
RECOVER_S = 12.0
RECOVER_SHARE = 0.25
BUDGET_RATIO = 0.2  # extra arrivals (retries, hedges) for each request
BUDGET_SLACK = 56
BUDGET_WINDOW_S = 10.0
LATE_ARRIVAL_S = 0.5  # after the caller gave up
MAX_LATE_ARRIVALS = 3
LOST_REQUESTS = 3
NOTICE_S = 0.5  # after an answer, until what it says about the replica holds
MAX_ARRIVALS_IN_PAUSE = 2
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5  # requests in a window
MAX_ATTEMPTS = 2
MIN_CRASHES = 3  # replicas that a request has ended, until it is sent no more
MAX_SENT_ON = 3
CLOCK_LAG_S = 0.25  # of this process; after a longer delay no time bound is checked
