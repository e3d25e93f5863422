Feature: Faulty answers of upstreams are told from the answer to a request

  Background:
    Given a platform with two members of a plain service
    And runners of two replicas of the model

  Scenario Outline: A refusal that comes once more is not the next request's answer
    Given the first stage of the first replica refuses a stream, and says so again <id>
    When 3 callers request streams one after another
    Then the first caller is refused, and the others get whole streams

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
