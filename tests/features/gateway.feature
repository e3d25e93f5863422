Feature: Callers' API

  Scenario: The openai client reads complete and streamed answers
    Given a gateway with a fake model
    When the openai client completes and chats, with and without streaming
    Then each text is " t0 t1 t2 t3 t4" with finish reason "length"
    And each stream carried its usage

  Scenario: A truncated stream ends with an error event
    Given a gateway with a fake model
    When the stream is cut at token 3
    Then the raw stream ends with an error event and no end marker
    And the openai client raises an error for the stream

  Scenario: A call to a plain service and its answer are forwarded
    Given a gateway with a fake model
    When the order "POST /services/parts-desk/orders?slot=2" is sent with a key
    Then the answer has status 201, outcome "ran" and body "POST book"
    And the service call has target "/orders?slot=2" with the key and no bearer key

  Scenario Outline: Invalid input gets a specific error
    Given a gateway with a fake model
    When the bad request "<name>" is sent
    Then the answer has status <status> and kind "<kind>" and nothing ran

    Examples:
      | name            | status | kind                     |
      | not json        | 400    | malformed_request        |
      | deep json       | 400    | malformed_request        |
      | bad utf-8       | 400    | malformed_request        |
      | no model        | 422    | invalid_parameter        |
      | wrong type      | 422    | invalid_parameter        |
      | negative tokens | 422    | invalid_parameter        |
      | absurd tokens   | 422    | invalid_parameter        |
      | huge number     | 422    | invalid_parameter        |
      | two answers     | 422    | invalid_parameter        |
      | no messages     | 422    | invalid_parameter        |
      | unknown model   | 404    | unknown_model            |
      | plain as model  | 404    | unknown_model            |
      | not its model   | 403    | forbidden                |
      | unknown service | 404    | unknown_service          |
      | model as plain  | 404    | unknown_service          |
      | unknown path    | 404    | unknown_path             |
      | wrong method    | 404    | unknown_path             |
      | no key          | 401    | unauthenticated          |
      | wrong key       | 401    | unauthenticated          |
      | no order key    | 428    | idempotency_key_required |
      | long order key  | 422    | invalid_parameter        |
      | large header    | 431    | headers_too_large        |
      | large body      | 413    | request_too_large        |
      | no http         | 400    | malformed_request        |
      | half-closed     | 400    | malformed_request        |
      | slow            | 408    | request_timeout          |

  Scenario: A repeat of a running request joins its run
    Given a gateway with a fake model
    When one request is sent 5 times at once and the first caller disconnects
    Then the model ran once and 4 callers have the complete answer

  Scenario: A run without readers is cancelled
    Given a gateway with a fake model
    When the only caller of a running request disconnects
    Then the run is cancelled and its slot is free

  Scenario: A caller that half-closes before its answer gets an error
    Given a gateway with a fake model
    When a caller sends a whole request and closes its side while the model is busy
    Then the answer has kind "caller_closed" and outcome "unknown"

  Scenario: A refused caller is answered at once with Retry-After
    Given a gateway with a fake model
    When a team of one request a second sends 6 different requests at once
    Then some are refused with "limit_exceeded" and Retry-After before others were admitted

  Scenario: A planned stop truncates no answer and refuses no request during the notice
    Given a gateway with a fake model
    When the gateway stops while a stream runs and another request arrives
    Then readiness is off, both answers are complete and the listener is closed

  Scenario: A planned stop that reaches its bound marks no truncated answer as complete
    Given a gateway with a fake model
    When the gateway stops with a bound that a stream outlasts
    Then the raw stream ends with an error event and no end marker

  Scenario: A refused request ends its queue span
    Then a request of a team without a row is refused and its queue span has ended
