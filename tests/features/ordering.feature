Feature: Non-idempotent calls run at most once

  Scenario: Orders run at most once under any faults, and "not run" is true
    Then orders under any faults run at most once

  Scenario Outline: An order where <fault>
    Given orders of service <service> with the plan <plan>
    Then the order ran <runs> times and the last caller received <result>

    Examples:
      | fault                               | service  | runs | result                | plan                                                                      |
      | it is sent at once through all      | strict   | 1    | ran                   | send 0; send 1; send 2; wait 1                                            |
      | the claim's answer is lost          | strict   | 1    | ran                   | platform lost_answers 1; send 0; wait 1; send 1                           |
      | the claim takes effect late         | strict   | 1    | ran                   | platform late_writes 1; send 0; wait 2; send 1                            |
      | all claims take effect late         | strict   | 1    | ran                   | late 40 3.5; send 0; wait 4; heal; wait 30; send 1                        |
      | the platform is down                | strict   | 0    | claim_unavailable     | platform down reset; send 0; wait 5                                       |
      | the platform hangs and comes back   | strict   | 1    | ran                   | platform down hang; send 0; wait 4; heal; wait 1; send 0                  |
      | reads are stale                     | strict   | 1    | ran                   | platform stale_reads 2; send 0; send 1; wait 1; send 2                    |
      | the entry dies before its claim     | strict   | 1    | ran                   | kill 0 before_write; send 0; wait 1; send 1                               |
      | the entry dies after its claim      | strict   | 0    | claim_pending         | kill 0 after_write; send 0; wait 1; send 1                                |
      | the entry dies before its outcome   | strict   | 1    | claim_outcome_unknown | kill 0 after_send; send 0; wait 70; send 1                                |
      | its entry died and it is settled    | strict   | 1    | ran                   | kill 0 after_write; send 0; wait 70; settle; send 1                       |
      | a run is settled                    | strict   | 1    | claim_outcome_unknown | kill 0 after_send; send 0; wait 70; settle; send 1                        |
      | the holder is paused and settled    | strict   | 1    | ran                   | pause 0 before_send 100; send 0; wait 70; settle; send 1; wait 60; send 2 |
      | the holder is paused for a while    | strict   | 1    | ran                   | pause 0 before_send 5; send 0; wait 1; send 1; wait 6                     |
      | the upstream's answer is lost       | strict   | 1    | claim_outcome_unknown | upstream lose_answer; send 0; wait 1; send 1                              |
      | the upstream dies before running    | strict   | 0    | claim_outcome_unknown | upstream crash_before; send 0; wait 1; send 1                             |
      | an upstream refuses                 | strict   | 1    | ran                   | upstream refuse; send 0                                                   |
      | all upstreams refuse for a while    | strict   | 1    | ran                   | upstreams leaving; send 0; wait 1; heal; send 1                           |
      | all upstreams refuse                | strict   | 0    | upstream_refused      | upstreams leaving; send 0                                                 |
      | the body differs                    | strict   | 1    | idempotency_key_reused | send 0; wait 1; other 1                                                  |
      | the answer is lost, repeats dropped | dropping | 1    | ran                   | upstream lose_answer; send 0                                              |
      | the platform is down, repeats dropped | dropping | 1  | ran                   | platform down reset; send 0; wait 5; send 1                               |
      | answer and outcome are lost         | strict   | 1    | claim_outcome_unknown | upstream lose_answer; platform lost_answers 3; send 0; wait 9; send 1     |
      | fencing is checked and it is settled | fenced  | 1    | ran                   | pause 0 before_send 100; send 0; wait 70; settle; send 1; wait 60         |

  Scenario Outline: Orders run again soon after an outage in which calls <end>
    Given 30 callers who repeat their order at once while the platform's calls <end> for 60 s
    Then each order was refused at most 30 times as not run, and ran once
    And all callers had their answer 2 s after the platform answered again

    Examples:
      | end   |
      | reset |
      | hang  |

  Scenario: A call that may be repeated is tried at another upstream without a claim
    Given reads of orders where the first upstream is "silent"
    When 3 reads are sent
    Then all reads ran and the platform had no call

  Scenario: Repeats are limited to a share of the first attempts
    Given reads of orders where the first upstream is "refuse"
    When 100 reads are sent
    Then at most 80 reads were retried and the others were refused as not run

  Scenario: A call without its key is refused as not run
    Given orders of service strict with the plan unkeyed 0
    Then the order ran 0 times and the last caller received idempotency_key_required
