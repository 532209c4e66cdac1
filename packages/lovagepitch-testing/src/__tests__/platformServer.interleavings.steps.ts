import { Then } from "@cucumber/cucumber";
import { Delay } from "@lovagepitch/platform/delay";
import type { TableService } from "@lovagepitch/platform/tableService";
import type { Result } from "@lovagepitch/utils/result";
import fc, { type Scheduler } from "fast-check";
import assert from "node:assert/strict";
import { MemoryObjectStore, MemoryTable } from "../standIns/memoryPlatform.js";
import {
    createRepositories,
    type Repositories,
    startMilliseconds,
    windowMilliseconds,
} from "./platformServer.fixture.js";
import { createAgent, createClaim, createManifestChange } from "./platformServer.operations.js";
import { type CallOutcome, ScheduledTable } from "./platformServer.scheduledTable.js";

const seed = 20_261_203;
const maximumProcessCount = 4;
const longTimeout = { timeout: 120_000 };

class NoDelay extends Delay {
    public override wait(): Promise<void> {
        return Promise.resolve();
    }
}

const outcomesArbitrary = fc.array(
    fc.oneof(
        { weight: 4, arbitrary: fc.constant<CallOutcome>("answered") },
        { weight: 2, arbitrary: fc.constant<CallOutcome>("answer-lost") },
        { weight: 1, arbitrary: fc.constant<CallOutcome>("request-lost") },
        { weight: 1, arbitrary: fc.constant<CallOutcome>("applied-late") },
    ),
    { minLength: 1, maxLength: 8 },
);

const processesArbitrary = fc.array(outcomesArbitrary, { minLength: 2, maxLength: maximumProcessCount });

function startProcess(
    table: TableService,
    scheduler: Scheduler,
    outcomes: readonly CallOutcome[],
    index: number,
): Repositories {
    const scheduled = new ScheduledTable(table, scheduler, outcomes);
    return createRepositories({ table: scheduled, objects: new MemoryObjectStore(), delay: new NoDelay() }, index + 1);
}

function startProcesses(
    table: TableService,
    scheduler: Scheduler,
    outcomes: readonly (readonly CallOutcome[])[],
): readonly Repositories[] {
    return outcomes.map((processOutcomes, index) => startProcess(table, scheduler, processOutcomes, index));
}

function createFaultFreeRepositories(table: TableService): Repositories {
    return createRepositories({ table, objects: new MemoryObjectStore(), delay: new NoDelay() });
}

/** Runs one operation per turn; the turns of one process run in order, those of different processes interleave. */
async function runTurns<Turn, Value>(
    scheduler: Scheduler,
    turns: readonly (readonly Turn[])[],
    run: (processIndex: number, turn: Turn) => Promise<Result<Value, Error>>,
): Promise<readonly (readonly [Turn, Value])[]> {
    const succeeded: (readonly [Turn, Value])[] = [];
    const all = Promise.all(turns.map(async (ownTurns, index) => {
        for (const turn of ownTurns) {
            const result = await run(index, turn);
            if (result.ok) {
                succeeded.push([turn, result.val]);
            }
        }
    }));
    await scheduler.waitFor(all);
    // Writes that are still in flight are applied after every process has its result.
    await scheduler.waitIdle();
    return succeeded;
}

interface ClaimTurn {
    readonly keys: readonly string[];
    readonly sequence: number;
}

Then(
    "in {int} interleavings of claims every key stays bound to one submission",
    longTimeout,
    async (numRuns: number) => {
        const keysArbitrary = fc.uniqueArray(fc.constantFrom("k1", "k2", "k3"), { minLength: 1 });
        const turnsArbitrary = fc.array(fc.array(keysArbitrary, { minLength: 1, maxLength: 3 }), {
            minLength: maximumProcessCount,
            maxLength: maximumProcessCount,
        });
        let answeredClaimCount = 0;
        const property = fc.asyncProperty(
            fc.scheduler(),
            processesArbitrary,
            turnsArbitrary,
            async (scheduler, outcomes, keys) => {
                const table = new MemoryTable();
                const processes = startProcesses(table, scheduler, outcomes);
                let sequence = 0;
                const turns = processes.map((_, index) =>
                    (keys[index] ?? []).map((ownKeys): ClaimTurn => {
                        sequence += ownKeys.length;
                        return { keys: ownKeys, sequence };
                    })
                );
                const bound = new Map<string, Set<string>>();
                await runTurns(scheduler, turns, async (index, turn) => {
                    const results = await Promise.all(turn.keys.map(async (key, position) => {
                        const claim = createClaim(key, turn.sequence * 10 + position);
                        const result = await (processes[index] as Repositories).claims.claim(claim);
                        if (result.ok) {
                            answeredClaimCount += 1;
                            bound.set(key, (bound.get(key) ?? new Set()).add(result.val.submission));
                            assert.equal(result.val.jobDigest, claim.jobDigest);
                        }
                        return result;
                    }));
                    return results[0] as Result<unknown, Error>;
                });
                for (const [key, submissions] of bound) {
                    const final = (await createFaultFreeRepositories(table).claims.claim(createClaim(key, 9999)))
                        .unwrap();
                    assert.deepEqual([...submissions], [final.submission], key);
                }
            },
        );
        await fc.assert(property, { seed, numRuns });
        assert.ok(answeredClaimCount > numRuns, `${answeredClaimCount} claims answered`);
    },
);

