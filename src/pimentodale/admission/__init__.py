"""Admission control: rate limits, weighted fair queues and retry budgets."""
