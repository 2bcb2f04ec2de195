"""Forwarding of client requests to replicas of the services that their routes select.

A replica of a plain service answers a request alone. The replicas of an engine each hold some
layers of a model, and a request runs on a path: replicas that together run every layer, in order.
The first replica of a path is its head. It gets the request from this host and sends the response,
a stream of events.

An attempt is one try of the client, under the client's id for it. A send is one try of this host to
run an attempt; an attempt may take several sends. An incarnation is one run of a replica, identified
by its id and start time. A hold-off is the time for which a replica asks this host to send it no
requests.
"""
