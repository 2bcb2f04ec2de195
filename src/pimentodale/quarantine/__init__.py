"""Detection and refusal of poison requests: requests that crash the backend servers that run them.

A request is identified by a fingerprint, which is the same when a client sends it again. A strike
records that a request was running when a backend server crashed. A convicted request is refused on
every host. Two kinds of work are handled differently:

- Generations on pipelines (`quarantine`, `register`, `entries`, `entry_sharing`, `trials`,
  `trial_claims`): a request with strikes runs again only in a trial, isolated from other requests
  with strikes.
- Other requests and calls of services (`crash_record`, `crash_sharing`, `retrials`): a request is
  convicted by the number of its crashes. After a delay, a retrial lets a convicted request run once
  more.
"""
