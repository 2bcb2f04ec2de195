Feature: gateways on the users' platform
  Gateways, the store and the replicas run as processes; the steps check what clients and replicas see.
  Reads are idempotent requests, bookings are not, and streams are generations by the engines.

  Scenario: a site without faults serves every kind of request
    Given a site of two gateways, eight replicas and a store
    Then reads, bookings and streams are served completely through both gateways
    And every event ran every layer once and in order
    And each booking ran once
    And requests reached the replicas with the workspace instead of the API key

  Scenario: requests that match no route, key or protocol are refused at once
    Given a site of two gateways, eight replicas and a store
    Then an unknown path gets 404, an unknown key 401, and bytes that are not HTTP close only their own connection

  Scenario: headers and bodies over their limits are refused at once, without other effects
    Given a site of two gateways, eight replicas and a store
    Then a header over the limit gets 431
    And a body over the limit gets 413, with a length or in chunks, while it is still being sent
    And a body exactly at the limit reaches its replica unchanged

  Scenario: a gateway without a configuration is not ready and reports requests as not run
    Given a store without a configuration and one gateway
    Then the gateway is not ready and answers 503 with Retry-After
    And it is ready once the operator has written a configuration

  Scenario: a gateway whose store has never answered reports requests as not run
    Given one gateway whose store does not answer
    Then the gateway is not ready and answers 503 with Retry-After

  Scenario: a new configuration takes effect within 2 s on every gateway
    Given a site of two gateways, eight replicas and a store
    When the operator adds a route and then removes it
    Then each change is in force on both gateways within 2 s

  Scenario: a later stage of a path stops responding during streams
    Given a site of two gateways, eight replicas and a store
    When a later stage of running streams stops responding
    Then all streams complete with each event exactly once
    And every event ran every layer once and in order

  Scenario: the first stage of a path is killed during streams
    Given a site of two gateways, eight replicas and a store
    When the first stage of running streams is killed
    Then all streams complete with each event exactly once

  Scenario: layers of a permanently lost replica are loaded elsewhere
    Given a site of two gateways, eight replicas and a store
    When a failure domain loses a replica permanently
    Then its layers are held in that failure domain again within 6 s
    And no replica was ordered to hold more layers than fit

  Scenario: a booking whose answer is lost is not retried
    Given a site of two gateways, eight replicas and a store
    When the replicas of the plain service reset every connection after running its request
    Then a booking gets 502 and ran at most once

  Scenario: a draining replica gets no new requests
    Given a site of two gateways, eight replicas and a store
    When a replica of the plain service announces that it is leaving
    Then after 2 s no request reaches it, and all are served

  Scenario: generation stops when the client of a stream disconnects
    Given a site of two gateways, eight replicas and a store
    When a client disconnects in the middle of its stream
    Then the replicas produce no more events for it 0.5 s later

  Scenario: a graceful shutdown interrupts no request
    Given a site of two gateways, eight replicas and a store
    When a gateway gets SIGTERM while it has streams and keep-alive connections
    Then it reports not ready within 0.5 s
    And all streams complete with each event exactly once
    And it exits with 0 and accepts no new connections

  Scenario: a gateway that cannot reach the store receives changes from the other one
    Given a site of two gateways, eight replicas and a store whose second gateway reaches it through a relay
    When the relay is cut and the operator adds a route
    Then the route is in force on the gateway that is cut off within 3 s

  Scenario: all gateways are killed and start again
    Given a site of two gateways, eight replicas and a store
    When all gateways are killed and started
    Then streams are served again within 6 s, without any new order

  Scenario: requests are served while the store is down
    Given a site of two gateways, eight replicas and a store
    When the store is down
    Then reads, bookings and streams are served completely through both gateways

  Scenario: a replica is lost while the store is down
    Given a site of two gateways, eight replicas and a store
    When the store is down
    And a failure domain loses a replica while the store cannot report it
    Then its layers are held in that failure domain again within 9 s

  Scenario: the gateway that places layers stops while the store is down
    Given a site of two gateways, eight replicas and a store
    When the store is down
    And the gateway that places layers gets SIGTERM
    Then the other one takes over its lease within 3 s
    When a failure domain loses a replica while the store cannot report it
    Then its layers are held in that failure domain again within 9 s

  Scenario: a request that crashes its replicas is refused after a few crashes
    Given a site of two gateways, eight replicas and a store
    When a request that crashes its first replica is sent repeatedly through both gateways
    Then at most 4 replicas crash and the request is refused from then on
    And other streams are served again within 8 s
