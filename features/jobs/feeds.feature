Feature: Logs and metrics show how old the state of a node's feeds is

  Background:
    Given a job cell of 3 nodes and 4 workers
    And the log is collected

  Scenario: A feed that the store leaves unanswered ages until the next answer
    When the store goes down in 0 seconds
    And 5 seconds go by
    Then the configuration feed of every node is at least 4 seconds old
    And every node logs "feed lost feed=configuration" once
    When the store is back
    And 3 seconds go by
    Then the configuration feed of every node is at most 2 seconds old
    And every node logs "feed regained feed=configuration" once

  Scenario: A request for an unknown route is logged with the version that decided it
    Given an HTTP frontend on its first node
    When a caller sends GET "/other/" with body -
    Then the caller gets status 404
    And the log has "request refused status=404 host='h' path='/other/' version=1 age_ms="
