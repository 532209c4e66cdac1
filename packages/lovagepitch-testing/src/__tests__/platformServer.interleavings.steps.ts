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
import { type CallFate, ScheduledTable } from "./platformServer.scheduledTable.js";

const seed = 20_261_203;
const mostProcesses = 4;
const longTimeout = { timeout: 120_000 };

class NoDelay extends Delay {
    public override wait(): Promise<void> {
        return Promise.resolve();
    }
}

const fatesArbitrary = fc.array(
    fc.oneof(
        { weight: 4, arbitrary: fc.constant<CallFate>("answered") },
        { weight: 2, arbitrary: fc.constant<CallFate>("answer-lost") },
        { weight: 1, arbitrary: fc.constant<CallFate>("request-lost") },
        { weight: 1, arbitrary: fc.constant<CallFate>("applied-late") },
    ),
    { minLength: 1, maxLength: 8 },
);

const processesArbitrary = fc.array(fatesArbitrary, { minLength: 2, maxLength: mostProcesses });

function startProcess(
    table: TableService,
    scheduler: Scheduler,
    fates: readonly CallFate[],
    index: number,
): Repositories {
    const scheduled = new ScheduledTable(table, scheduler, fates);
    return createRepositories({ table: scheduled, objects: new MemoryObjectStore(), delay: new NoDelay() }, index + 1);
}

function startAll(
    table: TableService,
    scheduler: Scheduler,
    fates: readonly (readonly CallFate[])[],
): readonly Repositories[] {
    return fates.map((own, index) => startProcess(table, scheduler, own, index));
}

function readCleanly(table: TableService): Repositories {
    return createRepositories({ table, objects: new MemoryObjectStore(), delay: new NoDelay() });
}

/** Runs an operation for each process at each of its turns, all turns of one process in order. */
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
    // Writes that are still on their way arrive after everyone has an answer.
    await scheduler.waitIdle();
    return succeeded;
}

interface ClaimTurn {
    readonly keys: readonly string[];
    readonly sequence: number;
}

Then(
    "in {int} interleavings of claims every key is bound to one submission for good",
    longTimeout,
    async (numRuns: number) => {
        const keysArbitrary = fc.uniqueArray(fc.constantFrom("k1", "k2", "k3"), { minLength: 1 });
        const turnsArbitrary = fc.array(fc.array(keysArbitrary, { minLength: 1, maxLength: 3 }), {
            minLength: mostProcesses,
            maxLength: mostProcesses,
        });
        let answered = 0;
        const property = fc.asyncProperty(
            fc.scheduler(),
            processesArbitrary,
            turnsArbitrary,
            async (scheduler, fates, keys) => {
                const table = new MemoryTable();
                const processes = startAll(table, scheduler, fates);
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
                            answered += 1;
                            bound.set(key, (bound.get(key) ?? new Set()).add(result.val.submission));
                            assert.equal(result.val.jobDigest, claim.jobDigest);
                        }
                        return result;
                    }));
                    return results[0] as Result<unknown, Error>;
                });
                for (const [key, submissions] of bound) {
                    const final = (await readCleanly(table).claims.claim(createClaim(key, 9999))).unwrap();
                    assert.deepEqual([...submissions], [final.submission], key);
                }
            },
        );
        await fc.assert(property, { seed, numRuns });
        assert.ok(answered > numRuns, `${answered} claims answered`);
    },
);

Then(
    "in {int} interleavings of registrations no number is given twice and no agent has two",
    longTimeout,
    async (numRuns: number) => {
        const groupArbitrary = fc.uniqueArray(fc.constantFrom("a1", "a2", "a3", "a4"), { minLength: 1 });
        const turnsArbitrary = fc.array(fc.array(groupArbitrary, { minLength: 1, maxLength: 2 }), {
            minLength: mostProcesses,
            maxLength: mostProcesses,
        });
        const property = fc.asyncProperty(
            fc.scheduler(),
            processesArbitrary,
            turnsArbitrary,
            async (scheduler, fates, groups) => {
                const table = new MemoryTable();
                const processes = startAll(table, scheduler, fates);
                await readCleanly(table).registry.registerAgent(createAgent("before"));
                const turns = processes.map((_, index) => groups[index] ?? []);
                const registered = await runTurns(
                    scheduler,
                    turns,
                    (index, group) =>
                        (processes[index] as Repositories).registry.registerAgents(group.map(createAgent)),
                );
                const registry = (await readCleanly(table).registry.read()).unwrap();
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
    "in {int} interleavings of applied manifests each version has one content and versions never fall",
    longTimeout,
    async (numRuns: number) => {
        const turnsArbitrary = fc.array(
            fc.array(fc.record({ base: fc.nat(2), team: fc.constantFrom("t1", "t2", "t3") }), { maxLength: 3 }),
            { minLength: mostProcesses, maxLength: mostProcesses },
        );
        const property = fc.asyncProperty(
            fc.scheduler(),
            processesArbitrary,
            turnsArbitrary,
            async (scheduler, fates, changes) => {
                const table = new MemoryTable();
                const processes = startAll(table, scheduler, fates);
                await readCleanly(table).manifests.apply(createManifestChange(0, "first"));
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
                const final = (await readCleanly(table).manifests.read()).unwrap();
                assert.ok(Number(final?.version) >= Math.max(1, ...digests.keys()));
                assert.equal(digests.get(Number(final?.version)) ?? final?.digest, final?.digest);
            },
        );
        await fc.assert(property, { seed, numRuns });
    },
);

Then(
    "in {int} interleavings of renewals an agent that was marked as left never serves again",
    longTimeout,
    async (numRuns: number) => {
        const turnArbitrary = fc.constantFrom("renew", "leave", "register", "remove");
        const turnsArbitrary = fc.array(fc.array(turnArbitrary, { minLength: 1, maxLength: 4 }), {
            minLength: mostProcesses,
            maxLength: mostProcesses,
        });
        let left = 0;
        const property = fc.asyncProperty(
            fc.scheduler(),
            processesArbitrary,
            turnsArbitrary,
            async (scheduler, fates, ownTurns) => {
                const table = new MemoryTable();
                const processes = startAll(table, scheduler, fates);
                await readCleanly(table).registry.registerAgent(createAgent("a1"));
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
                const [agent] = (await readCleanly(table).registry.read()).unwrap().agents;
                const hasLeft = succeeded.some(([turn]) => turn === "leave");
                left += hasLeft ? 1 : 0;
                assert.equal(agent?.number, 1);
                assert.ok(!hasLeft || agent?.state === "left");
            },
        );
        await fc.assert(property, { seed, numRuns });
        assert.ok(left > numRuns / 4, `${left} runs in which the agent left`);
    },
);