Then(
    "in {int} interleavings of registrations no number is assigned twice and no agent has two",
    longTimeout,
    async (numRuns: number) => {
        const groupArbitrary = fc.uniqueArray(fc.constantFrom("a1", "a2", "a3", "a4"), { minLength: 1 });
        const turnsArbitrary = fc.array(fc.array(groupArbitrary, { minLength: 1, maxLength: 2 }), {
            minLength: maximumProcessCount,
            maxLength: maximumProcessCount,
        });
        const property = fc.asyncProperty(
            fc.scheduler(),
            processesArbitrary,
            turnsArbitrary,
            async (scheduler, outcomes, groups) => {
                const table = new MemoryTable();
                const processes = startProcesses(table, scheduler, outcomes);
                await createFaultFreeRepositories(table).registry.registerAgent(createAgent("before"));
                const turns = processes.map((_, index) => groups[index] ?? []);
                const registered = await runTurns(
                    scheduler,
                    turns,
                    (index, group) =>
                        (processes[index] as Repositories).registry.registerAgents(group.map(createAgent)),
                );
                const registry = (await createFaultFreeRepositories(table).registry.read()).unwrap();
                const stored = new Map(registry.agents.map(agent => [agent.incarnation, agent.number]));
                assert.equal(new Set(stored.values()).size, stored.size);
                assert.equal(registry.version, Math.max(0, ...stored.values()));
                for (const [group, numbers] of registered) {
                    assert.deepEqual(numbers, group.map(incarnation => stored.get(incarnation)));
                }
            },
        );
        await fc.assert(property, { seed, numRuns });
    },
);

Then(
    "in {int} interleavings of applied manifests each version has one content and versions never decrease",
    longTimeout,
    async (numRuns: number) => {
        const turnsArbitrary = fc.array(
            fc.array(fc.record({ base: fc.nat(2), team: fc.constantFrom("t1", "t2", "t3") }), { maxLength: 3 }),
            { minLength: maximumProcessCount, maxLength: maximumProcessCount },
        );
        const property = fc.asyncProperty(
            fc.scheduler(),
            processesArbitrary,
            turnsArbitrary,
            async (scheduler, outcomes, changes) => {
                const table = new MemoryTable();
                const processes = startProcesses(table, scheduler, outcomes);
                await createFaultFreeRepositories(table).manifests.apply(createManifestChange(0, "first"));
                const turns = processes.map((_, index) => changes[index] ?? []);
                const accepted = await runTurns(scheduler, turns, (index, { base, team }) => {
                    const change = createManifestChange(base, team, `operator-${index}`);
                    return (processes[index] as Repositories).manifests.apply(change);
                });
                const digests = new Map<number, string>();
                for (const [{ base }, { version, digest }] of accepted) {
                    assert.equal(version, base + 1);
                    assert.equal(digests.get(version) ?? digest, digest, `version ${version}`);
                    digests.set(version, digest);
                }
                const final = (await createFaultFreeRepositories(table).manifests.read()).unwrap();
                assert.ok(Number(final?.version) >= Math.max(1, ...digests.keys()));
                assert.equal(digests.get(Number(final?.version)) ?? final?.digest, final?.digest);
            },
        );
        await fc.assert(property, { seed, numRuns });
    },
);

Then(
    "in {int} interleavings of renewals an agent that was marked as left never returns to serving",
    longTimeout,
    async (numRuns: number) => {
        const turnArbitrary = fc.constantFrom("renew", "leave", "register", "remove");
        const turnsArbitrary = fc.array(fc.array(turnArbitrary, { minLength: 1, maxLength: 4 }), {
            minLength: maximumProcessCount,
            maxLength: maximumProcessCount,
        });
        let runsWithLeftAgent = 0;
        const property = fc.asyncProperty(
            fc.scheduler(),
            processesArbitrary,
            turnsArbitrary,
            async (scheduler, outcomes, ownTurns) => {
                const table = new MemoryTable();
                const processes = startProcesses(table, scheduler, outcomes);
                await createFaultFreeRepositories(table).registry.registerAgent(createAgent("a1"));
                const turns = processes.map((_, index) => ownTurns[index] ?? []);
                const succeeded = await runTurns<string, unknown>(scheduler, turns, (index, turn) => {
                    const { registry } = processes[index] as Repositories;
                    switch (turn) {
                        case "renew":
                            return registry.renewAgent("a1");
                        case "leave":
                            return registry.markAgentLeft("a1");
                        case "register":
                            return registry.registerAgent(createAgent("a1"));
                        default:
                            return registry.removeExpired(startMilliseconds, windowMilliseconds);
                    }
                });
                const [agent] = (await createFaultFreeRepositories(table).registry.read()).unwrap().agents;
                const hasLeft = succeeded.some(([turn]) => turn === "leave");
                runsWithLeftAgent += hasLeft ? 1 : 0;
                assert.equal(agent?.number, 1);
                assert.ok(!hasLeft || agent?.state === "left");
            },
        );
        await fc.assert(property, { seed, numRuns });
        assert.ok(runsWithLeftAgent > numRuns / 4, `${runsWithLeftAgent} runs in which the agent left`);
    },
);
