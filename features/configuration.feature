Feature: configuration
  An accepted file is in force on every host within seconds and never reverts. An invalid file is
  reported and the others are accepted. Conflicting writes of operators are reported.

  Scenario: a folder is pushed and every host follows
    Given a fleet of 6 followers of which 2 watch
    When an operator pushes the starting folder
    Then all followers have the model "tulip" within 5 s
    And the stand-in shows 2 open folder watches
    And the folder listing says that every file is in force

  Scenario: an invalid file is reported, keeps its last accepted text, and the others are in force
    Given a fleet of 4 followers of which 2 watch
    And an operator pushes the starting folder
    When the file "10-models.yaml" becomes invalid while "20-workspaces.yaml" gets workspace "yard"
    Then all followers have the workspace "yard" within 5 s
    And all followers have the model "tulip" within 5 s
    And each follower's status names "10-models.yaml" and "models[0].layers"
    And the folder listing names "10-models.yaml" and "models[0].layers"
    When the file "10-models.yaml" is fixed with model "rose"
    Then all followers have the model "rose" within 5 s
    And no follower's status names a problem

  Scenario: a change that makes the merged configuration invalid is held back until it is valid
    Given a fleet of 3 followers of which 1 watch
    And an operator pushes the starting folder
    When an operator removes "10-models.yaml" while a placement needs its model
    Then the operator is refused with code 3 and reads "placements/tulip/delft-a"
    When the file "10-models.yaml" is removed directly in the service
    Then each follower's status names "10-models.yaml" and "removing it breaks another file"
    And all followers have the model "tulip" within 5 s
    When the file "30-placements.yaml" is removed directly in the service
    Then no follower has the model "tulip" within 5 s

  Scenario: two operators write one file concurrently
    Given a fleet of 3 followers of which 1 watch
    And an operator pushes the starting folder
    When two operators write 4 times concurrently to the file "20-workspaces.yaml"
    Then each time one write succeeds and the other reports a conflict with its revision
    And all followers have what the last successful write contains

  Scenario: two operators write two files concurrently
    Given a fleet of 3 followers of which 2 watch
    And an operator pushes the starting folder
    When two operators write 3 times concurrently to two files by pushing their whole folders
    Then both succeed each time, and all followers have what both wrote last

  Scenario: a write whose reply is lost takes effect exactly once
    Given a fleet of 2 followers of which 1 watch
    When the next 3 writes to the service lose their replies
    And an operator pushes the starting folder
    Then all followers have the model "tulip" within 5 s
    And each file of the folder was written once

  Scenario Outline: the service is down, a host starts meanwhile, and changes continue afterwards
    Given a fleet of 4 followers of which 2 watch
    And an operator pushes the starting folder
    And all followers have the model "tulip" within 5 s
    When the configuration service fails as <mode>
    Then an operator's push is refused with code <code>
    When a follower joins the fleet as watcher "late"
    Then all followers have the model "tulip" within 5 s
    When the configuration service recovers
    And the file "20-workspaces.yaml" gets workspace "yard" from an operator
    Then all followers have the workspace "yard" within 5 s

    Examples:
      | mode   | code |
      | refuse | 5    |
      | reset  | 5    |
      | silent | 5    |

  Scenario: the service is slow and loses replies
    Given a fleet of 4 followers of which 3 watch
    And an operator pushes the starting folder
    When the service takes 400 ms per call and loses 40 of 100 replies
    And 4 workspaces are added one after the other directly in the service
    Then all followers have the last of them within 20 s
    And the followers' revisions increased by one for each accepted snapshot

  Scenario: the service is restored to an older state
    Given a fleet of 4 followers of which 2 watch
    And an operator pushes the starting folder
    And all followers have the model "tulip" within 5 s
    When the service takes a copy of its state
    And the file "20-workspaces.yaml" gets workspace "yard" from an operator
    And all followers have the workspace "yard" within 5 s
    And the service is restored from its copy
    And a follower joins the fleet as watcher "late"
    Then the service holds again within 10 s what was in force, in snapshot and folder
    And all followers have the workspace "yard" within 5 s
    When the file "25-more.yaml" gets workspace "quay" from an operator
    Then all followers have the workspace "quay" within 5 s
    And all followers have the workspace "yard" within 5 s

  Scenario: the service is emptied
    Given a fleet of 3 followers of which 2 watch
    When the service takes a copy of its state
    And an operator pushes the starting folder
    And all followers have the model "tulip" within 5 s
    And the service is restored from its copy
    Then the service holds again within 10 s what was in force, in snapshot and folder
    And all followers have the model "tulip" within 5 s

  Scenario: an interrupted write-back is completed, and a newer edit is kept
    Given a service in which the write-back of 130 files stopped after the mark was set, with a newer edit
    When a fleet of 3 followers of which 2 watch starts on that service
    Then all followers have the workspace "part-129" within 5 s
    And the folder holds all 130 files and the newer edit within 10 s
    And all followers have the workspace "newer" within 5 s

  Scenario: the watches go silent
    Given a fleet of 4 followers of which 2 watch
    And an operator pushes the starting folder
    And all followers have the model "tulip" within 5 s
    When the connections of all followers go silent
    And the file "20-workspaces.yaml" gets workspace "yard" directly in the service
    Then all followers have the workspace "yard" within 12 s

  Scenario: two diverged histories with the same revision converge on a higher one
    Given a fleet of 2 followers of which 2 watch
    And an operator pushes the starting folder
    And all followers have the model "tulip" within 5 s
    When the service takes a copy of its state
    And the file "20-workspaces.yaml" gets workspace "yard" from an operator
    And all followers have the workspace "yard" within 5 s
    And the service is restored from its copy while only a new follower "late" can reach it
    And the file "25-more.yaml" gets workspace "quay" from an operator
    And the old followers can reach the service again
    Then all followers and the service agree within 10 s on a higher revision

  Scenario: acceptance keeps the merged configuration valid for any folder content
    When randomly generated folders are accepted one after the other
    Then each result merges, reports what it rejected and is unchanged when accepted again

  Scenario: random bytes are not accepted as a snapshot
    When random bytes and damaged snapshots are offered to a follower
    Then it adopts none of them and keeps its revision

  Scenario: a file of 1800 workspaces fits the size limit
    Given a fleet of 2 followers of which 1 watch
    When an operator puts a file with 1800 workspaces
    Then all followers have the workspace "customer-1799" within 10 s
    And the stored snapshot has fewer than 1000000 bytes

  Scenario: a folder over the size limit is refused and the previous configuration stays in force
    Given a fleet of 2 followers of which 1 watch
    And an operator pushes the starting folder
    When files too large for the service are written directly in the service
    Then each watching follower reports that no change can be accepted and why
    And all followers have the model "tulip" within 5 s
