/**
 * Benchmark of claims and registrations against a running platform:
 * `node runPlatformMeasurement.js --url URL [--writes-per-second RATE]`.
 * It writes thousands of rows, so it must only be used with a stand-in of the platform.
 */
import { SystemClock } from "@lovagepitch/utils/clock";
import { createIncarnation } from "@lovagepitch/utils/incarnation";
import { RandomSource } from "@lovagepitch/utils/randomSource";
import { SubmissionCodec } from "@lovagepitch/utils/submissionCodec";
import { parseArgs } from "node:util";
import { ClaimRepository } from "../claimRepository.js";
import { SystemDelay } from "../delay.js";
import { HttpTable } from "../httpTable.js";
import { PlatformConnection } from "../platformConnection.js";
import { RegistryRepository } from "../registryRepository.js";
import { RetryPolicy } from "../retryPolicy.js";
import { type ConditionalWrite, TableService } from "../tableService.js";

const runMilliseconds = 3000;
const claimants = [1, 16, 64, 512] as const;
const claimsPerTransaction = [1, 200] as const;
const registeringAgents = [10, 100, 300] as const;
const unlimitedRate = 1_000_000;
const requestTimeoutMilliseconds = 10_000;
const windowMilliseconds = 600_000;

/** Counts the reads and writes of a table. */
class CountingTable extends TableService {
    public reads = 0;
    public writes = 0;

    /**
     * @param table - the wrapped table
     */
    public constructor(private readonly table: TableService) {
        super();
    }

    /** {@inheritDoc TableService.read} */
    public override read(key: string): ReturnType<TableService["read"]> {
        this.reads += 1;
        return this.table.read(key);
    }

    /** {@inheritDoc TableService.list} */
    public override list(prefix: string): ReturnType<TableService["list"]> {
        this.reads += 1;
        return this.table.list(prefix);
    }

    /** {@inheritDoc TableService.write} */
    public override write(writes: readonly ConditionalWrite[]): ReturnType<TableService["write"]> {
        this.writes += 1;
        return this.table.write(writes);
    }
}

function report(line: Readonly<Record<string, number | string>>): void {
    process.stdout.write(`${JSON.stringify(line)}\n`);
}

function percentile(sorted: readonly number[], share: number): number {
    return Number(sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))]);
}

function createRetries(seed: number): RetryPolicy {
    return new RetryPolicy(new RandomSource(seed), new SystemDelay());
}

async function measureClaims(table: TableService, claimantCount: number, maximumClaims: number): Promise<void> {
    const counting = new CountingTable(table);
    const clock = new SystemClock();
    const codec = new SubmissionCodec(createIncarnation());
    const claims = new ClaimRepository(counting, createRetries(1), clock, codec, {
        resubmissionWindowMilliseconds: windowMilliseconds,
        maximumClaimsPerTransaction: maximumClaims,
    });
    const run = createIncarnation();
    const durations: number[] = [];
    let failures = 0;
    const startedAt = performance.now();
    const claimUntilEnd = async (claimant: number): Promise<void> => {
        for (let index = 0; performance.now() - startedAt < runMilliseconds; index += 1) {
            const claimedAt = performance.now();
            const key = `${run}-${claimant}-${index}`;
            const result = await claims.claim({ team: "t", service: "s", key, jobDigest: "d", submission: key });
            durations.push(performance.now() - claimedAt);
            failures += result.err ? 1 : 0;
        }
    };
    await Promise.all(Array.from({ length: claimantCount }, (_, claimant) => claimUntilEnd(claimant)));
    const seconds = (performance.now() - startedAt) / 1000;
    durations.sort((left, right) => left - right);
    report({
        measured: "claims",
        claimants: claimantCount,
        claimsPerTransaction: maximumClaims,
        claimsPerSecond: Math.round(durations.length / seconds),
        writesPerSecond: Math.round(counting.writes / seconds),
        medianMilliseconds: Number(percentile(durations, 0.5).toFixed(1)),
        p99Milliseconds: Number(percentile(durations, 0.99).toFixed(1)),
        failures,
    });
}

async function measureRegistrations(table: TableService, agents: number, isGrouped: boolean): Promise<void> {
    const counting = new CountingTable(table);
    const registrations = Array.from({ length: agents }, () => ({
        address: "127.0.0.1:1",
        incarnation: createIncarnation(),
        worker: "w",
        rack: "r",
        availabilityZone: "z",
        cores: 16,
        memoryMegabytes: 32_768,
        state: "serving" as const,
        renewedAtMilliseconds: Date.now(),
    }));
    const groups = isGrouped ? [registrations] : registrations.map(registration => [registration]);
    let failures = 0;
    const startedAt = performance.now();
    await Promise.all(groups.map(async (group, index) => {
        const registry = new RegistryRepository(counting, createRetries(index + 1), new SystemClock());
        while ((await registry.registerAgents(group)).err) {
            failures += 1;
        }
    }));
    report({
        measured: "registrations",
        agents,
        grouped: String(isGrouped),
        seconds: Number(((performance.now() - startedAt) / 1000).toFixed(2)),
        writes: counting.writes,
        reads: counting.reads,
        callsThatGaveUp: failures,
    });
}

const { values } = parseArgs({
    options: { url: { type: "string" }, "writes-per-second": { type: "string", default: String(unlimitedRate) } },
});
const settings = {
    url: String(values.url),
    requestTimeoutMilliseconds,
    writesPerSecond: Number(values["writes-per-second"]),
    readsPerSecond: unlimitedRate,
};
const connection = new PlatformConnection(settings, new SystemClock(), new RandomSource(1), new SystemDelay());
const httpTable = new HttpTable(connection);
// Registrations are measured first, because a stand-in's listings become slower with each row that claims write.
for (const isGrouped of [false, true]) {
    for (const agents of registeringAgents) {
        await measureRegistrations(httpTable, agents, isGrouped);
    }
}
for (const maximumClaims of claimsPerTransaction) {
    for (const claimantCount of claimants) {
        await measureClaims(httpTable, claimantCount, maximumClaims);
    }
}
await connection.close();
