Feature: configuration
  An accepted file is in force everywhere within seconds and never reverts. A bad file is named and
  the others are taken. Operators who race each other hear of it.

  Scenario: a folder is pushed and every host follows
    Given a fleet of 6 followers of which 2 watch
    When an operator pushes the starting folder
    Then all followers have the model "tulip" within 5 s
    And the stand-in shows 2 open folder watches
    And the folder listing says that every file is in force

  Scenario: a bad file is named, keeps its last accepted form, and the others are in force
    Given a fleet of 4 followers of which 2 watch
    And an operator pushes the starting folder
    When the file "10-models.yaml" turns bad while "20-workspaces.yaml" gets workspace "yard"
    Then all followers have the workspace "yard" within 5 s
    And all followers have the model "tulip" within 5 s
    And each follower's status names "10-models.yaml" and "models[0].layers"
    And the folder listing names "10-models.yaml" and "models[0].layers"
    When the file "10-models.yaml" is mended with model "rose"
    Then all followers have the model "rose" within 5 s
    And no follower's status names a problem

  Scenario: a change that spoils the whole is held back until it fits
    Given a fleet of 3 followers of which 1 watch
    And an operator pushes the starting folder
    When an operator removes "10-models.yaml" while a placement needs its model
    Then the operator is refused with code 3 and reads "placements/tulip/delft-a"
    When the file "10-models.yaml" is removed behind the operators' backs
    Then each follower's status names "10-models.yaml" and "removing it breaks another file"
    And all followers have the model "tulip" within 5 s
    When the file "30-placements.yaml" is removed behind the operators' backs
    Then no follower has the model "tulip" within 5 s

  Scenario: two operators race on one file
    Given a fleet of 3 followers of which 1 watch
    And an operator pushes the starting folder
    When two operators race 4 times on the file "20-workspaces.yaml"
    Then each time one wins and the other reads the winner's revision in a conflict
    And all followers have what the last winner wrote

  Scenario: two operators race on two files
    Given a fleet of 3 followers of which 2 watch
    And an operator pushes the starting folder
    When two operators race 3 times on two files by pushing their whole folders
    Then both win each time, and all followers have what both wrote last

  Scenario: a write whose answer is lost is neither lost nor doubled
    Given a fleet of 2 followers of which 1 watch
    When the next 3 writes of the service lose their answers
    And an operator pushes the starting folder
    Then all followers have the model "tulip" within 5 s
    And each file of the folder was written once

  Scenario Outline: the service is down, a host starts meanwhile, and changes go on afterwards
    Given a fleet of 4 followers of which 2 watch
    And an operator pushes the starting folder
    And all followers have the model "tulip" within 5 s
    When the configuration service fails as <mode>
    Then an operator's push is refused with code <code>
    When a follower joins the fleet as watcher "late"
    Then all followers have the model "tulip" within 5 s
    When the configuration service is mended
    And the file "20-workspaces.yaml" gets workspace "yard" from an operator
    Then all followers have the workspace "yard" within 5 s

    Examples:
      | mode   | code |
      | refuse | 5    |
      | reset  | 5    |
      | silent | 5    |

  Scenario: the service is slow and loses answers
    Given a fleet of 4 followers of which 3 watch
    And an operator pushes the starting folder
    When the service takes 400 ms a call and loses 40 of 100 answers
    And 4 workspaces are added one after the other behind the operators' backs
    Then all followers have the last of them within 20 s
    And the followers' revisions rose by one for each accepted snapshot

  Scenario: the service is restored to an old state
    Given a fleet of 4 followers of which 2 watch
    And an operator pushes the starting folder
    And all followers have the model "tulip" within 5 s
    When the service keeps a copy of its state
    And the file "20-workspaces.yaml" gets workspace "yard" from an operator
    And all followers have the workspace "yard" within 5 s
    And the service goes back to its copy
    And a follower joins the fleet as watcher "late"
    Then the service says within 10 s again what was in force, in snapshot and folder
    And all followers have the workspace "yard" within 5 s
    When the file "25-more.yaml" gets workspace "quay" from an operator
    Then all followers have the workspace "quay" within 5 s
    And all followers have the workspace "yard" within 5 s

  Scenario: the service is emptied
    Given a fleet of 3 followers of which 2 watch
    When the service keeps a copy of its state
    And an operator pushes the starting folder
    And all followers have the model "tulip" within 5 s
    And the service goes back to its copy
    Then the service says within 10 s again what was in force, in snapshot and folder
    And all followers have the model "tulip" within 5 s

  Scenario: a write-back that stopped half way is finished, and a newer edit stays
    Given a service whose write-back of 130 files stopped after the mark, with a newer edit
    When a fleet of 3 followers of which 2 watch starts over it
    Then all followers have the workspace "part-129" within 5 s
    And the folder holds all 130 files and the newer edit within 10 s
    And all followers have the workspace "newer" within 5 s

  Scenario: the watches go silent
    Given a fleet of 4 followers of which 2 watch
    And an operator pushes the starting folder
    And all followers have the model "tulip" within 5 s
    When the connections of all followers go silent
    And the file "20-workspaces.yaml" gets workspace "yard" behind the operators' backs
    Then all followers have the workspace "yard" within 12 s

  Scenario: two histories with one number settle on a higher one
    Given a fleet of 2 followers of which 2 watch
    And an operator pushes the starting folder
    And all followers have the model "tulip" within 5 s
    When the service keeps a copy of its state
    And the file "20-workspaces.yaml" gets workspace "yard" from an operator
    And all followers have the workspace "yard" within 5 s
    And the service goes back to its copy while only a new follower "late" can reach it
    And the file "25-more.yaml" gets workspace "quay" from an operator
    And the old followers reach the service again
    Then all followers and the service agree within 10 s on a higher revision

  Scenario: whatever the folder holds, acceptance keeps the whole right
    When folders drawn at random are accepted one after the other
    Then each accepted whole merges, names what it left out and is the same when accepted again

  Scenario: random octets are not a snapshot
    When random octets and damaged snapshots are offered to a follower
    Then it takes none of them and stays at its revision

  Scenario: a file of 1800 workspaces fits
    Given a fleet of 2 followers of which 1 watch
    When an operator puts a file with 1800 workspaces
    Then all followers have the workspace "customer-1799" within 10 s
    And the stored snapshot has less than 1000000 octets

  Scenario: a folder that does not fit is refused and what was in force stays
    Given a fleet of 2 followers of which 1 watch
    And an operator pushes the starting folder
    When files too large for the service are written behind the operators' backs
    Then each follower that watches says that nothing can be accepted and why
    And all followers have the model "tulip" within 5 s
