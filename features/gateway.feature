Feature: gateways on the users' platform
  Gateways, the store and the replicas run as processes; what counts is what clients and replicas see.

  Scenario: a calm site serves every kind of request
    Given a site of two gateways, eight replicas and a store
    Then reads, bookings and streams come back whole through both gateways
    And every event ran every layer once and in order
    And each booking ran once
    And requests reached the replicas with the workspace in place of the key

  Scenario: what the configuration does not hold is refused at once
    Given a site of two gateways, eight replicas and a store
    Then an unknown path gets 404, an unknown key 401, and bytes that are no HTTP close only their own connection

  Scenario: what is too long is refused at once, and nothing else suffers
    Given a site of two gateways, eight replicas and a store
    Then a header over the limit gets 431
    And a body over the limit gets 413, with a length or in chunks, while it is still being sent
    And a body just within the limit reaches its replica whole

  Scenario: a gateway without a configuration is not ready and says that nothing ran
    Given a store without a configuration and one gateway
    Then the gateway is not ready and answers 503 with Retry-After
    And it is ready once the operator has written a configuration

  Scenario: a gateway whose store has never answered says that nothing ran
    Given one gateway whose store gives no answer
    Then the gateway is not ready and answers 503 with Retry-After

  Scenario: a new configuration is in force within 2 s on every gateway
    Given a site of two gateways, eight replicas and a store
    When the operator adds a route and then takes it away
    Then each change is in force on both gateways within 2 s

  Scenario: a later stage of a path falls silent under streams
    Given a site of two gateways, eight replicas and a store
    When a later stage of running streams falls silent
    Then all the streams come to their end with each event once
    And every event ran every layer once and in order

  Scenario: the first stage of a path dies under streams
    Given a site of two gateways, eight replicas and a store
    When the first stage of running streams is killed
    Then all the streams come to their end with each event once

  Scenario: layers of a replica that is lost for good are loaded elsewhere
    Given a site of two gateways, eight replicas and a store
    When a failure domain loses a replica for good
    Then its layers are held in that failure domain again within 6 s
    And no replica was ordered to hold more than fits

  Scenario: a booking whose answer is lost is not sent again
    Given a site of two gateways, eight replicas and a store
    When the replicas of the plain service reset every connection after running its request
    Then a booking gets 502 and ran at most once

  Scenario: a replica that drains gets no new requests
    Given a site of two gateways, eight replicas and a store
    When a replica of the plain service announces that it leaves
    Then no request reaches it any more from 2 s on, and all are served

  Scenario: a client that leaves a stream stops the work
    Given a site of two gateways, eight replicas and a store
    When a client leaves in the middle of its stream
    Then the replicas make no more events for it 0.5 s later

  Scenario: a planned stop cuts nothing
    Given a site of two gateways, eight replicas and a store
    When a gateway gets SIGTERM under streams and kept connections
    Then it is not ready at once
    And all the streams come to their end with each event once
    And it exits with 0 and takes no new connections

  Scenario: a gateway that the store turns away learns through the other one
    Given a site of two gateways, eight replicas and a store whose second gateway reaches it through a relay
    When the relay is cut and the operator adds a route
    Then the route is in force on the gateway that is cut off within 3 s

  Scenario: all gateways are killed and start again
    Given a site of two gateways, eight replicas and a store
    When all gateways are killed and started
    Then streams are served again within 6 s, without one new order

  Scenario: the store is down for a while
    Given a site of two gateways, eight replicas and a store
    When the store is down
    Then reads, bookings and streams come back whole through both gateways

  Scenario: a replica is lost while the store is down
    Given a site of two gateways, eight replicas and a store
    When the store is down
    And a failure domain loses a replica that the store can't tell of
    Then its layers are held in that failure domain again within 9 s

  Scenario: the gateway that places layers stops while the store is down
    Given a site of two gateways, eight replicas and a store
    When the store is down
    And the gateway that places layers gets SIGTERM
    Then the other one goes on with its lease within 3 s
    When a failure domain loses a replica that the store can't tell of
    Then its layers are held in that failure domain again within 9 s

  Scenario: a request that crashes its replicas is refused after a few crashes
    Given a site of two gateways, eight replicas and a store
    When a request that crashes its first replica is sent again and again through both gateways
    Then at most 4 replicas crash and the request is refused from then on
    And other streams are served again within 8 s
