Feature: Errors of the command line are explained, without a traceback

  Scenario: A usage error has its own exit code
    When the command line runs with "config chck x"
    Then the exit code is 64
    And no traceback is printed

  Scenario: A node that cannot be reached
    When the command line runs with "status --node 127.0.0.1:9"
    Then the exit code is 69
    And the errors contain "cannot be reached"
    And no traceback is printed

  Scenario: Invalid settings of a node
    Given a folder with the file "10-node.yaml" and the text "vm: a"
    When "node --settings" runs on the folder
    Then the exit code is 2
    And the errors contain "stream_keys"

  Scenario: A home starts without what only callers and operators need
    When a process imports "jackdawhead.cli.commands.node, jackdawhead.node.runtime, jackdawhead.platform.store_source"
    Then it has not imported "asyncio, falcon, gevent.pywsgi, prometheus_client"

  Scenario: The benchmark sends load to loopback addresses only
    When the command line runs with "bench --way x=192.0.2.1:80"
    Then the exit code is 64
    And the errors contain "loopback"

  Scenario: The built binary runs
    Given the built binary
    When the binary runs with "--version"
    Then the exit code is 0
    And the output contains "jackdawhead 0"
    When the binary checks the example "helvetia" with "config check"
    Then the exit code is 0
    And the output contains "2 services"
