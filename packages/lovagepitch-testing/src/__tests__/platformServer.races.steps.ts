import { Then, When } from "@cucumber/cucumber";
import type { ManifestApplyError } from "@lovagepitch/platform/manifestApplyError";
import type { VersionedManifest } from "@lovagepitch/types/manifest";
import type { Registry } from "@lovagepitch/types/registry";
import type { Result } from "@lovagepitch/utils/result";
import assert from "node:assert/strict";
import { createRepositories, startPlatform } from "./platformServer.fixture.js";
import { createAgent, createClaim, createManifestChange } from "./platformServer.operations.js";

const longTimeout = { timeout: 60_000 };

let registrationNumbers: readonly (readonly [string, number])[] = [];
let registry: Registry;
let applied: readonly Result<VersionedManifest, ManifestApplyError>[] = [];
let finalManifest: VersionedManifest | undefined;
let bindings: readonly string[] = [];

function createRange(count: number): readonly number[] {
    return Array.from({ length: count }, (_, index) => index);
}

/** Retries a registration until it succeeds, as a process does, at most 20 times. */
async function registerUntilDone(
    register: () => Promise<Result<readonly number[], Error>>,
): Promise<readonly number[]> {
    for (let attempt = 0; attempt < 20; attempt += 1) {
        const result = await register();
        if (result.ok) {
            return result.val;
        }
    }
    return [];
}

When("{int} agents register concurrently on a {string} platform", longTimeout, async (agents: number, kind: string) => {
    const platform = await startPlatform(kind);
    // The counter must exist already: then it is updated under its etag, not inserted.
    await createRepositories(platform).registry.registerAgent(createAgent("before"));
    registrationNumbers = await Promise.all(
        createRange(agents).map(async index => {
            const repositories = createRepositories(platform, index + 1);
            const register = (): Promise<Result<readonly number[], Error>> =>
                repositories.registry.registerAgents([createAgent(`a${index}`)]);
            const [number] = await registerUntilDone(register);
            return [`a${index}`, Number(number)] as const;
        }),
    );
    registry = (await createRepositories(platform).registry.read()).unwrap();
    await platform.close();
});

When("two processes register overlapping groups of agents concurrently", async () => {
    const platform = await startPlatform("memory");
    await createRepositories(platform).registry.registerAgent(createAgent("before"));
    const groups = [["a0", "a1", "a2"], ["a2", "a1", "a3", "a4"]];
    const results = await Promise.all(groups.map(async (group, index) => {
        const repositories = createRepositories(platform, index + 1);
        const assignedNumbers = await registerUntilDone(() =>
            repositories.registry.registerAgents(group.map(createAgent))
        );
        return group.map((incarnation, position) => [incarnation, Number(assignedNumbers[position])] as const);
    }));
    registrationNumbers = results.flat();
    registry = (await createRepositories(platform).registry.read()).unwrap();
});

Then("every agent has its own registration number, from 1 without gaps", () => {
    const byIncarnation = new Map(registry.agents.map(agent => [agent.incarnation, agent.number]));
    for (const [incarnation, number] of registrationNumbers) {
        assert.equal(byIncarnation.get(incarnation), number, incarnation);
    }
    const sorted = [...byIncarnation.values()].sort((left, right) => left - right);
    assert.deepEqual(sorted, createRange(byIncarnation.size).map(index => index + 1));
    assert.equal(registry.version, byIncarnation.size);
});

When(
    "{int} operators apply different manifests on one base on a {string} platform that loses {int} responses",
    longTimeout,
    async (operators: number, kind: string, lostAnswers: number) => {
        const platform = await startPlatform(kind);
        await createRepositories(platform).manifests.apply(createManifestChange(0, "first"));
        platform.faults.set({ lostAnswers });
        applied = await Promise.all(
            createRange(operators).map(index => {
                const change = createManifestChange(1, `team-${index}`, `operator-${index}`);
                return createRepositories(platform, index + 1).manifests.apply(change);
            }),
        );
        platform.faults.clear();
        finalManifest = (await createRepositories(platform).manifests.read()).unwrap();
        await platform.close();
    },
);

Then("one manifest is accepted, and every other operator has a conflict that names the accepted version", () => {
    const acceptedResults = applied.filter(result => result.ok);
    assert.equal(acceptedResults.length, 1);
    assert.deepEqual(acceptedResults[0]?.val, finalManifest);
    for (const result of applied.filter(candidate => candidate.err)) {
        assert.equal(result.val.kind, "conflict", result.val.message);
        assert.deepEqual(result.val.currentManifest, { version: 2, appliedBy: finalManifest?.appliedBy });
        assert.match(result.val.message, /apply with that base version/);
    }
});

When(
    "{int} processes claim one key concurrently on a {string} platform that loses {int} responses",
    longTimeout,
    async (processes: number, kind: string, lostAnswers: number) => {
        const platform = await startPlatform(kind);
        platform.faults.set({ lostAnswers });
        bindings = await Promise.all(
            createRange(processes).map(async index => {
                const result = await createRepositories(platform, index + 1).claims.claim(createClaim("key", index));
                return result.unwrap().submission;
            }),
        );
        platform.faults.clear();
        await platform.close();
    },
);

Then("all claims of the key have the same binding", () => {
    assert.ok(bindings.length > 1);
    assert.equal(new Set(bindings).size, 1);
});
