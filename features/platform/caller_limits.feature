Feature: Limits for callers come from the platform

  Scenario Outline: The operator's limits <spec>
    When the operator's limits are <spec>
    Then the node's limits are <limits>

    Examples: valid, missing, and invalid
      | spec                                                | limits                                 |
      | {"maxHeaderBytes": 16384, "headerTimeout": "2.5s"} | {"max_head_bytes": 16384, "head_ms": 2500} |
      | {"maxHeaderBytes": 1}                               | {"max_head_bytes": 1024}               |
      | {}                                                  | {}                                     |
      | {"headerTimeout": "soon"}                           | {"head_ms": null}                      |

  Scenario Outline: A VM with <memory> MB and <descriptors> descriptors
    When the VM has "<memory>" MB and "<descriptors>" descriptors
    Then callers may have <connections> connections and <size> bytes

    Examples: small, large, and not given
      | memory | descriptors | connections | size      |
      | 200    | 4100        | 1950        | 52428800  |
      | 552    | 8192        | 3996        | 144703488 |
      | much   |             | 1950        | 52428800  |
