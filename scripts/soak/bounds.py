"""The bounds that the promises are held to, as the settings give them."""

STABILITY_S = 4.0
CONFIG_APPLY_S = 3.0
DRAIN_S = 3.0
GRACE_S = 6.0
RECOVER_S = 12.0
RECOVER_SHARE = 0.25
BUDGET_RATIO = 0.2
BUDGET_SLACK = 56
BUDGET_WINDOW_S = 10.0
GONE_S = 0.5
GONE_ARRIVALS = 3
LOST_REQUESTS = 3
MAX_ATTEMPTS = 2
CLOCK_LAG_S = 0.25  # of this process; a span with more tells nothing in time
