/** Valid manifest that the tests modify. */
export const manifestText = `{
    "availabilityZones": ["north", "south"],
    "teams": [
        { "name": "red", "quota": { "guaranteedSlots": 4, "maximumWaitingTasks": 100 } },
        { "name": "blue", "quota": { "guaranteedSlots": 2, "maximumWaitingTasks": 50 } }, // a comment
    ],
    "services": [{
        "name": "library",
        "kinds": [
            {
                "name": "search", "availabilityZones": ["north", "south"],
                "maximumCores": 2, "maximumMemoryMegabytes": 512,
                "maximumDeadlineMilliseconds": 10000, "taskTimeoutMilliseconds": 2000,
            },
            { "name": "index", "availabilityZones": ["south"],
                "teams": ["red"],
                "maximumCores": 3, "maximumMemoryMegabytes": 512,
                "maximumDeadlineMilliseconds": 10000, "taskTimeoutMilliseconds": 2000,
            },
        ],
    }],
}
`;

const peer = {
    address: "127.0.0.1",
    port: 0,
    availabilityZone: "north",
    platform: { url: "http://127.0.0.1:9000" },
    submissionKey: "a key of at least thirty-two characters",
};

/** Settings without the ones that have a default. */
export const minimalSettings = {
    entry: { ...peer, callerPort: 0 },
    agent: { ...peer, localPort: 0, worker: "worker-1", rack: "rack-1", cores: 16, memoryMegabytes: 32768 },
    operator: { platform: peer.platform, entries: ["http://127.0.0.1:8000"] },
} as const;

/** A valid job with one task. */
export const sampleJob = {
    team: "red",
    service: "library",
    kind: "search",
    deadlineMilliseconds: 1000,
    tasks: [{ payload: { title: "x" }, cores: 1, memoryMegabytes: 64, expectedMilliseconds: 100 }],
} as const;
