import { digestJson } from "@lovagepitch/utils/digest";
import type { Result } from "@lovagepitch/utils/result";
import {
    createSubmission,
    type Repositories,
    startMilliseconds,
    windowMilliseconds,
} from "./platformServer.fixture.js";

/** An operation that is tested with every fault at each of its calls to the platform. */
export interface PlatformOperation {
    /** Writes the rows and objects that the operation starts from. */
    readonly prepare: (repositories: Repositories) => Promise<unknown>;
    readonly run: (repositories: Repositories) => Promise<Result<unknown, Error>>;
    /** Reads everything that the operation can have changed. */
    readonly observe: (repositories: Repositories) => Promise<unknown>;
}

const agent = {
    address: "127.0.0.1:7101",
    worker: "worker-1",
    rack: "rack-1",
    availabilityZone: "zone-1",
    cores: 16,
    memoryMegabytes: 32_768,
    state: "serving",
    renewedAtMilliseconds: startMilliseconds,
} as const;

export function createAgent(incarnation: string): typeof agent & { readonly incarnation: string } {
    return { ...agent, incarnation };
}

export function createEntry(incarnation: string): Parameters<Repositories["registry"]["registerEntry"]>[0] {
    return {
        address: "127.0.0.1:7001",
        incarnation,
        availabilityZone: "zone-1",
        state: "serving",
        renewedAtMilliseconds: startMilliseconds,
    };
}

export function createManifestChange(
    baseVersion: number,
    team: string,
    appliedBy = "operator",
): Parameters<Repositories["manifests"]["apply"]>[0] {
    const manifest = {
        availabilityZones: ["zone-1"],
        teams: [{ name: team, quota: { guaranteedSlots: 1, maximumWaitingTasks: 10 } }],
        services: [],
    };
    return { baseVersion, manifest, digest: digestJson(manifest), appliedBy };
}

export function createClaim(key: string, sequence: number): Parameters<Repositories["claims"]["claim"]>[0] {
    const submission = createSubmission(sequence, startMilliseconds + windowMilliseconds);
    return { team: "team", service: "service", key, jobDigest: `digest of ${key}`, submission };
}

const ledger = {
    incarnation: "a1",
    submissions: [{
        submission: "s1",
        reports: [
            { index: 0, report: { state: "succeeded", output: { watered: true, pots: [1, 2] } } },
            { index: 1, report: { state: "failed", reason: "no reading" } },
        ],
    }],
    lowWaterMarks: { k1: 7 },
} as const;

const answers = {
    incarnation: "e1",
    answers: [{
        submission: "s1",
        jobDigest: "d1",
        answer: {
            submission: "s1",
            state: "complete",
            configurationVersion: 3,
            tasks: [{ index: 0, state: "succeeded", output: "done", worker: "w", availabilityZone: "z" }],
        },
    }],
} as const;

const prepareNothing = (): Promise<unknown> => Promise.resolve();

async function observeRegistry({ registry }: Repositories): Promise<unknown> {
    return (await registry.read()).unwrap();
}

async function observeManifest({ manifests }: Repositories): Promise<unknown> {
    return [(await manifests.read()).unwrap(), (await manifests.readVersion()).unwrap()];
}

async function observeClaims({ claims }: Repositories): Promise<unknown> {
    const probes = ["key-1", "key-2", "key-3"].map((key, index) => claims.claim(createClaim(key, 100 + index)));
    return (await Promise.all(probes)).map(result => result.unwrap());
}

async function observeHandovers({ handovers }: Repositories): Promise<unknown> {
    return [(await handovers.readAnswers("e1")).unwrap(), (await handovers.readLedger("a1")).unwrap()];
}

async function claimAll(
    { claims }: Repositories,
    keys: readonly string[],
): Promise<Result<unknown, Error>> {
    const results = await Promise.all(keys.map((key, index) => claims.claim(createClaim(key, index + 1))));
    const failed = results.find(result => result.err);
    return failed ?? (results[0] as Result<unknown, Error>).map(() => results.map(result => result.unwrap()));
}

