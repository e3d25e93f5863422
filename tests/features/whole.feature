Feature: End-to-end path through separate processes

  Scenario: The demo passes
    When the demo runs
    Then it ends with "All steps passed; all processes are ended."

  Scenario: The openai client streams through a real entry
    Given a stack of processes
    When the openai client chats over each entry, with and without streaming
    Then the four texts are the correct pipeline output

  Scenario: An entry refuses invalid settings before it listens
    When an entry is started with an invalid "listen" setting
    Then it ends with exit code 2 and names "$.listen"

  Scenario: An entry without a table is not ready
    When an entry is started without agent and platform
    Then it is alive, not ready, and refuses work with "not_ready"

  Scenario: A request's trace has a span for each hop
    Given a stack of processes whose entries send spans to a collector
    When a caller with trace id "0af7651916cd43dd8448eb211c80319c" streams and orders
    Then the collector has these spans in that trace, each below its parent
      | span            | parent        |
      | entry.request   | caller        |
      | entry.queue     | entry.request |
      | engine.generate | entry.request |
      | engine.stage    | engine.generate |
      | engine.stage    | engine.generate |
      | entry.request   | caller        |
      | entry.queue     | entry.request |
      | entry.order     | entry.request |
