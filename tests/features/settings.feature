Feature: Settings are validated before use

  Scenario: All ten faults of a file are reported
    When entry settings with ten faults are validated
    Then the settings faults are
      | location                    | reason                               |
      | $                           | unknown field `surprise`             |
      | $                           | missing required field `failure_domain` |
      | $.instance_id               | matching regex                       |
      | $.configured_instances      | >= 1                                 |
      | $.http.read_timeout         | Expected `float`, got `str`          |
      | $.requests.max_tokens       | <= 1000000                           |
      | $.listen                    | 'localhost' is not a numeric IP      |
      | $.post                      | the port '0' is not between          |
      | $.platform                  | the same address as agent            |
      | $.requests.progress_timeout | 1500 is not below                    |

  Scenario Outline: Settings with <member> are refused
    When <kind> settings contain <member>
    Then the only settings fault is at "<location>" for "<reason>"

    Examples:
      | kind  | member                                   | location           | reason        |
      | entry | {"listen": "127.0.0.1:65536"}            | $.listen           | 65536         |
      | entry | {"stop": {"notice": 9, "bound": 5}}      | $.stop.notice      | not below     |
      | entry | {"requests": {"queue_timeout": 1}}       | $.admission.limit_wait | not below |
      | entry | {"telemetry": {"otlp": "127.0.0.1:4318"}} | $.telemetry.otlp  | http:// URL   |
      | entry | {"telemetry": {"log_level": "LOUD"}}     | $.telemetry.log_level | Invalid enum |
      | agent | {"seeds": ["127.0.0.1:7001", "a:1"]}     | $.seeds[1]         | numeric IP    |
      | agent | {"seeds": ["127.0.0.1:7004"]}            | $.seeds[0]         | as platform   |
      | agent | {"seeds": "127.0.0.1:7001"}              | $.seeds            | Expected      |
      | agent | {"gossip_interval": 30}                  | $.gossip_interval  | not below     |
      | agent | {"telemetry": 5}                         | $.telemetry        | Expected      |

  Scenario: Settings that are not JSON are refused
    Then settings that are not JSON are refused at "$"
