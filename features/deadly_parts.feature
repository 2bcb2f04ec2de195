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

  # Guards against a deadly part that is vindicated by the events its victims write before they crash.
  Scenario Outline: such a part is convicted too if its requests write <events> events before the crash
    Given a site of two gateways, eight replicas and a store
    When 16 requests with a part that is deadly after <events> events come 0.4 s apart, beside sound ones with the same first part
    Then at most 3 requests with it reached replicas later than 3 s after the fifth crash, and the last 3 were refused
    And 19 of 20 sound requests with the same first part are served, beside 6 more with the deadly part

    Examples:
      | events |
      | 1      |
      | 3      |
      | 12     |

  # Guards against a conviction that is lost when the hosts that know of it have restarted.
  Scenario: such a part stays refused after all gateways were killed at once
    Given a site of two gateways, eight replicas and a store
    When 14 requests with a deadly part come 0.4 s apart, beside sound ones with the same first part
    And all gateways are killed and started
    And 6 requests with a deadly part come 0.4 s apart, beside sound ones with the same first part
    Then at most 5 replicas have crashed and the last 3 requests with the part were refused

  Scenario: a part is convicted by crashes under different requests, and the parts of sound ones are not
    Given a host at which a sound request has run to its end on the parts a and b
    When three requests with the parts a, b and x crash a replica each
    Then a request with the parts a, x and c is refused, and one with a, b and c is not

  # Guards against a first part that is convicted where many replicas are lost at once.
  Scenario: a part on which a request has run to its end isn't suspected when many replicas are lost at once
    Given a host at which a sound request has run to its end on the parts a and b
    When five replicas are lost at once, each under a request with the parts a and b
    Then a request with the parts a, x and c is not refused

  # Guards against hosts that have just started and convict what all others know as sound.
  Scenario: a part that another host convicts is vindicated by a host through which requests run to their end on it
    Given a host at which a sound request has run to its end on the parts a and b
    When another host convicts part a
    Then this host doesn't refuse requests with it, and tells the other that it is sound

  # Guards against two hosts that saw different halves: one the crashes, the other the sound requests.
  Scenario: a host that saw only crashes convicts the deadly part alone once it has heard of the others' sound requests
    Given a host at which a sound request has run to its end on the parts a and b
    And another host at which five requests with the parts a and x wrote before they crashed a replica each
    When the hosts exchange what they know
    Then requests with the part x are refused at both hosts, and those with a and b at neither

  Scenario: a part is vindicated once a request has run to its end on it after the crashes
    Given a host at which a sound request has run to its end on the parts a and b
    When two requests with the parts a and x crash a replica each, a third one is whole, and a fourth one crashes one
    Then a request with the parts a, x and c is not refused

  # Guards against a deadly part that is vindicated by those that die on it.
  Scenario Outline: a part is not vindicated by <what>
    Given a host at which a sound request has run to its end on the parts a and b
    When two requests with the parts a and x crash a replica each
    And a third one <what>
    And a fourth one crashes a replica
    Then a request with the parts a, x and c is refused, and one with a, b and c is not

    Examples:
      | what                                            |
      | writes                                          |
      | is whole by 5 events of the second of its sends |
      | is whole and its replica crashes 1.2 s later    |

  # Guards against streams that had been writing when their replica crashed, and suffer for it.
  Scenario: the parts of a stream that had written are not refused for few crashes
    Given a host at which a sound request has run to its end on the parts a and b
    When 4 streams with the parts a and y lose their replica after they have written 12 events
    Then a request with the parts a, y and c is not refused
    When 1 stream with the parts a and y loses its replica after it has written 12 events
    Then a request with the parts a, y and c is refused, and one with a, b and c is not

  # Guards against a host that has just started and refuses what all requests share.
  Scenario Outline: a part on which <what> is not refused
    Given a host that has just started
    When <what>
    And 5 streams with the parts a lose their replica after they have written 12 events
    Then a request with the parts a and b is not refused
    When the streams that write on the part a have ended, none of them whole
    Then a request with the parts a and b is refused

    Examples:
      | what                                          |
      | 6 streams have written 4 events on the part a |
      | 1 stream has written 15 events on the part a  |

  # Guards against a site that has just started, whose requests are all cut by the crashes of a deadly part beside them.
  Scenario: a part is not refused while as many sends brought requests to their end as replicas crashed
    Given a host that has just started
    When 5 requests with the part a are whole, each by the second of its sends
    And 5 streams with the parts a and x lose their replica after they have written 12 events
    Then a request with the parts a and b is not refused, and one with a and x is
    When 2 streams with the parts a lose their replica after they have written 12 events
    Then a request with the parts a and b is refused

  # Guards against a part of one stream that crashed beside a deadly part, and excuses it.
  Scenario: of two parts with the same crashes the rarer one is refused, unless it is that of one request alone
    Given a host that has just started
    When a request with the parts a and b comes
    And 5 streams with the parts a and x lose their replica after they have written 12 events
    Then a request with the parts a and b is not refused, and one with a and x is
    When one request with the part r crashes a replica together with each of 6 requests with the part y
    Then a request with the parts y and c is refused
    When 5 streams with the parts a lose their replica after they have written 12 events
    Then a request with the parts a and b is refused

  # Guards against parts of streams that had been writing on the replicas of a deadly part, and excuse it
  # (the day of issue 31, seed 3).
  Scenario: a part isn't excused by a rarer one whose streams had been writing as replicas crashed
    Given a host that has just started
    When two streams with the part w that had written lose their replica with each of 6 requests with the part y
    Then a request with the parts y and c is refused

  # Guards against the trial of a common part that is used up by a request with the deadly one.
  Scenario: a request with two refused parts gets no trial, and one with the common part alone does
    Given a host that has just started
    When 5 streams with the parts a and x lose their replica after they have written 12 events
    And 1.2 s pass
    Then a request with the parts a and x gets no trial, and one with a and c does

  # Guards against a part that stays refused for good although it crashes nothing any more.
  Scenario: a refused part runs in two trials on the whole site, and is served once one is whole
    Given a host that refuses part x, and another host
    When 30 s pass
    Then one request with it may run, at one of the hosts
    When it writes
    Then further requests with it are refused at both hosts
    When it is whole
    Then requests with it are served at both hosts
