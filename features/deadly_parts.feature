Feature: a part of a prompt that crashes the replicas that begin to write on it
  Requests with it are all different and come through any gateway; sound ones share their caller and
  their other parts.

  # Guards against one part of a prompt that ends replica after replica, as no two requests are alike.
  Scenario: requests with such a part are refused after at most five crashes, and sound ones are served
    Given a site of two gateways, eight replicas and a store
    When 14 requests with a deadly part come 0.4 s apart, beside sound ones with the same first part
    Then at most 5 replicas have crashed and the last 3 requests with the part were refused
    And 19 of 20 sound requests with the same first part are served, beside 6 more with the deadly part
    And at most 5 replicas have crashed and the last 3 requests with the part were refused

  # Guards against a conviction that is lost when the hosts that know of it have restarted.
  Scenario: such a part stays refused after all gateways were killed at once
    Given a site of two gateways, eight replicas and a store
    When 14 requests with a deadly part come 0.4 s apart, beside sound ones with the same first part
    And all gateways are killed and started
    And 6 requests with a deadly part come 0.4 s apart, beside sound ones with the same first part
    Then at most 5 replicas have crashed and the last 3 requests with the part were refused

  Scenario: a part is convicted by crashes under different requests, and the parts of sound ones are not
    Given a host at which sound requests have written on the parts a and b
    When three requests with the parts a, b and x crash a replica each
    Then a request with the parts a, x and c is refused, and one with a, b and c is not

  # Guards against a first part that is convicted where many replicas are lost at once.
  Scenario: a part on which requests had written isn't suspected when many replicas are lost at once
    Given a host at which sound requests have written on the parts a and b
    When five replicas are lost at once, each under a request with the parts a and b
    Then a request with the parts a, x and c is not refused

  # Guards against hosts that have just started and convict what all others know as sound.
  Scenario: a part that another host convicts is vindicated by a host through which requests write on it
    Given a host at which sound requests have written on the parts a and b
    When another host convicts part a
    Then this host doesn't refuse requests with it, and tells the other that it is sound

  Scenario: a part is vindicated once a request has written on it after the crashes
    Given a host at which sound requests have written on the parts a and b
    When two requests with the parts a and x crash a replica each, a third one writes, and a fourth one crashes one
    Then a request with the parts a, x and c is not refused

  # Guards against streams that had been writing when their replica crashed, and suffer for it.
  Scenario: the parts of a stream that had written are no suspects of its replica's crash
    Given a host at which sound requests have written on the parts a and b
    When three streams with the parts a and y lose their replica after they have written
    Then a request with the parts a, y and c is not refused

  # Guards against a part that stays refused for good although it crashes nothing any more.
  Scenario: a refused part runs in two trials on the whole site, and is served once one has written
    Given a host that refuses part x, and another host
    When 30 s pass
    Then one request with it may run, at one of the hosts
    When it writes
    Then requests with it are served at both hosts
