Feature: Metrics and traces

  Scenario: Metrics are sent to a statsd daemon as sums
    Given a statsd daemon
    When 3 requests and 40 tokens are counted and a first token time of 0.25 s is recorded
    Then the daemon receives the lines wigeondrift.requests:3|c wigeondrift.tokens:40|c wigeondrift.first_token:250.000000|ms

  Scenario: The metrics page lists all metrics
    Then docs/METRICS.md has a row for each metric

  Scenario: Spans of one request share the caller's trace
    Given a tracer with an exporter in memory
    When a span "entry" under a caller's trace has a child span "attempt"
    Then both spans are exported in the caller's trace, the child under its parent

  Scenario Outline: An invalid trace context is not propagated
    Then the trace context "<value>" is accepted as "<kept>"

    Examples:
      | value                                                   | kept                                                    |
      | 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01 | 00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01 |
      | 00-00000000000000000000000000000000-b7ad6b7169203331-01 |                                                         |
      | garbage                                                 |                                                         |