/** The operations, by the names that the feature uses. */
export const operations: Readonly<Record<string, PlatformOperation>> = {
    "register an agent": {
        prepare: async ({ registry }) => registry.registerAgent(createAgent("a0")),
        run: async ({ registry }) => registry.registerAgent(createAgent("a1")),
        observe: observeRegistry,
    },
    "register three agents": {
        prepare: async ({ registry }) => registry.registerAgent(createAgent("a2")),
        run: async ({ registry }) => registry.registerAgents(["a1", "a2", "a3"].map(createAgent)),
        observe: observeRegistry,
    },
    "renew an agent": {
        prepare: async ({ registry }) => registry.registerAgent({ ...createAgent("a1"), renewedAtMilliseconds: 5 }),
        run: async ({ registry }) => registry.renewAgent("a1"),
        observe: observeRegistry,
    },
    "mark an agent as left": {
        prepare: async ({ registry }) => registry.registerAgent(createAgent("a1")),
        run: async ({ registry }) => registry.markAgentLeft("a1"),
        observe: observeRegistry,
    },
    "register an entry": {
        prepare: prepareNothing,
        run: async ({ registry }) => registry.registerEntry(createEntry("e1")),
        observe: observeRegistry,
    },
    "renew an entry": {
        prepare: async ({ registry }) => registry.registerEntry({ ...createEntry("e1"), renewedAtMilliseconds: 5 }),
        run: async ({ registry }) => registry.renewEntry("e1"),
        observe: observeRegistry,
    },
    "mark an entry as left": {
        prepare: async ({ registry }) => registry.registerEntry(createEntry("e1")),
        run: async ({ registry }) => registry.markEntryLeft("e1"),
        observe: observeRegistry,
    },
    "read the registry": {
        prepare: async ({ registry }) => registry.registerAgent(createAgent("a1")),
        run: async ({ registry }) => registry.read(),
        observe: observeRegistry,
    },
    "remove expired rows": {
        prepare: async ({ registry }) => {
            const old = { state: "left", renewedAtMilliseconds: 5 } as const;
            const registrations = [createAgent("a1"), { ...createAgent("a2"), ...old }];
            await registry.registerAgents(registrations);
            await registry.registerEntry({ ...createEntry("e1"), ...old });
        },
        run: async ({ registry }) => {
            const removed = await registry.removeExpired(startMilliseconds, windowMilliseconds);
            return removed.map(() => undefined);
        },
        observe: observeRegistry,
    },
    "apply the first manifest": {
        prepare: prepareNothing,
        run: async ({ manifests }) => manifests.apply(createManifestChange(0, "first")),
        observe: observeManifest,
    },
    "apply a change of the manifest": {
        prepare: async ({ manifests }) => manifests.apply(createManifestChange(0, "first")),
        run: async ({ manifests }) => manifests.apply(createManifestChange(1, "second")),
        observe: observeManifest,
    },
    "read the manifest": {
        prepare: async ({ manifests }) => manifests.apply(createManifestChange(0, "first")),
        run: async ({ manifests }) => manifests.read(),
        observe: observeManifest,
    },
    "read the manifest's version": {
        prepare: async ({ manifests }) => manifests.apply(createManifestChange(0, "first")),
        run: async ({ manifests }) => manifests.readVersion(),
        observe: observeManifest,
    },
    "claim a key": {
        prepare: prepareNothing,
        run: async repositories => claimAll(repositories, ["key-1"]),
        observe: observeClaims,
    },
    "claim a bound key": {
        prepare: async ({ claims }) => claims.claim(createClaim("key-1", 50)),
        run: async repositories => claimAll(repositories, ["key-1"]),
        observe: observeClaims,
    },
    "claim three keys of which one is bound": {
        prepare: async ({ claims }) => claims.claim(createClaim("key-2", 50)),
        run: async repositories => claimAll(repositories, ["key-1", "key-2", "key-3"]),
        observe: observeClaims,
    },
    "write answers": {
        prepare: prepareNothing,
        run: async ({ handovers }) => handovers.writeAnswers(answers),
        observe: observeHandovers,
    },
    "read answers": {
        prepare: async ({ handovers }) => handovers.writeAnswers(answers),
        run: async ({ handovers }) => handovers.readAnswers("e1"),
        observe: observeHandovers,
    },
    "write a ledger": {
        prepare: prepareNothing,
        run: async ({ handovers }) => handovers.writeLedger(ledger),
        observe: observeHandovers,
    },
    "read a ledger": {
        prepare: async ({ handovers }) => handovers.writeLedger(ledger),
        run: async ({ handovers }) => handovers.readLedger("a1"),
        observe: observeHandovers,
    },
};
