Feature: Faulty answers of upstreams are told from the answer to a request

  Background:
    Given a platform with two members of a plain service
    And runners of two replicas of the model

  Scenario Outline: A refusal that comes once more is not the next request's answer
    Given the first stage of the first replica refuses a stream, and says so again <id>
    When 3 callers request streams one after another
    Then all callers get whole streams, the first one of another runner

    Examples:
      | id                        |
      | with the id of before     |
      | without an id             |

  Scenario: A refusal that comes once more is not the answer to the next attempt
    Given the first stage of the first replica refuses a stream for its second stage, and says so again
    And there is no other replica
    When a caller requests a stream
    Then the caller is not told that its request has not run

  Scenario Outline: A stream that broke off does not go on with an error
    Given every first stage breaks streams off after an event, and then answers <answer>
    When a caller requests a stream
    Then the caller gets the first event and a connection that ends early

    Examples:
      | answer                         |
      | 500 with a seal                |
      | 404 with a seal                |
      | 400 without a seal             |
      | 200 with a page and a seal     |
      | half a head                    |

  Scenario Outline: An answer whose head is cut is no answer
    Given every upstream answers <answer>
    When a caller sends a "<route>" request
    Then the status is 502

    Examples:
      | route  | answer                     |
      | status | half a head                |
      | order  | half a head                |
      | draft  | half a head                |
      | status | half a status line         |
      | order  | half a status line         |
      | draft  | half a status line         |

  # Guards against a stream that resumes behind events that its caller never got.
  Scenario Outline: A wrong id of an event costs the caller no event
    Given the first stage of the first replica sends event <number> as "<line>", <reads>
    When a caller requests a stream
    Then the caller gets each event once and a response that is complete

    Examples:
      | number | line   | reads             |
      | 4      | id: 0  | all in one read   |
      | 4      | id: 0  | a read each       |
      | 4      | id: 9  | all in one read   |
      | 4      | id: 9  | a read each       |
      | 4      | id: 5  | a read each       |
      | 4      | id: x4 | all in one read   |
      | 4      | id: 4x | all in one read   |
      | 4      | ie: 4  | all in one read   |
      | 4      | ie: 4  | a read each       |
      | 0      | id: 7  | all in one read   |
      | 0      | id: 7  | a read each       |
      | 5      | id: 9  | all in one read   |
      | 5      | id: 9  | a read each       |

  # Guards against a stream that goes on although it is not known where.
  Scenario: A stream whose first id is contradicted by the next one does not go on
    Given the first stage of the first replica sends event 0 as "id: 1", a read each
    When a caller requests a stream
    Then the caller gets one event and a connection that ends early

  # Guards against a stream that resumes in the middle of a chunk to a slow caller.
  Scenario: A stream is not resumed while its caller is slow to read
    Given the first stage of the first replica has the fault "stall"
    And its report names the second stage as stalled
    When a caller requests a stream and reads nothing for 1.5 seconds after the head
    Then the caller gets each event once and a response that is complete

  # Guards against a caller that is told that its order was not run, and places it again.
  Scenario Outline: A status alone does not promise that a request was not run
    Given streams of the model can't be resumed
    And every upstream runs requests and answers <status> <mark>
    When a caller sends a "<route>" request
    Then the status is 502
    And the response does not promise that the request was not run
    And the request ran <runs> times

    Examples:
      | route  | status | mark                            | runs |
      | order  | 408    | with a seal                     | 1    |
      | order  | 421    | with a seal                     | 1    |
      | order  | 429    | with a seal                     | 1    |
      | order  | 503    | with a seal                     | 1    |
      | order  | 408    | without a seal                  | 1    |
      | order  | 429    | without a seal                  | 1    |
      | order  | 503    | without a seal                  | 1    |
      | order  | 429    | with a seal and a Retry-After   | 1    |
      | order  | 503    | with a seal and a Retry-After   | 1    |
      | draft  | 408    | with a seal                     | 1    |
      | draft  | 421    | with a seal                     | 1    |
      | draft  | 429    | with a seal                     | 1    |
      | draft  | 503    | with a seal                     | 1    |
      | status | 408    | with a seal                     | 2    |
      | status | 421    | with a seal                     | 2    |
      | status | 429    | with a seal                     | 2    |
      | status | 503    | with a seal                     | 2    |

  Scenario Outline: A refusal that states that a request was not run is passed on as one
    Given every upstream refuses requests with <status> <mark>
    When a caller sends a "<route>" request
    Then the status is 503
    And the response has a Retry-After header

    Examples:
      | route  | status | mark                            |
      | order  | 408    | that were not run               |
      | order  | 421    | that were not run               |
      | order  | 429    | that were not run               |
      | order  | 503    | that were not run               |
      | order  | 421    | that name another upstream      |
      | status | 429    | that were not run               |
      | status | 421    | that name another upstream      |

  # Guards against a refusal after an attempt that had run.
  Scenario Outline: A refusal of one upstream says nothing of a run at another
    Given one member runs requests and answers <status> <mark>
    And the other member refuses requests with <refusal> that were not run
    When 4 callers send safe requests one after another
    Then no response promises that a request was not run that has run

    Examples:
      | status | mark                            | refusal |
      | 429    | with a seal                     | 503     |
      | 503    | with a seal                     | 429     |
      | 408    | without a seal                  | 503     |

  # Guards against an answer that is passed on although its status is none of HTTP.
  Scenario Outline: An answer whose status is not in HTTP's range is no answer
    Given every upstream runs requests and answers <status> with a seal
    When a caller sends a "<route>" request
    Then the status is 502

    Examples:
      | route  | status |
      | order  | 000    |
      | order  | 099    |
      | draft  | 000    |
      | status | 000    |
      | status | 042    |

  # Guards against a success without a seal that is passed on after the last attempt.
  Scenario Outline: A success without a seal is passed on by no path
    Given every upstream runs requests and answers <status> without a seal
    When a caller sends a "<route>" request
    Then the status is 502

    Examples:
      | route  | status |
      | order  | 200    |
      | order  | 204    |
      | draft  | 200    |
      | draft  | 204    |
      | status | 200    |
      | status | 206    |

  # Guards against unproven promises and successes on any path of an answer.
  Scenario: Whatever upstreams answer, callers are told nothing unproven
    Then random answers with the seeds 1 to 60 break no promise
