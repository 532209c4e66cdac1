Feature: Ports of a test deployment

    Scenario: Ports are handed out once while many deployments start and end
        Given 8 holders of port blocks that each start and end 25 times
        When each holder binds 6 ports of its block, with other listeners on ports that the system assigns
        Then every port was bound without an error
        And no two holders had the same port at the same time

    Scenario: A block with a port in use is skipped
        Given a listener within the block that starts at 30720
        When a block is reserved among those that start at 30720 and 30784
        Then the reserved ports start at 30785

    Scenario: A block runs out of ports
        Given a reserved block of ports
        When 63 ports are taken from the block
        Then the next port is refused with "a block has 63 ports"
